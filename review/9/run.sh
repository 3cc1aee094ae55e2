#!/usr/bin/env bash
# Exits with 1 if an accepted job was not run, 0 if all were.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] || exit 2
exec timeout 110 target/review-2/case-9 review/9/record.txt
