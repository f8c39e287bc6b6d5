"""Tests of ownership: one holder per epoch, expiry in time, handover and announcement."""

from __future__ import annotations

import functools
import itertools
import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from goldcrestridge_core.call_types import OwnerChanged
from goldcrestridge_core.member_types import (
    MemberDown,
    MemberLeaving,
    MemberUp,
    OwnerAnnounce,
    OwnershipGained,
    OwnershipLost,
    ReleaseOwnership,
    ShardsChanged,
)
from goldcrestridge_core.ownership import LEASE_MS, RENEW_MS, Ownership
from goldcrestridge_core.shards import SHARD_UPSTREAMS, Ranking, split
from goldcrestridge_core.store_types import AcquireLease, LeaseResult, ReleaseLease
from goldcrestridge_core.types import (
    NodeId,
    ProposalDone,
    Receive,
    Send,
    ShardId,
    SubmitProposal,
    Tick,
    UpstreamId,
)
from goldcrestridge_lab.carrier_members import BlockedLinks, Host, SimulatedNetwork, member, node_id

NODES = 4
SHARDS = tuple(ShardId(f"pool/{n}") for n in range(3))
NAMES = st.sets(st.integers(0, 10**6).map(lambda n: UpstreamId(f"u{n}")), max_size=120)


@given(NAMES, st.integers(0, 10**6))
def test_an_added_upstream_changes_only_the_shard_that_it_falls_into(
    names: set[UpstreamId], number: int
) -> None:
    # Guards against a new upstream that moves requests between all shards of its pool.
    new = UpstreamId(f"new{number}")
    before, after = split("p", names), split("p", names | {new})
    assert sorted(itertools.chain(*before.values())) == sorted(names)
    assert all(len(upstreams) <= SHARD_UPSTREAMS for upstreams in after.values())
    assert len(before) == 1 or len(names) != SHARD_UPSTREAMS
    changed = [shard for shard in before if after.get(shard) != before[shard]]
    assert len(changed) <= 1
    moved = {name for shard in changed for name in before[shard]} | {new}
    created = [after[shard] for shard in after if after[shard] != before.get(shard)]
    assert set(itertools.chain(*created)) == moved


@given(st.sets(st.integers(0, 400), min_size=1, max_size=60), st.integers(500, 900))
def test_adding_or_removing_a_node_moves_only_its_own_shards(nodes: set[int], new: int) -> None:
    # Guards against a restart that moves the ownership of shards between other nodes.
    rankings = [Ranking(ShardId(f"p/{n}")) for n in range(200)]
    for ranking, number in itertools.product(rankings, sorted(nodes)):
        ranking.add(node_id(number))
    before = [ranking.first(1) for ranking in rankings]
    for ranking in rankings:
        ranking.add(node_id(new))
        ranking.add(node_id(new))
    after = [ranking.first(1) for ranking in rankings]
    moved = [now for then, now in zip(before, after, strict=True) if now != then]
    assert all(now == [node_id(new)] for now in moved)
    mean = 200 / (len(nodes) + 1)
    assert len(moved) <= mean + 5 * mean**0.5
    for ranking in rankings:
        ranking.remove(node_id(new))
    assert [ranking.first(1) for ranking in rankings] == before


class LeaseStore:
    """Model of the leases in the log.

    ``reacquire`` is the answer to a holder that acquires its lease again: "same" keeps the
    fencing number, "new" grants a new one, "denied" denies the lease.
    """

    def __init__(self, reacquire: str) -> None:
        self.reacquire = reacquire
        self.leases: dict[str, tuple[NodeId, int, float]] = {}
        self.fencing = 0

    def apply(self, command: Any, now_ms: float) -> LeaseResult:
        holder, fencing, until_ms = self.leases.get(command.resource, (None, 0, 0.0))
        if until_ms <= now_ms:
            holder = None
        if isinstance(command, ReleaseLease):
            if (holder, fencing) == (command.holder, command.fencing):
                self.leases[command.resource] = (command.holder, fencing, 0.0)
            return LeaseResult(False, None, fencing)
        own = holder == command.holder
        if command.fencing:
            granted = own and fencing == command.fencing
        else:
            granted = holder is None or (own and self.reacquire != "denied")
            if granted and (holder is None or self.reacquire == "new"):
                self.fencing += 1
                fencing = self.fencing
        if not granted:
            return LeaseResult(False, holder, fencing)
        self.leases[command.resource] = (command.holder, fencing, now_ms + command.duration_ms)
        return LeaseResult(True, command.holder, fencing)


