"""One job whose tasks fit no runner as long as others last keeps all later jobs from starting."""

import asyncio
import os
import sys

from lib2.cell import HOST, job_id, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}
RUNNERS = [("i-%u" % i, "desk", ["a", "r1-%u" % i], CAPACITY) for i in range(7)]
WATCH_CPU = 14000
LARGE_CPU = 20000
LARGE_MS = 11000
SMALL_CPU = 500
SMALL_EVERY_S = 0.5
SMALL_S = 8
FINISH_S = 14
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


def watch_job():
    return {"spec": "lasts 0", "steps": [{"count": 7, "cpu": WATCH_CPU, "mem-mb": 1024,
                                          "estimate-ms": 400, "anti-affinity": 1,
                                          "long-running": True}]}


def large_job():
    return {"spec": "works %u" % LARGE_MS,
            "steps": [{"count": 7, "cpu": LARGE_CPU, "mem-mb": 1024, "estimate-ms": LARGE_MS}]}


def small_job():
    return {"spec": "works 500", "steps": [{"count": 1, "cpu": SMALL_CPU, "mem-mb": 256,
                                            "estimate-ms": 500}]}


async def note(cell, name, accepted):
    if await cell.submit("/batch/" + name, small_job()):
        accepted.append(name)


async def hand_in_small(cell, first, count):
    accepted, calls = [], []
    for i in range(first, first + count):
        calls.append(asyncio.ensure_future(note(cell, job_id(i), accepted)))
        await asyncio.sleep(SMALL_EVERY_S)
    await asyncio.gather(*calls)
    return accepted


def started(cell, name):
    return any(e["event"] == "start" and e["task"].startswith(name) for e in cell.events)


def used(runner):
    return sum(WATCH_CPU if run.spec.startswith("lasts") else
               LARGE_CPU if run.spec == "works %u" % LARGE_MS else SMALL_CPU for run in runner.runs.values())


def is_idle_enough(cell):
    """Room for a small task twice over, and under half of the service's capacity in use."""
    in_use = [used(r) for r in cell.runners]
    room = CAPACITY["cpu"] - min(in_use)
    return room >= 2 * SMALL_CPU and sum(in_use) * 2 < CAPACITY["cpu"] * len(cell.runners)


async def play(cell):
    await cell.start(3, RUNNERS, CONFIG)
    await cell.submit("/watch/" + job_id(0), watch_job())
    await asyncio.sleep(3)
    cell.record("watches", running=sum(len(r.runs) for r in cell.runners))
    await hand_in_small(cell, 256, 4)
    if TROUBLE:
        await cell.submit("/batch/" + job_id(1), large_job())
    accepted = await hand_in_small(cell, 512, int(SMALL_S / SMALL_EVERY_S))
    await asyncio.sleep(FINISH_S)
    idle = True
    for _ in range(int(STILL_S / 0.05)):
        idle = idle and is_idle_enough(cell)
        await asyncio.sleep(0.05)
    breaches = []
    for name in accepted:
        status, answer = await cell.client(cell.daemons[0], "GET", "/batch/" + name)
        if not started(cell, name) and idle:
            breaches.append("LOST: job %s was accepted and has never run, %u s after the traffic; "
                            "GET says %u %s" % (name, FINISH_S + STILL_S, status, answer))
    cell.record("result", accepted=len(accepted), never_run=len(breaches), idle=idle)
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
