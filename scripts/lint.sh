#!/usr/bin/env bash
# Checks the format and runs clang-tidy over every source; --fix formats in place.
# clang-tidy results are cached by the hash of the preprocessed source and the configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
cache="${XDG_CACHE_HOME:-$HOME/.cache}/damaskthread-tidy"
mkdir -p "$cache"
headers=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.h' | sort) | sha256sum | cut -c1-16)
check() {
  local key
  key="$2/$(cat "$1" | sha256sum | cut -c1-32)-$3"
  [ -e "$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$key"
}
export -f check
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' | grep -v '^fuzz/')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check "$@"' _ {} "$cache" "$headers"
echo "lint: ${#files[@]} files clean"
