"""Tests of the permits for rate-limited instances: one owner's ledger, and the sum over nodes."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import Any

import pytest
from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.follow_types import NamedLimit
from goldcrestridge_core.permits import (
    FLOOR_SHARE,
    OWNER_LEASE_MS,
    REPLY_TIMEOUT_MS,
    PermitDecided,
    PermitLedger,
    Permits,
    SeekPermit,
)
from goldcrestridge_core.rate_limits import RateLimits
from goldcrestridge_core.rates import MIN_REQUESTS_PER_SECOND, RequestBucket
from goldcrestridge_core.rendezvous import rank
from goldcrestridge_core.types import NodeId, Receive, Send, Tick

INSTANCE = "i"
POLL_MS = 500.0
# The control leader drops a silent entry node from the list after this time.
UNLISTED_MS = 2_500.0
# The rule of the platform: requests in a window beyond which an instance is overloaded.
WINDOW_MS = 4_000.0


def allowed(per_second: float) -> float:
    """Return the requests that the platform allows in a window."""
    return 1.5 * per_second * WINDOW_MS / 1_000.0 + 5.0


def most_in_a_window(times: list[float]) -> int:
    """Return the largest number of times within a window."""
    return max((sum(at <= t < at + WINDOW_MS for t in times) for at in times), default=0)


@define(eq=False)
class Net:
    """Entry nodes with delayed and lost messages, polls of a control leader, and faults.

    Messages to and from the nodes in ``cut`` are lost, also their polls. A node in ``frozen``
    handles what it received once it is no longer frozen.
    """

    seed: int
    count: int
    per_second: float
    loss: float = 0.0
    now_ms: float = 0.0
    granted: list[tuple[float, NodeId]] = field(factory=list)
    refused: list[PermitDecided] = field(factory=list)
    cut: set[NodeId] = field(factory=set)
    frozen: set[NodeId] = field(factory=set)
    roles: dict[NodeId, Permits] = field(factory=dict)
    _confirmed_ms: dict[NodeId, float] = field(factory=dict)
    _contact_ms: dict[NodeId, float] = field(factory=dict)
    _events: list[tuple[float, int, NodeId, Any]] = field(factory=list)
    _order: Any = field(factory=itertools.count)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for node in self.nodes:
            self.restart(node)
            self._contact_ms[node] = 0.0
            self._schedule(self._rng.uniform(0.0, POLL_MS), node, "poll")
        for node in self.nodes:
            self._post(node, EntriesChanged(self.nodes))

    @property
    def nodes(self) -> tuple[NodeId, ...]:
        return tuple(NodeId(f"e{number}") for number in range(self.count))

    @property
    def owner(self) -> NodeId:
        return rank(INSTANCE, self.nodes)[0]

    def restart(self, node: NodeId) -> None:
        """Start a node anew; an answer has told it the limit, but it knows no other node."""
        self._confirmed_ms[node] = float("-inf")
        limits = RateLimits()
        limits.observe(INSTANCE, self.per_second, self.now_ms, self.now_ms)
        self.roles[node] = Permits(node, limits, lambda: self._confirmed_ms[node])

    def request(self, node: NodeId, priority: int = 1) -> None:
        """Ask for a permit for a request at a node."""
        ticket = f"t{next(self._order)}"
        self._handle(node, SeekPermit(ticket, INSTANCE, priority))

    def run_until(self, until_ms: float) -> None:
        """Deliver what is due, and answer the timers of the nodes."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, node, event = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            self._handle(node, event)
        self.now_ms = until_ms

    def load(self, seconds: float, rate: float) -> None:
        """Ask for permits at random nodes with ``rate`` requests a second."""
        end_ms = self.now_ms + 1_000.0 * seconds
        while self.now_ms < end_ms:
            self.run_until(self.now_ms + 1_000.0 * self._rng.expovariate(rate))
            self.request(self._rng.choice(self.nodes))

    def times(self) -> list[float]:
        return [at_ms for at_ms, _ in self.granted]

    def _schedule(self, at_ms: float, node: NodeId, event: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), node, event))

    def _handle(self, node: NodeId, event: Any) -> None:
        if node in self.frozen:
            self._schedule(self.now_ms + 50.0, node, event)
        elif event == "poll":
            self._poll(node)
        else:
            self._post(node, event)

    def _poll(self, node: NodeId) -> None:
        self._schedule(self.now_ms + POLL_MS, node, "poll")
        if node in self.cut:
            return
        self._contact_ms[node] = self.now_ms
        self._confirmed_ms[node] = self.now_ms
        oldest_ms = self.now_ms - UNLISTED_MS
        listed = tuple(name for name in self.nodes if self._contact_ms[name] >= oldest_ms)
        self._post(node, EntriesChanged(listed))

    def _post(self, node: NodeId, event: Any) -> None:
        role = self.roles[node]
        for effect in role.handle(event, self.now_ms):
            if isinstance(effect, PermitDecided) and effect.granted:
                self.granted.append((self.now_ms, node))
            elif isinstance(effect, PermitDecided):
                self.refused.append(effect)
            elif isinstance(effect, Send) and not self._lost(node, effect.to):
                delay_ms = self._rng.uniform(0.5, 5.0)
                received = Receive(node, effect.message)
                self._schedule(self.now_ms + delay_ms, effect.to, received)
        deadline_ms = role.next_deadline_ms()
        if deadline_ms is not None:
            self._schedule(max(deadline_ms, self.now_ms), node, Tick())

    def _lost(self, source: NodeId, target: NodeId) -> bool:
        return source in self.cut or target in self.cut or self._rng.random() < self.loss


