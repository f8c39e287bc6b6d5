"""Loopback proxy of the fault soak, and small helpers for raw HTTP/1.1."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress

from attrs import define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND

READ_BYTES = 65_536
CONNECTION_ERRORS = (
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ConnectionError,
    OSError,
)


@frozen
class MessageHead:
    """The head of a request or an answer: its first line and its headers in lower case."""

    start_line: tuple[str, str, str]
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> MessageHead:
    """Read a head; raises one of GONE if the peer has gone or sends something else."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = raw.strip().split("\r\n")
    parts = start_line.split(" ", 2)
    if len(parts) < 2:
        raise ConnectionError("The peer does not speak HTTP.")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return MessageHead((parts[0], parts[1], parts[2] if len(parts) > 2 else ""), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; the last one is empty."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


def encode_head(start_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return a head as bytes."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@define(eq=False)
class Proxy:
    """Forward connections from one address to another, and disturb them.

    ``delay_ms`` holds each piece up, ``silent`` names the directions ("in" or "out") in which
    nothing passes, and ``refusing`` closes new connections at once.
    """

    source: tuple[str, int]
    target: tuple[str, int]
    rng: random.Random
    delay_ms: float = 0.0
    blocked: set[str] = field(factory=set)
    refusing: bool = False
    _healed: asyncio.Event = field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError if the address is taken."""
        self._server = await asyncio.start_server(self._serve, *self.source)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            abort(writer)

    def heal(self) -> None:
        """End all disturbances; connections that were silenced are reset, as after a long cut."""
        if self.blocked:
            self.reset()
        self.delay_ms, self.blocked, self.refusing = 0.0, set(), False
        self._healed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            abort(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, "in"), self._pump(target_reader, writer, "out")
            )
        finally:
            self._writers -= {writer, target_writer}
            for end in (writer, target_writer):
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        """Pass bytes on in one direction until either end closes."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.rng.uniform(0.5, 1.5) * self.delay_ms / MS_PER_SECOND)
                while direction in self.blocked:
                    self._healed.clear()
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except CONNECTION_ERRORS:
            abort(writer)
