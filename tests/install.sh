#!/usr/bin/env bash
# Installs into an empty folder, builds the kernel example against the installation with pkg-config, and runs the
# example and the installed programs.
# Usage: install.sh BUILD SOURCE
set -eu
build=$1
source=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cmake --install "$build" --prefix "$work/installed" >/dev/null
sed -i "s|^prefix=.*|prefix=$work/installed|" "$(find "$work/installed" -name boragejunction.pc)"
export PKG_CONFIG_PATH
PKG_CONFIG_PATH=$(dirname "$(find "$work/installed" -name boragejunction.pc)")
# shellcheck disable=SC2046
gcc -Wall -Werror "$source/examples/kernel/kernel.c" -o "$work/kernel" $(pkg-config --cflags --libs boragejunction)
LD_LIBRARY_PATH=$(dirname "$PKG_CONFIG_PATH") "$work/kernel" >"$work/out"
grep -q 'start   /accept' "$work/out"
for program in boraged bjctl bjbench; do
  test -s "$work/installed/share/man/man1/$program.1"
  LD_LIBRARY_PATH=$(dirname "$PKG_CONFIG_PATH") "$work/installed/bin/$program" --version >/dev/null
done
echo "install check passed: $build"
