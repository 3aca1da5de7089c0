"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of review/11 to 15."""
import asyncio
from urllib.parse import parse_qs, urlsplit


class Request:
    def __init__(self, method, target, headers, body, reader, writer):
        parts = urlsplit(target)
        self.method = method
        self.target = target
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    def number(self, name, default=0):
        return int(self.query.get(name, default))


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at its end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def answer_bytes(status, body=b"", fields=()):
    head = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


async def serve(handler, port=0):
    """Serves on loopback. handler(request) returns False to close the connection."""

    async def on_connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, reader, writer)
                if await handler(request) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port,
                                        limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


class Answer:
    """status is 0 if the connection ended without a head; whole tells whether the body
    came to its end."""

    def __init__(self, status=0, fields=None, body=b"", whole=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.whole = whole


async def read_answer(reader):
    head = await read_head(reader)
    if not head:
        return Answer()
    answer = Answer(int(head[0].split(" ")[1]), head[1])
    try:
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line:
                    return answer
                size = int(line.split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    break
        else:
            answer.body = await reader.readexactly(
                int(answer.fields.get("content-length", 0)))
        answer.whole = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except (ConnectionError, ValueError):
        pass
    return answer


async def call(address, method, target, fields=(), body=b"", timeout=6.0):
    """Sends one request on a new connection."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port),
                                                       limit=1 << 24)
        head = [f"{method} {target} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in fields]
        if body or method != "GET":
            head.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_answer(reader)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError):
        return Answer()
    finally:
        if writer:
            writer.close()
