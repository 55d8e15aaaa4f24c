#!/usr/bin/env bash
# Runs the tests that need no other process under address and undefined behaviour sanitizers, and those of threaded
# modules under thread sanitizer. Only their targets are built.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
address=(core context limit admission quarantine routing retry execution promise resource wire membership replication
  settings metrics slo http client transport route gate placement entrance overlay peer mesh)
threaded=(admission routing retry execution resource metrics slo http transport)
# A property runs fewer times than in `make test`: the sanitizers cost a factor of ten and more.
export RC_PARAMS="seed=20261204 max_success=20"
run() {
  local preset=$1
  shift
  local targets=()
  for module in "$@"; do targets+=(--target "test_$module"); done
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" -j "$jobs" "${targets[@]}" >/dev/null
  printf '%s\n' "$@" | xargs -P 5 -I{} sh -c "timeout 900 build-$preset/test/test_{} >build-$preset/{}.out 2>&1 || { cat build-$preset/{}.out; exit 255; }"
  echo "$preset: $# test programs without a finding"
}
run asan "${address[@]}"
run tsan "${threaded[@]}"
