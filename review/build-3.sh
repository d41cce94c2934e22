#!/bin/sh
# Builds the stand-ins of review/11 to 15. They are scripts for the Python that meson runs on, and
# use its standard library only, so there is nothing to compile: checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
test -x ../target/knapweedwheeld || {
	echo "target/knapweedwheeld is missing: run the build of deploy/system.toml first" >&2
	exit 1
}
python3 -B -c '
import sys
sys.path.insert(0, "lib3")
import cell
print("stand-ins can be loaded; the daemon is started with", cell.run_command())'
