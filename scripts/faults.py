"""Faults on real processes: kills, stops, cuts and outages under traffic.

Counts answers at the clients and runs at the stand-ins; each case prints one
line and the script exits 0 only if all hold.
"""

import json
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

from demo_lib import Cluster, http

SEED_PROMPTS = "visit report number {}"


def model_setup(suffix="1"):
    return {
        "pools": {
            "prefill-a": {"role": "prefill", "model": "report", "weights": "r1",
                          "servers": {"p0": {}, "p1": {}}},
            "decode-a": {"role": "decode", "model": "report", "weights": "r1",
                         "servers": {"d0": {}, "d1": {}}},
            "prefill-b": {"role": "prefill", "model": "report", "weights": "r2",
                          "servers": {"q0": {}}},
            "decode-b": {"role": "decode", "model": "report", "weights": "r2",
                         "servers": {"e0": {}}},
            "desk": {"role": "plain", "servers": {"s0": {}, "s1": {}}},
        },
        "models": {"report": {"priority": "normal", "deadline": "30s",
                              "first_token_target": "10s", "routes": {
                                  "a": {"prefill": "prefill-a", "decode": "decode-a",
                                        "share": 100}}}},
        "services": {"/bookings": {"pool": "desk", "idempotent": False, "deadline": "8s"},
                     "/check": {"pool": "desk", "idempotent": True, "deadline": "8s"}},
    }


VERSION_B = {"models": {"report": {"routes": {
    "a": None, "b": {"prefill": "prefill-b", "decode": "decode-b", "share": 100}}}}}


class Traffic:
    """Clients that stream and book all the time and check each answer."""

    def __init__(self, cluster, expected):
        self.cluster = cluster
        self.expected = expected
        self.stopping = False
        self.lock = threading.Lock()
        self.counts = {"streams": 0, "whole": 0, "refused": 0, "failed": 0, "wrong": 0,
                       "broken": 0, "bookings": 0, "booked": 0, "not_run": 0, "unknown": 0}
        self.problems = []
        self.booked = {}
        self.threads = []

    def add(self, what, problem=None):
        with self.lock:
            self.counts[what] += 1
            if problem:
                self.problems.append(problem)

    def start(self, streams, bookers):
        for n in range(streams):
            self.threads.append(threading.Thread(target=self.stream_loop, args=(n,)))
        for n in range(bookers):
            self.threads.append(threading.Thread(target=self.booking_loop, args=(n,)))
        for it in self.threads:
            it.start()

    def stop(self):
        self.stopping = True
        for it in self.threads:
            it.join()

    def entry(self, n):
        addresses = list(self.cluster.entries.values())
        return addresses[n % len(addresses)]

    def stream_loop(self, n):
        while not self.stopping:
            self.stream_once(n)
            time.sleep(0.02)

    def stream_once(self, n):
        prompt = SEED_PROMPTS.format(n)
        body = json.dumps({"model": "report", "prompt": prompt, "max_tokens": 30,
                           "stream": True}).encode()
        request = urllib.request.Request(
            f"http://{self.entry(n)}/v1/completions", data=body,
            headers={"Content-Type": "application/json"})
        self.add("streams")
        text, whole, failed = "", False, None
        try:
            with urllib.request.urlopen(request, timeout=40) as response:
                for raw in response:
                    line = raw.decode().strip()
                    if line == "data: [DONE]":
                        whole = True
                    elif line.startswith("data: "):
                        event = json.loads(line[6:])
                        if "error" in event:
                            failed = event["error"]
                        else:
                            text += event["choices"][0]["text"]
        except urllib.error.HTTPError as error:
            answer = json.loads(error.read().decode())["error"]
            told = f"{answer['code']}: {answer['message']}"
            self.add("refused" if answer["run"] == "not_run" else "failed", told)
            time.sleep(0.2)
            return
        except OSError:
            self.add("broken")
            time.sleep(0.2)
            return
        known = self.expected.get(prompt)
        if known and not known.startswith(text):
            self.add("wrong", f"{prompt}: got {text!r}, not a prefix of {known!r}")
        elif whole and known and text != known:
            self.add("wrong", f"{prompt}: whole but short: {text!r}")
        elif whole:
            self.add("whole")
        elif failed:
            self.add("failed", f"{failed['code']}: {failed['message']}")
        else:
            self.add("broken")

    def booking_loop(self, n):
        number = 0
        while not self.stopping:
            number += 1
            self.book(f"house-{n}-{number}", n + number)
            time.sleep(0.05)

    def book(self, key, n):
        """Books, asking again under the same key until the outcome is known."""
        body = json.dumps({"house": key})
        self.add("bookings")
        for attempt in range(6):
            headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
            try:
                status, text = http("POST", self.entry(n + attempt), "/bookings", body,
                                    headers, timeout=12)
            except OSError:
                continue
            if status == 200:
                self.add("booked")
                with self.lock:
                    self.booked[key] = text
                return
            answer = json.loads(text).get("error", {})
            if answer.get("run") == "not_run" and self.stopping:
                break
            if answer.get("run") == "unknown":
                self.add("unknown")
                return
            time.sleep(0.3)
        self.add("not_run")


