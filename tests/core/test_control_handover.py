"""Tests of control nodes that stop, freeze or are lost while their successors come."""

from __future__ import annotations

import random

import pytest
from tests.core import control_net
from tests.core.control_net import Net

from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.types import NodeId
from goldcrestridge_core.versions import ReplaceResult, ReplaceStatus, VersionedDocument

NODES = tuple(NodeId(f"{letter}:1") for letter in "abcdefgh")
FORMED_MS = 6_000.0
# A new node counts as caught up this long after its start, and the one that it replaces as gone.
CATCH_UP_MS = 4_000.0
# A machine that is lost is replaced by an empty one after this time.
REPLACED_MS = 2_000.0
SETTLED_MS = 12_000.0
# Nodes with a disk, and voters: with and without a spare, and two losses that are tolerated.
SIZES = ((3, 3), (4, 3), (5, 5))
# Whether the leader is lost first, second or never.
LEADERS = ("first", "second", "neither")


def formed_net(monkeypatch: pytest.MonkeyPatch, seed: int, size: int, voters: int) -> Net:
    """Return a deployment whose log holds version 1."""
    options = LogOptions(heartbeat_ms=200.0, election_timeout_ms=800.0, target_voters=voters)
    monkeypatch.setattr(control_net, "OPTIONS", options)
    net = Net(seed, NODES[:3], voters)
    for node in NODES[:size]:
        net.start_control(node, bootstrap=True)
        net.run(100.0)
    net.run(FORMED_MS)
    name = net.replace(NODES[0], 1, b"v1")
    net.run(3_500.0)
    assert net.answers[name] == ReplaceResult(ReplaceStatus.STORED, 1)
    return net


def victims(net: Net, leader: str) -> tuple[NodeId, NodeId]:
    """Return two voters that are lost one after the other."""
    (leading,) = net.leaders()
    others = sorted(net.voters_of(leading) - {leading})
    match leader:
        case "first":
            return leading, others[0]
        case "second":
            return others[0], leading
    return others[0], others[1]


def run_until(net: Net, time_ms: float) -> None:
    net.run(max(0.0, time_ms - net.now_ms))


def check_alive(net: Net, node: NodeId, voters: int) -> None:
    """Check that one log of full size is left and holds what was acknowledged."""
    net.run(SETTLED_MS)
    (leading,) = net.leaders()
    assert len(net.voters_of(leading)) == voters
    assert net.document_at(node) == VersionedDocument(1, b"v1")
    name = net.replace(node, 2, b"v2")
    net.run(3_500.0)
    assert net.answers[name] == ReplaceResult(ReplaceStatus.STORED, 2)


@pytest.mark.parametrize("after_ms", [0.0, 100.0, 300.0, 700.0, 1_500.0, 2_900.0])
@pytest.mark.parametrize("stopped_ms", [500.0, 2_000.0, 4_200.0])
@pytest.mark.parametrize("leader", LEADERS)
@pytest.mark.parametrize(("size", "voters"), SIZES)
def test_control_outlasts_a_loss_right_after_a_planned_replacement(
    monkeypatch: pytest.MonkeyPatch,
    size: int,
    voters: int,
    leader: str,
    stopped_ms: float,
    after_ms: float,
) -> None:
    # Guards against a quorum that is lost for good, because a stopped node stays a voter although
    # its successor has been up for the time that it has to catch up.
    net = formed_net(monkeypatch, int(after_ms), size, voters)
    stopped, lost = victims(net, leader)
    start_ms, (successor, later) = net.now_ms, NODES[size : size + 2]
    net.start_control(successor, bootstrap=False)
    run_until(net, start_ms + stopped_ms)
    net.terminate(stopped)
    run_until(net, start_ms + max(CATCH_UP_MS, stopped_ms) + after_ms)
    net.kill(lost, wipe=True)
    net.run(REPLACED_MS)
    net.start_control(later, bootstrap=False)
    check_alive(net, successor, voters)


@pytest.mark.parametrize("comes_ms", [0.0, 500.0, 1_000.0, 2_000.0])
@pytest.mark.parametrize("leader", LEADERS)
@pytest.mark.parametrize(("size", "voters"), SIZES)
def test_control_outlasts_a_loss_once_a_successor_had_time_to_catch_up(
    monkeypatch: pytest.MonkeyPatch, size: int, voters: int, leader: str, comes_ms: float
) -> None:
    # Guards against a successor that is taken in too late, since a leader counts the silence of its
    # predecessor from its own election on.
    net = formed_net(monkeypatch, int(comes_ms), size, voters)
    lost, second = victims(net, leader)
    successor, later = NODES[size : size + 2]
    net.kill(lost, wipe=True)
    net.run(comes_ms)
    net.start_control(successor, bootstrap=False)
    net.run(CATCH_UP_MS)
    net.kill(second, wipe=True)
    net.run(REPLACED_MS)
    net.start_control(later, bootstrap=False)
    check_alive(net, successor, voters)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("gone_ms", [1_000.0, 2_000.0])
