"""Origins of resumable streams across all entry nodes (a role).

A stream may go on only at an upstream of the software version that began it. A caller that takes a
stream up may reach any entry node, also when the node that began it is lost. Each origin is
therefore copied to several entry nodes, which rendezvous hashing chooses by the id of the caller's
attempt that brought the first event.

All origins are lost with all entry nodes. If no node holds one, the control leader is asked at
which versions the streams that are still alive may have begun (see `stream_versions`). A single one
is the origin's version as well. Nothing is inferred from the list of a node, which can be old, or
from an answer that the leader gave before the caller came.
"""

from __future__ import annotations

import itertools
import math
from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.follow_types import StreamVersion, StreamVersionsReceived
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
# Covers the reply of a busy leader, and one that was under way already.
VERSIONS_TIMEOUT_MS = 400.0
# Searches that begin within this time share one request to the leader.
VERSIONS_INTERVAL_MS = 30.0
# Longer than callers wait for a stream and all their attempts to take it up.
KEPT_MS = 60_000.0
# A node of the design size begins 110 streams a second and holds three times as many copies, in all
# 26,400 within KEPT_MS.
MAX_KEPT = 30_000


@message
@frozen
class StreamOrigin:
    """The instance that sent the first event of a stream, with its versions.

    ``version`` is that of its software. ``weights`` names those of its models, or is empty if they
    are unknown.
    """

    request_id: str
    service: str
    instance: str
    version: str
    weights: str = ""


@message
@frozen
class RecordOrigins:
    """Hold these origins for other entry nodes."""

    origins: tuple[StreamOrigin, ...]


@message
@frozen
class ServedVersions:
    """Part of OriginReply that only earlier releases read, which require it."""

    versions: tuple[str, ...] = ()
    unchanged_ms: float = 0.0


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
    """Answer an OriginQuery; ``origin`` is None if the sender does not hold it."""

    ticket: str
    origin: StreamOrigin | None
    served: ServedVersions = ServedVersions()


ORIGIN_MESSAGES = (RecordOrigins, OriginQuery, OriginReply)


@frozen
class StreamBegan:
    """Event: the first event of a stream was passed on to its caller."""

    origin: StreamOrigin


@frozen
class FindOrigin:
    """Event: a caller takes up the stream that its attempt ``request_id`` began at a service.

    ``request_id`` is empty if the caller names no attempt.
    """

    ticket: str
    request_id: str
    service: str


@frozen
class OriginFound:
    """Effect: the answer to FindOrigin; ``origin`` is None if no node that answered knows it.

    ``complete`` tells whether all nodes that were asked have answered, and the control leader too.
    """

    ticket: str
    origin: StreamOrigin | None
    complete: bool


@frozen
class SeekStreamVersions:
    """Effect: the control leader must be asked at which versions live streams may have begun."""


ORIGIN_EVENTS = (StreamBegan, FindOrigin, StreamVersionsReceived)


@define
class _Search:
    """A search for an origin: among entry nodes first, then at the control leader."""

    event: FindOrigin
    awaiting: set[NodeId]
    due_ms: float
    # When the leader came to be asked, or None while entry nodes are.
    asks_leader_ms: float | None = None


