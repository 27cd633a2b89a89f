#!/bin/sh
# Builds what deploy/system.toml runs, under target/. Needs no tests or tools.
set -eu
cd "$(dirname "$0")/.."
stamp=target/deps/.built
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
# A fresh copy, compiled: the daemons cannot write compiled files themselves, and a
# control daemon that compiles its modules starts a second later.
rm -rf target/app
mkdir -p target/app
cp -r packages/core/src/bronzemoor_core packages/daemon/src/bronzemoor_daemon \
    platform/bronzemoor_platform target/app
python3 -m compileall -q target/app
