"""Stand-ins of the platform, the engines and the clients, and the fronts under test.

The stand-ins are tasks of the driver's process; each front is a process of its
own, started with the command of the deploy file. All addresses are loopback.
"""

import asyncio
import base64
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT = "target/chervilwick-front"
ENTRY_LIFETIME_S = 3.6
BEAT_S = 1.2
BROKEN = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n".rstrip() + "\n")
        self.file.flush()


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first, headers, body=b"", chunked=False):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server whose handler returns True to close the connection."""

    def __init__(self, address, handler):
        self.address, self.handler = address, handler
        self.takes_channels = lambda: True  # else new ones are reset
        self.writers, self.server, self.tasks = set(), None, set()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), backlog=512, limit=1 << 20)

    async def serve(self, reader, writer):
        if not self.takes_channels():
            writer.transport.abort()
            return
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if await self.handler(method, target, headers, body, reader, writer):
                    return
        except BROKEN:
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def crash(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        for it in list(self.tasks):
            it.cancel()


class Store:
    """The platform's store: keys with revisions, watches, leases, conditions."""

    def __init__(self, address, record):
        self.items, self.history, self.leases, self.seen = {}, [], {}, {}
        self.revision, self.next_lease = 10, 1000
        self.changed = asyncio.Event()
        self.record = record
        self.server = Server(address, self.handle)
        # While silent it takes calls and answers none, on these channels for good.
        self.silent, self.silent_calls = False, []

    async def start(self):
        await self.server.start()

    def put(self, key, value, lease=0):
        """A value of None removes the key."""
        self.revision += 1
        change = {"key": key, "rev": self.revision}
        if value is None:
            if self.items.pop(key, None) is None:
                return
            change["removed"] = True
        else:
            change.update(value=value, lease=lease,
                          created=self.items.get(key, {}).get("created", self.revision))
            self.items[key] = change
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.silent:  # entries and leases pause
                self.seen = {it: now for it in self.seen}
                continue
            ended = {it for it, lease in self.leases.items() if lease[1] < now}
            for it in ended:
                del self.leases[it]
            for key, item in list(self.items.items()):
                silent = key in self.seen and now - self.seen[key] > ENTRY_LIFETIME_S
                if silent or item["lease"] in ended:
                    self.seen.pop(key, None)
                    self.put(key, None)

    def transact(self, body):
        for it in body.get("expected", []):
            if self.items.get(it["key"], {"rev": 0})["rev"] != it["rev"]:
                return 412, {"items": []}
        for it in body.get("set_keys", []):
            if it.get("lease") and it["lease"] not in self.leases:
                return 404, {}
        for it in body.get("set_keys", []):
            self.record("store_write", key=it["key"])
            self.put(it["key"], it["value"], it.get("lease", 0))
        for key in body.get("remove", []):
            self.put(key, None)
        return 200, {"rev": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
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

    async def answer(self, path, query, body):
        words = path.split("/")
        if path == "/chervilwick/kv-watch":
            return await self.watch(query)
        if path == "/chervilwick/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [it for key, it in sorted(self.items.items())
                     if key.startswith(prefix) and key > after]
            return 200, {"items": items[:500], "has_more": len(items) > 500,
                         "current_rev": self.revision}
        if path == "/chervilwick/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/chervilwick/kv-txn":
            return self.transact(body)
        if path == "/chervilwick/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if words[2:3] == ["kv-keep"]:
            lease = self.leases.get(int(words[3]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        return 404, {}

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if self.silent:
            self.silent_calls.append(time.monotonic())
            self.record("unanswered", call=path)
            await reader.read()
            return True
        status, answer = await self.answer(path, query, json.loads(body or b"{}"))
        if self.silent:
            await reader.read()  # until the caller closes the channel
            return True
        writer.write(message(f"HTTP/1.1 {status} x", {"Content-Type": "application/json"},
                             json.dumps(answer).encode()))
        await writer.drain()
        return False


class Engine:
    """An engine; subclasses override `run`, which answers one request."""

    def __init__(self, bed, name, service, stage="", slots=16):
        self.bed, self.name, self.service, self.stage = bed, name, service, stage
        self.slots, self.running, self.runs, self.state = slots, 0, 0, "ready"
        self.address = bed.address(100 + len(bed.engines), 8080)
        bed.engines.append(self)
        self.life, self.id, self.server, self.task = 0, "", None, None
        self.seq, self.fence, self.switching, self.switch_s = 0, 0, None, 6.0

    async def start(self):
        self.life += 1
        self.id = f"{self.name}-{self.life}"
        self.born, self.state, self.running = int(time.time() * 1000), "ready", 0
        self.server = Server(self.address, self.handle)
        await self.server.start()
        self.task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(BEAT_S)

    def publish(self):
        entry = {"service": self.service, "addr": self.address, "zone": "a", "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": 1,
                 "born": self.born}
        if self.stage:
            entry.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        key = f"servers/{self.id}"
        known = self.bed.store.items.get(key)
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        self.bed.store.seen[key] = time.monotonic()
        if known is None or known["value"] != value:
            self.bed.record("entry", engine=self.id, state=self.state)
            self.bed.store.put(key, value)

    def crash(self):
        self.task.cancel()
        self.server.crash()

    def leave(self):
        """Ends: its entry is removed and its port is closed."""
        self.task.cancel()
        self.bed.store.put(f"servers/{self.id}", None)
        self.server.crash()

    def reply(self, writer, headers, status, body=b"", **more):
        fields = {"X-Request-Id": headers.get("x-request-id", ""),
                  "X-Server-Load": f"{self.running},0,{self.slots},100"}
        fields.update({key.replace("_", "-"): it for key, it in more.items()})
        writer.write(message(f"HTTP/1.1 {status} x", fields, body))

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/chervilwick/order":
            status = self.order(json.loads(body), headers)
            self.bed.record("order", engine=self.id, body=body.decode(), status=status)
            self.reply(writer, headers, status)
            return False
        if target.startswith("/chervilwick/"):
            self.bed.record("engine_call", engine=self.id, method=method, target=target)
            self.reply(writer, headers, 200 if method == "DELETE" else 404)
            return False
        wants = "prefill" if headers.get("x-stage") == "prefill" else "decode"
        request = headers.get("x-request-id", "")
        self.bed.record("arrive", engine=self.id, id=request, path=target, stage=wants,
                        state=self.state, deadline=headers.get("x-deadline-ms"))
        wrong = headers.get("x-expect-instance") not in (None, self.id)
        if wrong or (self.stage and self.stage != wants):
            self.bed.record("not_run", engine=self.id, id=request, status=421)
            self.reply(writer, headers, 421, X_Instance_Id=self.id)
            return False
        if self.running >= self.slots or self.switching:
            self.bed.record("not_run", engine=self.id, id=request, status=503)
            self.reply(writer, headers, 503, X_Not_Run="1")
            return False
        self.running += 1
        work = asyncio.create_task(self.run(wants, target, headers, body, writer))
        try:
            while not work.done() and not reader.at_eof() and not reader.exception():
                await asyncio.wait({work}, timeout=0.01)
            if not work.done():
                self.bed.record("caller_gone", engine=self.id, id=request)
                raise ConnectionError
            return work.result()
        finally:
            work.cancel()
            self.running -= 1

    def order(self, order, headers):
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["stage"] == self.stage:
            return 200
        if self.switching:
            return 409
        self.seq += 1
        self.switching = asyncio.create_task(self.switch(order["stage"]))
        return 202

    async def switch(self, stage):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.switch_s)
        self.stage, self.switching = stage, None
        self.publish()

    def stamp(self, headers):
        self.runs += 1
        stamp = f"{self.id}.{self.runs}"
        self.bed.record("run", engine=self.id, id=headers.get("x-request-id"), stamp=stamp)
        return stamp

    async def run(self, wants, target, headers, body, writer):
        raise NotImplementedError

    async def send_stream(self, headers, writer, events, gap_s, unframed=False):
        """An unframed answer has neither a length nor chunks and ends with its channel."""
        stamp = self.stamp(headers)
        fields = {"X-Request-Id": headers.get("x-request-id"), "X-Response-Stamp": stamp,
                  "Content-Type": "text/event-stream"}
        if unframed:
            head = "".join(f"{key}: {it}\r\n" for key, it in fields.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n".encode())
        else:
            writer.write(message("HTTP/1.1 200 OK", fields, chunked=True))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
        self.bed.record("run_done", engine=self.id, id=headers.get("x-request-id"))
        return unframed


class Front:
    def __init__(self, bed, index, seeds):
        self.bed, self.name, self.index = bed, f"front-{index}", index
        self.process, self.seeds = None, seeds
        self.clients = bed.address(10 + index, 8144)
        self.ready = bed.address(10 + index, 8140)

    def settings(self):
        """The deploy file's template, with the fields that it uses."""
        at, bounds = self.bed.address, self.bed.bounds
        number = 10 + self.index
        values = {"node": self.name, "zone": "a", "listen.front": self.clients,
                  "listen.ready": self.ready, "listen.control": at(number, 8146),
                  "ip": at(number, 0).split(":")[0], "port_range.0": "7660",
                  "platform.addr": self.bed.store.server.address,
                  "seeds": ",".join(self.seeds), "limits.memory_mb": "110",
                  **{f"bounds.{key}": str(it) for key, it in bounds.items()}}
        with open(os.path.join(ROOT, "deploy/front.yaml.in"), encoding="utf-8") as file:
            text = file.read()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        assert "{{" not in text, text
        return text

    def start(self):
        path = os.path.join(self.bed.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, FRONT)], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, preexec_fn=end_with_parent,
            env={"PATH": os.environ.get("PATH", ""), "CHERVILWICK_BOOT": path})
        log.close()
        self.bed.record("front_start", name=self.name, pid=self.process.pid)

    def signal(self, number):
        self.bed.record("front_signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def log_lines(self, *words):
        with open(os.path.join(self.bed.folder, self.name + ".log"), encoding="utf-8") as file:
            return [it for it in file if all(word in it for word in words)]


def end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Bed:
    """One run of a case."""

    def __init__(self, folder, bounds=None):
        # As the sheet of a small deployment has them.
        self.bounds = {"grace_s": 8, "contact_ms": 3000, "drain_ms": 2000, "retry_ratio": 0.2,
                       "retry_slack": 52, "retry_window_s": 10, **(bounds or {})}
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="chervilwick-review-")
        self.net = self.free_net()
        self.engines, self.fronts, self.tasks = [], [], []
        self.in_use, self.asked = [], 0.0
        self.store = Store(self.address(0, 8142), self.record)

    @staticmethod
    def free_net():
        for step in range(200):
            number = (os.getpid() + step * 37) % 20000
            net = f"127.{20 + number // 200}.{number % 200}"
            with socket.socket() as it:
                try:
                    it.bind((net + ".1", 8142))
                    return net
                except OSError:
                    continue
        raise RuntimeError("no free addresses")

    def address(self, number, port):
        return f"{self.net}.{number + 1}:{port}"

    def control(self, index):
        return self.address(10 + index, 8146)

    def add_fronts(self, count, seeds):
        self.fronts = [Front(self, it, seeds) for it in range(count)]

    async def start(self, config):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.store.put_json("op/config", config)
        for it in self.engines:
            await it.start()
        for it in self.fronts:
            it.start()
        end = time.monotonic() + 20
        for it in self.fronts:
            while not await self.is_ready(it):
                if time.monotonic() > end or it.process.poll() is not None:
                    raise RuntimeError(f"{it.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("ready", fronts=len(self.fronts))

    async def balance(self):
        """Asks each front each second, as the platform does; keeps `in_use` of one zone."""
        misses = {it.name: 0 for it in self.fronts}
        while True:
            self.asked = time.monotonic()
            ready = await asyncio.gather(*(self.is_ready(it) for it in self.fronts))
            for it, answer in zip(self.fronts, ready):
                misses[it.name] = 0 if answer else misses[it.name] + 1
            used = [it for it in self.fronts if misses[it.name] < 2]
            if used and 2 * len(used) < len(self.fronts):
                used = self.fronts
            if used != self.in_use:
                self.record("in_use", fronts=",".join(it.name for it in used))
            self.in_use = list(used)
            await asyncio.sleep(max(0.0, self.asked + 1 - time.monotonic()))

    async def is_ready(self, front):
        answer = await self.ask(front.ready, "GET", "/chervilwick/readyz", {}, timeout=1.0)
        return answer["status"] == 200

    async def ask(self, address, method, path, headers, body=b"", timeout=15.0, source=None):
        """One request on a channel of its own. `end` tells how the answer ended."""
        result = {"status": 0, "headers": {}, "body": b"", "end": "none"}

        async def exchange():
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(source, 0) if source else None)
            try:
                writer.write(message(f"{method} {path} HTTP/1.1",
                                     {"Host": "app.example", **headers}, body))
                first, fields = await read_head(reader)
                result.update(status=int(first.split(" ")[1]), headers=fields, end="cut")
                if fields.get("transfer-encoding", "").lower() == "chunked":
                    while True:
                        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                        part = await reader.readexactly(size + 2)
                        if size == 0:
                            break
                        result["body"] += part[:-2]
                else:
                    result["body"] = await read_body(reader, fields)
                result["end"] = "whole"
            finally:
                writer.close()
        try:
            await asyncio.wait_for(exchange(), timeout)
        except asyncio.TimeoutError:
            result["end"] = "timeout"
        except BROKEN:
            pass
        return result

    async def request(self, front, method, path, request, headers=None, body=b"", **more):
        self.record("sent", id=request, front=front.name, path=path)
        result = await self.ask(front.clients, method, path,
                                {"X-Request-Id": request, **(headers or {})}, body, **more)
        self.record("answer", id=request, status=result["status"], end=result["end"],
                    retry_after=result["headers"].get("retry-after", "-"),
                    bytes=len(result["body"]))
        return result

    def end(self):
        for it in self.fronts:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        for it in self.tasks:
            it.cancel()


def config(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(folder, bed_main, bounds=None):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def play():
        bed = Bed(folder, bounds)
        try:
            return await asyncio.wait_for(bed_main(bed), 110)
        finally:
            bed.end()
            if os.environ.get("KEEP"):
                print(bed.folder)
            else:
                shutil.rmtree(bed.folder, ignore_errors=True)
    try:
        broken = asyncio.run(play())
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
