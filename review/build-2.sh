#!/bin/bash
# Builds the programs of the cases 6 to 8, with their stand-ins, into target/review-2. Needs a C++ compiler only.
set -eu
cd "$(dirname "$0")"
output=../target/review-2
mkdir -p "$output"
flags="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers"
g++ $flags -c rig.cpp -o "$output/rig.o"
g++ $flags 6/slowreaders.cpp "$output/rig.o" -o "$output/slowreaders"
g++ $flags 7/longprompts.cpp "$output/rig.o" -o "$output/longprompts"
g++ $flags 8/crashpart.cpp "$output/rig.o" -o "$output/crashpart"
