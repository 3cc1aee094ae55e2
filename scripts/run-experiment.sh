#!/usr/bin/env bash
# The placement experiment: replays a night's workload of the Brno site (small
# batch jobs, urgent checks and three-worker gangs) with the packed placer and
# with the first-fit placer, on the real entry and agents. Writes
# docs/measurements/contention*.csv and a plot of fragmentation over time.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-deps.sh
command -v gnuplot >/dev/null || apt-get install -y -qq gnuplot-nox >/dev/null
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)" >/dev/null
out=docs/measurements
mkdir -p "$out"
./build/tests/bench/oriolebay-replay --bin build --work out/contention \
  --site examples/brno/site.json --workload examples/brno/contention.json \
  --csv "$out/contention.csv" --series "$out/contention-fragmentation.csv"
gnuplot <<PLOT
set datafile separator ','
set terminal svg size 800,360
set output '$out/contention-fragmentation.svg'
set xlabel 'seconds'
set ylabel 'fragmentation'
set yrange [0:1]
series = '$out/contention-fragmentation.csv'
# Plots the mean of each second, because single samples are near 0 or 1 when few
# accelerators are free.
plot series using (strcol(1) eq 'packed' ? floor(column(2)/10) : NaN):3 smooth unique with linespoints title 'real', \
     series using (strcol(1) eq 'first_fit' ? floor(column(2)/10) : NaN):3 smooth unique with linespoints title 'naive'
PLOT
