#!/usr/bin/env python3
"""Stand-in for a server of a plain service with slots.

It runs as many requests at once as it has slots and sheds the others as the
pages show it: 503 with `Not-Executed`. With `second_answers` it is faulty: some
of its rejections it sends once more on their channel, late, at the point where
the next response is expected. With `spoils` it is faulty, too: in place of some
of its answers it sends other bytes. With `queue` that many requests wait for a
slot before their bodies are read.
"""

import asyncio
import json
import os
import sys
import time

import http_text

BEAT_S = 1.2
SHED = http_text.message("HTTP/1.1 503 Service Unavailable",
                         {"Not-Executed": 1, "Content-Length": 0})
SPOILED = http_text.message("HTTP/1.1 200 OK", {"Content-Length": 7},
                            b"spoiled")


class Server:
    def __init__(self, settings):
        self.settings = settings
        self.slots = asyncio.Semaphore(settings["slots"])
        self.waiting = 0
        self.running = 0
        self.answers = 0
        self.spoiled = 0
        self.born_ms = int(time.time() * 1000)
        self.record = open(settings["record"], "a", buffering=1)

    def note(self, what, **facts):
        facts.update(at=round(time.time(), 3), who=self.settings["id"],
                     what=what)
        self.record.write(json.dumps(facts) + "\n")

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            entry = {"backend": self.settings["service"],
                     "address": self.settings["address"],
                     "zone": self.settings["zone"], "version": "v1",
                     "batch-slots": self.settings["slots"],
                     "state": "healthy", "warmup-left-ms": 0,
                     "sequence": sequence, "born": self.born_ms}
            await http_text.operate(
                self.settings["operator"],
                [["servers", self.settings["id"], json.dumps(entry)]])
            await asyncio.sleep(BEAT_S)

    def may_spoil(self, how):
        """Whether it may spoil another answer: no more than the given share."""
        share = self.settings.get(how, 0)
        return self.spoiled + 1 <= share * self.answers

    async def serve(self, reader, writer):
        late = b""
        try:
            while (head := await http_text.read_head(reader)) is not None:
                if self.settings.get("queue"):
                    await self.take_in_turn(head, reader, writer)
                    continue
                _, whole = await http_text.read_body(reader, head)
                if not whole:
                    break
                late = await self.respond(head, writer, late)
        except OSError:
            pass
        finally:
            writer.close()

    async def take_in_turn(self, head, reader, writer):
        request = head.get("request-id")
        if self.waiting >= self.settings["queue"]:
            await http_text.read_body(reader, head)
            writer.write(SHED)
            return
        self.note("reached", request=request)
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            _, whole = await http_text.read_body(reader, head)
            if not whole:
                raise ConnectionError("the request ended early")
            self.note("runs", request=request)
            await asyncio.sleep(self.settings["work_ms"] / 1000)
        finally:
            self.slots.release()
        self.write_done(request, writer)
        await writer.drain()

    def write_done(self, request, writer):
        body = f"done {request}".encode()
        writer.write(http_text.message("HTTP/1.1 200 OK", {
            "Request-Id": request, "Content-Length": len(body),
            "Upstream-Signature": f"{request}.{self.settings['id']}"}, body))
        self.note("done", request=request)

    async def respond(self, head, writer, late):
        """Returns what it sends late on this channel."""
        request = head.get("request-id")
        self.answers += 1
        if head.get("expected-instance") != self.settings["id"]:
            writer.write(http_text.message(
                "HTTP/1.1 421 Misdirected Request",
                {"Upstream-Instance": self.settings["id"],
                 "Content-Length": 0}))
            return late
        if self.running >= self.settings["slots"]:
            self.note("sheds", request=request)
            writer.write(SHED)
            await writer.drain()
            if not late and self.may_spoil("second_answers"):
                self.spoiled += 1
                return SHED
            return late
        self.running += 1
        self.note("runs", request=request)
        if late:
            self.note("second answer", before=request)
            writer.write(late)
            await writer.drain()
        try:
            await asyncio.sleep(self.settings["work_ms"] / 1000)
        finally:
            self.running -= 1
        if self.may_spoil("spoils"):
            self.spoiled += 1
            self.note("spoils", request=request)
            writer.write(SPOILED)
        else:
            self.write_done(request, writer)
        await writer.drain()
        return b""


async def main(settings):
    server = Server(settings)
    ip, port = settings["address"].split(":")
    await asyncio.start_server(server.serve, ip, int(port),
                               limit=http_text.LONGEST_HEAD)
    await server.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
