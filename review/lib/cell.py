"""A small cell on loopback addresses: the daemons of the deploy file as separate processes, and
stand-ins of the store, the runners and the clients."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from .http import call
from .proxy import Link
from .runner import Runner
from .store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RESTART_S = 0.5
HOST = "jobs.example"

SETTINGS = """node={name}
role=entry
machine-class=front
serves=front
ip={ip}
zone={zone}
region=north
zones.{zone}=north
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port-range={first},{last}
seeds=
bootstrap=true
limits.cpu-share={share}
limits.cores=1
limits.memory-mb=260
limits.max-fds=4100
limits.link-mbps={link_mbps}
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,platform
bounds.contact-ms=4000
bounds.ack-ms=5000
bounds.drain-ms=2500
bounds.grace-s=6
bounds.config-apply-ms=2500
bounds.recover-s=12
bounds.hold-max-ms={hold_max_ms}
bounds.stop-ms=200
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.lease-ms=3000
orders=invoke
platform.address={store}
platform.form=log
platform.writes-per-s=600
platform.reads-per-s=2000
platform.parts=12
platform.append-ms=2.0
platform.part-mb-s=20.0
platform.read-mb-s=80.0
platform.record-bytes=262144
platform.call-bytes=2097152
platform.keep_s=300
platform.part-mb=200
platform.ttl-min-ms=1000
"""


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Daemon:
    def __init__(self, cell, number, share):
        self.cell = cell
        self.name = f"front-{number}"
        self.ip = f"{cell.network}.{10 + number}"
        self.share = share
        self.process = None
        self.link = None
        self.wanted = False
        self.exits = []  # of its own: (time, status)
        self.front = f"{self.ip}:{cell.ports['front']}"
        self.path = os.path.join(cell.folder, self.name + ".conf")
        self.log = open(os.path.join(cell.folder, self.name + ".log"), "ab")

    def start(self):
        cell = self.cell
        with open(self.path, "w") as f:
            f.write(
                SETTINGS.format(
                    name=self.name,
                    ip=self.ip,
                    zone=cell.zone,
                    share=self.share,
                    store=self.link.own if self.link else cell.store.address,
                    link_mbps=cell.link_mbps or 1000.0,
                    hold_max_ms=cell.hold_max_ms,
                    **cell.ports,
                )
            )
        env = {"PATH": os.environ.get("PATH", ""), "KNAPWEEDWHEEL_SETTINGS": self.path}
        self.process = subprocess.Popen(
            ["target/knapweedwheeld", "--platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.wanted = True
        self.cell.note("process", self.name, f"started, pid {self.process.pid}")

    def kill(self, sig=signal.SIGKILL):
        self.cell.note("process", self.name, f"gets {signal.Signals(sig).name}")
        self.wanted = self.wanted and sig != signal.SIGTERM
        self.killed = True
        os.kill(self.process.pid, sig)

    def log_lines(self):
        self.log.flush()
        with open(self.log.name, errors="replace") as f:
            return f.read().splitlines()


class Cell:
    def __init__(self, daemons=3, shares=None, hold_max_ms=6000, link_mbps=None):
        self.zone = "north-a"
        self.hold_max_ms = hold_max_ms
        self.link_mbps = link_mbps  # of each machine to the store; None: not limited
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(os.getcwd(), "record.txt"), "w")
        self.store = Store()
        self.runners = []
        self.starts = []  # (time, runner, task, run, body of the order)
        self.ends = []  # (time, runner, task, run, how)
        self.daemon_count = daemons
        self.shares = shares or [0.25] * daemons
        self.daemons = []
        self.rng = random.Random(1)

    def now(self):
        return time.monotonic() - self.began

    def note(self, kind, who, text):
        self.record.write(f"{self.now():8.3f} {kind:9} {who:12} {text}\n")
        self.record.flush()

    def run_started(self, runner, run, body):
        self.starts.append((self.now(), runner.id, run.task, run.number, body))

    def run_ended(self, runner, run, how):
        self.ends.append((self.now(), runner.id, run.task, run.number, how))

    def free_ports(self):
        """Ports that are free on the addresses of all daemons."""
        rng = random.Random()
        while True:
            self.network = f"127.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
            base = rng.randrange(20000, 28000)
            ports = dict(front=base, ready=base + 1, control=base + 2, first=base + 3, last=base + 9)
            try:
                for n in range(self.daemon_count):
                    for port in range(base, base + 10):
                        with socket.socket() as s:
                            s.bind((f"{self.network}.{10 + n}", port))
                return ports
            except OSError:
                continue

    async def start(self, routes, services):
        if not os.path.exists(os.path.join(ROOT, "target/knapweedwheeld")):
            raise CannotRun("target/knapweedwheeld is missing")
        await self.store.start()
        self.ports = self.free_ports()
        await self.publish(routes, services)
        for n in range(self.daemon_count):
            d = Daemon(self, n, self.shares[n])
            if self.link_mbps:
                d.link = Link(self.store.address, self.link_mbps * 125000)
                await d.link.start()
            self.daemons.append(d)

    async def publish(self, routes, services):
        self.config = {
            "version": 7,
            "routes": routes,
            "services": [
                {"name": s, "health": "/healthz", "max-conns": 64, "protocol": "h1", "tls": False}
                for s in services
            ],
            "limits": {"header-bytes": 16384, "body-bytes": 262144},
        }
        await self.store.put("keyed.op", "config", json.dumps(self.config).encode())

    async def start_daemons(self, daemons=None):
        for d in daemons or self.daemons:
            d.start()
            asyncio.ensure_future(self.supervise(d))
        await self.until(lambda: self.leader() is not None, 15, "a scheduler")
        await asyncio.sleep(1.0)

    async def supervise(self, d):
        """Restarts the process after a short delay, as the platform does."""
        while True:
            d.killed = False
            while d.process.poll() is None:
                await asyncio.sleep(0.02)
            status = d.process.returncode
            self.note("process", d.name, f"ended with status {status}")
            if not d.killed:
                d.exits.append((self.now(), status))
            if not d.wanted:
                return
            await asyncio.sleep(RESTART_S)
            d.start()

    async def add_runner(self, *args, **kwargs):
        r = Runner(self, *args, **kwargs)
        await r.start()
        self.runners.append(r)
        return r

    def leader(self):
        """The daemon that claimed the scheduler's lease last, by its log."""
        best = None
        for d in self.daemons:
            if not d.process or d.process.poll() is not None:
                continue
            for line in d.log_lines():
                m = re.search(r"this node is the scheduler, term (\d+)", line)
                if m and (not best or int(m[1]) > best[0]):
                    best = (int(m[1]), d)
        return best[1] if best else None

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"waited {seconds} s for {what}")
            await asyncio.sleep(0.05)

    async def submit(self, prefix, job, body, attempts=5):
        """Hands the job in as a client does; returns True once it is accepted."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        for i in range(attempts):
            up = [d for d in self.daemons if d.process and d.process.poll() is None]
            d = up[self.rng.randrange(len(up))]
            status, _ = await call(d.front, "POST", prefix + job, HOST, raw)
            self.note("POST", job, f"at {d.name}: {status or 'no answer'}")
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, prefix, job, daemon=None):
        up = [d for d in self.daemons if d.process and d.process.poll() is None]
        d = daemon or (up[self.rng.randrange(len(up))] if up else None)
        if not d:
            return 0, ""
        status, body = await call(d.front, "GET", prefix + job, HOST)
        state = json.loads(body).get("state", "") if status == 200 else ""
        self.note("GET", job, f"at {d.name}: {status or 'no answer'} {state}")
        return status, state

    def stop(self):
        for d in self.daemons:
            d.wanted = False
            d.killed = True
            if d.process and d.process.poll() is None:
                d.process.kill()
                d.process.wait()
            d.log.close()
        for r in self.runners:
            if r.up:
                r.timer.cancel()
                r.server.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout-ms": 3000,
        "slo-ms": 1000,
        "priority": 0,
        "service": service,
        "attempts": 3,
        "stretch": 2.0,
        **more,
    }


def main(case, cell):
    """Runs case(cell, trouble) -> message or None. Exits with 1 if it returns a message."""

    async def run():
        try:
            return await asyncio.wait_for(case(cell, os.environ.get("TROUBLE") != "0"), 115)
        finally:
            cell.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error or type(error).__name__}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    with open("record.txt", "a") as f:
        f.write(f"result: {'broken: ' + broken if broken else 'held'}\n")
    sys.exit(1 if broken else 0)
