"""Small message carrier in virtual time for tests and measurements of the control roles."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from attrs import Factory, define, evolve

from goldcrestridge_core import codec
from goldcrestridge_core.membership import Membership
from goldcrestridge_core.spread import Spread
from goldcrestridge_core.types import (
    ConfigHint,
    Member,
    MemberState,
    NodeId,
    Receive,
    Send,
    Tick,
)


@define
class Host:
    """Compose roles on one node: every effect that is not a Send is an event for all roles.

    ``effects`` keeps (time, effect) of everything but Send.
    """

    node: NodeId
    roles: list[Any]
    effects: list[tuple[float, Any]] = Factory(list)
    skew_ms: float = 0.0

    def handle(self, event: Any, now_ms: float) -> list[Send]:
        """Give an event to the roles and return the messages to send."""
        sends: list[Send] = []
        pending = [event]
        local_ms = now_ms + self.skew_ms
        while pending:
            current = pending.pop(0)
            for role in self.roles:
                if isinstance(current, Tick) and not _due(role, local_ms):
                    continue
                for effect in role.handle(current, local_ms):
                    if isinstance(effect, Send):
                        sends.append(effect)
                    else:
                        self.effects.append((now_ms, effect))
                        pending.append(effect)
        return sends

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of the roles."""
        times = (role.next_deadline_ms() for role in self.roles)
        return min((t - self.skew_ms for t in times if t is not None), default=None)


def _due(role: Any, now_ms: float) -> bool:
    """Tell whether a role wants a Tick."""
    deadline = role.next_deadline_ms()
    return deadline is not None and deadline <= now_ms + 1e-6


@define
class Carrier:
    """Carry encoded messages with delay, loss, duplication and cut links.

    ``cut`` returns True if a message from the first to the second node vanishes. Delays are drawn
    for each message, so messages overtake each other. ``sent_bytes`` counts encoded bytes by
    sender, ``sent`` messages; ``on_step`` is called after each step with the virtual time.
    """

    rng: random.Random
    loss: float = 0.0
    duplicates: float = 0.0
    delay_ms: tuple[float, float] = (0.5, 5.0)
    cut: Callable[[NodeId, NodeId], bool] = lambda _sender, _to: False
    hosts: dict[NodeId, Host] = Factory(dict)
    now_ms: float = 1_000.0
    sent: dict[NodeId, int] = Factory(dict)
    sent_bytes: dict[NodeId, int] = Factory(dict)
    _queue: list[tuple[float, int, NodeId, NodeId, bytes]] = Factory(list)
    _timers: list[tuple[float, int, NodeId]] = Factory(list)
    _order: itertools.count[int] = Factory(itertools.count)

    def add(self, host: Host) -> None:
        """Start a node, or restart it with new roles."""
        self.hosts[host.node] = host
        self._arm(host)

    def remove(self, node: NodeId) -> None:
        """Crash a node; messages to it vanish."""
        self.hosts.pop(node, None)

    def inject(self, node: NodeId, event: Any) -> None:
        """Give an event to a node now."""
        self._deliver(self.hosts[node], event)

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for ``duration_ms`` or until the condition holds; return whether it held."""
        end_ms = self.now_ms + duration_ms
        while True:
            if until and until():
                return True
            time_ms = min(
                self._queue[0][0] if self._queue else end_ms,
                self._timers[0][0] if self._timers else end_ms,
            )
            if time_ms >= end_ms:
                self.now_ms = end_ms
                return bool(until and until())
            self.now_ms = max(self.now_ms, time_ms)
            self._step()

    def _step(self) -> None:
        """Deliver the next message or Tick."""
        if self._queue and (not self._timers or self._queue[0][0] <= self._timers[0][0]):
            _, _, sender, to, data = heapq.heappop(self._queue)
            host = self.hosts.get(to)
            if host and not self.cut(sender, to):
                self._deliver(host, Receive(sender, codec.decode(data).unwrap()))
            return
        _, _, node = heapq.heappop(self._timers)
        host = self.hosts.get(node)
        if host is None:
            return
        deadline = host.next_deadline_ms()
        if deadline is not None and deadline <= self.now_ms + 1e-6:
            self._deliver(host, Tick())

    def _deliver(self, host: Host, event: Any) -> None:
        """Run a host and carry what it sends."""
        self.carry(host.node, host.handle(event, self.now_ms))
        self._arm(host)

    def carry(self, sender: NodeId, sends: Iterable[Send]) -> None:
        """Queue messages for delivery, or drop them."""
        for send in sends:
            data = codec.encode(send.message)
            self.sent[sender] = self.sent.get(sender, 0) + 1
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
            copies = 2 if self.rng.random() < self.duplicates else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    at_ms = self.now_ms + self.rng.uniform(*self.delay_ms)
                    heapq.heappush(self._queue, (at_ms, next(self._order), sender, send.to, data))

    def _arm(self, host: Host) -> None:
        """Set the timer of a host; outdated timers are ignored when they fire."""
        deadline = host.next_deadline_ms()
        if deadline is not None:
            at_ms = max(deadline, self.now_ms)
            heapq.heappush(self._timers, (at_ms, next(self._order), host.node))


def node_id(number: int) -> NodeId:
    """Return the id of a numbered node."""
    return NodeId(f"n{number:03d}")


def member(number: int, incarnation: int = 1, data_centre: str = "dc0") -> Member:
    """Return the record of a live node."""
    return Member(
        node=node_id(number),
        incarnation=incarnation,
        state=MemberState.ALIVE,
        data_centre=data_centre,
        peer_address=f"127.0.1.{number % 250}:7400",
        caller_address=f"127.0.1.{number % 250}:8400",
        roles=("entry",),
    )


@define
class Cuts:
    """Directed links on which every message vanishes."""

    links: set[tuple[NodeId, NodeId]] = Factory(set)

    def __call__(self, sender: NodeId, to: NodeId) -> bool:
        """Tell whether a message on this link vanishes."""
        return (sender, to) in self.links

    def split(self, left: list[NodeId], right: list[NodeId], one_way: bool = False) -> None:
        """Cut every link from left to right, and back unless ``one_way``."""
        self.links |= {(a, b) for a in left for b in right}
        if not one_way:
            self.links |= {(b, a) for a in left for b in right}


def start_member(
    carrier: Carrier,
    number: int,
    incarnation: int = 1,
    hint: Callable[[], ConfigHint] | None = None,
) -> Membership:
    """Start or restart a node that has only the membership role."""
    seeds = (node_id(0), node_id(1), node_id(2))
    rng = random.Random(f"{number}/{incarnation}")
    role = Membership(member(number, incarnation), seeds, rng)
    if hint:
        role.hint = hint
    carrier.add(Host(node_id(number), [role]))
    return role


def start_spread(carrier: Carrier, number: int, life: int, replicas: int) -> Spread:
    """Start or restart a node with membership and configuration; the first ones are replicas."""
    node = node_id(number)
    listed = tuple(node_id(n) for n in range(replicas))
    spread = Spread(node, listed, random.Random(f"spread/{number}/{life}"))
    own = evolve(member(number, life), roles=("replica",) if number < replicas else ("entry",))
    rng = random.Random(f"{number}/{life}")
    membership = Membership(own, listed, rng, spread.hint)
    carrier.add(Host(node, [membership, spread]))
    return spread


def start_members(carrier: Carrier, count: int) -> dict[NodeId, Membership]:
    """Start numbered nodes that know the first three as seeds."""
    return {node_id(number): start_member(carrier, number) for number in range(count)}
