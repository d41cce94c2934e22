#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python modules in review/lib, so this only checks
# that the interpreter is there (the build of the deploy file needs it too) and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    with open(path) as f:
        compile(f.read(), path, "exec")
EOF
