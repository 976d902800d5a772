"""The processes of a run: starts them, plays the plan, and ends all of them."""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import sys
import time

import checker
import plan
import wire

HERE = os.path.dirname(os.path.abspath(__file__))
GRACE_S = checker.BOUNDS["grace"]
# A connection that is silent for good is closed by its users within this time.
SILENT_S = 20.0
READY_S = 20.0
LINKS_PER_PROXY = 40
PAGE = os.sysconf("SC_PAGE_SIZE")


def end_with_parent():
    """The kernel ends a child whose driver has gone without a word."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """A program that is started again after it ends."""

    def __init__(self, run, name, argv):
        self.run, self.name, self.argv = run, name, argv
        self.starts, self.process, self.busy = 0, None, False
        # How its end was asked for, and since when.
        self.asked, self.since = None, 0.0
        self.peak = 0  # bytes of memory

    async def start(self):
        self.starts += 1
        argv = self.argv(self.starts)
        with open(self.run.path(f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *argv, stdin=asyncio.subprocess.PIPE, stdout=log, stderr=log,
                preexec_fn=end_with_parent)
        self.asked = None
        self.run.tasks.append(asyncio.create_task(self.watch(self.process)))

    async def watch(self, process):
        starts = self.starts
        code = await process.wait()
        how = self.asked or "by itself"
        self.run.log.write("exit", who=self.name, how=how, code=code,
                           engine=f"{self.name}-{starts}",
                           since=self.since)
        if how == "by itself" and not self.run.over and not self.name.startswith("client"):
            await asyncio.sleep(0.5)
            await self.start()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def tell(self, line):
        if self.process.returncode is None and not self.process.stdin.is_closing():
            self.process.stdin.write((json.dumps(line) + "\n").encode())

    async def stop(self, limit):
        """SIGTERM, then SIGKILL at the limit."""
        self.asked, self.since = "term", time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except asyncio.TimeoutError:
            self.asked = "limit"
            await self.kill()

    async def kill(self):
        self.asked = self.asked or "kill"
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def sample(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as file:
                self.peak = max(self.peak, int(file.read().split()[1]) * PAGE)
        except (OSError, IndexError):
            pass


class Run:
    def __init__(self, args, seed):
        self.args, self.seed = args, seed
        self.dir = os.path.join(args.logs, str(seed))
        shutil.rmtree(self.dir, ignore_errors=True)
        os.makedirs(self.dir)
        self.log = wire.Log(self.path("driver.jsonl"))
        self.net = f"127.{100 + os.getpid() % 150}.{os.getpid() // 150 % 250}"
        self.fronts = [f"front-{it}" for it in range(args.fronts)]
        self.engines = [f"engine-{it}" for it in range(args.engines)]
        self.processes, self.proxies, self.tasks, self.over = {}, {}, [], False
        self.version = 1
        self.plan = plan.draw(seed, args.seconds, args.fronts, args.engines, args.profile,
                              rate=args.rate, gap=args.gap, length=args.length, mix=args.mix)

    def path(self, name):
        return os.path.join(self.dir, name)

    def address(self, number, port):
        return f"{self.net}.{number + 1}:{port}"

    def front_address(self, index, port):
        return self.address(10 + index, port)

    # Each link: name, where its clients connect, and where it leads.
    def links(self):
        for index, name in enumerate(self.fronts):
            clients, behind = self.front_address(index, 8144), self.front_address(index, 8150)
            yield f"clients>{name}", clients, behind
            yield f"{name}>store", self.front_address(index, 8151), self.address(0, 8142)
        for index, name in enumerate(self.engines):
            yield name, self.address(100 + index, 8080), self.address(100 + index, 8081)

    def add(self, name, argv):
        self.processes[name] = Process(self, name, argv)

    def python(self, program, *words):
        return [sys.executable, os.path.join(HERE, program), *words]

    def describe(self):
        self.add("store", lambda n: self.python(
            "peer.py", "--kind=store", "--listen=" + self.address(0, 8142),
            "--journal=" + self.path("store.journal")))
        links = list(self.links())
        for first in range(0, len(links), LINKS_PER_PROXY):
            part, proxy = links[first:first + LINKS_PER_PROXY], f"proxy-{first}"
            self.proxies.update({it[0]: proxy for it in part})
            words = [f"{name}={listen}>{target}" for name, listen, target in part]
            self.add(proxy, lambda n, proxy=proxy, words=words: self.python(
                "proxy.py", self.path(proxy + ".jsonl"), *words))
        for index, name in enumerate(self.engines):
            self.add(name, lambda n, index=index, name=name: self.engine(index, name, n))
        for index, name in enumerate(self.fronts):
            self.write_settings(index, name)
            self.add(name, lambda n, name=name: [
                os.path.join(self.args.build, "chervilwick-front"),
                "--settings=" + self.path(name + ".yaml")])
        traffic = self.plan["traffic"]
        for index in range(self.args.clients):
            self.add(f"client-{index}", lambda n, index=index: self.python(
                "client.py", "--log=" + self.path(f"client-{index}.jsonl"),
                f"--seed={self.seed}-{index}", f"--rate={traffic['rate'] / self.args.clients}",
                f"--faults={traffic['faults']}",
                *(f"--{it}=" + ",".join(map(str, traffic[it])) for it in ("gap", "length", "mix"))))

    def engine(self, index, name, starts):
        stage = ("prefill", "decode", "", "decode", "decode", "")[index % 6]
        return self.python(
            "peer.py", "--kind=engine", "--listen=" + self.address(100 + index, 8081),
            "--public=" + self.address(100 + index, 8080), "--store=" + self.address(0, 8142),
            f"--id={name}-{starts}", "--service=" + ("llm" if stage else "desk"),
            "--stage=" + stage, "--log=" + self.path(name + ".jsonl"),
            f"--slots={self.args.slots}")

    def write_settings(self, index, name, remark=""):
        bounds = checker.BOUNDS
        lines = {"name": name, "zone": "a", "clients": self.front_address(index, 8150),
                 "ready": self.front_address(index, 8140),
                 "control": self.front_address(index, 8146),
                 "metrics": self.front_address(index, 9464),
                 "peers": self.front_address(index, 7660),
                 "store": self.front_address(index, 8151),
                 "seeds": '"' + ",".join(self.front_address(it, 8146) for it in
                                         range(min(3, len(self.fronts)))) + '"',
                 "shutdown_limit": f"{GRACE_S:.0f}s", "contact_limit": "3000ms",
                 "drain_limit": "2000ms", "retry_ratio": bounds["retry_ratio"],
                 "retry_slack": bounds["retry_slack"], "retry_window": "10s",
                 "memory_limit": "110MiB"}
        with open(self.path(name + ".yaml"), "w", encoding="utf-8") as file:
            file.write(remark + "".join(f"{key}: {it}\n" for key, it in lines.items()))

    async def put_config(self):
        routes = []
        for name, service in checker.SERVICES.items():
            kind = {"book": "non_idempotent", "look": "idempotent"}.get(name, "streaming")
            routes.append({"name": name, "host": "h", "prefix": f"/{name}/", "kind": kind,
                           "service": service, "attempts": checker.ATTEMPTS[name],
                           "timeout_ms": 30000, "goal_ms": 700 + self.version % 7,
                           "priority": 1, "gap_goal_ms": 400, "resumable": name == "report"})
        # Versions differ in what no request uses.
        routes.append({**routes[1], "name": "spare", "prefix": f"/spare-{self.version}/"})
        engine = {"slots": self.args.slots, "kv_capacity": self.args.slots * 1000, "kv_ttl_s": 2.0,
                  "switch_s": 1.0}
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": "llm", "max_conns": 200, "engine": engine},
                               {"name": "desk", "max_conns": 200}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        for _ in range(50):
            if await wire.call(self.address(0, 8142), "POST", "/soak/put",
                               {"key": "op/config", "value": value}):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the store takes no configuration")

    async def balance(self):
        """Asks each front each second; two misses take it out."""
        misses = {it: 2 for it in self.fronts}
        while True:
            begin = time.monotonic()
            answers = await asyncio.gather(*(
                wire.call(self.front_address(index, 8140), "GET", "/chervilwick/readyz")
                for index in range(len(self.fronts))))
            for name, answer in zip(self.fronts, answers):
                misses[name] = 0 if answer and answer[0] == 200 else misses[name] + 1
                self.processes[name].sample()
            used = [it for it in self.fronts if misses[it] < 2]
            self.ready = len(used)
            if len(used) * 2 < len(self.fronts):
                used = self.fronts
            rotation = {it: self.front_address(self.fronts.index(it), 8144) for it in used}
            for index in range(self.args.clients):
                client = self.processes[f"client-{index}"]
                if client.process and self.ready and not self.over:
                    client.tell(rotation)
            await asyncio.sleep(max(0, begin + 1 - time.monotonic()))

    async def play(self, action):
        what, who = action["what"], action["who"]
        target = self.processes.get(who)
        begin = time.monotonic()
        if what == "config":
            self.version += random.Random(f"{self.seed} {self.version}").randint(1, 4)
            await self.put_config()
            self.log.write("planned", what="config", who=who)
        elif what == "link":
            await self.play_link(action)
        elif what in ("pause", "stall", "throttle"):
            await self.play_pause(action, target)
        elif target.busy:
            return
        elif what == "hup":
            self.write_settings(self.fronts.index(who), who, f"# {time.monotonic()}\n")
            self.log.write("planned", what="hup", who=who)
            target.signal(signal.SIGHUP)
        else:
            target.busy = True
            if what == "term":
                self.log.write("planned", what="term", who=who)
                await target.stop(GRACE_S if who in self.fronts else 16)
            else:
                await target.kill()
                self.fault("kill", who, begin)
            end = time.monotonic()
            await asyncio.sleep(action["down"])
            if not self.over:
                await target.start()
            target.busy = False
            if what == "kill" or who in self.engines:
                self.fault("down", who, end)

    async def play_pause(self, action, target):
        begin, off = time.monotonic(), action.get("off", action["seconds"])
        while time.monotonic() < begin + action["seconds"]:
            target.signal(signal.SIGSTOP)
            await asyncio.sleep(off)
            target.signal(signal.SIGCONT)
            await asyncio.sleep(action.get("on", 0))
        # A host that is busy for less than a second is no excuse.
        if action["what"] != "stall":
            self.fault(action["what"], action["who"], begin)

    async def play_link(self, action):
        begin, link = time.monotonic(), action["who"]
        machine = link.replace("clients>", "").replace(">store", "")
        proxy = self.processes[self.proxies[link]]
        proxy.tell({**action, "link": link})
        if action["mode"] in ("delay", "hold"):
            await asyncio.sleep(action["seconds"])
            proxy.tell({"link": link, "mode": "ok"})
        self.fault(action["mode"], machine, begin,
                   SILENT_S if action["mode"] == "silent" else 0.2)

    def fault(self, what, who, begin, more=0.0):
        line = {"what": what, "who": who, "t1": time.monotonic() + more}
        os.write(self.log.file, (json.dumps({"e": "fault", "t": begin, **line}) + "\n").encode())

    async def main(self):
        self.describe()
        for name, it in self.processes.items():
            if not name.startswith("client"):
                await it.start()
            if name == "store":
                await self.put_config()
        self.ready = 0
        self.tasks.append(asyncio.create_task(self.balance()))
        begin = time.monotonic()
        while self.ready < len(self.fronts):
            if time.monotonic() > begin + READY_S:
                raise RuntimeError(f"{self.ready} of {len(self.fronts)} fronts are ready")
            await asyncio.sleep(0.1)
        clients = [it for name, it in self.processes.items() if name.startswith("client")]
        for it in clients:
            await it.start()
            it.asked = "end"
        begin = time.monotonic()
        plays = []
        for action in self.plan["actions"]:
            await asyncio.sleep(max(0, begin + action["t"] - time.monotonic()))
            plays.append(asyncio.create_task(self.play(action)))
        await asyncio.sleep(max(0, begin + self.args.seconds - time.monotonic()))
        for it in clients:
            it.process.stdin.close()
        await asyncio.gather(*plays)
        await asyncio.wait([asyncio.create_task(it.process.wait()) for it in clients], timeout=45)

    async def end(self):
        self.over = True
        # Clients first: they see nothing of the end of the others.
        for it in reversed(self.processes.values()):
            if it.process and it.process.returncode is None:
                it.asked = "over"
                await it.kill()
        for name in self.fronts:
            if name in self.processes:
                self.log.write("memory", who=name, bytes=self.processes[name].peak)
        for it in self.tasks:
            it.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def records(self):
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".jsonl"):
                with open(self.path(name), encoding="utf-8") as file:
                    for line in file:
                        yield json.loads(line)
