#!/usr/bin/env bash
# Sets up, builds and runs a small mesh on this machine: a log stand-in, two daemons in two
# failure domains with one upstream stand-in each, a published route, and calls to both daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "== setting up and building (the first time takes a few minutes)"
support/setup.sh
support/build.sh | tail -1
build_dir=${BUILD_DIR:-build}
work_dir=$(mktemp -d)
pids=()
clean_up() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work_dir"
}
trap clean_up EXIT

# start NAME PROGRAM ARGUMENTS...: runs a program and waits for the line with its ports.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
  pids+=("$!")
  for _ in $(seq 100); do
    [ -s "$work_dir/$name.out" ] && return 0
    sleep 0.05
  done
  echo "$name did not start:"; cat "$work_dir/$name.err"; exit 1
}
port_of() { sed -n "s/.*\b$2=\([0-9]*\).*/\1/p" "$work_dir/$1.out"; }

start log "$build_dir/standin_log"
log_port=$(port_of log port)
echo "== the log stand-in listens on port $log_port"

for domain in tallinn-a tallinn-b; do
  printf '[daemon]\nid = vm-%s\nregion = ee-north\ndomain = %s\n[log]\nendpoint = 127.0.0.1:%s\n' \
    "$domain" "$domain" "$log_port" >"$work_dir/$domain.ini"
  start "$domain" "$build_dir/sardinepointd" --config="$work_dir/$domain.ini"
  control=$(port_of "$domain" control_port)
  start "up-$domain" "$build_dir/standin_upstream" --service=duty-board --version=v1 \
    --daemon="127.0.0.1:$control"
  echo "== daemon vm-$domain: calls on port $(port_of "$domain" data_port), operators on port $control"
done
export SARDINEPOINT_DAEMON=127.0.0.1:$(port_of tallinn-a control_port)

for _ in $(seq 100); do
  "$build_dir/sardinepoint" status --json 2>/dev/null | grep -q '"ready":true' && break
  sleep 0.1
done

cat >"$work_dir/patch.json" <<'JSON'
{"base": 0,
 "ops": [{"op": "put_service", "name": "duty-board", "versions": {"v1": 100}},
         {"op": "put_route", "name": "duty", "prefix": "/duty", "service": "duty-board"}]}
JSON
echo "== an operator submits a patch against version 0"
"$build_dir/sardinepoint" patch "$work_dir/patch.json"

for domain in tallinn-a tallinn-b; do
  control=127.0.0.1:$(port_of "$domain" control_port)
  for _ in $(seq 100); do
    "$build_dir/sardinepoint" status --json --daemon="$control" | grep -q '"version":1' && break
    sleep 0.1
  done
  echo "== the configuration that vm-$domain serves"
  "$build_dir/sardinepoint" get --daemon="$control"
  echo "== a caller asks vm-$domain"
  curl -sS --max-time 5 "http://127.0.0.1:$(port_of "$domain" data_port)/duty/today"
  echo
done
echo "== status as vm-tallinn-a sees it"
"$build_dir/sardinepoint" status
echo "== done; all processes are stopped now"
