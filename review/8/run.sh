#!/usr/bin/env bash
# Exits with 1 if a cancelled job ran on, 0 if not.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
exec timeout 110 target/review-2/case-8 review/8/record.txt
