#!/usr/bin/env bash
# Plays the case on loopback addresses. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/sardinepointd ] && [ -x review/bin/foreign_report ] || { echo "build first"; exit 2; }
timeout -k 2 110 review/bin/foreign_report "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
