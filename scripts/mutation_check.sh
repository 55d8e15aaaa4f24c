#!/usr/bin/env bash
# Shows that the promise tests can fail: applies one-line changes to a scratch copy, one at a time, and expects the named
# test to go red. Slow (a build per change); not part of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"
cmake --preset release >/dev/null
cmake --build --preset release --target test_promise damaskthreadd backend_server log_service test_daemon -j "$(nproc)" >/dev/null
export RC_PARAMS="seed=20261204 max_success=500" DAMASKTHREAD_BIN="$copy/build"
missed=0
# name | file | sed expression | test program | test case
while IFS='|' read -r name file change program test; do
  [ -n "$name" ] || continue
  cp "$file" "$file.orig"
  sed -i "$change" "$file"
  if cmp -s "$file" "$file.orig"; then
    echo "NOT APPLIED  $name"
    missed=1
  elif ! cmake --build --preset release --target test_promise damaskthreadd test_daemon -j "$(nproc)" >/dev/null 2>&1; then
    echo "NOT BUILT    $name"
    missed=1
  elif timeout 300 "build/test/$program" -tc="$test" >/dev/null 2>&1; then
    echo "STILL GREEN  $name ($test)"
    missed=1
  else
    echo "red          $name ($test)"
  fi
  mv "$file.orig" "$file"
  touch "$file"
done <"$root/scripts/mutations.txt"
exit $missed
