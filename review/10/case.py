"""A process is killed and comes back; another machine forgets for a moment which jobs wait."""

import asyncio
import os
import signal
import sys

from lib2.cell import HOST, job_id, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}
RUNNERS = [("i-%u" % i, "desk", ["a", "r1-%u" % i], CAPACITY) for i in range(7)]
CPUS = [0.5, 0.25, 0.25]  # machines of different sizes, as on the grown deployments
JOBS = 2000
TASK_MS = 60000
VISIBLE_S = 3 + 2
WATCH_S = 12
DARK_S = 3.5
CONFIG = {
    "version": 1,
    "routes": [
        {"name": "batch", "host": HOST, "prefix": "/batch/", "kind": "unsafe", "timeout-ms": 3000,
         "slo-ms": 3000, "priority": 2, "service": "desk", "attempts": 4, "stretch": 4.0}],
    "services": [{"name": "desk", "health": "/healthz", "max-conns": 64, "protocol": "h1",
                  "tls": False, "enforces-capacity": False, "standby": False}],
    "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-ms": 3000, "idle-ms": 15000}}


def batch_job():
    return {"spec": "works %u %s" % (TASK_MS, "x" * 3000),
            "steps": [{"count": 1, "cpu": 16000, "mem-mb": 1024, "estimate-ms": TASK_MS}]}


async def note(cell, name, accepted):
    if await cell.submit("/batch/" + name, batch_job()):
        accepted[name] = cell.now()


def waiting_for_sure(cell, accepted, sent, answered):
    """Jobs that were accepted long enough before, and had not begun when the answer came."""
    begun = {e["task"].split(".")[0] for e in cell.events
             if e["event"] == "start" and e["t"] <= answered}
    return sum(at < sent - VISIBLE_S and name not in begun for name, at in accepted.items())


async def watch(cell, daemon, accepted, breaches):
    until = cell.now() + WATCH_S
    while cell.now() < until:
        sent = cell.now()
        status, answer = await cell.client(daemon, "GET", "/batch/")
        answered = cell.now()
        expected = waiting_for_sure(cell, accepted, sent, answered)
        if status == 200 and answer.get("waiting", 0) * 2 < expected:
            breaches.append("MIXED: at %.3f s %s gave waiting %s, but %u jobs waited"
                            % (answered, daemon.name, answer.get("waiting"), expected))
        await asyncio.sleep(0.01)


async def play(cell):
    accepted, breaches = {}, []
    await cell.start(3, RUNNERS, CONFIG, CPUS)
    await asyncio.sleep(3)
    handing_in = []
    for i in range(JOBS):
        handing_in.append(asyncio.ensure_future(note(cell, job_id(i), accepted)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*handing_in)
    await asyncio.sleep(VISIBLE_S + 1)
    cell.record("accepted", jobs=len(accepted))
    watching = [asyncio.ensure_future(watch(cell, d, accepted, breaches))
                for d in cell.daemons[1:]]
    if TROUBLE:
        cell.daemons[0].wanted = False
        cell.daemons[0].signal(signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        cell.daemons[0].start()
    await asyncio.gather(*watching)
    cell.record("result", accepted=len(accepted), breaches=len(breaches))
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
