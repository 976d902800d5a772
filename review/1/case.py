"""LOST: a front that was asked to stop takes streams that it then cuts."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import bed as lib  # noqa: E402

GRACE_S = 8.0
# Streams sent no later than that after SIGTERM are excused by the rule.
EXCUSED_S = 3.0
MAX_OUTPUT, GAP_S = 170, 0.025
SHORT, LONG = 110, 170  # events; one stream in twelve is long
CLIENTS = 24
# Clients open their channels in this time after SIGTERM, and send on them after a pause.
OPENED_S, PAUSE_S = (2.2, 2.5), 0.9
# The machines are stopped in turn, one after that time.
STEP_S = 1.0


class ModelEngine(lib.Engine):
    async def run(self, wants, target, headers, body, writer):
        if wants == "prefill":
            await asyncio.sleep(0.09)  # 3,000 tokens, 33 a ms
            handle = f"{self.born:x}{id(headers):x}"
            self.reply(writer, headers, 200,
                       f'{{"handle":"{handle}","tokens":3000,"version":1}}'.encode(),
                       Content_Type="application/json")
            return False
        return await self.send_stream(headers, writer, int(target.split("=")[1]), GAP_S)


def events_of(number):
    return LONG if number % 12 == 11 else SHORT


async def play(bed):
    for it in range(6):
        ModelEngine(bed, f"prefill-{it}", "llm", "prefill", slots=12)
    for it in range(12):
        ModelEngine(bed, f"decode-{it}", "llm", "decode", slots=12)
    bed.add_fronts(3, [bed.control(it) for it in range(3)])
    await bed.start(lib.config(
        [{"name": "report", "host": "app.example", "prefix": "/report/", "kind": "streaming",
          "timeout_ms": 14000, "goal_ms": 900, "gap_goal_ms": 300, "priority": 1,
          "service": "llm", "attempts": 1, "sticky": True, "resumable": False}],
        [{"name": "llm", "max_conns": 150, "health_path": "/healthz",
          "engine": {"slots": 12, "kv_capacity": 34035, "kv_bytes": 18432, "kv_ttl_s": 0.5,
                     "switch_s": 6.0, "link_mbps": 740000.0}}]))
    bed.tasks.append(asyncio.create_task(bed.balance()))
    await asyncio.sleep(4)  # longer than contact_ms: the fronts are in touch
    front = bed.fronts[0]

    async def stream(name, number, opened=0.0):
        """On a channel that was opened that long before."""
        if front not in bed.in_use:
            raise RuntimeError("the platform leads no channel to this front")
        host, port = front.clients.split(":")
        result = {"id": f"{name}{number}", "status": 0, "end": "none", "sent": None}
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            bed.record("not_connected", id=result["id"])
            return result
        try:
            await asyncio.sleep(opened)
            events = events_of(number)
            result["sent"] = bed.record.now()
            bed.record("sent", id=result["id"], front=front.name, events=events)
            writer.write(lib.message(
                f"POST /report/{number}?events={events} HTTP/1.1",
                {"Host": "app.example", "X-Request-Id": result["id"],
                 "X-Token-Count": f"3000,{MAX_OUTPUT}", "X-Model": "m",
                 "X-Prompt-Prefix": f"{hash((name, number)) & 0xffffffff:x}:3000",
                 "X-Deadline-Ms": "14000"}, b"x" * 300))
            first, headers = await lib.read_head(reader)
            result.update(status=int(first.split(" ")[1]), end="cut")
            await lib.read_body(reader, headers)
            result["end"] = "whole"
        except lib.BROKEN:
            pass
        finally:
            writer.close()
        bed.record("answer", id=result["id"], status=result["status"], end=result["end"])
        return result

    warm = []
    for number in range(CLIENTS):
        warm.append(asyncio.create_task(stream("w", number)))
        await asyncio.sleep(0.15)
    await asyncio.gather(*warm)
    # Just before the platform asks the fronts whether they are ready.
    await asyncio.sleep((bed.asked + 0.95 - time.monotonic()) % 1.0)
    term = bed.record.now()
    if lib.trouble():
        front.signal(signal.SIGTERM)
        await asyncio.sleep(STEP_S)
        bed.fronts[1].signal(signal.SIGTERM)
    step = (OPENED_S[1] - OPENED_S[0]) / CLIENTS
    await asyncio.sleep(term + OPENED_S[0] - bed.record.now())
    late = []
    for number in range(CLIENTS):
        late.append(asyncio.create_task(stream("s", number, PAUSE_S)))
        await asyncio.sleep(step)
    answers = await asyncio.gather(*late)
    await asyncio.sleep(max(0, term + GRACE_S - bed.record.now()))
    with open(os.path.join(HERE, "record.txt"), encoding="utf-8") as file:
        run = {word[3:] for line in file if " run " in line
               for word in line.split() if word.startswith("id=")}
    lost = [it for it in answers if it["id"] in run and it["end"] != "whole"
            and it["sent"] - term > EXCUSED_S]
    for it in lost:
        bed.record("lost", id=it["id"], sent_after_sigterm_s=f"{it['sent'] - term:.3f}")
    bed.record("result", lost=len(lost), exit_code=front.process.poll(),
               served=sum(it["end"] == "whole" and it["status"] == 200 for it in answers),
               refused=sum(it["status"] == 503 for it in answers))
    if not lib.trouble() and any(it["status"] != 200 or it["end"] != "whole" for it in answers):
        raise RuntimeError("without the disruption not all streams were served")
    return bool(lost)


lib.main(HERE, play)
