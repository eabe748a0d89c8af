#!/usr/bin/env bash
# Builds what the scripts of review/ start besides the programs of deploy/system.toml: the stand-ins, which are Python
# and need no build. It checks that they can run here.
set -eu -o pipefail
cd "$(dirname "$0")"

command -v python3 >/dev/null || { echo "review/build.sh: python3 (3.11 or later) is missing" >&2; exit 2; }
python3 -B - stand_ins.py lost_commits.py */case.py <<'CHECK'
import sys
import tomllib  # Python 3.11 or later

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"review/build.sh: {len(sys.argv) - 1} stand-ins can run")
CHECK