@define
class StreamOrigins:
    """Record the origins of this node's streams, hold those of others, and find them.

    Events: Tick; StreamBegan, FindOrigin, StreamVersionsReceived; EntriesChanged; Receive of the
    origin messages. Effects: OriginFound for each FindOrigin; SeekStreamVersions; Send.
    """

    node_id: NodeId
    _nodes: tuple[NodeId, ...] = ()
    # In the order of their arrival, with the time at which they are dropped.
    _held: dict[str, tuple[StreamOrigin, float]] = field(factory=dict)
    _batches: dict[NodeId, list[StreamOrigin]] = field(factory=dict)
    _send_batches_ms: float = math.inf
    _searches: dict[str, _Search] = field(factory=dict)
    _ask_leader_ms: float = math.inf
    _asked_leader_ms: float = -math.inf

    def next_deadline_ms(self) -> float | None:
        """Return when batches or a request to the leader are due, or the first search times out."""
        first = min((item.due_ms for item in self._searches.values()), default=math.inf)
        first = min(first, self._send_batches_ms, self._ask_leader_ms)
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
            case StreamVersionsReceived():
                effects += self._receive_versions(event)
            case Receive(message=RecordOrigins(origins=origins)):
                for origin in origins:
                    self._hold(origin, now_ms)
            case Receive(sender=sender, message=OriginQuery() as query):
                found = self._held_origin(query.request_id, now_ms)
                effects.append(Send(sender, OriginReply(query.ticket, found)))
            case Receive(sender=sender, message=OriginReply() as reply):
                effects += self._receive_reply(sender, reply, now_ms)
        effects += self._expire(now_ms)
        return [*effects, *self._send_due_batches(now_ms), *self._ask_leader(now_ms)]

    # Recording.

    def _record(self, origin: StreamOrigin, now_ms: float) -> None:
        """Hold an origin and add it to the next batches for the nodes that hold its copies.

        One without an id is not recorded: a caller that names no attempt may mean another stream.
        """
        if not origin.request_id:
            return
        self._hold(origin, now_ms)
        others = [node for node in rank(origin.request_id, self._nodes) if node != self.node_id]
        for node in others[:COPIES]:
            self._batches.setdefault(node, []).append(origin)
        if self._batches:
            self._send_batches_ms = min(self._send_batches_ms, now_ms + BATCH_MS)

    def _hold(self, origin: StreamOrigin, now_ms: float) -> None:
        if not origin.request_id:
            return
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
        if origin is not None:
            return [OriginFound(event.ticket, origin, complete=True)]
        asked: list[NodeId] = []
        if event.request_id:
            others = (node for node in rank(event.request_id, self._nodes) if node != self.node_id)
            asked = list(itertools.islice(others, ASKED))
        search = _Search(event, set(asked), now_ms + REPLY_TIMEOUT_MS)
        self._searches[event.ticket] = search
        if not asked:
            self._seek_versions(search, now_ms)
        query = OriginQuery(event.ticket, event.request_id, event.service)
        return [Send(node, query) for node in asked]

    def _receive_reply(self, sender: NodeId, reply: OriginReply, now_ms: float) -> list[Any]:
        search = self._searches.get(reply.ticket)
        if search is None:
            return []
        search.awaiting.discard(sender)
        if reply.origin is not None:
            return [self._end(reply.ticket, reply.origin, complete=True)]
        if not search.awaiting and search.asks_leader_ms is None:
            self._seek_versions(search, now_ms)
        return []

    def _seek_versions(self, search: _Search, now_ms: float) -> None:
        """Ask the control leader, since no entry node that answered holds the origin."""
        search.asks_leader_ms = now_ms
        search.due_ms = now_ms + VERSIONS_TIMEOUT_MS
        due_ms = max(now_ms, self._asked_leader_ms + VERSIONS_INTERVAL_MS)
        self._ask_leader_ms = min(self._ask_leader_ms, due_ms)

    def _ask_leader(self, now_ms: float) -> list[Any]:
        if now_ms < self._ask_leader_ms:
            return []
        self._ask_leader_ms, self._asked_leader_ms = math.inf, now_ms
        return [SeekStreamVersions()]

    def _receive_versions(self, received: StreamVersionsReceived) -> list[Any]:
        """End the searches that came before the leader was asked."""
        return [
            self._end(
                ticket,
                _only_origin(search.event, received.versions),
                complete=not search.awaiting,
            )
            for ticket, search in list(self._searches.items())
            if search.asks_leader_ms is not None and search.asks_leader_ms <= received.asked_ms
        ]

    def _end(self, ticket: str, origin: StreamOrigin | None, complete: bool) -> OriginFound:
        del self._searches[ticket]
        return OriginFound(ticket, origin, complete)

    def _expire(self, now_ms: float) -> list[Any]:
        """Ask the leader where entry nodes are silent; end searches that it did not answer."""
        effects: list[Any] = []
        for ticket, search in list(self._searches.items()):
            if search.due_ms > now_ms:
                continue
            if search.asks_leader_ms is None:
                self._seek_versions(search, now_ms)
            else:
                effects.append(self._end(ticket, None, complete=False))
        return effects


def _only_origin(
    event: FindOrigin, versions: tuple[StreamVersion, ...] | None
) -> StreamOrigin | None:
    """Return the origin of a stream if all live streams began at one version.

    Only one service may have begun streams: a route can have moved between services since then.
    """
    if versions is None or len(versions) != 1 or not versions[0].version:
        return None
    (only,) = versions
    return StreamOrigin(event.request_id, only.service, "", only.version, only.weights)
