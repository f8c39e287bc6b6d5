"""Tests of configuration distribution: convergence, restarts, digests and bounds."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from goldcrestridge_core import differences
from goldcrestridge_core.member_types import (
    ConfigCommitted,
    ConfigConfirmed,
    ConfigDelta,
    ConfigHint,
    ConfigInForce,
    ConfigPull,
    MemberUp,
)
from goldcrestridge_core.spread import MAX_PAST_BYTES, MAX_PAST_VERSIONS, ConfigDistributor
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_lab.carrier_members import (
    BlockedLinks,
    SimulatedNetwork,
    member,
    node_id,
    start_distributor,
)

REPLICAS = 2
NODES = 5
PEER = node_id(1)


def document(version: int) -> dict[str, Any]:
    """Return a document in which each version changes, adds or removes keys."""
    names = [f"w{n}" for n in range(version % 7, 12)]
    return {"workspaces": {name: {"share": float(version)} for name in names}, "v": version}


def start_distributors(
    network: SimulatedNetwork, count: int, replicas: int
) -> dict[NodeId, ConfigDistributor]:
    return {node_id(n): start_distributor(network, n, 1, replicas) for n in range(count)}


def commit(network: SimulatedNetwork, node: NodeId, version: int) -> None:
    network.inject(node, ConfigCommitted(version, document(version)))
    network.inject(node, ConfigConfirmed(version, 0.0))


def test_a_change_is_in_force_everywhere_within_4_s_despite_loss_and_a_leader_change() -> None:
    # Guards against changes that wait for a probe, and against pulls that wait too long for a peer
    # that does not answer.
    for seed in range(10):
        network = SimulatedNetwork(random.Random(seed), loss=0.1, delay_ms=(0.5, 60.0))
        distributors = start_distributors(network, 12, 3)
        network.run(8_000.0)
        commit(network, node_id(0), 1)
        assert network.run(4_000.0, lambda s=distributors: all(r.serving for r in s.values()))  # type: ignore[misc]
        commit(network, node_id(0), 2)
        network.run(20.0)
        network.remove(node_id(0))
        del distributors[node_id(0)]
        network.run(1_000.0)
        commit(network, node_id(1), 2)
        hints = [role.hint for role in distributors.values()]
        assert network.run(2_980.0, lambda h=hints: all(hint().version == 2 for hint in h))  # type: ignore[misc]


def serving_role(version: int = 0) -> ConfigDistributor:
    """Return a role that serves ``version`` and knows one peer."""
    role = ConfigDistributor(node_id(0), (PEER,), random.Random(1))
    role.handle(MemberUp(member(1)), 0.0)
    for number in range(1, version + 1):
        role.handle(ConfigCommitted(number, document(number)), 0.0)
    role.handle(ConfigConfirmed(version, 0.0), 0.0)
    return role


def test_a_node_does_not_serve_before_it_knows_what_was_current_after_its_start() -> None:
    # Guards against a node that serves an older version than before its restart.
    role = ConfigDistributor(node_id(0), (PEER,), random.Random(1))
    sent = role.handle(MemberUp(member(1)), 1_000.0) + role.handle(_tick(), 1_000.0)
    pull = next(e.message for e in sent if isinstance(e, Send))
    data = differences.encode_tables(document(3))
    digest = differences.digest(document(3))
    stale = ConfigDelta(0, 3, digest, data, age_ms=1.0, sequence=pull.sequence)
    effects = role.handle(Receive(PEER, stale), 1_010.0)
    assert not role.serving
    assert role.hint() == ConfigHint(0, "")
    assert not [e for e in effects if isinstance(e, ConfigInForce)]
    sent = role.handle(_tick(), 1_300.0)
    pull = next(e.message for e in sent if isinstance(e, Send))
    mismatched = ConfigDelta(3, 3, digest, b"", age_ms=10.0, sequence=pull.sequence + 1)
    role.handle(Receive(PEER, mismatched), 1_310.0)
    assert not role.serving
    fresh = ConfigDelta(3, 3, digest, b"", age_ms=10.0, sequence=pull.sequence)
    effects = role.handle(Receive(PEER, fresh), 1_320.0)
    assert ConfigInForce(3, document(3)) in effects


def test_a_delta_with_a_wrong_digest_or_an_older_version_changes_nothing() -> None:
    # Guards against a version in force that no operator applied, and against a return to an older
    # one.
    role = serving_role(4)
    wrong = differences.encode_patch(differences.compare(document(4), document(6)))
    bad = ConfigDelta(4, 5, differences.digest(document(5)), wrong)
    malformed = ConfigDelta(4, 5, differences.digest(document(5)), b"\xc1")
    old = ConfigDelta(0, 3, differences.digest(document(3)), _encoded(3))
    for delta in (bad, malformed, old):
        effects = role.handle(Receive(PEER, delta), 10.0)
        assert not [e for e in effects if isinstance(e, ConfigInForce)]
    assert role.hint() == ConfigHint(4, differences.digest(document(4)))


def test_a_replica_that_knows_of_a_newer_version_reports_no_age_for_its_own() -> None:
    # Guards against a starting node that treats an outdated version as the current one.
    role = serving_role(4)
    role.handle(ConfigConfirmed(5, 0.0), 100.0)
    answer = role.handle(Receive(PEER, ConfigPull(0, "", 9)), 100.0)[0]
    assert answer.message.version == 4
    assert answer.message.age_ms < 0.0
    role.handle(ConfigCommitted(5, document(5)), 150.0)
    answer = role.handle(Receive(PEER, ConfigPull(0, "", 9)), 160.0)[0]
    assert (answer.message.version, answer.message.age_ms) == (5, 60.0)


def test_past_versions_are_bounded_and_share_unchanged_parts() -> None:
    # Guards against memory use that grows with the number of changes.
    role = serving_role(3 * MAX_PAST_VERSIONS)
    assert len(role._past) == MAX_PAST_VERSIONS
    recent = 3 * MAX_PAST_VERSIONS - 7
    pull = ConfigPull(recent, differences.digest(document(recent)))
    assert role.handle(Receive(PEER, pull), 1.0)[0].message.base_version == recent
    forgotten = ConfigPull(1, differences.digest(document(1)))
    assert role.handle(Receive(PEER, forgotten), 1.0)[0].message.base_version == 0
    forged = ConfigPull(recent, "another digest")
    assert role.handle(Receive(PEER, forged), 1.0)[0].message.base_version == 0
    large = {"blob": "x" * (MAX_PAST_BYTES + 1)}
    role.handle(ConfigCommitted(1_000, large), 2.0)
    assert not role._past
    role.handle(ConfigCommitted(1_001, {**large, "a": {"b": 1}}), 3.0)
    role.handle(ConfigCommitted(1_002, {"blob": "y", "a": {"b": 1}}), 4.0)
    assert role._held
    assert role._past[-1].document["a"] is role._held.document["a"]


def test_an_offer_that_a_peer_never_answers_is_dropped() -> None:
    # Guards against pulls that never end after the hint of a faulty peer.
    role = serving_role(2)
    role.handle(Receive(PEER, ConfigHint(99, "x")), 0.0)
    now_ms = 0.0
    for _ in range(200):
        deadline = role.next_deadline_ms()
        if deadline is None:
            break
        now_ms = max(deadline, now_ms)
        role.handle(_tick(), now_ms)
    assert role.next_deadline_ms() is None
    assert now_ms < 5_000.0


def _tick() -> Tick:
    return Tick()


def _encoded(version: int) -> bytes:
    return differences.encode_tables(document(version))


class ConfigDistributorMachine(RuleBasedStateMachine):
    """Compare the nodes with a model: the times at which versions 1, 2, 3, ... were committed."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked = BlockedLinks()
        self.network = SimulatedNetwork(
            random.Random(3), delay_ms=(0.5, 900.0), blocked=self.blocked
        )
        self.distributors = start_distributors(self.network, NODES, REPLICAS)
        self.committed_ms: list[float] = []
        self.incarnation = 1
        self.min_version: dict[NodeId, int] = dict.fromkeys(self.distributors, 0)
        self.last_version: dict[NodeId, int] = dict.fromkeys(self.distributors, 0)
        self.checked_effects: dict[NodeId, int] = dict.fromkeys(self.distributors, 0)
        self.commit(node_id(0), notify=True)
        self.heal()

    nodes = st.integers(0, NODES - 1).map(node_id)
    replicas = st.integers(0, REPLICAS - 1).map(node_id)

    def current(self, at_ms: float) -> int:
        return sum(time_ms <= at_ms for time_ms in self.committed_ms)

    @rule(node=replicas, notify=st.booleans())
    def commit(self, node: NodeId, notify: bool) -> None:
        self.committed_ms.append(self.network.now_ms)
        version = len(self.committed_ms)
        if notify:
            self.network.inject(node, ConfigCommitted(version, document(version)))

    @rule(node=replicas, age_ms=st.sampled_from([0.0, 100.0, 1_000.0]))
    def confirm(self, node: NodeId, age_ms: float) -> None:
        current = self.current(self.network.now_ms - age_ms)
        self.network.inject(node, ConfigConfirmed(current, age_ms))

    @rule(node=replicas)
    def catch_up(self, node: NodeId) -> None:
        version = len(self.committed_ms)
        self.network.inject(node, ConfigCommitted(version, document(version)))

    @rule(node=nodes)
    def restart(self, node: NodeId) -> None:
        self.incarnation += 1
        self.distributors[node] = start_distributor(
            self.network, int(node[1:]), self.incarnation, REPLICAS
        )
        self.distributors[node].handle(MemberUp(member(0)), self.network.now_ms)
        self.min_version[node] = len(self.committed_ms)
        self.checked_effects[node] = 0

    @rule(node=nodes, ms=st.sampled_from([30.0, 300.0]))
    def restart_after_an_unannounced_change(self, node: NodeId, ms: float) -> None:
        self.confirm(node_id(0), 0.0)
        self.network.run(ms)
        self.commit(node_id(0), notify=False)
        self.restart(node)
        self.network.run(3_000.0)

    @rule(loss=st.sampled_from([0.0, 0.2, 0.5]), duplicates=st.sampled_from([0.0, 0.5]))
    def set_faults(self, loss: float, duplicates: float) -> None:
        self.network.loss = loss
        self.network.duplicates = duplicates

    @rule(mask=st.integers(1, 2**NODES - 2), one_way=st.booleans())
    def partition(self, mask: int, one_way: bool) -> None:
        left = [node_id(n) for n in range(NODES) if mask >> n & 1]
        right = [node_id(n) for n in range(NODES) if not mask >> n & 1]
        self.blocked.partition(left, right, one_way)

    @rule(ms=st.sampled_from([30.0, 300.0, 5_000.0]))
    def run_for(self, ms: float) -> None:
        self.network.run(ms)

    @rule()
    def heal(self) -> None:
        self.blocked.links.clear()
        self.network.loss = 0.0
        for replica in range(REPLICAS):
            self.catch_up(node_id(replica))
        for _ in range(150):
            for replica in range(REPLICAS):
                self.confirm(node_id(replica), 0.0)
            self.network.run(200.0)
            if all(s.hint().version == len(self.committed_ms) for s in self.distributors.values()):
                return
        raise AssertionError({n: s.hint().version for n, s in self.distributors.items()})

    @invariant()
    def versions_are_exact_and_never_go_back(self) -> None:
        for node, host in self.network.hosts.items():
            for _, effect in host.effects[self.checked_effects[node] :]:
                if isinstance(effect, ConfigInForce):
                    assert effect.version > self.last_version[node] or self.first_since_start(
                        node, effect
                    )
                    assert effect.version >= max(self.last_version[node], self.min_version[node])
                    assert effect.document == document(effect.version)
                    self.last_version[node] = effect.version
            self.checked_effects[node] = len(host.effects)

    def first_since_start(self, node: NodeId, effect: ConfigInForce) -> bool:
        in_force = [e for _, e in self.network.hosts[node].effects if isinstance(e, ConfigInForce)]
        return in_force[0] is effect

    def teardown(self) -> None:
        self.heal()
        self.versions_are_exact_and_never_go_back()


TestConfigDistributorMachine = ConfigDistributorMachine.TestCase
TestConfigDistributorMachine.settings = settings(max_examples=50, stateful_step_count=15)
