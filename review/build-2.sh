#!/bin/sh
# The stand-ins of cases 6 to 10 are the modules in lib2, which use the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib2 6 7 8 9 10
