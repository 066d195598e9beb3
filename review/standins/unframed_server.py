"""A server in a process of its own, so that it can be killed. It answers each
request without a length, in two halves with a pause between them, and closes
the connection after the second one."""

import asyncio
import sys

import standins as kit


async def main():
    server_id, service, address, pause = sys.argv[1:]
    host, port = address.split(":")

    async def answer(server, request, writer):
        name = request.get("Request-Id")
        print(f"server {server_id} runs {request.start} id={name}", flush=True)
        whole = kit.whole_body(name)
        half = len(whole) // 2
        fields = [("Connection", "close")]
        if "stream" in name:
            fields.append(("Content-Type", "text/event-stream"))
            half = whole.index(b"\n\n", half) + 2
        writer.write(kit.head_bytes(200, server.fields(request) + fields) + whole[:half])
        await writer.drain()
        await asyncio.sleep(float(pause))
        writer.write(whole[half:])
        await writer.drain()
        print(f"server {server_id} has answered {name} as a whole", flush=True)
        return False

    server = kit.Server(server_id, service, answer, kit.NoRecord(), host)
    server.port = int(port)
    await server.start()
    await asyncio.Event().wait()


asyncio.run(main())
