"""Stand-ins of the platform's store and engines, each a process."""

import argparse
import asyncio
import base64
import json
import os
import signal
import sys
import time
import urllib.parse

import wire

ENTRY_LIFETIME_S = 3.6
BEAT_S = 1.0
# One in so many answers of an engine has neither a length nor chunks.
UNFRAMED_EVERY = 3


async def serve(address, handler):
    async def on_connection(reader, writer):
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers, until_close=False)
                method, target, _ = first.split(" ")
                if await handler(method, target, headers, body, reader, writer):
                    return
        except (wire.WireError, *wire.BROKEN):
            pass
        finally:
            writer.close()
    host, port = address.split(":")
    await asyncio.start_server(on_connection, host, int(port), backlog=512)


class Store:
    """Keys with revisions, watches and leases; a journal survives the process."""

    def __init__(self, journal):
        self.items, self.history, self.leases, self.seen = {}, [], {}, {}
        self.revision = 1
        self.changed = asyncio.Event()
        if os.path.exists(journal):
            with open(journal, encoding="utf-8") as file:
                for line in file:
                    if line.endswith("\n"):
                        self.apply(json.loads(line))
        self.oldest = self.revision
        self.history = []
        for it in self.items.values():
            if it["lease"]:
                self.leases.setdefault(it["lease"], [10.0, time.monotonic() + 10])
        # Unlike a lease number, the clock never repeats after a restart.
        self.next_lease = time.monotonic_ns() // 1000
        self.journal = open(journal, "a", encoding="utf-8")

    def apply(self, change):
        self.revision = change["rev"]
        key = change["key"]
        if change.get("removed"):
            self.items.pop(key, None)
        else:
            change["created"] = self.items.get(key, change)["rev"]
            self.items[key] = change
        if key.startswith("servers/"):
            self.seen[key] = time.monotonic()
        self.history.append(change)

    def put(self, key, value, lease=0):
        """A value of None removes the key."""
        change = {"key": key, "rev": self.revision + 1}
        if value is None:
            change["removed"] = True
        else:
            change.update(value=value, lease=lease)
        self.journal.write(json.dumps(change) + "\n")
        self.journal.flush()
        self.apply(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            ended = {it for it, lease in self.leases.items() if lease[1] < now}
            for it in ended:
                del self.leases[it]
            for key, item in list(self.items.items()):
                silent = now - self.seen.get(key, now) > ENTRY_LIFETIME_S
                if silent or item["lease"] in ended:
                    self.put(key, None)

    def transact(self, body):
        for it in body.get("expected", []):
            if self.items.get(it["key"], {"rev": 0})["rev"] != it["rev"]:
                return 412, {"items": []}
        for it in body.get("set_keys", []):
            if it.get("lease") and it["lease"] not in self.leases:
                return 404, {}
        for it in body.get("set_keys", []):
            self.put(it["key"], it["value"], it.get("lease", 0))
        for key in body.get("remove", []):
            self.put(key, None)
        return 200, {"rev": self.revision}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        if after < self.oldest:
            return 410, {}
        while True:
            events = [it for it in self.history if it["rev"] > after and
                      it["key"].startswith(query.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, path, query, body):
        words = path.split("/")
        if path == "/chervilwick/kv-watch":
            return await self.watch(query)
        if path == "/chervilwick/kv-key":
            item = self.items.get(query.get("key", ""))
            return (404, {}) if item is None else (
                200, {**item, "current_rev": self.revision})
        if path == "/chervilwick/kv-range":
            prefix = query.get("prefix", "")
            items = [it for key, it in sorted(self.items.items()) if key.startswith(prefix)]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        if path == "/chervilwick/kv-txn":
            return self.transact(body)
        if path == "/chervilwick/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if words[2:3] == ["kv-keep"] and words[3].isdigit():
            lease = self.leases.get(int(words[3]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {}
        if path == "/soak/put":
            item = self.items.get(body["key"])
            if item is None or item["value"] != body["value"]:
                if item is not None or body["value"] is not None:
                    self.put(body["key"], body["value"])
            if body["key"] in self.seen:
                self.seen[body["key"]] = time.monotonic()
            return 200, {}
        return 404, {}

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        status, answer = await self.answer(method, path, query, json.loads(body or b"{}"))
        writer.write(wire.message(f"HTTP/1.1 {status} x", {"Content-Type": "application/json"},
                                  json.dumps(answer).encode()))
        await writer.drain()


class Engine:
    """A model engine, or a plain service where it has no stage. The target of a
    request tells how long its run takes."""

    def __init__(self, args, log):
        self.args, self.log = args, log
        self.stage, self.state = args.stage, "ready"
        self.running = self.runs = self.orders = self.handles = 0
        self.switching = False
        # The loop itself holds only weak references.
        self.task = self.leaving = None
        self.born = int(time.time() * 1000)

    async def register(self):
        while True:
            await self.publish()
            await asyncio.sleep(BEAT_S)

    async def publish(self, gone=False):
        entry = {"service": self.args.service, "addr": self.args.public, "zone": "a",
                 "version": "v1", "slots": self.args.slots, "state": self.state,
                 "cold_left_ms": 0, "seq": 1, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
        value = None if gone else base64.b64encode(json.dumps(entry).encode()).decode()
        return await wire.call(self.args.store, "POST", "/soak/put",
                               {"key": "servers/" + self.args.id, "value": value})

    async def leave(self):
        """Reports that it is draining, serves on, and ends."""
        self.state = "draining"
        while not await self.publish():
            await asyncio.sleep(0.2)
        self.log.write("draining", engine=self.args.id)
        end = time.monotonic() + self.args.drain
        while time.monotonic() < end or (self.running and time.monotonic() < end + 10):
            await asyncio.sleep(0.1)
        await self.publish(gone=True)
        os._exit(0)

    async def switch(self, stage):
        self.switching = True
        while self.running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        self.stage, self.switching = stage, False
        await self.publish()

    def is_unframed(self):
        """Whether the answer of the run that has just begun ends with its connection."""
        return self.runs % UNFRAMED_EVERY == 0

    def reply(self, writer, headers, status, body=b"", unframed=False, **more):
        fields = {"X-Request-Id": headers.get("x-request-id", ""),
                  "X-Server-Load": f"{self.running},0,{self.args.slots},100"}
        fields.update({it.replace("_", "-"): value for it, value in more.items()})
        writer.write(wire.message(f"HTTP/1.1 {status} x", fields, body, unframed=unframed))

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/chervilwick/order":
            order = json.loads(body)
            self.orders += 1
            self.log.write("order", engine=self.args.id, holder=order.get("holder"),
                           fence=order.get("fence"), stage=order.get("stage"))
            if order.get("stage") != self.stage and not self.switching:
                self.task = asyncio.create_task(self.switch(order["stage"]))
            self.reply(writer, headers, 202)
            return False
        if target.startswith("/chervilwick/"):
            report = {"stage": self.stage, "models": [], "busy": self.switching,
                      "seq": self.orders, "queued": 0, "running": self.running,
                      "kv_used": 0, "kv_total": 100000, "handles": 0,
                      "born": self.born}
            return self.reply(writer, headers, 200, json.dumps(report).encode())
        request = headers.get("x-request-id", "")
        self.log.write("arrive", id=request, engine=self.args.id, method=method, path=target,
                       stage=headers.get("x-stage", ""), deadline=headers.get("x-deadline-ms"),
                       last=headers.get("last-event-id"), service=self.args.service)
        wants = "prefill" if headers.get("x-stage") == "prefill" else "decode"
        if headers.get("x-expect-instance") != self.args.id or (
                self.stage and self.stage != wants):
            return self.refuse(writer, headers, 421)
        if self.switching or self.running >= self.args.slots:
            return self.refuse(writer, headers, 503)
        self.running += 1
        try:
            work = asyncio.create_task(self.work(wants, target, headers, body, writer))
            while not work.done() and not reader.at_eof() and not reader.exception():
                await asyncio.wait({work}, timeout=0.02)
            if not work.done():
                self.log.write("end", id=request, engine=self.args.id, how="gone")
                work.cancel()
                raise ConnectionError("the caller has gone")
            return work.result()
        finally:
            self.running -= 1

    def refuse(self, writer, headers, status):
        self.log.write("refuse", id=headers.get("x-request-id", ""), engine=self.args.id,
                       status=status)
        self.reply(writer, headers, status, X_Not_Run="1")

    async def work(self, wants, target, headers, body, writer):
        request = headers.get("x-request-id", "")
        query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
        end = time.monotonic() + float(headers.get("x-deadline-ms", 60000)) / 1000
        if self.stage == "prefill":
            await asyncio.sleep(float(query.get("prompt", 0.02)))
            self.handles += 1
            tokens = int(headers.get("x-token-count", "1,1").split(",")[0])
            answer = {"handle": f"h{self.handles}", "tokens": tokens, "version": 1}
            return self.reply(writer, headers, 200, json.dumps(answer).encode())
        self.runs += 1
        stamp = f"{self.args.id}.{self.runs}"
        self.log.write("run", id=request, engine=self.args.id, run=stamp,
                       last=headers.get("last-event-id"))
        how, status = "done", 200
        # Some answers end their connection, so that callers make new ones.
        unframed = self.is_unframed()
        closes = unframed or (not self.stage and self.runs % 2 == 1)
        if not self.stage:
            seconds = float(query.get("time", 0.01))
            await asyncio.sleep(min(seconds, max(end - time.monotonic(), 0)))
            status = 500 if query.get("fault") == "fail" else 200
            if time.monotonic() > end:
                status, how = 504, "deadline"
            text = f"{request} {stamp} {sum(body) % 65521}"
            self.reply(writer, headers, status, text.encode(), unframed, X_Response_Stamp=stamp,
                       Connection="close" if closes else "keep-alive")
        else:
            how = await self.stream(request, stamp, query, headers, writer, end, unframed)
        self.log.write("end", id=request, engine=self.args.id, how=how, status=status)
        # An unframed answer that breaks off between events has to be reset.
        if how == ("deadline" if unframed else "broke"):
            writer.transport.abort()
        return closes or how != "done"

    async def stream(self, request, stamp, query, headers, writer, end, unframed):
        count, gap = int(query["events"]), float(query["gap"])
        breaks_at = count // 2 if query.get("fault") == "break" else 0
        writer.write(wire.message("HTTP/1.1 200 x", {
            "X-Request-Id": request, "X-Response-Stamp": stamp,
            "Content-Type": "text/event-stream"}, chunked=not unframed, unframed=unframed))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, count + 1):
            await asyncio.sleep(min(gap, 0.1) if number == first else gap)
            if time.monotonic() > end:
                return "deadline"
            event = f"id: {number}\ndata: {request} {number} {stamp}\n\n".encode()
            if number == breaks_at and headers.get("last-event-id") is None:
                event = event[:len(event) // 2]
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if len(event) and event[-1:] != b"\n":
                return "broke"
        if not unframed:
            writer.write(b"0\r\n\r\n")
        return "done"


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", required=True, choices=["store", "engine"])
    parser.add_argument("--listen", required=True)
    for name in ("id", "service", "stage", "public", "store", "log", "journal"):
        parser.add_argument("--" + name, default="")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--drain", type=float, default=3.0)
    args = parser.parse_args()
    if args.kind == "store":
        store = Store(args.journal)
        await serve(args.listen, store.handle)
        await store.expire()
    engine = Engine(args, wire.Log(args.log))
    await serve(args.listen, engine.handle)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, lambda: setattr(engine, "leaving", asyncio.create_task(engine.leave())))
    await engine.register()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
