"""One HTTP request of a caller and the answer to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from attrs import define, evolve, frozen

from goldcrestridge_core.call_types import Call, CallKind, RespondFailure, RespondHead
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers, Outcome, RequestId
from goldcrestridge_node.answers import AnswerBuffer
from goldcrestridge_node.headers import header_values
from goldcrestridge_node.refusals import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Refusal,
    error_body,
    error_event,
    error_headers,
    refusal_from_failure,
)
from goldcrestridge_node.server import CallerConnection

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

END_MARKER = b"data: [DONE]\n\n"
BODILESS_STATUS = (204, 304)

OVERLOADED = Refusal(
    503, "overloaded", "The node holds too many requests.", retry_after_ms=1000.0, close=True
)
BODY_TOO_LARGE = Refusal(413, "body_too_large", "The request body is too large.", close=True)
BODY_TOO_SLOW = Refusal(408, "body_timeout", "The request body took too long.", close=True)


@frozen
class EdgeOptions:
    """Limits of the edge; bytes and milliseconds."""

    max_body_bytes: int = 8 * 1024 * 1024
    max_held_bytes: int = 96 * 1024 * 1024  # All bodies together; under half of the 256 MB.
    body_timeout_ms: float = 30_000.0
    drain_timeout_ms: float = 2_000.0  # For the rest of a refused request's body.
    send_timeout_ms: float = 60_000.0
    max_requests: int = 2_048
    chunk_buffer: int = 16
    # A short answer of known length is sent once it is whole, so that a break before that is
    # still told as an error response.
    max_buffered_answer_bytes: int = 65_536


@frozen
class Page:
    """A ready answer of the node itself."""

    body: bytes
    status: int = 200
    content_type: bytes = b"application/json"


@define(eq=False)
class Exchange:
    """One HTTP request and its response on a caller's connection."""

    scope: Scope
    receive: Receive
    send: Send
    request_id: RequestId
    options: EdgeOptions
    started: bool = False
    reserved_bytes: int = 0
    body_read: bool = False
    whole_seconds: bool = True  # Of Retry-After, as RFC 9110 has it.

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

    async def read_body(self, reserve: Callable[[int], bool]) -> bytes | Refusal | None:
        """Return the body, a refusal, or None if the caller has gone."""
        length = header_values(self.headers, b"content-length")
        if length and int(length[0]) > self.options.max_body_bytes:
            return BODY_TOO_LARGE
        with anyio.move_on_after(self.options.body_timeout_ms / MS_PER_SECOND):
            return await self._collect(reserve)
        return BODY_TOO_SLOW

    async def _collect(self, reserve: Callable[[int], bool]) -> bytes | Refusal | None:
        pieces: list[bytes] = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return None
            piece: bytes = message["body"]
            if self.reserved_bytes + len(piece) > self.options.max_body_bytes:
                return BODY_TOO_LARGE
            if not reserve(len(piece)):
                return OVERLOADED
            self.reserved_bytes += len(piece)
            pieces.append(piece)
            self.body_read = not message["more_body"]
            if self.body_read:
                return b"".join(pieces)

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send an error response."""
        body = error_body(refusal, self.request_id)
        await self.start(
            refusal.status, error_headers(refusal, self.request_id, body, self.whole_seconds)
        )
        await self.write(body, more=True)
        drained = await self._drain()
        await self.write(b"", more=False)
        if not drained:
            self.conn.transport.close()

    async def _drain(self) -> bool:
        """Discard the rest of the request body; return whether its end was seen.

        Closing a socket with unread data resets it, and the caller could lose the answer.
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
        """Send a ready answer."""
        headers = (
            (b"content-type", page.content_type),
            (b"content-length", b"%d" % len(page.body)),
            (REQUEST_ID_HEADER, self.request_id.encode()),
        )
        await self.start(page.status, headers)
        await self.write(page.body, more=False)

    async def send_answer(self, answer: AnswerBuffer, call: Call) -> None:
        """Send the effects of the request until it ends or the caller goes."""
        head: RespondHead | None = None
        held: list[bytes] | None = None
        while items := await answer.take():
            if head is None and isinstance(items[0], RespondHead):
                head = items.pop(0)  # type: ignore[assignment]
                assert head is not None
                head = self._without_length(head, call)
                held = [] if self._is_short(head) else None
                if held is None:
                    await self.start(head.status, self._own(head.headers))
            pieces = [item.data for item in items if not isinstance(item, RespondHead)]
            if held is not None:
                held += pieces
            elif pieces:
                await self.write(b"".join(pieces), more=True)
        await self._finish(answer, call, head, held)

    async def _finish(
        self, answer: AnswerBuffer, call: Call, head: RespondHead | None, held: list[bytes] | None
    ) -> None:
        end = answer.end
        if end is None:
            return
        events = call.kind is CallKind.COMPLETION and head is not None and _is_event_stream(head)
        if isinstance(end, RespondFailure):
            refusal = refusal_from_failure(end)
            if not self.started:
                await self.send_refusal(refusal)
            elif events:
                await self.write(error_event(refusal, self.request_id), more=False)
            else:
                self.conn.transport.close()  # The declared length or the last chunk is missing.
        elif held is not None and head is not None:
            complete = (OUTCOME_HEADER, Outcome.COMPLETED.value.encode())
            await self.start(head.status, (*self._own(head.headers), complete))
            await self.write(b"".join(held), more=False)
        else:
            await self.write(END_MARKER if events else b"", more=False)

    def _without_length(self, head: RespondHead, call: Call) -> RespondHead:
        """Drop the length of a completion stream: the edge adds its end marker or an error."""
        if call.kind is not CallKind.COMPLETION or not _is_event_stream(head):
            return head
        kept = tuple(pair for pair in head.headers if pair[0] != b"content-length")
        return evolve(head, headers=kept)

    def _is_short(self, head: RespondHead) -> bool:
        length = header_values(head.headers, b"content-length")
        if head.status in BODILESS_STATUS or self.scope["method"] == "HEAD":
            return True
        return bool(length) and int(length[0]) <= self.options.max_buffered_answer_bytes

    def _own(self, headers: Headers) -> Headers:
        return (*headers, (REQUEST_ID_HEADER, self.request_id.encode()))

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.started = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body; without ``more`` the answer is complete."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def _send(self, message: Message) -> None:
        """Send; break the connection off if the caller takes nothing for the send timeout."""
        if not self.conn.slow:
            await self.send(message)
            return
        with anyio.move_on_after(self.options.send_timeout_ms / MS_PER_SECOND) as scope:
            await self.send(message)
        if scope.cancelled_caught:
            self.conn.abort()


def _is_event_stream(head: RespondHead) -> bool:
    kind = header_values(head.headers, b"content-type")
    return head.status == 200 and bool(kind) and kind[0].startswith(b"text/event-stream")
