#!/bin/bash
# Builds the programs that the scripts start into target/review/. Needs the compiler of the deploy file's build only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/*.cpp; do
    [ -e "$case" ] || continue
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/$name" "$case" review/harness.cpp
done
