"""Servers that answer a part of the requests with a status that Boost.Beast has
no name for. The caller must get the server's status, signature and body."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins as kit  # pylint: disable=wrong-import-position

REQUESTS = 40
# Every fifth answer of the server is a failure: well below the x of `srv_grey` (0.4).
FAILING_EACH = 5
STATUS_OF_FAILURE = 529 if kit.TROUBLE else 500


async def answer(server, request, writer):
    server.note_run(request)
    number = int(request.get("Request-Id").split("-")[1])
    failing = number % FAILING_EACH == 0
    status = STATUS_OF_FAILURE if failing else 200
    body = f"result {number}".encode()
    server.given[request.get("Request-Id")] = (status, body)
    reason = "Site Is Overloaded" if status == 529 else None
    writer.write(kit.head_bytes(status, server.fields(request, len(body)), reason) + body)
    await writer.drain()
    return True


async def case(site):
    server = site.add_server(kit.Server("i-1", "taller", answer, site.record))
    server.given = {}
    await site.start(kit.configuration(
        [kit.plain_route("order", "/order/", "taller")], [kit.plain_service("taller")],
        [{"name": "t1", "api-keys": ["k1"], "priority": 1, "reserved": 100000}]))
    broken = 0
    for number in range(1, REQUESTS + 1):
        name = f"order-{number}"
        request = (f"POST /order/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {name}\r\n"
                   "Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nConnection: close\r\n"
                   "Content-Length: 5\r\n\r\nparts").encode()
        site.record.line(f"caller sends {name}")
        got = await kit.exchange(site.callers_of(0), request)
        head, _, body = got.partition(b"\r\n\r\n")
        line = head.split(b"\r\n")[0].decode("latin-1")
        if name not in server.given:
            site.record.line(f"the router did not pass {name} on: {line!r}")
            continue
        status, content = server.given[name]
        site.record.line(f"server gave {status}; caller got {line!r}, body {body!r}")
        if not line.startswith(f"HTTP/1.1 {status} ") or body != content or b"Upstream-Signature" not in head:
            broken += 1
    site.record.line(f"{broken} of {REQUESTS} answers have another status than the server gave")
    return broken > 0


kit.run(pathlib.Path(__file__).parent, case)
