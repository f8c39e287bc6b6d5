"""Small message network in virtual time for tests and measurements of the control roles."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from attrs import Factory, define, evolve

from goldcrestridge_core import codec
from goldcrestridge_core.member_types import ConfigHint, Member, MemberState
from goldcrestridge_core.membership import Membership
from goldcrestridge_core.spread import ConfigDistributor
from goldcrestridge_core.types import NodeId, Receive, Send, Tick

ROUNDING_MS = 1e-6


@define
class Host:
    """Compose roles on one node: every effect that is not a Send is an event for all roles.

    ``effects`` keeps (time, effect) of everything but Send. The node's monotonic clock shows
    ``rate`` times the virtual time plus ``skew_ms``.
    """

    node: NodeId
    roles: list[Any]
    effects: list[tuple[float, Any]] = Factory(list)
    skew_ms: float = 0.0
    rate: float = 1.0

    def handle(self, event: Any, now_ms: float) -> list[Send]:
        """Give an event to the roles and return the messages to send."""
        sends: list[Send] = []
        pending = [event]
        local_ms = now_ms * self.rate + self.skew_ms
        if isinstance(event, Tick):
            local_ms = self._rounded(local_ms)
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

    def _rounded(self, local_ms: float) -> float:
        """Return the earliest deadline if only a rounding error lies before it.

        Otherwise a role that sees a time just below its deadline does nothing, for ever.
        """
        times = (role.next_deadline_ms() for role in self.roles)
        deadline = min((t for t in times if t is not None), default=local_ms)
        return max(local_ms, min(deadline, local_ms + ROUNDING_MS))

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of the roles in virtual time."""
        times = (role.next_deadline_ms() for role in self.roles)
        local_ms = min((t for t in times if t is not None), default=None)
        return None if local_ms is None else (local_ms - self.skew_ms) / self.rate


def _due(role: Any, now_ms: float) -> bool:
    """Tell whether a role wants a Tick; virtual times are rounded."""
    deadline = role.next_deadline_ms()
    return deadline is not None and deadline <= now_ms + ROUNDING_MS


@define
class SimulatedNetwork:
    """Carry encoded messages with delay, loss, duplication and cut links.

    ``cut`` returns True if a message from the first to the second node vanishes. Delays are drawn
    for each message, so messages overtake each other. ``sent_bytes`` counts encoded bytes by
    sender and ``sent`` messages; ``on_effect`` sees every effect that is not a Send.
    """

    rng: random.Random
    loss: float = 0.0
    duplicates: float = 0.0
    delay_ms: tuple[float, float] = (0.5, 5.0)
    blocked: Callable[[NodeId, NodeId], bool] = lambda _sender, _to: False
    on_effect: Callable[[Host, Any], None] = lambda _host, _effect: None
    hosts: dict[NodeId, Host] = Factory(dict)
    now_ms: float = 1_000.0
    sent: dict[NodeId, int] = Factory(dict)
    sent_bytes: dict[NodeId, int] = Factory(dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = Factory(list)
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

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Run a function at a virtual time."""
        heapq.heappush(self._queue, (at_ms, next(self._order), call))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for ``duration_ms`` or until the condition holds; return whether it held."""
        end_ms = self.now_ms + duration_ms
        while True:
            if until and until():
                return True
            if not self._queue or self._queue[0][0] >= end_ms:
                self.now_ms = end_ms
                return bool(until and until())
            at_ms, _, call = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            call()

    def _receive(self, sender: NodeId, to: NodeId, data: bytes) -> None:
        """Deliver a message unless its receiver is down or the link is cut."""
        host = self.hosts.get(to)
        if host and not self.blocked(sender, to):
            self._deliver(host, Receive(sender, codec.decode(data).unwrap()))

    def _fire(self, host: Host) -> None:
        """Give a Tick to a host that still wants it."""
        deadline = host.next_deadline_ms()
        running = self.hosts.get(host.node) is host
        if running and deadline is not None and deadline <= self.now_ms + ROUNDING_MS:
            self._deliver(host, Tick())

    def _deliver(self, host: Host, event: Any) -> None:
        """Run a host and carry what it sends."""
        seen = len(host.effects)
        self.carry(host.node, host.handle(event, self.now_ms))
        self._arm(host)
        for _, effect in host.effects[seen:]:
            self.on_effect(host, effect)

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
                    self.call_at(at_ms, functools.partial(self._receive, sender, send.to, data))

    def _arm(self, host: Host) -> None:
        """Set the timer of a host; outdated timers are ignored when they fire."""
        deadline = host.next_deadline_ms()
        if deadline is not None:
            self.call_at(max(deadline, self.now_ms), functools.partial(self._fire, host))


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
class BlockedLinks:
    """Directed links on which every message vanishes."""

    links: set[tuple[NodeId, NodeId]] = Factory(set)

    def __call__(self, sender: NodeId, to: NodeId) -> bool:
        """Tell whether a message on this link vanishes."""
        return (sender, to) in self.links

    def partition(self, left: list[NodeId], right: list[NodeId], one_way: bool = False) -> None:
        """Cut every link from left to right, and back unless ``one_way``."""
        self.links |= {(a, b) for a in left for b in right}
        if not one_way:
            self.links |= {(b, a) for a in left for b in right}


def start_member(
    network: SimulatedNetwork,
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
    network.add(Host(node_id(number), [role]))
    return role


def start_distributor(
    network: SimulatedNetwork, number: int, incarnation: int, replicas: int
) -> ConfigDistributor:
    """Start or restart a node with membership and configuration; the first ones are replicas."""
    node = node_id(number)
    listed = tuple(node_id(n) for n in range(replicas))
    spread = ConfigDistributor(node, listed, random.Random(f"spread/{number}/{incarnation}"))
    own = evolve(
        member(number, incarnation), roles=("replica",) if number < replicas else ("entry",)
    )
    rng = random.Random(f"{number}/{incarnation}")
    membership = Membership(own, listed, rng, spread.hint)
    network.add(Host(node, [membership, spread]))
    return spread


def start_members(network: SimulatedNetwork, count: int) -> dict[NodeId, Membership]:
    """Start numbered nodes that know the first three as seeds."""
    return {node_id(number): start_member(network, number) for number in range(count)}
