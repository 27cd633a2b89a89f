#!/bin/sh
# Builds the stand-ins of the cases. They need Python's standard library only, so this
# checks that they compile; nothing is downloaded.
set -eu
cd "$(dirname "$0")"
for file in common/*.py */run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