class OwnershipMachine(RuleBasedStateMachine):
    """Compare the owners according to the effects with the leases of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked = BlockedLinks()
        self.rng = random.Random(5)
        self.network = SimulatedNetwork(
            self.rng, delay_ms=(0.5, 300.0), blocked=self.blocked, on_effect=self.check_effect
        )
        self.roles: dict[NodeId, Ownership] = {}
        self.store = LeaseStore("same")
        self.owners: dict[ShardId, NodeId] = {}
        self.epochs: set[tuple[ShardId, int]] = set()
        self.without_log: set[NodeId] = set()
        self.log_loss = 0.0
        self.slow_log = True
        self.starts = 0
        self.finished: set[str] = set()

    nodes = st.integers(0, NODES - 1).map(node_id)

    @initialize(reacquire=st.sampled_from(["same", "new", "denied"]))
    def start_all(self, reacquire: str) -> None:
        self.store = LeaseStore(reacquire)
        for number in range(NODES):
            self.start(node_id(number))

    def start(self, node: NodeId) -> None:
        self.starts += 1
        self.stop(node)
        role = Ownership(node, str(self.starts), random.Random(self.starts))
        self.roles[node] = role
        skew_ms, rate = self.rng.uniform(0.0, 1e6), 0.99 + 0.02 * (int(node[1:]) % 2)
        self.network.add(Host(node, [role], skew_ms=skew_ms, rate=rate))
        self.network.inject(node, ShardsChanged(SHARDS))
        for other in sorted(self.roles):
            self.network.inject(node, MemberUp(member(int(other[1:]))))
            if other != node:
                self.network.inject(other, MemberUp(member(int(node[1:]))))

    def stop(self, node: NodeId) -> None:
        self.network.remove(node)
        self.roles.pop(node, None)
        self.owners = {shard: owner for shard, owner in self.owners.items() if owner != node}

    def check_effect(self, host: Host, effect: Any) -> None:
        match effect:
            case OwnershipGained(shard=shard, epoch=epoch):
                assert (shard, epoch) not in self.epochs
                assert shard not in self.owners
                self.epochs.add((shard, epoch))
                self.owners[shard] = host.node
            case OwnershipLost(shard=shard):
                assert self.owners.pop(shard) == host.node
                holder, _, until_ms = self.store.leases[f"shard/{shard}"]
                assert holder == host.node
                assert self.network.now_ms < until_ms
            case SubmitProposal():
                self.submit(host, effect)

    def submit(self, host: Host, proposal: SubmitProposal) -> None:
        now_ms = self.network.now_ms
        paused = self.rng.random() < self.log_loss
        give_up_ms = now_ms + (5_000.0 if paused else proposal.timeout_ms / host.rate)
        self.network.call_at(give_up_ms, functools.partial(self.finish, host, proposal, None))
        if host.node not in self.without_log and self.rng.random() >= self.log_loss:
            slow = [400.0, 2_500.0] if self.slow_log else []
            at_ms = now_ms + self.rng.choice([2.0, 20.0, *slow])
            self.network.call_at(at_ms, functools.partial(self.commit, host, proposal))

    def commit(self, host: Host, proposal: SubmitProposal) -> None:
        now_ms = self.network.now_ms
        before = dict(self.store.leases)
        result = self.store.apply(proposal.command, now_ms)
        if isinstance(proposal.command, AcquireLease) and result.granted:
            resource = proposal.command.resource
            shard = ShardId(resource.removeprefix("shard/"))
            if before.get(resource, (None,))[0] != host.node:
                assert self.owners.get(shard) is None
        if self.rng.random() >= self.log_loss:
            slow = [500.0, 2_500.0] if self.slow_log else []
            at_ms = now_ms + self.rng.choice([1.0, 80.0, *slow])
            self.network.call_at(at_ms, functools.partial(self.finish, host, proposal, result))

    def finish(self, host: Host, proposal: SubmitProposal, result: Any) -> None:
        already_finished = proposal.proposal_id in self.finished
        if not already_finished and self.network.hosts.get(host.node) is host:
            self.finished.add(proposal.proposal_id)
            self.network.inject(host.node, ProposalDone(proposal.proposal_id, result))

    @rule(ms=st.sampled_from([100.0, 700.0, 2_500.0, 9_000.0]))
    def run_for(self, ms: float) -> None:
        self.network.run(ms)

    @rule(loss=st.sampled_from([0.0, 0.3]), log_loss=st.sampled_from([0.0, 0.3]))
    def set_faults(self, loss: float, log_loss: float) -> None:
        self.network.loss = self.network.duplicates = loss
        self.log_loss = log_loss

    @rule(node=nodes)
    def cut_from_log(self, node: NodeId) -> None:
        self.without_log ^= {node}

    @rule(node=nodes, one_way=st.booleans())
    def isolate(self, node: NodeId, one_way: bool) -> None:
        self.blocked.partition([node], [n for n in self.roles if n != node], one_way)

    @rule(node=nodes)
    def restart(self, node: NodeId) -> None:
        self.start(node)

    @rule(node=nodes)
    def crash(self, node: NodeId) -> None:
        if len(self.roles) > 1:
            self.stop(node)
            for other in sorted(self.roles):
                self.network.inject(other, MemberDown(node))

    @rule(node=nodes)
    def drain(self, node: NodeId) -> None:
        if node in self.roles:
            for other in sorted(self.roles):
                self.network.inject(other, MemberLeaving(node))
            self.network.inject(node, ReleaseOwnership())
            assert not self.roles[node].owned_shards()

    @rule(one=nodes, other=nodes)
    def report_down_falsely(self, one: NodeId, other: NodeId) -> None:
        if one in self.roles and one != other:
            self.network.inject(one, MemberDown(other))

    def teardown(self) -> None:
        """Heal all faults, start every node, and expect the first node of each shard to own it."""
        self.blocked.links.clear()
        self.without_log.clear()
        self.slow_log = False
        self.network.loss = self.log_loss = 0.0
        for number in range(NODES):
            self.start(node_id(number))
        nodes = sorted(self.roles)
        expected = {shard: first_ranked(shard, nodes) for shard in SHARDS}

        def settled() -> bool:
            owners = [role.owner(shard) for role in self.roles.values() for shard in SHARDS]
            leases = [self.store.leases.get(f"shard/{s}", ("", 0, 0))[:2] for s in SHARDS]
            return self.owners == expected and owners == leases * NODES

        assert self.network.run(60_000.0, settled), (self.owners, expected)


def first_ranked(shard: ShardId, nodes: list[NodeId]) -> NodeId:
    ranking = Ranking(shard)
    for node in nodes:
        ranking.add(node)
    return ranking.first(1)[0]


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(max_examples=50, stateful_step_count=20)


def test_another_node_takes_over_within_four_seconds_of_a_crash() -> None:
    # Guards against a shard that has no owner until membership declares the old owner dead.
    for seed in range(10):
        machine = OwnershipMachine()
        machine.rng.seed(seed)
        machine.network.delay_ms = (0.5, 5.0)
        machine.submit = functools.partial(submit_to_fast_log, machine)  # type: ignore[method-assign]
        machine.start_all("same")
        machine.network.run(5_000.0)
        assert len(machine.owners) == len(SHARDS)
        machine.stop(machine.owners[SHARDS[0]])
        assert machine.network.run(4_000.0, lambda m=machine: SHARDS[0] in m.owners)  # type: ignore[misc]


def submit_to_fast_log(machine: OwnershipMachine, host: Host, proposal: SubmitProposal) -> None:
    def commit() -> None:
        result = machine.store.apply(proposal.command, machine.network.now_ms)
        machine.finish(host, proposal, result)

    machine.network.call_at(machine.network.now_ms + 10.0, commit)


def test_a_lease_counts_from_the_time_at_which_the_request_was_sent() -> None:
    # Guards against a holder that uses its lease after it has expired in the log.
    role = Ownership(node_id(0), "1", random.Random(1))
    role.handle(ShardsChanged(SHARDS[:1]), 0.0)
    role.handle(MemberUp(member(0)), 0.0)
    effects: list[Any] = []
    for fencing, now_ms in ((1, 100.0), (1, 200.0), (2, 900.0)):
        proposal = role._shards[SHARDS[0]].proposal_id
        result = LeaseResult(True, node_id(0), fencing)
        effects = role.handle(ProposalDone(proposal, result), now_ms)
    assert OwnershipGained(SHARDS[0], 2) in effects
    proposal = role._shards[SHARDS[0]].proposal_id
    late_effects = role.handle(ProposalDone(proposal, None), 200.0 + LEASE_MS - 1.0)
    assert OwnershipLost(SHARDS[0]) in late_effects


def test_an_announcement_before_the_first_configuration_is_not_lost() -> None:
    # Guards against a starting entry node that admits requests locally although the shard has an
    # owner.
    ownership = Ownership(node_id(1), "session", random.Random(1))
    announce = OwnerAnnounce(SHARDS[0], node_id(2), 7)
    assert ownership.handle(Receive(node_id(2), announce), 0.0) == []
    effects = ownership.handle(ShardsChanged(SHARDS), 1.0)
    assert OwnerChanged(SHARDS[0], node_id(2), 7) in effects


def test_a_draining_node_learns_the_owner_that_follows_until_it_is_gone() -> None:
    # Guards against requests that wait at a draining node until their timeout, because it does not
    # know the next owner of the shard.
    role = Ownership(node_id(0), "1", random.Random(1))
    role.handle(ShardsChanged(SHARDS[:1]), 0.0)
    for number in range(2):
        role.handle(MemberUp(member(number)), 0.0)
    role.handle(MemberLeaving(node_id(1)), 50.0)
    announced = []
    for fencing, now_ms in ((1, 100.0), (1, 200.0), (2, 900.0)):
        result = LeaseResult(True, node_id(0), fencing)
        effects = role.handle(ProposalDone(role._shards[SHARDS[0]].proposal_id, result), now_ms)
        announced += [effect for effect in effects if isinstance(effect, Send)]
    assert announced == [Send(node_id(1), OwnerAnnounce(SHARDS[0], node_id(0), 2))]
    role.handle(MemberDown(node_id(1)), 950.0)
    role.handle(Tick(), 900.0 + RENEW_MS)
    result = LeaseResult(True, node_id(0), 2)
    proposal = role._shards[SHARDS[0]].proposal_id
    effects = role.handle(ProposalDone(proposal, result), 901.0 + RENEW_MS)
    assert not [effect for effect in effects if isinstance(effect, Send)]
