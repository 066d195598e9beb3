#!/usr/bin/env python3
"""Stand-in for the platform's store: rows, transactions and a feed.

Routers call SYSTEM_ADDRESS. The operator and the servers write with
`POST /rows` at OPERATOR_ADDRESS, where the tables `op` and `servers` are open.
"""

import asyncio
import base64
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

import http_text

ANSWER_S = 0.004
TRANSACTION_S = 0.005
MOST_ROWS = 500
OPERATOR_TABLES = ("op", "servers")


class Store:
    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.parts = {}
        self.began = time.monotonic()

    def stamp(self, body):
        body["schema-version"] = self.version
        body["now-ms"] = int((time.monotonic() - self.began) * 1000) + 50_000
        return body

    def encode(self, address, data, version):
        table, part, key = address
        row = {"table": table, "part": part, "key": key,
               "schema-version": version}
        if data is None:
            row["deleted"] = True
        else:
            row["data"] = base64.b64encode(data).decode()
        return row

    def lock(self, part):
        return self.parts.setdefault(part, asyncio.Lock())

    def apply(self, writes, deletes):
        self.version += 1
        for address, data in writes:
            self.rows[address] = (data, self.version)
            self.history.append((address, data, self.version))
        for address in deletes:
            if self.rows.pop(address, None) is not None:
                self.history.append((address, None, self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    async def transact(self, body):
        def address_of(row):
            return (row["table"], row.get("part", ""), row["key"])

        expected = [(address_of(r), r["schema-version"])
                    for r in body.get("expect", [])]
        writes = [(address_of(r), base64.b64decode(r["data"]))
                  for r in body.get("write", [])]
        deletes = [address_of(r) for r in body.get("delete", [])]
        every = [a for a, _ in expected] + [a for a, _ in writes] + deletes
        if any(a[0] in OPERATOR_TABLES for a in every if a not in
               [e for e, _ in expected]):
            return 403, {}
        if len({a[1] for a in every}) > 1:
            return 400, {}
        async with self.lock(every[0][1]):
            await asyncio.sleep(TRANSACTION_S)
            if any(self.rows.get(a, (None, 0))[1] != v for a, v in expected):
                rows = [self.encode(a, *self.rows[a]) for a, _ in expected
                        if a in self.rows]
                return 412, self.stamp({"rows": rows})
            self.apply(writes, deletes)
            return 200, self.stamp({})

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        keys = sorted(k for t, p, k in self.rows if t == table and p == part
                      and k >= query.get("source", "")
                      and ("to" not in query or k < query["to"]))
        limit = min(int(query.get("limit", MOST_ROWS)), MOST_ROWS)
        rows = [self.encode((table, part, k), *self.rows[(table, part, k)])
                for k in keys[:limit]]
        return 200, self.stamp({"rows": rows, "has-more": len(keys) > limit})

    async def feed(self, query):
        table, since = query["table"], int(query["since-revision"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [row for row in self.history
                     if row[0][0] == table and row[2] > since]
            left = until - time.monotonic()
            if found or left <= 0:
                rows = [self.encode(*row) for row in found]
                return 200, self.stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, head, body):
        target = urlsplit(head.first.split(" ")[1])
        query = {k: v[0] for k, v in
                 parse_qs(target.query, keep_blank_values=True).items()}
        await asyncio.sleep(ANSWER_S)
        if target.path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        if target.path == "/-/rows-get":
            return self.get(query)
        if target.path == "/-/rows-feed":
            return await self.feed(query)
        if target.path == "/-/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            return 200, self.stamp({"parts": parts, "has-more": False})
        return 404, {}

    async def operate(self, _, body):
        change = json.loads(body)
        writes = [((t, "", k), v.encode()) for t, k, v in change["write"]]
        deletes = [(t, "", k) for t, k in change.get("delete", [])]
        self.apply(writes, deletes)
        return 200, self.stamp({})


def serve_with(answer):
    async def serve(reader, writer):
        try:
            while (head := await http_text.read_head(reader)) is not None:
                body, _ = await http_text.read_body(reader, head)
                status, reply = await answer(head, body)
                text = json.dumps(reply).encode()
                writer.write(http_text.message(
                    f"HTTP/1.1 {status} OK",
                    {"Content-Type": "application/json",
                     "Content-Length": len(text)}, text))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
    return serve


async def main(system, operator):
    store = Store()
    for address, answer in ((system, store.answer), (operator, store.operate)):
        ip, port = address.split(":")
        await asyncio.start_server(serve_with(answer), ip, int(port),
                                   limit=http_text.LONGEST_HEAD)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2]))
