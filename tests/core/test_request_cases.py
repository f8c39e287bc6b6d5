"""Cases of the request role that the state machine test rarely reaches or cannot check."""

from __future__ import annotations

import random
from typing import Any

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given
from returns.result import Failure
from tests.core.fleet import RETRY_SHARE, SHARD, WALL_MS, Caller, Fleet, Run, make_call, uuid7

from goldcrestridge_core.attempts import VERSION_HEADER, Answer
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
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.idempotency import check_key
from goldcrestridge_core.progress import UPSTREAM_IDLE_TIMEOUT_MS
from goldcrestridge_core.retries import RetryBudget
from goldcrestridge_core.slots import PendingRequest, SlotClient
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


def run_until_started(fleet: Fleet, caller: Caller) -> Run:
    """Deliver messages until an attempt for the caller starts, and return its run."""
    count = len([run for run in fleet.runs if run.caller is caller])
    for _ in range(100):
        while fleet.proposals:
            fleet.resolve_proposal(0, "done")
        for _ in range(len(fleet.network)):
            fleet.deliver(0)
        runs = [run for run in fleet.runs if run.caller is caller]
        if len(runs) > count:
            return runs[-1]
    raise AssertionError(f"no attempt for {caller.request_id} started within 100 rounds")


def finish_attempt(fleet: Fleet, run: Run) -> None:
    """Let the upstream send the rest of its response."""
    while run.active:
        fleet.step(run, "next")


def start_fleet(completed: int = 1) -> Fleet:
    """Return a fleet of one entry node whose completed requests allow some retries."""
    fleet = Fleet()
    fleet.start_entries(("e0",))
    for _ in range(completed):
        finish_attempt(
            fleet, run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
        )
    return fleet


def first_entry(fleet: Fleet) -> NodeId:
    return next(iter(fleet.entries))


def failure(caller: Caller) -> RespondFailure:
    """Return the failure response that the caller received."""
    final = caller.final_responses[0]
    assert isinstance(final, RespondFailure)
    return final


@pytest.mark.parametrize("delivered", range(6))
def test_lost_stream_continues_on_another_engine_without_duplicate_or_gap(delivered: int) -> None:
    # Guards against duplicated or lost tokens at the point of continuation.
    fleet = start_fleet()
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    for _ in range(1 + delivered):
        fleet.step(run, "next")
    fleet.step(run, "cut")
    second = run_until_started(fleet, caller)
    assert second.start.upstream != run.start.upstream
    finish_attempt(fleet, second)
    assert b"".join(caller.chunks) == caller.expected()


def test_lost_stream_without_retry_budget_fails_and_is_not_completed() -> None:
    # Guards against retries beyond the budget, and a truncated stream that ends normally.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    fleet.step(run, "cut")
    assert failure(caller).outcome is Outcome.FAILED
    assert failure(caller).retry_after_ms >= 0.0


def test_unstreamed_response_lost_in_its_body_is_retried_and_not_mixed() -> None:
    # Guards against a body with parts of two responses.
    fleet = start_fleet()
    caller = fleet.request(first_entry(fleet), make_call(stream=False))
    run = run_until_started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    assert caller.chunks == []
    fleet.step(run, "cut")
    finish_attempt(fleet, run_until_started(fleet, caller))
    assert b"".join(caller.chunks) == caller.expected()


@pytest.mark.parametrize("action", ["connect", "leaving"])
def test_attempt_that_did_not_run_is_rerouted_until_no_upstream_is_left(action: str) -> None:
    # Guards against a failure while another upstream could serve, and endless rerouting.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call(plain=True, repeatable=False))
    tried = []
    while not caller.final_responses:
        run = run_until_started(fleet, caller)
        tried.append(run.start.upstream)
        fleet.step(run, action)
    assert len(tried) == len(set(tried)) == 3
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.NO_UPSTREAM


def test_attempt_on_an_idle_upstream_is_cancelled_and_the_outcome_of_a_charge_is_unknown() -> None:
    # Guards against a charge that is reported as not run although it may have run.
    fleet = start_fleet(0)
    caller = fleet.request(
        first_entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1))
    )
    run = run_until_started(fleet, caller)
    fleet.advance(UPSTREAM_IDLE_TIMEOUT_MS)
    assert not run.active
    assert failure(caller).outcome is Outcome.UNKNOWN
    repeated = fleet.request(first_entry(fleet), run.start.call)
    fleet.run_to_completion()
    assert failure(repeated).outcome is Outcome.UNKNOWN
    assert len(fleet.runs) == 1


