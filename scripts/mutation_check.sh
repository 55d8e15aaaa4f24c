#!/usr/bin/env bash
# Shows that the promise tests can fail: applies one-line changes to a scratch copy, one at a time, and expects the named
# test to go red. Slow (a build per change); not part of CI.
#   scripts/mutation_check.sh [beginning of the names, default all]
set -euo pipefail
cd "$(dirname "$0")/.."
mutations=$(grep "^${1:-}" scripts/mutations.txt)
mapfile -t programs < <(cut -d'|' -f4 <<<"$mutations" | sort -u)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"
# Processes that the tests start are built with them.
build() {
  cmake --build --preset release --target "${programs[@]}" damaskthreadd damaskthread_mesh backend_server log_service \
    -j "$(nproc)" >/dev/null 2>&1
}
export CCACHE_BASEDIR=$copy CCACHE_NOHASHDIR=1
cmake --preset release >/dev/null
build
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
  elif ! build; then
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
done <<<"$mutations"
exit $missed
