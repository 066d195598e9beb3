#!/usr/bin/env python3
"""A faulty server sends other bytes in place of some of its answers."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from small_site import (configuration, free_ports, route, run,  # noqa: E402
                        service)

SERVERS, SLOTS, WORK_MS = 3, 6, 60
SHARE_SPOILED = 0.03  # of the answers of one server in three
ROUNDS, CALLS, PAUSE_S = 100, 16, 0.15


async def case(site, trouble):
    await site.start_store()
    await site.configure(configuration(
        7, [route("order", "non_idempotent", "taller-app")],
        [service("taller-app", **{"max-connections": 110})]))
    for number, port in enumerate(free_ports("127.0.0.1", SERVERS)):
        faulty = trouble and number == 0
        await site.start_server(
            {"id": f"i-{number}", "service": "taller-app",
             "zone": "sala-norte", "address": f"127.0.0.1:{port}",
             "slots": SLOTS, "work_ms": WORK_MS,
             "spoils": SHARE_SPOILED if faulty else 0})
    routers = [await site.start_router(n) for n in (1, 2)]
    calls = []
    for turn in range(ROUNDS):
        calls += [asyncio.create_task(site.call(
            routers[n % 2], f"r{turn}-{n}", "/order/a",
            fields={"Deadline-Ms": 1500})) for n in range(CALLS)]
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*calls)
    spoiled = sum(fact["what"] == "spoils" for fact in site.facts())
    site.note("summary", "counts", requests=len(answers), spoiled=spoiled)
    broken = [f"MIXED: {got.request} got {got.status} with {got.body!r} and "
              "no signature" for got in answers
              if 200 <= got.status < 300 and not got.signature]
    return "; ".join(broken) or None


run(case, HERE / "record.txt")
