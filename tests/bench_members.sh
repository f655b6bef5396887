#!/bin/sh
# Measures membership with 50, 100 and 200 daemons, or the sizes named.
#   tests/bench_members.sh BUILD [DAEMONS...]
set -e
build=$1
shift
for n in ${*:-50 100 200}; do
  "$build/bench-members" "$n" 10
done
