"""Tests of the evidence on prompt parts that crash upstreams, over all entry nodes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.core.crash_fleet import ALLOWED_AFTER, CrashFleet

from goldcrestridge_core import codec
from goldcrestridge_core.answered_parts import MAX_ANSWERED_PARTS
from goldcrestridge_core.follow_types import Workload
from goldcrestridge_core.prompt_crashes import (
    BLOCK_MS,
    MAX_BLOCKED,
    MAX_CRASHES,
    MAX_PARTS,
    PromptCrashes,
    part_key,
)
from goldcrestridge_core.types import NodeId

BAD = "bad"


def send_sound(fleet: CrashFleet, every_ms: float, parts: list[tuple[str, ...]]) -> None:
    """Send sound requests again and again."""

    def send() -> None:
        fleet.send(fleet.rng.choice(parts), crashing=False)
        fleet.at(every_ms, send)

    send()


def send_crashing(fleet: CrashFleet, every_ms: float, parts: tuple[str, ...]) -> None:
    """Send requests under which upstreams crash, again and again."""

    def send() -> None:
        fleet.send(parts, crashing=True)
        fleet.at(fleet.rng.uniform(0.2, 1.8) * every_ms, send)

    send()


@pytest.mark.parametrize(
    ("size", "contact_ms"), [(12, 3_000.0), (60, 4_000.0), (200, 4_000.0), (340, 4_000.0)]
)
@pytest.mark.parametrize("parts", [("a", BAD), (BAD, "a"), ("a", BAD, "b")])
def test_all_nodes_stop_sending_a_part_that_crashes_upstreams(
    size: int, contact_ms: float, parts: tuple[str, ...]
) -> None:
    # Guards against counting crashes at each node alone, and against refusing sound requests.
    fleet = CrashFleet(size, size, contact_ms, upstream_count=max(5, size // 4))
    send_sound(fleet, 20.0, [("a",), ("a", "b"), ("c",)])
    fleet.run(5_000.0)
    send_crashing(fleet, 250.0, parts)
    fleet.run(20_000.0)
    assert fleet.late_arrivals <= ALLOWED_AFTER
    assert len(fleet.crash_times) <= 8
    for part in ("a", "b", "c"):
        sound = [item for item in fleet.refused if BAD not in item[1] and part in item[1]]
        assert not sound


@pytest.mark.parametrize("seed", range(8))
def test_the_block_outlasts_changes_of_the_leader_and_restarts(seed: int) -> None:
    # Guards against a new leader or a restarted node that lets the part through again.
    fleet = CrashFleet(seed, 12)
    send_sound(fleet, 20.0, [("a",), ("a", "b")])
    fleet.run(5_000.0)
    send_crashing(fleet, 150.0, ("a", BAD))
    fleet.run(3_000.0)
    for number in range(6):
        fleet.change_leader()
        fleet.run(fleet.rng.uniform(100.0, 3_000.0))
        node = NodeId(f"e{fleet.rng.randrange(12)}")
        fleet.excused = {node}
        fleet.restart(node)
        fleet.run(3_000.0 + number)
    fleet.excused = set()
    fleet.run(10_000.0)
    assert fleet.late_arrivals <= ALLOWED_AFTER
    assert fleet.share_begun("b", 5_000.0) == 1.0


def test_a_node_that_is_cut_off_goes_by_its_own_evidence() -> None:
    # Guards against a node without contact to control that crashes upstreams for ever.
    fleet = CrashFleet(3, 1)
    send_sound(fleet, 20.0, [("a",)])
    fleet.run(3_000.0)
    fleet.net.cut = set(fleet.entries)
    send_crashing(fleet, 100.0, ("a", BAD))
    fleet.run(20_000.0)
    assert len(fleet.crash_times) <= 5
    assert fleet.share_begun("a", 8_000.0) > 0.0


def test_a_part_that_always_comes_with_the_crashing_one_passes_alone() -> None:
    # Guards against refusing all requests with a rare part because of its neighbour.
    fleet = CrashFleet(5, 12)
    send_sound(fleet, 20.0, [("a",)])
    fleet.run(5_000.0)
    send_crashing(fleet, 150.0, ("a", "rare", BAD))
    fleet.run(8_000.0)
    since_ms = fleet.now_ms
    send_sound(fleet, 50.0, [("a", "rare")])
    fleet.run(5_000.0)
    assert fleet.share_begun("rare", since_ms) > 0.0
    assert not [parts for at_ms, parts in fleet.refused if "rare" in parts and BAD not in parts]
    assert fleet.late_arrivals <= ALLOWED_AFTER


@pytest.mark.parametrize("count", [1, 3, 5])
def test_the_loss_of_many_upstreams_at_once_blocks_nothing(count: int) -> None:
    # Guards against refusing a kind of request because a power loss ended its upstreams.
    fleet = CrashFleet(count, 12)
    send_sound(fleet, 5.0, [("a",), ("a", "b"), ("a", "c")])
    fleet.run(5_000.0)
    for _ in range(4):
        for upstream in [item for item in fleet.upstreams if not item.down][:count]:
            fleet.crash(upstream)
        fleet.run(9_000.0)
    assert fleet.refused == []


def test_single_crashes_over_a_day_block_nothing() -> None:
    # Guards against evidence that adds up although requests with all parts are served.
    fleet = CrashFleet(11, 12, restart_ms=500.0)
    send_sound(fleet, 20.0, [("a",), ("a", "b"), ("c", "d")])
    for _ in range(60):
        fleet.run(2_000.0)
        fleet.crash(next(item for item in fleet.upstreams if not item.down))
    assert fleet.refused == []


def crash(
    state: PromptCrashes, *parts: str, runs: int, now_ms: float = 0.0, name: str = ""
) -> None:
    for number in range(runs):
        state.record_crash(f"{name}run{number}", parts, now_ms + number)


def test_one_run_that_ends_under_many_requests_is_one_crash() -> None:
    # Guards against a part that one crash blocks because several requests with it were waiting.
    state = PromptCrashes()
    for number in range(20):
        state.record_crash("run", (BAD, f"own{number}"), float(number))
    assert state.blocked_by((BAD,), 20.0) is None


def test_a_request_is_not_tried_again_once_a_fresh_part_has_two_crashes() -> None:
    # Guards against retries that are the next crash, and against none at all after a first one.
    state = PromptCrashes()
    state.record_answer(("a",), 0.0)
    state.record_crash("run1", ("a", BAD), 10.0)
    assert state.may_retry(("a", BAD), 10.0)
    state.record_crash("run2", ("a", BAD), 20.0)
    assert not state.may_retry(("a", BAD), 20.0)
    assert state.may_retry(("a",), 20.0)


def test_an_answer_lifts_a_block_of_the_parts_that_it_clears() -> None:
    # Guards against a part that stays blocked although upstreams answer prompts with it.
    state = PromptCrashes()
    crash(state, "b", BAD, runs=3)
    assert state.blocked_by(("b", BAD), 10.0) == frozenset({"b", BAD})
    state.record_answer(("b",), 20.0)
    assert state.blocked_by(("b", BAD), 30.0) == frozenset({BAD})
    state.record_answer((BAD,), 40.0)
    assert state.blocked_by(("b", BAD), 50.0) is None


def test_a_part_that_was_answered_before_is_blocked_after_more_crashes() -> None:
    # Guards against a part that begins to crash upstreams with a new version of their software.
    state = PromptCrashes()
    state.record_answer((BAD,), 0.0)
    for number in range(1, 5):
        state.record_crash(f"run{number}", (BAD,), number * 1_000.0)
        assert state.blocked_by((BAD,), number * 1_000.0) is None
    state.record_crash("run5", (BAD,), 5_000.0)
    assert state.blocked_by((BAD,), 5_000.0) == frozenset({BAD})


def test_a_block_ends() -> None:
    # Guards against a part that is refused for ever.
    state = PromptCrashes()
    crash(state, BAD, runs=3)
    assert state.blocked_by((BAD,), BLOCK_MS - 1.0) is not None
    assert 0.0 < state.left_ms(frozenset((BAD,)), BLOCK_MS - 1.0) <= 3.0
    assert state.blocked_by((BAD,), BLOCK_MS + 10.0) is None


def test_invented_parts_fill_neither_the_memory_nor_a_message() -> None:
    # Guards against a caller whose prompts have ever new parts.
    state = PromptCrashes()
    for number in range(2 * MAX_ANSWERED_PARTS):
        state.record_answer((f"p{number}",), float(number))
    many = tuple(f"x{number}" for number in range(1_000))
    for number in range(2 * MAX_CRASHES):
        state.record_crash(f"run{number}", (*many, f"y{number % 200}"), float(number))
    report = state.add_report(Workload(), 1_000.0)
    assert len(report.blocked) <= MAX_BLOCKED
    assert all(len(item.parts) <= MAX_PARTS for item in report.crashes)
    assert len(codec.encode(report.crashes[0])) < 2_000
    assert len(part_key("z" * 100_000)) <= 32
    assert state.blocked_by(("p1",), 1_000.0) is None


parts_strategy = st.lists(st.sampled_from(["a", "b", "c", "d"]), min_size=1, max_size=3)
events = st.lists(
    st.tuples(st.booleans(), st.integers(0, 6), parts_strategy, st.integers(1, 400)), max_size=40
)


@given(events)
def test_a_part_is_blocked_only_by_crashes_since_its_last_answer(
    history: list[tuple[bool, int, list[str], int]],
) -> None:
    # Guards against blocking a prompt whose parts have too few crashes of their own.
    state, now_ms = PromptCrashes(), 0.0
    runs: dict[str, set[int]] = {}
    for is_crash, run, parts, step_ms in history:
        now_ms += step_ms
        if is_crash:
            state.record_crash(str(run), parts, now_ms)
            for part in parts:
                runs.setdefault(part, set()).add(run)
        else:
            state.record_answer(parts, now_ms)
            for part in parts:
                runs.pop(part, None)
        for part in "abcd":
            if state.blocked_by((part,), now_ms) is not None:
                assert len(runs.get(part, ())) >= 3


@given(events)
def test_the_leader_knows_what_a_node_knows(
    history: list[tuple[bool, int, list[str], int]],
) -> None:
    # Guards against evidence that is lost between a node and the leader.
    state, leader, now_ms = PromptCrashes(), PromptCrashes(), 0.0
    for is_crash, run, parts, step_ms in history:
        now_ms += step_ms
        if is_crash:
            state.record_crash(str(run), parts, now_ms)
        else:
            state.record_answer(parts, now_ms)
        leader.merge_report(state.add_report(Workload(), now_ms), now_ms)
    now_ms += 1_000.0
    leader.merge_report(state.add_report(Workload(), now_ms), now_ms)
    state.merge_reply(leader.add_reply(Workload(), now_ms), now_ms)
    for names in (("a",), ("b",), ("a", "b"), ("a", "b", "c", "d")):
        if state.blocked_by(names, now_ms) is not None:
            assert leader.blocked_by(names, now_ms) is not None


def test_invented_parts_do_not_revive_evidence_that_an_answer_has_cleared() -> None:
    # Guards against a caller whose long prompts push out what is known of other parts.
    state = PromptCrashes()
    for number in range(6):
        state.record_crash(f"run{number}", ("rare",), number * 1_000.0)
        state.record_answer(("rare",), number * 1_000.0 + 500.0)
    state.record_answer([f"p{number}" for number in range(MAX_ANSWERED_PARTS)], 7_000.0)
    state.record_crash("other", ("x",), 8_000.0)
    assert state.blocked_by(("rare",), 8_000.0) is None


def exchange(node: PromptCrashes, leader: PromptCrashes, now_ms: float) -> None:
    leader.merge_report(node.add_report(Workload(), now_ms), now_ms)
    node.merge_reply(leader.add_reply(Workload(), now_ms), now_ms)


def test_what_other_nodes_saw_answered_lifts_the_block_of_a_node_that_was_just_started() -> None:
    # Guards against a rare part that the whole fleet refuses by the evidence of a node that has
    # seen no answer yet, although other nodes have.
    started, other, leader = PromptCrashes(), PromptCrashes(), PromptCrashes()
    other.record_answer(("rare",), 0.0)
    crash(started, "rare", runs=3, now_ms=10_000.0)
    for now_ms in (10_010.0, 11_000.0, 12_000.0):
        for node in (started, other):
            exchange(node, leader, now_ms)
    assert all(node.blocked_by(("rare",), 12_010.0) is None for node in (started, other, leader))
    for number in range(5):
        started.record_crash(f"later{number}", ("rare",), 13_000.0 + number * 1_000.0)
    assert started.blocked_by(("rare",), 18_000.0) == frozenset({"rare"})
