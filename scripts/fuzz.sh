#!/usr/bin/env bash
# Builds and runs every fuzz target on its corpus, with a fixed seed.
#   scripts/fuzz.sh [seconds per target, default 20]
#   scripts/fuzz.sh --ci     20,000 runs per target
# New inputs stay in the build directory; a failing one is kept under build-fuzz/failures/<target>.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --ci ]; then
  bound=(-runs=20000)
else
  bound=(-max_total_time="${1:-20}")
fi
cmake --preset fuzz >/dev/null
cmake --build --preset fuzz -j "${JOBS:-$(nproc)}" --target fuzzers >/dev/null
failed=()
for source in fuzz/*_fuzz.cc; do
  name=$(basename "$source" _fuzz.cc)
  found="build-fuzz/corpus/$name"
  failures="build-fuzz/failures/$name"
  rm -rf "$found"
  mkdir -p "$found" "$failures"
  log="build-fuzz/$name.log"
  if "build-fuzz/fuzz/${name}_fuzz" "${bound[@]}" -seed=1 -timeout=10 -rss_limit_mb=1024 -max_len=65536 \
      -artifact_prefix="$failures/" "$found" "fuzz/corpus/$name" >"$log" 2>&1; then
    echo "fuzz $name: $(grep -Eo 'Done [0-9]+ runs in [0-9]+ second' "$log" || echo done)"
  else
    echo "fuzz $name: FAILED, see $log and $failures"
    tail -n 30 "$log"
    failed+=("$name")
  fi
done
[ ${#failed[@]} -eq 0 ]
