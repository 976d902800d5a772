"""Tests of the soak's checker: each kind of break is flagged, excused cases aren't."""

import os
import sys
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts", "soak"))

import checker  # noqa: E402
import plan  # noqa: E402


class Records:
    """What clients and engines would have written."""

    def __init__(self):
        self.lines = []

    def add(self, event, t, **fields):
        self.lines.append({"e": event, "t": t, **fields})
        return self

    def send(self, ident, kind, t=100.0, front="front-0", **fields):
        return self.add("send", t, **{
            "id": ident, "kind": kind, "front": front, "kept": False, "deadline": 10.0,
            "attempt": 1, "path": f"/{kind}/x", "method": "POST", "last": 0, "events": 3,
            "sum": 7, **fields})

    def arrive(self, ident, kind, t, engine="engine-1-1", **fields):
        return self.add("arrive", t, **{
            "id": ident, "engine": engine, "method": "POST", "path": f"/{kind}/x",
            "stage": "", "deadline": "9900", "last": None,
            "service": checker.SERVICES[kind], **fields})

    def run(self, ident, kind, t, end=None, engine="engine-1-1", how="done", **fields):
        self.arrive(ident, kind, t, engine)
        self.add("run", t, id=ident, engine=engine, run=engine + ".1", last=None)
        if end is not None:
            self.add("end", end, id=ident, engine=engine, how=how, **fields)
        return self

    def answer(self, ident, t, how="complete", **fields):
        return self.add("answer", t, **{
            "id": ident, "how": how, "status": 200, "events": [], "problems": [],
            "stamp": "engine-1-1.1", "echo": ident, **fields})

    def call(self, ident="a", kind="book", **fields):
        self.send(ident, kind).run(ident, kind, 100.1, 100.2, status=200)
        return self.answer(ident, 100.2, **{"body": f"{ident} engine-1-1.1 7", **fields})

    def stream(self, numbers, ident="a", kind="note", **fields):
        self.send(ident, kind).run(ident, kind, 100.1, 103.0)
        return self.answer(ident, 103.0, **{
            "events": [[it, "engine-1-1.1"] for it in numbers], **fields})

    def cut(self, ident="a", kind="note", sent=100.0, at=103.0, **fields):
        self.send(ident, kind, sent).run(ident, kind, sent + 0.1)
        return self.answer(ident, at, "closed", events=[[1, "engine-1-1.1"]], **fields)

    def fault(self, who, begin, end, what="pause"):
        return self.add("fault", begin, who=who, t1=end, what=what)

    def term(self, t, who="front-0"):
        return self.add("planned", t, what="term", who=who)


