#!/usr/bin/env bash
# Runs the program of the case in the given folder, which review/build-3.sh has
# built, and writes record.txt there. Exits with 0 if the rule held, 1 if it was
# broken, and 2 if the case could not run.
folder=$1
root=$(cd "$folder/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout 115 "$root/target/review-3/case-$(basename "$folder")" \
  "$root" "$work" "$folder/record.txt" "${TROUBLE:-1}"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
