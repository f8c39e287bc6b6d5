"""Tests of what is in force after restarts and pauses of the processes of a deployment."""

from __future__ import annotations

import pytest
from tests.core.control_net import Net
from tests.core.test_control import SEEDS, commit, formed_net

from goldcrestridge_core.follow_types import InstancesReceived, RoutesReceived
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.types import NodeId

NEW = NodeId("new:2")


def routes_of(net: Net, node: NodeId) -> list[int]:
    return [
        effect.version
        for name, effect in net.effects
        if name == node and isinstance(effect, RoutesReceived)
    ]


@pytest.mark.parametrize("restarted", ["leader", "all", "in turn"])
@pytest.mark.parametrize("seed", range(8))
def test_a_withdrawn_key_is_not_in_force_again_after_restarts(restarted: str, seed: int) -> None:
    # Guards against a control node that serves the version before the last one after a restart, to
    # an entry node that was just started and knows none.
    net = formed_net(seed)
    commit(net, SEEDS[0], 1)
    commit(net, SEEDS[1], 2)  # Version 2 withdraws the key.
    leader = net.leaders()[0]
    nodes = [leader] if restarted == "leader" else list(SEEDS)
    if restarted != "in turn":
        for node in nodes:
            net.kill(node)
    entries = []
    for number, node in enumerate(nodes):
        if restarted == "in turn":
            net.kill(node)
        entries.append(NodeId(f"new{number}:2"))
        net.start_follower(entries[-1], SEEDS)
        net.run(30.0 * (seed % 4))
        net.start_control(node, bootstrap=False)
        net.run(400.0 if restarted == "in turn" else 0.0)
    net.run(6_000.0)
    for entry in entries:
        assert routes_of(net, entry)[:1] == [2]
        assert set(routes_of(net, entry)) == {2}


@pytest.mark.parametrize("seed", range(8))
def test_a_leader_that_was_paused_serves_nothing_on_its_old_lease(seed: int) -> None:
    # Guards against a process that acts on a lease that ran out while it did not run: messages that
    # waited for it are handled before any timer of it.
    net = formed_net(seed)
    commit(net, SEEDS[0], 1)
    paused = net.leaders()[0]
    net.stopped.add(paused)
    net.run(3_000.0)
    other = next(node for node in SEEDS if node != paused)
    commit(net, other, 2)
    net.stopped.discard(paused)
    entry = net.start_follower(NEW, (paused,))
    name = net.read(paused)
    net.run(5_000.0)
    assert set(routes_of(net, NEW)) <= {2}
    assert isinstance(entry, Follower)
    document = net.document(name)
    assert document is None or document.version == 2


def test_a_started_entry_node_gets_no_list_of_upstreams_that_is_not_current() -> None:
    # Guards against an upstream that had left and is in use again after a restart of the control
    # leader, which knows the list only once it has read it.
    net = formed_net(1)
    commit(net, SEEDS[0], 1)
    net.kill(net.leaders()[0])
    net.start_follower(NEW, SEEDS)
    net.run(5_000.0)
    assert routes_of(net, NEW) == [1]
    assert not [e for name, e in net.effects if name == NEW and isinstance(e, InstancesReceived)]
