"""Tenants get other names in a new version; their keys stay the same."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import stand  # noqa: E402

FRONTS, PREFILL_ENGINES, DECODE_ENGINES = 2, 2, 6
TENANTS, VERSIONS = 4, 5
# tavua-grid-grown: 33.3333 prompt tokens are read in a ms.
TOKENS_PER_MS = 33.3333
# The sheet: 200 shared + 3,000 tokens in, 70 out; the site file spreads them by 0.5.
PROMPTS, OUTPUT_TOKENS, STEP_S = (1600, 3200, 4800), 70, 0.00655
STREAMS_PER_S, BETWEEN_S = 18, 4.0
# Bounds of tavua-grid-grown that are not those of the small sites.
BOUNDS = {"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000,
          "config_apply_ms": 3000, "max_skew_ms": 6000, "retry_slack": 102,
          "quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 190000, "recover_s": 15,
          "transit_ms": 200, "reuse_window_s": 7.9}


class Model(stand.Engine):
    async def run(self, method, target, headers, body, reader, writer):
        request = headers["x-request-id"]
        prompt, output = map(int, headers["x-token-count"].split(","))
        prefill = headers.get("x-stage") == "prefill"
        if prefill != (self.stage == "prefill"):
            return self.refuse(headers, writer, 421)
        if prefill:
            async with self.reading:
                await asyncio.sleep(prompt / TOKENS_PER_MS / 1000)
            writer.write(stand.encode(
                "HTTP/1.1 200 OK", self.fields(headers, Content_Type="application/json"),
                b'{"handle":"%s","tokens":%d,"version":1}' % (os.urandom(6).hex().encode(),
                                                              prompt)))
            return False
        self.record(f"{self.name}: runs {request} for {headers.get('x-tenant')}")
        writer.write(stand.encode("HTTP/1.1 200 OK", self.fields(
            headers, X_Response_Stamp=self.stamp(), Content_Type="text/event-stream"),
            chunked=True))
        for number in range(1, output + 1):
            await asyncio.sleep(STEP_S)
            writer.write(stand.chunk(b"id: %d\ndata: token\n\n" % number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return False


async def ask(bed, number, answers):
    """Sends a stream with a key that all versions have."""
    request, key = f"s{number:04d}", f"key-{number % TENANTS}"
    reader, writer = await asyncio.open_connection(*bed.fronts[number % FRONTS].address("front"))
    prompt = random.choice(PROMPTS)
    bed.record(f"client: sends {request} with {key}")
    writer.write(stand.encode("POST /hint/1 HTTP/1.1", {
        "Host": "grid.example", "X-Request-Id": request, "X-Model": "m",
        "Authorization": f"Bearer {key}", "X-Token-Count": f"{prompt},{OUTPUT_TOKENS}",
        "X-Prompt-Prefix": f"{os.urandom(4).hex()}:{prompt}",
        "X-Deadline-Ms": "14000"}, b"x" * 3000))
    status = "closed"
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 15)
        status = int(head.split(b" ")[1])
        text = b""
        while status == 200 and not text.endswith(b"0\r\n\r\n"):
            part = await reader.read(65536)
            if not part:
                status = "cut"
                break
            text += part
    except (asyncio.TimeoutError, *stand.BROKEN):
        pass
    writer.close()
    answers[request] = status
    bed.record(f"client: {request}: {status}")


async def play(bed):
    bed.bounds = BOUNDS
    bed.shown_events = {"version_in_force", "key_revoked"}

    def put(version, suffix):
        # Each version differs in a route's aim, which no request here depends on.
        route = {"name": "hint", "host": "grid.example", "prefix": "/hint/", "kind": "streaming",
                 "timeout_ms": 14000, "goal_ms": 2000 + version, "priority": 1,
                 "service": "clue-model", "attempts": 1, "sticky": True, "resumable": False,
                 "gap_goal_ms": 300}
        engine = {"slots": 48, "kv_capacity": 27675, "kv_bytes": 35136, "link_mbps": 370000.0,
                  "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                  "models": [{"name": "m"}]}
        tenants = [{"name": f"club-{it}{suffix}", "api_keys": [f"key-{it}"], "priority": 1,
                    "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
                   for it in range(TENANTS)]
        bed.put_config([route], [{"name": "clue-model", "health_path": "/healthz",
                                  "max_conns": 440, "protocol": "h1", "tls": False,
                                  "engine": engine}], version, tenants)
        bed.record("operator: tenants are called " + " ".join(it["name"] for it in tenants))

    put(7, "")
    bed.engines = [Model(bed, f"i-prefill-{it}", "clue-model", "prefill", 48)
                   for it in range(PREFILL_ENGINES)]
    bed.engines += [Model(bed, f"i-decode-{it}", "clue-model", "decode", 48)
                    for it in range(DECODE_ENGINES)]
    for it in bed.engines:
        it.reading = asyncio.Lock()
    await bed.start(FRONTS)
    await asyncio.sleep(5)  # all machines have been in touch for contact_ms
    answers, streams = {}, []

    async def traffic():
        while True:
            streams.append(bed.spawn(ask(bed, len(streams), answers)))
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
    sending = bed.spawn(traffic())
    for number in range(VERSIONS):
        await asyncio.sleep(BETWEEN_S)
        put(8 + number, f"-v{8 + number}" if stand.TROUBLE else "")
    await asyncio.sleep(BETWEEN_S)
    sending.cancel()
    await asyncio.gather(*streams)
    denied = sum(1 for it in answers.values() if it == 401)
    whole = sum(1 for it in answers.values() if it == 200)
    most = 5 + len(answers) / 500
    bed.record(f"{len(answers)} streams with keys that each version has: {whole} whole, {denied} "
               f"ended with 401, {most:.1f} may")
    if whole < len(answers) / 2:
        raise RuntimeError("the streams weren't served")
    if denied <= most:
        return []
    return [f"DENIED: {denied} of {len(answers)} proper requests that each version allows were "
            f"ended with 401, {most:.1f} may"]


if __name__ == "__main__":
    stand.run(HERE, play)
