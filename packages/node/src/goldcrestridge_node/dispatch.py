"""Attempts at upstreams: one request out, one answer in, and what became of it."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterable
from typing import Any

import anyio
import httpcore
from attrs import Factory, define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import AttemptOutcome
from goldcrestridge_node.connections import ConnectFailedError, ConnectionPool, UpstreamConnection
from goldcrestridge_node.dialect import CallerHead, Dialect, SendHead, UpstreamHead

FAILURES = (httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError)


@frozen
class DispatchOptions:
    """Limits of the connections to upstreams; milliseconds."""

    # A few round trips within a region and one lost packet's repetition by another connection.
    connect_timeout_ms: float = 500.0
    # Idle connections are closed before most servers do, so that few are found closed.
    max_idle_ms: float = 4_000.0
    # Connections to one upstream from this node; more requests than that wait for one of them.
    max_open: int = 128


@frozen
class OutgoingRequest:
    """A request as it goes to upstreams, apart from what changes with each attempt."""

    method: str
    target: bytes
    host: bytes
    head: CallerHead
    body: bytes
    reuse: bool  # Whether a connection that the upstream may close at any time will do.


@frozen
class FailedAttempt:
    """An attempt without an answer that can be forwarded to the caller.

    ``upstream_fault`` tells whether the failure counts against the upstream, ``wrong_instance``
    whether another instance now has its address.
    """

    outcome: AttemptOutcome
    reason: str
    upstream_fault: bool = True
    wrong_instance: bool = False


class IncompleteAnswerError(Exception):
    """Report an answer that did not end properly; the text is fit for a log line."""


@define(eq=False)
class UpstreamAnswer:
    """The answer of an upstream; ``aclose`` must be called at its end."""

    status: int
    head: UpstreamHead
    instance: UpstreamInstance
    _response: httpcore.Response
    _conn: UpstreamConnection
    _pool: ConnectionPool
    _closed: bool = False

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; raise IncompleteAnswerError if it does not end properly."""
        assert isinstance(self._response.stream, AsyncIterable)
        try:
            async for chunk in self._response.stream:
                yield chunk
        except FAILURES as exc:
            raise IncompleteAnswerError(type(exc).__name__) from exc

    async def aclose(self) -> None:
        """Give the connection back, or close it if the answer was not read to its end."""
        if self._closed:
            return
        self._closed = True
        with anyio.CancelScope(shield=True):
            await self._response.aclose()
            await self._pool.release(self._conn)


@define(eq=False)
class Dispatcher:
    """Send requests to upstream instances; one bounded pool of connections for each address."""

    dialect: Dialect
    clock: Clock
    options: DispatchOptions = Factory(DispatchOptions)
    _pools: dict[str, ConnectionPool] = field(init=False, factory=dict)
    _backend: httpcore.AsyncNetworkBackend = field(init=False, factory=httpcore.AnyIOBackend)

    async def send(
        self, out: OutgoingRequest, instance: UpstreamInstance, told: SendHead, wait_ms: float
    ) -> UpstreamAnswer | FailedAttempt:
        """Send a request and wait ``wait_ms`` for the head of the answer."""
        pool = self._pool(instance)
        connect_ms = min(self.options.connect_timeout_ms, wait_ms)
        try:
            conn = await pool.acquire(out.reuse, connect_ms)
        except ConnectFailedError as exc:
            return FailedAttempt(AttemptOutcome.NOT_SENT, str(exc))
        answer: UpstreamAnswer | FailedAttempt | None = None
        try:
            answer = await self._exchange(out, instance, told, wait_ms, conn, pool)
        finally:
            if not isinstance(answer, UpstreamAnswer):
                await _discard(pool, conn)
        return answer

    async def _exchange(
        self,
        out: OutgoingRequest,
        instance: UpstreamInstance,
        told: SendHead,
        wait_ms: float,
        conn: UpstreamConnection,
        pool: ConnectionPool,
    ) -> UpstreamAnswer | FailedAttempt:
        request = _request(out, self.dialect.write_upstream(out.head, told), pool.origin)
        try:
            with anyio.fail_after(max(0.0, wait_ms) / MS_PER_SECOND):
                response = await conn.handle_async_request(request)
        except TimeoutError:
            return FailedAttempt(AttemptOutcome.UNKNOWN, "The upstream did not answer in time.")
        except FAILURES as exc:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN, f"The connection broke: {type(exc).__name__}."
            )
        headers = tuple((name.lower(), value) for name, value in response.headers)
        head = self.dialect.read_upstream(response.status, headers)
        refused = _refused(out, head)
        if refused is not None:
            if refused.outcome is AttemptOutcome.NOT_RUN:
                await _read_rest(response)
            return refused
        conn.idle_limit_ms = head.idle_limit_ms
        return UpstreamAnswer(response.status, head, instance, response, conn, pool)

    def _pool(self, instance: UpstreamInstance) -> ConnectionPool:
        pool = self._pools.get(instance.address)
        if pool is None:
            host, _, port = instance.address.rpartition(":")
            limits = self.options
            pool = ConnectionPool(
                host, int(port), limits.max_open, limits.max_idle_ms, self.clock, self._backend
            )
            self._pools[instance.address] = pool
        return pool

    async def close_idle(self) -> None:
        """Close the connections that have been idle for too long."""
        for pool in list(self._pools.values()):
            await pool.close_expired()

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()


def _refused(out: OutgoingRequest, head: UpstreamHead) -> FailedAttempt | None:
    """Return what is wrong with the head of an answer, or None."""
    if head.request_id is not None and head.request_id != out.head.request_id:
        return FailedAttempt(AttemptOutcome.UNKNOWN, "The answer belongs to another request.")
    if head.elsewhere:
        return FailedAttempt(
            AttemptOutcome.NOT_RUN, "Another instance has the address.", wrong_instance=True
        )
    if head.not_run:
        return FailedAttempt(
            AttemptOutcome.NOT_RUN, "The upstream did not run the request.", upstream_fault=False
        )
    if not head.authentic:
        return FailedAttempt(AttemptOutcome.UNKNOWN, "The answer is not signed by an upstream.")
    return None


async def _read_rest(response: httpcore.Response) -> None:
    """Read a short refusal to its end, so that its connection can be used again."""
    try:
        with anyio.move_on_after(0.05):
            await response.aread()
        await response.aclose()
    except FAILURES:
        return  # The connection is closed instead; the refusal itself is complete.


async def _discard(pool: ConnectionPool, conn: UpstreamConnection) -> None:
    """Give a connection back; the pool closes it unless its exchange ended properly."""
    with anyio.CancelScope(shield=True):
        await pool.release(conn)


def _request(
    out: OutgoingRequest, headers: list[tuple[bytes, bytes]], origin: Any
) -> httpcore.Request:
    url = httpcore.URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=out.target)
    framed = [(b"host", out.host), *headers]
    if out.body or out.method in ("POST", "PUT", "PATCH"):
        framed.append((b"content-length", b"%d" % len(out.body)))
    return httpcore.Request(out.method, url, headers=framed, content=out.body)