def start(bin_dir, port):
    cluster = Cluster(bin_dir, port)
    cluster.start_platform()
    fast = {"token_us": 15000, "prefill_us_per_token": 500}
    for name, zone, role, weights in (
            ("p0", "a", "prefill", "r1"), ("p1", "b", "prefill", "r1"),
            ("d0", "a", "decode", "r1"), ("d1", "b", "decode", "r1"),
            ("q0", "a", "prefill", "r2"), ("e0", "a", "decode", "r2")):
        cluster.add_engine(name, zone, role, "report", weights, checks_fencing=name[0] in "pe",
                           **fast)
    cluster.add_service("s0", "a", 20)
    cluster.add_service("s1", "b", 20)
    for n, zone in enumerate(("a", "b", "a")):
        cluster.add_entry(f"entry-{n}", zone)
    cluster.wait_for("host list", lambda: http("GET", cluster.host_list, "/hosts")[0] == 200)
    cluster.publish_hosts()
    for address in cluster.entries.values():
        cluster.wait_for("entry", lambda a=address: http("GET", a, "/healthz")[0] == 200)
    patch(cluster, 0, model_setup(), force=True)
    for web in list(cluster.entries.values()) + list(cluster.agents.values()):
        cluster.wait_for(f"{web} ready", lambda a=web: cluster.is_ready(a))
    return cluster


def patch(cluster, base, content, force=False, entry="entry-0", patch_id=None):
    body = {"base": base, "author": "faults", "reason": "test", "patch": content,
            "force": force}
    if patch_id:
        body["patch_id"] = patch_id
    return http("POST", cluster.entries[entry], "/admin/config/patch", body, timeout=20)


def ctl(cluster, *words):
    addresses = ",".join(cluster.entries[it] for it in ("entry-0", "entry-1"))
    command = [f"{cluster.bin_dir}/chervilwick-ctl", f"--entries={addresses}",
               "--author=faults", "--reason=test", *words]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
    return done.returncode, done.stdout + done.stderr


def learn_answers(cluster, n):
    """Whole answers while nothing is wrong: what each prompt must give."""
    expected = {}
    for it in range(n):
        prompt = SEED_PROMPTS.format(it)
        status, text = http("POST", list(cluster.entries.values())[0], "/v1/completions",
                            {"model": "report", "prompt": prompt, "max_tokens": 30}, timeout=30)
        assert status == 200, text
        expected[prompt] = json.loads(text)["choices"][0]["text"]
    return expected


def version_of(address):
    return json.loads(http("GET", address, "/admin/status", timeout=3)[1])["version"]


def runs_by_key(cluster):
    runs = {}
    for name in ("s0", "s1"):
        for call, count in json.loads(http("GET", cluster.backends[name], "/admin/runs")[1]).items():
            if call.startswith("POST /bookings"):
                runs[call] = runs.get(call, 0) + count
    return runs


def engine_state(cluster, name):
    return json.loads(http("GET", cluster.backends[name], "/admin/state", timeout=3)[1])


class Verdict:
    def __init__(self):
        self.failed = []

    def check(self, name, holds, detail=""):
        print(f"faults: {'ok  ' if holds else 'FAIL'} {name} {detail}", flush=True)
        if not holds:
            self.failed.append(name)


