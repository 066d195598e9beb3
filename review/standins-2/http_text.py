"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import json

LONGEST_HEAD = 65_536


class Head:
    """The first line of a message and its fields, with names in lower case."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, fallback=""):
        return self.fields.get(name.lower(), fallback)


async def read_head(reader):
    """Returns the next head, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Returns (body, complete) of a message with a length or chunks."""
    if head.get("transfer-encoding").lower() == "chunked":
        return await read_chunks(reader)
    length = int(head.get("content-length", "0") or 0)
    try:
        return await reader.readexactly(length), True
    except asyncio.IncompleteReadError as cut:
        return cut.partial, False
    except OSError:
        return b"", False


async def read_chunks(reader):
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += piece[:-2]
    except asyncio.IncompleteReadError as cut:
        return body + cut.partial, False
    except (OSError, ValueError):
        return body, False


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def operate(address, writes, deletes=()):
    """Writes rows to the store as the operator and the servers do."""
    ip, port = address.split(":")
    body = json.dumps({"write": writes, "delete": list(deletes)}).encode()
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(message("POST /rows HTTP/1.1", {
        "Host": "store", "Content-Length": len(body)}, body))
    await read_body(reader, await read_head(reader))
    writer.close()
