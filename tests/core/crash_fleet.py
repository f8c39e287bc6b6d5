"""Simulation of entry nodes in front of upstreams that crash under a part of a prompt."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from attrs import define, field
from tests.core.follow_fleet import LEADERS, FollowFleet

from goldcrestridge_core.follow_types import (
    EntryStatus,
    ReportDue,
    Workload,
    WorkloadReceived,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.prompt_crashes import PromptCrashes
from goldcrestridge_core.types import NodeId, Tick

MAX_CRASHES = 5
ALLOWED_AFTER = 3


@define
class Upstream:
    """One run of an upstream with the requests that wait or run on it."""

    run: str
    waiting: list[tuple[Entry, tuple[str, ...], bool, float]] = field(factory=list)
    down: bool = False


@define(eq=False)
class Entry:
    """One entry node; a restart replaces it."""

    node: NodeId
    follower: Follower
    crashes: PromptCrashes


@define
class CrashFleet:
    """Entry nodes that share what they know through a control leader.

    ``contact_ms`` is the time within which all nodes in contact must have heard of a crash.
    """

    seed: int
    size: int
    contact_ms: float = 3_000.0
    max_crashes: int = MAX_CRASHES
    upstream_count: int = 5
    restart_ms: float = 3_000.0
    crash_times: list[float] = field(factory=list)
    late_arrivals: int = 0
    refused: list[tuple[float, tuple[str, ...]]] = field(factory=list)
    begun: list[tuple[float, tuple[str, ...]]] = field(factory=list)
    excused: set[NodeId] = field(factory=set)
    entries: dict[NodeId, Entry] = field(factory=dict)
    net: FollowFleet = field(init=False)
    upstreams: list[Upstream] = field(factory=list)
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = FollowFleet(self.rng, self.entries.get, self._is_current, self._apply)
        for number in range(self.size):
            self.restart(NodeId(f"e{number}"))
        self.upstreams = [self._new_upstream() for _ in range(self.upstream_count)]

    def _new_upstream(self) -> Upstream:
        return Upstream(f"run{self.net.next_number()}")

    @property
    def now_ms(self) -> float:
        """Return the time of the simulation."""
        return self.net.now_ms

    @property
    def cut(self) -> set[NodeId]:
        """Return the nodes that have lost contact with the control nodes."""
        return self.net.cut

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call a function after a time."""
        self.net.at(delay_ms, action)

    def run(self, duration_ms: float) -> None:
        """Advance the time."""
        self.net.run(duration_ms)

    def change_leader(self) -> None:
        """Let another control node lead, which knows nothing yet."""
        self.net.change_leader()

    # Nodes.

    def restart(self, node: NodeId) -> None:
        """Start a node, or start it again without what it knew."""
        crashes = PromptCrashes()
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        follower = Follower(
            status,
            LEADERS,
            random.Random(self.rng.getrandbits(32)),
            lambda now_ms: crashes.add_report(Workload(), now_ms),
        )
        entry = self.entries[node] = Entry(node, follower, crashes)
        self.at(self.rng.uniform(0.0, 500.0), lambda: self.net.post(entry, Tick()))

    def _is_current(self, entry: Entry) -> bool:
        return self.entries[entry.node] is entry

    def _apply(self, entry: Entry, effect: Any) -> None:
        if isinstance(effect, WorkloadReceived):
            entry.crashes.merge_reply(effect.workload, self.now_ms)

    # Requests.

    def send(self, parts: tuple[str, ...], crashing: bool, attempts: int = 2) -> None:
        """Send a request at a random entry node."""
        self._try(self.entries[self.rng.choice(list(self.entries))], parts, crashing, attempts)

    def _try(self, entry: Entry, parts: tuple[str, ...], crashing: bool, attempts: int) -> None:
        if entry.crashes.blocked_by(parts, self.now_ms) is not None:
            self.refused.append((self.now_ms, parts))
            return
        up = [upstream for upstream in self.upstreams if not upstream.down]
        if not up:
            return
        upstream = self.rng.choice(up)
        if crashing and self._is_late() and entry.node not in self.excused:
            self.late_arrivals += 1
        item = (entry, parts, crashing, self.now_ms)
        upstream.waiting.append(item)
        # The request waits and is read, then its answer begins.
        self.at(self.rng.choice([10.0, 60.0, 200.0]), lambda: self._begin(upstream, item, attempts))

    def _is_late(self) -> bool:
        if len(self.crash_times) < self.max_crashes:
            return False
        return self.now_ms > self.crash_times[self.max_crashes - 1] + self.contact_ms

    def _begin(self, upstream: Upstream, item: Any, attempts: int) -> None:
        entry, parts, crashing, _ = item
        if upstream.down or item not in upstream.waiting:
            return
        if entry.crashes.blocked_by(parts, self.now_ms) is not None:
            upstream.waiting.remove(item)  # The node has cancelled it.
            return
        if crashing:
            self.crash_times.append(self.now_ms)
            self.crash(upstream, attempts)
            return
        upstream.waiting.remove(item)
        self.begun.append((self.now_ms, parts))
        began_ms = self.now_ms
        self.at(500.0, lambda: entry.crashes.record_answer(parts, began_ms))

    def crash(self, upstream: Upstream, attempts: int = 1) -> None:
        """End a run; the nodes see it, and the upstream comes back as another run."""
        upstream.down = True
        for entry, parts, crashing, began_ms in upstream.waiting:
            if self.entries[entry.node] is not entry:
                continue
            entry.crashes.record_crash(upstream.run, parts, self.now_ms, began_ms)
            self.net.post(entry, ReportDue())
            if attempts > 1 and entry.crashes.may_retry(parts, self.now_ms):
                self._try(entry, parts, crashing, attempts - 1)
        upstream.waiting.clear()
        self.at(self.restart_ms, lambda: self._replace(upstream))

    def _replace(self, upstream: Upstream) -> None:
        self.upstreams[self.upstreams.index(upstream)] = self._new_upstream()

    def share_begun(self, part: str, since_ms: float) -> float:
        """Return the share of the decided requests with a part that began since a time."""
        begun = sum(part in parts for at_ms, parts in self.begun if at_ms >= since_ms)
        refused = sum(part in parts for at_ms, parts in self.refused if at_ms >= since_ms)
        return begun / max(1, begun + refused)
