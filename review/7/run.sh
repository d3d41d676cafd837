#!/bin/sh
# Plays the scenario moved-route of review/standins-2. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 target/reviewfleet moved-route --out review/7/record.txt
code=$?
if [ "$code" -gt 2 ]; then exit 2; fi
exit "$code"
