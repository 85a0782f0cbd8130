# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""A loopback proxy of the fault soak: passes connections on, and delays, resets,
silences them or cuts one direction for a while."""

import asyncio


class FaultProxy:
    """Stands before one server."""

    def __init__(self, random, host, port):
        self.random = random
        self.host = host
        self.port = port
        self.delay = 0.0
        # Directions in which nothing passes.
        self.cut = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.copy(reader, far_writer, "there"), self.copy(far_reader, writer, "back"))
        self.writers -= {writer, far_writer}

    async def copy(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                while direction in self.cut:
                    await asyncio.sleep(0.02)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def disturb(self):
        kind = self.random.choice(["delay", "reset", "silence", "one-way"])
        if kind == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
            return
        self.delay = self.random.uniform(0.01, 0.3) if kind == "delay" else 0.0
        self.cut = {"silence": {"there", "back"}, "one-way": {self.random.choice(["there", "back"])}}.get(kind, set())
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.delay = 0.0
        self.cut = set()