def test_recorded_response_is_replayed_to_the_same_workspace_only() -> None:
    # Guards against a recorded response that reaches another workspace with the same key.
    fleet = start_fleet(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    finish_attempt(fleet, run_until_started(fleet, fleet.request(first_entry(fleet), call)))
    repeated = fleet.request(first_entry(fleet), call)
    other = fleet.request(
        first_entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1), ws="b")
    )
    fleet.run_to_completion()
    assert b"".join(repeated.chunks) == repeated.expected()
    assert b"".join(other.chunks) == other.expected()
    assert len(fleet.runs) == 2


def test_key_in_other_letter_case_is_the_same_claim() -> None:
    # Guards against a second run of a call under another spelling of its key.
    fleet = start_fleet(0)
    key = uuid7(0xABCDEF)
    for text in (key, key.upper()):
        call = make_call(plain=True, repeatable=False, key=text)
        fleet.request(first_entry(fleet), call)
        fleet.run_to_completion()
    assert len(fleet.runs) == 1


def test_unreachable_claim_store_answers_not_run_and_frees_the_key_later() -> None:
    # Guards against a key that stays claimed for a call that never ran.
    fleet = start_fleet(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    caller = fleet.request(first_entry(fleet), call)
    fleet.resolve_proposal(0, "reply_lost")
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.CLAIM_STORE
    fleet.run_to_completion()
    finish_attempt(fleet, run_until_started(fleet, fleet.request(first_entry(fleet), call)))
    assert len(fleet.runs) == 1


def test_claim_that_is_never_answered_ends_at_the_deadline_as_not_run() -> None:
    # Guards against a caller that waits without limit for the claim store.
    fleet = start_fleet(0)
    caller = fleet.request(
        first_entry(fleet), make_call(plain=True, repeatable=False, key=uuid7(1))
    )
    fleet.advance(4_000.0)
    assert failure(caller).reason is Reason.CLAIM_STORE
    assert fleet.runs == []


def test_request_without_slot_ends_at_its_deadline() -> None:
    # Guards against a request that waits without limit for a slot.
    fleet = start_fleet(0)
    for _ in range(6):
        run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    caller = fleet.request(first_entry(fleet), make_call())
    for _ in range(17):
        for _ in range(len(fleet.network)):
            fleet.deliver(0)
        fleet.advance(250.0)
    assert failure(caller).outcome is Outcome.NOT_RUN
    assert failure(caller).reason is Reason.DEADLINE


def test_without_owner_each_entry_admits_up_to_its_share_of_the_slots() -> None:
    # Guards against a shard that stalls or is overloaded while it has no owner.
    fleet = Fleet()
    fleet.start_entries()
    for name in fleet.entries:
        fleet.event(name, OwnerChanged(SHARD, None, fleet.epoch))
        for _ in range(5):
            fleet.request(name, make_call())
    counts = [sum(run.entry == name for run in fleet.runs) for name in fleet.entries]
    assert counts == [2, 2, 2]
    finish_attempt(fleet, fleet.runs[0])
    assert len(fleet.runs) == 7


def test_silent_owner_is_replaced_by_local_admission_within_two_seconds() -> None:
    # Guards against requests that wait for an owner on the other side of a partition.
    fleet = start_fleet(0)
    fleet.request(first_entry(fleet), make_call())
    fleet.advance(2_000.0)
    assert len(fleet.runs) == 1


def test_grant_of_an_older_epoch_and_a_late_grant_are_released_unused() -> None:
    # Guards against a refused request that runs, and a leaked slot.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    fleet.deliver(0)
    fleet.replace_owner()
    fleet.disconnect(caller)
    fleet.run_to_completion()
    assert fleet.runs == []
    assert not fleet.former_owners[0].granted


def test_new_owner_receives_a_report_of_held_grants_and_waiting_attempts_at_once() -> None:
    # Guards against a new owner that grants slots that are in use.
    fleet = start_fleet(0)
    run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    waiting = fleet.request(first_entry(fleet), make_call())
    fleet.network.clear()
    fleet.replace_owner()
    messages = [message for _, _, message in fleet.network]
    report = next(item for item in messages if isinstance(item, GrantReport))
    assert len(report.held) == 1
    assert report.waiting == ((waiting.request_id, 0),)
    assert any(isinstance(item, SlotRequest) for item in messages)


def test_release_carries_first_token_and_inter_token_times() -> None:
    # Guards against slow upstreams that are not detected because no latency is reported.
    fleet = start_fleet(0)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    for delta_ms in (0.0, 5.0, 95.0, 30.0, 30.0, 0.0, 0.0):
        fleet.advance(delta_ms)
        fleet.step(run, "next")
    releases = [item for _, _, item in fleet.network if isinstance(item, SlotRelease)]
    assert releases[0].first_token_ms == pytest.approx(100.0)
    assert releases[0].inter_token_ms == pytest.approx(30.0)
    assert releases[0].output_tokens == 3


def test_drain_refuses_new_requests_and_cuts_none_when_all_have_ended() -> None:
    # Guards against a drain that cuts a request or does not end.
    fleet = start_fleet(0)
    name = next(iter(fleet.entries))
    run = run_until_started(fleet, fleet.request(name, make_call()))
    fleet.drain(name)
    assert failure(fleet.request(name, make_call())).reason is Reason.DRAINING
    assert fleet.entries[name].in_flight() == 1
    finish_attempt(fleet, run)
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
def test_key_that_is_not_a_current_uuid7_is_refused(text: str) -> None:
    # Guards against a key whose age is unknown, so that it could run again.
    assert isinstance(check_key(text, WALL_MS, RETENTION_MS), Failure)


@pytest.mark.parametrize("offset_ms", [-RETENTION_MS, 0.0, 300_000.0])
def test_key_within_retention_gives_its_issue_time(offset_ms: float) -> None:
    # Guards against the refusal of valid keys.
    key = check_key(uuid7(7, WALL_MS + offset_ms), WALL_MS, RETENTION_MS).unwrap()
    assert key.issued_ms == WALL_MS + offset_ms


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 30_000.0))))
def test_retries_never_exceed_the_share_of_completions(steps: list[tuple[bool, float]]) -> None:
    # Guards against a retry storm while upstreams fail.
    budget, now_ms, completed, spent = RetryBudget(RETRY_SHARE / 10), 0.0, 0, 0
    for complete, delta_ms in steps:
        now_ms += delta_ms
        if complete:
            budget.record_completion("fast", now_ms)
            completed += 1
        else:
            spent += budget.spend("fast", now_ms)
        assert spent <= RETRY_SHARE / 10 * completed + 1e-6


