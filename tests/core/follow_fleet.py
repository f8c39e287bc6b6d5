"""Simulation of entry nodes that follow a control leader, through a real publisher."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from attrs import define, field

from goldcrestridge_core.follow_types import FollowReply
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_core.versions import VersionedDocument

LEADERS = (NodeId("leader0"), NodeId("leader1"))


class Following(Protocol):
    """One process of an entry node."""

    node: NodeId
    follower: Follower


@define
class FollowFleet:
    """Time, messages and the leader; ``apply`` gets the effects of a follower but its messages.

    Nodes in ``cut`` have lost contact with the control nodes. ``is_current`` tells whether a
    process still runs.
    """

    rng: random.Random
    find: Callable[[NodeId], Any]
    is_current: Callable[[Any], bool]
    apply: Callable[[Any, Any], None]
    now_ms: float = 0.0
    cut: set[NodeId] = field(factory=set)
    leader: int = 0
    publisher: Publisher = field(init=False)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Any = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.publisher = self._new_publisher()

    def _new_publisher(self) -> Publisher:
        document = VersionedDocument(1, b"1")
        leader = LEADERS[self.leader]
        return Publisher(lambda _now_ms: Leadership(True, leader, LEADERS, document))

    def next_number(self) -> int:
        """Return a number that no other call returns."""
        number: int = next(self._numbers)
        return number

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

    def change_leader(self) -> None:
        """Let another control node lead, which knows nothing yet."""
        self.leader = 1 - self.leader
        self.publisher = self._new_publisher()

    def post(self, entry: Following, event: Any) -> None:
        """Hand an event to the follower of a process."""
        if not self.is_current(entry):
            return
        for effect in entry.follower.handle(event, self.now_ms):
            if isinstance(effect, Send):
                self.at(self.rng.uniform(0.5, 2.0), partial(self._ask, entry, effect))
            else:
                self.apply(entry, effect)
        due_ms = entry.follower.next_deadline_ms()
        if due_ms is not None:
            self.at(max(0.0, due_ms - self.now_ms), partial(self._tick, entry, due_ms))

    def _tick(self, entry: Following, due_ms: float) -> None:
        if entry.follower.next_deadline_ms() == due_ms:
            self.post(entry, Tick())

    def _ask(self, entry: Following, effect: Send) -> None:
        if entry.node in self.cut or not self.is_current(entry):
            return
        leader = LEADERS[self.leader]
        if effect.to != leader:
            reply = FollowReply(effect.message.sequence, False, leader)
            self.at(1.0, lambda: self.post(entry, Receive(effect.to, reply)))
            return
        for answer in self.publisher.handle(Receive(entry.node, effect.message), self.now_ms):
            if isinstance(answer, Send):
                self.at(self.rng.uniform(0.5, 2.0), partial(self._deliver, leader, answer))

    def _deliver(self, leader: NodeId, answer: Send) -> None:
        entry = self.find(answer.to)
        if entry is not None and answer.to not in self.cut:
            self.post(entry, Receive(leader, answer.message))
