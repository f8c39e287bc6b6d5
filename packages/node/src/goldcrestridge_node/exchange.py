"""One HTTP request of a caller and its response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from attrs import define, frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers, RequestId
from goldcrestridge_node.caller_connection import CallerConnection
from goldcrestridge_node.headers import header_values
from goldcrestridge_node.refusals import (
    REQUEST_ID_HEADER,
    Refusal,
    error_body,
    error_headers,
)

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

OVERLOADED = Refusal(
    503, "overloaded", "The node holds too many requests.", retry_after_ms=1000.0, close=True
)
UNSUPPORTED_HTTP_VERSION = Refusal(505, "http_version", "Only HTTP/1.1 is supported.", close=True)
BODY_TOO_LARGE = Refusal(413, "body_too_large", "The request body is too large.", close=True)
BODY_TOO_SLOW = Refusal(408, "body_timeout", "The request body took too long.", close=True)


# A longer part of a body is sent in pieces of this length.
MAX_WRITE_BYTES = 32_768


@frozen
class EdgeOptions:
    """Limits of the edge in bytes and milliseconds."""

    max_body_bytes: int = 8 * 1024 * 1024
    max_reserved_bytes: int = 96 * 1024 * 1024  # All bodies, beside the limits of the process.
    body_timeout_ms: float = 30_000.0
    drain_timeout_ms: float = 2_000.0  # Reading the body of a refused request.
    send_timeout_ms: float = 60_000.0
    max_requests: int = 2_048
    max_buffered_chunks: int = 16
    # A response of known length up to this size is sent only when it is complete, so that a failure
    # before that is still reported as an error response.
    max_buffered_response_bytes: int = 65_536


@frozen
class Page:
    """A complete response of the node itself."""

    body: bytes
    status: int = 200
    content_type: bytes = b"application/json"


@define(eq=False)
class Exchange:
    """One HTTP request and its response on a caller's connection.

    ``started`` tells whether the response head was sent, and ``body_read`` whether the request body
    was read to its end. ``reserved_bytes`` is the size of the body so far, ``held_bytes`` the
    memory that is reserved for the request. ``whole_seconds`` rounds Retry-After up to whole
    seconds, as RFC 9110 requires.
    """

    scope: Scope
    receive: Receive
    send: Send
    request_id: RequestId
    options: EdgeOptions
    started: bool = False
    reserved_bytes: int = 0
    held_bytes: int = 0
    body_read: bool = False
    whole_seconds: bool = True

    @property
    def conn(self) -> CallerConnection:
        """Return the caller's connection."""
        conn: CallerConnection = self.scope["state"]["connection"]
        return conn

    @property
    def headers(self) -> Headers:
        """Return the request headers, with names in lower case."""
        headers: Headers = self.scope["headers"]
        return headers

    def reserve(self, size: int) -> bool:
        """Reserve memory until ``release``; return False if the process has none left."""
        if not self.conn.reserve(size):
            return False
        self.held_bytes += size
        return True

    def reserve_response(self, size: int) -> bool:
        """Reserve memory for a part of the response, as long as further requests have room."""
        if not self.conn.reserve_response(size):
            return False
        self.held_bytes += size
        return True

    def release(self) -> None:
        """Release the memory that was reserved."""
        self.conn.release(self.held_bytes)
        self.held_bytes = 0

    async def read_body(
        self, reserve: Callable[[int], bool] | None = None
    ) -> bytes | Refusal | None:
        """Return the body, a refusal, or None if the caller has disconnected.

        ``reserve`` returns False if a part of the body would exceed a limit beside that of the
        process.
        """
        if not self.reserve(0):
            return OVERLOADED
        length = header_values(self.headers, b"content-length")
        if length and int(length[0]) > self.options.max_body_bytes:
            return BODY_TOO_LARGE
        with anyio.move_on_after(self.options.body_timeout_ms / MS_PER_SECOND):
            return await self._collect(reserve)
        return BODY_TOO_SLOW

    async def _collect(self, reserve: Callable[[int], bool] | None) -> bytes | Refusal | None:
        chunks: list[bytes] = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return None
            chunk: bytes = message["body"]
            if self.reserved_bytes + len(chunk) > self.options.max_body_bytes:
                return BODY_TOO_LARGE
            if not self.reserve(len(chunk)) or (reserve is not None and not reserve(len(chunk))):
                return OVERLOADED
            self.reserved_bytes += len(chunk)
            chunks.append(chunk)
            self.body_read = not message["more_body"]
            if self.body_read:
                return b"".join(chunks)

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send an error response."""
        body = error_body(refusal, self.request_id)
        headers = error_headers(refusal, self.request_id, body, self.whole_seconds)
        await self._send_whole(refusal.status, headers, body)

    async def _send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response of the node itself, which does not depend on the rest of the request."""
        await self.start(status, headers)
        await self.write(body, more=True)
        body_discarded = await self._discard_body()
        await self.write(b"", more=False)
        if not body_discarded:
            self.conn.transport.close()

    async def _discard_body(self) -> bool:
        """Discard the rest of the request body; return whether its end was received.

        Closing a socket with unread data resets the connection, which can lose the response.
        """
        if self._has_no_body():
            return True
        if header_values(self.headers, b"expect"):
            return self.body_read
        with anyio.move_on_after(self.options.drain_timeout_ms / MS_PER_SECOND):
            while not self.body_read:
                message = await self.receive()
                if message["type"] == "http.disconnect":
                    break
                self.body_read = not message["more_body"]
        return self.body_read

    def _has_no_body(self) -> bool:
        names = {name for name, _ in self.headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    async def send_page(self, page: Page) -> None:
        """Send a complete response of the node itself."""
        headers: Headers = (
            (b"content-type", page.content_type),
            (b"content-length", b"%d" % len(page.body)),
        )
        if self.request_id:
            headers += ((REQUEST_ID_HEADER, self.request_id.encode()),)
        await self._send_whole(page.status, headers, page.body)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.started = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body; ``more`` is False for the last part.

        A caller that reads slowly gets it piece by piece, so that no copy of the whole part waits.
        """
        last = max(0, len(data) - 1) // MAX_WRITE_BYTES * MAX_WRITE_BYTES
        for start in range(0, last, MAX_WRITE_BYTES):
            await self._send(_body_message(data[start : start + MAX_WRITE_BYTES], more=True))
        await self._send(_body_message(data[last:] if last else data, more))

    async def _send(self, message: Message) -> None:
        """Send a message; abort the connection if the caller reads nothing for the send timeout."""
        if not self.conn.write_paused:
            await self.send(message)
            return
        with anyio.move_on_after(self.options.send_timeout_ms / MS_PER_SECOND) as scope:
            await self.send(message)
        if scope.cancelled_caught:
            self.conn.abort()


def _body_message(data: bytes, more: bool) -> Message:
    return {"type": "http.response.body", "body": data, "more_body": more}
