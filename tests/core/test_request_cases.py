"""Single cases of the entry role that the state machine reaches seldom or cannot judge."""

from __future__ import annotations

import random
from typing import Any

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given
from returns.result import Failure
from tests.core.fleet import RETRY_SHARE, SHARD, WALL_MS, Caller, Fleet, Run, make_call, uuid7

from goldcrestridge_core.attempts import Answer
from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptFailed,
    AttemptHead,
    CallerGone,
    CallerRequest,
    OwnerChanged,
    RespondChunk,
    RespondFailure,
)
from goldcrestridge_core.idempotency import check_key
from goldcrestridge_core.requests import UPSTREAM_SILENCE_MS
from goldcrestridge_core.retries import RetryBudget
from goldcrestridge_core.slots import Slots
from goldcrestridge_core.types import (
    Count,
    GrantEnd,
    GrantReport,
    NodeId,
    NotOwner,
    Outcome,
    Reason,
    Receive,
    RequestId,
    ShardId,
    ShardSummary,
    SlotGrant,
    SlotRelease,
    SlotRequest,
    UpstreamId,
    UpstreamLeaving,
)

RETENTION_MS = 86_400_000.0


def started(fleet: Fleet, caller: Caller) -> Run:
    """Deliver messages until the caller's request runs; return its newest run."""
    count = len([run for run in fleet.runs if run.caller is caller])
    for _ in range(100):
        while fleet.proposals:
            fleet.propose(0, "done")
        for _ in range(len(fleet.carrier)):
            fleet.deliver(0)
        runs = [run for run in fleet.runs if run.caller is caller]
        if len(runs) > count:
            return runs[-1]
    raise AssertionError("the request did not start")


def finish(fleet: Fleet, run: Run) -> None:
    """Let the upstream send the rest of its answer."""
    while run.active:
        fleet.step(run, "next")


def ready(completed: int = 1) -> Fleet:
    """Return a fleet of one entry that has earned some repeats."""
    fleet = Fleet()
    fleet.boot(("e0",))
    for _ in range(completed):
        finish(fleet, started(fleet, fleet.request(entry(fleet), make_call())))
    return fleet


def entry(fleet: Fleet) -> NodeId:
    return next(iter(fleet.entries))


def failure(caller: Caller) -> RespondFailure:
    """Return the failure that the caller got."""
    final = caller.finals[0]
    assert isinstance(final, RespondFailure)
    return final


@pytest.mark.parametrize("delivered", range(6))
def test_lost_stream_continues_on_another_engine_without_duplicate_or_gap(delivered: int) -> None:
    # Guards against tokens that are doubled or lost where the attempts meet.
    fleet = ready()
    caller = fleet.request(entry(fleet), make_call())
    run = started(fleet, caller)
    for _ in range(1 + delivered):
        fleet.step(run, "next")
    fleet.step(run, "cut")
    second = started(fleet, caller)
    assert second.start.upstream != run.start.upstream
    finish(fleet, second)
    assert b"".join(caller.data) == caller.expected()


def test_lost_stream_without_retry_budget_fails_and_never_looks_complete() -> None:
    # Guards against repeats beyond the budget, and a cut stream that ends normally.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    run = started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    fleet.step(run, "cut")
    assert failure(caller).outcome is Outcome.FAILED
    assert failure(caller).retry_after_ms >= 0.0


def test_whole_answer_cut_in_its_body_is_repeated_and_not_mixed() -> None:
    # Guards against a body made of two answers.
    fleet = ready()
    caller = fleet.request(entry(fleet), make_call(stream=False))
    run = started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    assert caller.data == []
    fleet.step(run, "cut")
    finish(fleet, started(fleet, caller))
    assert b"".join(caller.data) == caller.expected()


