"""Stand-ins of the platform's store and of the runners, over HTTP/1.1 on loopback addresses.

They follow the protocol page of the users' platform and are sound: where the page is silent, they
answer as a well-behaved store or runner would. What a test does to them is said by their
attributes, which are neutral unless a test sets them.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit


def now_ms():
    return time.monotonic_ns() // 1000000


class Record:
    """The record of a play: one line for each event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start_ms = now_ms()

    def at(self):
        return (now_ms() - self.start_ms) / 1000

    def write(self, who, text):
        self.file.write(f"{self.at():8.3f}  {who:<12} {text}\n")


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class HttpServer:
    """Serves requests one after the other on each connection; subclasses define serve()."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self.on_connection, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        self.server = None

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await self.read_request(reader)
                if not request:
                    break
                reply = await self.serve(request)
                if reply is None:  # no answer: the connection returns nothing further
                    writer.transport.abort()
                    break
                status, content_type, body = reply
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def read_request(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                key, value = line.split(":", 1)
                headers[key.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b""
        return Request(method, target, headers, body)

    async def serve(self, request):
        raise NotImplementedError


def as_json(status, value):
    return status, "application/json", json.dumps(value).encode()


class Part:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> [epoch, last seq or None, [(seq, reply)]]
        self.changed = asyncio.Event()


class Store(HttpServer):
    """The platform's store: logs, keyed topics, conditional and fenced appends; keeps all."""

    ANSWER_S = 0.004

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.parts = {}
        self.calls = 0
        self.slow = 1  # an answer takes this many times as long

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Part())

    def append(self, topic, part, payloads):
        p = self.part(topic, part)
        first = len(p.records)
        for payload in payloads:
            if topic.startswith("keyed."):
                length = payload[0]
                key = payload[1 : 1 + length].decode()
                value = payload[1 + length :]
                if value:
                    p.newest[key] = (len(p.records), value)
                else:
                    p.newest.pop(key, None)
            p.records.append(payload)
        p.changed.set()
        p.changed = asyncio.Event()
        return first

    def put(self, topic, key, value):
        """Writes one keyed record, as the operator and the runners do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.append(topic, 0, [bytes([len(key)]) + key.encode() + data])

    async def serve(self, request):
        self.calls += 1
        await asyncio.sleep(self.ANSWER_S * self.slow / 2)
        reply = await self.carry_out(request)
        await asyncio.sleep(self.ANSWER_S * self.slow / 2)
        return reply

    async def carry_out(self, request):
        q = request.query
        call = (request.method, request.path)
        if call == ("POST", "/log-append"):
            return self.log_append(q, request.body)
        if call == ("GET", "/log-read"):
            return await self.log_read(q)
        if call == ("GET", "/log-newest"):
            return self.log_newest(q)
        return as_json(404, {})

    @staticmethod
    def split(body):
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            yield body[at + 4 : at + 4 + size]
            at += 4 + size

    def log_append(self, q, body):
        p = self.part(q["topic"], q["part"])
        producer = None
        if "producer" in q:
            epoch = int(q["epoch"])
            producer = p.producers.setdefault(q["producer"], [epoch, None, []])
            if epoch < producer[0]:
                return as_json(409, {"reason": "fenced"})
            if epoch > producer[0]:
                producer[:] = [epoch, None, []]
            if "seq" in q:
                seq = int(q["seq"])
                for known, reply in producer[2]:
                    if known == seq:
                        return reply
                if producer[1] is not None and seq != producer[1] + 1:
                    return as_json(409, {"reason": "seq", "seq": producer[1] + 1})
        if "at" in q and int(q["at"]) != len(p.records):
            return as_json(412, {"end-offset": len(p.records)})
        payloads = list(self.split(body))
        first = self.append(q["topic"], q["part"], payloads) if payloads else len(p.records)
        reply = as_json(200, {"offset": first, "end-offset": len(p.records)})
        if producer and payloads and "seq" in q:
            producer[1] = int(q["seq"])
            producer[2] = (producer[2] + [(producer[1], reply)])[-5:]
        return reply

    async def log_read(self, q):
        p = self.part(q["topic"], q["part"])
        first = int(q["from"])
        wait_s = min(int(q.get("wait-ms", "0")), 30000) / 1000
        limit = int(q.get("max-kb", "1024")) * 1024
        until = time.monotonic() + wait_s
        while first >= len(p.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(p.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(p.records), 0)]
        size = 0
        for payload in p.records[first:]:
            if size and size + len(payload) > limit:
                break
            out.append(struct.pack(">I", len(payload)) + payload)
            size += len(payload) + 4
        return 200, "application/octet-stream", b"".join(out)

    def log_newest(self, q):
        p = self.part(q["topic"], q["part"])
        after = q.get("after", "")
        items = []
        size = 0
        more = False
        for key in sorted(k for k in p.newest if k > after):
            offset, value = p.newest[key]
            if len(items) == 500 or size > 1000000:
                more = True
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return as_json(200, {"items": items, "has-more": more, "end-offset": len(p.records)})


class Run:
    """A run of a task; a gang's run works while all of its members are present."""

    def __init__(self, number, work_ms, members, saved):
        self.number = number
        self.work_ms = work_ms
        self.members = members  # of its gang, 1 for a task on its own
        self.resumed_ms = int(saved[:8], 16) if saved else 0  # work that the checkpoint holds
        self.saved = saved
        self.begun_ms = None if members > 1 else now_ms()
        self.started_ms = now_ms()
        self.stopping_ms = 0
        self.broken = False

    def worked_ms(self):
        return self.resumed_ms + int(now_ms() - self.begun_ms if self.begun_ms else 0)


