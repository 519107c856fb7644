#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does
# the same without the disruption. See claim.txt.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
PYTHONPATH="$root/review:$root/target/deps" exec timeout -k 4 114 python3 scenario.py
