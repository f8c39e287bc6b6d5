"""Single attempts at upstreams: send a request, receive the response or classify the failure."""

from __future__ import annotations

import math
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any

import anyio
import httpcore
from attrs import Factory, define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import AttemptOutcome
from goldcrestridge_node.connections import (
    MAX_PROCESS_CONNECTIONS,
    ConnectFailedError,
    ConnectionPool,
    InvalidStatusError,
    ProcessConnections,
    UpstreamConnection,
)
from goldcrestridge_node.dialect import (
    CallerHead,
    Dialect,
    UpstreamRequestHead,
    UpstreamResponseHead,
)
from goldcrestridge_node.headers import BodyFraming, body_framing, lower_names
from goldcrestridge_node.network import NetworkBackend

# A rejection that is not read to its end within both only loses its connection.
DRAIN_TIMEOUT_MS = 50.0
MAX_DRAINED_BYTES = 65_536
# A few round trips within a region.
REFUSAL_TIMEOUT_MS = 200.0
REFUSAL_VALID_MS = 100.0
CONNECTION_ERRORS = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


@frozen
class DispatchOptions:
    """Limits of the connections to upstreams; milliseconds."""

    # A few round trips within a region. After a lost packet the retry opens another connection.
    connect_timeout_ms: float = 500.0
    # Below the idle limit of most servers, so that few connections are found closed.
    max_idle_ms: float = 4_000.0
    # Connections from this node to one upstream. Further requests wait for one of them.
    max_open: int = 128
    # Connections from this node to all upstreams.
    max_process_open: int = MAX_PROCESS_CONNECTIONS


@frozen
class OutgoingRequest:
    """The parts of a request to upstreams that are the same for all attempts.

    With ``reuse`` it may be sent on an idle connection, which the upstream can close at any time.
    """

    method: str
    target: bytes
    host: bytes
    caller_head: CallerHead
    body: bytes
    reuse: bool


@frozen
class FailedAttempt:
    """An attempt without a response that can be forwarded to the caller.

    ``upstream_fault`` tells whether the failure counts against the upstream, ``wrong_instance``
    whether another instance now has its address. ``disconnected`` tells whether the connection
    ended after the request had been sent.
    """

    outcome: AttemptOutcome
    reason: str
    upstream_fault: bool = True
    wrong_instance: bool = False
    disconnected: bool = False

    @property
    def rejected(self) -> bool:
        """Return whether the instance itself answered that it did not run the request."""
        return self.outcome is AttemptOutcome.NOT_RUN and not self.wrong_instance


class IncompleteResponseError(Exception):
    """Raised for a response that did not end properly; the text contains no content of it."""