@pytest.mark.parametrize("action", ["connect", "leaving"])
def test_attempt_that_did_not_run_moves_until_no_upstream_is_left(action: str) -> None:
    # Guards against a failure while another upstream could serve, and moves without end.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call(plain=True, repeatable=False))
    tried = []
    while not caller.finals:
        run = started(fleet, caller)
        tried.append(run.start.upstream)
        fleet.step(run, action)
    assert len(tried) == len(set(tried)) == 3
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.NO_UPSTREAM


def test_silent_upstream_is_cancelled_and_the_outcome_of_a_charge_is_unknown() -> None:
    # Guards against a charge that is called not run although it may have run.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1)))
    run = started(fleet, caller)
    fleet.advance(UPSTREAM_SILENCE_MS)
    assert not run.active
    assert failure(caller).outcome is Outcome.UNKNOWN
    again = fleet.request(entry(fleet), run.start.call)
    fleet.settle()
    assert failure(again).outcome is Outcome.UNKNOWN
    assert len(fleet.runs) == 1


def test_recorded_answer_is_replayed_to_the_same_workspace_only() -> None:
    # Guards against an answer that reaches another workspace by the same key.
    fleet = ready(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    finish(fleet, started(fleet, fleet.request(entry(fleet), call)))
    again = fleet.request(entry(fleet), call)
    other = fleet.request(
        entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1), ws="b")
    )
    fleet.settle()
    assert b"".join(again.data) == again.expected()
    assert b"".join(other.data) == other.expected()
    assert len(fleet.runs) == 2


def test_key_in_other_letter_case_is_the_same_claim() -> None:
    # Guards against a second run under another spelling of the key.
    fleet = ready(0)
    key = uuid7(0xABCDEF)
    for text in (key, key.upper()):
        call = make_call(plain=True, repeatable=False, key=text)
        fleet.request(entry(fleet), call)
        fleet.settle()
    assert len(fleet.runs) == 1


