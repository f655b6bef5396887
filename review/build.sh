#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/build/. Needs gcc and the C library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-9]/case.c; do
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation -pthread -D_GNU_SOURCE \
    -o "build/case-${source%%/*}" "$source" rig/*.c
done
