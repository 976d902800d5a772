#!/usr/bin/env python3
"""Plays each kind of trouble, twice alone and twice beside another, on the users' bench.

    python3 scripts/kind_days.py --bench PROGRAM --site SITE.toml [--jobs N] [--seed N]
                                 [--only TEXT] [DIRECTORY]

Writes a day file per trouble to DIRECTORY (a temporary one by default), plays it in
this repository and prints what the bench's journal entry says: broken rules, faults,
worth. Exits 1 if a rule was broken.
"""

import argparse
import glob
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

# Kind, variants of `how`, further fields.
KINDS = [
    ("burst", [""], "x = 2.5"),
    ("shift", [""], "share = 0.7"),
    ("retry_abuse", [""], "share = 0.6, x = 4.0"),
    ("give_up", ["", "once", "prompt"], "share = 0.5"),
    ("srv_crash", ["", "dark", "gone", "domain", "joined", "rack"], "share = 0.3"),
    ("srv_grey", ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "slow one_zone",
                  "errors one_zone"], "share = 0.3"),
    ("release", [""], "share = 0.7, x = 2.0, gap_s = 1.0"),
    ("scale_in", ["", "spot", "reclaim", "reclaim dry"], "share = 0.3"),
    ("answer_lost", ["", "reset"], "share = 0.7, x = 0.3"),
    ("garble", ["", "extra", "unframed", "early", "rot"], "share = 0.7, x = 0.1"),
    ("node_kill", ["", "power", "leader", "giver"], "share = 0.3"),
    ("node_freeze", ["", "renewed", "giver renewed", "leader", "reader"], "count = 1"),
    ("roll_term", ["", "busy", "remove", "leader"], "share = 1.0, gap_s = 2.0"),
    ("herd_kill", ["", "power", "off"], "share = 0.6"),
    ("replace_core", ["", "planned"], "x = 1.0"),
    ("after_ack_kill", ["", "kill", "timed"], "count = 2"),
    ("clock_step", ["", "back", "ahead"], "share = 0.6, x = 30000"),
    ("core_cut", ["", "giver", "all", "near", "one_way", "lure", "relieve", "both", "seeds"],
     "count = 1"),
    ("node_cut", ["", "all", "servers", "servers reborn", "reset", "refuse", "meet"],
     "share = 0.3"),
    ("lossy", [""], "x = 0.1"),
    ("platform_down", ["silent", "busy", "reset", "silent lapse", "nodes busy", "nodes many",
                       "nodes reset", "nodes silent", "nodes leader revoke",
                       "nodes reset revoke meet drain"], "share = 0.5"),
    ("platform_slow", [""], "x = 50"),
    ("platform_lost", ["", "late"], "x = 0.5"),
    ("platform_compact", ["", "stale", "drain", "stale drain"], "x = 3.0"),
    ("config_change", ["route", "weights", "timeout", "idle"], ""),
    ("config_storm", [""], "gap_s = 0.1"),
    ("big_config", [""], "count = 3000"),
    ("applied_late", ["", "orders", "cloud", "grants", "all"], "x = 0.7"),
    ("kv_slow", ["", "zones"], "share = 0.6"),
    ("handle_short", [""], "share = 0.6"),
    ("srv_slow", [""], "share = 0.4, x = 5.0"),
    ("srv_cut", ["", "fronts", "some", "some lossy", "one_way", "reset", "reborn"],
     "share = 0.4, x = 0.5"),
    ("replace_with_reuse", ["", "drain", "dark", "side"], "share = 0.3"),
    ("scale_out", [""], "share = 0.5, gap_s = 2.0"),
    ("node_slow", [""], "share = 0.3, x = 5.0"),
    ("hup", [""], "share = 1.0, gap_s = 0.5"),
    ("reset_conns", [""], "share = 0.6, x = 0.7"),
]
# Beside the second pair, in turn.
PARTNERS = [
    '{ kind = "burst", x = 2.3, for_s = 6.0, at = %s }',
    '{ kind = "answer_lost", share = 0.6, x = 0.2, for_s = 6.0, at = %s }',
    '{ kind = "node_freeze", how = "renewed", count = 1, for_s = 3.0, at = %s }',
    '{ kind = "platform_down", how = "silent", for_s = 5.0, at = %s }',
    '{ kind = "srv_crash", share = 0.3, for_s = 5.0, at = %s }',
    '{ kind = "herd_kill", share = 0.5, at = %s }',
]
CLOSINGS = ["power_off_all", "kill_all"]
# Entries of one kind overlap: the second begins before the first has ended.
STARTS = (2.0, 5.0, 16.0, 19.0)
PARTNER_STARTS = (15.5, 20.0)


def entry(kind, how, fields, at):
    parts = [f'at = {at}, kind = "{kind}", for_s = 5.0']
    if fields:
        parts.append(fields)
    if how:
        parts.append(f'how = "{how}"')
    return "  { " + ", ".join(parts) + " },\n"


def day_text(number, kind, how, fields):
    name = "-".join([kind] + how.split())
    text = f'name = "{name}"\nplan = []\nfaults = [\n'
    for at in STARTS:
        text += entry(kind, how, fields, at)
    for it, at in enumerate(PARTNER_STARTS):
        text += "  " + PARTNERS[(number + it) % len(PARTNERS)] % at + ",\n"
    closing = CLOSINGS[number % len(CLOSINGS)]
    return name, text + f']\nclosing = {{ kind = "{closing}", down_s = 1.5 }}\n'


def write_days(directory, only):
    files = []
    for kind, hows, fields in KINDS:
        for how in hows:
            name, text = day_text(len(files), kind, how, fields)
            if only not in name:
                continue
            path = os.path.join(directory, name + ".toml")
            with open(path, "w", encoding="utf-8") as out:
                out.write(text)
            files.append(path)
    return files


def journal_days(known):
    days = {}
    for path in set(glob.glob("journal/*.json")) - known:
        with open(path, encoding="utf-8") as source:
            entry_json = json.load(source)
        for day in entry_json.get("days") or []:
            days[day["name"]] = day
    return days


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--seed", default="1")
    parser.add_argument("--only", default="")
    parser.add_argument("directory", nargs="?")
    args = parser.parse_args()
    directory = args.directory or tempfile.mkdtemp(prefix="chervilwick-kinds-")
    os.makedirs(directory, exist_ok=True)
    files = write_days(directory, args.only)
    known = set(glob.glob("journal/*.json"))

    def play(path):
        done = subprocess.run(
            [args.bench, "run", args.site, path, "--seed", args.seed, "--no-cpu"],
            capture_output=True, text=True, check=False)
        return path, done

    with ThreadPoolExecutor(args.jobs) as pool:
        plays = list(pool.map(play, files))
    days = journal_days(known)
    broken = 0
    for path, done in plays:
        name = os.path.basename(path)[:-len(".toml")]
        day = days.get(name)
        if day is None:
            print(f"{name}: not played: {(done.stdout + done.stderr).strip()[-200:]}")
            continue
        is_broken = bool(day["rules"] or day["fault"])
        broken += is_broken
        print(f"{name}: worth {day['figure']} served {day['served']}"
              + (f" RULES {day['rules']} FAULT {day['fault']}" if is_broken else ""))
    print(f"{len(days)} of {len(files)} days played, {broken} with a rule broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
