#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library of Python 3.11 alone, so
# that this only checks that they compile. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in lib3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
