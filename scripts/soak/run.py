"""Runs real fronts, a store, engines and clients as processes on loopback, plays
a plan of faults drawn from a seed, and judges what clients and engines saw.
docs/TESTING.md tells how to read the output.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import time

import checker
import deployment
import plan

ROOT = os.path.dirname(os.path.dirname(deployment.HERE))
INTERRUPTED = 130
MOST_FRONTS, MOST_ENGINES = 80, 100  # addresses of a run


def report(run, seconds):
    """Prints a line, and what broke; returns whether the run passed."""
    judge = checker.Checker(run.records())
    broken = judge.check()
    counts = judge.summary()
    whole = sum(n for key, n in counts.items() if key.endswith(" whole"))
    total = sum(counts.values())
    cut = sum(n for key, n in counts.items() if key.endswith(" closed"))
    requests = sum(it["attempt"] == 1 for it in judge.sends.values())
    if whole * 4 < requests or not requests:
        broken["UNSERVED"] = [f"{whole} of {requests} requests have a whole answer"]
    verdict = "FAIL " + " ".join(f"{rule}={len(it)}" for rule, it in sorted(broken.items()))
    faults = len(run.plan["actions"])
    print(f"seed {run.seed} {run.args.profile}: {verdict if broken else 'ok'}; "
          f"{whole} of {total} whole, {cut} cut, {faults} faults, {seconds:.0f} s")
    if broken or run.args.verbose:
        print("  traffic:", json.dumps(run.plan["traffic"]))
        for it in run.plan["actions"] if broken else []:
            print("  plan:", json.dumps(it))
        print("  answers:", ", ".join(f"{key} {n}" for key, n in sorted(counts.items())))
        for it in judge.budgets:
            print("  worst window:", it)
        for reason, n in sorted(judge.excused.items()):
            print(f"  excused: {n} {reason}")
        for rule, texts in sorted({**judge.found, **broken}.items()):
            for text in texts[:8]:
                print(f"  {rule}{'' if rule in broken else ' (tolerated)'}: {text}")
            if len(texts) > 8:
                print(f"  {rule}: {len(texts) - 8} more")
    if broken:
        print(f"  logs: {run.dir}; chervilwick-ctl explain ID {run.dir}/front-*.log")
        print(f"  again: {again(run.args, run.seed)}")
    sys.stdout.flush()
    return not broken


def again(args, seed):
    words = [f"--{name}={getattr(args, name)}" for name in
             ("seconds", "fronts", "engines", "clients", "slots", "profile")]
    for name in ("rate", "gap", "length", "mix"):
        value = getattr(args, name)
        if value is not None:
            text = ",".join(map(str, value)) if isinstance(value, list) else value
            words.append(f"--{name}={text}")
    return f"scripts/soak.sh --seeds {seed}..{seed} " + " ".join(words)


async def run_seed(args, seed):
    begin = time.monotonic()
    run = deployment.Run(args, seed)
    main = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, main.cancel)
    try:
        await run.main()
    finally:
        await run.end()
    return report(run, time.monotonic() - begin)


def numbers(text):
    return [float(it) for it in text.split(",")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1..1", help="A..B")
    parser.add_argument("--jobs", type=int, default=1, help="seeds beside each other")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--fronts", type=int, default=3)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--clients", type=int, default=2, help="processes")
    parser.add_argument("--slots", type=int, default=128, help="runs that an engine takes")
    parser.add_argument("--profile", choices=plan.PROFILES, default="mixed")
    parser.add_argument("--rate", type=float, help="requests a second of all clients")
    parser.add_argument("--gap", type=numbers, help="seconds between events")
    parser.add_argument("--length", type=numbers, help="seconds of a stream")
    parser.add_argument("--mix", type=numbers, help="weights of book, look, note, report")
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--logs", default=f"/tmp/chervilwick-soak/{os.getpid()}")
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    if args.fronts > MOST_FRONTS or args.engines > MOST_ENGINES:
        parser.error(f"at most {MOST_FRONTS} fronts and {MOST_ENGINES} engines")
    first, last = map(int, args.seeds.split(".."))
    failed = []
    if args.jobs > 1 and last > first:
        try:
            return asyncio.run(run_jobs(args, range(first, last + 1)))
        except asyncio.CancelledError:
            return INTERRUPTED
    for seed in range(first, last + 1):
        try:
            if not asyncio.run(run_seed(args, seed)):
                failed.append(seed)
        except asyncio.CancelledError:
            return INTERRUPTED
        except RuntimeError as error:
            print(f"seed {seed}: did not start: {error}; logs: {args.logs}/{seed}")
            failed.append(seed)
    return tally(last - first + 1, failed)


def tally(total, failed):
    print(f"soak: {total - len(failed)} of {total} seeds passed"
          + (f"; failed: {failed}" if failed else ""))
    return 1 if failed else 0


async def run_jobs(args, seeds):
    """Runs seeds beside each other, each in a process of its own."""
    free, children, failed = asyncio.Semaphore(args.jobs), [], []

    async def run_one(seed):
        async with free:
            child = await asyncio.create_subprocess_exec(
                sys.executable, __file__, *sys.argv[1:], f"--seeds={seed}..{seed}", "--jobs=1",
                f"--logs={args.logs}",
                stdout=asyncio.subprocess.PIPE, preexec_fn=deployment.end_with_parent)
            children.append(child)
            text, _ = await child.communicate()
            # The child's own tally is its last line.
            print("\n".join(text.decode().rstrip().split("\n")[:-1]), flush=True)
            if child.returncode:
                failed.append(seed)
    main = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, main.cancel)
    try:
        await asyncio.gather(*(run_one(it) for it in seeds))
    finally:
        for it in children:
            if it.returncode is None:
                it.terminate()
                await it.wait()
    return tally(len(seeds), sorted(failed))


if __name__ == "__main__":
    sys.exit(main())
