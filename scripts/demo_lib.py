"""Starts and stops the programs of a small deployment on loopback."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"
START_TIMEOUT_S = 30


def http(method, address, path, body=None, headers=None, timeout=10):
    """Sends one request; returns (status, text)."""
    data = None
    if body is not None:
        data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
    # The servers' library takes form data up to 8 KiB only.
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=all_headers)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """One program with its log file."""

    def __init__(self, name, argv, log_dir):
        self.name = name
        self.argv = argv
        self.log = os.path.join(log_dir, name + ".log")
        self.popen = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.argv, stdout=log, stderr=log)

    def signal(self, number):
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def stop(self, timeout=70):
        """Stops gracefully; returns the exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def kill(self):
        self.signal(signal.SIGKILL)
        return self.popen.wait()


class Cluster:
    """Processes of a deployment, with addresses handed out in order."""

    def __init__(self, bin_dir, first_port):
        self.bin_dir = bin_dir
        self.next_port = first_port
        self.dir = tempfile.mkdtemp(prefix="chervilwick-")
        self.processes = {}
        self.hosts = []
        self.entries = {}
        self.agents = {}
        self.backends = {}
        self.kv = self.address()
        self.host_list = self.address()

    def address(self):
        self.next_port += 1
        return f"{HOST}:{self.next_port - 1}"

    def write(self, name, text):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def launch(self, name, program, *flags):
        argv = [os.path.join(self.bin_dir, program), *flags]
        self.processes[name] = Process(name, argv, self.dir)
        return self.processes[name]

    def add_standin(self, name, config):
        path = self.write(name + ".json", json.dumps(config))
        return self.launch(name, "chervilwick-standin", f"--config={path}")

    def start_platform(self):
        """Starts the key-value service; hosts are published later."""
        self.add_standin("kv", {"kv": self.kv})
        self.add_standin("hosts", {"host_list": {"address": self.host_list}})

    def publish_hosts(self):
        http("POST", self.host_list, "/admin/hosts", self.hosts)

    def add_engine(self, name, zone, role, model, weights, places=20, **extra):
        address = self.address()
        spec = {"name": name, "address": address, "role": role, "model": model,
                "weights": weights, **extra}
        self.backends[name] = address
        self.add_standin("engine-" + name, {"engines": [spec]})
        self.add_agent(name, zone, address, "vllm", places,
                       checks_fencing=extra.get("checks_fencing", False))

    def add_service(self, name, zone, delay_ms=5):
        address = self.address()
        self.backends[name] = address
        self.add_standin("service-" + name, {"services": [
            {"name": name, "address": address, "delay_ms": delay_ms}]})
        self.add_agent(name, zone, address, "plain", 16)

    def add_agent(self, backend, zone, address, kind, places, checks_fencing=False):
        name = "agent-" + backend
        listen, web = self.address(), self.address()
        path = self.write(name + ".yaml", "\n".join([
            f"name: {name}", f"zone: {zone}", f"listen: {listen}", f"http: {web}",
            f"host_list: {self.host_list}", f"backend_name: {backend}",
            f"backend_address: {address}", f"backend_kind: {kind}",
            f"checks_fencing: {'true' if checks_fencing else 'false'}",
            f"places: {places}", f"memory_pieces: {max(64, 2 * places)}", ""]))
        self.launch(name, "chervilwick-agent", f"--settings={path}")
        self.agents[name] = web
        self.hosts.append({"name": name, "role": "agent", "zone": zone,
                           "address": listen, "backend": backend, "state": "live"})

    def add_entry(self, name, zone, max_connections=2048):
        listen, web = self.address(), self.address()
        path = self.write(name + ".yaml", "\n".join([
            f"name: {name}", f"zone: {zone}", f"listen: {listen}", f"http: {web}",
            f"store: {self.kv}", f"host_list: {self.host_list}",
            "host_list_interval: 500ms", f"max_connections: {max_connections}", ""]))
        self.launch(name, "chervilwick-entry", f"--settings={path}")
        self.entries[name] = web
        self.hosts.append({"name": name, "role": "entry", "zone": zone,
                           "address": listen, "state": "live"})

    def wait_for(self, what, condition, timeout=START_TIMEOUT_S):
        deadline = time.time() + timeout
        while time.time() < deadline:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"timed out: {what}; logs are in {self.dir}")

    def is_ready(self, address):
        return http("GET", address, "/readyz", timeout=2)[0] == 200

    def stop(self):
        """Stops entries, agents, then stand-ins; returns names that did badly."""
        bad = []
        order = sorted(self.processes, key=lambda it: (
            not it.startswith("entry"), not it.startswith("agent")))
        for name in order:
            process = self.processes[name]
            if process.popen.poll() is None and process.stop() != 0:
                bad.append(name)
        return bad
