#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into
# target/review-3, with the packages of the deploy file's build.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
kit=$root/review/sitekit-3
out=$root/target/review-3
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I "$kit" -c "$1" -o "$2"; }
objects=()
for source in "$kit"/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  compile "$source" "$object"
  objects+=("$object")
done
for source in "$root"/review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  compile "$source" "$out/$name.o"
  g++ -o "$out/$name" "$out/$name.o" "${objects[@]}" -pthread
done
