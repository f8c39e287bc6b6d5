"""Permits for requests to rate-limited upstream instances across all entry nodes (a role).

Load patterns that it handles:
- An upstream in need names the requests a second that it takes from all entry nodes together.
  Rendezvous hashing assigns each instance an owner among the entry nodes, and each request to a
  limited instance needs a permit of the owner. So also a limit of less than one request a second
  for each node is used in full, by whichever node has a request.
- More requests than the limit allows: urgent ones go first, and refused callers get increasing
  retry times, so that they return at the rate that the instance takes.

A node that gets no answer, or whose owner is not in contact with the control leader, sends nothing.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.follow_types import NamedLimit
from goldcrestridge_core.rate_limits import RateLimits
from goldcrestridge_core.rates import RequestBucket, request_rate
from goldcrestridge_core.rendezvous import rank
from goldcrestridge_core.types import Emit, NodeId, Receive, Send

# Covers a few round trips within a region and the scheduling delay of a busy node.
REPLY_TIMEOUT_MS = 60.0
# An instance whose owner did not answer is avoided for this time.
SILENT_OWNER_PAUSE_MS = 500.0
# An owner issues permits for this long after its last contact with the control leader. A lost
# entry node stays on the list of entry nodes for at least 2.5 s, so that no second owner issues
# permits at the same time.
OWNER_LEASE_MS = 2_000.0
# For this time after the refusal of a more urgent request, and at least for that of two permits,
# less urgent requests get only FLOOR_SHARE of the permits.
YIELD_MS = 1_000.0
FLOOR_SHARE = 0.1
# The callers refused within this time count as the queue that a further one returns behind.
BACKLOG_MS = 1_000.0


@message
@frozen
class PermitRequest:
    """Ask the owner of an instance for a permit; ``limit`` is what the sender has observed.

    ``priority`` 0 is the most urgent.
    """

    ticket: str
    priority: int
    limit: NamedLimit


@message
@frozen
class PermitReply:
    """Answer a PermitRequest.

    ``next_ms`` is the time until the instance has a permit again, ``retry_ms`` the time after which
    a refused caller should return. ``limit`` is what the owner has observed.
    """

    ticket: str
    granted: bool
    next_ms: float
    retry_ms: float
    limit: NamedLimit


PERMIT_MESSAGES = (PermitRequest, PermitReply)


@frozen
class SeekPermit:
    """Event: a request is to be sent to a rate-limited instance; ``ticket`` is unique."""

    ticket: str
    instance: str
    priority: int


@frozen
class PermitDecided:
    """Effect: the answer to SeekPermit, with the fields of PermitReply."""

    ticket: str
    granted: bool
    next_ms: float = 0.0
    retry_ms: float = 0.0


@define
class PermitLedger:
    """Permits of one instance, kept by its owner; it starts without any."""

    bucket: RequestBucket
    _refused_ms: dict[int, float] = field(factory=dict)  # Last refusal by priority.
    _floor_ms: float = -math.inf  # When a request that had to yield got its last permit.
    _backlog: deque[float] = field(factory=deque)  # Times of the recent refusals.

    def take(self, per_second: float, priority: int, now_ms: float) -> tuple[float, float] | None:
        """Take a permit; if there is none, return when to ask again and when to retry, in ms."""
        self.bucket.refill(per_second, now_ms)
        rate = request_rate(per_second)
        floor_due_ms = self._floor_ms + 1.0 / (FLOOR_SHARE * rate)
        # A request that must yield is granted at one of these times at the earliest.
        yields_until_ms = min(floor_due_ms, self._yield_until_ms(rate, priority))
        if self.bucket.requests >= 1.0 and now_ms >= yields_until_ms:
            self.bucket.requests -= 1.0
            if now_ms < self._yield_until_ms(rate, priority):
                self._floor_ms = now_ms
            return None
        self._refused_ms[priority] = now_ms
        self._backlog.append(now_ms)
        while self._backlog[0] <= now_ms - BACKLOG_MS:
            self._backlog.popleft()
        next_ms = self.bucket.next_ms(per_second)
        retry_ms = next_ms + (len(self._backlog) - 1) / rate
        return next_ms, max(retry_ms, yields_until_ms - now_ms)

    def _yield_until_ms(self, rate: float, priority: int) -> float:
        """Return until when requests of a priority yield to more urgent ones that were refused."""
        refused_ms = max(
            (at_ms for other, at_ms in self._refused_ms.items() if other < priority),
            default=-math.inf,
        )
        return refused_ms + max(YIELD_MS, 2.0 / rate)


@frozen
class _Search:
    instance: str
    reply_by_ms: float


@define
class Permits:
    """Get permits for the requests of this node, and issue those of the instances that it owns.

    Events: Tick; SeekPermit; EntriesChanged; Receive of PermitRequest and PermitReply. Effects:
    PermitDecided for each SeekPermit; Send; Emit. ``confirmed_ms`` returns when the control leader
    last confirmed the state of this node, in monotonic milliseconds.
    """

    node_id: NodeId
    limits: RateLimits
    confirmed_ms: Callable[[], float]
    _nodes: tuple[NodeId, ...] = ()
    _ledgers: dict[str, PermitLedger] = field(factory=dict)
    _searches: dict[str, _Search] = field(factory=dict)
    _effects: list[Any] = field(factory=list)

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline for the answer of an owner."""
        return min((item.reply_by_ms for item in self._searches.values()), default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event."""
        match event:
            case SeekPermit():
                self._seek(event, now_ms)
            case EntriesChanged(nodes=nodes):
                self._nodes = nodes
            case Receive(sender=sender, message=PermitRequest() as request):
                self._send(sender, self._answer(request, now_ms), now_ms)
            case Receive(message=PermitReply() as reply):
                self._receive_reply(reply, now_ms)
        self._expire(now_ms)
        effects, self._effects = self._effects, []
        return effects

    # Permits for the requests of this node.

    def _seek(self, event: SeekPermit, now_ms: float) -> None:
        limit = self.limits.named(event.instance, now_ms)
        if limit is None or limit.per_second is None:
            self._effects.append(PermitDecided(event.ticket, granted=True))
            return
        owner = self._owner(event.instance)
        if owner is None:
            self._refuse_unanswered(event.ticket, event.instance, now_ms)
            return
        self._searches[event.ticket] = _Search(event.instance, now_ms + REPLY_TIMEOUT_MS)
        self._send(owner, PermitRequest(event.ticket, event.priority, limit), now_ms)

    def _receive_reply(self, reply: PermitReply, now_ms: float) -> None:
        """Apply a reply; a permit that comes after the reply timeout is lost."""
        self._merge(reply.limit, now_ms)
        search = self._searches.pop(reply.ticket, None)
        if search is None:
            return
        if not reply.granted:
            self.limits.pause(search.instance, now_ms + reply.next_ms)
        self._effects.append(
            PermitDecided(reply.ticket, reply.granted, reply.next_ms, reply.retry_ms)
        )

    def _refuse_unanswered(self, ticket: str, instance: str, now_ms: float) -> None:
        self.limits.pause(instance, now_ms + SILENT_OWNER_PAUSE_MS)
        self._effects.append(
            PermitDecided(ticket, False, SILENT_OWNER_PAUSE_MS, SILENT_OWNER_PAUSE_MS)
        )

    def _expire(self, now_ms: float) -> None:
        for ticket, search in list(self._searches.items()):
            if search.reply_by_ms <= now_ms:
                del self._searches[ticket]
                self._refuse_unanswered(ticket, search.instance, now_ms)

    # Permits of the instances that this node owns.

    def _owner(self, instance: str) -> NodeId | None:
        """Return the entry node that owns an instance, or None while no entry node is known."""
        return next(iter(rank(instance, self._nodes)), None)

    def _answer(self, request: PermitRequest, now_ms: float) -> PermitReply:
        instance = request.limit.instance
        self._merge(request.limit, now_ms)
        limit = self.limits.named(instance, now_ms) or request.limit
        if limit.per_second is None:
            return PermitReply(request.ticket, True, 0.0, 0.0, limit)
        has_lease = now_ms - self.confirmed_ms() < OWNER_LEASE_MS
        if not has_lease or self._owner(instance) != self.node_id:
            pause_ms = SILENT_OWNER_PAUSE_MS
            return PermitReply(request.ticket, False, pause_ms, pause_ms, limit)
        ledger = self._ledgers.setdefault(instance, PermitLedger(RequestBucket(now_ms)))
        waits = ledger.take(limit.per_second, request.priority, now_ms)
        if waits is None:
            return PermitReply(request.ticket, True, 0.0, 0.0, limit)
        return PermitReply(request.ticket, False, *waits, limit)

    def _merge(self, limit: NamedLimit, now_ms: float) -> None:
        """Record the observation of another node; a limit that ended leaves no ledger."""
        if not self.limits.merge(limit, now_ms):
            return
        per_second = self.limits.per_second(limit.instance)
        if per_second is None:
            self._ledgers.pop(limit.instance, None)
        detail = () if per_second is None else (("per_second", per_second),)
        self._effects.append(Emit("upstream_limit", detail=(("instance", limit.instance), *detail)))

    def _send(self, node: NodeId, content: Any, now_ms: float) -> None:
        """Send a message; handle one to this node itself synchronously."""
        if node != self.node_id:
            self._effects.append(Send(node, content))
        elif isinstance(content, PermitRequest):
            self._send(node, self._answer(content, now_ms), now_ms)
        else:
            self._receive_reply(content, now_ms)
