#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: byte-compiles them with the interpreter of the deploy
# file. They need the run-time libraries that the build of the deploy file puts under target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/service.toml first" >&2; exit 2; }
PYTHONPATH=target/deps python3 -c "import aiohttp, msgspec"
python3 -m compileall -q review/standins2
