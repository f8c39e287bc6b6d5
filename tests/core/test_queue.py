"""Tests of the request queue: tiers, fair shares of workspaces and classes, bounds, lateness."""

from __future__ import annotations

import random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import config, types
from goldcrestridge_core.flows import ClassQueue, WaitingRequest
from goldcrestridge_core.limits import Limits
from goldcrestridge_core.queue import MAX_WAITING, Queue

TARGET = config.LatencyTarget(1_000.0, 30.0)


def request_class(name: str, tier: int, weight: float = 1.0) -> config.RequestClass:
    return config.RequestClass(name, tier, weight, 0.0, TARGET, 1_000.0)


def make_waiting(
    cls: config.RequestClass, number: int, workspace: str, cost: float
) -> WaitingRequest:
    request = types.SlotRequest(
        types.RequestId(f"r{number}"),
        1,
        types.NodeId("e"),
        types.ShardId("p/0"),
        workspace,
        "",
        cls.name,
        "m",
        1,
        1,
        (),
        0.0,
        1e9,
    )
    return WaitingRequest(request, cls, 0.0, 1e9, 1e9, cost)


def make_queue(*classes: config.RequestClass) -> Queue:
    cfg = config.Configuration("t", classes={cls.name: cls for cls in classes})
    return Queue(cfg, Limits(cfg), 10)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 50)), min_size=20, max_size=80))
def test_backlogged_workspaces_get_equal_work(items: list[tuple[int, int]]) -> None:
    # Guards against a workspace that gets more than its share by sending more requests.
    cls = request_class("c", 0)
    flows = ClassQueue(cls, Limits(config.Configuration("t")), {})
    remaining = dict.fromkeys(range(4), 0)
    for number, (workspace, cost) in enumerate(items):
        flows.push(make_waiting(cls, number, str(workspace), float(cost)))
        remaining[workspace] += 1
    served = dict.fromkeys(range(4), 0.0)
    backlogged = {workspace for workspace, count in remaining.items() if count}
    while all(remaining[workspace] for workspace in backlogged):
        taken = flows.pop(0.0)
        assert taken is not None
        workspace = int(taken.request.workspace)
        flows.charge(str(workspace), taken.cost)
        served[workspace] += taken.cost
        remaining[workspace] -= 1
        work = [served[other] for other in backlogged]
        assert max(work) - min(work) <= 50.0


@given(st.lists(st.integers(0, 5), max_size=40), st.integers(0, 2**32))
def test_withdrawn_requests_are_never_taken_and_all_others_are(
    workspaces: list[int], seed: int
) -> None:
    # Guards against requests that are lost in a flow, or taken after they were withdrawn.
    rng = random.Random(seed)
    queue = make_queue(request_class("c", 0))
    cls = queue.cfg.classes["c"]
    items = [make_waiting(cls, n, str(w), rng.uniform(1, 9)) for n, w in enumerate(workspaces)]
    for item in items:
        queue.push(item, 0.0)
    withdrawn = [item for item in items if rng.random() < 0.4]
    for item in withdrawn:
        queue.remove(item)
    taken = []
    while (granted := queue.pop(10, 0.0)) is not None:
        granted.active = False
        queue.record_grant(granted, 0.0)
        queue.adjust_charge(
            "c", granted.request.workspace, rng.uniform(-granted.cost, granted.cost)
        )
        taken.append(granted)
    assert queue.count == 0
    kept = {id(item) for item in items} - {id(item) for item in withdrawn}
    assert {id(item) for item in taken} == kept
    assert len(taken) == len(kept)


def test_classes_of_a_tier_are_granted_in_proportion_to_their_weights() -> None:
    # Guards against class weights without effect under overload.
    heavy, light = request_class("heavy", 0, 3.0), request_class("light", 0, 1.0)
    queue = make_queue(heavy, light)
    granted = {"heavy": 0, "light": 0}
    for step in range(2_000):
        for cls in (heavy, light):
            queue.push(make_waiting(cls, step, "w", 1.0), step * 10.0)
        item = queue.pop(1, step * 10.0)
        assert item is not None
        item.active = False
        queue.record_grant(item, step * 10.0)
        granted[item.cls.name] += 1
    assert 2.8 < granted["heavy"] / granted["light"] < 3.2


def test_a_full_queue_sheds_the_lowest_tier_first() -> None:
    # Guards against unbounded memory use, and against shedding a higher tier before a lower
    # one (P1).
    high = evolve(request_class("high", 0), queue_timeout_ms=1e9)
    low = evolve(request_class("low", 1), queue_timeout_ms=1e9)
    queue = make_queue(high, low)
    queue.set_saturated(True, 1.0, 0.0)
    for number in range(MAX_WAITING):
        queue.push(make_waiting(high if number % 2 else low, number, "w", 1.0), 0.0)
    for number in range(5):
        queue.push(make_waiting(high, MAX_WAITING + number, "w", 1.0), 0.0)
    shed = []
    for item in queue.requests_to_shed(0.0):
        queue.remove(item)
        shed.append(item.cls.name)
    assert shed == ["low"] * 5


def test_a_late_request_is_taken_after_one_in_time() -> None:
    # Guards against a slot for a request that misses its target while another could meet its own,
    # and against late requests that are never served.
    cls = request_class("c", 0)
    queue = make_queue(cls)
    late, in_time = make_waiting(cls, 1, "a", 1.0), make_waiting(cls, 2, "b", 1.0)
    late.late_at_ms = 5.0
    queue.push(late, 0.0)
    queue.push(in_time, 0.0)
    assert queue.pop(1, 10.0) is in_time
    assert queue.pop(1, 10.0) is late
