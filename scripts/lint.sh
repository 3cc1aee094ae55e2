#!/usr/bin/env bash
# Checks that clang-format has nothing to change and that clang-tidy reports
# nothing for src/ and platform/, with the compiler flags from the build's
# compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror $files
[ -f build/compile_commands.json ] || cmake -S . -B build >/dev/null
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
