#!/usr/bin/env python3
"""Prints the figures of journal entries of `fleetbench score` that the pages quote.

usage: scripts/journal_means.py ENTRY.json...

For each day: worth, score, daemons, and means of a daemon (cores, peak MB of a process, kB/s to other failure domains,
calls to the store a second). Below: the mean worth of the days with trouble, and the score that a quiet day would reach
if everything were served and only the machines had a price.
"""
import json
import sys


def main(paths):
    if not paths:
        sys.exit(__doc__.strip())
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        days = entry.get("days") or []
        if entry.get("cmd") != "score" or not days:
            sys.exit(f"{path}: no days of a score")
        print(f"{entry['site']} {entry['id']}: score {entry['score']:.3f}")
        print("day          worth score daemons cores   MB   kB/s  calls/s")
        for day in days:
            price = {name: (amount, worth) for name, amount, worth in day["prices"]}
            seconds = price["machine-seconds"][0]
            print(f"{day['name']:12} {day['G']:.3f} {day['score']:.2f}  {day['used']:5}  "
                  f"{price['processor seconds'][0] / seconds:.3f} {day['kb_an_instance'] / 1000:5.1f} "
                  f"{price['GB between zones'][0] * 1e6 / seconds:6.1f} {price['cloud calls'][0] / seconds:6.2f}")
        standard = [day for day in days if not day["name"].startswith("fresh-")]
        trouble = [day["G"] for day in standard if day["slot"] != "quiet"]
        if trouble:
            print(f"mean worth of the days with trouble: {sum(trouble) / len(trouble):.3f}")
        for day in standard:
            if day["slot"] == "quiet":
                machines = {name: worth for name, _, worth in day["prices"]}["machine-seconds"]
                bound = (1 - machines - day["naive"]) / (day["top"] - day["naive"])
                print(f"{day['name']}: bound of the score by the price of the machines {min(1, bound):.2f}")


if __name__ == "__main__":
    main(sys.argv[1:])