def test_control_outlasts_two_replacements_without_notice(
    monkeypatch: pytest.MonkeyPatch, seed: int, gone_ms: float
) -> None:
    # Guards against the same loss where both successors come first and no node is told to stop.
    net = formed_net(monkeypatch, seed, 3, 3)
    for number, gone in enumerate(NODES[:2]):
        start_ms = net.now_ms
        net.start_control(NODES[3 + number], bootstrap=False)
        net.run(gone_ms)
        net.kill(gone, wipe=True)
        run_until(net, start_ms + CATCH_UP_MS)
    check_alive(net, NODES[3], 3)


@pytest.mark.parametrize("gap_ms", [0.0, 50.0, 300.0])
@pytest.mark.parametrize("leader", ["first", "neither"])
def test_two_spares_take_the_places_of_two_nodes_that_stop_at_once(
    monkeypatch: pytest.MonkeyPatch, leader: str, gap_ms: float
) -> None:
    # Guards against a single spare where the loss of two nodes is tolerated.
    net = formed_net(monkeypatch, int(gap_ms), 5, 5)
    stopped = victims(net, leader)
    for successor in NODES[5:7]:
        net.start_control(successor, bootstrap=False)
    net.run(CATCH_UP_MS)
    for node in stopped:
        net.terminate(node)
        net.run(gap_ms)
    for node in sorted(set(NODES[:5]) - set(stopped))[:2]:
        net.kill(node, wipe=True)
        net.run(gap_ms)
    net.run(REPLACED_MS)
    for node in (NODES[0], NODES[7]):
        net.start_control(node, bootstrap=False)
    check_alive(net, NODES[5], 5)


@pytest.mark.parametrize("pause_ms", [300.0, 1_000.0, 2_000.0, 4_000.0])
@pytest.mark.parametrize("leader", ["first", "neither"])
@pytest.mark.parametrize(("size", "voters"), SIZES)
def test_a_node_that_was_only_restarted_does_not_shrink_the_log(
    monkeypatch: pytest.MonkeyPatch, size: int, voters: int, leader: str, pause_ms: float
) -> None:
    # Guards against a planned restart that is taken for a removal.
    net = formed_net(monkeypatch, int(pause_ms), size, voters)
    stopped, lost = victims(net, leader)
    net.terminate(stopped)
    while stopped in net.stopping:
        net.run(10.0)
    net.run(pause_ms)
    net.start_control(stopped, bootstrap=False)
    net.run(CATCH_UP_MS)
    assert len(net.voters_of(net.leaders()[0])) == voters
    net.kill(lost)
    net.run(SETTLED_MS)
    assert net.document_at(stopped) == VersionedDocument(1, b"v1")


def test_a_node_without_a_spare_stops_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a restart that waits for a successor that never comes.
    net = formed_net(monkeypatch, 1, 3, 3)
    net.terminate(NODES[0])
    net.run(control_net.LINGER_MS)
    assert NODES[0] in net.stopped


@pytest.mark.parametrize("frozen_ms", [300.0, 1_400.0, 1_600.0, 3_000.0, 6_000.0])
@pytest.mark.parametrize("leader", ["first", "neither"])
@pytest.mark.parametrize(("size", "voters"), SIZES[1:])
def test_a_replica_that_comes_back_leaves_no_even_number_of_voters(
    monkeypatch: pytest.MonkeyPatch, size: int, voters: int, leader: str, frozen_ms: float
) -> None:
    # Guards against a voter that is heard again after its spare was promoted: four voters tolerate
    # no more losses than three.
    net = formed_net(monkeypatch, int(frozen_ms), size, voters)
    if size == voters:
        net.start_control(NODES[size], bootstrap=False)
        net.run(CATCH_UP_MS)
    frozen, lost = victims(net, leader)
    net.partition({frozen})
    net.run(frozen_ms)
    net.partition(())
    net.run(CATCH_UP_MS)
    assert len(net.voters_of(net.leaders()[0])) == voters
    net.kill(lost)
    net.run(SETTLED_MS)
    assert net.document_at(frozen) == VersionedDocument(1, b"v1")


@pytest.mark.parametrize("seed", range(20))
def test_control_outlasts_random_stops_losses_freezes_and_replacements(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    # Guards against any order of these events, of which no two are under way at a time.
    rng = random.Random(seed)
    size, voters = rng.choice(SIZES[:2])
    net = formed_net(monkeypatch, seed, size, voters)
    running, fresh = list(NODES[:size]), (NodeId(f"n{number}:1") for number in range(100))
    for _ in range(8):
        net.exchange_seeds(tuple(rng.sample(running, 3)))
        node = rng.choice(running)
        kind = rng.choice(["planned", "lost", "wiped", "restarted", "frozen"])
        if kind in ("planned", "lost"):
            running.remove(node)
            running.append(next(fresh))
        if kind == "planned":
            net.start_control(running[-1], bootstrap=False)
            net.run(rng.uniform(CATCH_UP_MS, 6_000.0))
            net.terminate(node)
            continue
        pause_ms = rng.uniform(0.0, 3_000.0)
        if kind == "frozen":
            net.partition({node})
            net.run(pause_ms)
            net.partition(())
        else:
            if kind == "restarted":
                net.terminate(node)
                while node in net.stopping:
                    net.run(10.0)
            else:
                net.kill(node, wipe=True)
            net.run(pause_ms)
            net.start_control(running[-1] if kind == "lost" else node, bootstrap=False)
        net.run(CATCH_UP_MS)
    check_alive(net, running[-1], voters)
