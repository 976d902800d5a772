"""A TCP proxy on loopback, in a process of its own, that impairs its links.

Arguments are the log and links NAME=LISTEN>TARGET. Standard input has a JSON line for each
change: link, mode (ok, delay, hold, reset or silent), ms for delays and way
(up, down or both) for hold and silent. `hold` keeps bytes until the next
change; `silent` drops for good what comes over the connections that exist.
"""

import asyncio
import collections
import json
import socket
import sys

import wire

CHUNK = 65536


class Link:
    def __init__(self, name, target, log):
        self.name, self.target, self.log = name, target, log
        self.mode, self.way, self.delay = "ok", "both", 0.0
        self.pairs = set()
        self.changed = asyncio.Event()

    def change(self, order):
        self.mode, self.way = order["mode"], order.get("way", "both")
        self.delay = order.get("ms", 0) / 1000 if self.mode == "delay" else 0.0
        if self.mode == "reset":
            for pair in list(self.pairs):
                pair.reset()
        if self.mode == "silent":
            for pair in self.pairs:
                pair.silent.update(("up", "down") if self.way == "both" else (self.way,))
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait(self, way):
        while self.mode == "hold" and self.way in (way, "both"):
            await self.changed.wait()


class Pair:
    """The two connections of one client."""

    def __init__(self, link, writers):
        self.link, self.writers, self.silent = link, writers, set()

    def reset(self):
        for writer in self.writers:
            try:
                # A close with a linger time of zero sends a reset.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
            writer.transport.abort()

    async def pump(self, way, reader, writer):
        """Passes on one direction, in order, each part after the link's delay."""
        loop = asyncio.get_running_loop()
        parts, ready = collections.deque(), asyncio.Event()

        async def send():
            while True:
                while not parts:
                    ready.clear()
                    await ready.wait()
                due, data = parts.popleft()
                await asyncio.sleep(max(0, due - loop.time()))
                await self.link.wait(way)
                if way in self.silent:
                    continue
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        async def receive():
            while True:
                data = await reader.read(CHUNK)
                parts.append((loop.time() + self.link.delay, data))
                ready.set()
                if not data:
                    return
        await asyncio.gather(send(), receive())


async def on_connection(link, reader, writer):
    try:
        host, port = link.target.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Its client can't tell this from a close after the request was read.
        link.log.write("refused", link=link.name, port=writer.get_extra_info("peername")[1])
        writer.transport.abort()
        return
    pair = Pair(link, (writer, far_writer))
    link.pairs.add(pair)
    pumps = [asyncio.create_task(pair.pump("up", reader, far_writer)),
             asyncio.create_task(pair.pump("down", far_reader, writer))]
    # An end of one side is the end of both: no client here closes one half only.
    done, rest = await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
    for it in rest:
        it.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
    link.pairs.discard(pair)
    if any(it.exception() for it in done):
        pair.reset()
    for it in pair.writers:
        it.close()


async def main():
    links, log = {}, wire.Log(sys.argv[1])
    for word in sys.argv[2:]:
        name, addresses = word.split("=")
        listen, target = addresses.split(">")
        link = links[name] = Link(name, target, log)
        host, port = listen.split(":")
        await asyncio.start_server(
            lambda reader, writer, link=link: on_connection(link, reader, writer),
            host, int(port), backlog=512)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        order = json.loads(line)
        links[order["link"]].change(order)


if __name__ == "__main__":
    asyncio.run(main())
