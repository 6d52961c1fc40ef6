#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/, after the build of the
# deploy file. They need the compiler and the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
options=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for number in 6 7 8 10; do
  g++ "${options[@]}" -o "target/review-2/case-$number" "review/$number/case.cc"
done
