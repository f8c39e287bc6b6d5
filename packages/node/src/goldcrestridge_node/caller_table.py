"""All connections of callers of a process: what they hold, which are closed, who goes next."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, field

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.connection_ledger import MIN_PROGRESS_BYTES, ConnectionLedger, Phase
from goldcrestridge_core.process_limits import ProcessLimits, process_limits
from goldcrestridge_core.types import Count
from goldcrestridge_node.logs import logger

if TYPE_CHECKING:
    from goldcrestridge_node.caller_connection import CallerConnection

# Bytes that are read at once. The buffer is shared, since its bytes are copied out at once.
READ_BYTES = 65_536
SWEEP_INTERVAL_MS = 1_000.0
# A caller that does not read what was sent keeps its connection for this long, or for the second
# time if the connection is being closed.
SEND_TIMEOUT_MS = 60_000.0
LINGER_MS = 5_000.0


def _count_nothing(_count: Count) -> None:
    return None


def _no_descriptors() -> int:
    return 0


@define(eq=False)
class CallerTable:
    """The connections of all listeners of a process.

    ``count`` is called with each counter increment. ``other_descriptors`` returns the number of
    descriptors that the process uses beyond those that its limits allow for.
    """

    limits: ProcessLimits = Factory(process_limits)
    clock: Clock = Factory(Clock)
    count: Callable[[Count], None] = _count_nothing
    other_descriptors: Callable[[], int] = _no_descriptors
    send_timeout_ms: float = SEND_TIMEOUT_MS
    linger_ms: float = LINGER_MS
    sweep_interval_ms: float = SWEEP_INTERVAL_MS
    ledger: ConnectionLedger = field(init=False)
    read_buffer: memoryview = field(factory=lambda: memoryview(bytearray(READ_BYTES)))
    _connections: dict[int, CallerConnection] = field(factory=dict)
    _numbers: Iterator[int] = field(factory=itertools.count)
    _ahead: deque[CallerConnection] = field(factory=deque)
    _sweep: asyncio.TimerHandle | None = None
    _closed: int = 0  # For lack of memory, since the last sweep.
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Create the ledger."""
        self.ledger = ConnectionLedger(self.limits)

    def add(self, conn: CallerConnection, listener: str) -> tuple[int, bool]:
        """Return the number of a new connection, and whether it is kept."""
        key = next(self._numbers)
        admission = self.ledger.open(key, listener, self.clock.now_ms())
        self._connections[key] = conn
        if admission.closed is not None:
            self._count_closed("connections")
            self._connections[admission.closed].abort()
        if self._sweep is None:
            self._schedule_sweep()
        return key, admission.accepted

    def remove(self, key: int) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(key, None)
        self.ledger.close(key)

    def update(self, key: int, phase: Phase, held_bytes: int, response_bytes: int) -> None:
        """Record what a connection waits for and holds; close others if that is too much."""
        self.ledger.update(key, phase, held_bytes, self.clock.now_ms(), response_bytes)
        if self.ledger.is_full():
            self.make_room(0)

    def make_room(self, size: int) -> bool:
        """Tell whether ``size`` more bytes fit, after others were closed that hold up memory."""
        if self.ledger.fits(size):
            return True
        for key in self.ledger.victims(size, self.clock.now_ms()):
            self._closed += 1
            self._count_closed("memory")
            self._connections[key].abort()
        return self.ledger.fits(size)

    def queue(self, conn: CallerConnection) -> None:
        """Let a connection go on with a request that was sent ahead, after those before it.

        One of them begins in each iteration of the event loop, so that callers who wait for their
        answers are served beside any number of requests that were sent ahead.
        """
        self._ahead.append(conn)
        if len(self._ahead) == 1:
            asyncio.get_running_loop().call_soon(self._proceed)

    def _proceed(self) -> None:
        conn = self._ahead.popleft()
        if self._ahead:
            asyncio.get_running_loop().call_soon(self._proceed)
        conn.proceed()

    def _count_closed(self, reason: str) -> None:
        self.count(Count("caller_connections_closed", 1, (("reason", reason),)))

    def _schedule_sweep(self) -> None:
        delay_s = self.sweep_interval_ms / MS_PER_SECOND
        self._sweep = asyncio.get_running_loop().call_later(delay_s, self._on_sweep)

    def _on_sweep(self) -> None:
        """Note which callers go on reading, and end those that do not."""
        self._sweep = None
        now_ms = self.clock.now_ms()
        for key in list(self.ledger.stalled(self.sweep_interval_ms, now_ms)):
            if self._connections[key].take_progress() >= MIN_PROGRESS_BYTES:
                self.ledger.progressed(key, now_ms)
        for key in list(self.ledger.stalled(self.linger_ms, now_ms)):
            conn = self._connections[key]
            waits_ms = self.ledger.waits_ms(key, now_ms)
            if conn.transport.is_closing() or waits_ms >= self.send_timeout_ms:
                self._count_closed("unread")
                conn.abort()
        self.ledger.other_descriptors = self.other_descriptors()
        if self._closed:
            held = self.ledger.held_bytes
            self._log.info("caller_connections_closed", closed=self._closed, held_bytes=held)
            self._closed = 0
        if self._connections:
            self._schedule_sweep()
