"""Stand-in of the platform's store: a log with partitions, producers, long polls and
keyed topics, with the limits on the size of records and of calls."""
import asyncio
import base64
import json
import time

import web

RECORD_BYTES = 262144
CALL_BYTES = 2097152
STORED_BYTES = 400 * 1000 * 1000
REMEMBERED_APPENDS = 5


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def add(self, data, keyed):
        if keyed and data and data[0] + 1 <= len(data):
            key, value = data[1:1 + data[0]], data[1 + data[0]:]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
        self.records.append(data)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self, note):
        self.note = note
        self.partitions = {}
        self.address = None
        self.server = None
        self.refusals = 0
        # Bytes of all records; none expires within the time of a case.
        self.stored = 0

    async def start(self):
        self.server, port = await web.serve(self.on_request)
        self.address = f"127.0.0.1:{port}"

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes a record on behalf of the operator or of a server."""
        partition = self.partition(topic, 0)
        key = key.encode()
        partition.add(bytes([len(key)]) + key + value.encode(), True)
        partition.wake()

    async def on_request(self, request):
        handlers = {"/log-append": self.on_append, "/log-read": self.on_read,
                    "/log-newest": self.on_newest}
        handler = handlers.get(request.path)
        if not handler:
            request.writer.write(web.answer_bytes(404))
            return
        topic = request.query.get("Topic", "")
        await handler(request, topic,
                      self.partition(topic, request.number("part")))

    def refuse(self, request, status, text):
        self.refusals += 1
        # Calls may be repeated several times a second.
        if self.refusals <= 5 or self.refusals % 50 == 0:
            self.note("store", f"{request.path} {request.query.get('Topic')} "
                      f"status={status} {text} refusals={self.refusals}")
        request.writer.write(web.answer_bytes(status, text.encode()))

    async def on_append(self, request, topic, partition):
        if topic in ("keyed.op", "keyed.servers"):
            self.refuse(request, 403, "the system may not write here")
            return
        records, at = [], 0
        while at + 4 <= len(request.body):
            size = int.from_bytes(request.body[at:at + 4], "big")
            if size > RECORD_BYTES:
                self.refuse(request, 413, f"a record of {size} bytes is longer "
                            f"than {RECORD_BYTES}")
                return
            records.append(request.body[at + 4:at + 4 + size])
            at += 4 + size
        if sum(map(len, records)) > CALL_BYTES:
            self.refuse(request, 413, "the records are longer than a call")
            return
        size = sum(map(len, records))
        if records and self.stored + size > STORED_BYTES:
            self.refuse(request, 507, f"{self.stored} bytes are stored")
            return
        answer = None
        producer = request.query.get("ProducerId")
        if producer:
            status, answer = self.check_producer(partition, producer, request)
            if status == 409:
                request.writer.write(web.answer_bytes(
                    409, json.dumps(answer).encode()))
                return
        if not answer:
            first = len(partition.records)
            self.stored += size
            for record in records:
                partition.add(record, topic.startswith("keyed."))
            answer = {"Offset": first, "EndOffset": len(partition.records)}
            if producer:
                partition.producers[producer]["answers"][
                    request.number("Sequence")] = answer
            partition.wake()
        request.writer.write(web.answer_bytes(200, json.dumps(answer).encode()))

    @staticmethod
    def check_producer(partition, name, request):
        epoch, sequence = request.number("epoch"), request.number("Sequence")
        state = partition.producers.get(name)
        if not state or epoch > state["epoch"]:
            partition.producers[name] = {"epoch": epoch, "last": sequence,
                                         "answers": {}}
            return 200, None
        if epoch < state["epoch"]:
            return 409, {"why": "fenced", "Sequence": state["last"] + 1}
        kept = range(state["last"] - REMEMBERED_APPENDS + 1, state["last"] + 1)
        if sequence in kept and sequence in state["answers"]:
            return 200, state["answers"][sequence]
        if sequence != state["last"] + 1:
            return 409, {"why": "seq", "Sequence": state["last"] + 1}
        state["last"] = sequence
        return 200, None

    async def on_read(self, request, topic, partition):
        start = request.number("From")
        end = time.monotonic() + request.number("WaitMs") / 1000
        while start >= len(partition.records) and time.monotonic() < end:
            try:
                await asyncio.wait_for(partition.changed.wait(),
                                       max(end - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                break
        limit = request.number("MaxKb", 1024) * 1024
        body = len(partition.records).to_bytes(8, "big") + bytes(8)
        size = 0
        for record in partition.records[start:]:
            if size and size + len(record) > limit:
                break
            body += len(record).to_bytes(4, "big") + record
            size += len(record)
        request.writer.write(web.answer_bytes(200, body))

    async def on_newest(self, request, topic, partition):
        after = request.query.get("After", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = [{"Key": key.decode(), "Offset": partition.newest[key][0],
                  "Value": base64.b64encode(partition.newest[key][1]).decode()}
                 for key in keys[:500]]
        answer = {"Items": items, "HasMore": len(keys) > 500,
                  "EndOffset": len(partition.records)}
        request.writer.write(web.answer_bytes(200, json.dumps(answer).encode()))
