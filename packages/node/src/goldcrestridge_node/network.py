"""Network backend of the HTTP client: connections of the event loop without a scope per read.

The backends of httpcore open a cancel scope for each read, also without a timeout. With one read
per event of a stream, these scopes are a tenth of the processor time of a request.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterable
from typing import Any

import anyio
import httpcore

# Reading from the socket pauses while this much is buffered, so that a slow caller slows its
# upstream down instead of filling the memory of this node. No more than this is read at once, so
# that a connection holds twice as much at most.
MAX_BUFFERED_BYTES = 32_768


class _Connection(asyncio.BufferedProtocol):
    """Buffer the received bytes and wake the one reader and the one writer.

    ``read_buffer`` is shared, since its bytes are copied out at once.
    """

    def __init__(self, read_buffer: memoryview) -> None:
        self._read_buffer = read_buffer
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.ended = False  # No more bytes will arrive.
        self.error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writing_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer received bytes and wake the reader."""
        self.buffer += self._read_buffer[:nbytes]
        if len(self.buffer) >= MAX_BUFFERED_BYTES and self.transport is not None:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the peer sends no more; the connection can still be written to."""
        self.ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and wake reader and writer."""
        self.ended = True
        self.error = exc or self.error
        self._writing_paused = False
        self._wake()
        self._wake_writer()

    def pause_writing(self) -> None:
        """Make writers wait until the send buffer has room."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Wake the writer."""
        self._writing_paused = False
        self._wake_writer()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _wake_writer(self) -> None:
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    async def read(self, max_bytes: int) -> bytes:
        """Return received bytes, or none at the end; raise OSError if the connection broke."""
        while not self.buffer and not self.ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if not self.buffer and self.error is not None:
            raise self.error
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes and wait while the send buffer is full; raise OSError if it broke."""
        transport = self.transport
        if transport is None or transport.is_closing():
            raise self.error or ConnectionResetError("The connection is closed.")
        transport.write(data)
        while self._writing_paused:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self.error is not None:
            raise self.error


class _Stream(httpcore.AsyncNetworkStream):
    """A connection as httpcore uses it."""

    def __init__(self, conn: _Connection) -> None:
        self._conn = conn

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or none at the end of the connection."""
        try:
            if timeout is None or self._conn.buffer:
                return await self._conn.read(max_bytes)
            with anyio.fail_after(timeout):
                return await self._conn.read(max_bytes)
        except TimeoutError as exc:
            raise httpcore.ReadTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        if not buffer:
            return
        try:
            if timeout is None:
                await self._conn.write(buffer)
                return
            with anyio.fail_after(timeout):
                await self._conn.write(buffer)
        except TimeoutError as exc:
            raise httpcore.WriteTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection; bytes that were not sent yet are discarded."""
        if self._conn.transport is not None:
            self._conn.transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Return the socket, or whether bytes or the end of the connection can be read."""
        transport = self._conn.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if info == "socket":
            return sock
        if info == "is_readable":
            return bool(self._conn.buffer) or self._conn.ended or _has_unread_bytes(sock)
        return None


def _has_unread_bytes(sock: Any) -> bool:
    """Return whether the kernel holds bytes or the end of the connection, or it is closed."""
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Open TCP connections for httpcore in the running event loop."""

    def __init__(self) -> None:
        self._read_buffer = memoryview(bytearray(MAX_BUFFERED_BYTES))

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to an IP address; raise ConnectError or ConnectTimeout."""
        local = None if local_address is None else (local_address, 0)
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, conn = await loop.create_connection(
                    lambda: _Connection(self._read_buffer), host, port, local_addr=local
                )
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        assert conn.transport is not None
        sock: socket.socket = conn.transport.get_extra_info("socket")
        for option in socket_options or ():
            sock.setsockopt(*option)
        return _Stream(conn)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await anyio.sleep(seconds)
