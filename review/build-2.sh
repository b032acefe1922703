#!/bin/sh
# Builds what the cases 6 to 10 start beside the node. Their stand-ins are Python and need nothing
# but the environment that the build command of deploy/balancer.toml leaves: they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/deployment_2.py review/[6-9]/case.py review/10/case.py; do
    if test -e "$file"; then
        .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
