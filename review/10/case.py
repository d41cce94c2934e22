"""Tasks that fill keep tasks that last, and have a target, from starting at all."""

import asyncio
import os
import sys

from lib2.cell import HOST, job_id, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}
RUNNERS = [("i-%u" % i, "desk", ["a", "r1-%u" % i], CAPACITY) for i in range(7)]
FILL_MS = 11000
FILL_JOBS = 5     # one a second: a burst of 4 s
FIRST_RUN_S = 6
CALM_S = 4
STILL_S = 3
CONFIG = {
    "version": 1,
    "routes": [
        {"name": "watch", "host": HOST, "prefix": "/watch/", "kind": "unsafe", "timeout-ms": 3000,
         "slo-ms": 2500, "priority": 1, "service": "desk", "attempts": 3, "stretch": 2.2},
        {"name": "batch", "host": HOST, "prefix": "/batch/", "kind": "unsafe", "timeout-ms": 3000,
         "slo-ms": 3000, "priority": 2, "service": "desk", "attempts": 4, "stretch": 4.0}],
    "services": [{"name": "desk", "health": "/healthz", "max-conns": 64, "protocol": "h1",
                  "tls": False, "enforces-capacity": False, "standby": False}],
    "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-ms": 3000, "idle-ms": 15000}}


def fill_job():
    return {"spec": "works %u" % FILL_MS,
            "steps": [{"count": 7, "cpu": 4000, "mem-mb": 1024, "estimate-ms": FILL_MS,
                       "anti-affinity": 1, "fills": True, "checkpoints": True, "image": "fill"}]}


def serving_job():
    return {"spec": "lasts 0",
            "steps": [{"count": 3, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 400,
                       "long-running": True, "target-ms": 200, "image": "serve"}]}


def starts(cell, name):
    return sum(e["event"] == "start" and e["task"].startswith(name) for e in cell.events)


async def hand_in(cell, i):
    return job_id(16 + i) if await cell.submit("/watch/" + job_id(16 + i), serving_job()) else None


async def play(cell):
    await cell.start(3, RUNNERS, CONFIG)
    await asyncio.sleep(2)
    serving = []
    for i in range(FILL_JOBS):
        if TROUBLE:
            await cell.submit("/batch/" + job_id(1 + i), fill_job())
        await asyncio.sleep(1)
        if i == 0:
            serving = [await hand_in(cell, k) for k in range(4)]
            handed_in = cell.now()
    calm_from = cell.now()  # a second after the last job of the burst
    accepted = [name for name in serving if name]
    judged = max(calm_from + CALM_S + STILL_S, handed_in + FIRST_RUN_S + STILL_S)
    await asyncio.sleep(judged - cell.now())
    breaches = []
    for name in accepted:
        status, answer = await cell.client(cell.daemons[0], "GET", "/watch/" + name)
        if not starts(cell, name):
            breaches.append("LOST: long-running job %s was accepted %.1f s ago and has never run, "
                            "%u s after the burst; GET says %u %s"
                            % (name, judged - handed_in, CALM_S + STILL_S, status, answer))
    cell.record("result", accepted=len(accepted), never_run=len(breaches))
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