def test_old_completions_do_not_add_to_the_retry_budget() -> None:
    # Guards against a retry budget that accumulates over a long time.
    budget = RetryBudget(1.0)
    for _ in range(20):
        budget.record_completion("fast", 0.0)
    assert budget.spend("fast", 1_000.0)
    assert not budget.spend("fast", 600_000.0)


def test_duplicated_grant_message_is_not_released() -> None:
    # Guards against a running request whose slot is granted to another.
    fleet = start_fleet(0)
    fleet.request(first_entry(fleet), make_call())
    while not isinstance(fleet.network[0][2], SlotGrant):
        fleet.deliver(0)
    fleet.deliver(0, keep=True)
    fleet.deliver(0)
    assert len(fleet.runs) == 1
    assert not any(isinstance(item, SlotRelease) for _, _, item in fleet.network)


def in_transit(fleet: Fleet, kind: type) -> list[Any]:
    """Return the undelivered messages of one type."""
    return [message for _, _, message in fleet.network if isinstance(message, kind)]


def test_cancelled_request_releases_its_slot_at_once() -> None:
    # Guards against slots that stay held for disconnected callers.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    run_until_started(fleet, caller)
    fleet.disconnect(caller)
    assert [item.end for item in in_transit(fleet, SlotRelease)] == [GrantEnd.CANCELLED]


def test_stream_that_cannot_continue_fails_once_its_caller_has_received_data() -> None:
    # Guards against a second response after the beginning of the first.
    fleet = start_fleet()
    call = evolve(make_call(), continuable=False)
    caller = fleet.request(first_entry(fleet), call)
    run = run_until_started(fleet, caller)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    assert failure(caller).outcome is Outcome.FAILED


