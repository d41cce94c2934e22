"""A small cell: daemons as separate processes, beside stand-ins in the process of the script."""

import asyncio
import http.client
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

from standins import Gangs, Record, Runner, Store, now_ms

HOST = "jobs.example"
PREFIX = "/q/"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SETTINGS = """node={node}
role=entry
machine-class=front
serves=front
ip={ip}
zone={zone}
region=north
zones.z1=north
zones.z2=north
zones.z3=north
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port-range={link},{last}
seeds=
bootstrap=true
limits.cpu-share={share}
limits.cores=1
limits.memory-mb=260
limits.max-fds=4100
limits.link-mbps=1000.0
discovery=platform
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,platform
bounds.contact-ms=4000
bounds.ack-ms=5000
bounds.drain-ms=2500
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2500
bounds.recover-s=12
bounds.hold-max-ms=10000
bounds.stop-ms=900
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
orders=invoke
platform.address={store}
platform.form=log
platform.record-bytes=262144
platform.call-bytes=2097152
platform.keep_s=300
"""


def run_command():
    """The command of the deploy file; the first word is a path from the repository's root."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        run = re.search(r'^run = "([^"]*)"', f.read(), re.MULTILINE)
    return run.group(1).split(" ")


def free_ports(ips, n):
    """First of n successive ports that are free on all of the addresses."""
    for _ in range(200):
        first = random.randrange(20000, 32000 - n)
        held = []
        try:
            for ip in ips:
                for port in range(first, first + n):
                    s = socket.socket()
                    held.append(s)
                    s.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise RuntimeError("no free ports")


class Vm:
    def __init__(self, number, ip, share, zone):
        self.number = number
        self.name = f"front-{number}"
        self.ip = ip
        self.share = share
        self.zone = zone
        self.process = None


class Cell:
    def __init__(self, folder, shares=(0.25, 0.25, 0.25), runners=2, runner_cpu=64000, attempts=3,
                 routes=({"name": "q", "prefix": PREFIX},)):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="kw-review-")
        net = random.randrange(10, 250)
        self.vms = [
            Vm(i + 1, f"127.{net}.1.{i + 1}", share, f"z{i % 3 + 1}")
            for i, share in enumerate(shares)
        ]
        self.port = free_ports([vm.ip for vm in self.vms], 5)
        self.store = Store(f"127.{net}.2.1", self.record)
        gangs = Gangs()
        self.runners = [
            Runner(f"i-{i + 1:08x}", f"127.{net}.3.{i + 1}", self.store, self.record, gangs,
                   zone=f"z{i % 3 + 1}", cpu=runner_cpu, rack=f"r{i % 3 + 1}")
            for i in range(runners)
        ]
        self.attempts = attempts
        self.routes = routes

    def config(self):
        return {
            "version": 1,
            "routes": [
                {"host": HOST, "kind": "unsafe", "timeout-ms": 3000, "slo-ms": 1000,
                 "priority": 1, "service": "desk", "attempts": self.attempts, "stretch": 2.0, **r}
                for r in self.routes
            ],
            "services": [
                {"name": "desk", "health": "/healthz", "max-conns": 64, "protocol": "h1",
                 "tls": False, "enforces-capacity": False}
            ],
            "limits": {"header-bytes": 16384, "body-bytes": 262144},
        }

    def start_vm(self, vm):
        path = os.path.join(self.folder, f"{vm.name}.conf")
        with open(path, "w") as f:
            f.write(SETTINGS.format(
                node=vm.name, ip=vm.ip, zone=vm.zone, share=vm.share, front=self.port,
                ready=self.port + 1, control=self.port + 2, link=self.port + 3,
                last=self.port + 4, store=self.store.address))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["KNAPWEEDWHEEL_SETTINGS"] = path
        log = open(os.path.join(self.folder, f"{vm.name}.log"), "ab")
        vm.process = subprocess.Popen(run_command(), cwd=ROOT, env=env, stdout=log, stderr=log,
                                      stdin=subprocess.DEVNULL)
        log.close()
        self.record.write(vm.name, f"process started, share {vm.share}")

    def signal(self, vm, number):
        self.record.write(vm.name, f"gets {signal.Signals(number).name}")
        vm.process.send_signal(number)

    async def wait_exit(self, vm, limit_s):
        until = now_ms() + limit_s * 1000
        while vm.process.poll() is None and now_ms() < until:
            await asyncio.sleep(0.02)
        self.record.write(vm.name, f"exit status {vm.process.poll()}")
        return vm.process.poll()

    async def begin(self, with_runners=True):
        await self.store.listen()
        if with_runners:
            await self.start_runners()
        self.store.put("keyed.op", "config", self.config())
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            await self.wait_ready(vm)

    async def start_runners(self):
        for r in self.runners:
            await r.start()

    async def wait_ready(self, vm, limit_s=15):
        until = now_ms() + limit_s * 1000
        while now_ms() < until:
            status, _ = await self.call(vm, "GET", "/ready", port=self.port + 1, quiet=True)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{vm.name} is not ready")

    def log(self, vm):
        with open(os.path.join(self.folder, f"{vm.name}.log"), errors="replace") as f:
            return f.read()

    async def leader(self):
        """The VM that schedules, as its metrics say."""
        for vm in self.vms:
            if not vm.process or vm.process.poll() is not None:
                continue
            status, text = await self.call(vm, "GET", "/metrics", port=self.port + 4, quiet=True,
                                           raw=True)
            if status == 200 and "\nkw_scheduler 1" in text:
                return vm
        return None

    async def wait_leader(self, limit_s=10, wanted=None):
        until = now_ms() + limit_s * 1000
        while now_ms() < until:
            vm = await self.leader()
            if vm and (wanted is None or vm is wanted):
                return vm
            await asyncio.sleep(0.05)
        raise RuntimeError("no scheduler")

    async def call(self, vm, method, path, body=None, timeout_s=3.0, port=None, quiet=False,
                   raw=False):
        """One call on a connection of its own: (status, answer), (None, why) without an answer."""
        result = await asyncio.to_thread(self.call_blocking, vm, method, path, body, timeout_s,
                                         port, raw)
        if not quiet:
            self.record.write("client", f"{method} {path} at {vm.name}: {result[0]} {result[1]}")
        return result

    def call_blocking(self, vm, method, path, body, timeout_s, port, raw):
        connection = http.client.HTTPConnection(vm.ip, port or self.port, timeout=timeout_s)
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body)
        try:
            connection.request(method, path, data, headers)
            reply = connection.getresponse()
            text = reply.read().decode()
            return reply.status, text if raw else (json.loads(text) if text else {})
        except (OSError, http.client.HTTPException) as e:
            return None, f"no answer: {type(e).__name__}"
        finally:
            connection.close()

    async def submit(self, vm, job, steps, spec="200", timeout_s=3.0, prefix=PREFIX):
        return await self.call(vm, "POST", prefix + job, {"spec": spec, "steps": steps}, timeout_s)

    async def end(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        for r in self.runners:
            if r.up:
                await r.crash()
        await self.store.close()


def job_id():
    return f"{random.getrandbits(64):016x}"


def play(main, folder, trouble):
    """Runs main(cell factory, trouble): exits with 1 if it returns a broken rule, 0 if not."""
    cells = []

    def create(**conf):
        cells.append(Cell(folder, **conf))
        return cells[-1]

    async def run():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(main(create, trouble), 110)
        finally:
            for c in cells:
                await c.end()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:  # the case could not run
        print(f"could not run: {type(e).__name__}: {e}")
        for c in cells:
            print(f"logs: {c.folder}")
        sys.exit(2)
    for c in cells:
        c.record.write("check", broken or "the rule held")
        if os.environ.get("KEEP"):
            print(f"logs: {c.folder}")
        else:
            shutil.rmtree(c.folder, ignore_errors=True)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
