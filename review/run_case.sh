#!/usr/bin/env bash
# Runs the program of a case, with its number and the path of its record: 1 the rule was broken, 0 it held, 2 the case
# couldn't run. TROUBLE=0 leaves the disruption out. The daemons are started in the root of the repository and end with
# the program.
set -uo pipefail
number=$1
record=$2
review=$(cd "$(dirname "$0")" && pwd)
cd "$review/.."
[ -x target/damaskthread_mesh ] && [ -x "$review/out/case$number" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 118 "$review/out/case$number" "$folder" "$record"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
[ "$code" -le 1 ] && exit "$code"
exit 2
