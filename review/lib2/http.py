"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the cases."""

import asyncio
import json
import urllib.parse

HEADER_MAX_BYTES = 65536


class Request:
    def __init__(self, method, target, headers, body):
        path, _, query = target.partition("?")
        self.method = method
        self.path = urllib.parse.unquote(path)
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves handler(request) -> (status, content type, bytes), or None: no answer at all."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.address = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=HEADER_MAX_BYTES)
        sock = self.server.sockets[0].getsockname()
        self.address = "%s:%u" % (sock[0], sock[1])

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                line, headers = await _read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.Event().wait()
                status, kind, data = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                             % (status, kind.encode(), len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Resets the open connections; a new one is refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


def json_answer(status, value):
    return status, "application/json", json.dumps(value).encode()


async def _call(address, method, path, headers, body):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % h for h in headers.items()]
        lines += ["Content-Length: %d" % len(body), "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        line, answer = await _read_head(reader)
        status = int(line.split(" ")[1])
        if "content-length" in answer:
            data = await reader.readexactly(int(answer["content-length"]))
        else:
            data = await reader.read()
        return status, data
    finally:
        writer.transport.abort()


async def call(address, method, path, headers=None, body=b"", timeout_s=3.0):
    """Returns (status, body); status 0 without a whole answer in time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, headers or {}, body), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
