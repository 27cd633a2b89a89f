#!/bin/sh
# The stand-ins of cases 11 to 15 are Python programs of the standard library.
set -eu
cd "$(dirname "$0")/common3"
python3 -m py_compile members3.py system3.py
