#!/usr/bin/env bash
# Measures the latency that two daemons add to a call, compared with the same call sent directly to the upstream
# (bjbench overhead in a fleet of two).
#
#   tests/overhead.sh BUILD [RATE]
set -eu

build=${1:-build}
rate=${2:-1000}

if [ -z "${BJ_FLEET:-}" ]; then
  ticket=$(mktemp)
  trap 'rm -f "$ticket"' EXIT
  echo '{ "number": 1, "base": 0, "priorities": ["lookup"], "services": {
    "catalogue": { "routes": [{ "prefix": "/catalogue/", "class": "lookup" }] },
    "plans": { "routes": [{ "prefix": "/plans/", "class": "lookup" }] } } }' >"$ticket"
  "$build/bj-fleet" --log warning --ticket "$ticket" \
    front:north-a:north:plans:4:1 guard:north-a:north:catalogue:64:0.2 -- "$0" "$build" "$rate"
  exit
fi

field() { awk -v name="$1" -v n="$2" '$1 == name { print $n }' "$BJ_FLEET"; }

"$build/bjbench" overhead --rate "$rate" --seconds 5 --path /catalogue/prices \
  --target "127.0.0.1:$(field front 5)" --straight "127.0.0.1:$(field guard 9)" \
  --pid "$(field front 10)" --pid "$(field guard 10)"
