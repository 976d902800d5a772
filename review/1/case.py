"""DRAIN: streams are sent to an engine long after it was reported as draining."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import bed as lib  # noqa: E402

DRAIN_S = 2.0
# The engine serves this long after the store has its report, and then exits.
SERVES_ON_S = 3.0
PROMPT_TOKENS = 30000
PROMPT_TOKENS_PER_MS = 12.5
EVENTS, GAP_S = 69, 0.02


class ModelEngine(lib.Engine):
    async def run(self, wants, target, headers, body, writer):
        if wants == "prefill":
            tokens = int(headers["x-token-count"].split(",")[0])
            await asyncio.sleep(tokens / PROMPT_TOKENS_PER_MS / 1000)
            handle = f"{self.born:x}{id(headers):x}"
            self.bed.record("prompt_read", engine=self.id, id=headers["x-request-id"])
            body = f'{{"handle":"{handle}","tokens":{tokens},"version":1}}'.encode()
            self.reply(writer, headers, 200, body, Content_Type="application/json")
            return False
        return await self.send_stream(headers, writer, EVENTS, GAP_S)


async def play(bed):
    for name in ("prefill-a", "prefill-b"):
        ModelEngine(bed, name, "llm", "prefill")
    decode = [ModelEngine(bed, name, "llm", "decode") for name in ("decode-a", "decode-b")]
    bed.add_fronts(2, [bed.control(0), bed.control(1)])
    await bed.start(lib.config(
        [{"name": "report", "host": "app.example", "prefix": "/report/", "kind": "streaming",
          "timeout_ms": 14000, "goal_ms": 3000, "gap_goal_ms": 300, "priority": 1,
          "service": "llm", "attempts": 1, "sticky": True, "resumable": False}],
        [{"name": "llm", "max_conns": 360, "health_path": "/healthz",
          "engine": {"slots": 16, "kv_capacity": 38202, "kv_bytes": 18432, "kv_ttl_s": 0.5,
                     "switch_s": 6.0, "link_mbps": 740000.0}}]))
    await asyncio.sleep(4)  # longer than contact_ms: the fronts are in touch

    async def client(number):
        return await bed.request(
            bed.fronts[number % 2], "POST", f"/report/{number}", f"r{number}",
            {"X-Token-Count": f"{PROMPT_TOKENS},{EVENTS}", "X-Model": "m",
             "X-Prompt-Prefix": f"{number:x}:{PROMPT_TOKENS}", "X-Deadline-Ms": "14000"},
            b"x" * 300)

    clients = [asyncio.create_task(client(it)) for it in range(2)]
    await asyncio.sleep(0.1)
    leaving, acked = decode[0], None
    if lib.trouble():
        leaving.state = "draining"
        leaving.publish()
        acked = bed.record.now()
        bed.record("draining_acked", engine=leaving.id)
        await asyncio.sleep(SERVES_ON_S)
        bed.record("engine_exits", engine=leaving.id)
        leaving.leave()
    answers = await asyncio.gather(*clients)
    late = []
    with open(os.path.join(HERE, "record.txt"), encoding="utf-8") as file:
        for line in file:
            at, what, *words = line.split()
            if what != "arrive" or f"engine={leaving.id}" not in words or acked is None:
                continue
            if float(at) - acked > DRAIN_S:
                late.append(line.strip())
    cut = sum(it["status"] == 200 and it["end"] != "whole" for it in answers)
    for it in late:
        bed.record("broken", line=f"[{it}]")
    bed.record("result", sent_after_drain_ms=len(late), streams_cut=cut)
    if not lib.trouble() and any(it["end"] != "whole" or it["status"] != 200 for it in answers):
        raise RuntimeError("without the disruption not all streams were served")
    return bool(late)


lib.main(HERE, play)
