#!/bin/sh
# Compiles the stand-ins and the cases; their libraries are those that the
# build of the deploy file puts under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps" python3 -S -c 'import aiohttp'
python3 -S -m compileall -q review
