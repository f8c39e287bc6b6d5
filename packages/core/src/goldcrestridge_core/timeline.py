"""Timeline: hybrid logical clock, bounded record of events, merge, filter and rendering."""

from __future__ import annotations

import datetime
import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from goldcrestridge_core.types import Emit, NodeId, TimelineEvent

MAX_EVENTS = 4_096  # About 2 MB, and an hour of a node's changes of state.

Stamp = tuple[float, int]  # Wall time in milliseconds and counter.


@define
class HybridClock:
    """Give stamps that grow with every event, even if the wall clock steps backwards.

    Stay at the highest wall time seen, local or received, and count up until the wall clock
    passes it. An event that follows from a received message gets a higher stamp than its cause.
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
        """Take over the stamp of a received message and return that of its receipt."""
        if received > (self.wall_ms, self.counter):
            self.wall_ms, self.counter = received
        return self.stamp(wall_ms)


@define
class Timeline:
    """Record the events of one process in a ring of ``limit`` events.

    Feed every Emit effect to ``record``; give stamps of messages to ``clock.observe``.
    """

    node: NodeId
    limit: int = MAX_EVENTS
    clock: HybridClock = field(factory=HybridClock)
    dropped: int = 0
    _events: deque[TimelineEvent] = field(factory=deque)

    def record(self, event: Emit, wall_ms: float) -> TimelineEvent:
        """Stamp and keep an event, and drop the oldest one beyond the limit."""
        stamped = TimelineEvent(*self.clock.stamp(wall_ms), self.node, event)
        self._events.append(stamped)
        if len(self._events) > self.limit:
            self._events.popleft()
            self.dropped += 1
        return stamped

    def events(self) -> list[TimelineEvent]:
        """Return the events kept, oldest first."""
        return list(self._events)


def causal_key(event: TimelineEvent) -> tuple[float, int, NodeId]:
    """Return the key that sorts events of several processes in causal order."""
    return event.wall_ms, event.counter, event.node


def merge(processes: Iterable[Iterable[TimelineEvent]]) -> Iterator[TimelineEvent]:
    """Merge the events of several processes, each in its own order, into causal order."""
    return heapq.merge(*processes, key=causal_key)


def event_filter(
    request_id: str = "", workspace: str = "", upstream: str = "", change_id: str = ""
) -> Callable[[TimelineEvent], bool]:
    """Return a filter; empty arguments match everything."""
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
