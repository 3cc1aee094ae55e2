#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. The record goes to
# record.txt beside this file.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/case-5 ] || { echo "run review/build.sh first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 target/review/case-5 review/5
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
