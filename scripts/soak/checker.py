"""Judges a run by what its clients and engines saw.

The records are those of wire.Log: `send`, `unsent` and `answer` of clients,
`arrive`, `run`, `end`, `refuse` and `draining` of engines, and of the driver
`fault` (something unplanned was done to `who` from t to t1), `planned` (what:
term, hup or config), `exit` and `memory`.
"""

import bisect
import collections

PROMISES = (408, 421, 429, 503)
ONCE = ("book", "note")
STREAMS = ("note", "report")
SERVICES = {"book": "desk", "look": "desk", "note": "llm", "report": "llm"}
ATTEMPTS = {"book": 2, "look": 3, "note": 2, "report": 3}
BOUNDS = {"contact": 3.0, "grace": 8.0, "lost_slack": 0.2, "retry_ratio": 0.2,
          "retry_slack": 12, "retry_window": 10.0, "memory": 110 << 20}
# A few of these may be chance: the count above which a run fails.
TOLERATED = {"LOST": 3, "BUDGET-ATTEMPTS": 3}


class Checker:
    def __init__(self, records, **bounds):
        self.bounds = {**BOUNDS, **bounds}
        self.found = collections.defaultdict(list)    # rule: texts
        self.excused = collections.Counter()          # reason
        self.budgets = []                             # the worst window of each service
        self.sends, self.answers = {}, {}
        self.arrivals = collections.defaultdict(list)
        self.runs = collections.defaultdict(list)
        self.faults = collections.defaultdict(list)
        self.terms = collections.defaultdict(list)
        self.engine_exits = {}
        self.refused = collections.defaultdict(list)  # (front, client's port): times
        for it in sorted(records, key=lambda it: it["t"]):
            self.take(it)

    def take(self, it):
        kind = it["e"]
        if kind == "send":
            self.sends[it["id"]] = it
        elif kind == "answer":
            self.answers[it["id"]] = it
        elif kind == "arrive":
            self.arrivals[it["id"]].append({**it, "refused": False})
        elif kind == "run":
            self.runs[it["id"]].append({**it, "end": None, "how": None, "status": None})
        elif kind == "refuse":
            for arrival in reversed(self.arrivals[it["id"]]):
                if arrival["engine"] == it["engine"]:
                    arrival["refused"] = True
                    break
        elif kind == "end":
            for run in self.runs[it["id"]]:
                if run["engine"] == it["engine"] and run["end"] is None:
                    run.update(end=it["t"], how=it["how"], status=it.get("status"))
        elif kind == "refused":
            self.refused[it["link"].replace("clients>", ""), it["port"]].append(it["t"])
        elif kind == "fault":
            self.faults[it["who"]].append((it["t"], it["t1"], it["what"]))
        elif kind == "planned" and it["what"] == "term":
            self.terms[it["who"]].append(it["t"])
        elif kind == "exit":
            self.take_exit(it)
        elif kind == "memory" and it["bytes"] > self.bounds["memory"]:
            self.flag("MEMORY", f"{it['who']} used {it['bytes'] >> 20} MiB")

    def take_exit(self, it):
        if it["who"].startswith("engine"):
            self.engine_exits[it["engine"]] = it["t"]
        if it["how"] == "by itself" or (it["how"] == "term" and it["code"] < 0):
            self.flag("ENDED", f"{it['who']} ended by itself with {it['code']}")
        elif it["how"] == "limit":
            if self.harmed(it["who"], it["since"], it["t"]):
                self.excused["stop ended by SIGKILL, front impaired"] += 1
            else:
                self.flag("KILLED", f"{it['who']} still ran at the limit of its stop")

    def flag(self, rule, text):
        self.found[rule].append(text)

    def harmed(self, who, begin, end):
        """Something unplanned from the contact time before `begin` to `end`."""
        return any(t < end and t1 > begin - self.bounds["contact"]
                   for t, t1, _ in self.faults[who])

    def engine_of(self, engine):
        """The process of an engine's id, which ends with the number of its start."""
        return engine.rpartition("-")[0]

    def engine_harmed(self, engine, begin, end):
        ended = self.engine_exits.get(engine)
        return (self.harmed(self.engine_of(engine), begin, end)
                or (ended is not None and ended < end))

    def check(self):
        for ident, send in self.sends.items():
            answer = self.answers.get(ident)
            self.check_runs(ident, send)
            if answer:
                self.check_answer(ident, send, answer)
        self.check_unasked()
        self.check_budget()
        self.check_deadlines()
        return self.broken()

    def broken(self):
        return {rule: texts for rule, texts in self.found.items()
                if len(texts) > TOLERATED.get(rule, 0)}

    def check_runs(self, ident, send):
        runs = self.runs.get(ident, [])
        if send["kind"] in ONCE and len(runs) > 1:
            self.flag("TWICE", f"{ident} {send['kind']} on {send['front']} ran at "
                      + ", ".join(f"{it['engine']} t={it['t']:.3f}" for it in runs))
        engines = {it["engine"] for it in runs if it["engine"] not in self.engine_exits
                   and not self.harmed(self.engine_of(it["engine"]), send["t"], it["t"] + 1)}
        if len(engines) > ATTEMPTS[send["kind"]]:
            self.flag("BUDGET-ATTEMPTS", f"{ident} {send['kind']} ran at {sorted(engines)}")
        for old, new in zip(runs, runs[1:]):
            limit = new["t"] + 0.4
            at_work = old["end"] is None or old["end"] > limit
            if not at_work or send["kind"] != "report" or old["engine"] == new["engine"]:
                continue
            if (self.harmed(send["front"], send["t"], limit)
                    or self.engine_harmed(old["engine"], send["t"], limit)
                    # A request that an engine reads late is no new send.
                    or self.engine_harmed(new["engine"], send["t"], limit)):
                self.excused["still at work after a resume, impaired"] += 1
            else:
                self.flag("TWICE", f"{ident} goes on at {new['engine']} while "
                          f"{old['engine']} is still at work 400 ms later")

    def check_answer(self, ident, send, answer):
        status, how = answer["status"], answer["how"]
        if how == "complete" and status in PROMISES and send["kind"] in ONCE:
            if self.runs.get(ident):
                self.flag("REFUSED", f"{ident} {send['kind']} on {send['front']} got {status} "
                          f"and ran at {self.runs[ident][0]['engine']}")
        if status and answer.get("echo") not in (ident, None):
            self.flag("MIXED", f"{ident} got the answer of {answer['echo']}")
        for it in self.runs.get(ident, []):
            if it["run"] == answer.get("stamp") and it["status"] not in (None, status):
                self.flag("MIXED", f"{ident} got {status} for an engine's {it['status']}")
        for problem in answer["problems"]:
            self.flag("MIXED", f"{ident} on {send['front']}: {problem}")
        if 200 <= status < 300:
            self.check_success(ident, send, answer)
        if how in ("closed", "garbage"):
            self.check_lost(ident, send, answer)

    def check_success(self, ident, send, answer):
        stamp, complete = answer.get("stamp"), answer["how"] == "complete"
        runs = {it["run"]: it for it in self.runs.get(ident, [])}
        if stamp not in runs:
            self.flag("MIXED", f"{ident} has a success with the stamp {stamp}")
        if send["kind"] not in STREAMS:
            if complete and answer.get("body") != f"{ident} {stamp} {send['sum']}":
                self.flag("MIXED", f"{ident} got the body {answer.get('body')!r}")
            return
        numbers = [it[0] for it in answer["events"]]
        first = send["last"] + 1
        if numbers != list(range(first, first + len(numbers))):
            self.flag("ORDER", f"{ident} {send['kind']} on {send['front']} got events {numbers}")
        if complete and (numbers[-1:] or [send["last"]]) != [send["events"]]:
            self.flag("ORDER", f"{ident} {send['kind']} on {send['front']} ended as complete "
                      f"after {numbers[-1:]} of {send['events']}")
        sources = list(dict.fromkeys(it[1] for it in answer["events"]))
        if send["kind"] == "note" and len(sources) > 1:
            self.flag("ORDER", f"{ident} is joined from {sources}")
        if not set(sources) <= set(runs):
            self.flag("MIXED", f"{ident} has events of runs {sources}, ran as {sorted(runs)}")

    def check_lost(self, ident, send, answer):
        begin, end, front = send["t"], answer["t"], send["front"]
        arrivals, runs = self.arrivals.get(ident, []), self.runs.get(ident, [])
        kind = "stream" if send["kind"] in STREAMS else "call"
        slack = self.bounds["lost_slack"]
        text = (f"{ident} {send['kind']} on {front} closed after {end - begin:.2f} s, "
                f"{len(answer['events'])} of {send['events']} events")
        term = max((it for it in self.terms[front]
                    if it <= end <= it + self.bounds["grace"] + 1), default=None)
        if term is not None:
            text += f", {end - term:.2f} s after SIGTERM, sent {begin - term:+.2f} s"
        if any(begin - 1 < it < end + 1 for it in self.refused[front, send.get("port")]):
            reason = "connection refused"
        elif not arrivals and end - begin <= slack:
            reason = "crossed a close"
        elif self.harmed(front, begin, end):
            reason = f"{kind} cut, front impaired"
        elif any(it["how"] in ("broke", "deadline") for it in runs):
            reason = f"{kind} cut, engine broke off"
        elif any(self.engine_harmed(it["engine"], begin, end) for it in arrivals):
            reason = f"{kind} cut, engine impaired"
        elif end - begin > send["deadline"] - 0.05:
            reason = f"{kind} cut, deadline"
        elif self.at_work_at_limit(term, begin, end, runs):
            reason = f"{kind} cut at the end of a stop, engine at work, sent up to 3 s into it"
        else:
            self.flag("LOST" if term is None else "LOST-STOP", text)
            return
        self.excused[reason] += 1

    def at_work_at_limit(self, term, begin, end, runs):
        """Cut in the last sixth of a stop, as no stop can wait any longer."""
        if term is None or begin > term + 3:
            return False
        late = term + self.bounds["grace"] * 5 / 6
        return end > late and any(it["end"] is None or it["end"] > late for it in runs)

    def check_unasked(self):
        for ident, arrivals in self.arrivals.items():
            send = self.sends.get(ident)
            for it in arrivals:
                if send is None:
                    self.flag("UNASKED", f"{it['engine']} got {ident}, which no client sent")
                elif (it["method"], it["path"]) != (send["method"], send["path"]):
                    self.flag("UNASKED", f"{it['engine']} got {ident} as {it['path']}")

    def check_budget(self):
        """Arrivals beyond the first in any window, over all fronts."""
        window = self.bounds["retry_window"]
        for service in set(SERVICES.values()):
            sent = sorted(it["t"] for it in self.sends.values()
                          if SERVICES[it["kind"]] == service)
            extra = sorted(t for ident, it in self.arrivals.items()
                           if it[0].get("service") == service for t in self.extra(it))
            worst, margin = None, float("-inf")
            for end in extra:
                n = bisect.bisect_right(extra, end) - bisect.bisect_right(extra, end - window)
                base = max(bisect.bisect_right(sent, end - shift)
                           - bisect.bisect_right(sent, end - shift - window)
                           for shift in (0, window / 2, window))
                allowed = (self.bounds["retry_ratio"] * base + self.bounds["retry_slack"])
                if n - allowed > margin:
                    worst, margin = (n, base, allowed, end), n - allowed
            if worst:
                n, base, allowed, end = worst
                text = (f"{service}: {n} arrivals beyond the first in the window that ends "
                        f"at t={end:.2f}, {allowed:.1f} allowed for {base} requests")
                self.budgets.append(text)
                if margin > 0:
                    self.flag("BUDGET", text)

    def extra(self, arrivals):
        """Times of the arrivals that count; the first accepted prompt is free."""
        prompted = started = False
        for it in arrivals:
            if it["stage"] == "prefill":
                if prompted or it["refused"]:
                    yield it["t"]
                prompted = prompted or not it["refused"]
            else:
                if started:
                    yield it["t"]
                started = True

    def check_deadlines(self):
        counted = late = 0
        worst = ""
        for ident, arrivals in self.arrivals.items():
            send = self.sends.get(ident)
            if send is None:
                continue
            for it in arrivals:
                if self.harmed(send["front"], send["t"], it["t"]):
                    continue
                counted += 1
                left = float(it["deadline"] or "inf") / 1000
                resent = it["t"] > arrivals[0]["t"] + 0.5
                ends = [send["t"] + send["deadline"],
                        arrivals[0]["t"] + float(arrivals[0]["deadline"] or "inf") / 1000]
                if left > send["deadline"] + 0.5 or (
                        resent and it["t"] + left > max(ends) + 0.5):
                    late += 1
                    worst = f"{ident} at {it['engine']}: {it['deadline']} ms"
        if late > 20 and late > counted / 5:
            self.flag("BUDGET-TIME",
                      f"{late} of {counted} calls had more time than was left; {worst}")

    def summary(self):
        """Counts of the clients' requests."""
        out = collections.Counter()
        for ident, it in self.answers.items():
            status = it["status"]
            whole = it["how"] == "complete" and 200 <= status < 300
            word = "whole" if whole else str(status) if it["how"] == "complete" else it["how"]
            out[f"{self.sends[ident]['kind']} {word}"] += 1
        return out