class Gangs:
    """What the runners tell each other of the gangs whose members they run."""

    def __init__(self):
        self.present = {}  # (step, run) -> {task: Run}

    @staticmethod
    def key(task, number):
        return task.rsplit(".", 1)[0], number

    def join(self, task, run):
        members = self.present.setdefault(self.key(task, run.number), {})
        members[task] = run
        if len(members) == run.members:
            for r in members.values():
                r.begun_ms = now_ms()

    def leave(self, task, run, how):
        members = self.present.get(self.key(task, run.number), {})
        members.pop(task, None)
        if how != "done":
            for r in members.values():
                r.broken = True


class Runner(HttpServer):
    """
    A runner. A task's spec is "MS", the length of its work, "lasts", or "gang N MS". A checkpoint
    holds the work done, in milliseconds, and the end of the job's id.
    """

    BEAT_S = 1.5
    HOLD_MAX_MS = 10000
    STOP_MS = 100
    SAVE_MS = 500
    GANG_MS = 3000

    def __init__(self, name, ip, store, record, gangs, service="desk", zone="z1", cpu=64000,
                 rack="r1"):
        super().__init__(ip)
        self.gangs = gangs
        self.name = name
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.rack = rack
        self.tasks = []
        self.up = False
        self.history = []  # (time ms, what, task, run), of all incarnations
        self.started = []  # (task, run, checkpoint), of all incarnations
        self.slow = 1  # work takes this many times as long

    def reset(self):
        self.born = int(time.time() * 1000)
        self.origin_ms = now_ms()
        self.fence = 0
        self.lease_ms = 0  # on the runner's clock
        self.running = {}
        self.highest = {}  # task -> highest run that was stopped or ended
        self.finished = []
        self.last_end = 0
        self.seq = 0
        self.ended = asyncio.Event()

    async def start(self):
        self.reset()
        await self.listen()
        self.up = True
        self.record.write(self.name, f"is up, born {self.born}")
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self):
        """All that runs ends, and nothing is remembered."""
        self.up = False
        for task, run in self.running.items():
            self.note("lost", task, run.number)
            self.gangs.leave(task, run, "lost")
        self.running = {}
        for t in self.tasks:
            t.cancel()
        await self.close()
        self.record.write(self.name, "has crashed")

    def clock(self):
        return now_ms() - self.origin_ms + 1000

    def note(self, what, task, number, more=""):
        self.history.append((now_ms(), what, task, number))
        self.record.write(self.name, f"{what} {task} run {number}{more}")

    def write_entry(self):
        self.seq += 1
        self.store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 262144, "gpu": 0},
                "labels": ["a", self.rack],
                "time-ms": self.clock(),
                "born": self.born,
                "seq": self.seq,
            },
        )

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.BEAT_S)

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.last_end += 1
        saved = self.save(task, run, True) if how in ("stopped", "broken") else run.saved
        self.finished.append([self.last_end, task, run.number, how, saved])
        self.note(how, task, run.number, f", saved {saved!r}")
        self.gangs.leave(task, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def save(self, task, run, stops):
        """The newest checkpoint: one for each SAVE_MS of work, and one at a stop."""
        worked_ms = run.worked_ms() if stops else run.worked_ms() // self.SAVE_MS * self.SAVE_MS
        if run.work_ms is not None and worked_ms > run.resumed_ms:
            run.saved = f"{worked_ms:08x}{task[8:16]}"
        return run.saved

    async def work(self):
        before = now_ms()
        while True:
            await asyncio.sleep(0.01)
            now = now_ms()
            for run in self.running.values():
                if run.begun_ms:
                    run.begun_ms += (now - max(before, run.begun_ms)) * (1 - 1 / self.slow)
            before = now
            for task, run in list(self.running.items()):
                if self.clock() > self.lease_ms:
                    self.end(task, "lapsed")
                elif run.broken:
                    self.end(task, "broken")
                elif run.stopping_ms and now >= run.stopping_ms + self.STOP_MS:
                    self.end(task, "stopped")
                elif run.begun_ms is None and now >= run.started_ms + self.GANG_MS:
                    self.end(task, "alone")
                elif run.work_ms is not None and run.worked_ms() >= run.work_ms:
                    self.end(task, "done")

    def answer(self, status, **more):
        return as_json(status, {"time-ms": self.clock(), "born": self.born, **more})

    def take_lease(self, body):
        deadline = min(int(body.get("deadline-ms", 0)), self.clock() + self.HOLD_MAX_MS)
        self.lease_ms = max(self.lease_ms, deadline)

    async def serve(self, request):
        if not self.up:
            return None
        if request.path == "/healthz":
            return self.answer(200)
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.name:
            return self.answer(421)
        body = request.json()
        fence = int(body.get("fence", 0))
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return self.run_stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return self.answer(404)

    def run_start(self, body):
        task, number = body["task"], int(body["run"])
        current = self.running.get(task)
        if current and current.number == number:
            self.take_lease(body)
            return self.answer(200)
        if number <= self.highest.get(task, 0) or current:
            self.take_lease(body)
            return self.answer(409, reason="old")
        if int(body.get("deadline-ms", 0)) < self.clock():
            return self.answer(409, reason="late")
        self.take_lease(body)
        words = body["spec"].split()
        work_ms = None if words[0] == "lasts" else int(words[-1])
        members = int(words[1]) if words[0] == "gang" else 1
        saved = body.get("checkpoint", "")
        run = self.running[task] = Run(number, work_ms, members, saved)
        self.started.append((task, number, saved))
        self.note("starts", task, number, f", checkpoint {saved!r}")
        if members > 1:
            self.gangs.join(task, run)
        return self.answer(200)

    def run_stop(self, body):
        task, number = body["task"], int(body["run"])
        current = self.running.get(task)
        if current and current.number <= number:
            current.stopping_ms = current.stopping_ms or now_ms()
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return self.answer(200)

    async def hold(self, body):
        seen = int(body.get("seen-upto", 0))
        for _, task, number, how, _ in (e for e in self.finished if e[0] <= seen):
            if self.clock() <= self.lease_ms:  # else the lease lapsed after the end
                self.note(f"{how}, noted", task, number)
        self.finished = [e for e in self.finished if e[0] > seen]
        self.take_lease(body)
        wait_s = min(int(body.get("wait-ms", 0)), 2000) / 1000
        if wait_s and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [
            [task, run.number, self.save(task, run, False), 100 if run.work_ms is None else 50, 1000]
            for task, run in self.running.items()
            if not run.stopping_ms
        ]
        return self.answer(200, running=running, finished=self.finished[:500])
