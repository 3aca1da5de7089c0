"""Stand-in of a worker, as a process of its own. It signs its answers, runs SLOTS requests
at once and lets others wait, and resumes a stream after Last-Event-Id. Each run is printed
as a line of JSON.

A prompt that has the part "badbad" ends the process as it begins to write the answer. A
request with the body "empty" is answered with one event, whose data is empty, and one with
the body "fail " and a status with that status."""
import argparse
import asyncio
import json
import os
import sys

import web

BAD_PART = "badbad"
EMPTY = b"empty"
FAIL = b"fail "


class Worker:
    def __init__(self, options):
        self.options = options
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.waiting = 0

    def note(self, **what):
        sys.stdout.write(json.dumps({"server": self.options.id,
                                     "version": self.options.version, **what})
                         + "\n")
        sys.stdout.flush()

    async def on_request(self, request):
        fields = request.headers
        own = [("X-Instance-Id", self.options.id)]
        if request.path == "/health":
            request.writer.write(web.answer_bytes(200, b"", own))
            return None
        name = fields.get("x-attempt-id")
        expected = fields.get("x-expect-instance")
        if not name or (expected and expected != self.options.id):
            request.writer.write(web.answer_bytes(
                421 if name else 400, b"", own + [("X-Not-Executed", "1")]))
            return None
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self.run(request, name)
            finally:
                self.running -= 1
        return None

    async def run(self, request, name):
        fields = request.headers
        last = int(fields.get("last-event-id", 0))
        self.note(run=name, path=request.path, last=last)
        head = [f"X-Attempt-Id: {name}",
                f"X-Server-Signature: {self.options.id}.{name}",
                f"X-Server-Load: {self.running},{self.waiting},"
                f"{self.options.slots}"]
        if request.body.startswith(FAIL):
            request.writer.write(web.answer_bytes(
                int(request.body[len(FAIL):]), b"",
                [tuple(line.split(": ", 1)) for line in head]))
            self.note(end=name)
            return
        if self.options.plain:
            await asyncio.sleep(self.options.event_ms / 1000)
            request.writer.write(web.answer_bytes(
                200, request.body, [tuple(line.split(": ", 1)) for line in head]))
            self.note(end=name)
            return
        head = ["HTTP/1.1 200 -", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"] + head
        request.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        if BAD_PART in fields.get("x-prompt-prefix", ""):
            self.chunk(request, ": begun\n\n")
            await request.writer.drain()
            await asyncio.sleep(0.03)
            self.note(crash=name)
            os._exit(1)
        if request.body == EMPTY and not last:
            self.chunk(request, "id: 1\ndata: \n\n")
            request.writer.write(b"0\r\n\r\n")
            self.note(end=name)
            return
        for event in range(last + 1, self.options.events + 1):
            await asyncio.sleep(self.options.event_ms / 1000)
            # The caller closes the connection of a request that it gives up.
            if request.reader.at_eof() or request.writer.is_closing():
                self.note(left=name, last=event - 1)
                raise ConnectionError
            self.chunk(request, f"id: {event}\ndata: {name}-{event}"
                       f"{self.options.mark}\n\n")
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")
        self.note(end=name)

    @staticmethod
    def chunk(request, text):
        data = text.encode()
        request.writer.write(b"%x\r\n%s\r\n" % (len(data), data))


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--mark", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--event-ms", type=float, default=20)
    parser.add_argument("--plain", action="store_true")
    worker = Worker(parser.parse_args())
    server, port = await web.serve(worker.on_request, worker.options.port)
    worker.note(listens=f"127.0.0.1:{port}", pid=os.getpid())
    await server.serve_forever()


asyncio.run(main())
