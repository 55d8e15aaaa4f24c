#!/usr/bin/env bash
# Builds the stand-ins and the program of each case, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c standin/standin.cc -o out/standin.o
for source in [1-5]/case.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" out/standin.o -o "out/case${source%%/*}"
done
