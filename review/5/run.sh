#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(basename "$(dirname "$(readlink -f "$0")")")
program=target/review/case_$folder
[ -x "$program" ] || exit 2
timeout --signal=KILL 118 "$program" "review/$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
