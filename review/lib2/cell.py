"""A small cell on loopback addresses: the project's daemons beside stand-ins of the platform."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import zlib

from . import http
from .runner import Runner
from .store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "knapweedwheeld")
RESTART_S = 0.3
ZONES = ("north-a", "central-a", "south-a")
HOST = "jobs.example"

SETTINGS = """node={name}
role=entry
machine-class=front
serves=front
ip={ip}
zone={zone}
region={zone}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
port-range={first},{last}
bootstrap=true
limits.cpu-share={cpu}
limits.cores=1
limits.memory-mb=260
limits.max-fds=4100
discovery=platform
entry=vip
heartbeat-ms=1500
bounds.contact-ms=4000
bounds.ack-ms=5000
bounds.drain-ms=2500
bounds.grace-s=6
bounds.hold-max-ms=10000
bounds.stop-ms=900
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
orders=invoke
advisor=127.0.0.1:9
platform.address={store}
platform.form=log
"""


class CannotRun(Exception):
    pass


def is_free(port):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


def free_ports(count):
    """The first of so many ports in a row that are free, below those of outgoing connections."""
    for _ in range(200):
        first = random.randrange(15000, 30000)
        if all(is_free(port) for port in range(first, first + count)):
            return first
    raise CannotRun("no free ports")


class Daemon:
    def __init__(self, cell, index, cpu):
        self.cell = cell
        self.name = "front-%u" % (index + 1)
        self.ip = "127.0.2.%u" % (index + 1)
        self.zone = ZONES[index % len(ZONES)]
        self.front = "%s:%u" % (self.ip, cell.port)
        self.ready = "%s:%u" % (self.ip, cell.port + 1)
        self.process = None
        self.wanted = False
        self.settings = os.path.join(cell.folder, self.name + ".conf")
        with open(self.settings, "w") as f:
            f.write(SETTINGS.format(name=self.name, ip=self.ip, zone=self.zone, cpu=cpu,
                                    front=cell.port, ready=cell.port + 1, first=cell.port + 2,
                                    last=cell.port + 17, store=cell.store.http.address))

    def log_path(self):
        return os.path.join(self.cell.folder, self.name + ".log")

    def start(self):
        self.wanted = True
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.cell.folder,
               "LANG": "C.UTF-8", "KNAPWEEDWHEEL_SETTINGS": self.settings}
        with open(self.log_path(), "ab") as log:
            self.process = subprocess.Popen([DAEMON, "--platform"], cwd=ROOT, env=env, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.cell.record("daemon-start", daemon=self.name)

    def signal(self, number):
        self.cell.record("signal", daemon=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)


class Cell:
    """The record goes to record.txt in the case's folder; time 0 is the cell's creation."""

    def __init__(self, case_folder, bounds=None):
        self.begun = time.monotonic()
        self.file = open(os.path.join(case_folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="kw-review-")
        self.bounds = bounds or {"hold_max_ms": 10000, "stop_ms": 900}
        self.store = Store()
        self.runners = []
        self.daemons = []
        self.events = []
        self.port = free_ports(18)
        self.keeper = None

    def now(self):
        return time.monotonic() - self.begun

    def record(self, event, **fields):
        entry = dict(fields, event=event, t=round(self.now(), 3))
        self.events.append(entry)
        self.file.write("%9.3f %s %s\n" % (entry["t"], event,
                                           " ".join("%s=%s" % f for f in fields.items())))

    async def start(self, daemons, runners, config, cpus=None):
        """runners: a list of (id, service, labels, capacity)."""
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("%s is not built" % DAEMON)
        await self.store.listen("127.0.1.1")
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for i, (name, service, labels, capacity) in enumerate(runners):
            r = Runner(name, service, ZONES[i % len(ZONES)], "127.0.3.%u" % (i + 1), capacity,
                       labels, self.store, self.record, self.bounds)
            await r.start()
            self.runners.append(r)
        for i in range(daemons):
            d = Daemon(self, i, cpus[i] if cpus else 0.25)
            d.start()
            self.daemons.append(d)
        self.keeper = asyncio.ensure_future(self._keep())
        for d in self.daemons:
            await self.wait_ready(d)

    async def _keep(self):
        """Starts a process again that has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for d in self.daemons:
                if d.wanted and d.process.poll() is not None:
                    self.record("daemon-end", daemon=d.name, status=d.process.returncode)
                    await asyncio.sleep(RESTART_S)
                    d.start()

    async def wait_ready(self, daemon, within_s=20):
        until = self.now() + within_s
        while self.now() < until:
            status, _ = await http.call(daemon.ready, "GET", "/ready", {"Host": "ready"}, b"", 1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready" % daemon.name)

    async def client(self, daemon, method, path, body=None, timeout_s=3.0):
        """One attempt of a client; records the request and its answer."""
        sent = self.now()
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        data = b""
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        status, answer = await http.call(daemon.front, method, path, headers, data, timeout_s)
        try:
            value = json.loads(answer) if answer else {}
        except ValueError:
            value = {}
        self.record("client", method=method, path=path, daemon=daemon.name,
                    sent=round(sent, 3), status=status, answer=json.dumps(value))
        return status, value

    async def submit(self, path, body, tries=4):
        """Hands a job in as a client does: again, at another daemon, after no clear answer."""
        for i in range(tries):
            d = self.daemons[(zlib.crc32(path.encode()) + i) % len(self.daemons)]
            status, _ = await self.client(d, "POST", path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3 if status else 0.1)
        return False

    async def end(self):
        if self.keeper:
            self.keeper.cancel()
        for d in self.daemons:
            d.wanted = False
            if d.process and d.process.poll() is None:
                d.process.kill()
        for d in self.daemons:
            if d.process:
                d.process.wait()
        for r in self.runners:
            r.close()
        self.store.http.close()
        self.file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id(number):
    return "%016x" % (0x5c0e000000000000 + number)


def run_case(folder, play):
    """Runs play(cell), which returns the list of breaches; exits with 0, 1 or 2."""
    async def main():
        cell = Cell(folder)
        try:
            return await asyncio.wait_for(play(cell), 112), cell
        finally:
            await cell.end()

    try:
        breaches, _ = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("could not run: %r" % error)
        return 2
    for line in breaches[:10]:
        print("broken:", line)
    print("%u breaches" % len(breaches) if breaches else "the rule held")
    return 1 if breaches else 0
