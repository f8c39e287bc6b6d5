"""Tests of how soon entry nodes go by a new version, while the leader or the entry is slow."""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from attrs import Factory, define, field

from goldcrestridge_core.deltas import pack
from goldcrestridge_core.follow_types import (
    EntryStatus,
    FollowHint,
    FollowReply,
    FollowRequest,
    InstanceLoad,
    NamedLimit,
    ServiceWork,
    Workload,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_core.versions import VersionedDocument

LEADER, OTHER, GONE = map(NodeId, ("leader:1", "other:1", "gone:1"))
# Every node in contact handles requests by an accepted version within this time.
IN_FORCE_MS = 2_500.0
LINK_MS = 1.0
# Processor time of one Python call on a small VM, which two processes share.
CALL_MS = 0.0005


def count_calls(function: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of a function and how many Python functions it called."""
    calls = 0

    def trace(_frame: Any, event: str, _argument: Any) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(trace)
    try:
        result = function()
    finally:
        sys.setprofile(None)
    return result, calls


@define
class Fleet:
    """Entry nodes, a leader that handles one message after the other, and another control node.

    ``leader_ms`` returns the time that the leader takes for a message, given its Python calls. Each
    entry handles what it received, and its timers, only every ``entry_step_ms`` if that is set; its
    timers go first.
    """

    size: int
    leader_ms: Callable[[int], float]
    workload: Workload = field(factory=Workload)
    entry_step_ms: float = 0.0
    now_ms: float = 0.0
    document: VersionedDocument = Factory(lambda: VersionedDocument(1, b"1"))
    publisher: Publisher = field(init=False)
    followers: dict[NodeId, Follower] = field(factory=dict)
    in_force_ms: dict[NodeId, float] = field(factory=dict)
    _leader_busy: bool = False
    _leader_inbox: deque[Any] = field(factory=deque)
    _inboxes: dict[NodeId, list[Any]] = field(factory=dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Any = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.publisher = Publisher(
            lambda _now_ms: Leadership(True, LEADER, (LEADER, OTHER), self.document)
        )
        for number in range(self.size):
            node = NodeId(f"e{number}:2")
            status = EntryStatus(node, f"{node}0", "dc", accepting=True)
            self.followers[node] = Follower(
                status, (LEADER, OTHER), random.Random(number), lambda _now_ms: self.workload
            )
            self._inboxes[node] = []
            self._at(number * 900.0 / self.size, partial(self._wake, node))

    def _at(self, time_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (max(time_ms, self.now_ms), next(self._numbers), action))

    def run(self, duration_ms: float) -> None:
        """Advance the time."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def accept(self, version: int) -> None:
        """Store a new version at the leader, which then hints at it."""
        self.document = VersionedDocument(version, b"%d" % version)
        self._receive_at_leader(Tick())

    def _wake(self, node: NodeId) -> None:
        """Let an entry handle its timers and what it received."""
        follower = self.followers[node]
        due_ms = follower.next_deadline_ms()
        events = [Tick()] if due_ms is not None and due_ms <= self.now_ms else []
        events += self._inboxes[node]
        self._inboxes[node] = []
        for event in events:
            for effect in follower.handle(event, self.now_ms):
                if isinstance(effect, Send):
                    self._send(node, effect)
        if follower.version == self.document.version:
            self.in_force_ms.setdefault(node, self.now_ms)
        due_ms = follower.next_deadline_ms()
        next_ms = self.now_ms + 20.0 if due_ms is None else due_ms
        if self.entry_step_ms:
            next_ms = self.now_ms + self.entry_step_ms
        self._at(next_ms, lambda: self._wake_if_due(node))

    def _wake_if_due(self, node: NodeId) -> None:
        due_ms = self.followers[node].next_deadline_ms()
        if self.entry_step_ms or (due_ms is not None and due_ms <= self.now_ms):
            self._wake(node)

    def _send(self, node: NodeId, effect: Send) -> None:
        received = Receive(node, effect.message)
        if effect.to == LEADER:
            self._at(self.now_ms + LINK_MS, lambda: self._receive_at_leader(received))
        elif effect.to == OTHER:
            reply = FollowReply(effect.message.sequence, False, LEADER)
            self._deliver(node, Receive(OTHER, reply), 2 * LINK_MS)

    def _receive_at_leader(self, event: Any) -> None:
        self._leader_inbox.append(event)
        if not self._leader_busy:
            self._handle_at_leader()

    def _handle_at_leader(self) -> None:
        """Handle the next message, if there is one, and deliver the effects at its end."""
        self._leader_busy = bool(self._leader_inbox)
        if not self._leader_busy:
            return
        event = self._leader_inbox.popleft()
        effects, calls = count_calls(lambda: self.publisher.handle(event, self.now_ms))
        took_ms = self.leader_ms(calls)
        self._at(self.now_ms + took_ms, self._handle_at_leader)
        for effect in effects:
            if isinstance(effect, Send):
                self._deliver(effect.to, Receive(LEADER, effect.message), took_ms + LINK_MS)

    def _deliver(self, node: NodeId, event: Any, delay_ms: float) -> None:
        def deliver() -> None:
            self._inboxes[node].append(event)
            if not self.entry_step_ms:
                self._wake(node)

        self._at(self.now_ms + delay_ms, deliver)

    def slowest_ms(self, accepted_ms: float) -> float:
        """Return after which time the last entry went by the newest version, or infinity."""
        if len(self.in_force_ms) < self.size:
            return float("inf")
        return max(self.in_force_ms.values()) - accepted_ms


def accepted_while(fleet: Fleet) -> float:
    """Let a fleet run, accept a version, and return how long the slowest entry took."""
    fleet.run(3_000.0)
    fleet.in_force_ms.clear()
    accepted_ms = fleet.now_ms
    fleet.accept(2)
    fleet.run(IN_FORCE_MS)
    return fleet.slowest_ms(accepted_ms)


@pytest.mark.parametrize("limits", [0, 20, 70])
def test_a_version_is_in_force_in_time_while_all_upstreams_name_limits(limits: int) -> None:
    # Guards against a leader whose work for each poll grows with all that all entries report.
    workload = Workload(
        tuple(InstanceLoad(f"i-{number}", 1) for number in range(10)),
        (ServiceWork("s", 100.0, 200.0, 1.0),),
        tuple(NamedLimit(f"i-{number}", 5.0, 120.0, 100.0) for number in range(limits)),
    )
    fleet = Fleet(95, lambda calls: calls * CALL_MS, workload)
    assert accepted_while(fleet) <= IN_FORCE_MS


@pytest.mark.parametrize("leader_ms", [5.0, 40.0, 60.0])
def test_a_version_is_in_force_in_time_while_the_leader_answers_slowly(leader_ms: float) -> None:
    # Guards against entries that drop the replies of a busy leader and ask again and again.
    fleet = Fleet(12, lambda _calls: leader_ms)
    assert accepted_while(fleet) <= IN_FORCE_MS


@pytest.mark.parametrize("step_ms", [50.0, 360.0, 700.0])
def test_a_version_is_in_force_in_time_at_entries_that_are_busy(step_ms: float) -> None:
    # Guards against a reply that waits at a busy entry until its timer runs out, and is dropped.
    fleet = Fleet(12, lambda _calls: 1.0, entry_step_ms=step_ms)
    assert accepted_while(fleet) <= IN_FORCE_MS


def follower_of(*control: NodeId, seed: int = 1) -> Follower:
    status = EntryStatus(NodeId("e:2"), "e:80", "dc", accepting=True)
    return Follower(status, control, random.Random(seed))


def requests_in(effects: list[Any]) -> list[tuple[NodeId, FollowRequest]]:
    return [
        (effect.to, effect.message)
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, FollowRequest)
    ]


def test_a_hint_is_followed_at_once_while_a_lost_node_is_asked() -> None:
    # Guards against waiting for nodes that are gone while the leader has said that it leads.
    follower = follower_of(GONE)
    assert [to for to, _ in requests_in(follower.handle(Tick(), 0.0))] == [GONE]
    hint = Receive(LEADER, FollowHint(2, "", ""))
    assert [to for to, _ in requests_in(follower.handle(hint, 10.0))] == [LEADER]


def test_a_node_knows_since_when_it_lacks_a_version_that_it_has_heard_of() -> None:
    # Guards against a node that goes on by routes that it knows to be replaced.
    follower = follower_of(LEADER)
    ((_, request),) = requests_in(follower.handle(Tick(), 0.0))
    follower.handle(Receive(LEADER, FollowHint(2, "", "")), 10.0)
    follower.handle(Receive(LEADER, FollowHint(3, "", "")), 700.0)
    old = FollowReply(request.sequence, True, version=0)
    follower.handle(Receive(LEADER, old), 710.0)
    assert follower.outdated_since_ms == 10.0
    ((_, request),) = requests_in(follower.handle(Tick(), 2_500.0))
    new = FollowReply(request.sequence, True, version=3, document=pack(b"three"))
    follower.handle(Receive(LEADER, new), 2_510.0)
    assert (follower.version, follower.outdated_since_ms) == (3, float("inf"))


def test_a_difference_to_another_version_is_asked_for_again_at_once() -> None:
    # Guards against a wait of a whole interval after replies that overtook each other.
    follower = follower_of(LEADER)
    ((_, request),) = requests_in(follower.handle(Tick(), 0.0))
    reply = FollowReply(request.sequence, True, version=9, base_version=7, document=b"x")
    assert requests_in(follower.handle(Receive(LEADER, reply), 5.0))


def test_a_late_reply_confirms_the_time_of_its_own_request() -> None:
    # Guards against a lease that begins later than the leader was known to lead.
    follower = follower_of(LEADER, OTHER)
    ((_, first),) = requests_in(follower.handle(Tick(), 0.0))
    ((_, second),) = requests_in(follower.handle(Tick(), 400.0))
    follower.handle(Receive(LEADER, FollowReply(first.sequence, True)), 410.0)
    assert follower.confirmed_ms == 0.0
    follower.handle(Receive(LEADER, FollowReply(second.sequence, True)), 420.0)
    assert follower.confirmed_ms == 400.0
    follower.handle(Receive(LEADER, FollowReply(first.sequence, True)), 430.0)
    assert follower.confirmed_ms == 400.0


def test_a_reply_to_the_process_before_confirms_nothing() -> None:
    # Guards against a restarted node that takes a reply to its former process for its own.
    first, second = follower_of(LEADER), follower_of(LEADER, seed=2)
    ((_, request),) = requests_in(first.handle(Tick(), 0.0))
    second.handle(Tick(), 5_000.0)
    second.handle(Receive(LEADER, FollowReply(request.sequence, True)), 5_001.0)
    assert second.confirmed_ms < 0.0
