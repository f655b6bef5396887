#!/bin/sh
# Measures the cost and speed of membership with 50, 100 and 200 daemons, or with the given numbers of daemons.
#   tests/bench_members.sh BUILD [DAEMONS...]
set -e
build=$1
shift
for n in ${*:-50 100 200}; do
  "$build/bench-members" "$n" 10
done