@pytest.mark.parametrize("per_second", [0.5, 1.0, 8.0, 60.0])
def test_all_nodes_together_use_a_limit_in_full_but_not_beyond(per_second: float) -> None:
    # Guards against a limit that each of 12 nodes obeys by itself, and against a limit below one
    # request a second for each node that is split over nodes without a request.
    net = Net(1, 12, per_second)
    net.load(20.0, 40.0)
    assert most_in_a_window(net.times()) <= 4.0 * per_second + 1.0 + 0.25 * per_second + 1.0
    assert len(net.granted) >= 0.5 * min(40.0, per_second) * 20.0
    if per_second >= 8.0:
        assert {node for _, node in net.granted} == set(net.nodes)


@settings(max_examples=25)
@given(
    st.integers(0, 10_000),
    st.sampled_from([1.0, 5.0, 30.0]),
    st.lists(
        st.tuples(
            st.sampled_from(["cut", "freeze", "restart", "cut owner", "restart owner"]),
            st.floats(100.0, 4_000.0),
        ),
        max_size=6,
    ),
)
def test_the_sum_stays_within_the_rule_while_nodes_are_cut_off_frozen_and_restarted(
    seed: int, per_second: float, faults: list[tuple[str, float]]
) -> None:
    # Guards against two owners that issue permits for one instance at the same time, against an
    # owner that begins with a burst, and against a node that sends without a permit.
    net = Net(seed, 6, per_second, loss=0.02)
    net.load(3.0, 60.0)
    for number, (fault, lasts_ms) in enumerate(faults):
        node = net.owner if "owner" in fault else net.nodes[(seed + number) % net.count]
        down = net.frozen if fault == "freeze" else net.cut
        down.add(node)
        net.load(lasts_ms / 1_000.0, 60.0)
        if "restart" in fault:
            net.restart(node)
        down.discard(node)
    net.load(4.0, 60.0)
    assert most_in_a_window(net.times()) <= allowed(per_second)


def test_a_node_that_is_cut_off_from_the_owner_sends_nothing_and_its_callers_are_told_at_once() -> (
    None
):
    # Guards against a partitioned node that goes on by itself, and against a caller that waits.
    net = Net(1, 3, 5.0)
    cut_off = next(node for node in net.nodes if node != net.owner)
    net.cut.add(cut_off)
    net.run_until(1_000.0)
    net.request(cut_off)
    net.run_until(1_000.0 + REPLY_TIMEOUT_MS)
    assert not net.granted
    assert [decided.granted for decided in net.refused] == [False]
    assert net.refused[0].retry_ms > 0.0


