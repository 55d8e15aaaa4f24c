#!/usr/bin/env bash
# run: both deployments under load for some seconds, then a verdict. up, down: keeps them up to try things.
set -euo pipefail
cd "$(dirname "$0")/.."
export DAMASKTHREAD_BIN="$PWD/build"
case "${1:-run}" in
  run)
    mkdir -p run
    # The daemons log to standard error.
    exec build/test/demo 2>run/demo.log
    ;;
  up)
    mkdir -p run
    rm -f run/ready
    nohup build/test/demo --hold=run/ready >run/demo.out 2>&1 &
    echo $! >run/demo.pid
    for _ in $(seq 300); do
      [ -s run/ready ] && break
      kill -0 "$(cat run/demo.pid)" 2>/dev/null || { cat run/demo.out; exit 1; }
      sleep 0.1
    done
    [ -s run/ready ] || { echo "the demo did not come up; see run/demo.out"; exit 1; }
    admin=$(awk '$1 == "admin" {print $2}' run/ready)
    call=$(awk '$1 == "call" {print $2}' run/ready)
    cp "$(awk '$1 == "token-file" {print $2}' run/ready)" run/operator.token
    echo "up. Try:"
    echo "  build/damaskctl status --server $admin --token-file run/operator.token"
    echo "  build/damaskctl get --server $admin --token-file run/operator.token"
    echo "  curl -i http://$call/svc/fleet/availability"
    echo "  curl -i -X POST http://$call/svc/booking/payments"
    echo "Stop with: make demo-down"
    ;;
  down)
    [ -s run/demo.pid ] || { echo "the demo is not up"; exit 0; }
    kill "$(cat run/demo.pid)" 2>/dev/null || true
    rm -f run/demo.pid run/ready run/operator.token
    ;;
  *)
    echo "usage: scripts/demo.sh run|up|down" >&2
    exit 2
    ;;
esac
