"""A runner with a label is lost for good; work that doesn't need the label starts no more."""

import asyncio
import os
import sys

from lib2.cell import HOST, job_id, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}
RUNNERS = [("i-%u" % i, "desk", ["b" if i >= 5 else "a", "r1-%u" % i], CAPACITY)
           for i in range(7)]
WATCHES = 124       # tasks that last, half a core each, on runners of kind b
SMALL_EVERY_S = 0.5
SMALL_S = 16        # how long small jobs come after the loss
FINISH_S = 14
STILL_S = 3
CONFIG = {
    "version": 1,
    "routes": [
        {"name": "watch", "host": HOST, "prefix": "/watch/", "kind": "unsafe", "timeout-ms": 3000,
         "slo-ms": 2500, "priority": 1, "service": "desk", "attempts": 3, "stretch": 2.2},
        {"name": "clip", "host": HOST, "prefix": "/clip/", "kind": "unsafe", "timeout-ms": 3000,
         "slo-ms": 400, "priority": 0, "service": "desk", "attempts": 3, "stretch": 1.5}],
    "services": [{"name": "desk", "health": "/healthz", "max-conns": 64, "protocol": "h1",
                  "tls": False, "enforces-capacity": False, "standby": False}],
    "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-ms": 3000, "idle-ms": 15000}}


def watch_job():
    return {"spec": "lasts 0", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256, "needs": "b",
                                          "estimate-ms": 400, "long-running": True}]}


def small_job():
    return {"spec": "works 500", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256,
                                            "estimate-ms": 500}]}


def running(cell, prefix):
    return sum(task.startswith(prefix) for r in cell.runners for task in r.runs)


async def hand_in(cell, prefix, first, count, gap_s, body):
    accepted = []
    for i in range(first, first + count):
        name = job_id(i)
        asyncio.ensure_future(note(cell, prefix + name, name, body, accepted))
        await asyncio.sleep(gap_s)
    await asyncio.sleep(3)
    return accepted


async def note(cell, path, name, body, accepted):
    if await cell.submit(path, body):
        accepted.append(name)


def started(cell, name):
    return any(e["event"] == "start" and e["task"].startswith(name) for e in cell.events)


def is_idle_enough(cell):
    """Room for a small task twice over, and under half of the service's capacity in use."""
    total = used = 0
    room = 0
    for r in cell.runners:
        if not r.up:
            continue
        here = 500 * len(r.runs)
        total += CAPACITY["cpu"]
        used += here
        room = max(room, CAPACITY["cpu"] - here)
    return room >= 2 * 500 and used * 2 < total


async def play(cell):
    await cell.start(3, RUNNERS, CONFIG)
    await hand_in(cell, "/watch/", 0, WATCHES, 0.04, watch_job())
    cell.record("watches", running=running(cell, job_id(0)[:12]))
    await hand_in(cell, "/clip/", 4096, 4, SMALL_EVERY_S, small_job())
    if TROUBLE:
        cell.runners[6].crash()
    accepted = await hand_in(cell, "/clip/", 8192, int(SMALL_S / SMALL_EVERY_S), SMALL_EVERY_S,
                             small_job())
    await asyncio.sleep(FINISH_S - 3)
    idle = True
    for _ in range(int(STILL_S / 0.05)):
        idle = idle and is_idle_enough(cell)
        await asyncio.sleep(0.05)
    breaches = []
    for name in accepted:
        status, answer = await cell.client(cell.daemons[0], "GET", "/clip/" + name)
        if not started(cell, name) and idle:
            breaches.append("LOST: job %s was accepted and has never run, %u s after the traffic; "
                            "GET says %u %s" % (name, FINISH_S + STILL_S, status, answer))
    cell.record("result", accepted=len(accepted), never_run=len(breaches), idle=idle)
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
