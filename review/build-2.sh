#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the program itself:
# the project's stand-ins, and those in review/standin-2. All lies under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target --target bilberrypitch_lab -j6
out=target/review-2
mkdir -p "$out"
for n in 6 7 8 9 10; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case_$n" \
    review/standin-2/{support,servers,bookings,memory_limit,stuttering_server}.cc "review/standin-2/case_$n.cc"
done
