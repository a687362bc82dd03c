"""A small HTTP/1.1 server and client on asyncio, for loopback only."""

import asyncio
import json


class Lost(Exception):
    """Raised by a handler: the connection is closed without a response."""


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def serve(handler, port=0):
    """Serves `handler(method, target, headers, body) -> (status, document)`. Returns the server."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                status, document = await handler(method, target, headers, body)
                text = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (Lost, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, backlog=512)


def port_of(server):
    return server.sockets[0].getsockname()[1]


async def request(port, method, path, headers=None, document=None, timeout=5.0):
    """Returns (status, document); (None, reason) if there was no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}",
                     "Content-Type: application/json", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            line, _, answer = await read_message(reader)
            status = int(line.split(" ")[1])
            try:
                return status, json.loads(answer) if answer else {}
            except ValueError:
                return status, {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as problem:
        return None, type(problem).__name__
    finally:
        if writer:
            writer.close()
