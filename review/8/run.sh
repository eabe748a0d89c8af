#!/usr/bin/env bash
# Exits with 1 if an acknowledged write was lost, 0 if none was, 2 if the case couldn't run. TROUBLE=0: no replica starts again.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/pipitpond-platform-proxy ] && [ -x ../../target/bin/pipitpond-platform-control ] || exit 2
timeout --signal=TERM --kill-after=4 112 python3 run.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
