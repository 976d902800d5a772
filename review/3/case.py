"""CONFIG: fronts act on the old config after an outage of the store in which it was silent."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import bed as lib  # noqa: E402

FRONTS = 4
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# The store is silent for 6.5 to 8 s; it is back just after all fronts have called it.
SHORTEST_S, LONGEST_S = 6.5, 8.0
# An engine's entry changed that long before.
LAST_CHANGE_S = 2.0
CHANGE_AFTER_S = 0.5
OUTAGES = 2


class Desk(lib.Engine):
    async def run(self, wants, target, headers, body, writer):
        stamp = self.stamp(headers)
        await asyncio.sleep(0.01)
        self.reply(writer, headers, 200, f"{self.service} {stamp}".encode(),
                   X_Response_Stamp=stamp)
        return False


def version(number):
    """Each version moves the route to the other service."""
    service = ("desk-a", "desk-b")[number % 2]
    return service, lib.config(
        [{"name": "book", "host": "app.example", "prefix": "/book/", "kind": "non_idempotent",
          "timeout_ms": 3000, "goal_ms": 300, "priority": 0, "service": service, "attempts": 1,
          "resumable": False}],
        [{"name": it, "max_conns": 96, "health_path": "/healthz"} for it in ("desk-a", "desk-b")],
        version=number)


async def play(bed):
    for service in ("desk-a", "desk-b"):
        for it in range(2):
            spare = Desk(bed, f"{service}-{it}", service, slots=64)
    bed.add_fronts(FRONTS, [bed.control(it) for it in range(3)])
    number = 2
    await bed.start(version(number)[1])
    await asyncio.sleep(5)  # longer than contact_ms: the fronts are in touch
    count, wrong, failed = 0, [], 0
    for outage in range(OUTAGES):
        spare.slots += 1
        spare.publish()
        await asyncio.sleep(LAST_CHANGE_S)
        begin = time.monotonic()
        bed.store.silent, bed.store.silent_calls = lib.trouble(), []
        bed.record("store", silent=int(lib.trouble()))
        while time.monotonic() < begin + LONGEST_S:
            calls = [it for it in bed.store.silent_calls if it > begin + SHORTEST_S]
            if len(calls) >= FRONTS:
                break
            await asyncio.sleep(0.005)
        bed.store.silent = False
        back = bed.record.now()
        bed.record("store", silent=0, was_s=f"{time.monotonic() - begin:.3f}")
        await asyncio.sleep(CHANGE_AFTER_S)
        number += 1
        service, new = version(number)
        bed.store.put_json("op/config", new)
        acked = bed.record.now()
        bed.record("config_acked", version=number, service=service)
        # Requests sent from now on are judged: the fronts are in touch again.
        judged_from = max(back + CONTACT_S, acked + CONFIG_APPLY_S)
        await asyncio.sleep(judged_from + 0.001 - bed.record.now())
        tasks = []
        while bed.record.now() < judged_from + 1.0:
            for front in bed.fronts:
                count += 1
                tasks.append(asyncio.create_task(bed.request(
                    front, "POST", f"/book/{count}", f"b{count}", {"X-Deadline-Ms": "3000"},
                    b"visit", timeout=4)))
            await asyncio.sleep(0.02)
        answers = await asyncio.gather(*tasks)
        stale = [it for it in answers
                 if it["status"] == 200 and not it["body"].startswith(service.encode())]
        wrong += stale
        failed += sum(it["status"] != 200 for it in answers)
        bed.record("outage_result", number=outage, requests=len(answers),
                   run_by_old_service=len(stale))
        await asyncio.sleep(3)
        if wrong:
            break
    bed.record("result", run_by_old_service=len(wrong), not_served=failed)
    return bool(wrong)


lib.main(HERE, play)
