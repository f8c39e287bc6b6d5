"""Tests of how control nodes find the log after the seeds of their settings have changed."""

from __future__ import annotations

import random

import pytest
from tests.core.control_net import Net
from tests.core.test_control import SEEDS, A, B, C, D, E, commit, formed_net

from goldcrestridge_core.control import MAX_CONTACTS
from goldcrestridge_core.follow_types import ControlNotice
from goldcrestridge_core.log_types import JoinReplica, Propose, ProposeReply, Query, QueryReply
from goldcrestridge_core.types import Count, NodeId, Receive, Send

P, Q, R, S = map(NodeId, ("p:1", "q:1", "r:1", "s:1"))
DISKLESS = (P, Q, R)


def net_with_diskless_nodes(seed: int) -> Net:
    """Return a formed log on A, B and C, beside control nodes without a disk."""
    net = formed_net(seed)
    for node in DISKLESS:
        net.start_control(node, bootstrap=False, disk=False)
    net.run(500.0)
    commit(net, P, 1)
    return net


def replace(net: Net, old: NodeId, new: NodeId) -> None:
    """Add a node with an empty disk, and stop another one for good 2 s later."""
    net.start_control(new, bootstrap=False)
    net.run(2_000.0)
    net.kill(old, wipe=True)
    net.run(8_000.0)


@pytest.mark.parametrize("seed", range(6))
def test_replicas_are_replaced_through_seeds_without_a_disk(seed: int) -> None:
    # Guards against a log that loses its quorum at the second replacement, because the seeds drop
    # the announcements of replicas with empty disks.
    net = net_with_diskless_nodes(seed)
    net.exchange_seeds(DISKLESS)
    net.run(2_000.0)
    replace(net, A, D)
    replace(net, B, E)
    assert net.voters_of(net.leaders()[0]) == {C, D, E}
    commit(net, Q, 2)
    assert net.document_at(R).version == 2


@pytest.mark.parametrize("seed", range(6))
def test_a_replica_joins_through_a_seed_that_knows_only_its_own_seeds(seed: int) -> None:
    # Guards against a replica that stays out because its seeds have never heard of the leader: the
    # replicas still have the former seeds, which these seeds know from their own settings.
    net = net_with_diskless_nodes(seed)
    net.start_control(S, bootstrap=False, disk=False)
    net.exchange_seeds((S,), but={*SEEDS, S})
    replace(net, A, D)
    assert net.voters_of(net.leaders()[0]) == {B, C, D}


@pytest.mark.parametrize("seed", range(6))
def test_a_replica_joins_through_seeds_that_restarted_after_the_former_ones_had_left(
    seed: int,
) -> None:
    # Guards against nodes that know only seeds that are gone or have no replica.
    net = net_with_diskless_nodes(seed)
    net.exchange_seeds(DISKLESS)
    net.run(2_000.0)
    replace(net, A, D)
    replace(net, B, E)
    for node in DISKLESS:
        net.kill(node)
        net.start_control(node, bootstrap=False, disk=False)
    net.run(1_500.0)
    replace(net, C, NodeId("f:1"))
    assert net.voters_of(net.leaders()[0]) == {D, E, NodeId("f:1")}
    commit(net, P, 2)


@pytest.mark.parametrize("seed", range(4))
def test_a_replica_whose_seeds_were_down_joins_when_they_are_back(seed: int) -> None:
    # Guards against a replica that gives up, or whose seeds do not learn the leader again.
    net = net_with_diskless_nodes(seed)
    net.exchange_seeds(DISKLESS)
    net.run(1_000.0)
    for node in DISKLESS:
        net.kill(node)
    replace(net, A, D)
    assert D not in net.voters_of(net.leaders()[0])
    net.start_control(Q, bootstrap=False, disk=False)
    net.run(6_000.0)
    assert net.voters_of(net.leaders()[0]) == {B, C, D}


@pytest.mark.parametrize("seed", range(4))
def test_a_removed_replica_that_was_cut_off_comes_back_through_seeds_without_a_disk(
    seed: int,
) -> None:
    # Guards against a replica with an old membership whose members are all gone.
    net = net_with_diskless_nodes(seed)
    net.exchange_seeds(DISKLESS)
    net.run(2_000.0)
    net.partition({A})
    replacements = ((None, D), (B, E), (C, NodeId("f:1")))
    for old, new in replacements:
        net.start_control(new, bootstrap=False)
        net.partition({A})
        net.run(2_000.0)
        if old is not None:
            net.kill(old, wipe=True)
        net.run(8_000.0)
    assert A not in net.voters_of(net.leaders()[0])
    net.partition(())
    net.run(2_000.0)
    lost = next(node for node in (D, E) if node not in net.leaders())
    net.kill(lost, wipe=True)
    net.run(8_000.0)
    assert A in net.voters_of(net.leaders()[0])


