#!/usr/bin/env bash
# Prints every figure that the documents and commit messages quote. Takes about ten minutes on an
# idle machine; name programs to run only these.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
programs=(membership_bench balance_bench move_bench measure_config measure_upstreams measure_calls)
[ "$#" -eq 0 ] || programs=("$@")
support/setup.sh
support/build.sh | tail -1
for program in "${programs[@]}"; do
  echo "== $program"
  "$build_dir/$program"
done
