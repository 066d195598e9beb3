"""Stand-ins for the platform's store, model engines, plain services and callers.

They follow PROTOCOL.md where it says something, and behave like a sound peer
where it is silent. All of them listen on loopback addresses and free ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Message:
    """The head and body of an HTTP/1.1 message, as read from a connection."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns (start line, fields), or None if the peer closed before a message."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


async def read_chunks(reader):
    """Returns the content of a chunked body. Raises if it ends early."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    if "chunked" in message.get("Transfer-Encoding").lower():
        message.body = await read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    return message


def head_bytes(status, fields, reason=None):
    lines = [f"HTTP/1.1 {status} {reason or REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


class NoRecord:
    """Drops all lines."""

    def line(self, text):
        pass


def whole_body(name):
    """The body that a server gives to the request with this id."""
    if "stream" in name:
        return b"".join(b"id: %d\ndata: piece %d of %s\n\n" % (n, n, name.encode()) for n in range(1, 11))
    return b"".join(b"line %d of %s\n" % (n, name.encode()) for n in range(1, 41))


class Listener:
    """A TCP server whose connections are closed with it."""

    def __init__(self, host):
        self.host = host
        self.port = free_port(host)
        self.server = None
        self.tasks = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.host, self.port, limit=1 << 20)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Listener):
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self, host="127.0.0.2"):
        super().__init__(host)
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.version += 1
        self.write(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def remove(self, table, key, part=""):
        self.version += 1
        self.delete(table, part, key)
        self.wake()

    def write(self, table, part, key, data):
        row = {"table": table, "part": part, "key": key, "data": data, "schema-version": self.version}
        self.rows[(table, part, key)] = row
        self.history.append(row)

    def delete(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.history.append({"table": table, "part": part, "key": key, "deleted": True,
                                 "schema-version": self.version})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def stamp(self, body):
        return {**body, "schema-version": self.version, "now-ms": int(time.monotonic() * 1000)}

    def transact(self, txn):
        found = []
        holds = True
        for want in txn.get("expect", []):
            row = self.rows.get((want["table"], want["part"], want["key"]))
            holds = holds and (row["schema-version"] if row else 0) == want["schema-version"]
            if row:
                found.append(row)
        if not holds:
            return 412, self.stamp({"rows": found})
        self.version += 1
        for one in txn.get("write", []):
            self.write(one["table"], one["part"], one["key"], one["data"])
        for one in txn.get("delete", []):
            self.delete(one["table"], one["part"], one["key"])
        self.wake()
        return 200, self.stamp({})

    def get(self, query):
        first, last = query.get("source", ""), query.get("to")
        limit = int(query.get("limit", "500"))
        rows = [row for (table, part, key), row in sorted(self.rows.items())
                if table == query["table"] and part == query.get("part", "")
                and key >= first and (last is None or key < last)]
        return 200, self.stamp({"rows": rows[:limit], "has-more": len(rows) > limit})

    async def feed(self, query):
        since = int(query["since-revision"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [row for row in self.history
                    if row["schema-version"] > since and row["table"] == query["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.stamp({"rows": rows})
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            target = urllib.parse.urlsplit(request.start.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
            await asyncio.sleep(0.004)
            if target.path == "/-/rows-tx":
                status, body = self.transact(json.loads(request.body))
            elif target.path == "/-/rows-get":
                status, body = self.get(query)
            else:
                status, body = await self.feed(query)
            text = json.dumps(body).encode()
            writer.write(head_bytes(status, [("Content-Type", "application/json"),
                                             ("Content-Length", len(text))]) + text)
            await writer.drain()


class Server(Listener):
    """A server of a service. `answer` writes the response to one request and
    returns whether the connection stays open."""

    def __init__(self, server_id, service, answer, record, host="127.0.0.3", slots=6):
        super().__init__(host)
        self.id = server_id
        self.service = service
        self.answer = answer
        self.record = record
        self.slots = slots
        self.runs = []

    def entry(self, state="healthy"):
        return {"backend": self.service, "address": self.address, "zone": "z1", "version": "v1",
                "batch-slots": self.slots, "state": state, "warmup-left-ms": 0, "sequence": 1}

    def fields(self, request, length=None):
        found = [("Request-Id", request.get("Request-Id")),
                 ("Upstream-Signature", f"sig.{self.id}.{request.get('Request-Id')}"),
                 ("Upstream-Load", f"1,0,{self.slots}")]
        return found + ([("Content-Length", length)] if length is not None else [])

    def note_run(self, request):
        self.runs.append(request)
        self.record.line(f"server {self.id} runs {request.start} id={request.get('Request-Id')} "
                         f"tenant={request.get('Tenant-Id')} body={len(request.body)}")

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if request.get("Expected-Instance", self.id) != self.id:
                writer.write(head_bytes(421, [("Request-Id", request.get("Request-Id")),
                                              ("Upstream-Instance", self.id), ("Content-Length", 0)]))
                continue
            if not await self.answer(self, request, writer):
                return


class ServerProcess:
    """A server in a process of its own, with the interface of `Server` that
    `Site` uses."""

    def __init__(self, server_id, service, script, record, *arguments, host="127.0.0.3", slots=6):
        self.id = server_id
        self.service = service
        self.script = script
        self.record = record
        self.arguments = arguments
        self.slots = slots
        self.address = f"{host}:{free_port(host)}"
        self.process = None
        self.reading = None

    def entry(self, state="healthy"):
        return {"backend": self.service, "address": self.address, "zone": "z1", "version": "v1",
                "batch-slots": self.slots, "state": state, "warmup-left-ms": 0, "sequence": 1}

    async def start(self):
        folder = pathlib.Path(__file__).parent
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(folder / self.script), self.id, self.service, self.address,
            *map(str, self.arguments), stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE)
        self.reading = asyncio.create_task(self.copy_lines())
        await wait_for_listener(self.address)

    async def copy_lines(self):
        while line := await self.process.stdout.readline():
            self.record.line(line.decode().rstrip())

    def kill(self):
        self.record.line(f"server {self.id} is killed")
        self.process.kill()

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()
            await self.reading


async def wait_for_listener(address, longest=10.0):
    host, port = address.split(":")
    until = time.monotonic() + longest
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"nothing listens on {address}")


class Site:
    """A small deployment: a store, servers and router processes."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="caperpath-review-"))
        self.store = Store()
        self.servers = []
        self.routers = {}
        self.settings = {}

    def add_server(self, server):
        self.servers.append(server)
        return server

    async def start(self, configuration, routers=1):
        await self.store.start()
        self.store.put("op", "config", configuration)
        for server in self.servers:
            await server.start()
            self.store.put("servers", server.id, server.entry())
        for number in range(routers):
            self.write_settings(number)
            await self.start_router(number)
        await asyncio.gather(*(self.wait_ready(number) for number in range(routers)))

    def write_settings(self, number):
        host = f"127.0.1.{number + 1}"
        first = free_port(host)
        self.settings[number] = {
            "vm": f"edge-z1-{number + 1}", "failure_domain": "z1",
            "callers": f"{host}:{free_port(host)}", "readiness": f"{host}:{free_port(host)}",
            "metrics": f"{host}:{free_port(host)}", "store_address": self.store.address,
            "store_writes_per_s": 800, "peer_ports": f"{first},{first}", "grace_s": 8,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
            "region": "r1", "regions": {"z1": "r1"}}
        path = self.temporary / f"{number}.json"
        path.write_text(json.dumps(self.settings[number]))

    async def start_router(self, number):
        log = open(self.temporary / f"{number}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            "target/caperpath-gateway", "--settings", str(self.temporary / f"{number}.json"),
            cwd=REPOSITORY, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.routers[number] = process
        self.record.line(f"router {number} started")

    async def wait_ready(self, number, longest=20.0):
        until = time.monotonic() + longest
        host, port = self.settings[number]["readiness"].split(":")
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.line(f"router {number} is ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("a router did not become ready")

    def callers_of(self, number):
        host, port = self.settings[number]["callers"].split(":")
        return host, int(port)

    def log_text(self, number):
        return (self.temporary / f"{number}.log").read_text(errors="replace")

    async def stop(self):
        for process in self.routers.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        for one in [self.store, *self.servers]:
            await one.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print(self.temporary)


def configuration(routes, services, tenants):
    return {"version": 7, "route-table": routes, "backends": services, "tenants": tenants,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def plain_route(name, prefix, service, kind="non_idempotent", timeout_ms=1500, attempts=1):
    return {"name": name, "hostname": "site.example", "prefix": prefix, "route-type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 300, "priority": 2, "backend": service,
            "attempts": attempts, "public": False, "session-affinity": False, "stream-resume": False}


def plain_service(name):
    return {"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": False}


def stream_route(name, prefix, service, timeout_ms=8000, attempts=1, resumable=False):
    return {"name": name, "hostname": "site.example", "prefix": prefix, "route-type": "streaming",
            "timeout-ms": timeout_ms, "target-latency-ms": 300, "priority": 0, "backend": service,
            "attempts": attempts, "public": False, "session-affinity": True,
            "stream-resume": resumable, "itl-target-ms": 250}


def engine_service(name, slots=64):
    return {"name": name, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": False,
            "engine-type": {"batch-slots": slots, "kv-capacity": 444000, "kv-bytes": 131072,
                            "bandwidth-mbps": 260000.0, "migrations": True, "replicas": True, "stride": 9,
                            "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "kv-handle-s": 5.0,
                            "models": [{"name": "m"}]}}


def parse_answer(got):
    """Returns (status, body, whether the message is complete by its framing)."""
    head, separator, rest = got.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {name.strip().lower(): value.strip()
              for name, _, value in (line.partition(":") for line in lines[1:])}
    if "content-length" in fields:
        return status, rest, len(rest) == int(fields["content-length"])
    body = b""
    while True:
        line, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return status, body, False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return status, body, rest == b"\r\n"
        if len(rest) < size + 2:
            return status, body + rest[:size], False
        body, rest = body + rest[:size], rest[size + 2:]


async def exchange(address, data, longest=3.0):
    """Sends bytes on a new connection; returns all bytes until its end."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    received = b""
    until = time.monotonic() + longest
    try:
        while (left := until - time.monotonic()) > 0:
            part = await asyncio.wait_for(reader.read(65536), left)
            if not part:
                break
            received += part
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


def run(folder, case):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    async def body():
        site = Site(folder)
        try:
            broken = await asyncio.wait_for(case(site), 110)
            site.record.line("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        finally:
            await site.stop()
    try:
        code = asyncio.run(body())
    except Exception as fault:  # pylint: disable=broad-except
        print(f"the case could not run: {fault!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
