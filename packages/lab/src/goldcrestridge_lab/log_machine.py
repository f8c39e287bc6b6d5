"""Hypothesis state machine of the replicated log under faults, checked by ``log_group``."""

from __future__ import annotations

import math
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log_state import Position
from goldcrestridge_core.log_types import WallTime
from goldcrestridge_core.types import NodeId
from goldcrestridge_lab.log_group import Group, Member, new_group

# Enough for elections, replacement of a replica and catch-up on a healthy network.
HEAL_MS = 20_000.0


NUMBER = st.integers(0, 4)
# Virtual time after each step; without it hypothesis rarely lets a fault take effect.
WAIT_MS = st.sampled_from([1.0, 5.0, 30.0, 150.0, 700.0, 2500.0])


class LogMachine(RuleBasedStateMachine):
    """Three or five replicas under load, with any faults combined.

    A disk is lost only once the replacements of all earlier ones are voters, so that at most a
    minority of the disks is lost at a time.
    """

    group: Group

    @initialize(
        seed=st.integers(0, 2**32),
        size=st.sampled_from([3, 3, 5]),
        drift=st.sampled_from([0.0, 0.03]),
        form_first=st.sampled_from([True, True, True, True, True, False]),
    )
    def start_group(self, seed: int, size: int, drift: float, form_first: bool) -> None:
        """Start the replicas, mostly with time to form the group before the first fault."""
        rates = (1.0 - drift, 1.0 + drift, 1.0)
        self.group = new_group(Random(seed), size, rates=rates)
        self.group.run(3000.0 if form_first else 1.0)
        self.group.load_interval_ms = 10.0

    def node(self, number: int) -> NodeId:
        """Return a member by number, modulo the number of members."""
        nodes = list(self.group.members)
        return nodes[number % len(nodes)]

    def choose_member(self, number: int, leader: bool) -> NodeId:
        """Return a member in the leader position if ``leader`` and there is one, else by number."""
        return (
            self.group.current_leaders()[0]
            if leader and self.group.current_leaders()
            else self.node(number)
        )

    @rule(wait_ms=WAIT_MS)
    def run(self, wait_ms: float) -> None:
        """Let time pass under load."""
        self.group.run(wait_ms)

    @rule(
        number=NUMBER,
        leader=st.booleans(),
        synced=st.integers(0, 2),
        down_ms=st.sampled_from([0.0, 100.0, 1000.0, 5000.0]),
        wait_ms=WAIT_MS,
    )
    def crash(self, number: int, leader: bool, synced: int, down_ms: float, wait_ms: float) -> None:
        """Crash a member for ``down_ms``; some of its pending writes may be durable."""
        self.group.crash(self.choose_member(number, leader), synced, down_ms)
        self.group.run(wait_ms)

    @rule(lost=NUMBER, wait_ms=WAIT_MS)
    def power_loss(self, lost: int, wait_ms: float) -> None:
        """Crash and restart all members, each with a different number of durable writes."""
        for number, node in enumerate(self.group.members):
            self.group.crash(node, (number + lost) % len(self.group.members))
        for node in self.group.members:
            self.group.start(node)
        self.group.run(wait_ms)

    @rule(number=NUMBER, leader=st.booleans(), wait_ms=WAIT_MS)
    def lose_disk(self, number: int, leader: bool, wait_ms: float) -> None:
        """Replace a disk by an empty one if all earlier replacements are voters."""
        if self.group.is_repaired():
            node = self.choose_member(number, leader)
            self.group.lose_disk(node)
            self.group.start(node)
        self.group.run(wait_ms)

    @rule(number=NUMBER, leader=st.booleans(), wait_ms=WAIT_MS)
    def second_failure(self, number: int, leader: bool, wait_ms: float) -> None:
        """Lose a disk, and another one as soon as the replacement of the first is a voter."""
        if self.group.is_repaired():
            self.group.lose_disk(self.node(number))
            self.group.start(self.node(number))
            for _ in range(500):
                if self.group.is_repaired():
                    break
                self.group.run(10.0)
            self.lose_disk(number + 1, leader, wait_ms)

    @rule(number=NUMBER, leader=st.booleans(), delay_ms=st.sampled_from([0.1, 1.0, 50.0, 400.0]))
    def slow_disk(self, number: int, leader: bool, delay_ms: float) -> None:
        """Change the write latency of a disk."""
        self.group.members[self.choose_member(number, leader)].disk.delay_ms = delay_ms
        self.group.run(100.0)

    @rule(number=NUMBER, leader=st.booleans(), wait_ms=WAIT_MS)
    def fail_disk(self, number: int, leader: bool, wait_ms: float) -> None:
        """Fail the writes of a disk for a time; then restart the member."""
        node = self.choose_member(number, leader)
        member = self.group.members[node]
        member.disk.failing = True
        self.group.run(wait_ms)
        member.disk.failing = False
        self.group.crash(node, 0, 500.0)

    @rule(wait_ms=st.sampled_from([20.0, 120.0, 300.0]))
    def lose_unsynced(self, wait_ms: float) -> None:
        """Crash the followers during a slow sync, then isolate the leader with its entries."""
        leaders = self.group.current_leaders()
        followers = [member for member in self.group.members.values() if member.node not in leaders]
        for member in followers:
            member.disk.delay_ms = 400.0
        self.group.run(wait_ms)
        for member in followers:
            self.group.crash(member.node)
            member.disk.delay_ms = 1.0
            self.group.start(member.node)
        for node in leaders:
            for other in self.group.members:
                self.group.network.block(node, other, both=True)
        self.group.run(2500.0)
        self.group.network.heal()
        self.group.run(1000.0)

    @rule(rounds=st.integers(1, 12))
    def restart_voters(self, rounds: int) -> None:
        """Stop the leader, and restart voters repeatedly while their votes are being written."""
        for node in self.group.current_leaders():
            self.group.crash(node, 0, 4000.0)
        for member in self.group.members.values():
            member.disk.delay_ms = 30.0
        for _ in range(rounds):
            candidates = self._wait_for_candidate()
            for node, member in self.group.members.items():
                if member.log is not None and node not in candidates:
                    self.group.crash(node)
                    self.group.start(node)
        for member in self.group.members.values():
            member.disk.delay_ms = 1.0
        self.group.run(1000.0)

    def _wait_for_candidate(self) -> list[NodeId]:
        """Run until a vote may be in progress, and return the candidates."""
        for _ in range(300):
            candidates = [
                member.node
                for member in self.group.members.values()
                if member.log is not None and member.log.state.position is Position.CANDIDATE
            ]
            if candidates:
                self.group.run(35.0)
                return candidates
            self.group.run(5.0)
        return []

    @rule(number=NUMBER, other=NUMBER, both=st.booleans(), wait_ms=WAIT_MS)
    def block(self, number: int, other: int, both: bool, wait_ms: float) -> None:
        """Block the link between two members in one or both directions."""
        self.group.network.block(self.node(number), self.node(other), both)
        self.group.run(wait_ms)

    @rule(number=NUMBER, leader=st.booleans(), both=st.booleans(), wait_ms=WAIT_MS)
    def isolate(self, number: int, leader: bool, both: bool, wait_ms: float) -> None:
        """Block the links from all other members to a member, but not those of the clients."""
        node = self.choose_member(number, leader)
        for other in self.group.members:
            self.group.network.block(other, node, both)
        self.group.run(wait_ms)

    @rule(number=NUMBER, wait_ms=WAIT_MS)
    def split(self, number: int, wait_ms: float) -> None:
        """Partition the members into a majority and a minority."""
        nodes = list(self.group.members)
        minority = {nodes[(number + step) % len(nodes)] for step in range(len(nodes) // 2)}
        self.group.network.heal()
        for node in minority:
            for other in set(nodes) - minority:
                self.group.network.block(node, other, both=True)
        self.group.run(wait_ms)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        jitter_ms=st.sampled_from([0.0, 20.0, 300.0]),
        wait_ms=WAIT_MS,
    )
    def set_message_faults(self, loss: float, jitter_ms: float, wait_ms: float) -> None:
        """Lose, duplicate and reorder messages from now on."""
        self.group.network.loss = loss
        self.group.network.duplication = loss
        self.group.network.jitter_ms = jitter_ms
        self.group.run(wait_ms)

    @rule(wait_ms=WAIT_MS)
    def heal(self, wait_ms: float) -> None:
        """Clear the network faults."""
        self.group.network.heal()
        self.group.run(wait_ms)

    @rule(number=NUMBER, step_ms=st.sampled_from([-1e7, -500.0, 500.0, 1e7]))
    def step_wall_clock(self, number: int, step_ms: float) -> None:
        """Step the wall clock of a member."""
        member = self.group.members[self.node(number)]
        member.wall_ms += step_ms
        self.group.handle(member, WallTime(member.wall_ms))
        self.group.run(30.0)

    def teardown(self) -> None:
        """Clear all faults; the log must become live and keep every acknowledged write."""
        if hasattr(self, "group"):
            check_healed(self.group)


def check_healed(group: Group) -> None:
    """Clear all faults and check liveness, membership and the acknowledged writes."""
    group.load_interval_ms = math.inf
    group.network.heal()
    for node, member in group.members.items():
        member.disk.failing = False
        member.disk.delay_ms = 1.0
        if member.log is None or member.log.state.failed:
            group.crash(node)
            group.start(node)
    group.run(HEAL_MS)
    leaders = [member for member in group.members.values() if member.log and member.log.leads]
    if len(leaders) != 1:
        raise InvariantError(f"There are {len(leaders)} leaders after healing, not one.")
    if not group.is_repaired():
        raise InvariantError("Not all replicas are voters after healing.")
    read = group.read(leaders[0].node)
    write = group.write(len(leaders[0].register.values), leaders[0].node)
    group.run(1000.0)
    results = [group.operations[name].result for name in (read, write)]
    if results[0] is None or results[1] is None or not results[1][0]:
        raise InvariantError(f"The read and the write after healing got the results {results}.")
    _check_values(group, leaders[0])


def _check_values(group: Group, leader: Member) -> None:
    """Check that all members hold equal values that include all acknowledged writes."""
    for member in group.members.values():
        if member.register.values != leader.register.values:
            raise InvariantError(
                f"The values of {member.node} and {leader.node} differ after healing."
            )
    for name, operation in group.operations.items():
        if operation.write and operation.result and operation.result[0]:
            version = operation.result[1]
            if leader.register.values[version - 1] != operation.write.value:
                raise InvariantError(f"The acknowledged write {name} was lost.")
