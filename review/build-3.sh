#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the entry: the project's stand-ins and the programs of the cases.
# Run in the repository root, after the build of the deploy file.
set -eu
out=target/review-3
cmake -S . -B "$out" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O2 >/dev/null
cmake --build "$out" --target snipehill_standins
for case in review/1[1-5]/case.cpp; do
    [ -f "$case" ] || continue
    name=$(basename "$(dirname "$case")")
    "${CXX:-g++}" -std=c++20 -O2 -pthread -o "$out/case-$name" "$case" review/stage.cpp review/fleet.cpp
done