def test_unreachable_claim_store_answers_not_run_and_frees_the_key_later() -> None:
    # Guards against a key that stays claimed by a call that never ran.
    fleet = ready(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    caller = fleet.request(entry(fleet), call)
    fleet.propose(0, "reply_lost")
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.CLAIM_STORE
    fleet.settle()
    finish(fleet, started(fleet, fleet.request(entry(fleet), call)))
    assert len(fleet.runs) == 1


def test_claim_that_is_never_answered_ends_at_the_deadline_as_not_run() -> None:
    # Guards against a caller that waits for ever for the claim store.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1)))
    fleet.advance(4_000.0)
    assert failure(caller).reason is Reason.CLAIM_STORE
    assert fleet.runs == []


def test_request_without_slot_ends_at_its_deadline() -> None:
    # Guards against a request that waits for ever for a slot.
    fleet = ready(0)
    for _ in range(6):
        started(fleet, fleet.request(entry(fleet), make_call()))
    caller = fleet.request(entry(fleet), make_call())
    for _ in range(17):
        for _ in range(len(fleet.carrier)):
            fleet.deliver(0)
        fleet.advance(250.0)
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.DEADLINE


def test_without_owner_each_entry_admits_up_to_its_share_of_the_slots() -> None:
    # Guards against a shard that stands still, or is overloaded, while it has no owner.
    fleet = Fleet()
    fleet.boot()
    for name in fleet.entries:
        fleet.event(name, OwnerChanged(SHARD, None, fleet.epoch))
        for _ in range(5):
            fleet.request(name, make_call())
    counts = [sum(run.entry == name for run in fleet.runs) for name in fleet.entries]
    assert counts == [2, 2, 2]
    finish(fleet, fleet.runs[0])
    assert len(fleet.runs) == 7


def test_silent_owner_is_replaced_by_local_admission_within_two_seconds() -> None:
    # Guards against requests that wait for an owner behind a partition.
    fleet = ready(0)
    fleet.request(entry(fleet), make_call())
    fleet.advance(2_000.0)
    assert len(fleet.runs) == 1


def test_grant_of_an_older_epoch_and_a_late_grant_are_released_unused() -> None:
    # Guards against a refused request that runs, and a slot that leaks.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    fleet.deliver(0)
    fleet.change_owner()
    fleet.caller_gone(caller)
    fleet.settle()
    assert fleet.runs == []
    assert not fleet.old_owners[0].granted


def test_new_owner_hears_at_once_what_is_held_and_what_waits() -> None:
    # Guards against a new owner that grants slots which are in use.
    fleet = ready(0)
    started(fleet, fleet.request(entry(fleet), make_call()))
    waiting = fleet.request(entry(fleet), make_call())
    fleet.carrier.clear()
    fleet.change_owner()
    messages = [message for _, _, message in fleet.carrier]
    report = next(item for item in messages if isinstance(item, GrantReport))
    assert len(report.held) == 1
    assert report.waiting == ((waiting.request_id, 0),)
    assert any(isinstance(item, SlotRequest) for item in messages)


def test_release_carries_first_token_and_inter_token_times() -> None:
    # Guards against stragglers that stay unseen for want of times.
    fleet = ready(0)
    run = started(fleet, fleet.request(entry(fleet), make_call()))
    for delta_ms in (0.0, 5.0, 95.0, 30.0, 30.0, 0.0, 0.0):
        fleet.advance(delta_ms)
        fleet.step(run, "next")
    releases = [item for _, _, item in fleet.carrier if isinstance(item, SlotRelease)]
    assert releases[0].first_token_ms == pytest.approx(100.0)
    assert releases[0].inter_token_ms == pytest.approx(30.0)
    assert releases[0].output_tokens == 3


def test_drain_refuses_new_requests_and_ends_clean_when_all_have_ended() -> None:
    # Guards against a drain that cuts a request or never ends.
    fleet = ready(0)
    name = next(iter(fleet.entries))
    run = started(fleet, fleet.request(name, make_call()))
    fleet.drain(name)
    assert failure(fleet.request(name, make_call())).reason is Reason.DRAINING
    assert fleet.entries[name].in_flight() == 1
    finish(fleet, run)
    assert fleet.entries[name].in_flight() == 0
    fleet.end_drain(name)
    assert fleet.ended_drains[0].cut == ()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "order-17",
        "6f1b8a52-3f0e-4c3a-9a55-1f6f0a0a0a0a",
        "{" + uuid7(1) + "}",
        uuid7(1).replace("-", ""),
        uuid7(1, WALL_MS - RETENTION_MS - 1.0),
        uuid7(1, WALL_MS + 300_001.0),
    ],
)
def test_key_that_is_no_current_uuid7_is_refused(text: str) -> None:
    # Guards against a key whose age is unknown, so that it could run again.
    assert isinstance(check_key(text, WALL_MS, RETENTION_MS), Failure)


@pytest.mark.parametrize("offset_ms", [-RETENTION_MS, 0.0, 300_000.0])
def test_key_within_retention_gives_its_issue_time(offset_ms: float) -> None:
    # Guards against good keys that are refused.
    key = check_key(uuid7(7, WALL_MS + offset_ms), WALL_MS, RETENTION_MS).unwrap()
    assert key.issued_ms == WALL_MS + offset_ms


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 30_000.0))))
def test_repeats_never_exceed_the_share_of_completions(steps: list[tuple[bool, float]]) -> None:
    # Guards against a storm of repeats while upstreams fail.
    budget, now_ms, completed, spent = RetryBudget(RETRY_SHARE / 10), 0.0, 0, 0
    for complete, delta_ms in steps:
        now_ms += delta_ms
        if complete:
            budget.completed("fast", now_ms)
            completed += 1
        else:
            spent += budget.spend("fast", now_ms)
        assert spent <= RETRY_SHARE / 10 * completed + 1e-6


def test_old_completions_no_longer_pay_for_repeats() -> None:
    # Guards against a budget saved up over a quiet day.
    budget = RetryBudget(1.0)
    for _ in range(20):
        budget.completed("fast", 0.0)
    assert budget.spend("fast", 1_000.0)
    assert not budget.spend("fast", 600_000.0)


