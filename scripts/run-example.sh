#!/usr/bin/env bash
# Installs the dependencies, builds, and replays a site's workload with the
# packed placer and with the first-fit baseline, on a store stand-in, one entry
# and one agent per worker on loopback. Prints completion time per class and
# fragmentation, and writes out/SITE.csv.
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:-brno}
bash scripts/install-deps.sh
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)" >/dev/null
mkdir -p out
./build/tests/bench/oriolebay-replay --bin build --work "out/$site" \
  --site "examples/$site/site.json" --workload "examples/$site/workload.json" \
  --csv "out/$site.csv"
