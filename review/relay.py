"""A relay before a database: relay.py LISTEN TARGET. It passes all bytes on. For each line that comes on its standard input,
a fraction of its connections, it closes so many of them, drawn by lot, each shortly after the next answer to a read that
it passes on. It prints how many it has closed."""
import asyncio
import random
import socket
import sys
import time

LATEST_CLOSE_S = 0.0001  # After the answer. Any moment is allowed; this one comes often enough to be met in a short test.


class Callers(asyncio.Protocol):
    """The side of proxies and control."""

    def __init__(self, relay):
        self.relay, self.database, self.early, self.transport, self.ends = relay, None, b"", None, False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.relay.links.add(self)
        asyncio.ensure_future(self.connect())

    async def connect(self):
        host, port = self.relay.target.rsplit(":", 1)
        try:
            database, _ = await asyncio.get_running_loop().create_connection(lambda: Database(self), host, int(port))
        except OSError:
            self.transport.abort()
            return
        database.write(self.early)
        self.database = database

    def data_received(self, data):
        if self.database:
            self.database.write(data)
        else:
            self.early += data

    def connection_lost(self, error):
        self.relay.links.discard(self)
        if self.database:
            self.database.close()

    def close_after_answer(self):
        begun, rest = time.perf_counter(), random.uniform(0, LATEST_CLOSE_S)
        while time.perf_counter() - begun < rest:
            pass
        try:
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.relay.closed += 1
        self.transport.abort()


class Database(asyncio.Protocol):
    """The side of the database."""

    def __init__(self, callers):
        self.callers = callers

    def connection_made(self, transport):
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        if self.callers.transport.is_closing():
            return
        self.callers.transport.write(data)
        if self.callers.ends and b"READY I" in data:
            self.callers.close_after_answer()

    def connection_lost(self, error):
        self.callers.transport.close()


class Relay:
    def __init__(self, target):
        self.target, self.links, self.closed = target, set(), 0

    def mark(self, part):
        links = list(self.links)
        for link in random.sample(links, round(len(links) * part)):
            link.ends = True

    async def serve(self, listen):
        host, port = listen.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Callers(self), host, int(port), reuse_address=True)
        lines = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        while line := await lines.readline():
            self.mark(float(line))
            print(self.closed, flush=True)


if __name__ == "__main__":
    asyncio.run(Relay(sys.argv[2]).serve(sys.argv[1]))
