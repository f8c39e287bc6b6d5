"""Bounded pool of persistent connections to one upstream."""

from __future__ import annotations

import math
import socket
from collections.abc import AsyncGenerator, Callable

import anyio
import h11
import httpcore
from anyio.lowlevel import checkpoint
from attrs import Factory, define, field

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_node.network import MAX_BUFFERED_BYTES

# The kernel detects a peer that stops responding without a reset within 3 s.
KEEPALIVE_OPTIONS: tuple[tuple[int, int, int], ...] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

# Connections to upstreams of a process that sets no other bound.
MAX_PROCESS_CONNECTIONS = 1_024
# The statuses of final responses (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# Interim responses (1xx) before one final response.
MAX_INTERIM_RESPONSES = 32
# Parts of a body that are parsed at once. One of a single byte takes as long as a large one.
MAX_PARTS_AT_ONCE = 64


def _ignore_loss() -> None:
    """Do nothing about a lost connection."""


class ConnectFailedError(Exception):
    """Raised if no connection was made, so that no byte of a request was sent.

    ``refused`` tells whether the upstream's VM answered that nothing listens there.
    """

    def __init__(self, message: str, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class InvalidStatusError(httpcore.RemoteProtocolError):
    """Raised for a response whose status is not that of a final response."""


@define(eq=False)
class Turns:
    """Let the tasks that have much to parse go on one after the other.

    One of them goes on in each iteration of the event loop, so that any number of them leaves the
    other tasks of the process their share.
    """

    _lock: anyio.Lock = field(init=False, factory=anyio.Lock)

    async def take(self) -> None:
        """Wait for the next turn."""
        async with self._lock:
            await checkpoint()


class UpstreamConnection(httpcore.AsyncHTTP11Connection):
    """A connection that is not reused after surplus bytes or past the upstream's idle limit.

    ``idle_limit_ms`` is None if the upstream reported no limit, and 0 if it closes the connection.
    ``reused`` tells whether it has carried an earlier exchange. An upstream can send a second copy
    of that answer late, so the answer to a later request must name its request, and a connection
    whose answer named none is not reused. ``opened_ms`` is when it had been opened. ``turns`` is
    shared by all connections of a process.
    """

    # What the parser gets at once, beside what the network stream holds.
    READ_NUM_BYTES = MAX_BUFFERED_BYTES
    idle_limit_ms: float | None = None
    reused: bool = False
    opened_ms: float = math.inf
    turns: Turns
    _interim_responses: int = 0

    def accepts(self, answered_id: bytes | None, request_id: bytes) -> bool:
        """Return whether an answer belongs to a request; ``answered_id`` is the one it names."""
        if answered_id is None:
            self.idle_limit_ms = 0.0
            return not self.reused
        return answered_id == request_id

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return the response; raise the exceptions of httpcore.

        A status that cannot be passed on says nothing about the request, nor do its headers.
        """
        self._interim_responses = 0
        response = await super().handle_async_request(request)
        if response.status not in FINAL_STATUSES:
            raise InvalidStatusError(f"The response has the status {response.status}.")
        return response

    async def _receive_event(
        self,
        timeout: float | None = None,  # noqa: ASYNC109 (the interface of httpcore)
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event; raise RemoteProtocolError after too many interim responses.

        They are read without a wait while the upstream sends them without end.
        """
        event = await super()._receive_event(timeout)
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError("There are too many interim responses.")
        return event

    async def body(self, timeout_s: float | None = None) -> AsyncGenerator[bytes, None]:
        """Yield the body of the response; what arrived together is mostly yielded together.

        Raise the exceptions of httpcore if the connection breaks, or if nothing arrives for
        ``timeout_s``. The response still has to be closed. This passes an event on with a third of
        the calls that the stream of httpcore makes.
        """
        state, parts = self._h11_state, []
        while True:
            try:
                event = state.next_event()
            except h11.RemoteProtocolError as exc:
                raise httpcore.RemoteProtocolError(str(exc)) from exc
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if len(parts) >= MAX_PARTS_AT_ONCE:
                    yield b"".join(parts)
                    parts = []
                    await self.turns.take()
                continue
            if parts:
                yield b"".join(parts)
                parts = []
            if event is not h11.NEED_DATA:
                return
            state.receive_data(await self._network_stream.read(self.READ_NUM_BYTES, timeout_s))

    def is_clean(self) -> bool:
        """Tell whether the last exchange ended properly and left no unread bytes."""
        surplus, closed = self._h11_state.trailing_data
        return self.is_idle() and not surplus and not closed


@define(eq=False)
class ProcessConnections:
    """At most ``max_open`` connections of a process to all its upstreams.

    Requests wait for one in the order in which they came. Idle connections give way to new ones.
    """

    max_open: int
    open: int = 0
    _pools: list[ConnectionPool] = field(init=False, factory=list)
    permits: anyio.Semaphore = field(init=False)
    turns: Turns = field(init=False, factory=Turns)

    def __attrs_post_init__(self) -> None:
        """Create the semaphore that bounds the connections in use."""
        self.permits = anyio.Semaphore(self.max_open, fast_acquire=True)

    def add(self, pool: ConnectionPool) -> None:
        """Count the connections of a pool."""
        self._pools.append(pool)

    async def make_room(self) -> None:
        """Close idle connections, those that were idle longest first, until one may be opened."""
        while self.open >= self.max_open:
            idle = [pool for pool in self._pools if pool.idle]
            if not idle:
                return
            await min(idle, key=lambda pool: pool.idle_since_ms).close_oldest()


@define(eq=False)
class ConnectionPool:
    """At most ``max_open`` connections to ``host:port``, each with one request at a time.

    ``opened`` counts all connections that were opened. ``report_lost`` is called for an idle
    connection that the upstream has closed before its limit. ``process`` bounds the connections of
    all pools.
    """

    host: str
    port: int
    max_open: int
    max_idle_ms: float
    clock: Clock
    backend: httpcore.AsyncNetworkBackend
    report_lost: Callable[[], None] = _ignore_loss
    process: ProcessConnections = Factory(lambda: ProcessConnections(MAX_PROCESS_CONNECTIONS))
    opened: int = field(init=False, default=0)
    _idle: list[tuple[float, UpstreamConnection]] = field(init=False, factory=list)
    _permits: anyio.Semaphore = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the semaphore that bounds the connections in use."""
        self._permits = anyio.Semaphore(self.max_open, fast_acquire=True)
        self.process.add(self)

    @property
    def origin(self) -> httpcore.Origin:
        """Return the origin of the upstream."""
        return httpcore.Origin(b"http", self.host.encode(), self.port)

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    @property
    def idle_since_ms(self) -> float:
        """Return since when the connection has been idle that is idle longest."""
        return self._idle[0][0]

    async def acquire(self, reuse: bool, timeout_ms: float) -> UpstreamConnection:
        """Return a connection; raise ConnectFailedError if there is none within the timeout.

        Without ``reuse`` the connection is new. The upstream may close an idle connection while a
        request is written to it, and it is then unknown whether the request was run.
        """
        await self._acquire_permits(timeout_ms)
        try:
            return await self._take_idle(reuse) or await self._connect(timeout_ms)
        except BaseException:
            self._release_permits()
            raise

    async def _acquire_permits(self, timeout_ms: float) -> None:
        """Wait for the right to use a connection; raise ConnectFailedError after the timeout."""
        used = "All connections to the upstream are in use."
        try:
            with anyio.fail_after(timeout_ms / MS_PER_SECOND):
                await self._permits.acquire()
                used = "All connections of this node to upstreams are in use."
                try:
                    await self.process.permits.acquire()
                except BaseException:
                    self._permits.release()
                    raise
        except TimeoutError:
            raise ConnectFailedError(used) from None

    def _release_permits(self) -> None:
        self.process.permits.release()
        self._permits.release()

    async def release(self, conn: UpstreamConnection) -> None:
        """Return a connection to the pool; close it unless its last exchange ended properly."""
        try:
            if conn.is_clean() and conn.idle_limit_ms != 0.0:
                self._idle.append((self.clock.now_ms(), conn))
            else:
                with anyio.CancelScope(shield=True):
                    await self._close(conn)
        finally:
            self._release_permits()

    async def close_expired(self) -> None:
        """Close the connections that were idle for longer than ``max_idle_ms``."""
        oldest_ms = self.clock.now_ms() - self.max_idle_ms
        while self._idle and self._idle[0][0] < oldest_ms:
            await self.close_oldest()

    async def close_oldest(self) -> None:
        """Close the connection that has been idle longest."""
        await self._close(self._idle.pop(0)[1])

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self.close_oldest()

    async def _close(self, conn: UpstreamConnection) -> None:
        self.process.open -= 1
        await conn.aclose()

    async def _take_idle(self, reuse: bool) -> UpstreamConnection | None:
        """Return the most recently used idle connection that is still usable, or None.

        Expired and closed connections are closed. For a new connection, idle ones are closed until
        there is room below ``max_open``.
        """
        await self.close_expired()
        in_use = self.max_open - self._permits.value
        while not reuse and self._idle and in_use + len(self._idle) > self.max_open:
            await self.close_oldest()
        while reuse and self._idle:
            idle_since_ms, conn = self._idle.pop()
            limit_ms = self.max_idle_ms if conn.idle_limit_ms is None else conn.idle_limit_ms
            usable = self.clock.now_ms() - idle_since_ms < limit_ms
            lost = conn.has_expired()
            if usable and not lost:
                conn.reused = True
                return conn
            await self._close(conn)
            if usable:
                self.report_lost()
        return None

    async def _connect(self, timeout_ms: float) -> UpstreamConnection:
        await self.process.make_room()
        self.process.open += 1
        try:
            return await self._open(timeout_ms)
        except BaseException:
            self.process.open -= 1
            raise

    async def _open(self, timeout_ms: float) -> UpstreamConnection:
        try:
            stream = await self.backend.connect_tcp(
                self.host,
                self.port,
                timeout=timeout_ms / MS_PER_SECOND,
                socket_options=KEEPALIVE_OPTIONS,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise ConnectFailedError(
                f"Connecting failed: {type(exc).__name__}.",
                isinstance(exc.__cause__, ConnectionRefusedError),
            ) from exc
        self.opened += 1
        conn = UpstreamConnection(self.origin, stream)
        conn.opened_ms = self.clock.now_ms()
        conn.turns = self.process.turns
        return conn
