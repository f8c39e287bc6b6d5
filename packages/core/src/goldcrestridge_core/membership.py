"""Membership role after SWIM: probing, suspicion, dissemination and full-state exchange."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen

from goldcrestridge_core.member_types import (
    Ack,
    ConfigHint,
    Leave,
    Member,
    MemberDigest,
    MemberGossip,
    MemberLeaving,
    MemberRecords,
    MemberState,
    MemberSummary,
    MemberUp,
    Ping,
    PingReq,
    PlatformList,
    StartDrain,
)
from goldcrestridge_core.types import Count, Emit, NodeId, Receive, Send, Tick
from goldcrestridge_core.view import DOWN_STATES, View, precedence

PROBE_INTERVAL_MS = 1_000.0
DIRECT_TIMEOUT_MS = 300.0  # Three round trips between regions; leaves 700 ms for relayed probes.
RELAY_COUNT = 3
GOSSIP_INTERVAL_MS = 200.0
GOSSIP_FANOUT = 3
EXCHANGE_INTERVAL_MS = 10_000.0
RECONNECT_INTERVAL_MS = 2_000.0
JOIN_INTERVAL_MS = 500.0
MAX_UPDATES = 12  # About 2 KB a message; a burst of refutations spreads in a few rounds.
MAX_FIRST_CONTACTS = 3

NO_HINT = ConfigHint(0, "")


@frozen
class _Probe:
    """A probe in flight; ``relays_requested`` is set once relays are asked to probe the target."""

    target: NodeId
    sequence: int
    relays_at_ms: float
    ends_at_ms: float
    relays_requested: bool = False


@frozen
class _Relay:
    """A probe made on behalf of another member."""

    origin: NodeId
    sequence: int
    ends_at_ms: float


@define
class Membership:
    """Maintain this node's view of all members.

    ``own`` is this node's record in state ALIVE. Its incarnation must increase with every start;
    the wall time in milliseconds at the start is suitable. After the wall clock stepped back, the
    first peer that remembers the old record makes this node choose a higher incarnation.
    ``seeds`` are contacted until they are known as live; the transport must know their addresses
    from the settings, and learns the addresses of other members from MemberUp. ``hint`` returns
    the configuration hint to piggyback.

    Events: Tick; Receive of the membership messages; PlatformList; StartDrain (marks this node
    LEAVING); Leave. Effects: MemberUp (also for each higher incarnation, and for this node at the
    first Tick), MemberLeaving (also for this node), MemberDown, Send, Emit, Count.
    """

    own: Member
    seeds: tuple[NodeId, ...]
    rng: random.Random
    hint: Callable[[], ConfigHint] = lambda: NO_HINT
    view: View = field(init=False)
    _probe_queue: list[NodeId] = field(factory=list)
    _probe: _Probe | None = None
    _relays: dict[int, _Relay] = field(factory=dict)
    _sequence: int = 0
    _joined: bool = False
    _left: bool = False
    _next_probe_ms: float = 0.0
    _next_gossip_ms: float = 0.0
    _next_exchange_ms: float = 0.0
    _next_reconnect_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the view with this node's own record."""
        self.view = View(self.own)
        self.view.set_own(self.own, 0.0)

    def next_deadline_ms(self) -> float | None:
        """Return the next time at which a probe, a suspicion, gossip or an exchange is due."""
        if self._left:
            return None
        times = [self._next_probe_ms, self._next_exchange_ms, self._next_reconnect_ms]
        if self._probe and not self._probe.relays_requested:
            times.append(self._probe.relays_at_ms)
        if self.view.pending and len(self.view.entries) > 1:
            times.append(self._next_gossip_ms)
        suspicion = self.view.next_suspicion_ms()
        return min(times if suspicion is None else [*times, suspicion])

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        if self._left:
            return []
        match event:
            case Tick():
                return self._tick(now_ms)
            case Receive(sender=sender, message=message):
                return self._receive(sender, message, now_ms)
            case PlatformList():
                return self._apply_platform_list(event, now_ms)
            case StartDrain():
                return self._drain(now_ms)
            case Leave():
                return self._leave(now_ms)
        return []

    # Probes, gossip and exchanges that are due.

    def _tick(self, now_ms: float) -> list[Any]:
        """Perform all timed actions that are due."""
        effects: list[Any] = [] if self._joined else [MemberUp(self.own)]
        self._joined = True
        effects += self.view.expire_members(now_ms)
        effects += [self._probe_suspect(member) for member in self.view.due_probes(now_ms)]
        if self._probe and not self._probe.relays_requested and now_ms >= self._probe.relays_at_ms:
            effects += self._request_relays(self._probe)
        if now_ms >= self._next_probe_ms:
            effects += self._end_probe(now_ms)
            effects += self._start_probe(now_ms)
        if now_ms >= self._next_reconnect_ms:
            effects += self._reconnect(now_ms)
        if now_ms >= self._next_exchange_ms:
            self._next_exchange_ms = now_ms + EXCHANGE_INTERVAL_MS
            effects += [self._send_digest(n) for n in self.view.sample(self.rng, 1, ())]
        if now_ms >= self._next_gossip_ms and self.view.pending:
            effects += self._gossip(now_ms)
        return effects

    def _start_probe(self, now_ms: float) -> list[Any]:
        """Probe the next member; each is probed once a round, in random order."""
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self._relays = {s: r for s, r in self._relays.items() if r.ends_at_ms > now_ms}
        target = self._next_target()
        if target is None:
            return []
        sequence = self._next_sequence()
        self._probe = _Probe(target, sequence, now_ms + DIRECT_TIMEOUT_MS, self._next_probe_ms)
        return [Send(target, Ping(sequence, self._updates_for(target), self.hint()))]

    def _next_target(self) -> NodeId | None:
        """Return the next live member of the round, and start a new round after the last one."""
        for _ in range(2):
            while self._probe_queue:
                node = self._probe_queue.pop()
                member = self.view.get(node)
                if member and member.state not in DOWN_STATES:
                    return node
            self._probe_queue = self.view.reachable()
            self.rng.shuffle(self._probe_queue)
        return None

    def _request_relays(self, probe: _Probe) -> list[Any]:
        """Ask other members to probe a target that did not answer in time."""
        self._probe = evolve(probe, relays_requested=True)
        relays = self.view.sample(self.rng, RELAY_COUNT, (probe.target,))
        req = PingReq(probe.sequence, probe.target, self._updates_for(probe.target), self.hint())
        return [Send(relay, req) for relay in relays]

    def _end_probe(self, now_ms: float) -> list[Any]:
        """Suspect the target of an unanswered probe, and notify it so that it can refute."""
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        effects = self.view.suspect(probe.target, now_ms)
        member = self.view.get(probe.target)
        if member is None or member.state in DOWN_STATES:
            return effects
        return [*effects, Count("member_probes_failed"), self._probe_suspect(member)]

    def _probe_suspect(self, member: Member) -> Send:
        """Return a probe that carries the suspicion, so that the answer refutes it."""
        return Send(member.node, Ping(self._next_sequence(), (member,), self.hint()))

    def _reconnect(self, now_ms: float) -> list[Any]:
        """Contact a dead member or a missing seed, because a partition may have healed.

        A node that knows no live member contacts several of them and repeats it sooner.
        """
        alone = not self.view.reachable()
        self._next_reconnect_ms = now_ms + (JOIN_INTERVAL_MS if alone else RECONNECT_INTERVAL_MS)
        missing = [n for n in self.seeds if n != self.own.node and n not in self.view.entries]
        candidates = [*self.view.dead(), *missing]
        count = min(MAX_FIRST_CONTACTS if alone else 1, len(candidates))
        return [self._send_digest(node) for node in self.rng.sample(candidates, count)]

    def _gossip(self, now_ms: float) -> list[Any]:
        """Send pending updates to a few random members."""
        self._next_gossip_ms = now_ms + GOSSIP_INTERVAL_MS
        receivers = self.view.sample(self.rng, GOSSIP_FANOUT, ())
        return [
            Send(node, MemberGossip(updates, self.hint()))
            for node in receivers
            if (updates := self.view.take_updates(MAX_UPDATES))
        ]

    # Messages of other members.

    def _receive(self, sender: NodeId, message: Any, now_ms: float) -> list[Any]:
        """Merge the updates in a message and answer it."""
        if not isinstance(
            message,
            Ping | PingReq | Ack | MemberGossip | MemberDigest | MemberRecords | MemberSummary,
        ):
            return []
        if isinstance(message, MemberSummary):
            newer, wanted = self.view.compare(message.entries)
            return [Send(sender, MemberRecords(newer, wanted))] if newer or wanted else []
        self.view.clear_leaving_suspicion(sender)
        effects = self._merge(message.updates, now_ms)
        match message:
            case Ping():
                effects += self._send_ack(sender, message.sequence)
            case PingReq():
                effects += self._relay_probe(sender, message, now_ms)
            case Ack():
                effects += self._handle_ack(sender, message)
            case MemberDigest():
                if message.digest != self.view.digest:
                    effects.append(Send(sender, MemberSummary(self.view.summary())))
            case MemberRecords():
                records = tuple(m for n in message.wanted if (m := self.view.get(n)))
                if records:
                    effects.append(Send(sender, MemberRecords(records)))
        return effects

    def _send_ack(self, sender: NodeId, sequence: int) -> list[Any]:
        """Answer a probe, and start a full-state exchange with an unknown sender."""
        ack = Ack(sequence, self.own.node, self._updates_for(sender), self.hint())
        answer: list[Any] = [Send(sender, ack)]
        return answer if self.view.get(sender) else [*answer, self._send_digest(sender)]

    def _relay_probe(self, sender: NodeId, req: PingReq, now_ms: float) -> list[Any]:
        """Probe the target on behalf of the sender."""
        if req.target == self.own.node:
            return self._send_ack(sender, req.sequence)
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(sender, req.sequence, now_ms + PROBE_INTERVAL_MS)
        return [Send(req.target, Ping(sequence, self._updates_for(req.target), self.hint()))]

    def _handle_ack(self, sender: NodeId, ack: Ack) -> list[Any]:
        """End this node's probe, or pass the answer on to the member that asked for the probe."""
        if self._probe and (ack.sequence, ack.target) == (self._probe.sequence, self._probe.target):
            self._probe = None
            self.view.clear_leaving_suspicion(ack.target)
            return []
        relay = self._relays.pop(ack.sequence, None)
        if relay is None or sender != ack.target:
            return []
        answer = Ack(relay.sequence, ack.target, self._updates_for(relay.origin), self.hint())
        return [Send(relay.origin, answer)]

    def _merge(self, updates: tuple[Member, ...], now_ms: float) -> list[Any]:
        """Merge records of other members and refute wrong ones of this node."""
        return [
            effect
            for record in updates
            for effect in (
                self._refute(record, now_ms)
                if record.node == self.own.node
                else self.view.merge(record, now_ms)
            )
        ]

    def _refute(self, record: Member, now_ms: float) -> list[Any]:
        """Override a record of this node that is wrong or belongs to an earlier start.

        An outdated record makes this node disseminate its current one again, because the sender
        may have missed all transmissions of the refutation.
        """
        if precedence(record) <= precedence(self.own):
            if precedence(record) < precedence(self.own):
                self.view.pending[self.own.node] = 0
            return []
        marked_leaving = (
            record.incarnation == self.own.incarnation and record.state is MemberState.LEAVING
        )
        state = MemberState.LEAVING if marked_leaving else self.own.state
        self._set_own(evolve(self.own, incarnation=record.incarnation + 1, state=state), now_ms)
        return [MemberLeaving(self.own.node)] if marked_leaving else [Count("member_refutations")]

    # Drain, departure and the platform's list.

    def _drain(self, now_ms: float) -> list[Any]:
        """Mark this node as leaving and send the update at once."""
        if self.own.state is MemberState.LEAVING:
            return []
        leaving = evolve(self.own, incarnation=self.own.incarnation + 1, state=MemberState.LEAVING)
        self._set_own(leaving, now_ms)
        effects = [
            MemberLeaving(self.own.node),
            Emit("member_leaving", detail=self._identity_detail()),
        ]
        return [*effects, *self._gossip(now_ms)]

    def _leave(self, now_ms: float) -> list[Any]:
        """Notify some members that this node has left, and ignore all later events."""
        left = evolve(self.own, incarnation=self.own.incarnation + 1, state=MemberState.LEFT)
        self._set_own(left, now_ms)
        receivers = self.view.sample(self.rng, 2 * GOSSIP_FANOUT, ())
        self._left = True
        departure = MemberGossip((left,), self.hint())
        return [
            Emit("member_left", detail=self._identity_detail()),
            *(Send(node, departure) for node in receivers),
        ]

    def _apply_platform_list(self, listed: PlatformList, now_ms: float) -> list[Any]:
        """Use the platform's list as a hint.

        A record younger than the lag may describe a restarted node whose earlier process the list
        still shows, so only older records are changed. Absence from the list never marks a live
        member as down; it only ends the suspicion period of a member that is already suspect.
        """
        effects: list[Any] = []
        vms = {vm.node: vm for vm in listed.vms}
        for node, entry in tuple(self.view.entries.items()):
            if now_ms - entry.known_since_ms <= listed.lag_ms:
                continue
            vm = vms.get(node)
            if vm is None and entry.member.state is MemberState.SUSPECT:
                entry.suspect_until_ms = now_ms
            elif vm and vm.leaving and entry.member.state is MemberState.ALIVE:
                record = evolve(entry.member, state=MemberState.LEAVING)
                effects += self._merge((record,), now_ms)
        unknown = [
            vm.node for vm in listed.vms if not vm.leaving and vm.node not in self.view.entries
        ]
        chosen = self.rng.sample(unknown, min(MAX_FIRST_CONTACTS, len(unknown)))
        return [*effects, *(self._send_digest(node) for node in chosen)]

    # Own record, and the fields of messages.

    def _set_own(self, member: Member, now_ms: float) -> None:
        """Replace this node's record here and in the view."""
        self.own = member
        self.view.set_own(member, now_ms)

    def _updates_for(self, target: NodeId) -> tuple[Member, ...]:
        """Return pending updates, with the target's record if the target may have to refute it."""
        updates = self.view.take_updates(MAX_UPDATES)
        record = self.view.get(target)
        refutable = record and record.state not in (MemberState.ALIVE, MemberState.LEAVING)
        if record is None or not refutable or record in updates:
            return updates
        return (*updates, record)

    def _send_digest(self, node: NodeId) -> Send:
        """Return a message that starts a full-state exchange and introduces this node."""
        record = self.view.get(node)
        claims = (record,) if record and record.state in DOWN_STATES else ()
        return Send(node, MemberDigest(self.view.digest, (self.own, *claims)))

    def _next_sequence(self) -> int:
        """Return a new probe number."""
        self._sequence += 1
        return self._sequence

    def _identity_detail(self) -> tuple[tuple[str, str | int | float], ...]:
        """Return the event detail that names this node and its incarnation."""
        return (("node", self.own.node), ("incarnation", self.own.incarnation))
