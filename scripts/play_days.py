#!/usr/bin/env python3
"""Plays days of deployments with the users' bench, once for each policy variant, and prints a table of their worth.

usage: scripts/play_days.py --bench FLEETBENCH [options] SITE[:DAY,DAY...]...

  --seeds LIST      seeds, comma-separated; `own` is the seed of the day itself (default: own)
  --variants FILE   JSON file with policy variants: {"NAME": {"SECTION": {"OPTION": VALUE}}}; each variant is played
                    with these options in the section `policy` of the daemon's settings, beside the unchanged policy
  --only LIST       play these variants of the file only
  --jobs N          days played at the same time (default: 4)
  --why TEXT        reason, for the journal
  --keep DIR        also copy the reports of the days to DIR

Days are played without charge for processor time, so that a run mostly repeats. Each variant runs in a copy of the
committed tree, which the bench builds once (a compiler cache shortens this); the journal entries are copied to `journal/`
of this repository.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = pathlib.Path("deploy/settings.json.in")
UNCHANGED = "unchanged"


def parse_arguments():
    parser = argparse.ArgumentParser(usage=__doc__, add_help=False)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--seeds", default="own")
    parser.add_argument("--variants")
    parser.add_argument("--only")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="comparison of policy variants")
    parser.add_argument("--keep")
    return parser.parse_args()


def read_variants(arguments):
    variants = {UNCHANGED: {}}
    if arguments.variants:
        variants.update(json.loads(pathlib.Path(arguments.variants).read_text(encoding="utf-8")))
    if arguments.only:
        names = [UNCHANGED, *arguments.only.split(",")]
        unknown = [name for name in names if name not in variants]
        if unknown:
            sys.exit(f"{arguments.variants}: no variant {', '.join(unknown)}")
        variants = {name: variants[name] for name in names}
    return variants


def read_days(argument):
    """Returns the site file and the names of the days to play."""
    path, _, names = argument.partition(":")
    site = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    known = [day["name"] for day in site["day"]]
    days = names.split(",") if names else known
    unknown = [day for day in days if day not in known]
    if unknown:
        sys.exit(f"{path}: no day {', '.join(unknown)}")
    return pathlib.Path(path).resolve(), days


def prepare_tree(directory, policy):
    """Clones the committed tree and sets a policy in its settings template."""
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(directory)], check=True)
    if policy:
        template = directory / TEMPLATE
        text = template.read_text(encoding="utf-8")
        end = text.rindex("}")
        template.write_text(f'{text[:end].rstrip()},\n  "policy": {json.dumps(policy)}\n}}\n', encoding="utf-8")


def play(bench, tree, site, day, seed, why):
    """Plays one day and returns its journal entry."""
    command = [bench, "run", str(site), day, "--no-cpu", "--jobs", "1", "--why", why]
    if seed != "own":
        command += ["--seed", seed]
    result = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
    snapshot = re.search(r"snapshot ([0-9a-f]+)", result.stdout)
    if snapshot is None:
        raise RuntimeError(f"{site.stem} {day}: no result\n{result.stdout}{result.stderr}")
    (path,) = (tree / "journal").glob(f"*-{snapshot.group(1)}.json")
    entry = json.loads(path.read_text(encoding="utf-8"))
    if not entry["days"]:
        raise RuntimeError(f"{site.stem} {day}: {entry['error']}")
    return path, entry, result.stdout


def print_table(variants, results):
    print(f"{'variant':34} {'site':26} {'day':10} {'worth':>7} {'spread':>7} {'change':>7}  windows class  broken")
    unchanged = {key: statistics.mean(day["G"] for day in days) for key, days in results[UNCHANGED].items()}
    for variant in variants:
        for (site, name), days in sorted(results[variant].items()):
            worth = [day["G"] for day in days]
            parts = {part: statistics.mean(value for day in days for label, _, value in day["parts"] if label == part)
                     for part, _, _ in days[0]["parts"]}
            broken = sorted({rule for day in days for rule in day["rules"]}) or "-"
            print(f"{variant:34} {site:26} {name:10} {statistics.mean(worth):7.4f} {max(worth) - min(worth):7.4f} "
                  f"{statistics.mean(worth) - unchanged[site, name]:+7.4f}    {parts.get('worst windows', 0):.3f} "
                  f"{parts.get('worst class', 0):.3f}  {broken if broken == '-' else ' '.join(broken)}")


def main():
    arguments = parse_arguments()
    variants = read_variants(arguments)
    sites = [read_days(argument) for argument in arguments.sites]
    results = {variant: {} for variant in variants}
    with tempfile.TemporaryDirectory(prefix="play-days-") as directory:
        trees = {}
        for number, (variant, policy) in enumerate(variants.items()):
            trees[variant] = pathlib.Path(directory) / f"tree-{number}"
            prepare_tree(trees[variant], policy)
            subprocess.run([arguments.bench, "build"], cwd=trees[variant], check=True, stdout=sys.stderr)
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            plays = {
                pool.submit(play, arguments.bench, trees[variant], site, day, seed, f"{arguments.why}: {variant}"):
                (variant, site, day, seed)
                for site, days in sites for day in days for seed in arguments.seeds.split(",") for variant in variants
            }
            for done in concurrent.futures.as_completed(plays):
                variant, site, day, seed = plays[done]
                path, entry, report = done.result()
                shutil.copy(path, ROOT / "journal")
                if arguments.keep:
                    keep = pathlib.Path(arguments.keep)
                    keep.mkdir(parents=True, exist_ok=True)
                    (keep / f"{variant}-{site.stem}-{day}-{seed}.txt").write_text(report, encoding="utf-8")
                for played in entry["days"]:
                    results[variant].setdefault((site.stem, day), []).append(played)
                print(f"{variant} {site.stem} {day} seed {seed}: {[p['G'] for p in entry['days']]} {entry['id']}",
                      file=sys.stderr, flush=True)
    print_table(variants, results)


if __name__ == "__main__":
    main()
