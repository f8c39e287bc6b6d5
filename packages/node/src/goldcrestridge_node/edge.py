"""ASGI application towards callers."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
import structlog
from attrs import Factory, define, evolve, field, frozen

from goldcrestridge_core.call_types import (
    Call,
    CallerGone,
    CallerRequest,
    CallKind,
    RespondFailure,
    RespondHead,
)
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration, Workspace
from goldcrestridge_core.types import Headers, Outcome, RequestId
from goldcrestridge_node.answers import Answer, Effect
from goldcrestridge_node.calls import (
    CHAT_PATH,
    SERVICES_PREFIX,
    TEXT_PATH,
    UNAUTHORIZED,
    Classify,
    Directory,
)
from goldcrestridge_node.headers import values
from goldcrestridge_node.refusals import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Refusal,
    error_body,
    error_event,
    error_headers,
    refusal_of,
)
from goldcrestridge_node.server import CallerConnection

log = structlog.get_logger(__name__)

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

END_MARKER = b"data: [DONE]\n\n"
BODILESS_STATUS = (204, 304)

OVERLOADED = Refusal(
    503, "overloaded", "The node holds too many requests.", retry_after_ms=1000.0, close=True
)
NOT_READY = Refusal(503, "not_ready", "The node has no configuration yet.", retry_after_ms=1000.0)
NOT_FOUND = Refusal(404, "not_found", "There is nothing at this path.")
WRONG_METHOD = Refusal(405, "method_not_allowed", "The path does not take this method.")
BODY_TOO_LARGE = Refusal(413, "body_too_large", "The request body is too large.", close=True)
BODY_TOO_SLOW = Refusal(408, "body_timeout", "The request body took too long.", close=True)
OLD_HTTP = Refusal(505, "http_version", "Only HTTP/1.1 is supported.", close=True)
INTERNAL = Refusal(500, "internal", "The router failed.", outcome=Outcome.UNKNOWN, close=True)


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
    held_answer_bytes: int = 65_536


@frozen
class Page:
    """A ready answer of the node itself."""

    body: bytes
    status: int = 200
    content_type: bytes = b"application/json"


def _new_id() -> RequestId:
    return RequestId(secrets.token_hex(16))


@frozen
class EdgeHooks:
    """Functions of the node that the edge calls; none of them may block.

    ``submit`` hands an event to the requests role, ``addresses`` takes workspace and site.
    """

    submit: Callable[[CallerRequest | CallerGone], None]
    addresses: Callable[[str, str], Page]
    health: Callable[[], Page]
    ready: Callable[[], Page]
    metrics: Callable[[], Page]
    new_id: Callable[[], RequestId] = _new_id


@define(eq=False)
class Edge:
    """The ASGI application; one answer is open for every request in flight."""

    hooks: EdgeHooks
    node_site: str
    options: EdgeOptions = EdgeOptions()
    _directory: Directory | None = None
    _answers: dict[RequestId, Answer] = field(init=False, default=Factory(dict))
    _held_bytes: int = field(init=False, default=0)

    def set_config(self, cfg: Configuration, classify: Classify) -> None:
        """Put a configuration in force for the requests that arrive from now on."""
        self._directory = Directory(cfg, classify, self.node_site)

    @property
    def held_bytes(self) -> int:
        """Return the size of all request bodies in memory."""
        return self._held_bytes

    @property
    def in_flight(self) -> int:
        """Return the number of calls whose answer has not ended."""
        return len(self._answers)

    def deliver_nowait(self, effect: Effect) -> bool:
        """Pass an effect to its caller; return False if the caller is slow and it must wait."""
        answer = self._answers.get(effect.request_id)
        return answer is None or answer.offer(effect)

    async def deliver(self, effect: Effect) -> None:
        """Pass an effect to its caller, and wait while the caller is slower than the upstream."""
        answer = self._answers.get(effect.request_id)
        if answer is not None:
            await answer.put(effect)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, self.hooks.new_id(), self.options)
        try:
            refusal = await self._route(exchange)
            if refusal is not None:
                await exchange.send_refusal(refusal)
        except Exception as exc:
            # Without the exception's text, which may quote the request.
            log.error("request_failed", request_id=exchange.request_id, error=type(exc).__name__)
            if not exchange.started:
                await exchange.send_refusal(INTERNAL)
            exchange.conn.transport.close()

    async def _route(self, exchange: Exchange) -> Refusal | None:
        scope = exchange.scope
        if scope["http_version"] != "1.1":
            return OLD_HTTP  # HTTP/1.0 cannot tell a broken answer of unknown length.
        path: str = scope["path"]
        method: str = scope["method"]
        if path in (CHAT_PATH, TEXT_PATH):
            return await self._completion(exchange) if method == "POST" else WRONG_METHOD
        if scope["raw_path"].startswith(SERVICES_PREFIX.encode()):
            return await self._service(exchange)
        page = self._page(path)
        if page is None:
            return NOT_FOUND
        if method not in ("GET", "HEAD"):
            return WRONG_METHOD
        content = page(exchange.headers)
        if isinstance(content, Refusal):
            return content
        await exchange.send_page(content)
        return None

    def _page(self, path: str) -> Callable[[Headers], Page | Refusal] | None:
        pages: dict[str, Callable[[Headers], Page | Refusal]] = {
            "/healthz": lambda _: self.hooks.health(),
            "/readyz": lambda _: self.hooks.ready(),
            "/metrics": lambda _: self.hooks.metrics(),
            "/v1/models": self._models,
            "/addresses": self._addresses,
        }
        return pages.get(path)

    def _models(self, headers: Headers) -> Page | Refusal:
        caller = self._caller(headers)
        if isinstance(caller, Refusal):
            return caller
        directory, workspace = caller
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "goldcrestridge"}
            for name in directory.models(workspace)
        ]
        return Page(msgspec.json.encode({"object": "list", "data": data}))

    def _addresses(self, headers: Headers) -> Page | Refusal:
        caller = self._caller(headers)
        if isinstance(caller, Refusal):
            return caller
        directory, workspace = caller
        return self.hooks.addresses(workspace.name, directory.site(workspace, headers))

    def _caller(self, headers: Headers) -> tuple[Directory, Workspace] | Refusal:
        if self._directory is None:
            return NOT_READY
        workspace = self._directory.authenticate(headers)
        return (self._directory, workspace) if workspace else UNAUTHORIZED

    async def _completion(self, exchange: Exchange) -> Refusal | None:
        def call_of(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.completion(workspace, exchange.scope["path"], exchange.headers, body)

        return await self._run(exchange, call_of)

    async def _service(self, exchange: Exchange) -> Refusal | None:
        def call_of(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.service_call(workspace, exchange.scope, body)

        return await self._run(exchange, call_of)

    async def _run(
        self,
        exchange: Exchange,
        call_of: Callable[[Directory, Workspace, bytes], Call | Refusal],
    ) -> Refusal | None:
        """Read the body, hand the call to the requests role and send what it answers."""
        caller = self._caller(exchange.headers)
        if isinstance(caller, Refusal):
            return caller
        if len(self._answers) >= self.options.max_requests:
            return OVERLOADED
        try:
            body = await exchange.read_body(self._reserve)
            if body is None:
                return None  # The caller has gone; nothing ran.
            if isinstance(body, Refusal):
                return body
            call = call_of(*caller, body)
            if isinstance(call, Refusal):
                return call
            await self._answer(exchange, call)
            return None
        finally:
            self._held_bytes -= exchange.reserved_bytes

    def _reserve(self, size: int) -> bool:
        """Account for ``size`` more bytes of request bodies; return False if there is no room."""
        if self._held_bytes + size > self.options.max_held_bytes:
            return False
        self._held_bytes += size
        return True

    async def _answer(self, exchange: Exchange, call: Call) -> None:
        if exchange.conn.transport.is_closing():
            return
        request_id = exchange.request_id
        answer = Answer(self.options.chunk_buffer)
        self._answers[request_id] = answer
        exchange.conn.on_lost = answer.close
        try:
            self.hooks.submit(CallerRequest(request_id, call))
            await exchange.send_answer(answer, call)
        finally:
            exchange.conn.on_lost = None
            answer.close()
            del self._answers[request_id]
            if answer.end is None:
                self.hooks.submit(CallerGone(request_id))


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
        length = values(self.headers, b"content-length")
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
        await self._start(refusal.status, error_headers(refusal, self.request_id, body))
        await self._body(body, more=True)
        drained = await self._drain()
        await self._body(b"", more=False)
        if not drained:
            self.conn.transport.close()

    async def _drain(self) -> bool:
        """Discard the rest of the request body; return whether its end was seen.

        Closing a socket with unread data resets it, and the caller could lose the answer.
        """
        if self._has_no_body():
            return True
        if values(self.headers, b"expect"):
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
        await self._start(page.status, headers)
        await self._body(page.body, more=False)

    async def send_answer(self, answer: Answer, call: Call) -> None:
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
                    await self._start(head.status, self._own(head.headers))
            pieces = [item.data for item in items if not isinstance(item, RespondHead)]
            if held is not None:
                held += pieces
            elif pieces:
                await self._body(b"".join(pieces), more=True)
        await self._finish(answer, call, head, held)

    async def _finish(
        self, answer: Answer, call: Call, head: RespondHead | None, held: list[bytes] | None
    ) -> None:
        end = answer.end
        if end is None:
            return
        events = call.kind is CallKind.COMPLETION and head is not None and _is_event_stream(head)
        if isinstance(end, RespondFailure):
            refusal = refusal_of(end)
            if not self.started:
                await self.send_refusal(refusal)
            elif events:
                await self._body(error_event(refusal, self.request_id), more=False)
            else:
                self.conn.transport.close()  # The declared length or the last chunk is missing.
        elif held is not None and head is not None:
            complete = (OUTCOME_HEADER, Outcome.COMPLETED.value.encode())
            await self._start(head.status, (*self._own(head.headers), complete))
            await self._body(b"".join(held), more=False)
        else:
            await self._body(END_MARKER if events else b"", more=False)

    def _without_length(self, head: RespondHead, call: Call) -> RespondHead:
        """Drop the length of a completion stream: the edge adds its end marker or an error."""
        if call.kind is not CallKind.COMPLETION or not _is_event_stream(head):
            return head
        kept = tuple(pair for pair in head.headers if pair[0] != b"content-length")
        return evolve(head, headers=kept)

    def _is_short(self, head: RespondHead) -> bool:
        length = values(head.headers, b"content-length")
        if head.status in BODILESS_STATUS or self.scope["method"] == "HEAD":
            return True
        return bool(length) and int(length[0]) <= self.options.held_answer_bytes

    def _own(self, headers: Headers) -> Headers:
        return (*headers, (REQUEST_ID_HEADER, self.request_id.encode()))

    async def _start(self, status: int, headers: Headers) -> None:
        self.started = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def _body(self, data: bytes, *, more: bool) -> None:
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
    kind = values(head.headers, b"content-type")
    return head.status == 200 and bool(kind) and kind[0].startswith(b"text/event-stream")
