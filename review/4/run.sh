#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$program" late-stream review/4/record.txt
