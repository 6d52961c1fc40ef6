#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
support/build.sh
support/check.sh
[ ! -s KNOWN-RED.txt ] || cat KNOWN-RED.txt
# Tests that start processes measure time, so only a few run side by side.
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j 2 --timeout 300