def test_grant_message_repeated_by_the_carrier_is_not_released() -> None:
    # Guards against a running request whose slot is given away.
    fleet = ready(0)
    fleet.request(entry(fleet), make_call())
    while not isinstance(fleet.carrier[0][2], SlotGrant):
        fleet.deliver(0)
    fleet.deliver(0, keep=True)
    fleet.deliver(0)
    assert len(fleet.runs) == 1
    assert not any(isinstance(item, SlotRelease) for _, _, item in fleet.carrier)


def sent(fleet: Fleet, kind: type) -> list[Any]:
    """Return the messages of one kind that are on their way."""
    return [message for _, _, message in fleet.carrier if isinstance(message, kind)]


def test_cancelled_request_releases_its_slot_at_once() -> None:
    # Guards against slots that stay held by callers that left.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    started(fleet, caller)
    fleet.caller_gone(caller)
    assert [item.end for item in sent(fleet, SlotRelease)] == [GrantEnd.CANCELLED]


def test_stream_that_cannot_continue_fails_once_its_caller_has_seen_data() -> None:
    # Guards against a second answer behind the beginning of the first.
    fleet = ready()
    call = evolve(make_call(), continuable=False)
    caller = fleet.request(entry(fleet), call)
    run = started(fleet, caller)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    assert failure(caller).outcome is Outcome.FAILED


