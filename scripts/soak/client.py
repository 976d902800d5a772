"""Clients of the fronts, in a process of their own.

Standard input has a JSON line for each change of the balancer's rotation; its
end stops new requests, and the process ends when the last is over.
"""

import argparse
import asyncio
import json
import random
import sys
import time

import wire

MAX_ATTEMPTS = 4
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
REPEATED = ("look", "report")  # others only after a promise
STREAMS = ("note", "report")
CONNECT_S = 1.0
# Part of the new connections on which a request does not follow at once, and
# seconds until it or the last byte of its body does.
LATE_SHARE = 0.15
QUIET_S, UPLOAD_S = (0.3, 0.95), (0.3, 4.0)


class Request:
    """What one client wants; each attempt has its own id."""

    def __init__(self, rng, args, number):
        self.rng, self.number, self.attempt, self.last = rng, number, 0, 0
        self.first = None  # id of the attempt that brought the first event
        self.kind = rng.choices(("book", "look", "note", "report"), args.mix)[0]
        self.method = "POST" if self.kind == "book" or rng.random() < 0.7 else "GET"
        self.gap = rng.choice(args.gap)
        self.events = max(1, round(rng.choice(args.length) / self.gap))
        if self.kind in STREAMS:
            seconds = self.gap * self.events
            fault = "break" if rng.random() < args.faults else ""
            self.path = (f"/{self.kind}/s?events={self.events}&gap={self.gap}"
                         f"&fault={fault}&n={number}")
            self.deadline = 2 * seconds + 4
        else:
            fault = "fail" if rng.random() < args.faults else ""
            seconds = rng.uniform(0.005, 0.2)
            self.path = f"/{self.kind}/c?time={seconds:.3f}&fault={fault}&n={number}"
            self.deadline = rng.choice((2.0, 4.0))
        # Some leave in the middle of a stream.
        self.leaves = self.kind in STREAMS and rng.random() < 0.03
        self.end = time.monotonic() + self.deadline