@pytest.mark.parametrize("seed", range(4))
def test_a_node_that_waits_to_join_names_the_leader_to_others(seed: int) -> None:
    # Guards against entry nodes and operators that reach only nodes whose replica is not in the
    # log yet, and are told of no other node.
    net = net_with_diskless_nodes(seed)
    net.exchange_seeds(DISKLESS)
    net.start_control(D, bootstrap=False)
    net.run(2_000.0)
    assert D not in net.voters_of(net.leaders()[0])  # No replica is lost, so it waits.
    follower = net.start_follower(NodeId("x:2"), (D,))
    net.run(1_500.0)
    assert follower.version == 1
    commit(net, D, 2)
    assert net.document_at(D).version == 2


def test_each_message_is_answered_or_counted_without_a_replica() -> None:
    # Guards against messages that a node without a replica drops without a trace.
    net = net_with_diskless_nodes(1)
    leader = net.leaders()[0]
    replica = net.disks[A].replica
    joining = JoinReplica(type(replica)(D, "new"), True)
    role = net.nodes[P]
    sent = role.handle(Receive(D, joining), net.now_ms)
    assert Send(leader, joining) in sent
    assert Send(D, ControlNotice(leader, SEEDS)) in sent
    # An announcement that another node passed on goes no further.
    passed_on = role.handle(Receive(Q, joining), net.now_ms)
    assert [item.to for item in passed_on if isinstance(item, Send)] == [D]
    replies = [
        effect.message
        for message in (Propose("a", b""), Query("b", b""))
        for effect in role.handle(Receive(Q, message), net.now_ms)
        if isinstance(effect, Send)
    ]
    assert replies == [
        ProposeReply("a", False, b"", leader),
        QueryReply("b", False, b"", leader),
    ]
    append = next(
        effect.message
        for effect in net.nodes[leader].handle(Receive(Q, Propose("c", b"")), net.now_ms + 200.0)
        if isinstance(effect, Send) and type(effect.message).__name__ == "Append"
    )
    assert role.handle(Receive(leader, append), net.now_ms) == [
        Count("control_messages_dropped", 1, (("kind", "Append"),))
    ]


def test_the_contacts_of_a_node_are_bounded() -> None:
    # Guards against announcements to ever more nodes in a deployment whose nodes are exchanged.
    net = net_with_diskless_nodes(1)
    role = net.nodes[P]
    for number in range(100):
        nodes = tuple(NodeId(f"n{number}-{index}:1") for index in range(3))
        role.handle(Receive(nodes[0], ControlNotice(nodes[0], nodes)), net.now_ms)
    assert len(role.contacts()) <= MAX_CONTACTS + len(SEEDS)
    assert nodes[0] in role.contacts()


@pytest.mark.parametrize("seed", range(20))
def test_the_log_outlasts_random_exchanges_of_seeds_and_nodes(seed: int) -> None:
    # Guards against any order of exchanges, replacements, losses and restarts within what the
    # deployment tolerates after which there is no leader or an acknowledged version is not read.
    rng = random.Random(f"contacts {seed}")
    net = net_with_diskless_nodes(seed)
    core, number, version = list(SEEDS), 0, 1
    for _ in range(12):
        kind = rng.choice(("seeds", "planned", "sudden", "wipe", "restart", "herd", "cut"))
        settled = net.leaders()
        if kind == "seeds":
            late = rng.sample((*core, *DISKLESS), rng.randrange(3))
            net.exchange_seeds(tuple(rng.sample((*core, *DISKLESS), 3)), but=late)
            net.run(rng.uniform(0.0, 2_500.0))
            net.exchange_seeds(net.seeds)
        elif kind in ("planned", "sudden"):
            number += 1
            old, new = rng.choice(core), NodeId(f"new{number}:1")
            core[core.index(old)] = new
            # A process that starts later finds only nodes that exist in its settings.
            net.seeds = tuple(new if node == old else node for node in net.seeds)
            if kind == "planned":
                net.start_control(new, bootstrap=False)
                net.run(rng.uniform(500.0, 2_500.0))
            net.kill(old, wipe=True)
            if kind == "sudden":
                net.run(rng.uniform(0.0, 4_000.0))
                net.start_control(new, bootstrap=False)
            net.run(9_000.0)
        elif kind == "wipe":
            lost = rng.choice(core)
            net.kill(lost, wipe=True)
            net.run(rng.uniform(100.0, 3_000.0))
            net.start_control(lost, bootstrap=False)
            net.run(9_000.0)
        elif kind == "restart":
            node = rng.choice((*core, *DISKLESS))
            net.kill(node)
            net.run(rng.uniform(100.0, 3_000.0))
            net.start_control(node, bootstrap=False, disk=node in core)
            net.run(4_000.0)
        elif kind == "herd":
            for node in (*core, *DISKLESS):
                net.kill(node)
            net.run(500.0)
            for node in rng.sample((*core, *DISKLESS), 6):
                net.start_control(node, bootstrap=False, disk=node in core)
            net.run(5_000.0)
        else:
            net.partition({rng.choice((*core, *DISKLESS))})
            net.run(rng.uniform(500.0, 5_000.0))
            net.partition(())
            net.run(4_000.0)
        assert len(net.leaders()) == 1, (kind, settled)
        version += 1
        commit(net, rng.choice((*core, *DISKLESS)), version)
        assert net.document_at(rng.choice((*core, *DISKLESS))).version == version