@pytest.mark.parametrize("claimed", [False, True])
def test_key_is_free_again_when_its_caller_leaves_before_the_call_runs(claimed: bool) -> None:
    # Guards against a key that is lost although nothing ran.
    fleet = ready(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    caller = fleet.request(entry(fleet), call)
    if claimed:
        fleet.propose(0, "done")
    fleet.caller_gone(caller)
    fleet.settle()
    finish(fleet, started(fleet, fleet.request(entry(fleet), call)))
    assert len(fleet.runs) == 1


def test_fate_that_was_not_recorded_is_proposed_again() -> None:
    # Guards against a completed call whose key stays in progress.
    fleet = ready(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    finish(fleet, started(fleet, fleet.request(entry(fleet), call)))
    assert fleet.entries[entry(fleet)].in_flight() == 1
    fleet.propose(0, "unsent")
    fleet.settle()
    again = fleet.request(entry(fleet), call)
    fleet.settle()
    assert b"".join(again.data) == again.expected()


def test_refusal_as_leaving_after_the_head_is_not_taken_for_not_run() -> None:
    # Guards against a call that ran in part and is called not run.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call(plain=True, repeatable=False))
    run = started(fleet, caller)
    fleet.step(run, "next")
    fleet.step(run, "leaving")
    assert failure(caller).outcome is Outcome.UNKNOWN


def test_grant_of_a_lower_epoch_never_starts_an_attempt() -> None:
    # Guards against work under an owner that was replaced.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    old = SlotGrant(caller.request_id, 0, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.change_owner()
    fleet.carrier.clear()
    fleet.event(entry(fleet), Receive(NodeId("o1"), old))
    assert fleet.runs == []
    assert [item.grant_id for item in sent(fleet, SlotRelease)] == [7]


@pytest.mark.parametrize("attempt", [0, 1])
def test_grant_that_nobody_waits_for_is_released_to_its_sender(attempt: int) -> None:
    # Guards against a slot that leaks at the owner that granted it.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    if attempt == 0:
        fleet.caller_gone(caller)
    fleet.carrier.clear()
    late = SlotGrant(caller.request_id, attempt, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.event(entry(fleet), Receive(NodeId("o1"), late))
    assert fleet.runs == []
    assert [item.end for item in sent(fleet, SlotRelease)] == [GrantEnd.UNUSED]


def test_lost_slot_request_is_sent_again_with_the_times_moved_on() -> None:
    # Guards against a lost message that costs the request its deadline.
    fleet = ready(0)
    fleet.request(entry(fleet), make_call())
    fleet.carrier.clear()
    fleet.advance(250.0)
    again = sent(fleet, SlotRequest)
    assert [(item.waited_ms, item.deadline_in_ms) for item in again] == [(250.0, 3_750.0)]


def test_not_owner_answers_that_point_at_each_other_do_not_loop() -> None:
    # Guards against a message storm between nodes with different views.
    fleet = ready(0)
    fleet.request(entry(fleet), make_call())
    fleet.carrier.clear()
    for sender, named in (("o1", "o9"), ("o9", "o1"), ("o1", "o9")):
        answer = NotOwner(SHARD, NodeId(named), fleet.epoch)
        fleet.event(entry(fleet), Receive(NodeId(sender), answer))
    assert sent(fleet, SlotRequest) == []


def test_not_owner_with_a_higher_epoch_is_followed_at_once() -> None:
    # Guards against requests that wait for a former owner.
    fleet = ready(0)
    fleet.request(entry(fleet), make_call())
    fleet.carrier.clear()
    answer = NotOwner(SHARD, NodeId("o9"), fleet.epoch + 1)
    fleet.event(entry(fleet), Receive(NodeId("o1"), answer))
    assert {to for _, to, message in fleet.carrier if isinstance(message, SlotRequest)} == {"o9"}


def test_reports_end_some_time_after_the_last_use_of_a_shard() -> None:
    # Guards against reports of idle entries that fill the control budget.
    fleet = ready(0)
    finish(fleet, started(fleet, fleet.request(entry(fleet), make_call())))
    fleet.advance(60_000.0)
    fleet.carrier.clear()
    fleet.advance(60_000.0)
    assert fleet.carrier == []


def test_owner_is_told_that_an_upstream_is_leaving() -> None:
    # Guards against other entries that go on using the upstream.
    fleet = ready(0)
    run = started(fleet, fleet.request(entry(fleet), make_call()))
    fleet.step(run, "leaving")
    assert [item.upstream for item in sent(fleet, UpstreamLeaving)] == [run.start.upstream]


def test_chunks_of_a_continuation_before_its_text_are_not_delivered_again() -> None:
    # Guards against a second opening in the middle of a stream.
    answer = Answer(RequestId("r"), make_call())
    for attempt in (0, 1):
        answer.head(AttemptHead(RequestId("r"), attempt, 200, ()))
        answer.chunk(AttemptChunk(RequestId("r"), attempt, b"R"))
        out = answer.chunk(AttemptChunk(RequestId("r"), attempt, b"text", "text", 1))
        answer.drop()
    assert [item.data for item in out if isinstance(item, RespondChunk)] == [b"text"]


def test_server_error_of_a_repeatable_call_is_repeated_within_the_budget_only() -> None:
    # Guards against repeats of server errors that the budget does not cover.
    for completed in (0, 1):
        fleet = ready(completed)
        caller = fleet.request(entry(fleet), make_call(plain=True))
        run = started(fleet, caller)
        run.script[0] = evolve(run.script[0], status=500)
        fleet.step(run, "next")
        assert run.active == (completed == 0)


def test_tokens_of_an_unfinished_answer_are_counted_as_waste() -> None:
    # Guards against wasted work that the measures do not show.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call())
    run = started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    gone = fleet.event(entry(fleet), CallerGone(caller.request_id))
    wasted = [item.value for item in gone if isinstance(item, Count) and "wasted" in item.name]
    assert wasted == [2]


def test_prompt_computed_again_for_a_continuation_is_counted_as_waste() -> None:
    # Guards against the cost of continuations that the measures do not show.
    fleet = ready()
    run = started(fleet, fleet.request(entry(fleet), make_call()))
    for _ in range(4):
        fleet.step(run, "next")
    ids = (run.start.request_id, run.start.attempt)
    effects = fleet.event(entry(fleet), AttemptFailed(*ids, sent=True, reason="cut"))
    counts = {item.name: item.value for item in effects if isinstance(item, Count)}
    assert counts["wasted_prefill_tokens"] == run.start.call.prompt_tokens + 2


def test_two_random_choices_prefer_the_shard_with_more_room() -> None:
    # Guards against requests that queue at a full shard beside a free one.
    slots = Slots(NodeId("e"), random.Random(1), lambda _: (), lambda: 1)
    shards = (ShardId("p/0"), ShardId("p/1"))
    for shard, free in zip(shards, (1, 5), strict=True):
        slots.set_owner(shard, NodeId("o"), 1, 0.0)
        slots.handle_summary(NodeId("o"), ShardSummary(shard, NodeId("o"), 1, free, (1,)), 0.0)
    assert {slots.pick_shard(shards, 1.0) for _ in range(9)} == {shards[1]}


def test_late_grant_to_an_idle_entry_starts_reports_in_case_its_release_is_lost() -> None:
    # Guards against a slot that stays held because an idle entry reports nothing.
    fleet = ready(0)
    fleet.advance(60_000.0)
    fleet.carrier.clear()
    late = SlotGrant(RequestId("r9"), 0, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.event(entry(fleet), Receive(NodeId("o1"), late))
    fleet.carrier.clear()
    fleet.advance(1_000.0)
    assert [item.held for item in sent(fleet, GrantReport)] == [(), ()]


def test_answer_that_ends_without_a_head_is_not_complete() -> None:
    # Guards against an empty answer that looks complete.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), make_call(plain=True, repeatable=False))
    run = started(fleet, caller)
    fleet.step(run, "headless")
    assert failure(caller).outcome is Outcome.UNKNOWN


def test_text_without_token_count_is_continued_and_not_started_afresh() -> None:
    # Guards against text that is doubled because no tokens were counted.
    fleet = ready()
    caller = fleet.request(entry(fleet), make_call())
    run = started(fleet, caller)
    run.script[2] = evolve(run.script[2], tokens=0)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    assert started(fleet, caller).start.delivered_tokens == 1


def test_long_answer_that_is_not_streamed_is_not_taken_for_a_silent_upstream() -> None:
    # Guards against a running answer that is cancelled and paid for twice.
    fleet = ready(0)
    caller = fleet.request(entry(fleet), evolve(make_call(stream=False), max_tokens=2_000))
    run = started(fleet, caller)
    fleet.advance(200_000.0)
    assert run.active
    fleet.advance(60_000.0)
    assert failure(caller).outcome is Outcome.FAILED


def test_drain_waits_for_claims_of_callers_that_left() -> None:
    # Guards against a node that leaves before a key is free again.
    fleet = ready(0)
    name = entry(fleet)
    caller = fleet.request(name, make_call(plain=True, repeatable=False, key=uuid7(1)))
    fleet.caller_gone(caller)
    assert fleet.entries[name].in_flight() == 1
    fleet.settle()
    assert fleet.entries[name].in_flight() == 0


def test_client_errors_earn_no_repeats() -> None:
    # Guards against a budget that is filled by callers' mistakes.
    fleet = ready(0)
    run = started(fleet, fleet.request(entry(fleet), make_call(plain=True)))
    run.script[0] = evolve(run.script[0], status=404)
    finish(fleet, run)
    second = fleet.request(entry(fleet), make_call())
    fleet.step(started(fleet, second), "cut")
    assert failure(second).outcome is Outcome.FAILED


def test_request_event_that_comes_twice_is_taken_in_once() -> None:
    # Guards against one request that runs twice.
    fleet = ready(0)
    name = entry(fleet)
    caller = fleet.request(name, make_call())
    started(fleet, caller)
    assert fleet.event(name, CallerRequest(caller.request_id, caller.call, WALL_MS)) == []


def test_late_events_of_an_old_attempt_do_not_touch_the_running_one() -> None:
    # Guards against chunks of an old attempt in a new answer.
    fleet = ready()
    caller = fleet.request(entry(fleet), make_call())
    run = started(fleet, caller)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    second = started(fleet, caller)
    fleet.step(second, "next")
    fleet.step(run, "next")
    finish(fleet, second)
    assert b"".join(caller.data) == caller.expected()
