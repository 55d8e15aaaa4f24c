#!/usr/bin/env bash
# Checks that only the adapter in platform/ knows the names of the users' platform, and that only the program which puts
# the daemon together includes it. Tests of the adapter, stand-ins and the soak speak the platform's protocol themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Deadline-Ms|X-Server-Seal|X-Server-Load|X-Not-Executed|X-Target-Instance|X-Caller-Service|X-Instance-Id'
names+='|instances\.heartbeat|instances\.deregister|virtual_hosts|path_prefix"|max_attempts|log-append|log-read|log-newest'
names+='|keyed\.|cold_left|non_idempotent'
wrong=0
if git grep -nE "$names" -- src app ':!src/damaskthread/resource'; then
  echo "names of the platform outside platform/"
  wrong=1
fi
if git grep -nE '#include "platform/' -- src app ':!app/damaskthread_mesh'; then
  echo "the adapter is included where it should not be known"
  wrong=1
fi
[ "$wrong" = 0 ] && echo "platform names: only in platform/"
exit $wrong
