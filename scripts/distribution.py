"""Time from acceptance of a version until it is in force at the last host.

Starts N processes on loopback (a quarter entries, the rest agents of one plain
service), submits patches at a rate, and reads the time at which each process
logged the version as in force.

    python3 scripts/distribution.py BIN_DIR [N ...] [--fault none|paused|store]
"""

import json
import re
import signal
import sys
import time

from demo_lib import Cluster, http

ZONES = ["a", "b", "c", "d"]
CHANGES = 12
RATE = 0.78
LINE = re.compile(r'^(\S+) INFO \S+ event=version_in_force number="(\d+)"')


def start(bin_dir, count, port):
    cluster = Cluster(bin_dir, port)
    cluster.start_platform()
    address = cluster.address()
    cluster.backends["shared"] = address
    cluster.add_standin("shared", {"services": [
        {"name": "shared", "address": address, "delay_ms": 1}]})
    entries = max(4, count // 4)
    for n in range(entries):
        cluster.add_entry(f"entry-{n}", ZONES[n % 4], 16)
    for n in range(count - entries):
        cluster.add_agent(f"s{n}", ZONES[n % 4], address, "plain", 4)
    cluster.wait_for("host list", lambda: http("GET", cluster.host_list, "/hosts")[0] == 200)
    cluster.publish_hosts()
    for web in list(cluster.entries.values()):
        cluster.wait_for("entry", lambda a=web: http("GET", a, "/healthz")[0] == 200, 60)
    return cluster


def submit(cluster, base, content):
    body = {"base": base, "author": "measure", "reason": "change", "patch": content,
            "force": True}
    status, text = http("POST", cluster.entries["entry-0"], "/admin/config/patch", body,
                        timeout=20)
    return status == 200, text


def accepted_at(cluster):
    """Unix time of each version's acceptance, from the store's records."""
    history = json.loads(http("GET", cluster.entries["entry-0"], "/admin/config/history")[1])
    return {it["number"]: it["accepted_unix_ms"] / 1000 for it in history}


def in_force_at(cluster, name):
    """Unix time at which a process had each version, or a later one, in force."""
    times = {}
    with open(cluster.processes[name].log, encoding="utf-8") as log:
        for line in log:
            match = LINE.match(line)
            if not match:
                continue
            stamp, number = match.group(1), int(match.group(2))
            whole, millis = stamp.split(".")
            seconds = time.mktime(time.strptime(whole, "%Y-%m-%dT%H:%M:%S"))
            times[number] = seconds + float("0." + millis)
    return times


def metric(address, name):
    for line in http("GET", address, "/metrics")[1].splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def totals(cluster):
    """Bytes on the wire by all processes, and processor time used by them."""
    sent, cpu = 0.0, 0.0
    for name, web in list(cluster.entries.items()) + list(cluster.agents.items()):
        kind = "entry" if name in cluster.entries else "agent"
        sent += metric(web, f"chervilwick_{kind}_wire_bytes_sent_total")
        pid = cluster.processes[name].popen.pid
        with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        cpu += (int(fields[11]) + int(fields[12])) / 100.0
    store = json.loads(http("GET", cluster.kv, "/admin/stats")[1])
    return sent, cpu, store["reads"] + store["writes"], store["writes"]


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def measure(bin_dir, count, fault, port):
    cluster = start(bin_dir, count, port)
    try:
        names = list(cluster.entries) + list(cluster.agents)
        servers = {it[len("agent-"):]: {} for it in cluster.agents}
        ok, text = submit(cluster, 0, {
            "pools": {"p": {"role": "plain", "servers": servers}},
            "services": {"/x": {"pool": "p", "idempotent": True}}})
        assert ok, text
        for web in list(cluster.agents.values()):
            cluster.wait_for("agent", lambda a=web: cluster.is_ready(a), 60)
        time.sleep(3)
        idle_before = totals(cluster)
        time.sleep(10)
        idle_after = totals(cluster)
        paused = names[1::10] if fault == "paused" else []
        for it in paused:
            cluster.processes[it].signal(signal.SIGSTOP)
        before, began = totals_of(cluster, paused), time.time()
        number = 1
        for n in range(CHANGES):
            due = began + n / RATE
            time.sleep(max(0, due - time.time()))
            if fault == "store" and n == 4:
                cluster.processes["kv"].signal(signal.SIGSTOP)
                time.sleep(8)
                cluster.processes["kv"].signal(signal.SIGCONT)
            ok, text = submit(cluster, number, {"limits": {"retry_percent": n + 1}})
            if ok:
                number = json.loads(text)["number"]
        time.sleep(4)
        after, took = totals_of(cluster, paused), time.time() - began
        resumed = time.time()
        for it in paused:
            cluster.processes[it].signal(signal.SIGCONT)
        time.sleep(4 if paused else 0)
        report(cluster, names, paused, resumed, number, fault,
               (idle_before, idle_after, before, after, took))
    finally:
        cluster.stop()


def totals_of(cluster, paused):
    return totals(cluster) if not paused else (0.0, 0.0, 0, 0)


def report(cluster, names, paused, resumed, number, fault, costs):
    accepted = accepted_at(cluster)
    last, lags, missing, late = [], [], 0, []
    logs = {it: in_force_at(cluster, it) for it in names}
    for version in range(2, number + 1):
        if version not in accepted:
            continue
        lag_of_all = []
        for it in names:
            reached = [at for n, at in logs[it].items() if n >= version]
            if not reached:
                missing += 1
            elif it in paused:
                late.append(min(reached) - resumed)
            else:
                lag_of_all.append(max(0.0, min(reached) - accepted[version]))
        lags += lag_of_all
        last.append(max(lag_of_all))
    idle_before, idle_after, before, after, took = costs
    count = len(names)
    print(f"N={count} fault={fault}: {number - 1} changes; in force at a host p50 "
          f"{quantile(lags, 0.5) * 1000:.0f} ms p99 {quantile(lags, 0.99) * 1000:.0f} ms; "
          f"at the last host p50 {quantile(last, 0.5) * 1000:.0f} ms "
          f"max {max(last) * 1000:.0f} ms; missing {missing}")
    print(f"  idle: {(idle_after[0] - idle_before[0]) / 10 / count:.0f} bytes/s a process, "
          f"{(idle_after[1] - idle_before[1]) / 10 / count * 100:.2f}% of a core, "
          f"{(idle_after[2] - idle_before[2]) / 10:.1f} store calls/s")
    if not paused:
        print(f"  at {RATE} changes/s: {(after[0] - before[0]) / took / count:.0f} bytes/s a "
              f"process, {(after[1] - before[1]) / took / count * 100:.2f}% of a core, "
              f"{(after[2] - before[2]) / took:.1f} store calls/s, "
              f"{(after[3] - before[3]) / max(1, number - 2):.2f} writes a change")
    if late:
        print(f"  paused processes had the last version {max(late) * 1000:.0f} ms after they "
              "went on")
    sys.stdout.flush()


def main():
    arguments = sys.argv[1:]
    fault = "none"
    if "--fault" in arguments:
        at = arguments.index("--fault")
        fault = arguments[at + 1]
        del arguments[at:at + 2]
    counts = [int(it) for it in arguments[1:]] or [25, 50, 100]
    for n, count in enumerate(counts):
        measure(arguments[0], count, fault, 25000 + n * 1000)


if __name__ == "__main__":
    main()
