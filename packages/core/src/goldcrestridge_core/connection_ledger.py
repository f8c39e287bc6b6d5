"""Which connections of callers a process keeps, by what each holds and how long it has waited."""

from __future__ import annotations

import enum
import itertools
from collections import Counter
from collections.abc import Iterator

from attrs import define, field, frozen

from goldcrestridge_core.process_limits import ProcessLimits

# A connection gives way to a new one only after this time without a byte, without a further
# request, or without the rest of a request or the reading of a response.
MIN_SILENT_MS = 250.0
MIN_IDLE_MS = 1_000.0
MIN_HELD_UP_MS = 2_000.0
# A caller that has begun to send a request or to read a response is not cut for memory before.
MIN_STALLED_MS = 500.0
# A caller that takes fewer bytes than this has not gone on reading.
MIN_PROGRESS_BYTES = 4_096
# Shares of the memory that the requests of one workspace may hold, and responses to them. Faulty
# responses leave the further requests of their workspace their share.
OWNER_SHARE = 0.5
OWNER_RESPONSE_SHARE = 0.25
# Memory is freed down to this share of the limit, so that victims are not sought at each request.
FREED_SHARE = 0.9


class Phase(enum.Enum):
    """What a connection waits for."""

    SILENT = "silent"  # Its first byte.
    IDLE = "idle"  # Another request.
    RECEIVING = "receiving"  # The rest of a request.
    AHEAD = "ahead"  # Its turn, with many requests that were sent ahead and have not begun.
    RUNNING = "running"  # The response.
    UNREAD = "unread"  # The caller, who has not read what was sent.
    CLOSING = "closing"  # Its end, which was decided here.


@frozen
class Admission:
    """Whether a new connection is kept, and which connection is closed to make room for it."""

    accepted: bool
    closed: int | None = None


@define(eq=False)
class _Entry:
    """One connection, and since when it waits without any progress.

    ``ahead_ms`` is since when requests have been sent ahead on it, or None. ``owner`` is the
    workspace of its request, empty if there is none. ``response_bytes`` is the part of
    ``held_bytes`` that a response of an upstream takes.
    """

    listener: str
    phase: Phase
    since_ms: float
    held_bytes: int = 0
    response_bytes: int = 0
    ahead_ms: float | None = None
    owner: str = ""

    def waits_ms(self, now_ms: float) -> float:
        """Return for how long the connection has waited in its phase, or been ahead."""
        if self.phase is Phase.AHEAD and self.ahead_ms is not None:
            return now_ms - self.ahead_ms
        return now_ms - self.since_ms


