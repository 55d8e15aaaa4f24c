#!/usr/bin/env bash
# Checks that every figure which docs/CAPACITY.md and docs/promises.md quote as `name` | value is the one of the last
# measurement in docs/measurements/latest.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
wrong=0
while read -r name quoted; do
  measured=$(awk -v name="$name" '$1 == name {print $2}' docs/measurements/latest.txt)
  if [ "$measured" != "$quoted" ]; then
    echo "$name: the page says $quoted, the last measurement ${measured:-nothing}"
    wrong=1
  fi
done < <(sed -nE 's/^\| `([a-z0-9_.]+)` \| ([0-9.]+) \|.*/\1 \2/p' docs/CAPACITY.md docs/promises.md)
[ "$wrong" = 0 ] && echo "capacity: the pages agree with the last measurement"
exit $wrong
