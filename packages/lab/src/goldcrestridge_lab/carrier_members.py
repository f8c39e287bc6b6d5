"""Simulated network of hosts in virtual time, for tests and measurements of the control roles."""

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
    """Run the roles of one node: every effect other than Send is an event for all its roles.

    ``effects`` records (virtual time, effect) of all effects other than Send. The monotonic clock
    of the node shows ``rate`` times the virtual time plus ``skew_ms``.
    """

    node: NodeId
    roles: list[Any]
    effects: list[tuple[float, Any]] = Factory(list)
    skew_ms: float = 0.0
    rate: float = 1.0

    def handle(self, event: Any, now_ms: float) -> list[Send]:
        """Pass an event to the roles and return the messages to send."""
        sends: list[Send] = []
        pending = [event]
        local_ms = now_ms * self.rate + self.skew_ms
        if isinstance(event, Tick):
            local_ms = self._round_to_deadline(local_ms)
        while pending:
            current = pending.pop(0)
            for role in self.roles:
                if isinstance(current, Tick) and not _deadline_passed(role, local_ms):
                    continue
                for effect in role.handle(current, local_ms):
                    if isinstance(effect, Send):
                        sends.append(effect)
                    else:
                        self.effects.append((now_ms, effect))
                        pending.append(effect)
        return sends

    def _round_to_deadline(self, local_ms: float) -> float:
        """Return the earliest deadline if ``local_ms`` is below it by a rounding error only.

        Otherwise a role sees a time just below its deadline, does nothing, and the same Tick is
        scheduled again without end.
        """
        times = (role.next_deadline_ms() for role in self.roles)
        deadline = min((t for t in times if t is not None), default=local_ms)
        return max(local_ms, min(deadline, local_ms + ROUNDING_MS))

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of the roles in virtual time."""
        times = (role.next_deadline_ms() for role in self.roles)
        local_ms = min((t for t in times if t is not None), default=None)
        return None if local_ms is None else (local_ms - self.skew_ms) / self.rate


def _deadline_passed(role: Any, now_ms: float) -> bool:
    """Return whether the deadline of a role has passed, up to a rounding error."""
    deadline = role.next_deadline_ms()
    return deadline is not None and deadline <= now_ms + ROUNDING_MS


@define
class SimulatedNetwork:
    """Deliver encoded messages with delay, loss, duplication and blocked links.

    ``blocked`` returns whether messages from the first to the second node are dropped. The delay
    of each copy is drawn uniformly between the two values of ``delay_ms``, so messages can be
    reordered. ``sent`` counts messages and ``sent_bytes`` their encoded bytes by sender.
    ``on_effect`` is called for every effect other than Send.
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
        self._schedule_tick(host)

    def remove(self, node: NodeId) -> None:
        """Crash a node; messages to it are dropped."""
        self.hosts.pop(node, None)

    def inject(self, node: NodeId, event: Any) -> None:
        """Pass an event to a node at the current time."""
        self._deliver(self.hosts[node], event)

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a function at a virtual time."""
        heapq.heappush(self._queue, (at_ms, next(self._order), callback))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for ``duration_ms`` or until the condition holds; return whether it holds."""
        end_ms = self.now_ms + duration_ms
        while True:
            if until and until():
                return True
            if not self._queue or self._queue[0][0] >= end_ms:
                self.now_ms = end_ms
                return bool(until and until())
            at_ms, _, callback = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            callback()

    def _receive(self, sender: NodeId, to: NodeId, data: bytes) -> None:
        """Deliver a message unless its receiver is down or the link is blocked."""
        host = self.hosts.get(to)
        if host and not self.blocked(sender, to):
            self._deliver(host, Receive(sender, codec.decode(data).unwrap()))

    def _tick(self, host: Host) -> None:
        """Pass a Tick to a host if it is still running and its deadline has passed."""
        deadline = host.next_deadline_ms()
        running = self.hosts.get(host.node) is host
        if running and deadline is not None and deadline <= self.now_ms + ROUNDING_MS:
            self._deliver(host, Tick())

    def _deliver(self, host: Host, event: Any) -> None:
        """Pass an event to a host, queue the messages it sends and report its other effects."""
        handled_effects = len(host.effects)
        self._send(host.node, host.handle(event, self.now_ms))
        self._schedule_tick(host)
        for _, effect in host.effects[handled_effects:]:
            self.on_effect(host, effect)

    def _send(self, sender: NodeId, sends: Iterable[Send]) -> None:
        """Queue messages for delivery, with loss and duplication."""
        for send in sends:
            data = codec.encode(send.message)
            self.sent[sender] = self.sent.get(sender, 0) + 1
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
            copies = 2 if self.rng.random() < self.duplicates else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    at_ms = self.now_ms + self.rng.uniform(*self.delay_ms)
                    self.call_at(at_ms, functools.partial(self._receive, sender, send.to, data))

    def _schedule_tick(self, host: Host) -> None:
        """Schedule a Tick at the deadline of a host; ``_tick`` ignores outdated ones."""
        deadline = host.next_deadline_ms()
        if deadline is not None:
            self.call_at(max(deadline, self.now_ms), functools.partial(self._tick, host))


def node_id(number: int) -> NodeId:
    """Return the id of the node with a number."""
    return NodeId(f"n{number:03d}")


def member(number: int, incarnation: int = 1, data_centre: str = "dc0") -> Member:
    """Return the membership record of a live node."""
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
    """Directed links (sender, receiver) on which all messages are dropped."""

    links: set[tuple[NodeId, NodeId]] = Factory(set)

    def __call__(self, sender: NodeId, to: NodeId) -> bool:
        """Return whether messages on this link are dropped."""
        return (sender, to) in self.links

    def partition(self, left: list[NodeId], right: list[NodeId], one_way: bool = False) -> None:
        """Block every link from left to right, and the other way unless ``one_way``."""
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
    """Start or restart a node with membership and configuration distribution.

    Nodes with a number below ``replicas`` are replicas.
    """
    node = node_id(number)
    replica_nodes = tuple(node_id(n) for n in range(replicas))
    distributor = ConfigDistributor(
        node, replica_nodes, random.Random(f"spread/{number}/{incarnation}")
    )
    own_record = evolve(
        member(number, incarnation), roles=("replica",) if number < replicas else ("entry",)
    )
    rng = random.Random(f"{number}/{incarnation}")
    membership = Membership(own_record, replica_nodes, rng, distributor.hint)
    network.add(Host(node, [membership, distributor]))
    return distributor


def start_members(network: SimulatedNetwork, count: int) -> dict[NodeId, Membership]:
    """Start ``count`` nodes, with the first three as seeds."""
    return {node_id(number): start_member(network, number) for number in range(count)}
