"""Small deployment of both kinds on loopback, with a trace of one request."""

import json
import sys
import threading
import time

from demo_lib import Cluster, http

SETUP = {
    "pools": {
        "report-prefill": {"role": "prefill", "model": "report-writer",
                           "weights": "report-r1", "servers": {"rw-p0": {}, "rw-p1": {}}},
        "report-decode": {"role": "decode", "model": "report-writer",
                          "weights": "report-r1", "servers": {"rw-d0": {}, "rw-d1": {}}},
        "assess-prefill": {"role": "prefill", "model": "assess-models",
                           "weights": "assess-r1", "servers": {"am-p0": {}}},
        "assess-decode": {"role": "decode", "model": "assess-models",
                          "weights": "assess-r1", "servers": {"am-d0": {}}},
        "booking": {"role": "plain", "servers": {"visit-desk-0": {}, "visit-desk-1": {}}},
    },
    "models": {
        "report-writer": {"priority": "batch", "deadline": "60s", "routes": {
            "main": {"prefill": "report-prefill", "decode": "report-decode", "share": 100}}},
        "assess-models": {"priority": "normal", "deadline": "60s", "routes": {
            "main": {"prefill": "assess-prefill", "decode": "assess-decode", "share": 100}}},
    },
    "services": {
        "/bookings": {"pool": "booking", "idempotent": False, "priority": "normal"},
        "/bookings/check": {"pool": "booking", "idempotent": True, "priority": "urgent"},
    },
}
TRACE = "0af7651916cd43dd8448eb211c80319c"


def build(bin_dir, first_port):
    cluster = Cluster(bin_dir, first_port)
    cluster.start_platform()
    for name, zone, role in (("rw-p0", "kigali-a", "prefill"), ("rw-p1", "kigali-b", "prefill"),
                             ("rw-d0", "kigali-a", "decode"), ("rw-d1", "kigali-b", "decode")):
        cluster.add_engine(name, zone, role, "report-writer", "report-r1")
    cluster.add_engine("am-p0", "kigali-a", "prefill", "assess-models", "assess-r1")
    cluster.add_engine("am-d0", "kigali-a", "decode", "assess-models", "assess-r1")
    cluster.add_service("visit-desk-0", "kigali-a")
    cluster.add_service("visit-desk-1", "kigali-b")
    cluster.add_entry("entry-0", "kigali-a")
    cluster.add_entry("entry-1", "kigali-b")
    cluster.wait_for("host list", lambda: http("GET", cluster.host_list, "/hosts")[0] == 200)
    cluster.publish_hosts()
    for address in cluster.entries.values():
        cluster.wait_for("entry", lambda a=address: http("GET", a, "/healthz")[0] == 200)
    return cluster


def submit_setup(cluster):
    address = cluster.entries["entry-0"]
    body = {"base": 0, "author": "demo", "reason": "first version", "patch": SETUP,
            "force": True}
    status, text = http("POST", address, "/admin/config/patch", body)
    print(f"demo: first version: {status} {text}")
    for web in list(cluster.entries.values()) + list(cluster.agents.values()):
        cluster.wait_for(f"{web} ready", lambda a=web: cluster.is_ready(a))


def stream(address, model, prompt, max_tokens, echo, trace=""):
    """Streams one completion; returns its text, or None when it isn't whole."""
    import urllib.request
    body = json.dumps({"model": model, "prompt": prompt, "max_tokens": max_tokens,
                       "stream": True}).encode()
    headers = {"Content-Type": "application/json"}
    if trace:
        headers["traceparent"] = f"00-{trace}-b7ad6b7169203331-01"
    request = urllib.request.Request(f"http://{address}/v1/completions", data=body,
                                     headers=headers)
    text, whole = "", False
    with urllib.request.urlopen(request, timeout=60) as response:
        for line in response:
            line = line.decode().strip()
            if line == "data: [DONE]":
                whole = True
            elif line.startswith("data: "):
                event = json.loads(line[6:])
                if "error" in event:
                    print("demo: error", event)
                    return None
                piece = event["choices"][0]["text"]
                text += piece
                if echo and piece:
                    print(piece, end="", flush=True)
    if echo:
        print()
    return text if whole else None


def print_trace(cluster):
    spans = []
    addresses = list(cluster.entries.values()) + list(cluster.agents.values())
    for address in addresses:
        spans += json.loads(http("GET", address, f"/admin/traces?id={TRACE}")[1])
    spans.sort(key=lambda it: (it["start_unix_us"], -it["duration_us"]))
    if not spans:
        raise RuntimeError("the trace has no spans")
    begin = spans[0]["start_unix_us"]
    print(f"demo: trace {TRACE}")
    for it in spans:
        print(f"  +{(it['start_unix_us'] - begin) / 1000:8.2f} ms {it['duration_us'] / 1000:9.2f} ms"
              f"  {it['process']:18} {it['name']:16} {it['target']} {it['result']}")


def main():
    cluster = build(sys.argv[1], 21000)
    answers, lost, repeated, requests = 0, 0, 0, 0
    try:
        submit_setup(cluster)
        web = list(cluster.entries.values())
        print("demo: one report, as it streams:")
        expected = stream(web[0], "report-writer", "visit report for house 12", 24, True, TRACE)
        again = stream(web[1], "report-writer", "visit report for house 12", 24, False)
        requests += 2
        answers += (expected is not None) + (again is not None and again == expected)
        results = {}

        def one(number):
            model = "report-writer" if number % 2 else "assess-models"
            results[number] = stream(web[number % 2], model, f"request number {number}", 16, False)

        threads = [threading.Thread(target=one, args=(n,)) for n in range(16)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        requests += len(threads)
        answers += sum(len(text.split()) == 16 for text in results.values() if text)
        headers = {"Idempotency-Key": "house-12-morning", "Content-Type": "application/json"}
        bodies = [http("POST", address, "/bookings", {"house": 12}, headers) for address in
                  (web[0], web[1], web[0])]
        requests += len(bodies)
        answers += sum(status == 200 and text == bodies[0][1] for status, text in bodies)
        print(f"demo: booking sent three times, through both entries: {bodies}")
        runs = 0
        for name in ("visit-desk-0", "visit-desk-1"):
            found = json.loads(http("GET", cluster.backends[name], "/admin/runs")[1])
            runs += sum(count for body, count in found.items() if body.startswith("POST /bookings"))
        repeated = max(0, runs - 1)
        time.sleep(0.5)
        print_trace(cluster)
        lost = requests - answers
    finally:
        bad = cluster.stop()
    print(f"demo: {requests} requests, {answers} whole answers, {lost} lost, {repeated} repeated")
    if bad:
        print(f"demo: did not stop gracefully: {bad}; logs in {cluster.dir}")
    return 0 if lost == 0 and repeated == 0 and not bad else 1


if __name__ == "__main__":
    sys.exit(main())
