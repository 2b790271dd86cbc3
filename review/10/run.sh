#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case_limits ] && [ -x target/apps/dotterellead/dotterellead ] || exit 2
timeout -k 2 115 target/review-2/case_limits review/10/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