@define(eq=False)
class UpstreamResponse:
    """A response of an upstream; ``aclose`` must be called when it is no longer read."""

    status: int
    head: UpstreamResponseHead
    instance: UpstreamInstance
    framing: BodyFraming
    _response: httpcore.Response
    _conn: UpstreamConnection
    _pool: ConnectionPool
    _closed: bool = False

    @property
    def opened_ms(self) -> float:
        """Return when the connection of the response was opened."""
        return self._conn.opened_ms

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; raise IncompleteResponseError if it does not end properly."""
        try:
            async with aclosing(self._conn.body()) as chunks:
                async for chunk in chunks:
                    yield chunk
        except CONNECTION_ERRORS as exc:
            raise IncompleteResponseError(type(exc).__name__) from exc

    async def aclose(self) -> None:
        """Release the connection; it is closed if the response was not read to its end."""
        if self._closed:
            return
        self._closed = True
        with anyio.CancelScope(shield=True):
            await self._response.aclose()
            await self._pool.release(self._conn)


def _ignore(_instance: UpstreamInstance, _head: UpstreamResponseHead, _sent_ms: float, /) -> None:
    """Do nothing with the head of an answer."""


def _ignore_loss(_address: str) -> None:
    """Do nothing about a lost connection."""


def _send_always(_instance: UpstreamInstance | None = None, /) -> str:
    return ""


def _ignore_begin() -> None:
    """Do nothing about a request that is sent now."""


@define(eq=False)
class Dispatcher:
    """Send requests to upstream instances, with one bounded connection pool for each address.

    ``observe`` is called with the head of each valid answer, also of a rejection, and with the
    monotonic time in milliseconds at which its request was sent. ``observe_notice`` is called with
    an answer that is not known to be that of the request, if its upstream says in it that it leaves
    or wants no requests. ``withheld`` is asked right before a request is sent; unless it returns an
    empty text, the request is not sent for that reason. ``report_lost`` is called with the address
    of an upstream that has closed an idle connection before its limit.
    """

    dialect: Dialect
    clock: Clock
    options: DispatchOptions = Factory(DispatchOptions)
    observe: Callable[[UpstreamInstance, UpstreamResponseHead, float], None] = _ignore
    observe_notice: Callable[[UpstreamInstance, UpstreamResponseHead, float], None] = _ignore
    withheld: Callable[[UpstreamInstance], str] = _send_always
    report_lost: Callable[[str], None] = _ignore_loss
    _pools: dict[str, ConnectionPool] = field(init=False, factory=dict)
    # By address: when an upstream was last asked for a connection, and whether it refused.
    _refusals: dict[str, tuple[float, bool]] = field(init=False, factory=dict)
    _asking: dict[str, anyio.Lock] = field(init=False, factory=dict)
    _backend: httpcore.AsyncNetworkBackend = field(init=False, factory=NetworkBackend)
    _connections: ProcessConnections = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the count of all connections."""
        self._connections = ProcessConnections(self.options.max_process_open)

    async def send(
        self,
        request: OutgoingRequest,
        instance: UpstreamInstance,
        request_head: UpstreamRequestHead,
        timeout_ms: float,
        denied: Callable[[], str] = _send_always,
        begin: Callable[[], None] = _ignore_begin,
    ) -> UpstreamResponse | FailedAttempt:
        """Send a request and wait up to ``timeout_ms`` for the head of the response.

        ``denied`` returns why the request may no longer be sent, or an empty text. It is asked once
        there is a connection, since the node may have been delayed for long by then. ``begin`` is
        called right before the first byte is sent.
        """
        pool = self._pool(instance)
        connect_timeout_ms = min(self.options.connect_timeout_ms, timeout_ms)
        try:
            conn = await pool.acquire(request.reuse, connect_timeout_ms)
        except ConnectFailedError as exc:
            return FailedAttempt(AttemptOutcome.NOT_SENT, str(exc))
        result: UpstreamResponse | FailedAttempt | None = None
        try:
            reason = self.withheld(instance) or denied()
            if reason:
                result = FailedAttempt(AttemptOutcome.NOT_SENT, reason, upstream_fault=False)
                return result
            begin()
            result = await self._exchange(request, instance, request_head, timeout_ms, conn, pool)
        finally:
            if not isinstance(result, UpstreamResponse):
                await _release(pool, conn)
        return result

    async def _exchange(
        self,
        request: OutgoingRequest,
        instance: UpstreamInstance,
        request_head: UpstreamRequestHead,
        timeout_ms: float,
        conn: UpstreamConnection,
        pool: ConnectionPool,
    ) -> UpstreamResponse | FailedAttempt:
        http_request = _build_request(
            request, self.dialect.write_upstream(request.caller_head, request_head), pool.origin
        )
        sent_ms = self.clock.now_ms()
        try:
            with anyio.fail_after(max(0.0, timeout_ms) / MS_PER_SECOND):
                response = await conn.handle_async_request(http_request)
        except TimeoutError:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN, f"No response head within {timeout_ms:.0f} ms."
            )
        except InvalidStatusError as exc:
            return FailedAttempt(AttemptOutcome.UNKNOWN, str(exc))
        except CONNECTION_ERRORS as exc:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN,
                f"The connection failed: {type(exc).__name__}.",
                disconnected=not isinstance(exc, httpcore.TimeoutException),
            )
        headers = lower_names(response.headers)
        head = self.dialect.read_upstream(response.status, headers)
        conn.idle_limit_ms = head.idle_limit_ms
        if conn.accepts(head.request_id, request.caller_head.request_id):
            failure = _failure_of(head)
        else:
            failure = FailedAttempt(
                AttemptOutcome.UNKNOWN, "The response is not known to be that of this request."
            )
            if (head.leaving or head.rest_ms) and not head.misdirected:
                self.observe_notice(instance, head, sent_ms)
        if failure is None or failure.rejected:
            self.observe(instance, head, sent_ms)
        if failure is not None:
            if failure.outcome is AttemptOutcome.NOT_RUN:
                await drain_rejection(response, conn)
            return failure
        framing = body_framing(request.method, response.status, headers)
        return UpstreamResponse(response.status, head, instance, framing, response, conn, pool)

    def _pool(self, instance: UpstreamInstance) -> ConnectionPool:
        pool = self._pools.get(instance.address)
        if pool is None:
            host, _, port = instance.address.rpartition(":")
            limits = self.options
            pool = ConnectionPool(
                host,
                int(port),
                limits.max_open,
                limits.max_idle_ms,
                self.clock,
                self._backend,
                lambda: self.report_lost(instance.address),
                self._connections,
            )
            self._pools[instance.address] = pool
        return pool

    async def refuses_connections(self, instance: UpstreamInstance) -> bool:
        """Tell whether nothing listens at the address of an instance after this call.

        A refusal holds for REFUSAL_VALID_MS. Requests that lose their connections at once share the
        next answer; one from before the call does not show that the upstream is still there.
        """
        lost_ms = self.clock.now_ms()
        async with self._asking.setdefault(instance.address, anyio.Lock()):
            asked_ms, refused = self._refusals.get(instance.address, (-math.inf, False))
            if asked_ms >= lost_ms or (refused and lost_ms - asked_ms < REFUSAL_VALID_MS):
                return refused
            asked_ms = self.clock.now_ms()
            refused = await self._ask_for_connection(instance)
            self._refusals[instance.address] = asked_ms, refused
            return refused

    async def _ask_for_connection(self, instance: UpstreamInstance) -> bool:
        """Open a connection to an instance; return whether it was refused."""
        pool, refused = self._pool(instance), False
        try:
            conn = await pool.acquire(reuse=False, timeout_ms=REFUSAL_TIMEOUT_MS)
        except ConnectFailedError as exc:
            refused = exc.refused
        else:
            await _release(pool, conn)
        return refused

    async def close_idle(self) -> None:
        """Close the connections that were idle for longer than ``max_idle_ms``."""
        for pool in list(self._pools.values()):
            await pool.close_expired()

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()


