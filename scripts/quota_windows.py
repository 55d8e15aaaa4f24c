#!/usr/bin/env python3
"""Adds up from the daemons' logs what each tenant got in its worst window, beside what its quota allows.

usage: quota_windows.py LOG... [--window SECONDS] [--over SHARE] [--slack REQUESTS] [--most N]

Lines are found by their JSON object, so that text in front of it does not matter. The daemons log once a second; a
window is therefore widened to whole seconds and its count is an upper bound.
"""
import argparse
import collections
import json
import sys


def read_events(paths):
    for path in paths:
        with sys.stdin if path == "-" else open(path, encoding="utf-8", errors="replace") as lines:
            for line in lines:
                start = line.find('{"time_ms"')
                if start < 0 or '"quota_' not in line:
                    continue
                try:
                    yield json.loads(line[start:])
                except json.JSONDecodeError:
                    continue


def parse_usage(text):
    for part in text.split():
        tenant, _, numbers = part.partition("=")
        count, _, quota = numbers.partition("/")
        rate, _, burst = quota.partition("+")
        yield tenant, int(count), float(rate or 0), float(burst or 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--window", type=float, default=5)
    parser.add_argument("--over", type=float, default=0.1)
    parser.add_argument("--slack", type=float, default=20)
    parser.add_argument("--most", type=int, default=12)
    options = parser.parse_args()

    admitted = collections.defaultdict(lambda: collections.Counter())
    quotas = collections.defaultdict(dict)
    granters = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    for event in read_events(options.logs):
        second = event["time_ms"] // 1000
        for tenant, count, rate, burst in parse_usage(event.get("tenants", "")):
            if event["event"] == "quota_admitted":
                admitted[tenant][second] += count
            elif event["event"] == "quota_granted":
                granters[tenant][second][event["node"]] += count
                quotas[tenant][second] = max(quotas[tenant].get(second, (0, 0)), (rate, burst))

    rows = []
    for tenant, counts in admitted.items():
        if not quotas[tenant]:
            continue
        for first in range(min(counts), max(counts) + 1):
            seconds = range(first, first + int(options.window))
            total = sum(counts[second] for second in seconds)
            known = [quotas[tenant][second] for second in range(first - 2, first + int(options.window) + 1)
                     if second in quotas[tenant]]
            if not known:
                continue
            rate, burst = max(known)
            allowed = (rate * options.window + burst) * (1 + options.over) + options.slack
            names = sorted({name for second in seconds for name in granters[tenant][second]})
            rows.append((total / allowed, tenant, first, total, allowed, rate, burst, names))
    rows.sort(reverse=True)
    print("share  tenant      from        requests  allowed   rate  burst  granted by")
    seen = set()
    for share, tenant, first, total, allowed, rate, burst, names in rows:
        if tenant in seen:
            continue
        seen.add(tenant)
        print(f"{share:5.2f}  {tenant:<10}  {first}  {total:8d}  {allowed:7.0f}  {rate:5.4g}  {burst:5.4g}  {','.join(names)}")
        if len(seen) == options.most:
            break


if __name__ == "__main__":
    main()
