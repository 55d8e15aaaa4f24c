#!/usr/bin/env bash
# Runs every measurement and writes `name value` lines to docs/measurements/latest.txt. Wants an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
export DAMASKTHREAD_BIN="$PWD/build"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for program in core_admit core_route chain policy control path; do
  [ -x "build/benchmark/$program" ] || continue
  "build/benchmark/$program" 2>/dev/null | grep -E '^[a-z_]+(\.[a-z0-9_]+)+ ' | tee -a "$out"
done
mkdir -p docs/measurements
sort "$out" >docs/measurements/latest.txt
