# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""A proxy on the loopback interface that forwards connections and injects faults:
delays, resets, and blocked traffic in one or both directions."""

import asyncio


class FaultProxy:
    """Proxy for one server."""

    def __init__(self, random, host, port):
        self.random = random
        self.host = host
        self.port = port
        self.delay = 0.0
        # Directions whose traffic is held back.
        self.blocked = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, server_writer}
        await asyncio.gather(self.copy(reader, server_writer, "there"), self.copy(server_reader, writer, "back"))
        self.writers -= {writer, server_writer}

    async def copy(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                while direction in self.blocked:
                    await asyncio.sleep(0.02)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def inject_fault(self):
        kind = self.random.choice(["delay", "reset", "silence", "one-way"])
        if kind == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
            return
        self.delay = self.random.uniform(0.01, 0.3) if kind == "delay" else 0.0
        self.blocked = {"silence": {"there", "back"}, "one-way": {self.random.choice(["there", "back"])}}.get(kind, set())
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.delay = 0.0
        self.blocked = set()
