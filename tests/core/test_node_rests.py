"""Tests of complete nodes whose upstreams of pools ask for a rest."""

from __future__ import annotations

from random import Random

import pytest

from goldcrestridge_core import codec, member_types, node, types
from goldcrestridge_core.call_types import AttemptHead
from goldcrestridge_core.node import Node
from goldcrestridge_core.types import LOAD_REPORT, NodeId, Receive, UpstreamResting
from goldcrestridge_lab.node_config import ENGINES, completion_call
from goldcrestridge_lab.node_fleet import ENGINE_SHARD, Fleet, new_fleet

REST_MS = 20_000.0


def running_fleet(seed: int) -> tuple[Fleet, NodeId, NodeId]:
    """Return a fleet that serves, the owner of the engines, and another node."""
    fleet = new_fleet(Random(seed), 2)
    fleet.run(14_000.0)
    owner = next(name for name in fleet.hosts if ENGINE_SHARD in core_of(fleet, name).owners)
    return fleet, owner, next(name for name in fleet.hosts if name != owner)


def core_of(fleet: Fleet, name: NodeId) -> Node:
    core = fleet.hosts[name].core
    assert core is not None
    return core


@pytest.mark.parametrize("seed", range(3))
def test_a_rest_that_a_poll_brings_ends_polls_and_requests_of_its_machine(seed: int) -> None:
    # Guards against a notice that is read and then dropped on its way to the roles of the node.
    fleet, owner, _ = running_fleet(seed)
    core, engine = core_of(fleet, owner), ENGINES[0]
    assert engine in core.polled_upstreams(fleet.now_ms)
    fleet.handle(fleet.hosts[owner], Receive(owner, UpstreamResting(engine, REST_MS, LOAD_REPORT)))
    end_ms = fleet.now_ms + REST_MS
    fleet.run(1_000.0)
    assert engine not in core.polled_upstreams(fleet.now_ms)
    assert core.requests.is_withheld(engine, fleet.now_ms)
    for _ in range(8):
        fleet.request(owner, completion_call(1, "ada"))
        fleet.run(200.0)
    assert all(run.start.upstream != engine for run in fleet.upstreams.runs)
    assert engine in core.polled_upstreams(end_ms + 1.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_rest_that_an_answer_brings_to_one_node_reaches_the_owner_of_the_shard(seed: int) -> None:
    # Guards against an owner that grants slots of a resting upstream to other nodes, and polls it.
    fleet, owner, other = running_fleet(seed)
    for _ in range(40):
        fleet.request(other, completion_call(1, "ada"))
        fleet.run(20.0)
        runs = [run for run in fleet.upstreams.runs if run.host == other and run.active]
        if runs:
            break
    start = runs[0].start
    answer = AttemptHead(start.request_id, start.attempt, 503, (), rest_ms=REST_MS)
    fleet.handle(fleet.hosts[other], answer)
    fleet.run(100.0)
    assert core_of(fleet, other).requests.is_withheld(start.upstream, fleet.now_ms)
    assert start.upstream not in core_of(fleet, owner).polled_upstreams(fleet.now_ms)


@pytest.mark.parametrize("busy_ms", [300.0, 2_000.0])
@pytest.mark.parametrize("seed", range(3))
def test_polls_and_calls_of_all_nodes_keep_a_rest(seed: int, busy_ms: float) -> None:
    # Guards against arrivals in a rest, counted by machine as the upstream sees them.
    fleet, _, _ = running_fleet(seed)
    rests, asked = fleet.upstreams.rests, False
    rests.busy[ENGINES[0]] = (fleet.now_ms + busy_ms, 4_000.0)
    for number in range(60):
        fleet.request(list(fleet.hosts)[number % len(fleet.hosts)], completion_call(1, "ada"))
        fleet.run(100.0)
        asked = asked or bool(rests.asked)
        rests.check(fleet.now_ms)
    assert asked


def test_an_upstream_that_begins_to_leave_in_its_rest_gets_no_call_after_the_rest() -> None:
    # Guards against a call to a leaving upstream (P6) that nobody polled while it rested.
    fleet, _, _ = running_fleet(0)
    for name in ENGINES:
        fleet.upstreams.rests.busy[name] = (fleet.now_ms + 600.0, 8_250.0)
    fleet.run(700.0)
    for name in ENGINES:
        fleet.upstreams.leaving.add(name)
        fleet.oracle.leaving_ms[name] = fleet.now_ms
    for number in range(120):
        fleet.request(list(fleet.hosts)[number % len(fleet.hosts)], completion_call(1, "ada"))
        fleet.run(100.0)


def test_every_message_between_roles_has_a_route() -> None:
    # Guards against a message that a complete node gives to the log, which ignores it, because
    # nobody named its role. Timeline events are records, and no node sends them.
    modules = {types.__name__, member_types.__name__}
    messages = {item for item in codec.registered() if item.__module__ in modules}
    assert {item.__name__ for item in messages - node.ROUTED_TYPES} == {"TimelineEvent"}
