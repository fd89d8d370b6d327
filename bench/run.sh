#!/bin/sh
# Runs every bench of a build directory. Writes tables, JSON lines and SVG charts to the output directory.
# Usage: run.sh [BUILD_DIR [OUTPUT_DIR]]
set -eu
build=${1:-build}
out=${2:-bench-results}
mkdir -p "$out"
rm -f "$out/results.jsonl"
for program in "$build"/bench/bench_*; do
    [ -x "$program" ] || continue
    name=$(basename "$program")
    "$program" --json "$out/results.jsonl" --svg "$out/$name.svg" | tee "$out/$name.txt"
done
