#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, one program for each, into
# target/review. Uses the compiler and the JSON library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins \
    -o "target/review/case-$number" "$source" &
done
for job in $(jobs -p); do
  wait "$job"
done
