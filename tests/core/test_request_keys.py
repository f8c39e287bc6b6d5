"""Tests of the evidence on requests that crash upstreams, over all entry nodes."""

from __future__ import annotations

import itertools
from functools import partial

import pytest
from tests.core.crash_fleet import ALLOWED_AFTER, CrashFleet
from tests.core.test_prompt_crashes import send_crashing, send_sound

from goldcrestridge_core.answered_parts import MAX_ANSWERED_REQUESTS
from goldcrestridge_core.follow_types import Workload
from goldcrestridge_core.prompt_crashes import (
    BLOCK_MS,
    MIN_CRASHES,
    MIN_CRASHES_TOGETHER,
    PromptCrashes,
    part_key,
)
from goldcrestridge_core.request_keys import is_request_key, request_key

MAX_CRASHES = 3


def key(body: bytes, caller: str = "w") -> str:
    return request_key(caller, "POST", b"h", b"/a", body)


BAD = key(b"bad")
SOUND: list[tuple[str, ...]] = [(key(b"%d" % number),) for number in range(40)]


@pytest.mark.parametrize("size", [12, 60, 200, 340])
@pytest.mark.parametrize("every_ms", [100.0, 250.0, 1_000.0])
def test_all_nodes_stop_sending_a_request_that_crashes_upstreams(
    size: int, every_ms: float
) -> None:
    # Guards against counting crashes at each node alone, and against refusing sound requests.
    fleet = CrashFleet(size, size, upstream_count=max(4, size // 4), max_crashes=MAX_CRASHES)
    send_sound(fleet, 20.0, SOUND)
    fleet.run(5_000.0)
    send_crashing(fleet, every_ms, (BAD,))
    fleet.run(30_000.0)
    assert fleet.late_arrivals <= ALLOWED_AFTER
    assert len(fleet.crash_times) <= MAX_CRASHES + ALLOWED_AFTER
    assert not [parts for _, parts in fleet.refused if parts != (BAD,)]


@pytest.mark.parametrize("seed", range(8))
def test_the_block_of_a_request_outlasts_changes_of_the_leader_and_restarts(seed: int) -> None:
    # Guards against evidence that a change of the leader or a restart of entry nodes loses.
    fleet = CrashFleet(seed, 12, max_crashes=MAX_CRASHES)
    send_sound(fleet, 20.0, SOUND)
    fleet.run(3_000.0)
    send_crashing(fleet, 400.0, (BAD,))
    for _ in range(6):
        fleet.run(4_000.0)
        fleet.change_leader()
        fleet.run(2_000.0)
        for node in fleet.rng.sample(list(fleet.entries), 4):
            fleet.restart(node)
            fleet.excused.add(node)
            fleet.at(3_000.0, partial(fleet.excused.discard, node))
    assert fleet.late_arrivals <= ALLOWED_AFTER


def test_a_sound_request_that_ran_beside_the_crashing_one_is_not_blocked() -> None:
    # Guards against refusing a request that was at the same three upstreams by accident.
    state = PromptCrashes()
    beside = key(b"beside")
    for number in range(MIN_CRASHES):
        at_ms = 1_000.0 * number
        for name in (BAD, beside):
            state.record_crash(f"run{number}", (name,), at_ms + 50.0, at_ms)
    assert state.blocked_by((beside,), 3_000.0) is None
    state.record_crash("run9", (BAD,), 4_050.0, 4_000.0)
    assert state.blocked_by((BAD,), 5_000.0) == frozenset({BAD})
    assert state.blocked_by((beside,), 5_000.0) is None


def test_two_requests_that_always_ran_at_the_same_upstreams_are_blocked_in_the_end() -> None:
    # Guards against two crashing requests that shield each other.
    state = PromptCrashes()
    other = key(b"other")
    for number in range(MIN_CRASHES_TOGETHER):
        at_ms = 1_000.0 * number
        for name in (BAD, other):
            state.record_crash(f"run{number}", (name,), at_ms + 50.0, at_ms)
    assert state.blocked_by((BAD,), 9_000.0) == frozenset({BAD})
    assert state.blocked_by((other,), 9_000.0) == frozenset({other})


@pytest.mark.parametrize("count", [3, 8, 60])
def test_copies_of_a_request_that_end_in_a_loss_of_power_do_not_block_it(count: int) -> None:
    # Guards against a poll that several clients of a caller send, when all upstreams end at once.
    state = PromptCrashes()
    for number in range(count):
        state.record_crash(f"run{number}", (BAD,), 1_000.0 + 20.0 * number / count, 900.0 + number)
    assert state.blocked_by((BAD,), 2_000.0) is None


def test_a_poll_that_is_answered_between_crashes_is_not_blocked() -> None:
    # Guards against a popular request that happened to run at each of many upstreams that ended.
    state = PromptCrashes()
    for number in range(20):
        at_ms = 5_000.0 * number
        state.record_crash(f"run{number}", (BAD,), at_ms + 50.0, at_ms)
        state.record_answer((BAD,), at_ms + 1_000.0)
        assert state.blocked_by((BAD,), at_ms + 2_000.0) is None


def test_an_answer_at_one_node_counts_for_the_crashes_at_others() -> None:
    # Guards against a poll that is blocked since each node knows only of the crashes.
    leader, first, second = PromptCrashes(), PromptCrashes(), PromptCrashes()
    first.record_answer((BAD,), 500.0)
    for number in range(MAX_CRASHES):
        at_ms = 1_000.0 * (number + 1)
        second.record_crash(f"run{number}", (BAD,), at_ms + 50.0, at_ms)
        leader.merge_report(second.add_report(Workload(), at_ms + 60.0), at_ms + 60.0)
        first.merge_reply(leader.add_reply(Workload(), at_ms + 60.0), at_ms + 60.0)
        leader.merge_report(first.add_report(Workload(), at_ms + 70.0), at_ms + 70.0)
    assert leader.blocked_by((BAD,), 5_000.0) is None


def test_a_part_of_prompts_explains_the_crashes_of_the_requests_with_it() -> None:
    # Guards against blocking each request by itself where they share the part that crashes.
    state = PromptCrashes()
    for number in range(MIN_CRASHES):
        at_ms = 1_000.0 * number
        state.record_crash(f"run{number}", (BAD, "part"), at_ms + 50.0, at_ms)
    assert state.blocked_by((key(b"new"), "part"), 5_000.0) == frozenset({"part"})


def test_names_of_requests_differ_by_caller_target_and_body_and_cannot_be_chosen() -> None:
    # Guards against a caller that can have another caller's request refused.
    names = [
        request_key(caller, method, host, target, body)
        for caller, method, host, target, body in itertools.product(
            ("a", "ab", ""), ("GET", "POST"), (b"h", b"hb"), (b"/x", b"/xy"), (b"", b"z", b"yz")
        )
    ]
    assert len(set(names)) == len(names)
    assert all(is_request_key(name) for name in names)
    assert not any(is_request_key(part_key(name)) for name in names)


def test_answered_requests_do_not_evict_the_answered_parts_of_prompts() -> None:
    # Guards against a part that counts as fresh again, since many requests were answered.
    state = PromptCrashes()
    state.record_answer(("part",), 1.0)
    for number in range(2 * MAX_ANSWERED_REQUESTS):
        state.record_answer((key(b"%d" % number),), 2.0)
    for number in range(MIN_CRASHES):
        at_ms = 1_000.0 * (number + 1)
        state.record_crash(f"run{number}", ("part",), at_ms + 50.0, at_ms)
    assert state.blocked_by(("part",), 5_000.0) is None


def test_after_a_block_the_first_crash_blocks_the_request_again_at_all_nodes() -> None:
    # Guards against a request that crashes three more upstreams each time that its block has ended.
    leader, first, second = PromptCrashes(), PromptCrashes(), PromptCrashes()
    for number in range(MAX_CRASHES):
        at_ms = 1_000.0 * number
        first.record_crash(f"run{number}", (BAD,), at_ms + 50.0, at_ms)
    leader.merge_report(first.add_report(Workload(), 3_000.0), 3_000.0)
    for node in (first, second):
        node.merge_reply(leader.add_reply(Workload(), 3_000.0), 3_000.0)
    later_ms = 3_000.0 + BLOCK_MS
    for node in (leader, first, second):
        assert node.blocked_by((BAD,), later_ms) is None
    second.record_crash("run9", (BAD,), later_ms + 50.0, later_ms)
    assert second.blocked_by((BAD,), later_ms + 60.0) == frozenset({BAD})
    leader.merge_report(second.add_report(Workload(), later_ms + 60.0), later_ms + 60.0)
    first.merge_reply(leader.add_reply(Workload(), later_ms + 60.0), later_ms + 60.0)
    assert first.blocked_by((BAD,), later_ms + 60.0) == frozenset({BAD})
    assert first.left_ms(frozenset({BAD}), later_ms + 60.0) > 0.9 * BLOCK_MS


def test_an_answer_after_a_block_ends_the_suspicion() -> None:
    # Guards against a request that is blocked by an ordinary crash after its upstreams were mended.
    state = PromptCrashes()
    for number in range(MAX_CRASHES):
        at_ms = 1_000.0 * number
        state.record_crash(f"run{number}", (BAD,), at_ms + 50.0, at_ms)
    later_ms = 3_000.0 + BLOCK_MS
    state.record_answer((BAD,), later_ms)
    state.record_crash("run9", (BAD,), later_ms + 550.0, later_ms + 500.0)
    assert state.blocked_by((BAD,), later_ms + 600.0) is None
