"""A runner is lost for good, and the process that schedules is killed four times, every 9 s. LOST: a
task of the lost runner waits for 38 s although all other runners are empty."""

import asyncio

from lib.cell import Cell, main, route

KILLS = 4
EVERY_S = 9.0
CONTACT_S = 4.0  # contact-ms: after that long without disruption, all is calm
LASTS_S = 6.0  # a task that lasts may be away for so long after its last run
IDLE_S = 3.0  # after that, it may have nothing running for so long
LASTING = f"{1:016x}"


async def case(cell, trouble):
    await cell.start([route("q", "/q/", "desk")], ["desk"])

    def work(task, run, checkpoint):
        return None if task.startswith(LASTING) else 20.0

    for i in range(8):
        await cell.add_runner(f"i-{i}", "desk", work)
    await cell.start_daemons()
    step = {"count": 1, "cpu": 40000, "mem-mb": 100000, "anti-affinity": 1}
    await cell.submit("/q/", LASTING, {"spec": "a", "steps": [{**step, "long-running": True}]})
    await cell.until(lambda: len(cell.starts) == 1, 5, "the start of the lasting task")
    runner = next(r for r in cell.runners if r.id == cell.starts[0][1])
    await asyncio.sleep(5)
    runner.crash()
    lost_at = cell.now()
    await asyncio.sleep(0.2)
    kills = []
    for _ in range(KILLS):
        if trouble:
            leader = cell.leader()
            leader.kill()
            kills.append(cell.now())
        await asyncio.sleep(EVERY_S)
    await asyncio.sleep(15)

    again = next((s[0] for s in cell.starts if s[0] > lost_at), cell.now())
    # The rule: from LASTS_S after the last run, IDLE_S with nothing running, which are calm
    # together with the CONTACT_S before them. A killed process is back after RESTART_S.
    edges = [lost_at] + [k + 1.0 for k in kills] + [again]
    calm = []
    for i, edge in enumerate(edges[:-1]):
        begin = max(edge + CONTACT_S, lost_at + LASTS_S)
        end = min(kills[i] if i < len(kills) else again, again)
        if end - begin >= IDLE_S:
            calm.append((round(begin - lost_at, 1), round(end - lost_at, 1)))
    cell.note("after", "", f"away for {again - lost_at:.1f} s; calm and idle: {calm}")
    if calm:
        return (
            f"LOST: the task had nothing running for {again - lost_at:.1f} s after its runner was "
            f"lost, with 7 empty runners; calm all the while in {calm} (seconds after the loss)"
        )
    return None


main(case, Cell(daemons=4))