class CheckerTest(unittest.TestCase):
    def check(self, records, *rules, **bounds):
        judge = checker.Checker(records.lines, **bounds)
        self.assertEqual(sorted(judge.check()), sorted(rules), judge.found)
        return judge

    def test_whole_answers_pass(self):
        self.check(Records().call("a", "book").stream([1, 2, 3], "b", "report"))

    def test_call_that_ran_twice(self):
        self.check(Records().call().run("a", "book", 100.15, 100.2, "engine-2-1"), "TWICE")

    def test_plain_stream_that_ran_twice_is_no_resume(self):
        self.check(Records().stream([1, 2, 3]).run("a", "note", 101, 102, "engine-2-1"), "TWICE")

    def test_lookup_may_run_twice(self):
        records = Records().call("a", "look")
        self.check(records.run("a", "look", 100.15, 100.2, "engine-2-1"))

    def test_old_run_still_at_work_after_a_resume(self):
        records = Records().send("a", "report").run("a", "report", 100.1, 102.0)
        self.check(records.run("a", "report", 101.0, 102.0, "engine-2-1"), "TWICE")

    def test_old_run_that_ends_in_time_or_on_an_impaired_engine(self):
        records = Records().send("a", "report").run("a", "report", 100.1, 101.3)
        self.check(records.run("a", "report", 101.0, 102.0, "engine-2-1"))
        records = Records().send("a", "report").run("a", "report", 100.1)
        records.run("a", "report", 101.0, 102.0, "engine-2-1")
        self.check(records.fault("engine-1", 100.5, 101.5))

    def test_request_that_a_frozen_engine_reads_late(self):
        records = Records().send("a", "report").run("a", "report", 101.5, 104.0)
        records.run("a", "report", 102.0, 102.02, "engine-2-1", "gone")
        self.check(records, "TWICE")
        self.check(records.fault("engine-2", 100.0, 101.99))

    def test_refusal_of_a_booking_that_ran_before_or_later(self):
        for status in (408, 421, 429, 503):
            for ran in (100.05, 104.0):
                records = Records().send("a", "book").run("a", "book", ran)
                self.check(records.answer("a", 100.1, status=status, stamp=None), "REFUSED")

    def test_refusal_without_a_run_and_a_promise_of_nothing(self):
        records = Records().send("a", "book").arrive("a", "book", 100.05)
        self.check(records.answer("a", 100.1, status=503, stamp=None))
        records = Records().send("a", "book").run("a", "book", 100.05)
        self.check(records.answer("a", 100.1, status=502, stamp=None))

    def test_stream_cut_during_a_stop(self):
        self.check(Records().cut().term(101.0), "LOST-STOP")
        self.check(Records().cut(sent=104.5, at=108.9).term(101.0), "LOST-STOP")

    def test_cut_at_the_end_of_a_stop_with_the_engine_at_work(self):
        self.check(Records().cut(sent=103.9, at=108.9).term(101.0))

    def test_stop_does_not_excuse_cuts_of_another_front(self):
        records = Records().term(101.0, "front-1")
        for it in "abcd":
            records.cut(it)
        self.check(records, "LOST")

    def test_cuts_at_other_times_beyond_chance(self):
        records = Records().cut("a").cut("b").cut("c")
        self.check(records)
        self.check(records.cut("d"), "LOST")

    def test_cuts_that_faults_excuse(self):
        for who in ("front-0", "engine-1"):
            self.check(Records().cut().term(101.0).fault(who, 96.0, 97.5))
            self.check(Records().cut().term(101.0).fault(who, 90.0, 96.9), "LOST-STOP")
            self.check(Records().cut().term(101.0).fault(who, 103.1, 104.0), "LOST-STOP")

    def test_store_in_trouble_excuses_no_cut(self):
        self.check(Records().cut().term(101.0).fault("store", 99.0, 104.0), "LOST-STOP")

    def test_cut_that_the_engine_or_the_deadline_caused(self):
        records = Records().cut().term(101.0)
        self.check(records.add("end", 102.9, id="a", engine="engine-1-1", how="broke"))
        self.check(Records().cut(at=110.0).term(102.0))
        records = Records().cut().term(101.0)
        self.check(records.add("exit", 102.0, who="engine-1", engine="engine-1-1", how="term",
                               code=0))

    def test_request_that_crosses_a_close(self):
        records = Records().term(99.0).send("a", "book")
        self.check(records.answer("a", 100.1, "closed", status=0, stamp=None))
        records = Records().term(99.0).send("a", "book")
        self.check(records.answer("a", 100.5, "closed", status=0, stamp=None), "LOST-STOP")
        records = Records().term(99.0).send("a", "book").run("a", "book", 100.05)
        self.check(records.answer("a", 100.1, "closed", status=0, stamp=None), "LOST-STOP")

    def test_refused_connection_is_no_cut(self):
        records = Records().term(99.0).send("a", "book", port=4000)
        records.answer("a", 100.5, "closed", status=0, stamp=None)
        self.check(records.add("refused", 100.4, link="clients>front-1", port=4000), "LOST-STOP")
        self.check(records.add("refused", 100.4, link="clients>front-0", port=4000))

    def repeats(self, requests, extra, spread=5.0):
        records = Records()
        for it in range(requests):
            records.call(f"r{it}", "look")
        for it in range(extra):
            records.arrive(f"r{it}", "look", 101.0 + it * spread / extra, "engine-2-1")
        return records

    def test_repeats_beyond_the_budget_of_a_window(self):
        self.check(self.repeats(20, 14), retry_slack=10)
        self.check(self.repeats(20, 15), "BUDGET", retry_slack=10)
        self.check(self.repeats(20, 20, spread=40.0), retry_slack=10)

    def test_rejected_arrivals_count_and_the_first_prompt_does_not(self):
        records = Records()
        for it in range(20):
            records.stream([1, 2, 3], f"r{it}", "report")
            records.arrive(f"r{it}", "report", 100.05, "engine-3-1", stage="prefill")
        self.check(records, retry_slack=10)
        for it in range(20):
            records.add("refuse", 100.06, id=f"r{it}", engine="engine-3-1", status=503)
        self.check(records, "BUDGET", retry_slack=10)

    def test_more_engines_than_attempts(self):
        records = Records()
        for it in "abcd":
            records.call(it, "look")
            for engine in range(2, 5):
                records.run(it, "look", 100.1 + engine / 10, 101, f"engine-{engine}-1")
        self.check(records, "BUDGET-ATTEMPTS")
        self.check(records.fault("engine-2", 100.2, 101.0))

    def test_more_time_than_is_left(self):
        records = Records()
        for it in range(30):
            records.call(f"r{it}", "look")
        self.check(records)
        for it in range(30):
            records.send(f"s{it}", "look").arrive(f"s{it}", "look", 100.1, deadline="10600")
        self.check(records, "BUDGET-TIME")

    def test_events_missing_twice_or_out_of_order(self):
        for numbers in ([1, 3], [1, 1, 2, 3], [2, 1, 3]):
            self.check(Records().stream(numbers), "ORDER")

    def test_stream_complete_before_its_last_event(self):
        self.check(Records().stream([1, 2]), "ORDER")
        self.check(Records().stream([]), "ORDER")

    def test_plain_stream_joined_from_two_runs(self):
        events = [[1, "engine-1-1.1"], [2, "engine-1-1.1"], [3, "engine-2-1.1"]]
        records = Records().stream([], events=events).run("a", "note", 101.0, 103.0, "engine-2-1")
        self.check(records, "ORDER", "TWICE")

    def test_resumed_stream_may_be_joined(self):
        events = [[1, "engine-1-1.1"], [2, "engine-2-1.1"], [3, "engine-2-1.1"]]
        records = Records().send("a", "report").run("a", "report", 100.1, 101.0, how="gone")
        records.run("a", "report", 101.1, 103.0, "engine-2-1")
        self.check(records.answer("a", 103.0, events=events))

    def test_success_that_is_not_the_engines(self):
        for fields in ({"stamp": None}, {"body": "b engine-1-1.1 7"}, {"echo": "b"},
                       {"body": "a engine-1-1.1"}, {"status": 201},
                       {"problems": ["bad chunk size"]}):
            self.check(Records().call(**fields), "MIXED")

    def test_error_text_inside_a_stream(self):
        self.check(Records().stream([1, 2, 3], problems=["rest after the last event: 502"]),
                   "MIXED")

    def test_request_that_no_client_sent_or_that_changed(self):
        self.check(Records().arrive("b", "book", 100.0), "UNASKED")
        self.check(Records().send("a", "book").arrive("a", "book", 100.1, path="/book/y"),
                   "UNASKED")

    def test_front_that_ends_by_itself_or_at_the_limit(self):
        records = Records().add("exit", 100.0, who="front-0", how="by itself", code=-11)
        self.check(records, "ENDED")
        records = Records().add("exit", 100.0, who="front-0", how="term", code=-11, since=99.0)
        self.check(records, "ENDED")
        records = Records().add("exit", 108.0, who="front-0", how="limit", code=-9, since=100.0)
        self.check(records, "KILLED")
        self.check(records.fault("front-0", 107.0, 108.0))
        self.check(Records().add("exit", 100.0, who="front-0", how="term", code=0, since=99.0))

    def test_memory_over_the_limit(self):
        self.check(Records().add("memory", 100.0, who="front-0", bytes=111 << 20), "MEMORY")


class PlanTest(unittest.TestCase):
    def test_seed_gives_the_same_plan(self):
        for profile in plan.PROFILES:
            plans = [plan.draw(seed, 20, 3, 6, profile) for seed in (5, 5, 6)]
            self.assertEqual(plans[0], plans[1])
            if profile != "calm":
                self.assertNotEqual(plans[0], plans[2])


if __name__ == "__main__":
    unittest.main()
