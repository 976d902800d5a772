"""HTTP/1.1 on asyncio streams, and logs that survive a SIGKILL.

It shares no code with the programs under test.
"""

import asyncio
import json
import os
import time

BROKEN = (asyncio.IncompleteReadError, ConnectionError, OSError)


class WireError(Exception):
    """Bytes that are no HTTP/1.1 message."""


class Log:
    """Appends a JSON line for each event, unbuffered."""

    def __init__(self, path):
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, event, **fields):
        line = {"e": event, "t": round(time.monotonic(), 4), **fields}
        os.write(self.file, (json.dumps(line) + "\n").encode())


async def read_head(reader):
    """Returns the first line and the headers by name in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.LimitOverrunError as error:
        raise WireError("head too long") from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise WireError("bad header " + line)
        headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_status(reader):
    first, headers = await read_head(reader)
    words = first.split(" ", 2)
    if len(words) < 2 or words[0] != "HTTP/1.1" or not words[1].isdigit():
        raise WireError("bad status line " + first)
    return int(words[1]), headers


async def body_parts(reader, headers, until_close=True):
    """Yields the body; raises one of BROKEN if it isn't complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = (await reader.readuntil(b"\r\n")).strip()
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError as error:
                raise WireError("bad chunk size") from error
            part = await reader.readexactly(size + 2)
            if part[-2:] != b"\r\n":
                raise WireError("bad chunk end")
            if size == 0:
                return
            yield part[:-2]
    elif "content-length" in headers:
        yield await reader.readexactly(int(headers["content-length"]))
    elif until_close:
        while part := await reader.read(65536):
            yield part


async def read_body(reader, headers, until_close=True):
    return b"".join([it async for it in body_parts(reader, headers, until_close)])


def message(first, headers, body=b"", chunked=False, unframed=False):
    """An unframed message has neither a length nor chunks and ends with its connection."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif not unframed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, body=None, timeout=1.0):
    """One call on a connection of its own; returns (status, body) or None."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": "soak", "Connection": "close"}, data))
            status, headers = await read_status(reader)
            return status, await read_body(reader, headers)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, WireError, *BROKEN):
        return None
