#!/usr/bin/env bash
# Measures how long a ticket takes to come into force at every daemon, and the load of the readers on the store.
#   tests/spread.sh BUILD DAEMONS [TICKETS]     daemons in four domains and two regions
set -eu

build=$1
daemons=$2
tickets=${3:-10}
samples=10 # samples of the number of open watches, taken 2.1 s apart

if [ -z "${BJ_FLEET:-}" ]; then
  nodes=()
  for ((i = 0; i < daemons; i++)); do
    region=$((i % 4 / 2))
    nodes+=("d$i:domain-$((i % 4)):region-$region:a:4:1")
  done
  exec "$build/bj-fleet" --ticket examples/tickets/1.json "${nodes[@]}" -- "$0" "$build" "$daemons" "$tickets"
fi

platform="http://127.0.0.1:$(awk '$1 == "platform" { print $2 }' "$BJ_FLEET")"
admin="127.0.0.1:$(awk '$1 == "d0" { print $6 }' "$BJ_FLEET")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

stat() { curl -s "$platform/control/stats" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

urls=$(awk '$1 != "platform" { print "http://127.0.0.1:" $6 "/v1/status" }' "$BJ_FLEET")
lagging() { # shellcheck disable=SC2086
  echo $((daemons - $(curl -s $urls | grep -c "\"ticket\":$1[,}]" || true)))
}

# Files a ticket, polls every daemon until the ticket is in force there, then polls one daemon until it lists the
# ticket as in force at all others.
for ((n = 2; n <= tickets + 1; n++)); do
  printf '{"number":%d,"base":%d,"upstreams":{"d%d":{"max_slots":%d}}}' \
    "$n" "$((n - 1))" "$((n % daemons))" "$n" >"$work/ticket.json"
  "$build/bjctl" --platform "$platform" file "$work/ticket.json" >/dev/null
  begun=$EPOCHREALTIME
  while [ "$(lagging "$n")" -gt 0 ]; do sleep 0.02; done
  in_force=$EPOCHREALTIME
  until "$build/bjctl" --admin "$admin" in-force >/dev/null; do sleep 0.05; done
  echo "$begun $in_force $EPOCHREALTIME"
done >"$work/seconds"
figures() { # column, name
  awk -v c="$1" '{ print $c - $1 }' "$work/seconds" | sort -n | awk -v name="$2" '{ s[NR] = $1 } END {
    printf "%s_s_median=%.2f %s_s_max=%.2f ", name, s[int((NR + 1) / 2)], name, s[NR] }'
}
echo "daemons=$daemons tickets=$tickets $(figures 2 in_force)$(figures 3 known)"

reads=$(stat reads)
watches=$(stat watches)
waiting=0
for ((i = 0; i < samples; i++)); do
  sleep 2.1
  waiting=$((waiting + $(stat waiting)))
done
echo "daemons=$daemons waiting_watches_mean=$(echo "scale=1; $waiting / $samples" | bc)" \
  "quiet_reads_per_s=$(echo "scale=2; ($(stat reads) - $reads) / ($samples * 2.1)" | bc)" \
  "quiet_watches_per_s=$(echo "scale=2; ($(stat watches) - $watches) / ($samples * 2.1)" | bc)"
