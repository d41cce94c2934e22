"""Stand-in of a runner, as PROTOCOL.md describes it: leases, fences, runs and lists of ends."""

import asyncio
import json
import time

from .http import Server, json_answer

BEAT_S = 1.5
BEATS_MISSED = 3
ENDS_MAX = 500
TICK_S = 0.01


class Run:
    def __init__(self, number, spec, now_ms, saved):
        self.number = number
        self.spec = spec
        self.begun_ms = now_ms
        self.saved = saved
        self.usage = 100

    def end(self, now_ms):
        """How the run has ended by itself, None while it goes on. A spec begins with "WHAT MS"."""
        what, ms = self.spec.split(" ")[:2]
        if what == "lasts" or now_ms - self.begun_ms < int(ms):
            return None
        return "failed" if what == "fails" else "done"


class Runner:
    """enforces no capacity; record(event, **fields) is told of starts and ends."""

    def __init__(self, name, service, zone, ip, capacity, labels, store, record, bounds):
        self.id = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.capacity = capacity
        self.labels = labels
        self.store = store
        self.record = record
        self.hold_max_ms = bounds["hold_max_ms"]
        self.stop_ms = bounds["stop_ms"]
        self.http = None
        self.address = None
        self.ticker = None
        self.expiry = None
        self.up = False

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def start(self):
        """A new incarnation at the same address."""
        if self.expiry:
            self.expiry.cancel()
            self.expiry = None
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.over = {}  # task -> highest run that was stopped or ended here
        self.ends = []
        self.next_end = 1
        self.seq = 0
        self.ended = asyncio.Event()
        self.http = Server(self._handle)
        await self.http.listen(self.ip, int(self.address.rsplit(":", 1)[1]) if self.address else 0)
        self.address = self.http.address
        self.up = True
        self.record("runner-up", runner=self.id)
        self.ticker = asyncio.ensure_future(self._tick())

    def crash(self):
        """Runs nothing from now on and answers nothing; its entry is removed after its beats."""
        if not self.up:
            return
        self.up = False
        self.ticker.cancel()
        self.http.close()
        self.record("runner-crash", runner=self.id, runs=len(self.runs))
        for task, run in self.runs.items():
            self.record("lost", runner=self.id, task=task, run=run.number)
        self.runs = {}
        self.expiry = asyncio.ensure_future(self._expire())

    async def _expire(self):
        await asyncio.sleep(BEAT_S * BEATS_MISSED)
        self.store.put("keyed.servers", self.id, b"")

    def close(self):
        self.up = False
        for task in (self.ticker, self.expiry):
            if task:
                task.cancel()
        if self.http:
            self.http.close()

    def _beat(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": 8, "state": "ready", "cold-ms": 0,
                 "capacity": self.capacity, "labels": self.labels, "time-ms": self.clock_ms(),
                 "born": self.born, "seq": self.seq}
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _tick(self):
        beat_due = 0
        while True:
            now = time.monotonic()
            if now >= beat_due:
                self._beat()
                beat_due = now + BEAT_S
            self._end_runs(self.clock_ms())
            await asyncio.sleep(TICK_S)

    def _end_runs(self, now_ms):
        for task, run in list(self.runs.items()):
            how = "lapsed" if now_ms >= self.lease_ms else run.end(now_ms)
            if how:
                self._end(task, run, how)

    def _end(self, task, run, how):
        del self.runs[task]
        self.over[task] = max(self.over.get(task, 0), run.number)
        self.ends.append([self.next_end, task, run.number, how, run.saved])
        self.next_end += 1
        self.record("end", runner=self.id, task=task, run=run.number, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _extend(self, deadline_ms):
        if deadline_ms:
            self.lease_ms = max(self.lease_ms,
                                min(deadline_ms, self.clock_ms() + self.hold_max_ms))

    def _answer(self, status, **fields):
        return json_answer(status, dict(fields, **{"time-ms": self.clock_ms(), "born": self.born}))

    async def _handle(self, req):
        expected = req.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return self._answer(421)
        if req.path == "/healthz":
            return self._answer(200)
        body = req.json()
        if body.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = max(self.fence, body.get("fence", 0))
        if req.path == "/run-start":
            return self._start(body)
        if req.path == "/run-stop":
            return self._stop(body)
        if req.path == "/hold":
            return await self._hold(body)
        return self._answer(404)

    def _start(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            self._extend(body["deadline-ms"])
            return self._answer(200)
        if number <= max(self.over.get(task, 0), run.number if run else 0):
            self._extend(body["deadline-ms"])
            return self._answer(409, reason="old")
        if body["deadline-ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        if run:
            self._end(task, run, "stopped")
        self.runs[task] = Run(number, body["spec"], self.clock_ms(), body.get("checkpoint", ""))
        self.record("start", runner=self.id, task=task, run=number, spec=body["spec"])
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            self._end(task, run, "stopped")
        elif not run or run.number < number:
            self.over[task] = max(self.over.get(task, 0), number)
        return self._answer(200)

    async def _hold(self, body):
        self._extend(body.get("deadline-ms", 0))
        seen = body.get("seen-upto", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait_s = min(body.get("wait-ms", 0), 2000) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, run.saved, 100, run.usage]
                   for task, run in self.runs.items()]
        return self._answer(200, running=running, finished=self.ends[:ENDS_MAX])
