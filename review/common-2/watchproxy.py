# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""A proxy on the link between some gateways and the coordinators, which can be cut:
while it is, nothing passes in either direction and new connections hang.

Gateways learn the coordinators' addresses from their replies, so the proxy replaces
each by its own, as address translation on a router would; otherwise it changes nothing."""

import asyncio

LENGTH_BYTES = 4


class WatchProxy:
    def __init__(self, deployment, port):
        self.network = deployment.network
        self.proxy_network = deployment.proxy_network
        self.port = port
        self.is_cut = False
        self.servers = []
        self.translations = {}

    async def start(self, numbers):
        for number in numbers:
            real, own = f"{self.network}.{number}", f"{self.proxy_network}.{number}"
            self.translations[f"{real}:{self.port}".encode()] = f"{own}:{self.port}".encode()
            self.servers.append(await asyncio.start_server(lambda reader, writer, real=real: self.serve(reader, writer, real), own, self.port))

    async def serve(self, reader, writer, real):
        try:
            await self.pass_cut()
            coordinator_reader, coordinator_writer = await asyncio.open_connection(real, self.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy_bytes(reader, coordinator_writer), self.copy_frames(coordinator_reader, writer))

    async def pass_cut(self):
        while self.is_cut:
            await asyncio.sleep(0.01)

    async def copy_bytes(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.pass_cut()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.end(writer)

    async def copy_frames(self, reader, writer):
        """Copies whole frames, so that no address is split between two reads."""
        try:
            while True:
                length = await reader.readexactly(LENGTH_BYTES)
                frame = await reader.readexactly(int.from_bytes(length, "big"))
                await self.pass_cut()
                for address, own in self.translations.items():
                    frame = frame.replace(address, own)
                writer.write(length + frame)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        await self.end(writer)

    async def end(self, writer):
        await self.pass_cut()
        writer.transport.abort()

    def close(self):
        for server in self.servers:
            server.close()
