#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, one program for each, into
# target/review. Uses the compiler and the JSON library of the deploy file.
# With the argument "trials", builds those of review/trials too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
build() {
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins -o "$1" "$2" &
  jobs+=($!)
}
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  build "target/review/case-$number" "$source"
done
if [ "${1:-}" = trials ]; then
  for source in review/trials/*.cpp; do
    build "target/review/trial-$(basename "$source" .cpp)" "$source"
  done
fi
for job in "${jobs[@]}"; do
  wait "$job"
done
