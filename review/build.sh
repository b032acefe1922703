#!/bin/sh
# The stand-ins are Python and need only the environment of the deploy file: there is nothing to
# compile. This says at once where that environment is missing or a stand-in can't be read.
set -e
cd "$(dirname "$0")/.."
for file in review/*.py review/*/case.py; do
    .venv/bin/python -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