def judge_traffic(verdict, cluster, traffic, name, allow_broken=False):
    counts = traffic.counts
    verdict.check(f"{name}: no wrong, torn or repeated answer", counts["wrong"] == 0,
                  json.dumps(counts) + " " + "; ".join(traffic.problems[:2]))
    runs = runs_by_key(cluster)
    twice = [key for key, count in runs.items() if count > 1]
    verdict.check(f"{name}: no booking ran twice", not twice, str(twice[:3]))
    lost = [key for key in traffic.booked
            if not any(json.dumps({"house": key}) in call for call in runs)]
    verdict.check(f"{name}: each booking that was answered ran", not lost, str(lost[:3]))
    if not allow_broken:
        bad = counts["broken"] + counts["failed"]
        verdict.check(f"{name}: nothing was cut", bad == 0, f"{bad} cut")


def case_retreat_and_return(verdict, cluster, expected):
    """Retreat and return under traffic, an entry stopped, the store down for a while."""
    traffic = Traffic(cluster, expected)
    traffic.start(12, 3)
    time.sleep(1)
    status, text = patch(cluster, 1, VERSION_B)
    verdict.check("version B is accepted", status == 200, text)
    time.sleep(2)
    cluster.processes["entry-2"].signal(signal.SIGSTOP)
    code, text = ctl(cluster, "retreat", "--to=1")
    verdict.check("retreat is accepted", code == 0, text.strip())
    begin = time.time()
    cluster.wait_for("retreat in force", lambda: all(
        version_of(cluster.entries[it]) == 3 for it in ("entry-0", "entry-1")))
    print(f"faults: retreat in force at running entries after {time.time() - begin:.3f} s")
    cluster.processes["kv"].signal(signal.SIGSTOP)
    time.sleep(4)
    decodes = engine_state(cluster, "e0")["decodes"]
    cluster.processes["entry-2"].signal(signal.SIGCONT)
    time.sleep(3)
    after = engine_state(cluster, "e0")["decodes"]
    # Streams that the stopped entry had begun are finished where they began.
    begun = sum(it % len(cluster.entries) == 2 for it in range(12))
    verdict.check("no new request goes by the withdrawn version", after - decodes <= begun,
                  f"{decodes} then {after} decodes at the withdrawn pool, "
                  f"{begun} streams open at the stopped entry")
    code, text = ctl(cluster, "drain", "d1")
    verdict.check("with the store stopped a patch is not accepted or unknown",
                  code in (1, 3), text.strip())
    cluster.processes["kv"].signal(signal.SIGCONT)
    time.sleep(3)
    head = version_of(cluster.entries["entry-0"])
    if head != 3:
        print(f"faults: the drain took effect late, as version {head}; undone")
        ctl(cluster, "undrain", "d1")
    code, text = ctl(cluster, "return", "--to=2", "--steps=30,100", "--interval=3s",
                     "--min_requests=5")
    verdict.check("return passes its gate", code == 0, text.strip().replace("\n", " | "))
    time.sleep(2)
    code, text = ctl(cluster, "retreat", "--to=1")
    verdict.check("second retreat is accepted", code == 0, text.strip())
    time.sleep(1)
    traffic.stop()
    judge_traffic(verdict, cluster, traffic, "retreat and return")


def case_kills(verdict, cluster, expected):
    """Kills an agent in mid-stream, then an entry, then an engine."""
    traffic = Traffic(cluster, expected)
    traffic.start(12, 3)
    for name in ("agent-d0", "agent-p0", "engine-d1", "agent-s0"):
        time.sleep(1.5)
        cluster.processes[name].kill()
        time.sleep(3)
        cluster.processes[name].start()
        time.sleep(2)
    traffic.stop()
    judge_traffic(verdict, cluster, traffic, "kills of agents and engines", True)
    verdict.check("kills of agents and engines: streams were resumed",
                  traffic.counts["failed"] + traffic.counts["broken"] == 0,
                  json.dumps(traffic.counts) + "; ".join(traffic.problems[:3]))
    traffic = Traffic(cluster, expected)
    traffic.start(6, 3)
    time.sleep(1)
    cluster.processes["entry-1"].kill()
    time.sleep(2)
    cluster.processes["entry-1"].start()
    time.sleep(3)
    traffic.stop()
    judge_traffic(verdict, cluster, traffic, "kill of an entry", True)


def case_pauses(verdict, cluster, expected):
    traffic = Traffic(cluster, expected)
    traffic.start(12, 3)
    for name in ("agent-d0", "agent-s1", "entry-1", "kv"):
        time.sleep(1)
        cluster.processes[name].signal(signal.SIGSTOP)
        time.sleep(4)
        cluster.processes[name].signal(signal.SIGCONT)
        time.sleep(1)
    traffic.stop()
    judge_traffic(verdict, cluster, traffic, "pauses")


