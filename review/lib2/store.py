"""Stand-in of the platform's store: logs and keyed topics, as PROTOCOL.md describes them."""

import asyncio
import base64
import struct

from .http import Server, json_answer

ANSWER_S = 0.004
APPEND_S = 0.002
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
REPEATS = 5


class Producer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.next_seq = None  # any
        self.answers = []     # (seq, answer) of the last appends


class Part:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.newest = {}      # key -> (offset, value)
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, keyed, data):
        offset = len(self.records)
        self.records.append(data)
        if keyed:
            size = data[0]
            key, value = data[1:1 + size], data[1 + size:]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)


class Store:
    def __init__(self):
        self.parts = {}
        self.http = Server(self._handle)

    async def listen(self, ip):
        await self.http.listen(ip)

    def part(self, topic, number):
        return self.parts.setdefault((topic, number), Part())

    def put(self, topic, key, value):
        """Writes one record of a keyed topic, as the operator and the runners do."""
        part = self.part(topic, 0)
        part.add(True, bytes([len(key)]) + key.encode() + value)
        self._wake(part)

    @staticmethod
    def _wake(part):
        part.changed.set()
        part.changed = asyncio.Event()

    async def _handle(self, req):
        await asyncio.sleep(ANSWER_S)
        topic, number = req.query.get("topic", ""), int(req.query.get("part", "0"))
        part = self.part(topic, number)
        keyed = topic.startswith("keyed.")
        if req.path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return json_answer(403, {})
            async with part.lock:
                return await self._append(part, keyed, req)
        if req.path == "/log-read":
            return await self._read(part, req)
        if req.path == "/log-newest":
            return self._newest(part, req.query.get("after", "").encode())
        return json_answer(404, {})

    async def _append(self, part, keyed, req):
        q = req.query
        end = len(part.records)
        producer = None
        if "producer" in q:
            epoch = int(q["epoch"])
            producer = part.producers.get(q["producer"])
            if producer and epoch < producer.epoch:
                return json_answer(409, {"reason": "fenced"})
            if not producer or epoch > producer.epoch:
                producer = part.producers[q["producer"]] = Producer(epoch)
            if req.body:
                seq = int(q["seq"])
                for done, answer in producer.answers:
                    if done == seq:
                        return answer
                if producer.next_seq is not None and seq != producer.next_seq:
                    return json_answer(409, {"reason": "seq", "seq": producer.next_seq})
        if "at" in q and int(q["at"]) != end:
            return json_answer(412, {"end-offset": end})
        if not req.body:
            return json_answer(200, {"offset": end, "end-offset": end})
        await asyncio.sleep(APPEND_S)
        at = 0
        while at < len(req.body):
            size, = struct.unpack_from(">I", req.body, at)
            part.add(keyed, req.body[at + 4:at + 4 + size])
            at += 4 + size
        answer = json_answer(200, {"offset": end, "end-offset": len(part.records)})
        if producer:
            producer.next_seq = int(q["seq"]) + 1
            producer.answers = (producer.answers + [(int(q["seq"]), answer)])[-REPEATS:]
        self._wake(part)
        return answer

    async def _read(self, part, req):
        offset = int(req.query["from"])
        wait_s = int(req.query.get("wait-ms", "0")) / 1000
        limit = int(req.query.get("max-kb", "1024")) * 1024
        if offset >= len(part.records) and wait_s:
            try:
                await asyncio.wait_for(part.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", len(part.records), 0)]
        size = 0
        for data in part.records[offset:]:
            if size and size + len(data) > limit:
                break
            out.append(struct.pack(">I", len(data)) + data)
            size += len(data)
        return 200, "application/octet-stream", b"".join(out)

    @staticmethod
    def _newest(part, after):
        items, size, more = [], 0, False
        for key in sorted(k for k in part.newest if k > after):
            offset, value = part.newest[key]
            if len(items) >= PAGE_ITEMS or (items and size + len(value) > PAGE_BYTES):
                more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
            size += len(value)
        return json_answer(200, {"items": items, "has-more": more,
                                 "end-offset": len(part.records)})
