#!/bin/sh
# Builds the stand-ins: they are Python files that need the standard library alone, so that compiling them is all.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
