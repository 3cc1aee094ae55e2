#!/usr/bin/env bash
# Exits with 1 if a task started again after it had ended done, 0 if none did.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] || exit 2
exec timeout 110 target/review-2/case-6 review/6/record.txt
