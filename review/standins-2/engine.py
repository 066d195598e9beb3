#!/usr/bin/env python3
"""Stand-in for an engine: answers with a stream of events, or with a plain body.

It writes its entry to the store as the pages say, and one JSON line for each
run and each event that it made to its record. SIGUSR1: it reports `draining`
and goes on with the requests that it has. SIGTERM: it ends.

The path of a request says what it does: `?pieces=20&gap=200` makes 20 events,
200 ms apart; with `&plain=1` they are the lines of a plain body.
"""

import asyncio
import json
import os
import signal
import sys
import time
from urllib.parse import parse_qs, urlsplit

import http_text

BEAT_S = 1.2


class Engine:
    def __init__(self, settings):
        self.settings = settings
        self.state = "healthy"
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.record = open(settings["record"], "a", buffering=1)

    def note(self, what, **facts):
        facts.update(at=round(time.time(), 3), who=self.settings["id"],
                     what=what, pid=os.getpid())
        self.record.write(json.dumps(facts) + "\n")

    def entry(self):
        self.sequence += 1
        return {"backend": self.settings["service"],
                "address": self.settings["address"],
                "zone": self.settings["zone"], "version": "v1",
                "batch-slots": 64, "state": self.state,
                "warmup-left-ms": 0, "phase": "unified",
                "models": [{"name": "m", "version": 1, "loras": []}],
                "sequence": self.sequence, "born": self.born_ms}

    async def write_entry(self):
        await http_text.operate(
            self.settings["operator"],
            [["servers", self.settings["id"], json.dumps(self.entry())]])

    async def beat(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(BEAT_S)

    def drain(self):
        self.state = "draining"
        self.note("draining")
        asyncio.get_running_loop().create_task(self.write_entry())

    async def serve(self, reader, writer):
        try:
            while (head := await http_text.read_head(reader)) is not None:
                body, whole = await http_text.read_body(reader, head)
                if not whole or not await self.respond(head, body, writer):
                    break
        except OSError:
            pass
        finally:
            writer.close()

    async def respond(self, head, body, writer):
        """Returns whether the connection stays open."""
        request = head.get("request-id")
        if head.get("expected-instance", self.settings["id"]) != \
                self.settings["id"]:
            writer.write(http_text.message(
                "HTTP/1.1 421 Misdirected Request",
                {"Request-Id": request, "Content-Length": 0,
                 "Upstream-Instance": self.settings["id"]}))
            await writer.drain()
            return True
        target = urlsplit(head.first.split(" ")[1])
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        pieces, gap = int(query.get("pieces", 5)), int(query.get("gap", 50))
        after = head.get("last-event-id")
        plain = "plain" in query
        self.note("runs", request=request, after=after,
                  tenant=head.get("tenant-id"))
        fields = {"Request-Id": request,
                  "Content-Type": "text/plain" if plain else
                                  "text/event-stream",
                  "Upstream-Signature": f"{request}.{self.settings['id']}"}
        framed = not self.settings.get("unframed")
        fields["Transfer-Encoding" if framed else "Connection"] = \
            "chunked" if framed else "close"
        writer.write(http_text.message("HTTP/1.1 200 OK", fields))
        for number in range(int(after or 0) + 1, pieces + 1):
            await asyncio.sleep(gap / 1000)
            event = (f"line {number} of {request}\n" if plain else
                     f"id: {number}\ndata: {request} {number}\n\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed
                         else event)
            await writer.drain()
            self.note("event", request=request, number=number)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("done", request=request, pieces=pieces)
        return framed


async def main(settings):
    engine = Engine(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, engine.drain)
    loop.add_signal_handler(signal.SIGTERM, lambda: os._exit(0))
    ip, port = settings["address"].split(":")
    await asyncio.start_server(engine.serve, ip, int(port),
                               limit=http_text.LONGEST_HEAD, reuse_address=True)
    engine.note("started")
    print("ready", flush=True)
    await engine.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
