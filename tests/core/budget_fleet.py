"""Simulation of entry nodes that spend a retry budget together, through faults of nodes.

Each node learns of the others from a real publisher. The check counts, at the service, what arrives
from all nodes together.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from functools import partial
from typing import Any

from attrs import define, field
from tests.core.follow_fleet import LEADERS, FollowFleet

from goldcrestridge_core.even_part import EvenPart
from goldcrestridge_core.follow_types import (
    EntriesReceived,
    EntryStatus,
    StatusChanged,
    WorkloadReceived,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.types import NodeId, Tick
from goldcrestridge_core.window_budget import WindowBudget

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
    # Share of the steps in which a node has requests that it could retry.
    eagerness: float = 1.0
    rate_per_s: float = 3.0  # Requests at each entry node.
    requests: list[float] = field(factory=list)
    retries: list[float] = field(factory=list)
    entries: dict[NodeId, Entry] = field(factory=dict)
    rng: random.Random = field(init=False)
    net: FollowFleet = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = FollowFleet(self.rng, self.entries.get, self._is_current, self._apply)
        for number in range(self.size):
            self.start(NodeId(f"e{number}"))

    @property
    def now_ms(self) -> float:
        """Return the time of the simulation."""
        return self.net.now_ms

    def run(self, duration_ms: float) -> None:
        """Advance the time."""
        self.net.run(duration_ms)

    # Faults and planned changes.

    def start(self, node: NodeId) -> None:
        """Start a node, or start it again without what it knew."""
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        follower = Follower(status, LEADERS, random.Random(self.rng.getrandbits(32)))
        part = EvenPart(WINDOW_MS)
        budget = WindowBudget(SHARE, EXTRA, WINDOW_MS, part.share)
        entry = self.entries[node] = Entry(node, follower, part, budget)
        self.net.at(self.rng.uniform(0.0, 200.0), lambda: self.net.post(entry, Tick()))
        self._schedule_request(entry)

    def kill(self, node: NodeId, down_ms: float) -> None:
        """End a process, and start the node again after a time."""
        self.entries.pop(node)
        self.net.at(down_ms, lambda: self.start(node))

    def remove(self, node: NodeId, grace_ms: float) -> None:
        """Drain a node: it accepts no callers, and serves those that it has for a while."""
        entry = self.entries[node]
        self.net.post(entry, StatusChanged(accepting=False))
        entry.ends_ms = self.now_ms + grace_ms

    def cut_off(self, node: NodeId, for_ms: float) -> None:
        """Cut a node off from the control nodes, but not from callers and upstreams."""
        self.net.cut.add(node)
        self.net.at(for_ms, lambda: self.net.cut.discard(node))

    def _is_current(self, entry: Entry) -> bool:
        return self.entries.get(entry.node) is entry and self.now_ms < entry.ends_ms

    def _apply(self, entry: Entry, effect: Any) -> None:
        """Hand the list of entry nodes, and the leader's answer, to the part of a node."""
        if isinstance(effect, EntriesReceived):
            listed = any(status.node == entry.node for status in effect.entries)
            entry.part.set_entries(len(effect.entries), listed, self.now_ms)
        elif isinstance(effect, WorkloadReceived):
            entry.part.confirm(entry.follower.confirmed_ms, self.now_ms)

    # Requests and their retries.

    def _schedule_request(self, entry: Entry) -> None:
        self.net.at(self.rng.expovariate(self.rate_per_s) * 1_000.0, partial(self._serve, entry))

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
                    self.net.at(delay_ms * self.rng.random(), self._arrive)
                    # The node learns of the arrival when the upstream answers.
                    self.net.at(delay_ms + self.rng.random(), partial(self._settle, entry))
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
