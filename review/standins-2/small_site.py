"""A small site on loopback: the store, servers, routers and callers."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_text

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK, GRACE_S = 0.2, 10, 58, 8


class CannotRun(Exception):
    pass


def free_ports(ip, count):
    """Ports that nobody listens on at `ip`, all different."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def route(name, kind, service, **more):
    return {"name": name, "hostname": HOST, "prefix": f"/{name}/",
            "route-type": kind, "timeout-ms": 10_000,
            "target-latency-ms": 600, "priority": 1, "backend": service,
            "attempts": 2, "public": False, "session-affinity": False,
            "stream-resume": False, "itl-target-ms": 250, **more}


def service(name, **more):
    return {"name": name, "health-path": "/health", "max-connections": 370,
            "protocol": "h1", "tls": False, **more}


def configuration(version, routes, services, reserved=None):
    tenant = {"name": "hule930", "api-keys": [KEY], "priority": 1}
    if reserved is not None:
        tenant["reserved"] = reserved
    return {"version": version, "route-table": routes, "backends": services,
            "limits": {"max-header-bytes": 16_384,
                       "max-body-bytes": 4_194_304,
                       "header-timeout-ms": 3_000,
                       "idle-timeout-ms": 15_000},
            "tenants": [tenant]}


class Answer:
    """What a caller saw of one request."""

    def __init__(self, request):
        self.request = request
        self.status = 0
        self.body = b""
        self.complete = False
        self.signature = ""


class Site:
    def __init__(self, record):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="caperpath-case-"))
        self.record_path = pathlib.Path(record)
        self.record_path.write_text("")
        self.children = []
        self.system = f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}"
        self.operator = f"127.0.0.1:{free_ports('127.0.0.1', 2)[1]}"

    def note(self, who, what, **facts):
        facts.update(at=round(time.time(), 3), who=who, what=what)
        with self.record_path.open("a") as file:
            file.write(json.dumps(facts) + "\n")

    def spawn(self, arguments, log, **more):
        with (self.folder / log).open("ab") as output:
            child = subprocess.Popen(arguments, stdout=output, stderr=output,
                                     stdin=subprocess.DEVNULL, **more)
        self.children.append(child)
        return child

    async def start_store(self):
        self.spawn([sys.executable, str(HERE / "store.py"), self.system,
                    self.operator], "store.log")
        await self.wait_for_port(self.operator)

    async def wait_for_port(self, address, limit=10):
        ip, port = address.split(":")
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.02)
        raise CannotRun(f"nothing listens at {address}")

    async def operate(self, writes, deletes=()):
        await http_text.operate(self.operator, writes, deletes)

    async def configure(self, desired):
        await self.operate([["op", "config", json.dumps(desired)]])

    async def start_server(self, settings):
        given = dict(settings, operator=self.operator,
                     record=str(self.record_path))
        child = self.spawn([sys.executable, str(HERE / "plain_server.py"),
                            json.dumps(given)], f"{given['id']}.log")
        await self.wait_for_port(given["address"])
        return child

    async def start_router(self, number):
        """Starts the gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = (ROOT / deploy["roles"]["gateway"]["template"]).read_text()
        ip = f"127.0.0.{10 + number}"
        callers, readiness, first_peer, metrics = free_ports(ip, 4)
        settings = {
            "vm": f"edge-{number}", "failure_domain": "sala-norte",
            "callers": f"{ip}:{callers}", "readiness": f"{ip}:{readiness}",
            "metrics": f"{ip}:{metrics}",
            "store_address": self.system,
            "store_writes_per_s": 800,
            "peer_ports": f"{first_peer},{first_peer}", "grace_s": GRACE_S,
            "retry_ratio": RETRY_RATIO, "retry_window_s": RETRY_WINDOW_S,
            "retry_slack": RETRY_SLACK, "region": "xela",
            "regions": {"sala-norte": "xela"}}
        if any(f'"{name}"' not in template for name in settings):
            raise CannotRun("the settings differ from the template")
        path = self.folder / f"gateway-{number}.json"
        path.write_text(json.dumps(settings))
        words = deploy["roles"]["gateway"]["run"].split()
        command = [str(path) if w == "/etc/caperpath/boot.conf" else w
                   for w in words]
        child = self.spawn(command, f"gateway-{number}.log", cwd=ROOT,
                           env={"PATH": os.environ["PATH"]})
        child.callers, child.readiness = settings["callers"], settings["readiness"]
        await self.wait_ready(child)
        return child

    async def wait_ready(self, router, limit=20):
        until = time.monotonic() + limit
        ip, port = router.readiness.split(":")
        while time.monotonic() < until:
            if router.poll() is not None:
                raise CannotRun(f"a router has ended: {router.returncode}")
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await http_text.read_head(reader)
                writer.close()
                if head is not None and " 200 " in head.first:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("a router does not get ready")

    async def connect(self, router):
        ip, port = router.callers.split(":")
        return await asyncio.open_connection(ip, int(port))

    async def call(self, router, request, path, method="POST", fields=None,
                   body=b"", limit=12, channel=None):
        """Sends a request and reads its response. Without `channel` it opens
        a connection of its own."""
        got = Answer(request)
        self.note("caller", "sends", request=request, path=path,
                  bytes=len(body))
        try:
            reader, writer = channel or await self.connect(router)
            writer.write(http_text.message(f"{method} {path} HTTP/1.1", {
                "Host": HOST, "Request-Id": request, "Deadline-Ms": 10_000,
                "Authorization": f"Bearer {KEY}",
                "Content-Length": len(body), **(fields or {})}, body))
            head = await asyncio.wait_for(http_text.read_head(reader), limit)
            if head is not None:
                got.status = int(head.first.split(" ")[1])
                got.signature = head.get("upstream-signature")
                got.body, got.complete = await asyncio.wait_for(
                    http_text.read_body(reader, head), limit)
            if channel is None:
                writer.close()
        except (OSError, asyncio.TimeoutError) as fault:
            self.note("caller", "fault", request=request, text=repr(fault))
        self.note("caller", "answered", request=request, status=got.status,
                  complete=got.complete, signature=got.signature,
                  body=got.body.decode("latin-1")[-300:])
        return got

    def facts(self):
        lines = self.record_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, record):
    """Runs the coroutine `case(site, trouble)`, which returns what broke, and
    exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(record)
    code = 2
    # The processes end in any case, also if this one is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(code))
    try:
        broken = asyncio.run(asyncio.wait_for(case(site, trouble), 100))
        site.note("verdict", "broken" if broken else "held", text=broken or "")
        print(broken or "held")
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError, TimeoutError) as fault:
        site.note("verdict", "could not run", text=repr(fault))
        print(f"could not run: {fault!r}", file=sys.stderr)
    finally:
        if "KEEP_LOGS" in os.environ:
            print(f"logs: {site.folder}", file=sys.stderr)
        site.end()
    sys.exit(code)
