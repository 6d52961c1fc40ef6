#!/usr/bin/env bash
# Builds everything into build/ (or the folder named by BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja >"$build_dir.cmake.log" 2>&1 ||
  { cat "$build_dir.cmake.log"; exit 1; }
rm -f "$build_dir.cmake.log"
cmake --build "$build_dir"