def _failure_of(head: UpstreamResponseHead) -> FailedAttempt | None:
    """Return the failure that the head of a response reports, or None if it is valid."""
    if head.misdirected:
        return FailedAttempt(
            AttemptOutcome.NOT_RUN, "Another instance answered at the address.", wrong_instance=True
        )
    if head.not_run:
        return FailedAttempt(
            AttemptOutcome.NOT_RUN,
            "The upstream rejected the request without running it.",
            upstream_fault=False,
        )
    if not head.authentic:
        return FailedAttempt(
            AttemptOutcome.UNKNOWN, "The response has no signature of an upstream."
        )
    return None


async def drain_rejection(response: httpcore.Response, conn: UpstreamConnection) -> None:
    """Read a short rejection to its end, so that its connection can be reused."""
    unread = MAX_DRAINED_BYTES
    try:
        with anyio.move_on_after(DRAIN_TIMEOUT_MS / MS_PER_SECOND):
            async with aclosing(conn.body()) as chunks:
                async for chunk in chunks:
                    unread -= len(chunk)
                    if unread < 0:
                        break
        await response.aclose()
    except CONNECTION_ERRORS:
        return  # The rejection is already known; only the connection cannot be reused.


async def _release(pool: ConnectionPool, conn: UpstreamConnection) -> None:
    """Release a connection; the pool closes it unless its last exchange ended properly."""
    with anyio.CancelScope(shield=True):
        await pool.release(conn)


def _build_request(
    request: OutgoingRequest, headers: list[tuple[bytes, bytes]], origin: Any
) -> httpcore.Request:
    url = httpcore.URL(
        scheme=origin.scheme, host=origin.host, port=origin.port, target=request.target
    )
    all_headers = [(b"host", request.host), *headers]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        all_headers.append((b"content-length", b"%d" % len(request.body)))
    return httpcore.Request(request.method, url, headers=all_headers, content=request.body)
