#!/usr/bin/env bash
# Exits with 1 if a task started again after it had ended done, 0 if not, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out,
# TROUBLE=leader kills the leader in place of the outage. Needs
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] || exit 2
timeout -k 5 110 target/review-2/case-6 review/6/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
