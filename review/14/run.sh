#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bamboo-gatewayd ] && [ -x target/review-3/harness ] || { echo "build first"; exit 2; }
# On a timeout the whole group of processes ends, the gateways included.
timeout -k 3 116 target/review-3/harness covered_calls review/14/record.txt
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
