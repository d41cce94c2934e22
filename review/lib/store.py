"""Stand-in of the platform's store: the log of PROTOCOL.md, without groups."""

import asyncio
import base64
import struct

from .http import Server

RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_RECORDS = 500
PAGE_BYTES = 1000000  # of the whole answer, which is the stricter reading of the page
ITEM_BYTES = 80  # of an item's JSON, beside its key and value
ANSWER_S = 0.004


class Part:
    def __init__(self):
        self.records = []
        self.newest = {}  # key -> (offset, value)
        self.changed = asyncio.Condition()
        self.epoch = {}  # producer -> [epoch, next seq or None, {seq: reply}]


class Store:
    def __init__(self):
        self.parts = {}
        self.refused = {}  # topic -> [appends refused for their size, largest record]
        self.server = Server(self.handle)
        self.port = 0

    async def start(self, host="127.0.0.1"):
        self.port = await self.server.listen(host)
        self.address = f"{host}:{self.port}"

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Part())

    async def put(self, topic, key, value):
        """Writes one record of a keyed topic, as the operator and the runners do."""
        name = key.encode()
        await self.append(topic, self.part(topic, 0), [bytes([len(name)]) + name + value])

    async def append(self, topic, part, records):
        for raw in records:
            offset = len(part.records)
            part.records.append(raw)
            if topic.startswith("keyed."):
                key = raw[1 : 1 + raw[0]]
                value = raw[1 + raw[0] :]
                if value:
                    part.newest[key] = (offset, value)
                else:
                    part.newest.pop(key, None)
        async with part.changed:
            part.changed.notify_all()

    async def handle(self, req):
        await asyncio.sleep(ANSWER_S)
        part = self.part(req.query.get("topic", ""), req.query.get("part", 0))
        if req.path == "/log-append":
            return await self.handle_append(req, part)
        if req.path == "/log-read":
            return await self.handle_read(req, part)
        if req.path == "/log-newest":
            return self.handle_newest(req, part)
        return 404, {}

    async def handle_append(self, req, part):
        topic = req.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = []
        at = 0
        while at + 4 <= len(req.body):
            (size,) = struct.unpack_from(">I", req.body, at)
            records.append(req.body[at + 4 : at + 4 + size])
            at += 4 + size
        if len(req.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            entry = self.refused.setdefault(topic, [0, 0])
            entry[0] += 1
            entry[1] = max([entry[1]] + [len(r) for r in records])
            return 413, {}
        end = len(part.records)
        if "at" in req.query and int(req.query["at"]) != end:
            return 412, {"end-offset": end}
        if "producer" in req.query:
            epoch = int(req.query["epoch"])
            seq = int(req.query.get("seq", -1))
            state = part.epoch.setdefault(req.query["producer"], [-1, None, {}])
            if epoch < state[0]:
                return 409, {"reason": "fenced"}
            if epoch > state[0]:
                state[:] = [epoch, None, {}]
            if records:
                if seq in state[2]:
                    return state[2][seq]
                if state[1] is not None and seq != state[1]:
                    return 409, {"reason": "seq", "seq": state[1]}
                state[1] = seq + 1
                state[2][seq] = (200, {"offset": end, "end-offset": end + len(records)})
                state[2].pop(seq - 5, None)
        await self.append(topic, part, records)
        return 200, {"offset": end, "end-offset": len(part.records)}

    async def handle_read(self, req, part):
        start = int(req.query["from"])
        wait_s = int(req.query.get("wait-ms", 0)) / 1000
        limit = int(req.query.get("max-kb", 1024)) * 1024
        if start >= len(part.records) and wait_s:
            async with part.changed:
                try:
                    await asyncio.wait_for(
                        part.changed.wait_for(lambda: start < len(part.records)), wait_s
                    )
                except asyncio.TimeoutError:
                    pass
        out = [struct.pack(">QQ", len(part.records), 0)]
        size = 0
        for raw in part.records[start:]:
            if size and size + 4 + len(raw) > limit:
                break
            out += [struct.pack(">I", len(raw)), raw]
            size += 4 + len(raw)
        return 200, b"".join(out)

    def handle_newest(self, req, part):
        after = req.query.get("after", "").encode()
        items = []
        size = 0
        more = False
        for key in sorted(k for k in part.newest if k > after):
            offset, value = part.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text) + len(key) + ITEM_BYTES
            if len(items) >= PAGE_RECORDS or (items and size > PAGE_BYTES):
                more = True
                break
            items.append({"key": key.decode(errors="replace"), "value": text, "offset": offset})
        return 200, {"items": items, "has-more": more, "end-offset": len(part.records)}