def case_lost_answers(verdict, cluster, expected):
    """The store applies writes and loses the answers."""
    base = version_of(cluster.entries["entry-0"])
    http("POST", cluster.kv, "/admin/faults", {"drop_answers": True})
    status, text = patch(cluster, base, {"limits": {"retry_percent": 11}}, patch_id="lost-1")
    http("POST", cluster.kv, "/admin/faults", {})
    verdict.check("a lost answer is said to be unknown", status == 504, text)
    time.sleep(1)
    status, text = patch(cluster, base, {"limits": {"retry_percent": 11}}, patch_id="lost-1",
                         entry="entry-1")
    verdict.check("its patch id resolves it", status == 200, text)
    status, text = patch(cluster, base, {"limits": {"retry_percent": 12}}, entry="entry-1")
    verdict.check("a loser on the same base is told so", status == 409, text)
    del expected


def case_poison(verdict, cluster, expected):
    def ask(n):
        try:
            return http("POST", list(cluster.entries.values())[n % 2], "/v1/completions",
                        {"model": "report", "prompt": "POISON pill", "max_tokens": 5},
                        timeout=40)
        except OSError as error:
            return 0, str(error)

    answers = []
    for n in range(4):
        answers.append(ask(n))
        for name in ("engine-p0", "engine-p1", "engine-d0", "engine-d1"):
            process = cluster.processes[name]
            if process.popen.poll() is not None:
                process.start()
        time.sleep(2.5)
    last = answers[-1]
    verdict.check("a request that crashes engines is quarantined",
                  last[0] == 422 and "quarantined" in last[1], str(last))
    traffic = Traffic(cluster, expected)
    traffic.start(4, 1)
    time.sleep(2)
    traffic.stop()
    verdict.check("others are served after it", traffic.counts["whole"] > 0,
                  json.dumps(traffic.counts))


def case_cancel(verdict, cluster, expected):
    """A client that goes away leaves no engine memory held."""
    del expected
    body = json.dumps({"model": "report", "prompt": "long report", "max_tokens": 2000,
                       "stream": True}).encode()
    request = urllib.request.Request(
        f"http://{list(cluster.entries.values())[0]}/v1/completions", data=body)
    response = urllib.request.urlopen(request, timeout=10)
    response.readline()
    response.close()
    time.sleep(2)
    running = sum(engine_state(cluster, it)["running"] for it in ("d0", "d1"))
    held = sum(engine_state(cluster, it)["held_kv"] for it in ("p0", "p1"))
    verdict.check("a cancelled stream frees the engine", running == 0 and held == 0,
                  f"running {running}, held {held}")


def case_graceful_stop(verdict, cluster, expected):
    """SIGTERM under load cuts nothing."""
    traffic = Traffic(cluster, expected)
    traffic.start(12, 3)
    time.sleep(1)
    statuses = []
    for name in ("agent-d0", "agent-p0", "agent-s0"):
        process = cluster.processes[name]
        process.signal(signal.SIGTERM)
        statuses.append(process.popen.wait(70))
        process.start()
        time.sleep(2)
    traffic.stop()
    verdict.check("agents stop with status 0", statuses == [0, 0, 0], str(statuses))
    judge_traffic(verdict, cluster, traffic, "graceful stop")


CASES = [case_retreat_and_return, case_graceful_stop, case_cancel, case_kills, case_pauses,
         case_lost_answers, case_poison]


def main():
    wanted = sys.argv[2:]
    verdict = Verdict()
    cluster = start(sys.argv[1], 23000)
    try:
        expected = learn_answers(cluster, 12)
        for case in CASES:
            if wanted and case.__name__ not in wanted:
                continue
            print(f"faults: -- {case.__doc__ or case.__name__}")
            case(verdict, cluster, expected)
            for web in list(cluster.entries.values()) + list(cluster.agents.values()):
                cluster.wait_for(f"{web} ready", lambda a=web: cluster.is_ready(a))
    finally:
        bad = cluster.stop()
    verdict.check("all programs stop gracefully", not bad, str(bad))
    print(f"faults: {len(verdict.failed)} failed; logs in {cluster.dir}")
    return 1 if verdict.failed else 0


if __name__ == "__main__":
    sys.exit(main())
