#!/usr/bin/env bash
# Repeats the runs behind docs/CAPACITY.md and docs/RELIABILITY.md: load runs
# at three fleet sizes with no jobs (heartbeats only), one and two jobs per
# agent per second, three entries, failovers, and the placement and memory
# benchmark. Writes docs/measurements/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)" >/dev/null
out=docs/measurements
mkdir -p "$out"
tool=./build/tests/bench/oriolebay-replay
load() {
  "$tool" --bin build --work out/load --load --seconds 10 --profile-changes 5 "$@"
}
load --agents 10 40 120 --job-rate 0 --csv "$out/load-idle.csv"
load --agents 10 40 120 --job-rate 1 --csv "$out/load-rate1.csv"
load --agents 120 --job-rate 2 --csv "$out/load-rate2.csv"
load --agents 40 120 --job-rate 1 --entries 3 --csv "$out/load-entries3.csv"
"$tool" --bin build --work out/load --failover --agents 10 40 --rounds 5 \
  --csv "$out/failover.csv"
./build/tests/bench/oriolebay-placement-bench --benchmark_min_time=0.2 \
  --benchmark_out="$out/placement.json" --benchmark_out_format=json
