#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into
# target/review-2. They need the C++ library and nlohmann-json only, which the
# build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra)
objects=()
for part in loop http store worker site; do
  g++ "${flags[@]}" -c "review/sitekit-2/$part.cpp" \
    -o "target/review-2/$part.o"
  objects+=("target/review-2/$part.o")
done
for number in 6 7 8 9 10; do
  if [ -f "review/$number/case.cpp" ]; then
    g++ "${flags[@]}" "review/$number/case.cpp" "${objects[@]}" \
      -o "target/review-2/case-$number"
  fi
done
