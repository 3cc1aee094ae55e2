#!/usr/bin/env bash
# Exits with 1 if entries ended again and again, 0 if not, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. Needs review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
# The bench sets this too; it keeps what a process holds low.
export MALLOC_ARENA_MAX=1
timeout -k 5 110 target/review-2/case-8 review/8/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
