#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/main.js ] || node scripts/buildPlatform.mjs || exit 2
timeout -k 5 110 node review/2/case.mjs &
child=$!
trap 'kill "$child"' TERM INT
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
