"""Client of the upstreams: run attempts and report them as events."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import httpcore
import msgspec
from anyio.abc import TaskGroup, TaskStatus
from attrs import define, field, frozen

from goldcrestridge_core.attempts import VERSION_HEADER
from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    CallKind,
    CancelAttempt,
    StartAttempt,
)
from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.decoding import MALFORMED, MAX_INTEGER
from goldcrestridge_core.types import Headers, RequestId, UpstreamId
from goldcrestridge_node.connections import (
    MAX_PROCESS_CONNECTIONS,
    ConnectFailedError,
    ConnectionPool,
    ProcessConnections,
    UpstreamConnection,
)
from goldcrestridge_node.continuation import (
    StreamIdentities,
    StreamIdentity,
    attempt_body,
    continued_event,
    identity_of,
    is_exhausted,
    length_event,
)
from goldcrestridge_node.headers import (
    LEAVING_HEADER,
    BodyFraming,
    body_framing,
    header_values,
    lower_names,
    response_headers,
    rest_ms,
)
from goldcrestridge_node.network import NetworkBackend
from goldcrestridge_node.sse import EventReader, StreamError, StreamEvent, event_bytes

UPSTREAM_ID_HEADER = b"x-request-id"

AttemptEvent = AttemptHead | AttemptChunk | AttemptEnd | AttemptFailed
AttemptKey = tuple[RequestId, int]


@frozen
class UpstreamOptions:
    """Limits of the client.

    ``head_timeout_ms`` bounds the wait for the response head, ``idle_timeout_ms`` that for each
    further read. Both are above the time after which the requests role gives up on an idle
    upstream, since that knows whether the answer is streamed.
    """

    connect_timeout_ms: float = 1_000.0
    write_timeout_ms: float = 10_000.0
    head_timeout_ms: float = 120_000.0
    idle_timeout_ms: float = 120_000.0
    drain_timeout_ms: float = 1_000.0
    max_open: int = 256
    max_process_open: int = MAX_PROCESS_CONNECTIONS
    max_idle_ms: float = 15_000.0
    max_event_bytes: int = 1_048_576
    # A completion up to this length is read whole, so that its token count is reported with it.
    max_whole_response_bytes: int = 262_144


class _IncompleteResponseError(Exception):
    """Raised for a response that cannot be passed on; the text is sent to the caller.

    ``rest_ms`` is for how long the upstream wants no requests.
    """

    def __init__(self, text: str, rest_ms: float = 0.0) -> None:
        super().__init__(text)
        self.rest_ms = rest_ms


class _UpstreamLeavingError(Exception):
    """Raised if the upstream refused the call because it is leaving."""


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


@define(eq=False)
class UpstreamClient:
    """Run one task per attempt; while ``emit`` waits, nothing is read from the upstream.

    ``upstream_of`` returns the current configuration of an upstream, or None. ``withheld`` tells
    right before a request is sent whether its upstream wants none.
    """

    upstream_of: Callable[[UpstreamId], Upstream | None]
    emit: Callable[[AttemptEvent], Awaitable[None]]
    options: UpstreamOptions = UpstreamOptions()
    clock: Clock = field(factory=Clock)
    withheld: Callable[[UpstreamId], bool] = lambda _name: False
    _pools: dict[str, ConnectionPool] = field(init=False, factory=dict)
    _scopes: dict[AttemptKey, anyio.CancelScope] = field(init=False, factory=dict)
    _identities: StreamIdentities = field(init=False, factory=StreamIdentities)
    _group: TaskGroup | None = field(init=False, default=None)
    _backend: httpcore.AsyncNetworkBackend = field(init=False, factory=NetworkBackend)
    _connections: ProcessConnections = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the count of all connections."""
        self._connections = ProcessConnections(self.options.max_process_open)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run the attempts until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            try:
                await self._close_idle()
            finally:
                self._group = None
                with anyio.CancelScope(shield=True):
                    for pool in self._pools.values():
                        await pool.aclose()

    async def _close_idle(self) -> None:
        """Close idle connections, including those to upstreams that are no longer configured."""
        while True:
            await anyio.sleep(self.options.max_idle_ms / MS_PER_SECOND)
            for pool in list(self._pools.values()):
                await pool.close_expired()

    @property
    def running(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self._scopes)

    def start(self, start: StartAttempt) -> None:
        """Start an attempt; its events are passed to ``emit``."""
        assert self._group is not None
        scope = anyio.CancelScope()
        self._scopes[start.request_id, start.attempt] = scope
        self._group.start_soon(self._attempt, start, scope)

    def cancel(self, cancel: CancelAttempt) -> None:
        """Cancel an attempt and close its connection; it emits no further events."""
        scope = self._scopes.get((cancel.request_id, cancel.attempt))
        if scope is not None:
            scope.cancel()

    async def _attempt(self, start: StartAttempt, scope: anyio.CancelScope) -> None:
        key = (start.request_id, start.attempt)
        try:
            with scope:
                await self._run_attempt(start)
        finally:
            del self._scopes[key]

    async def _run_attempt(self, start: StartAttempt) -> None:
        """Run an attempt on a connection and report its failure, if any."""
        try:
            pool = self._pool(start.upstream)
            if start.delivered_tokens and is_exhausted(start):
                await self._end_exhausted(start)
                return
            conn = await pool.acquire(start.call.repeatable, self.options.connect_timeout_ms)
        except ConnectFailedError as exc:
            await self._emit_failure(start, sent=False, reason=str(exc))
            return
        try:
            if self.withheld(start.upstream):
                reason = "The upstream leaves or asked for a rest."
                await self._emit_failure(start, sent=False, reason=reason)
                return
            await self._send_request(start, conn, pool.origin)
        except _UpstreamLeavingError:
            await self._emit_failure(
                start, sent=True, reason="The upstream is leaving.", leaving=True
            )
        except _IncompleteResponseError as exc:
            await self._emit_failure(start, sent=True, reason=str(exc), rest=exc.rest_ms)
        except StreamError as exc:
            await self._emit_failure(start, sent=True, reason=str(exc))
        except httpcore.TimeoutException as exc:
            reason = f"The upstream timed out: {type(exc).__name__}."
            await self._emit_failure(start, sent=True, reason=reason)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            reason = f"The connection to the upstream broke: {type(exc).__name__}."
            await self._emit_failure(start, sent=True, reason=reason)
        finally:
            await pool.release(conn)

    async def _emit_failure(
        self,
        start: StartAttempt,
        *,
        sent: bool,
        reason: str,
        leaving: bool = False,
        rest: float = 0.0,
    ) -> None:
        failed = AttemptFailed(start.request_id, start.attempt, sent, reason, leaving, rest)
        await self.emit(failed)

    def _pool(self, name: UpstreamId) -> ConnectionPool:
        upstream = self.upstream_of(name)
        if upstream is None:
            raise ConnectFailedError("The upstream is not configured.")
        pool = self._pools.get(upstream.address)
        if pool is None:
            host, _, port = upstream.address.rpartition(":")
            pool = ConnectionPool(
                host.strip("[]"),
                int(port),
                self.options.max_open,
                self.options.max_idle_ms,
                self.clock,
                self._backend,
                process=self._connections,
            )
            self._pools[upstream.address] = pool
        return pool

    async def _send_request(
        self, start: StartAttempt, conn: UpstreamConnection, origin: httpcore.Origin
    ) -> None:
        """Send the request and report the response as events."""
        upstream = self.upstream_of(start.upstream)
        resumes = upstream is not None and upstream.resumes
        timeout = {
            "write": self.options.write_timeout_ms / MS_PER_SECOND,
            "read": self.options.head_timeout_ms / MS_PER_SECOND,
        }
        response = await conn.handle_async_request(_build_request(start, origin, resumes, timeout))
        timeout["read"] = self.options.idle_timeout_ms / MS_PER_SECOND
        named = header_values(response_headers(response.headers), UPSTREAM_ID_HEADER)
        try:
            if not conn.accepts(named[0] if named else None, start.request_id.encode()):
                raise _IncompleteResponseError(
                    "The answer is not known to be that of this call.",
                    rest_ms(response.status, lower_names(response.headers)),
                )
            chunks = conn.body(timeout["read"])
            await self._report_response(start, response, chunks, resumes)
        finally:
            await response.aclose()

    async def _report_response(
        self,
        start: StartAttempt,
        response: httpcore.Response,
        chunks: AsyncIterator[bytes],
        resumes: bool,
    ) -> None:
        all_headers = response_headers(response.headers)
        headers = tuple(pair for pair in all_headers if pair[0] != UPSTREAM_ID_HEADER)
        if response.status == 503 and header_values(headers, LEAVING_HEADER) == [b"1"]:
            raise _UpstreamLeavingError
        events = start.call.stream and _is_event_stream(response.status, headers)
        framing = body_framing(start.call.method, response.status, lower_names(response.headers))
        if not events and framing is BodyFraming.CLOSE:
            raise _IncompleteResponseError(
                "The upstream did not declare the length of its answer.",
                rest_ms(response.status, headers),
            )
        await self.emit(
            AttemptHead(
                start.request_id,
                start.attempt,
                response.status,
                headers,
                header_values(headers, LEAVING_HEADER) == [b"1"],
                rest_ms(response.status, headers),
            )
        )
        if events:
            await self._report_stream(start, chunks, resumes)
        else:
            await self._report_body(start, headers, chunks)

    async def _report_body(
        self, start: StartAttempt, headers: Headers, chunks: AsyncIterator[bytes]
    ) -> None:
        """Report a response that is not an event stream; a short completion is read whole."""
        length = header_values(headers, b"content-length")
        whole = bool(length) and int(length[0]) <= self.options.max_whole_response_bytes
        if start.call.kind is CallKind.COMPLETION and whole:
            data = b"".join([chunk async for chunk in chunks])
            await self._emit_chunk(start, data, "", _completion_tokens(data))
        else:
            async for chunk in chunks:
                await self._emit_chunk(start, chunk, "", 0)
        await self._emit_end(start)

    async def _report_stream(
        self, start: StartAttempt, chunks: AsyncIterator[bytes], resumes: bool
    ) -> None:
        """Report an event stream up to its end marker."""
        reader = EventReader(self.options.max_event_bytes)
        # The caller may have received the role delta even if it has received no token.
        continued = self._identities.get(start.request_id)
        if continued is None and start.delivered_tokens:
            continued = self._identity_of(start)
        first_data: bytes | None = None
        try:
            async for chunk in chunks:
                for event in reader.feed(chunk):
                    first_data = first_data or event.data
                    await self._report_event(start, event, continued, resumes)
                if reader.ended:
                    break
            if not reader.ended:
                raise _IncompleteResponseError(
                    "The upstream ended the stream without its end marker."
                )
        except BaseException:
            self._keep_identity(start, continued, first_data)
            raise
        self._identities.drop(start.request_id)
        await self._emit_end(start)
        await self._drain_body(chunks)

    async def _report_event(
        self,
        start: StartAttempt,
        event: StreamEvent,
        continued: StreamIdentity | None,
        resumes: bool,
    ) -> None:
        content: bytes | None = event.data
        if continued is not None:
            content = continued_event(event.data, continued, start, resumes)
        if content is not None:
            await self._emit_chunk(start, event_bytes(content), event.text, event.tokens)

    def _identity_of(self, start: StartAttempt) -> StreamIdentity:
        """Return the identity of a continued stream, or a new one if it was dropped."""
        stored = self._identities.get(start.request_id)
        created = int(self.clock.wall_ms() / MS_PER_SECOND)
        return stored or StreamIdentity(f"chatcmpl-{start.request_id}", created)

    def _keep_identity(
        self, start: StartAttempt, continued: StreamIdentity | None, first_data: bytes | None
    ) -> None:
        """Store the identity that the caller has received, for a continuing attempt."""
        if not start.call.continuable:
            return
        identity = continued or (identity_of(first_data) if first_data else None)
        if identity is not None:
            self._identities.keep(start.request_id, identity)

    async def _end_exhausted(self, start: StartAttempt) -> None:
        """End a stream that failed after its last token, without a request to an upstream."""
        headers: Headers = ((b"content-type", b"text/event-stream"),)
        if start.version:
            headers += ((VERSION_HEADER, start.version.encode("latin-1")),)
        await self.emit(AttemptHead(start.request_id, start.attempt, 200, headers))
        await self._emit_chunk(
            start, event_bytes(length_event(start, self._identity_of(start))), "", 0
        )
        self._identities.drop(start.request_id)
        await self._emit_end(start)

    async def _emit_chunk(self, start: StartAttempt, data: bytes, text: str, tokens: int) -> None:
        await self.emit(AttemptChunk(start.request_id, start.attempt, data, text, tokens))

    async def _emit_end(self, start: StartAttempt) -> None:
        await self.emit(AttemptEnd(start.request_id, start.attempt))

    async def _drain_body(self, chunks: AsyncIterator[bytes]) -> None:
        """Read the body after its end marker to its end, so that the connection can be reused.

        A failure here only loses the connection, because the response is complete.
        """
        unread = self.options.max_event_bytes
        try:
            with anyio.move_on_after(self.options.drain_timeout_ms / MS_PER_SECOND):
                async for chunk in chunks:
                    unread -= len(chunk)
                    if unread < 0:
                        break
        except (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError):
            return