@pytest.mark.parametrize("claimed", [False, True])
def test_key_is_freed_when_its_caller_disconnects_before_the_call_runs(claimed: bool) -> None:
    # Guards against a key that cannot be used again although nothing ran.
    fleet = start_fleet(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    caller = fleet.request(first_entry(fleet), call)
    if claimed:
        fleet.resolve_proposal(0, "done")
    fleet.disconnect(caller)
    fleet.run_to_completion()
    finish_attempt(fleet, run_until_started(fleet, fleet.request(first_entry(fleet), call)))
    assert len(fleet.runs) == 1


def test_outcome_that_was_not_recorded_is_proposed_again() -> None:
    # Guards against a completed call whose key stays "in progress".
    fleet = start_fleet(0)
    call = make_call(plain=True, repeatable=False, key=uuid7(1))
    finish_attempt(fleet, run_until_started(fleet, fleet.request(first_entry(fleet), call)))
    assert fleet.entries[first_entry(fleet)].in_flight() == 1
    fleet.resolve_proposal(0, "unsent")
    fleet.run_to_completion()
    repeated = fleet.request(first_entry(fleet), call)
    fleet.run_to_completion()
    assert b"".join(repeated.chunks) == repeated.expected()


def test_leaving_refusal_after_the_head_is_not_reported_as_not_run() -> None:
    # Guards against a call that ran in part and is reported as not run.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call(plain=True, repeatable=False))
    run = run_until_started(fleet, caller)
    fleet.step(run, "next")
    fleet.step(run, "leaving")
    assert failure(caller).outcome is Outcome.UNKNOWN


def test_grant_of_a_lower_epoch_never_starts_an_attempt() -> None:
    # Guards against an attempt under a grant of a replaced owner.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    stale_grant = SlotGrant(caller.request_id, 0, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.replace_owner()
    fleet.network.clear()
    fleet.event(first_entry(fleet), Receive(NodeId("o1"), stale_grant))
    assert fleet.runs == []
    assert [item.grant_id for item in in_transit(fleet, SlotRelease)] == [7]


@pytest.mark.parametrize("attempt", [0, 1])
def test_grant_without_a_waiting_request_is_released_to_its_sender(attempt: int) -> None:
    # Guards against a leaked slot at the owner that granted it.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    if attempt == 0:
        fleet.disconnect(caller)
    fleet.network.clear()
    late_grant = SlotGrant(caller.request_id, attempt, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.event(first_entry(fleet), Receive(NodeId("o1"), late_grant))
    assert fleet.runs == []
    assert [item.end for item in in_transit(fleet, SlotRelease)] == [GrantEnd.UNUSED]


def test_lost_slot_request_is_resent_with_updated_times() -> None:
    # Guards against a request that misses its deadline because of one lost message.
    fleet = start_fleet(0)
    fleet.request(first_entry(fleet), make_call())
    fleet.network.clear()
    fleet.advance(250.0)
    resent = in_transit(fleet, SlotRequest)
    assert [(item.waited_ms, item.deadline_in_ms) for item in resent] == [(250.0, 3_750.0)]


def test_contradicting_not_owner_answers_do_not_loop() -> None:
    # Guards against a message storm between nodes with different views of the owner.
    fleet = start_fleet(0)
    fleet.request(first_entry(fleet), make_call())
    fleet.network.clear()
    for sender, named in (("o1", "o9"), ("o9", "o1"), ("o1", "o9")):
        answer = NotOwner(SHARD, NodeId(named), fleet.epoch)
        fleet.event(first_entry(fleet), Receive(NodeId(sender), answer))
    assert in_transit(fleet, SlotRequest) == []


def test_not_owner_with_a_higher_epoch_is_followed_at_once() -> None:
    # Guards against requests that wait for a former owner.
    fleet = start_fleet(0)
    fleet.request(first_entry(fleet), make_call())
    fleet.network.clear()
    answer = NotOwner(SHARD, NodeId("o9"), fleet.epoch + 1)
    fleet.event(first_entry(fleet), Receive(NodeId("o1"), answer))
    assert {to for _, to, message in fleet.network if isinstance(message, SlotRequest)} == {"o9"}


def test_reports_stop_after_a_shard_has_been_unused_for_some_time() -> None:
    # Guards against reports of idle entry nodes that use up the control traffic budget.
    fleet = start_fleet(0)
    finish_attempt(fleet, run_until_started(fleet, fleet.request(first_entry(fleet), make_call())))
    fleet.advance(60_000.0)
    fleet.network.clear()
    fleet.advance(60_000.0)
    assert fleet.network == []


def test_owner_is_notified_that_an_upstream_is_leaving() -> None:
    # Guards against other entry nodes that continue to use the upstream.
    fleet = start_fleet(0)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    fleet.step(run, "leaving")
    assert [item.upstream for item in in_transit(fleet, UpstreamLeaving)] == [run.start.upstream]


def test_chunks_of_a_continuation_before_its_text_are_not_delivered_again() -> None:
    # Guards against a second opening chunk in the middle of a stream.
    answer = Answer(RequestId("r"), make_call())
    for attempt in (0, 1):
        answer.receive_head(AttemptHead(RequestId("r"), attempt, 200, ()))
        answer.receive_chunk(AttemptChunk(RequestId("r"), attempt, b"R"))
        out = answer.receive_chunk(AttemptChunk(RequestId("r"), attempt, b"text", "text", 1))
        answer.discard()
    assert [item.data for item in out if isinstance(item, RespondChunk)] == [b"text"]


def test_server_error_of_a_repeatable_call_is_retried_within_the_budget_only() -> None:
    # Guards against retries of server errors beyond the retry budget.
    for completed in (0, 1):
        fleet = start_fleet(completed)
        caller = fleet.request(first_entry(fleet), make_call(plain=True))
        run = run_until_started(fleet, caller)
        run.script[0] = evolve(run.script[0], status=500)
        fleet.step(run, "next")
        assert run.active == (completed == 0)


def test_tokens_of_an_incomplete_response_are_counted_as_wasted() -> None:
    # Guards against wasted tokens that the metrics do not show.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    for _ in range(4):
        fleet.step(run, "next")
    effects = fleet.event(first_entry(fleet), CallerGone(caller.request_id))
    wasted = [item.value for item in effects if isinstance(item, Count) and "wasted" in item.name]
    assert wasted == [2]


def test_repeated_prefill_for_a_continuation_is_counted_as_wasted() -> None:
    # Guards against a prefill cost of continuations that the metrics do not show.
    fleet = start_fleet()
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    for _ in range(4):
        fleet.step(run, "next")
    ids = (run.start.request_id, run.start.attempt)
    effects = fleet.event(first_entry(fleet), AttemptFailed(*ids, sent=True, reason="cut"))
    counts = {item.name: item.value for item in effects if isinstance(item, Count)}
    assert counts["wasted_prefill_tokens"] == run.start.call.prompt_tokens + 2


def test_two_random_choices_prefer_the_shard_with_more_free_slots() -> None:
    # Guards against requests that queue at a full shard while another has free slots.
    slots = SlotClient(NodeId("e"), random.Random(1), lambda _: (), lambda: 1)
    shards = (ShardId("p/0"), ShardId("p/1"))
    for shard, free in zip(shards, (1, 5), strict=True):
        slots.set_owner(shard, NodeId("o"), 1, 0.0)
        slots.handle_summary(NodeId("o"), ShardSummary(shard, NodeId("o"), 1, free, (1,)), 0.0)
    assert {slots.pick_shard(shards, 1.0) for _ in range(9)} == {shards[1]}


def test_late_grant_to_an_idle_entry_starts_reports_in_case_its_release_is_lost() -> None:
    # Guards against a slot that stays held because an idle entry node sends no reports.
    fleet = start_fleet(0)
    fleet.advance(60_000.0)
    fleet.network.clear()
    late_grant = SlotGrant(RequestId("r9"), 0, SHARD, fleet.epoch, 7, UpstreamId("u0"))
    fleet.event(first_entry(fleet), Receive(NodeId("o1"), late_grant))
    fleet.network.clear()
    fleet.advance(1_000.0)
    assert [item.held for item in in_transit(fleet, GrantReport)] == [(), ()]


def test_response_that_ends_without_a_head_is_not_complete() -> None:
    # Guards against an empty response that is reported as complete.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call(plain=True, repeatable=False))
    run = run_until_started(fleet, caller)
    fleet.step(run, "headless")
    assert failure(caller).outcome is Outcome.UNKNOWN


def test_text_without_token_count_is_continued_and_not_restarted() -> None:
    # Guards against text that is sent twice because no tokens were counted.
    fleet = start_fleet()
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    run.script[2] = evolve(run.script[2], tokens=0)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    assert run_until_started(fleet, caller).start.delivered_tokens == 1


def test_long_response_that_is_not_streamed_does_not_count_as_an_idle_upstream() -> None:
    # Guards against a running response that is cancelled and generated twice.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), evolve(make_call(stream=False), max_tokens=2_000))
    run = run_until_started(fleet, caller)
    fleet.advance(200_000.0)
    assert run.active
    fleet.advance(60_000.0)
    assert failure(caller).outcome is Outcome.FAILED


def test_drain_waits_for_claims_of_disconnected_callers() -> None:
    # Guards against a node that stops before a key is freed.
    fleet = start_fleet(0)
    name = first_entry(fleet)
    caller = fleet.request(name, make_call(plain=True, repeatable=False, key=uuid7(1)))
    fleet.disconnect(caller)
    assert fleet.entries[name].in_flight() == 1
    fleet.run_to_completion()
    assert fleet.entries[name].in_flight() == 0


def test_client_errors_do_not_add_to_the_retry_budget() -> None:
    # Guards against a retry budget that grows with invalid requests of callers.
    fleet = start_fleet(0)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call(plain=True)))
    run.script[0] = evolve(run.script[0], status=404)
    finish_attempt(fleet, run)
    second = fleet.request(first_entry(fleet), make_call())
    fleet.step(run_until_started(fleet, second), "cut")
    assert failure(second).outcome is Outcome.FAILED


