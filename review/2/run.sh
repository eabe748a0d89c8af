#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the heartbeat of another writer out.
set -u
cd "$(dirname "$0")" || exit 2
python3=$(command -v python3) || { echo "python3 is missing" >&2; exit 2; }
"$python3" -c 'import tomllib' || { echo "Python 3.11 or later is needed" >&2; exit 2; }
exec "$python3" -B case.py
