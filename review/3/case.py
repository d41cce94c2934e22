"""An entry of another writer that can't be read stands among those of the runners. Fault and LOST:
processes end by themselves, and accepted work never runs."""

import asyncio

from lib.cell import CannotRun, Cell, main, route

ENTRY_BYTES = 200000  # the store takes records of 262,144
ENDS_MAX = 3
STEP = [{"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": 500}]


async def case(cell, trouble):
    await cell.start([route("q", "/q/", "desk")], ["desk"])
    for i in range(4):
        await cell.add_runner(f"i-{i}", "desk", lambda task, run, checkpoint: 0.5)
    await cell.start_daemons()
    if not await cell.submit("/q/", f"{1:016x}", {"spec": "a", "steps": STEP}):
        raise CannotRun("the first job was not accepted")
    await cell.until(lambda: len(cell.ends) == 2, 10, "the first job")
    if trouble:
        cell.note("entry", "i-other", f"{ENTRY_BYTES} bytes that can't be read")
        await cell.store.put("keyed.servers", "i-other", b"[" * ENTRY_BYTES)
    else:
        await cell.store.put("keyed.servers", "i-other", b"[" * 20)
    accepted = []
    for n in range(2, 12):
        if await cell.submit("/q/", f"{n:016x}", {"spec": "a", "steps": STEP}, 3):
            accepted.append(f"{n:016x}")
        await asyncio.sleep(1.0)
    await asyncio.sleep(17)
    ran = {s[2][:16] for s in cell.starts}
    lost = [j for j in accepted if j not in ran]
    exits = [len(d.exits) for d in cell.daemons]
    cell.note("after", "", f"own ends of the processes: {exits}; accepted, not begun: {lost}")
    if sum(n >= ENDS_MAX for n in exits) >= 2:
        return (
            f"Fault: the processes of all daemons ended by themselves {exits} times; "
            f"{len(lost)} of {len(accepted)} accepted jobs had not begun after 17 s"
        )
    return f"LOST: {len(lost)} accepted jobs had not begun" if lost else None


main(case, Cell(daemons=3))
