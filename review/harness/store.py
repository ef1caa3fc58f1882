"""Stand-in for the platform's metadata store: keyed topics, log-append, log-read
and log-newest."""

import asyncio
import base64
import struct
from urllib.parse import parse_qs, urlsplit

from http11 import Server


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, record):
        length = record[0]
        key = record[1 : 1 + length].decode()
        self.newest[key] = (record[1 + length :], len(self.records))
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}
        self.server = Server(self.on_request)

    async def listen(self, host, port):
        await self.server.listen(host, port)

    def topic(self, name, part):
        return self.topics.setdefault((name, part), Topic())

    def put(self, name, key, value):
        """Appends a record to partition 0, as the operator does."""
        raw = key.encode()
        self.topic(name, 0).append(bytes([len(raw)]) + raw + value)

    async def on_request(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query.get("topic", ""), int(query.get("part", "0")))
        if url.path == "/v1/log-append":
            return self.on_append(topic, request.body)
        if url.path == "/v1/log-newest":
            return self.on_newest(topic)
        if url.path == "/v1/log-read":
            return await self.on_read(topic, query)
        return 400, {}

    def on_append(self, topic, body):
        first = len(topic.records)
        while body:
            (length,) = struct.unpack(">I", body[:4])
            topic.append(body[4 : 4 + length])
            body = body[4 + length :]
        return 200, {"offset": first, "end": len(topic.records)}

    def on_newest(self, topic):
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in topic.newest.items()
        ]
        return 200, {"items": items, "hasMore": False, "end": len(topic.records)}

    async def on_read(self, topic, query):
        start = int(query["from"])
        wait = int(query.get("waitMs", "0")) / 1000
        if start >= len(topic.records) and wait > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body
