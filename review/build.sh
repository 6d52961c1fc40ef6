#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/$(basename "$source" .cc)"
done
