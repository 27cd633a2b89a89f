#!/bin/sh
# Plays the case and writes record.txt, with what was sent, answered and run. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case did not run.
folder=$(dirname "$0")
exec python3 "$folder/case.py" "$folder/record.txt"
