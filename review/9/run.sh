#!/bin/sh
# Plays the case: 1 the rule was broken, 0 it was kept, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 exec ../../.venv/bin/python case.py