def test_an_owner_without_contact_to_the_control_leader_issues_no_permits() -> None:
    # Guards against a partitioned owner that goes on while the others have the next one.
    net = Net(1, 3, 5.0)
    owner = net.owner
    for at_ms in (4_000.0, 5_000.0):
        net.run_until(at_ms)
        net.request(owner)
    assert net.granted
    net.cut.add(owner)
    net.run_until(5_000.0 + OWNER_LEASE_MS + POLL_MS)
    net.granted.clear()
    net.request(owner)
    assert not net.granted
    net.run_until(20_000.0)
    others = [node for node in net.nodes if node != owner]
    for _ in range(10):
        net.request(others[0])
        net.run_until(net.now_ms + 500.0)
    assert net.granted


def test_permits_go_to_urgent_requests_first_and_the_others_keep_a_floor() -> None:
    # Guards against urgent requests that are refused while less urgent ones are sent, and against
    # a class that starves.
    ledger = PermitLedger(RequestBucket(0.0))
    granted: Counter[int] = Counter()
    for number in range(6_000):
        for priority in (2, 0):
            if ledger.take(2.0, priority, number * 100.0) is None:
                granted[priority] += 1
    assert granted[0] >= 0.8 * 1_200
    assert 0.5 * FLOOR_SHARE * 1_200 <= granted[2] <= 1.5 * FLOOR_SHARE * 1_200


def test_refused_callers_return_one_permit_after_the_other() -> None:
    # Guards against callers that all return at the moment of the next permit.
    ledger = PermitLedger(RequestBucket(0.0))
    waits = [ledger.take(2.0, 1, 10.0) for _ in range(5)]
    retries = [wait[1] for wait in waits if wait is not None]
    steps = [later - earlier for earlier, later in itertools.pairwise(retries)]
    assert len(retries) == 5
    assert steps == pytest.approx([500.0] * 4)


def test_the_permits_after_a_pause_are_bounded() -> None:
    # Guards against an idle time that is made up for by a burst.
    ledger = PermitLedger(RequestBucket(0.0))
    burst = sum(ledger.take(8.0, 1, 60_000.0) is None for _ in range(100))
    assert burst == 3


def test_a_limit_of_zero_still_lets_a_request_through_that_finds_out_its_end() -> None:
    # Guards against an instance that is never used again, since only an answer ends its limit.
    ledger = PermitLedger(RequestBucket(0.0))
    times = range(0, 60_000, 100)
    granted = sum(ledger.take(0.0, 1, float(at_ms)) is None for at_ms in times)
    assert granted == pytest.approx(60.0 * MIN_REQUESTS_PER_SECOND, abs=1.0)


def test_a_node_learns_from_the_owner_that_a_limit_has_ended() -> None:
    # Guards against a node that goes on to ask for permits because its own answer is older.
    net = Net(1, 3, 1.0)
    net.run_until(5_000.0)
    other = next(node for node in net.nodes if node != net.owner)
    net.roles[net.owner].limits.observe(INSTANCE, None, net.now_ms, net.now_ms)
    net.request(other)
    net.run_until(5_050.0)
    assert net.granted
    assert net.roles[other].limits.per_second(INSTANCE) is None


def test_the_owner_applies_the_limit_that_a_request_brings() -> None:
    # Guards against an owner that has seen no answer of the instance and issues permits freely.
    limits = RateLimits()
    node = NodeId("e0")
    role = Permits(node, limits, lambda: 0.0)
    role.handle(EntriesChanged((node,)), 0.0)
    limits.merge(NamedLimit(INSTANCE, 1.0, 20.0, 10.0), 0.0)
    decided = [
        effect
        for number in range(20)
        for effect in role.handle(SeekPermit(f"t{number}", INSTANCE, 1), 1_000.0)
        if isinstance(effect, PermitDecided)
    ]
    assert sum(item.granted for item in decided) <= 2


def test_a_refused_request_that_must_yield_is_told_when_it_gets_a_permit() -> None:
    # Guards against a caller that returns at the next permit, which goes to more urgent requests.
    ledger = PermitLedger(RequestBucket(0.0))
    assert ledger.take(100.0, 0, 0.0) is not None
    assert ledger.take(100.0, 1, 50.0) is None
    waits = ledger.take(100.0, 1, 60.0)
    assert waits is not None
    next_ms, retry_ms = waits
    assert next_ms == 0.0
    assert retry_ms == pytest.approx(1_000.0 / (FLOOR_SHARE * 100.0) - 10.0)
    assert ledger.take(100.0, 1, 60.0 + retry_ms) is None
