"""Hypothesis state machine for the replicated log under faults; ``log_group`` holds the oracle."""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.types import NodeId, WallTime
from goldcrestridge_lab.log_group import Group, Member, new_group

# Long enough for elections, replacement of a replica and catch-up on a healthy carrier.
HEAL_MS = 20_000.0


class LogMachine(RuleBasedStateMachine):
    """Three or five replicas; any faults at once, at most a minority of disks lost at a time."""

    group: Group

    @initialize(seed=st.integers(0, 2**32), size=st.sampled_from([3, 3, 5]), formed=st.booleans())
    def form(self, seed: int, size: int, formed: bool) -> None:
        """Start the replicas, in half of the runs with time to form the log in peace."""
        self.group = new_group(Random(seed), size)
        if formed:
            self.group.run(3000)

    def node(self, number: int) -> NodeId:
        """Return a member by number."""
        nodes = list(self.group.members)
        return nodes[number % len(nodes)]

    def member(self, number: int) -> Member:
        """Return a member's state by number."""
        return self.group.members[self.node(number)]

    @rule(duration=st.sampled_from([1.0, 10.0, 100.0, 700.0, 3000.0]))
    def run(self, duration: float) -> None:
        """Let time pass."""
        self.group.run(duration)

    @rule(number=st.integers(0, 4), stale=st.booleans())
    def write(self, number: int, stale: bool) -> None:
        """Begin a compare-and-set at any member, with the current or an older version."""
        expected = max(0, self.group.highest - int(stale))
        self.group.write(expected, self.node(number))

    @rule(count=st.integers(2, 30))
    def write_many(self, count: int) -> None:
        """Begin writes at all members; each waits for the one before, so the log grows."""
        for _ in range(count):
            for node in self.group.members:
                self.group.write(self.group.highest, node)
            self.group.run(5.0)

    @rule(number=st.integers(0, 4), back=st.integers(1, 5))
    def write_again(self, number: int, back: int) -> None:
        """Send an earlier write again."""
        names = [name for name, operation in self.group.operations.items() if operation.write]
        if len(names) >= back:
            self.group.send_write(names[-back], self.node(number))

    @rule()
    def read(self) -> None:
        """Begin a read at every member."""
        for node in self.group.members:
            self.group.read(node)

    @rule(number=st.integers(0, 4), synced=st.integers(0, 2))
    def crash(self, number: int, synced: int) -> None:
        """Stop a member before or after some of its writes are durable."""
        self.group.crash(self.node(number), synced)

    @rule(number=st.integers(0, 4))
    def restart(self, number: int) -> None:
        """Start a member again, stopping it first if it runs."""
        self.group.crash(self.node(number))
        self.group.start(self.node(number))

    @rule(number=st.integers(0, 4))
    def lose_disk(self, number: int) -> None:
        """Replace a disk by an empty one if all earlier ones are repaired."""
        if self.group.repaired():
            self.group.lose_disk(self.node(number))
            self.group.start(self.node(number))

    @rule(
        number=st.integers(0, 4),
        fails=st.booleans(),
        delay=st.sampled_from([0.1, 1.0, 50.0, 400.0]),
    )
    def disk(self, number: int, fails: bool, delay: float) -> None:
        """Make a disk slow, or fail it at its next write."""
        disk = self.member(number).disk
        disk.fails = fails
        disk.delay_ms = delay

    @rule(number=st.integers(0, 4), other=st.integers(0, 4), both=st.booleans())
    def block(self, number: int, other: int, both: bool) -> None:
        """Cut the way between two members in one or both directions."""
        self.group.carrier.block(self.node(number), self.node(other), both)

    @rule(number=st.integers(0, 4))
    def isolate(self, number: int) -> None:
        """Cut a member off from the other members but not from the clients."""
        for other in self.group.members:
            self.group.carrier.block(self.node(number), other, both=True)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), jitter=st.sampled_from([0.0, 20.0, 300.0]))
    def disturb(self, loss: float, jitter: float) -> None:
        """Lose, duplicate and reorder messages."""
        self.group.carrier.loss = loss
        self.group.carrier.duplication = loss
        self.group.carrier.jitter_ms = jitter

    @rule()
    def heal(self) -> None:
        """End the faults of the carrier."""
        self.group.carrier.heal()

    @rule(number=st.integers(0, 4), step=st.sampled_from([-1e7, -500.0, 500.0, 1e7]))
    def step_wall_clock(self, number: int, step: float) -> None:
        """Step the wall clock of a member."""
        member = self.member(number)
        member.wall_ms += step
        self.group.handle(member, WallTime(member.wall_ms))

    def teardown(self) -> None:
        """Heal everything; the log must become live and every acknowledged write must be there."""
        if hasattr(self, "group"):
            check_healed(self.group)


def check_healed(group: Group) -> None:
    """End all faults and check liveness, repair and the acknowledged writes."""
    group.carrier.heal()
    for node, member in group.members.items():
        member.disk.fails = False
        member.disk.delay_ms = 1.0
        if member.log is None or member.log.state.failed:
            group.crash(node)
            group.start(node)
    group.run(HEAL_MS)
    leaders = [member for member in group.members.values() if member.log and member.log.leads]
    if len(leaders) != 1:
        raise InvariantError(f"{len(leaders)} leaders after healing.")
    if not group.repaired():
        raise InvariantError("Not all replicas are voters after healing.")
    read = group.read(leaders[0].node)
    write = group.write(len(leaders[0].register.values), leaders[0].node)
    group.run(1000.0)
    results = [group.operations[name].result for name in (read, write)]
    if results[0] is None or results[1] is None or not results[1][0]:
        raise InvariantError(f"Operations after healing were answered with {results}.")
    _check_values(group, leaders[0])


def _check_values(group: Group, leader: Member) -> None:
    """Check that all members hold the same values and all acknowledged writes are among them."""
    for member in group.members.values():
        if member.register.values != leader.register.values:
            raise InvariantError(f"{member.node} differs from {leader.node} after healing.")
    for name, operation in group.operations.items():
        if operation.write and operation.result and operation.result[0]:
            version = operation.result[1]
            if leader.register.values[version - 1] != operation.write.value:
                raise InvariantError(f"The acknowledged write {name} was lost.")