def _build_request(
    start: StartAttempt,
    origin: httpcore.Origin,
    resumes: bool,
    timeout: dict[str, float],
) -> httpcore.Request:
    call = start.call
    target = call.path.encode("ascii") + (b"?" + call.query if call.query else b"")
    url = httpcore.URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=target)
    body = attempt_body(start, resumes) if call.kind is CallKind.COMPLETION else call.body
    return httpcore.Request(
        call.method,
        url,
        headers=_upstream_headers(start, origin, body),
        content=body,
        extensions={"timeout": timeout},
    )


def _upstream_headers(
    start: StartAttempt, origin: httpcore.Origin, body: bytes
) -> list[tuple[bytes, bytes]]:
    call = start.call
    host = b"[%b]" % origin.host if b":" in origin.host else origin.host
    headers = [
        (b"host", b"%b:%d" % (host, origin.port)),
        (UPSTREAM_ID_HEADER, start.request_id.encode()),
    ]
    if call.kind is CallKind.COMPLETION:
        accept = b"text/event-stream" if call.stream else b"application/json"
        headers += [(b"accept", accept), (b"content-type", b"application/json")]
    headers += [pair for pair in call.headers if pair[0] != UPSTREAM_ID_HEADER]
    if body or call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % len(body)))
    return headers


def _is_event_stream(status: int, headers: Headers) -> bool:
    kind = header_values(headers, b"content-type")
    return status == 200 and bool(kind) and kind[0].startswith(b"text/event-stream")


def _completion_tokens(data: bytes) -> int:
    try:
        response = msgspec.json.decode(data, type=_Answer)
    except MALFORMED:
        return 0
    return min(response.usage.completion_tokens, MAX_INTEGER) if response.usage else 0
