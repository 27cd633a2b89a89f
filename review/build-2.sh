#!/bin/sh
# Compiles the stand-ins that the scripts of the cases 6 to 10 start; they need only the
# standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q bench2
