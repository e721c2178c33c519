#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/. Run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target bilberrypitch_lab -j6
mkdir -p target/review
shared=(review/standin/{net,fleet,upstream,engine}.cc)
for case in review/standin/case_*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -Wshadow -o "target/review/$(basename "$case" .cc)" \
    "$case" "${shared[@]}" -pthread
done
