"""Simulation of entry nodes that spend a retry budget together, through faults of nodes.

Each node learns of the others from a real publisher. The check counts, at the service, what arrives
from all nodes together.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field

from goldcrestridge_core.even_part import EvenPart
from goldcrestridge_core.follow_types import (
    EntriesReceived,
    EntryStatus,
    FollowReply,
    StatusChanged,
    WorkloadReceived,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_core.versions import VersionedDocument
from goldcrestridge_core.window_budget import WindowBudget

LEADERS = (NodeId("leader0"), NodeId("leader1"))
SHARE, EXTRA, WINDOW_MS = 0.2, 62.0, 10_000.0
SERVICE = "s"
# Distance of the windows that are checked.
CHECK_STEP_MS = 50.0


def within(times: list[float], start_ms: float, end_ms: float) -> int:
    """Return how many of the sorted times lie in the window (start_ms, end_ms]."""
    return bisect_left(times, end_ms + 1e-6) - bisect_left(times, start_ms + 1e-6)


def excess(
    requests: list[float], retries: list[float], share: float, extra: float, window_ms: float
) -> float:
    """Return by how much the retries exceed the bound in the worst sliding window.

    The requests of a window are those of it, of the window before or of the one half a window
    before, whichever has most.
    """
    requests, retries = sorted(requests), sorted(retries)
    worst = -extra
    if not retries:
        return worst
    end_ms = retries[0]
    while end_ms <= retries[-1] + window_ms:
        counted = max(
            within(requests, end_ms - back - window_ms, end_ms - back)
            for back in (0.0, window_ms / 2.0, window_ms)
        )
        arrived = within(retries, end_ms - window_ms, end_ms)
        worst = max(worst, arrived - share * counted - extra)
        end_ms += CHECK_STEP_MS
    return worst


@define(eq=False)
class Entry:
    """One process of an entry node; a restart replaces it."""

    node: NodeId
    follower: Follower
    part: EvenPart
    budget: WindowBudget
    ends_ms: float = float("inf")


@define
class BudgetFleet:
    """Entry nodes that retry as many requests as their budgets cover."""

    seed: int
    size: int
    now_ms: float = 0.0
    # Share of the steps in which a node has requests that it could retry.
    eagerness: float = 1.0
    rate_per_s: float = 3.0  # Requests at each entry node.
    requests: list[float] = field(factory=list)
    retries: list[float] = field(factory=list)
    cut: set[NodeId] = field(factory=set)
    entries: dict[NodeId, Entry] = field(factory=dict)
    rng: random.Random = field(init=False)
    _leader: int = 0
    _publisher: Publisher = field(init=False)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Any = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._publisher = self._new_publisher()
        for number in range(self.size):
            self.start(NodeId(f"e{number}"))

    def _new_publisher(self) -> Publisher:
        document = VersionedDocument(1, b"1")
        leader = LEADERS[self._leader]
        return Publisher(lambda _now_ms: Leadership(True, leader, LEADERS, document))

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call a function after a time."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self, duration_ms: float) -> None:
        """Advance the time."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    # Faults and planned changes.

    def start(self, node: NodeId) -> None:
        """Start a node, or start it again without what it knew."""
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        follower = Follower(status, LEADERS, random.Random(self.rng.getrandbits(32)))
        part = EvenPart(WINDOW_MS)
        budget = WindowBudget(SHARE, EXTRA, WINDOW_MS, part.share)
        entry = self.entries[node] = Entry(node, follower, part, budget)
        self.at(self.rng.uniform(0.0, 200.0), lambda: self._post(entry, Tick()))
        self._schedule_request(entry)

    def kill(self, node: NodeId, down_ms: float) -> None:
        """End a process, and start the node again after a time."""
        self.entries.pop(node)
        self.at(down_ms, lambda: self.start(node))

    def remove(self, node: NodeId, grace_ms: float) -> None:
        """Drain a node: it accepts no callers, and serves those that it has for a while."""
        entry = self.entries[node]
        self._post(entry, StatusChanged(accepting=False))
        entry.ends_ms = self.now_ms + grace_ms

    def cut_off(self, node: NodeId, for_ms: float) -> None:
        """Cut a node off from the control nodes, but not from callers and upstreams."""
        self.cut.add(node)
        self.at(for_ms, lambda: self.cut.discard(node))

    def change_leader(self) -> None:
        """Let another control node lead, which knows no entry node yet."""
        self._leader = 1 - self._leader
        self._publisher = self._new_publisher()

    # Messages between an entry node and the leader.

    def _is_current(self, entry: Entry) -> bool:
        return self.entries.get(entry.node) is entry and self.now_ms < entry.ends_ms

    def _post(self, entry: Entry, event: Any) -> None:
        if not self._is_current(entry):
            return
        for effect in entry.follower.handle(event, self.now_ms):
            if isinstance(effect, Send):
                self.at(self.rng.uniform(0.5, 2.0), partial(self._ask, entry, effect))
            elif isinstance(effect, EntriesReceived):
                apply_entries(entry, effect, self.now_ms)
            elif isinstance(effect, WorkloadReceived):
                apply_reply(entry, self.now_ms)
        due_ms = entry.follower.next_deadline_ms()
        if due_ms is not None:
            self.at(max(0.0, due_ms - self.now_ms), partial(self._tick, entry, due_ms))

    def _tick(self, entry: Entry, due_ms: float) -> None:
        if entry.follower.next_deadline_ms() == due_ms:
            self._post(entry, Tick())

    def _ask(self, entry: Entry, effect: Send) -> None:
        if entry.node in self.cut or not self._is_current(entry):
            return
        leader = LEADERS[self._leader]
        if effect.to != leader:
            reply = FollowReply(effect.message.sequence, False, leader)
            self.at(1.0, lambda: self._post(entry, Receive(effect.to, reply)))
            return
        for answer in self._publisher.handle(Receive(entry.node, effect.message), self.now_ms):
            if isinstance(answer, Send):
                self.at(self.rng.uniform(0.5, 2.0), partial(self._deliver, leader, answer))

    def _deliver(self, leader: NodeId, answer: Send) -> None:
        entry = self.entries.get(answer.to)
        if entry is not None and answer.to not in self.cut:
            self._post(entry, Receive(leader, answer.message))

    # Requests and their retries.

    def _schedule_request(self, entry: Entry) -> None:
        self.at(self.rng.expovariate(self.rate_per_s) * 1_000.0, partial(self._serve, entry))

    def _serve(self, entry: Entry) -> None:
        """Serve one request, and retry it as often as one request may be."""
        if not self._is_current(entry):
            return
        self.requests.append(self.now_ms)
        entry.budget.record_request(SERVICE, self.now_ms)
        if self.rng.random() < self.eagerness:
            for _ in range(3):
                if entry.budget.spend(SERVICE, self.now_ms):
                    delay_ms = self.rng.choice([0.0, 1.0, 50.0, 400.0])
                    self.at(delay_ms * self.rng.random(), self._arrive)
                    # The node learns of the arrival when the upstream answers.
                    self.at(delay_ms + self.rng.random(), partial(self._settle, entry))
        self._schedule_request(entry)

    def _arrive(self) -> None:
        self.retries.append(self.now_ms)

    def _settle(self, entry: Entry) -> None:
        entry.budget.settle(SERVICE, True, self.now_ms)

    def excess(self) -> float:
        """Return by how much all nodes together exceeded the bound in the worst window."""
        return excess(self.requests, self.retries, SHARE, EXTRA, WINDOW_MS)

    def largest_window(self) -> int:
        """Return the most retries in any window."""
        times = sorted(self.retries)
        return max((within(times, at_ms - WINDOW_MS, at_ms) for at_ms in times), default=0)


def apply_entries(entry: Entry, effect: EntriesReceived, now_ms: float) -> None:
    """Hand the list of entry nodes to the budget of one of them."""
    listed = any(status.node == entry.node for status in effect.entries)
    entry.part.set_entries(len(effect.entries), listed, now_ms)


def apply_reply(entry: Entry, now_ms: float) -> None:
    """Tell the budget of an entry node that the leader has answered."""
    entry.part.confirm(entry.follower.confirmed_ms, now_ms)
