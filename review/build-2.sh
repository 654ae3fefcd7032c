#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file: the stand-ins are
# Python programs that need the libraries of .venv alone, so that building them is compiling and loading them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standin2 review/6 review/7 review/8 review/9 review/10 puffintide
.venv/bin/python -c "
import sys
sys.path.insert(0, 'review/standin2')
import stand, writers
"
