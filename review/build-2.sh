#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2)
g++ "${flags[@]}" -c review/standins-2/harness.cc -o "$out/harness.o"
for source in review/standins-2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" "$out/harness.o" -o "$out/$name" &
done
wait
for source in review/standins-2/case_*.cc; do
  [ -x "$out/$(basename "$source" .cc)" ]
done
