#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python and need the libraries of the deploy file's
# build alone, so this byte-compiles them and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/service.toml first" >&2; exit 2; }
python3 -m compileall -q review/standins
PYTHONPATH=review:target/deps python3 -c "import standins.case"
