#!/usr/bin/env bash
# Prepares the stand-ins of the scripts 6, 8, 9 and 10: review/lib2, in Python 3 with its own library only.
# They need no build; this checks that they can be loaded. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib2.http lib2.store lib2.runner lib2.cell 6.case 8.case 9.case 10.case; do
	python3 -B -c 'import importlib, sys; importlib.import_module(sys.argv[1])' "$module"
done