@define(eq=False)
class ConnectionLedger:
    """Count the connections of all listeners of a process and the memory that they hold.

    The decisions depend on the events and their times alone. Connections are named by numbers.
    ``other_descriptors`` is the number of descriptors beyond those that the limits allow for.
    """

    limits: ProcessLimits
    other_descriptors: int = 0
    held_bytes: int = 0
    _entries: dict[int, _Entry] = field(factory=dict)
    _counts: Counter[str] = field(factory=Counter)
    # By workspace, without and with the responses of upstreams alone.
    _request_bytes: Counter[str] = field(factory=Counter)
    _response_bytes: Counter[str] = field(factory=Counter)
    # By listener and phase, in the order in which the connections entered the phase.
    _waiting: dict[tuple[str, Phase], dict[int, None]] = field(factory=dict)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._entries)

    def add_listener(self, listener: str) -> None:
        """Guarantee connections to a listener."""
        self._counts[listener] += 0

    def open(self, key: int, listener: str, now_ms: float) -> Admission:
        """Decide on a new connection; it is counted in either case until it is closed."""
        admission = Admission(True)
        if not self._has_room(listener):
            victim = self._giving_way(listener, now_ms)
            admission = Admission(victim is not None, victim)
            if victim is not None:
                self._condemn(victim)
        self._entries[key] = _Entry(listener, Phase.SILENT, now_ms)
        self._counts[listener] += 1
        self._waiting.setdefault((listener, Phase.SILENT), {})[key] = None
        return admission

    def close(self, key: int) -> None:
        """Forget a connection whose descriptor is closed."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._counts[entry.listener] -= 1
            self._hold(entry, 0)
            self._set_owner(entry, "")
            self._waiting.get((entry.listener, entry.phase), {}).pop(key, None)

    def update(
        self, key: int, phase: Phase, held_bytes: int, now_ms: float, response_bytes: int = 0
    ) -> None:
        """Record what a connection waits for and the memory that it holds.

        ``response_bytes`` is the part of ``held_bytes`` that a response of an upstream takes.
        """
        entry = self._entries.get(key)
        if entry is None or entry.phase is Phase.CLOSING:
            return
        self._hold(entry, held_bytes, response_bytes)
        if phase is not entry.phase:
            self._waiting[entry.listener, entry.phase].pop(key, None)
            self._waiting.setdefault((entry.listener, phase), {})[key] = None
            entry.phase, entry.since_ms = phase, now_ms
            if phase is Phase.AHEAD:
                entry.ahead_ms = now_ms if entry.ahead_ms is None else entry.ahead_ms
            elif phase is Phase.IDLE:
                entry.ahead_ms = None
                self._set_owner(entry, "")

    def progressed(self, key: int, now_ms: float) -> None:
        """Record that the caller has read a part of what was sent."""
        entry = self._entries.get(key)
        if entry is not None and entry.phase is not Phase.CLOSING:
            entry.since_ms = now_ms
            waiting = self._waiting[entry.listener, entry.phase]
            waiting[key] = waiting.pop(key)

    def assign(self, key: int, owner: str) -> None:
        """Count the memory of a connection for the workspace of its request."""
        entry = self._entries.get(key)
        if entry is not None:
            self._set_owner(entry, owner)

    def owner_fits(self, key: int, size: int) -> bool:
        """Tell whether the workspace of a connection may hold ``size`` more bytes.

        One workspace leaves room for the others. Without a workspace only a limited part of a
        request is held, so there is no such bound.
        """
        entry = self._entries.get(key)
        if entry is None or not entry.owner:
            return True
        return self._request_bytes[entry.owner] + size <= OWNER_SHARE * self.limits.held_bytes

    def response_fits(self, key: int, size: int) -> bool:
        """Tell whether responses to the workspace of a connection may hold ``size`` more bytes."""
        entry = self._entries.get(key)
        if entry is None or not entry.owner:
            return True
        limit = OWNER_RESPONSE_SHARE * self.limits.held_bytes
        return self._response_bytes[entry.owner] + size <= limit

    def is_full(self) -> bool:
        """Tell whether no more memory may be held."""
        return self.held_bytes >= self.limits.held_bytes

    def fits(self, size: int) -> bool:
        """Tell whether ``size`` more bytes may be held."""
        return self.held_bytes + size <= self.limits.held_bytes

    def victims(self, size: int, now_ms: float) -> tuple[int, ...]:
        """Return the connections to close so that ``size`` more bytes fit, or all that may be.

        Those come first that have held much for long without going on. A connection whose request
        runs is never among them. Their memory counts as free from now on.
        """
        if self.fits(size):
            return ()
        excess = self.held_bytes + size - int(FREED_SHARE * self.limits.held_bytes)
        ranked = sorted(
            (
                (-entry.held_bytes * entry.waits_ms(now_ms), key)
                for key, entry in self._entries.items()
                if _may_be_cut(entry, now_ms)
            )
        )
        keys = [key for _, key in ranked]
        freed = itertools.accumulate((self._entries[key].held_bytes for key in keys), initial=0)
        chosen = tuple(key for key, before in zip(keys, freed, strict=False) if before < excess)
        for key in chosen:
            self._condemn(key)
        return chosen

    def stalled(self, limit_ms: float, now_ms: float) -> Iterator[int]:
        """Yield the connections whose caller has not gone on reading for ``limit_ms``."""
        return (
            key
            for listener in self._counts
            for key in self._waiting.get((listener, Phase.UNREAD), ())
            if now_ms - self._entries[key].since_ms >= limit_ms
        )

    def _hold(self, entry: _Entry, held_bytes: int, response_bytes: int = 0) -> None:
        self.held_bytes += held_bytes - entry.held_bytes
        owner = entry.owner
        self._set_owner(entry, "")
        entry.held_bytes, entry.response_bytes = held_bytes, response_bytes
        self._set_owner(entry, owner)

    def _set_owner(self, entry: _Entry, owner: str) -> None:
        if entry.owner == owner:
            return
        for name, sign in ((entry.owner, -1), (owner, 1)):
            if name:
                self._request_bytes[name] += sign * (entry.held_bytes - entry.response_bytes)
                self._response_bytes[name] += sign * entry.response_bytes
        if entry.owner and not self._request_bytes[entry.owner]:
            del self._request_bytes[entry.owner], self._response_bytes[entry.owner]
        entry.owner = owner

    def waits_ms(self, key: int, now_ms: float) -> float:
        """Return for how long a connection has waited without any progress."""
        return self._entries[key].waits_ms(now_ms)

    def _condemn(self, key: int) -> None:
        """Count the memory of a connection as free, and choose it no more."""
        entry = self._entries[key]
        self._waiting[entry.listener, entry.phase].pop(key, None)
        self._hold(entry, 0)
        entry.phase = Phase.CLOSING

    def _has_room(self, listener: str) -> bool:
        """Tell whether another connection leaves every other listener what it is guaranteed."""
        guaranteed = self.limits.listener_connections
        others = sum(
            max(count, guaranteed) for name, count in self._counts.items() if name != listener
        )
        allowed = self.limits.connections - self.other_descriptors - others
        return self._counts[listener] < max(allowed, min(guaranteed, self.limits.connections))

    def _giving_way(self, listener: str, now_ms: float) -> int | None:
        """Return the connection of a listener that gives way to a new one, or None.

        One without a request comes before one whose caller does not go on with it.
        """
        for phase, minimum_ms in _GIVING_WAY:
            key = next(iter(self._waiting.get((listener, phase), ())), None)
            if key is not None and now_ms - self._entries[key].since_ms >= minimum_ms:
                return key
        return None


_GIVING_WAY = (
    (Phase.SILENT, MIN_SILENT_MS),
    (Phase.AHEAD, 0.0),
    (Phase.IDLE, MIN_IDLE_MS),
    (Phase.UNREAD, MIN_HELD_UP_MS),
    (Phase.RECEIVING, MIN_HELD_UP_MS),
)


def _may_be_cut(entry: _Entry, now_ms: float) -> bool:
    if entry.phase in (Phase.RUNNING, Phase.CLOSING):
        return False
    return entry.phase is Phase.AHEAD or entry.waits_ms(now_ms) >= MIN_STALLED_MS
