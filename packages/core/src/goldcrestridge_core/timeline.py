"""Timeline of events: hybrid logical clock, ring buffer, merge, filter and rendering."""

from __future__ import annotations

import datetime
import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from goldcrestridge_core.types import Emit, NodeId, TimelineEvent

MAX_EVENTS = 4_096  # About 2 MB; covers the state changes of a node in an hour.

Stamp = tuple[float, int]  # Wall time in milliseconds, counter.


@define
class HybridClock:
    """Hybrid logical clock: stamps increase with every event, even if the wall clock steps back.

    The clock stays at the highest wall time seen, local or received, and increments the counter
    until the wall clock passes it. An event caused by a received message gets a higher stamp than
    its cause.
    """

    wall_ms: float = 0.0
    counter: int = 0

    def stamp(self, wall_ms: float) -> Stamp:
        """Return the stamp of a local event or of a message to send."""
        if wall_ms > self.wall_ms:
            self.wall_ms, self.counter = wall_ms, 0
        else:
            self.counter += 1
        return self.wall_ms, self.counter

    def observe(self, received: Stamp, wall_ms: float) -> Stamp:
        """Merge the stamp of a received message and return the stamp of its receipt."""
        if received > (self.wall_ms, self.counter):
            self.wall_ms, self.counter = received
        return self.stamp(wall_ms)


@define
class Timeline:
    """Record the last ``limit`` events of one process.

    Pass every Emit effect to ``record`` and the stamps of received messages to
    ``clock.observe``. ``dropped`` counts the events that no longer fit.
    """

    node: NodeId
    limit: int = MAX_EVENTS
    clock: HybridClock = field(factory=HybridClock)
    dropped: int = 0
    _events: deque[TimelineEvent] = field(factory=deque)

    def record(self, event: Emit, wall_ms: float) -> TimelineEvent:
        """Stamp and store an event, and drop the oldest one beyond the limit."""
        stamped = TimelineEvent(*self.clock.stamp(wall_ms), self.node, event)
        self._events.append(stamped)
        if len(self._events) > self.limit:
            self._events.popleft()
            self.dropped += 1
        return stamped

    def events(self) -> list[TimelineEvent]:
        """Return the stored events, oldest first."""
        return list(self._events)


def causal_key(event: TimelineEvent) -> tuple[float, int, NodeId]:
    """Return the key that sorts events of several processes in causal order."""
    return event.wall_ms, event.counter, event.node


def merge(processes: Iterable[Iterable[TimelineEvent]]) -> Iterator[TimelineEvent]:
    """Merge the events of several processes, each oldest first, into causal order."""
    return heapq.merge(*processes, key=causal_key)


def event_filter(
    request_id: str = "", workspace: str = "", upstream: str = "", change_id: str = ""
) -> Callable[[TimelineEvent], bool]:
    """Return a predicate that requires all non-empty arguments to match."""
    wanted = {
        "request_id": request_id,
        "workspace": workspace,
        "upstream": upstream,
        "change_id": change_id,
    }
    given = {name: value for name, value in wanted.items() if value}
    return lambda event: all(getattr(event.event, name) == v for name, v in given.items())


def render(event: TimelineEvent) -> str:
    """Return an event as one line: wall time (UTC), counter, node, kind and fields."""
    wall = datetime.datetime.fromtimestamp(event.wall_ms / 1000.0, datetime.UTC)
    emitted = event.event
    named = {
        "request": emitted.request_id,
        "workspace": emitted.workspace,
        "upstream": emitted.upstream,
        "change": emitted.change_id,
    }
    fields = [f"{name}={value}" for name, value in named.items() if value]
    fields += [f"{name}={value}" for name, value in emitted.detail]
    time = f"{wall:%Y-%m-%dT%H:%M:%S}.{wall.microsecond // 1000:03d}Z+{event.counter}"
    line = " ".join([time, event.node, emitted.kind, *fields])
    return line.translate(dict.fromkeys((*range(32), 127), " "))
