#!/usr/bin/env bash
# make demo: shows a fleet of real processes under load while an upstream is killed and another one is drained.
# Exits non-zero if a check fails.
set -eu

build=${1:-build}

if [ -z "${BJ_FLEET:-}" ]; then
  exec "$build/bj-fleet" --ticket examples/tickets/1.json \
    north-a-orders:north-a:north:orders:16:5 \
    north-a-catalogue:north-a:north:catalogue:16:5 \
    north-b-catalogue:north-b:north:catalogue:16:5 \
    north-b-estimator:north-b:north:estimator:8:10 \
    -- "$0" "$build"
fi

field() { awk -v name="$1" -v n="$2" '$1 == name { print $n }' "$BJ_FLEET"; }
value() { sed -n "s/^$1=//p" "$work/load"; }

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
platform="http://127.0.0.1:$(field platform 2)"
front="127.0.0.1:$(field north-b-estimator 5)"
admin="127.0.0.1:$(field north-b-estimator 6)"
failed=0

check() { # name, value, condition on the value
  printf '%-44s %8s' "$1" "$2"
  if [ "$2" "$3" "$4" ]; then printf '   ok\n'; else printf '   FAILED, expected %s %s\n' "$3" "$4"; failed=1; fi
}

"$build/bjbench" load --target "$front" --rate 200 --seconds 8 --seed 7 --keys "$work/keys" --resends 3 \
  --class "acceptance:/orders/accept:1:key" --class "lookup:/catalogue/prices:4" \
  --class "preview:/estimator/preview:2" >"$work/load" &
load=$!
sleep 1
echo "The upstream of north-b-catalogue names a rate of 20 requests a second for a while."
limited="http://127.0.0.1:$(field north-b-catalogue 9)/control"
curl -s -X POST "$limited/rate_milli?value=20000"
sleep 1.5
limited_most=$(curl -s "$limited/arrivals" | sed -n 's/.*"most":\([0-9]*\).*/\1/p')
curl -s -X POST "$limited/rate_milli?value=-1"
sleep 2
echo "Killing the upstream of north-a-catalogue."
kill -9 "$(field north-a-catalogue 11)"
sleep 1
echo "Draining north-b-estimator with a ticket."
"$build/bjctl" --platform "$platform" drain north-b-estimator
wait "$load"

curl -s "http://127.0.0.1:$(field north-a-orders 9)/control/executions" >"$work/executions"
most=$(awk '$2 > m { m = $2 } END { print m + 0 }' "$work/executions")
for class in acceptance lookup preview; do
  check "$class: requests" "$(value ${class}_requests)" -gt 0
  check "$class: complete responses" "$(value ${class}_whole)" -gt 0
  printf '%-44s %8s\n' "$class: refused, not executed" "$(value ${class}_not_run)"
  printf '%-44s %8s\n' "$class: unknown, truncated or missing" "$(($(value ${class}_unknown) + $(value ${class}_broken)))"
  check "$class: wrong responses" "$(value ${class}_wrong)" -eq 0
done
check "requests at 20 a second, most in 4 s" "$limited_most" -le 125
check "most executions of one irreversible action" "$most" -le 1
check "acceptances executed" "$(wc -l <"$work/executions")" -ge "$(value acceptance_whole)"
"$build/bjctl" --admin "$admin" in-force
check "lagging domains" "$("$build/bjctl" --admin "$admin" in-force | grep -c lags || true)" -eq 0
exit "$failed"
