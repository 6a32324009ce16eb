#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8, which are Python:
# the project's own platform store, and the runners and clients of lib_2.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q standins review/lib_2 || exit 1
PYTHONPATH="target/deps:review/lib_2" python3 -c 'import client, runner'
