#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/, after the build of the
# deploy file. They need the compiler and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "target/review-2/case-$name" "$source" &
done
wait
