"""Stand-in of a runner, as PROTOCOL.md describes it, and the record of what it ran."""

import asyncio
import json
import time

from .http import Server

ENDS_MAX = 500
SAVE_S = 0.5


class Run:
    def __init__(self, task, number, checkpoint):
        self.task = task
        self.number = number
        self.checkpoint = checkpoint
        self.started = time.monotonic()


class Runner:
    """
    work(task, run, checkpoint) -> seconds of work, or None for a task that lasts.
    save(task, seconds) -> the checkpoint after so many seconds of work.
    """

    def __init__(self, cell, name, service, work, capacity=None, labels=None, save=None):
        self.cell = cell
        self.id = name
        self.service = service
        self.work = work
        self.capacity = capacity or {"cpu": 64000, "mem-mb": 262144, "gpu": 0}
        self.labels = labels or ["a", "r1-1"]
        self.save = save
        self.ip = "127.0.0.1"
        self.up = False
        self.port = 0

    async def start(self):
        """Starts a new incarnation, at the address of the one before."""
        self.origin = time.monotonic() - 1.0
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease = 0
        self.seen = 0
        self.next_end = 1
        self.running = {}
        self.highest = {}  # task -> highest run that was stopped or ended here
        self.finished = []
        self.seq = 0
        self.state = "ready"
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.ip, self.port)
        self.address = f"{self.ip}:{self.port}"
        self.up = True
        self.timer = asyncio.ensure_future(self.watch())
        await self.report()

    def now(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def report(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.cell.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "time-ms": self.now(),
            "born": self.born,
            "seq": self.seq,
        }
        await self.cell.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self):
        """Everything that runs here ends, and nothing is known of it any more."""
        self.up = False
        self.timer.cancel()
        self.server.close()
        for run in self.running.values():
            self.cell.note("lost", self.id, f"{run.task} run {run.number}")
            self.cell.run_ended(self, run, "lost")
        self.running = {}

    async def watch(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.02 if len(self.running) < 100 else 0.2)
            if self.running and self.now() >= self.lease:
                for run in list(self.running.values()):
                    await self.end(run, "lapsed")
            for run in list(self.running.values()):
                work = self.work(run.task, run.number, run.checkpoint)
                if self.save and time.monotonic() - run.started >= SAVE_S:
                    run.checkpoint = self.save(run.task, time.monotonic() - run.started)
                if work is not None and time.monotonic() - run.started >= work:
                    await self.end(run, "done")
            if time.monotonic() - beat >= 1.5:
                beat = time.monotonic()
                await self.report()

    async def end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.finished.append([self.next_end, run.task, run.number, how, run.checkpoint])
        self.next_end += 1
        self.cell.note("end", self.id, f"{run.task} run {run.number} {how}")
        self.cell.run_ended(self, run, how)
        async with self.changed:
            self.changed.notify_all()

    def answer(self, status, **fields):
        return status, {"time-ms": self.now(), "born": self.born, **fields}

    async def handle(self, req):
        if req.path == "/healthz":
            return 200, {}
        if req.headers.get("x-expect-instance", self.id) != self.id:
            return self.answer(421)
        try:
            body = json.loads(req.body)
        except ValueError as error:
            self.cell.note("bad body", self.id, f"{req.path}: {error}")
            return self.answer(400)
        if body.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fence", 0)
        if req.path == "/run-start":
            return await self.handle_start(body)
        if req.path == "/run-stop":
            return await self.handle_stop(body)
        if req.path == "/hold":
            return await self.handle_hold(body)
        return 404, {}

    async def handle_start(self, body):
        task, number = body["task"], body["run"]
        have = self.running.get(task)
        if have and have.number == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0):
            self.lease = max(self.lease, body["deadline-ms"])
            return self.answer(409, reason="old")
        if max(self.lease, body["deadline-ms"]) <= self.now():
            return self.answer(409, reason="late")
        self.lease = max(self.lease, body["deadline-ms"])
        self.lease = min(self.lease, self.now() + self.cell.hold_max_ms)
        run = Run(task, number, body.get("checkpoint", ""))
        self.running[task] = run
        self.cell.note("start", self.id, f"{task} run {number}")
        self.cell.run_started(self, run, body)
        return self.answer(200)

    async def handle_stop(self, body):
        run = self.running.get(body["task"])
        self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
        if run and run.number == body["run"]:
            await self.end(run, "stopped")
        return self.answer(200)

    async def handle_hold(self, body):
        if "deadline-ms" in body:
            self.lease = max(self.lease, body["deadline-ms"])
            self.lease = min(self.lease, self.now() + self.cell.hold_max_ms)
        self.seen = max(self.seen, body.get("seen-upto", 0))
        self.finished = [e for e in self.finished if e[0] > self.seen]
        if body.get("wait-ms") and not self.finished:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: self.finished), body["wait-ms"] / 1000
                    )
                except asyncio.TimeoutError:
                    pass
        return self.answer(
            200,
            running=[
                [r.task, r.number, r.checkpoint, 100, 1000] for r in self.running.values()
            ],
            finished=self.finished[:ENDS_MAX],
        )
