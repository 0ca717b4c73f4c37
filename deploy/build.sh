#!/bin/sh
# Installs the pinned libraries once, and the sources on each build.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/auburnswitch
cp -r src/auburnswitch target/deps/auburnswitch
python3 -m compileall -q target/deps/auburnswitch
