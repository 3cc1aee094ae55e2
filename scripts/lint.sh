#!/usr/bin/env bash
# clang-format must find nothing to change; clang-tidy must find nothing in
# our sources (the build's compile_commands.json tells it the flags).
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror $files
[ -f build/compile_commands.json ] || cmake -S . -B build >/dev/null
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
