"""Origins of resumable streams across all entry nodes (a role).

A stream may go on only at an upstream of the software version that began it. A caller that takes a
stream up may reach any entry node, also when the node that began it is lost. Each origin is
therefore copied to several entry nodes, which rendezvous hashing chooses by the id of the caller's
attempt that brought the first event.

If all listed instances of a service have run one version for as long as its streams last, that is
the origin's version as well, whether or not a node holds the origin.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.rendezvous import rank
from goldcrestridge_core.types import NodeId, Receive, Send

# Nodes that hold each origin beside the one that recorded it. If half of the nodes are lost at
# once, one of eight origins is lost with them.
COPIES = 3
# Nodes that are asked for an origin. Nodes that joined after it was recorded come before some of
# those that hold it.
ASKED = 5
# Origins are collected for this time and sent together. Callers take longer to come back.
BATCH_MS = 10.0
# Covers a few round trips within a region and the scheduling delay of a busy node.
REPLY_TIMEOUT_MS = 100.0
# Longer than callers wait for a stream and all their attempts to take it up.
KEPT_MS = 60_000.0
# A node of the design size begins 110 streams a second and holds three times as many copies, in all
# 26,400 within KEPT_MS.
MAX_KEPT = 30_000


@message
@frozen
class StreamOrigin:
    """The instance and the software version that sent the first event of a stream."""

    request_id: str
    service: str
    instance: str
    version: str


@message
@frozen
class RecordOrigins:
    """Hold these origins for other entry nodes."""

    origins: tuple[StreamOrigin, ...]


@message
@frozen
class ServedVersions:
    """The software versions that a service is listed with, and for how long without a change."""

    versions: tuple[str, ...] = ()
    unchanged_ms: float = 0.0

    def only_version(self, lasts_ms: float) -> str | None:
        """Return the only version of at least the last ``lasts_ms``, or None."""
        if len(self.versions) != 1 or self.unchanged_ms < lasts_ms:
            return None
        return self.versions[0] or None


@message
@frozen
class OriginQuery:
    """Ask for the origin of the stream that an attempt of a caller began at a service."""

    ticket: str
    request_id: str
    service: str


@message
@frozen
class OriginReply:
    """Answer an OriginQuery; ``origin`` is None if the sender does not hold it.

    ``served`` is what the sender knows of the service.
    """

    ticket: str
    origin: StreamOrigin | None
    served: ServedVersions


ORIGIN_MESSAGES = (RecordOrigins, OriginQuery, OriginReply)


@frozen
class StreamBegan:
    """Event: the first event of a stream was passed on to its caller."""

    origin: StreamOrigin


@frozen
class FindOrigin:
    """Event: a caller takes up the stream that its attempt ``request_id`` began at a service.

    ``request_id`` is empty if the caller names no attempt. The stream began within the last
    ``lasts_ms``.
    """

    ticket: str
    request_id: str
    service: str
    lasts_ms: float


@frozen
class OriginFound:
    """Effect: the answer to FindOrigin; ``origin`` is None if no node that answered knows it.

    ``complete`` tells whether all nodes that were asked have answered.
    """

    ticket: str
    origin: StreamOrigin | None
    complete: bool


ORIGIN_EVENTS = (StreamBegan, FindOrigin)


def _unknown_versions(_service: str, _now_ms: float) -> ServedVersions:
    return ServedVersions()


@define
class _Search:
    event: FindOrigin
    awaiting: set[NodeId]
    reply_by_ms: float
    served: list[ServedVersions]

    def inferred_origin(self) -> StreamOrigin | None:
        """Return the origin if only one version can have begun the stream."""
        versions = {version for served in self.served for version in served.versions}
        event = self.event
        known = (served.only_version(event.lasts_ms) for served in self.served)
        only = next(filter(None, known), None)
        if only is None or versions != {only}:
            return None
        return StreamOrigin(event.request_id, event.service, "", only)


@define
class StreamOrigins:
    """Record the origins of this node's streams, hold those of others, and find them.

    Events: Tick; StreamBegan, FindOrigin; EntriesChanged; Receive of the origin messages. Effects:
    OriginFound for each FindOrigin; Send. ``served_versions`` returns what this node knows of a
    service at a monotonic time in milliseconds.
    """

    node_id: NodeId
    served_versions: Callable[[str, float], ServedVersions] = _unknown_versions
    _nodes: tuple[NodeId, ...] = ()
    # In the order of their arrival, with the time at which they are dropped.
    _held: dict[str, tuple[StreamOrigin, float]] = field(factory=dict)
    _batches: dict[NodeId, list[StreamOrigin]] = field(factory=dict)
    _send_batches_ms: float = math.inf
    _searches: dict[str, _Search] = field(factory=dict)

    def next_deadline_ms(self) -> float | None:
        """Return when batches are due or the first search times out."""
        times = (item.reply_by_ms for item in self._searches.values())
        first = min(times, default=math.inf)
        first = min(first, self._send_batches_ms)
        return None if first == math.inf else first

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event."""
        effects: list[Any] = []
        match event:
            case StreamBegan(origin=origin):
                self._record(origin, now_ms)
            case FindOrigin():
                effects += self._find(event, now_ms)
            case EntriesChanged(nodes=nodes):
                self._nodes = nodes
            case Receive(message=RecordOrigins(origins=origins)):
                for origin in origins:
                    self._hold(origin, now_ms)
            case Receive(sender=sender, message=OriginQuery() as query):
                found = self._held_origin(query.request_id, now_ms)
                served = self.served_versions(query.service, now_ms)
                effects.append(Send(sender, OriginReply(query.ticket, found, served)))
            case Receive(sender=sender, message=OriginReply() as reply):
                effects += self._receive_reply(sender, reply)
        return [*effects, *self._expire(now_ms), *self._send_due_batches(now_ms)]

    # Recording.

    def _record(self, origin: StreamOrigin, now_ms: float) -> None:
        """Hold an origin and add it to the next batches for the nodes that hold its copies."""
        self._hold(origin, now_ms)
        others = [node for node in rank(origin.request_id, self._nodes) if node != self.node_id]
        for node in others[:COPIES]:
            self._batches.setdefault(node, []).append(origin)
        if self._batches:
            self._send_batches_ms = min(self._send_batches_ms, now_ms + BATCH_MS)

    def _hold(self, origin: StreamOrigin, now_ms: float) -> None:
        self._held.pop(origin.request_id, None)
        self._held[origin.request_id] = (origin, now_ms + KEPT_MS)
        while self._held:
            oldest = next(iter(self._held))
            if len(self._held) <= MAX_KEPT and self._held[oldest][1] > now_ms:
                break
            del self._held[oldest]

    def _send_due_batches(self, now_ms: float) -> list[Any]:
        if now_ms < self._send_batches_ms:
            return []
        batches, self._batches = self._batches, {}
        self._send_batches_ms = math.inf
        return [Send(node, RecordOrigins(tuple(origins))) for node, origins in batches.items()]

    # Finding.

    def _held_origin(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        origin, until_ms = self._held.get(request_id, (None, now_ms))
        return origin if until_ms > now_ms else None

    def _find(self, event: FindOrigin, now_ms: float) -> list[Any]:
        origin = self._held_origin(event.request_id, now_ms)
        key = event.request_id or event.ticket
        asked = [node for node in rank(key, self._nodes) if node != self.node_id][:ASKED]
        served = self.served_versions(event.service, now_ms)
        search = _Search(event, set(asked), now_ms + REPLY_TIMEOUT_MS, [served])
        if origin is None and (not event.request_id or not asked):
            origin = search.inferred_origin()
        if origin is not None or not asked:
            return [OriginFound(event.ticket, origin, complete=bool(self._nodes))]
        self._searches[event.ticket] = search
        query = OriginQuery(event.ticket, event.request_id, event.service)
        return [Send(node, query) for node in asked]

    def _receive_reply(self, sender: NodeId, reply: OriginReply) -> list[Any]:
        search = self._searches.get(reply.ticket)
        if search is None:
            return []
        search.awaiting.discard(sender)
        search.served.append(reply.served)
        if reply.origin is None and search.awaiting:
            return []
        return [self._end(reply.ticket, reply.origin)]

    def _end(self, ticket: str, origin: StreamOrigin | None) -> OriginFound:
        """End a search with the origin that a node holds, or with the inferred one."""
        search = self._searches.pop(ticket)
        return OriginFound(ticket, origin or search.inferred_origin(), complete=not search.awaiting)

    def _expire(self, now_ms: float) -> list[Any]:
        expired = [name for name, item in self._searches.items() if item.reply_by_ms <= now_ms]
        return [self._end(name, None) for name in expired]
