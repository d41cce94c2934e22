"""A cancel is acknowledged while the VM that holds the job's submission stands still."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from cell import PREFIX, job_id, now_ms, play  # noqa: E402

FREEZE_S = 4.0
DEADLINE_S = 3.0
CANCEL_MS = 3000  # bounds.cancel_ms
STOP_MS = 900  # bounds.stop-ms
CONTACT_MS = 4000  # bounds.contact-ms


async def main(create, trouble):
    cell = create(shares=(0.25, 0.25, 0.25), runners=4)
    await cell.begin()
    leader = await cell.wait_leader()
    frozen, other = [vm for vm in cell.vms if vm is not leader]
    await asyncio.sleep(5)  # calm for longer than contact-ms

    job = job_id()
    begun_ms = now_ms()
    if trouble:
        cell.signal(frozen, signal.SIGSTOP)
    submitted, _ = await cell.submit(frozen, job, [{"count": 1, "cpu": 1000, "mem-mb": 256,
                                                    "long-running": True}], "lasts", DEADLINE_S)
    acked = None
    while acked is None:  # the client repeats its cancel until it is acknowledged
        status, _ = await cell.call(other, "DELETE", PREFIX + job)
        if status in (200, 410):
            acked = now_ms()
    if trouble:
        await asyncio.sleep(max(FREEZE_S - (now_ms() - begun_ms) / 1000, 0))
        cell.signal(frozen, signal.SIGCONT)
    thawed_ms = now_ms()
    # Until all bounds are over: the task has to be gone after a calm stretch.
    await asyncio.sleep((CONTACT_MS + CANCEL_MS + STOP_MS) / 1000 + 8)

    status, answer = await cell.call(other, "GET", PREFIX + job)
    running = [(r.name, task) for r in cell.runners for task in r.running if task.startswith(job)]
    starts = [(t, r.name) for r in cell.runners for t, what, task, _ in r.history
              if what == "starts" and task.startswith(job)]
    late = [(t - acked) / 1000 for t, _ in starts if t > acked]
    cell.record.write("check", f"submit {submitted}, starts after the cancel's answer: {late}, "
                      f"running {(now_ms() - thawed_ms) / 1000:.1f} s after the thaw: {running}, "
                      f"state {status} {answer}")
    if running:
        return (f"UNASKED: the task runs {(now_ms() - acked) / 1000:.1f} s after its cancelling "
                f"was acknowledged, {(now_ms() - thawed_ms) / 1000:.1f} s after the last disruption")
    return None


# TROUBLE=0 does the same without the disruption.
play(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")
