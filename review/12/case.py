"""A job that lasts, whose runners crash several times in a row."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from cell import PREFIX, job_id, now_ms, play  # noqa: E402

CRASHES = 5
WORK_S = 3.0  # of each run before its runner crashes
DOWN_S = 1.5
WAIT_S = 25  # after the last crash: 6 s, contact-ms and more


def running_on(cell, job):
    return next((r for r in cell.runners if any(t.startswith(job) for t in r.running)), None)


async def wait_running(cell, job, limit_s):
    until = now_ms() + limit_s * 1000
    while not running_on(cell, job) and now_ms() < until:
        await asyncio.sleep(0.02)
    return running_on(cell, job)


async def main(create, trouble):
    cell = create(shares=(0.25, 0.25, 0.25), runners=8)
    await cell.begin()
    await cell.wait_leader()
    await asyncio.sleep(2)
    job = job_id()
    status, _ = await cell.submit(cell.vms[0], job, [{"count": 1, "cpu": 8000, "mem-mb": 1024,
                                                      "long-running": True}], "lasts")
    if status != 200:
        raise RuntimeError("the job was not accepted")
    for i in range(CRASHES):
        runner = await wait_running(cell, job, 12)
        if not runner:
            break
        await asyncio.sleep(WORK_S)
        if trouble:
            await runner.crash()
            await asyncio.sleep(DOWN_S)
            await runner.start()
    quiet_ms = now_ms()
    while now_ms() < quiet_ms + WAIT_S * 1000:
        runner = await wait_running(cell, job, 1)
        status, answer = await cell.call(cell.vms[1], "GET", PREFIX + job, quiet=True)
        if status == 200 and answer["state"] in ("failed", "cancelled") and not runner:
            break
        await asyncio.sleep(1)
    await asyncio.sleep(8)
    status, answer = await cell.call(cell.vms[1], "GET", PREFIX + job)
    failed_ends = [e for r in cell.runners for e in r.history if e[1] == "failed"]
    cell.record.write("check", f"state {status} {answer}, ends failed {len(failed_ends)}, "
                      f"runs now: {running_on(cell, job) is not None}")
    if status != 200 or (answer["state"] in ("failed", "cancelled") and not failed_ends):
        return (f"LOST: the accepted job is answered {status} {answer} though no run has ended as "
                f"failed, and its task isn't started again")
    return None


play(main, FOLDER)
