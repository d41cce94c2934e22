"""Starts that a VM carries out after it was frozen, on a runner that restarted meanwhile."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from cell import job_id, now_ms, play  # noqa: E402

FREEZE_S = 4.0
CRASH_AT_S = 2.5  # after the freeze begins
TASK_MS = 150
JOBS_PER_S = 25
TASKS = 6  # of a job


async def main(create, trouble):
    cell = create(shares=(0.25, 0.25, 0.25), runners=8)
    await cell.begin(with_runners=False)
    leader = await cell.wait_leader()
    # A VM carries the orders for the runners of its data centre.
    frozen = next(vm for vm in cell.vms if vm is not leader)
    for r in cell.runners:
        r.zone = frozen.zone
    await cell.start_runners()
    cell.record.write("client", f"the scheduler is {leader.name}; the runners are in the data "
                      f"centre of {frozen.name}")
    loading = True

    calls = []

    async def load():
        while loading:
            steps = [{"count": TASKS, "cpu": 2000, "mem-mb": 256, "estimate-ms": TASK_MS}]
            calls.append(asyncio.create_task(
                cell.submit(leader, job_id(), steps, str(TASK_MS))))
            await asyncio.sleep(1 / JOBS_PER_S)

    sender = asyncio.create_task(load())
    await asyncio.sleep(6)
    begun = asyncio.get_running_loop().time()

    async def until(s):
        await asyncio.sleep(max(begun + s - asyncio.get_running_loop().time(), 0))

    busiest = max(cell.runners, key=lambda r: len(r.started))
    if trouble:
        cell.signal(frozen, signal.SIGSTOP)
    await until(0.5)
    loading = False
    await until(CRASH_AT_S)
    if trouble:
        await busiest.crash()
    await until(FREEZE_S)
    if trouble:
        await busiest.start()
        cell.signal(frozen, signal.SIGCONT)
    await asyncio.gather(sender, *calls)
    await asyncio.sleep(12)

    events = sorted(e + (r.name,) for r in cell.runners for e in r.history)
    done = {}
    twice = []
    for at, what, task, number, name in events:
        if what == "done, noted":
            done.setdefault(task, at)
        elif what == "starts" and task in done:
            twice.append(f"{task} run {number} starts on {name} {at - done[task]} ms after the "
                         "end of the task as done was taken note of")
    for line in twice:
        cell.record.write("check", line)
    if twice:
        return f"TWICE: {len(twice)} starts of tasks that have ended as done: {twice[0]}"
    return None


# TROUBLE=0 does the same without the disruption.
play(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")
