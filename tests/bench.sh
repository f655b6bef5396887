#!/usr/bin/env bash
# Runs scenarios with real processes, once with borage's plug-ins and once with the baseline plug-ins, and prints
# the figures of both side by side.
#
#   tests/bench.sh BUILD [NAME...]        runs all scenarios if no NAME is given; SEED=N sets the seed (default 1)
set -eu

build=${1:-build}
shift || true
seed=${SEED:-1}
scenarios=("$@")
if [ ${#scenarios[@]} -eq 0 ]; then scenarios=(domain-loss cold-start lying-load deep-chain); fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

plugins() { # policy
  if [ "$1" = borage ]; then
    echo '"limiter": { "plugin": "adaptive" }, "queue": { "plugin": "priority-deadline" },
      "router": { "plugin": "p2c-load" }, "retry": { "plugin": "budget" }'
  else
    echo '"limiter": { "plugin": "none" }, "queue": { "plugin": "fifo" },
      "router": { "plugin": "round-robin" }, "retry": { "plugin": "naive" }'
  fi
}

service() { # policy, name, deadline in ms
  printf '"%s": { "routes": [{ "prefix": "/%s/", "class": "lookup", "deadline_ms": %s, "attempts": 3 }], %s }' \
    "$2" "$2" "$3" "$(plugins "$1")"
}

ticket() { # policy, deadline in ms, service...
  local policy=$1 deadline=$2 separator="" name
  shift 2
  printf '{ "number": 1, "base": 0, "priorities": ["acceptance", "lookup", "preview"], "services": {'
  for name in "$@"; do
    printf '%s' "$separator"
    service "$policy" "$name" "$deadline"
    separator=", "
  done
  printf '} }\n'
}

domain() { # domain, region, number of upstreams (8 slots, 40 ms each); adds the daemon that callers use
  echo "$1-front:$1:$2:front:8:1"
  for i in $(seq 1 "$3"); do echo "$1-$i:$1:$2:catalogue:8:40"; done
}

nodes() { # scenario
  case $1 in
    domain-loss)
      domain north-a north 2
      domain north-b north 2
      domain south-a south 2
      domain south-b south 2
      ;;
    cold-start) domain north-a north 4 ;;
    lying-load) domain north-a north 5 ;;
    deep-chain)
      echo "north-a-front:north-a:north:front:8:1"
      for i in 1 2; do
        for hop in 1 2 3 4 5; do
          echo "hop$hop-$i:north-a:north:hop$hop:64:2:/hop$((hop + 1))/step"
        done
        echo "hop6-$i:north-a:north:hop6:8:20"
      done
      ;;
    *)
      echo "bench.sh: unknown scenario \"$1\"; known are domain-loss, cold-start, lying-load and deep-chain." >&2
      exit 2
      ;;
  esac
}

services() { # scenario
  if [ "$1" = deep-chain ]; then echo hop1 hop2 hop3 hop4 hop5 hop6; else echo catalogue; fi
}

deadline() { # scenario, in ms
  if [ "$1" = domain-loss ]; then echo 400; else echo 1000; fi
}

run() { # scenario, policy
  local list
  list=$(nodes "$1")
  # shellcheck disable=SC2046
  ticket "$2" "$(deadline "$1")" $(services "$1") front >"$work/ticket.json"
  # shellcheck disable=SC2086
  "$build/bj-fleet" --log warning --ticket "$work/ticket.json" $list -- \
    sh -c "\"$build/bjbench\" $1 --fleet \"\$BJ_FLEET\" --policy $2 --seed $seed" |
    grep = >"$work/$1.$2"
}

for name in "${scenarios[@]}"; do
  for policy in borage baseline; do run "$name" "$policy"; done
  printf '%s, seed %s\n  %-32s %12s %12s\n' "$name" "$seed" figure borage baseline
  join -t= <(sort "$work/$name.borage") <(sort "$work/$name.baseline") |
    awk -F= '{ printf "  %-32s %12s %12s\n", $1, $2, $3 }'
done
