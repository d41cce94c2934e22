"""A machine's link to the store: a TCP proxy that passes on so many bytes a second."""

import asyncio
import time

CHUNK_BYTES = 4096


class Link:
    def __init__(self, address, bytes_per_s):
        self.address = address
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.own = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def pass_on(self, reader, writer, limited):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if limited:
                    now = time.monotonic()
                    self.free_at = max(self.free_at, now) + len(data) / self.bytes_per_s
                    if self.free_at - now > 0.002:
                        await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        ip, port = self.address.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pass_on(reader, up_writer, False), self.pass_on(up_reader, writer, True)
        )

    def close(self):
        if self.server:
            self.server.close()
