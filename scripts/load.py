"""Latency that the router adds, and many streams through one entry.

    python3 scripts/load.py BIN_DIR [quick]
"""

import json
import subprocess
import sys
import time

from demo_lib import Cluster, http

TOKEN_US = 60000


def start(bin_dir):
    cluster = Cluster(bin_dir, 27000)
    cluster.start_platform()
    fast = {"token_us": TOKEN_US, "prefill_us_per_token": 100, "max_connections": 1300}
    cluster.add_engine("p0", "a", "prefill", "m", "r1", 1100, **fast)
    cluster.add_engine("d0", "a", "decode", "m", "r1", 600, **fast)
    cluster.add_engine("d1", "a", "decode", "m", "r1", 600, **fast)
    cluster.add_entry("entry-0", "a", 1500)
    cluster.wait_for("host list", lambda: http("GET", cluster.host_list, "/hosts")[0] == 200)
    cluster.publish_hosts()
    web = cluster.entries["entry-0"]
    cluster.wait_for("entry", lambda: http("GET", web, "/healthz")[0] == 200)
    body = {"base": 0, "author": "load", "reason": "load", "force": True, "patch": {
        "pools": {"p": {"role": "prefill", "model": "m", "weights": "r1",
                        "servers": {"p0": {}}},
                  "d": {"role": "decode", "model": "m", "weights": "r1",
                        "servers": {"d0": {}, "d1": {}}}},
        "models": {"m": {"first_token_target": "30s", "deadline": "120s", "routes": {
            "r": {"prefill": "p", "decode": "d", "share": 1}}}}}}
    status, text = http("POST", web, "/admin/config/patch", body)
    assert status == 200, text
    for address in [web] + list(cluster.agents.values()):
        cluster.wait_for("ready", lambda a=address: cluster.is_ready(a))
    return cluster


def cpu_and_memory(cluster, name):
    pid = cluster.processes[name].popen.pid
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        peak = [it for it in status if it.startswith("VmHWM")][0].split()[1]
    return (int(fields[11]) + int(fields[12])) / 100.0, int(peak) / 1024


def load(cluster, target, streams, requests, tokens, spread, *flags):
    command = [f"{cluster.bin_dir}/chervilwick-bench", "load", f"--target={target}",
               "--model=m", f"--streams={streams}", f"--requests={requests}",
               f"--tokens={tokens}", f"--spread={spread}", *flags]
    done = subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
    print(done.stdout + done.stderr, end="")
    return done.returncode == 0


def main():
    cluster = start(sys.argv[1])
    whole = True
    try:
        entry = cluster.entries["entry-0"]
        for round_number in range(2):
            print(f"-- round {round_number + 1}: straight to both engines, then through the entry")
            whole &= load(cluster, cluster.backends["d0"], 200, 400, 50, "3s",
                          f"--prefill_target={cluster.backends['p0']}")
            whole &= load(cluster, entry, 200, 400, 50, "3s")
        if "quick" in sys.argv:
            return 0 if whole else 1
        before = {it: cpu_and_memory(cluster, it)[0] for it in ("entry-0", "agent-d0")}
        began = time.time()
        print("-- a thousand streams at once, about 34 new a second and 16,000 tokens a second")
        whole &= load(cluster, entry, 1000, 2000, 480, "29s")
        took = time.time() - began
        for it in ("entry-0", "agent-d0"):
            cpu, peak = cpu_and_memory(cluster, it)
            print(f"{it}: {(cpu - before[it]) / took * 100:.0f}% of a core, {peak:.0f} MiB at most")
        status = json.loads(http("GET", entry, "/admin/status")[1])
        print("entry after: active streams", status["active_streams"])
    finally:
        bad = cluster.stop()
    print("load: all whole" if whole and not bad else f"load: not whole, or bad stop {bad}")
    return 0 if whole and not bad else 1


if __name__ == "__main__":
    sys.exit(main())
