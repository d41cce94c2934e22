"""Small jobs behind a gang that waits for one task on a runner that has turned slow."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from cell import job_id, play  # noqa: E402

CORES = 16000  # of a runner, in thousandths
LONG_MS = 16000
LONG_ESTIMATE_MS = 8000
SLOW_X = 6.5
SLOW_S = 7.0
SMALL_JOBS = 8
FINISH_S = 14  # bounds.finish_s
ROUTES = (
    {"name": "plan", "prefix": "/plan/", "priority": 1, "stretch": 2.2, "slo-ms": 1200,
     "attempts": 4},
    {"name": "tally", "prefix": "/tally/", "priority": 2, "stretch": 4.0, "slo-ms": 3000,
     "attempts": 4},
)


async def main(create, trouble):
    cell = create(shares=(0.25, 0.25, 0.25), runners=7, runner_cpu=CORES, routes=ROUTES)
    await cell.begin()
    await cell.wait_leader()
    await asyncio.sleep(2)
    cpu = {}

    async def submit(prefix, count, need, estimate_ms, spec, **more):
        job = job_id()
        cpu[job] = need
        status, _ = await cell.submit(
            cell.vms[0], job, [{"count": count, "cpu": need, "mem-mb": 1024,
                                "estimate-ms": estimate_ms, **more}], spec, prefix=prefix)
        if status != 200:
            raise RuntimeError("a job was not accepted")
        return job

    def running_on(job):
        return next((r for r in cell.runners if any(t.startswith(job) for t in r.running)), None)

    long_job = await submit("/plan/", 1, 7600, LONG_ESTIMATE_MS, str(LONG_MS))
    await asyncio.sleep(1)
    runner = running_on(long_job)
    if not runner:
        raise RuntimeError("the long task did not start")
    if trouble:
        runner.slow = SLOW_X
        cell.record.write(runner.name, f"works {SLOW_X} times as long")
    gang = await submit("/plan/", 14, 7600, 12000, "gang 14 6000", gang=True)
    slow_end = asyncio.get_running_loop().time() + SLOW_S
    small = []
    for _ in range(SMALL_JOBS):
        small.append(await submit("/tally/", 1, 2900, 2000, "2000"))
        await asyncio.sleep(0.3)
    traffic_end = asyncio.get_running_loop().time()
    await asyncio.sleep(slow_end - traffic_end)
    runner.slow = 1
    cell.record.write(runner.name, "works at its speed again")
    await asyncio.sleep(traffic_end + FINISH_S - asyncio.get_running_loop().time())

    starved = set(small)
    most = 0
    for _ in range(30):  # 3 s
        begun = {task[:16] for r in cell.runners for _, what, task, _ in r.history
                 if what == "starts"}
        starved -= begun
        used = sum(cpu[task[:16]] for r in cell.runners for task in r.running)
        most = max(most, used)
        room = sum(2 * 2900 <= CORES - sum(cpu[t[:16]] for t in r.running) for r in cell.runners)
        if room < 2:
            starved.clear()  # there isn't capacity for it twice over
        await asyncio.sleep(0.1)
    share = most / (CORES * len(cell.runners))
    cell.record.write("check", f"{len(starved)} of {len(small)} small jobs have never run; at most "
                      f"{share:.0%} of the capacity was in use for these 3 s; the gang "
                      f"{'runs' if running_on(gang) else 'waits'}")
    await asyncio.sleep(12)
    if starved and share < 0.5:
        return (f"LOST: {len(starved)} of {len(small)} accepted jobs have nothing running {FINISH_S} to "
                f"{FINISH_S + 3} s after the end of the traffic, with {share:.0%} of the capacity in use")
    return None


# TROUBLE=0 does the same without the disruption.
play(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")
