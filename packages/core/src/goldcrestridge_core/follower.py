"""Follower role of an entry node: keeps the leader's routes, upstreams and list of entry nodes.

An entry node polls the control leader at an interval and after every hint of a change. The leader
answers only while it holds its lease, so an answer proves that the state of the entry node was
current when the request was sent. Keys and routes are used only for a bounded time after that.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from goldcrestridge_core.deltas import unpack
from goldcrestridge_core.follow_types import (
    ControlAddresses,
    EntriesReceived,
    EntryStatus,
    FollowHint,
    FollowReply,
    FollowRequest,
    InstancesConfirmed,
    InstancesReceived,
    ReportDue,
    RoutesReceived,
    StatusChanged,
    StreamVersionsReceived,
    UsageReplied,
    Workload,
    WorkloadReceived,
)
from goldcrestridge_core.types import Count, Emit, NodeId, Receive, Send
from goldcrestridge_core.usage_types import UsageReport

# A change whose hint was lost is found within this time, a fraction of the 2 s within which an
# accepted version must be in force. It also bounds the age of the workload of other entry nodes.
POLL_INTERVAL_MS = 500.0
# In a large fleet each node polls less often, so that the leader receives about 100 requests a
# second, but still two or three times within the time for which routes may be used.
POLL_PER_ENTRY_MS = 10.0
MAX_POLL_INTERVAL_MS = 1_500.0
# Many round trips within a region; after this time another control node is asked.
REPLY_TIMEOUT_MS = 350.0
# Limits the rate of requests when two nodes name each other as leader.
REDIRECT_DELAY_MS = 60.0
# A reply is used up to this long after its request, since a leader or a node that is short of
# processor time answers or reads late. Later than that it says nothing of use about the lease.
REPLY_VALID_MS = 4_000.0
# Bounds the requests whose replies are still used.
MAX_OPEN_REQUESTS = 16
# Age of the list of upstreams of a leader of the former release, which does not name it: the
# interval at which it polls the platform, and the time of a slow answer.
ASSUMED_LIST_AGE_MS = 1_800.0
# Number of consecutive requests without a leader's answer after which the leader counts as lost.
LOST_AFTER_UNANSWERED = 3


# Wide enough that two processes of a node hardly begin with similar numbers.
SEQUENCE_BITS = 48


def poll_interval_ms(entry_count: int) -> float:
    """Return the polling interval of each of ``entry_count`` entry nodes."""
    return min(MAX_POLL_INTERVAL_MS, max(POLL_INTERVAL_MS, POLL_PER_ENTRY_MS * entry_count))


@define
class Follower:
    """Keep the routes, upstreams and entry nodes that the control leader holds.

    Events: Tick; Receive of FollowReply and FollowHint; StatusChanged; ReportDue;
    ControlAddresses.
    Effects: Send, RoutesReceived, InstancesReceived, InstancesConfirmed, EntriesReceived,
    StreamVersionsReceived, UsageReplied, WorkloadReceived, Emit, Count.
    ``workload`` returns the load that this node puts on upstreams at a monotonic time in
    milliseconds, ``usage`` the counts of what upstreams began for it. ``confirmed_ms`` is the
    latest time at which ``version`` was known to be current, ``outdated_since_ms`` when this node
    first heard of a newer version that it does not have yet.
    """

    status: EntryStatus
    seeds: tuple[NodeId, ...]
    rng: random.Random
    workload: Callable[[float], Workload] = lambda _now_ms: Workload()
    usage: Callable[[], UsageReport] = UsageReport
    replicas: tuple[NodeId, ...] = ()
    version: int = 0
    confirmed_ms: float = -math.inf
    outdated_since_ms: float = math.inf
    instances_digest: str = ""
    entries_digest: str = ""
    blocked_digest: str = ""
    _heard_version: int = 0
    _document: bytes = b""
    _target: NodeId | None = None
    _sequence: int = 0
    _sent_ms: float = -math.inf
    _awaiting_reply: bool = False
    # When the unanswered requests were sent, by sequence number.
    _open_ms: dict[int, float] = field(factory=dict)
    _applied: int = 0  # Sequence number of the newest request whose reply was applied.
    _poll_after_reply: bool = False
    _next_request_ms: float = -math.inf
    _unanswered: int = 0
    _leader_lost: bool = True
    _poll_interval_ms: float = POLL_INTERVAL_MS

    def __attrs_post_init__(self) -> None:
        """Begin with a random sequence number, unlike that of a former process of this node."""
        self._sequence = self._applied = self.rng.getrandbits(SEQUENCE_BITS)

    def next_deadline_ms(self) -> float | None:
        """Return when the next request is due or the request in flight times out."""
        return self._sent_ms + REPLY_TIMEOUT_MS if self._awaiting_reply else self._next_request_ms

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        effects: list[Any] = []
        match event:
            case Receive(sender=sender, message=FollowReply() as reply):
                effects += self._handle_reply(sender, reply, now_ms)
            case Receive(sender=sender, message=FollowHint() as hint):
                self._handle_hint(sender, hint, now_ms)
            case StatusChanged(accepting=accepting):
                self.status = evolve(self.status, accepting=accepting)
                self._poll_soon(now_ms)
            case ReportDue():
                self._poll_soon(now_ms)
            case ControlAddresses(nodes=nodes):
                self.seeds = nodes
        return effects + self._send_due_request(now_ms)

    def _poll_soon(self, now_ms: float) -> None:
        """Send a request now, or right after the reply to the request in flight."""
        if self._awaiting_reply:
            self._poll_after_reply = True
        else:
            self._next_request_ms = now_ms

    def _handle_hint(self, sender: NodeId, hint: FollowHint, now_ms: float) -> None:
        changed = (
            hint.version > self.version
            or hint.instances_digest != self.instances_digest
            or hint.entries_digest != self.entries_digest
            or hint.blocked_digest != self.blocked_digest
        )
        if not changed:
            return
        if hint.version > self.version:
            self.outdated_since_ms = min(self.outdated_since_ms, now_ms)
            self._heard_version = max(self._heard_version, hint.version)
        if self._awaiting_reply and self._target == sender:
            self._poll_after_reply = True
            return
        # The sender leads, so it is asked even if another node still owes a reply.
        self._target = sender
        self._awaiting_reply = False
        self._next_request_ms = now_ms

    def _handle_reply(self, sender: NodeId, reply: FollowReply, now_ms: float) -> list[Any]:
        sent_ms = self._open_ms.pop(reply.sequence, None)
        awaited = self._awaiting_reply and reply.sequence == self._sequence
        if sent_ms is None or now_ms - sent_ms > REPLY_VALID_MS:
            return [Count("control_replies_late")]
        if reply.replicas:
            self.replicas = reply.replicas
        if not reply.leads:
            return self._handle_redirect(sender, reply, now_ms) if awaited else []
        if reply.sequence < self._applied:
            return [Count("control_replies_late")]
        self._applied = reply.sequence
        # A late reply of the leader also settles the request to another node that followed.
        self._awaiting_reply = False
        self._target = sender
        effects = [*self._handle_leader_reply(sender), *self._apply_reply(reply, sent_ms)]
        poll_now = self._poll_after_reply or reply.version > self.version
        self._next_request_ms = now_ms if poll_now else now_ms + self._poll_interval_ms
        self._poll_after_reply = False
        if not awaited:
            effects.append(Count("control_replies_late"))
        return effects

    def _handle_leader_reply(self, leader: NodeId) -> list[Any]:
        self._unanswered = 0
        if not self._leader_lost:
            return []
        self._leader_lost = False
        return [Emit("control_found", detail=(("leader", leader),))]

    def _apply_reply(self, reply: FollowReply, sent_ms: float) -> list[Any]:
        """Apply what is new in the reply to a request that was sent at ``sent_ms``.

        A reply with another version than the held one confirms nothing.
        """
        effects: list[Any] = []
        if reply.version > self.version and reply.base_version in (0, self.version):
            base = self._document if reply.base_version else b""
            self._document = unpack(reply.document, base)
            self.version = reply.version
            effects.append(RoutesReceived(reply.version, self._document, reply.version_age_ms))
        if reply.version == self.version:
            self.confirmed_ms = max(self.confirmed_ms, sent_ms)
            if self.version >= self._heard_version:
                self.outdated_since_ms = math.inf
        if reply.instances is not None:
            self.instances_digest = reply.instances_digest
            effects.append(InstancesReceived(reply.instances))
        if reply.instances_digest and reply.instances_digest == self.instances_digest:
            age_ms = reply.instances_age_ms
            listed_ms = sent_ms - (ASSUMED_LIST_AGE_MS if age_ms is None else age_ms)
            effects.append(InstancesConfirmed(listed_ms, sent_ms))
        if reply.entries is not None:
            self.entries_digest = reply.entries_digest
            self._poll_interval_ms = poll_interval_ms(len(reply.entries))
            effects.append(EntriesReceived(reply.entries))
        self.blocked_digest = reply.blocked_digest
        effects.append(StreamVersionsReceived(reply.stream_versions, sent_ms))
        effects.append(UsageReplied(reply.usage, sent_ms))
        effects.append(WorkloadReceived(reply.workload))
        return effects

    def _handle_redirect(self, sender: NodeId, reply: FollowReply, now_ms: float) -> list[Any]:
        """Ask the named leader, or else another control node, after REDIRECT_DELAY_MS."""
        self._awaiting_reply = False
        if reply.leader is not None and reply.leader != sender:
            self._target = reply.leader
        else:
            self._target = self._other_control_node(sender)
        self._next_request_ms = now_ms + REDIRECT_DELAY_MS
        return self._count_unanswered()

    def _count_unanswered(self) -> list[Any]:
        self._unanswered += 1
        if self._leader_lost or self._unanswered < LOST_AFTER_UNANSWERED:
            return []
        self._leader_lost = True
        return [Emit("control_lost", detail=(("unanswered", self._unanswered),))]

    def _other_control_node(self, node: NodeId | None) -> NodeId | None:
        """Return a random control node other than ``node``, or ``node`` if there is no other."""
        known = list(dict.fromkeys((*self.replicas, *self.seeds)))
        others = [candidate for candidate in known if candidate != node]
        return self.rng.choice(others) if others else node

    def _record_request(self, now_ms: float) -> None:
        """Record a request that is sent now, and drop the oldest ones."""
        self._open_ms[self._sequence] = now_ms
        while len(self._open_ms) > MAX_OPEN_REQUESTS:
            del self._open_ms[next(iter(self._open_ms))]

    def _send_due_request(self, now_ms: float) -> list[Any]:
        effects: list[Any] = []
        if self._awaiting_reply and now_ms >= self._sent_ms + REPLY_TIMEOUT_MS:
            self._awaiting_reply = False
            self._target = self._other_control_node(self._target)
            self._next_request_ms = now_ms
            effects += self._count_unanswered()
        if self._awaiting_reply or now_ms < self._next_request_ms:
            return effects
        if self._target is None:
            self._target = self._other_control_node(None)
        if self._target is None:
            self._next_request_ms = now_ms + POLL_INTERVAL_MS
            return effects
        self._sequence += 1
        self._sent_ms = now_ms
        self._record_request(now_ms)
        self._awaiting_reply = True
        self._poll_after_reply = False
        request = FollowRequest(
            self._sequence,
            self.status,
            self.version,
            self.instances_digest,
            self.entries_digest,
            self.workload(now_ms),
            self.usage(),
        )
        return [*effects, Send(self._target, request)]
