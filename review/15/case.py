"""The count of waiting jobs at the VM that hands the lease to a larger VM which has restarted."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from cell import PREFIX, job_id, now_ms, play  # noqa: E402

JOBS = int(os.environ.get("JOBS", "3000"))
SENDERS = 24
VISIBLE_MS = 3000


async def submit_many(cell, vms, n):
    jobs = iter(range(n))
    accepted = []

    async def sender(k):
        for _ in jobs:
            job = job_id()
            status = None
            while status != 200:
                status, _ = await cell.call(
                    vms[k % len(vms)], "POST", PREFIX + job, {"spec": "60000", "steps": [
                        {"count": 1, "cpu": 60000, "mem-mb": 1024, "estimate-ms": 60000}]},
                    quiet=True)
            accepted.append(job)

    await asyncio.gather(*(sender(k) for k in range(SENDERS)))
    return accepted


async def main(create, trouble):
    cell = create(shares=(0.25, 0.25, 0.5), runners=2)
    small, large = cell.vms[:2], cell.vms[2]
    await cell.begin()
    await cell.wait_leader(wanted=large)
    await asyncio.sleep(2)
    if trouble:
        cell.signal(large, signal.SIGTERM)
        await cell.wait_exit(large, 7)
    leader = await cell.wait_leader()
    accepted = await submit_many(cell, small, JOBS)
    cell.record.write("client", f"{len(accepted)} jobs accepted; the scheduler is {leader.name}")
    await asyncio.sleep((VISIBLE_MS + 2000) / 1000 + 1)
    begun = len({t for r in cell.runners for _, what, t, _ in r.history if what == "starts"})
    owed = JOBS - begun
    cell.record.write("client", f"{begun} jobs have begun, so {owed} wait")
    if trouble:
        cell.start_vm(large)
    worst = {}
    until = now_ms() + 8000
    while now_ms() < until:
        for vm in small:
            status, answer = await cell.call(vm, "GET", PREFIX, quiet=True)
            if status != 200:
                continue
            n = answer["waiting"]
            if n * 2 < owed:
                cell.record.write("client", f"GET {PREFIX} at {vm.name}: 200 waiting {n}")
            worst[vm.name] = min(worst.get(vm.name, n), n)
    cell.record.write("check", f"of {owed} waiting jobs the lowest counts were {worst}; "
                      f"the scheduler is {(await cell.leader()).name}")
    low = {name: n for name, n in worst.items() if n * 2 < owed}
    if low:
        return f"MIXED: VMs in touch gave fewer than half of {owed} jobs as waiting: {low}"
    return None


# TROUBLE=0 does the same without the disruption.
play(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")
