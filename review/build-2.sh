#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the libraries that the deploy file declares.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
  if [ -f "review/$n/case.c" ]; then
    # shellcheck disable=SC2046
    gcc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -Wno-format-truncation -pthread \
      -o "target/review-2/case-$n" "review/$n/case.c" review/rig-2/rig.c review/rig-2/standins.c \
      $(pkg-config --cflags --libs json-c)
  fi
done