def test_duplicated_request_event_is_accepted_once() -> None:
    # Guards against one request that runs twice.
    fleet = start_fleet(0)
    name = first_entry(fleet)
    caller = fleet.request(name, make_call())
    run_until_started(fleet, caller)
    assert fleet.event(name, CallerRequest(caller.request_id, caller.call, WALL_MS)) == []


def test_late_events_of_an_earlier_attempt_do_not_affect_the_running_one() -> None:
    # Guards against chunks of an earlier attempt in the response of a later one.
    fleet = start_fleet()
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    for action in ("next", "next", "next", "cut"):
        fleet.step(run, action)
    second = run_until_started(fleet, caller)
    fleet.step(second, "next")
    fleet.step(run, "next")
    finish_attempt(fleet, second)
    assert b"".join(caller.chunks) == caller.expected()


def test_a_node_without_an_owner_admits_no_request_to_an_upstream_with_a_limit() -> None:
    # Guards against a limit that each node exceeds by itself while no owner counts the requests.
    upstreams = tuple(
        Upstream(UpstreamId(name), f"10.0.0.{number}:80", "dc", 50)
        for number, name in enumerate(("free", "limited"))
    )
    client = SlotClient(NodeId("e"), random.Random(1), lambda _shard: upstreams, lambda: 1)
    summary = ShardSummary(SHARD, NodeId("o"), 1, 100, (), ((UpstreamId("limited"), 5.0),))
    client.handle_summary(NodeId("o"), summary, 0.0)
    for number in range(20):
        waiting = PendingRequest(
            RequestId(f"r{number}"), 0, SHARD, make_call(), 0, 0.0, 0.0, 60_000.0, (), 0
        )
        client.request_slot(waiting, 0.0)
    accepted = client.admit_locally(10_000.0)
    assert len(accepted) == 20
    assert {item.grant.upstream for item in accepted} == {"free"}
    (report,) = [
        send.message for send in client.tick(10_000.0) if isinstance(send.message, GrantReport)
    ]
    assert report.limits == summary.limits


@pytest.mark.parametrize("stated", ["v1", "v2", ""])
def test_a_stream_is_continued_only_by_an_upstream_that_states_its_version(stated: str) -> None:
    # Guards against a stream with text of two software versions, also while the owner's report of
    # the upstream is old, and against an upstream whose version is unknown.
    fleet = start_fleet(4)
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    run.script[0] = evolve(run.script[0], headers=((VERSION_HEADER, b"v1"),))
    for _ in range(3):
        fleet.step(run, "next")
    received = len(caller.chunks)
    fleet.step(run, "cut")
    second = run_until_started(fleet, caller)
    assert second.start.version == "v1"
    headers = ((VERSION_HEADER, stated.encode()),) if stated else ()
    second.script[0] = evolve(second.script[0], headers=headers)
    if stated == "v1":
        finish_attempt(fleet, second)
        assert b"".join(caller.chunks) == caller.expected()
        return
    fleet.step(second, "next")
    assert not second.active
    assert len(caller.chunks) == received
