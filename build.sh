#!/usr/bin/env bash
# Builds bilberrypitch.
#   ./build.sh          installs missing packages and builds
#   ./build.sh demo     builds and runs a small demo deployment
#   ./build.sh test     builds and runs every test
#   ./build.sh lint     checks format and lint
set -euo pipefail
cd "$(dirname "$0")"

# The packages that the build needs. CI installs the same list.
PACKAGES=(librestinio-dev libasio-dev libhttp-parser-dev libprotobuf-dev
  libcurl4-openssl-dev libfmt-dev catch2
  libboost1.81-dev libboost-program-options1.81-dev librapidcheck-dev
  libxxhash-dev libssl-dev zlib1g-dev g++ cmake ninja-build ccache clang-format
  clang-tidy curl)

install_missing() {
  local missing=()
  for p in "${PACKAGES[@]}"; do
    dpkg -s "$p" >/dev/null 2>&1 || missing+=("$p")
  done
  if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q && apt-get install -y -q "${missing[@]}"
  fi
}

build() {
  install_missing
  cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  cmake --build build
}

sources() {
  git ls-files '*.cc' '*.h' | grep -v '\.pb\.'
}

lint() {
  install_missing
  sources | xargs clang-format --dry-run -Werror
  cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  sources | grep '\.cc$' | xargs -P "$(nproc)" -n 4 \
    clang-tidy -p build --quiet --warnings-as-errors='*' 2>/dev/null
}

case "${1:-build}" in
  build) build ;;
  demo) build && exec build/tools/bilberrypitch_lab/bilberrypitch_lab demo ;;
  test)
    build
    ctest --test-dir build --output-on-failure -j "$(nproc)"
    ;;
  lint) lint ;;
  *)
    echo "usage: ./build.sh [build|demo|test|lint]" >&2
    exit 2
    ;;
esac
