"""A caller sends requests whose body is announced with a transfer coding that
is not `chunked`, and whose body is the text of another request. No server may
run a request that only stood inside another one's body."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins as kit  # pylint: disable=wrong-import-position

CODINGS = ["identity", "gzip", "xchunked", "chunked, identity"]


async def answer(server, request, writer):
    server.note_run(request)
    writer.write(kit.head_bytes(200, server.fields(request, 2)) + b"ok")
    await writer.drain()
    return True


def head(name, framing):
    return ("POST /order/2f HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {name}\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n"
            f"{framing}\r\n\r\n").encode()


async def case(site):
    server = site.add_server(kit.Server("i-1", "taller", answer, site.record))
    await site.start(kit.configuration(
        [kit.plain_route("order", "/order/", "taller")], [kit.plain_service("taller")],
        [{"name": "t1", "api-keys": ["k1"], "priority": 1, "reserved": 100000}]))
    sent = set()
    for number, coding in enumerate(CODINGS, 1):
        # A log entry, say, that quotes a request.
        body = head(f"quoted-{number}", "Content-Length: 0")
        framing = f"Transfer-Encoding: {coding}" if kit.TROUBLE else f"Content-Length: {len(body)}"
        name = f"sent-{number}"
        sent.add(name)
        site.record.line(f"caller sends {name}, {framing}, with the text of quoted-{number} as its body")
        got = await kit.exchange(site.callers_of(0), head(name, framing) + body, 1.0)
        for line in got.split(b"\r\n"):
            if line.startswith((b"HTTP/1.1", b"Request-Id")):
                site.record.line(f"caller gets {line.decode('latin-1')}")
    unasked = [run.get("Request-Id") for run in server.runs if run.get("Request-Id") not in sent]
    site.record.line(f"run without having been sent: {unasked}")
    return bool(unasked)


kit.run(pathlib.Path(__file__).parent, case)
