"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's scripts."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves handler(Request) -> (status, body); a body that is no bytes is sent as JSON."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                method, target, _ = head[0].split(" ", 2)
                size = int(head[1].get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                reply = await self.handler(Request(method, target, head[1], body))
                if reply is None:
                    break
                status, content = reply
                kind = "application/octet-stream"
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                    kind = "application/json"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self, reset=True):
        """Stops listening, and ends all connections as the end of a process does."""
        if self.server:
            self.server.close()
        for w in list(self.writers):
            if reset:
                w.transport.abort()
            else:
                w.close()


async def call(address, method, path, host, body=None, timeout=3.0, headers=None):
    """One request on a new connection. Returns (status, body); (0, b"") without an answer."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        try:
            content = b"" if body is None else body
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body is not None:
                lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            head = await read_head(reader)
            if not head:
                return 0, b""
            size = int(head[1].get("content-length", 0))
            return int(head[0].split(" ")[1]), await reader.readexactly(size)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