class Client:
    def __init__(self, args):
        self.args = args
        self.log = wire.Log(args.log)
        self.rng = random.Random(args.seed)
        self.fronts = {}
        self.kept = []  # (time of the last use, front, reader, writer)

    async def read_rotation(self):
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            self.fronts = json.loads(line)

    def take_kept(self):
        while self.kept:
            used, front, reader, writer = self.kept.pop(self.rng.randrange(len(self.kept)))
            if time.monotonic() - used < 12 and not reader.at_eof() and not writer.is_closing():
                return front, reader, writer
            writer.close()
        return None

    async def connect(self):
        front = self.rng.choice(sorted(self.fronts))
        host, port = self.fronts[front].split(":")
        pair = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_S)
        return front, *pair

    async def attempt(self, request):
        """Returns how it ended: (how, status, seconds to wait)."""
        request.attempt += 1
        ident = f"{self.rng.getrandbits(64):016x}"
        channel = None
        if request.attempt == 1 and self.rng.random() < 0.6:
            channel = self.take_kept()
        is_kept = channel is not None
        try:
            front, reader, writer = channel or await self.connect()
        except (asyncio.TimeoutError, *wire.BROKEN):
            self.log.write("unsent", id=ident, kind=request.kind)
            return "unsent", 0, 0.1
        left = request.end - time.monotonic()
        body = f"body {ident} ".encode() * self.rng.choice((1, 3, 400))
        if request.method == "GET":
            body = b""
        headers = {"Host": "h", "X-Request-Id": ident, "X-Deadline-Ms": str(int(left * 1000)),
                   "X-Model": "m", "X-Token-Count": "800,80"}
        if request.last:
            headers["Last-Event-Id"] = str(request.last)
            headers["Resumes"] = request.first
        rest = wire.message(f"{request.method} {request.path} HTTP/1.1", headers, body)
        if not is_kept and self.rng.random() < LATE_SHARE:
            rest = await self.hold_back(rest, len(body), writer)
            if reader.at_eof() or writer.is_closing():
                self.log.write("unsent", id=ident, kind=request.kind)
                writer.close()
                return "unsent", 0, 0.1
        self.log.write("send", id=ident, front=front, kind=request.kind, kept=is_kept,
                       port=writer.get_extra_info("sockname")[1],
                       deadline=left, attempt=request.attempt, path=request.path,
                       method=request.method, last=request.last, events=request.events,
                       sum=sum(body) % 65521)
        seen = {"status": 0, "events": [], "problems": []}
        how = "complete"
        try:
            writer.write(rest)
            await asyncio.wait_for(self.read_answer(request, ident, reader, seen), left)
        except asyncio.TimeoutError:
            how = "deadline"
        except wire.WireError as error:
            how = "garbage"
            seen["problems"].append(str(error))
        except wire.BROKEN:
            how = "closed"
        except Left:
            how = "left"
        self.log.write("answer", id=ident, how=how, **seen)
        if how == "complete" and seen.pop("keep", True):
            self.kept.append((time.monotonic(), front, reader, writer))
        else:
            writer.transport.abort() if how == "deadline" else writer.close()
        return how, seen["status"], float(seen.get("retry") or 0)

    async def hold_back(self, data, body_bytes, writer):
        """Waits, after half of the body if there is one; returns what is left to send."""
        sent = 0
        if body_bytes and self.rng.random() < 0.5:
            sent = len(data) - body_bytes // 2
            writer.write(data[:sent])
        await asyncio.sleep(self.rng.uniform(*(UPLOAD_S if sent else QUIET_S)))
        return data[sent:]

    async def read_answer(self, request, ident, reader, seen):
        status, headers = await wire.read_status(reader)
        seen.update(status=status, stamp=headers.get("x-response-stamp"),
                    echo=headers.get("x-request-id"), retry=headers.get("retry-after"),
                    keep=headers.get("connection", "").lower() != "close")
        if request.kind not in STREAMS or status != 200:
            body = await wire.read_body(reader, headers)
            seen["body"] = body.decode("latin-1")[:400]
            return
        text = b""
        async for part in wire.body_parts(reader, headers):
            text += part
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                self.take_event(request, ident, event.decode("latin-1"), seen)
                if request.leaves and len(seen["events"]) > request.events // 2:
                    raise Left()
        if text:
            seen["problems"].append("rest after the last event: " + text.decode("latin-1")[:80])

    def take_event(self, request, ident, event, seen):
        """Notes an event as [number, engine's run]."""
        lines = event.split("\n")
        words = lines[-1].split(" ")
        if (len(lines) != 2 or len(words) != 4 or words[:2] != ["data:", ident]
                or lines[0] != "id: " + words[2]):
            seen["problems"].append("event of another kind or request: " + event[:80])
            return
        seen["events"].append([int(words[2]), words[3]])
        request.last = int(words[2])
        request.first = request.first or ident

    async def run(self, request):
        """Repeats as the platform's clients do."""
        while request.attempt < MAX_ATTEMPTS:
            how, status, wait = await self.attempt(request)
            left = request.end - time.monotonic()
            over = how == "left" or left < 0.1 or status in FINAL
            if over or (how == "complete" and 200 <= status < 300):
                return
            promised = how == "unsent" or (how == "complete" and status in PROMISES)
            if request.kind not in REPEATED and not promised:
                return
            if request.kind == "note":
                request.last, request.first = 0, None
            await asyncio.sleep(min(max(wait, 0.05), left / 3))

    async def main(self):
        # The loop itself holds only a weak reference.
        rotation = asyncio.create_task(self.read_rotation())
        tasks, number, due = set(), 0, time.monotonic()
        while not rotation.done():
            due += self.rng.expovariate(self.args.rate)
            await asyncio.sleep(max(0, due - time.monotonic()))
            if self.fronts:
                number += 1
                request = Request(self.rng, self.args, number)
                tasks.add(asyncio.create_task(self.run(request)))
                tasks = {it for it in tasks if not it.done()}
        if tasks:
            await asyncio.wait(tasks)
        for it in self.kept:
            it[3].close()


class Left(Exception):
    """The client leaves before its stream has ended."""


def numbers(text):
    return [float(it) for it in text.split(",")]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--log", required=True)
    parser.add_argument("--seed", required=True)
    parser.add_argument("--rate", type=float, default=10, help="requests a second")
    parser.add_argument("--mix", type=numbers, default=[1, 1, 1, 1],
                        help="weights of bookings, lookups, plain and resumable streams")
    parser.add_argument("--gap", type=numbers, default=[0.06], help="seconds between events")
    parser.add_argument("--length", type=numbers, default=[2.0], help="seconds of a stream")
    parser.add_argument("--faults", type=float, default=0.0, help="share that engines fail")
    asyncio.run(Client(parser.parse_args()).main())
