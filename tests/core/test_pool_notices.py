"""Tests of upstreams of pools that say in an answer that they leave, or ask for a rest."""

from __future__ import annotations

import pytest
from attrs import evolve
from tests.core.fleet import SHARD, Fleet, Run, make_call
from tests.core.test_owner import Harness
from tests.core.test_request_cases import (
    finish_attempt,
    first_entry,
    run_until_started,
    start_fleet,
)

from goldcrestridge_core import types
from goldcrestridge_core.call_types import AttemptFailed, AttemptHead, OwnerChanged
from goldcrestridge_core.choice import PrefixChooser
from goldcrestridge_core.types import UpstreamId, UpstreamLeaving, UpstreamResting

U = UpstreamId("u")


def answer_with(run: Run, status: int = 200, leaving: bool = False, rest_ms: float = 0.0) -> None:
    """Let the next response head of the upstream carry a notice."""
    head = run.script[0]
    assert isinstance(head, AttemptHead)
    run.script[0] = evolve(head, status=status, leaving=leaving, rest_ms=rest_ms)


def sent(fleet: Fleet, kind: type) -> list[object]:
    return [message for _, _, message in fleet.network if isinstance(message, kind)]


def test_the_owner_learns_from_any_answer_that_an_upstream_leaves() -> None:
    # Guards against new work for an upstream that says so in a successful answer (P6).
    fleet = start_fleet(0)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    answer_with(run, leaving=True)
    fleet.step(run, "next")
    fleet.step(run, "next")
    notices = sent(fleet, UpstreamLeaving)
    assert [item.upstream for item in notices] == [run.start.upstream]  # type: ignore[attr-defined]
    finish_attempt(fleet, run)
    for _ in range(6):
        other = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
        assert other.start.upstream != run.start.upstream
        finish_attempt(fleet, other)


def test_a_grant_that_crosses_a_notice_is_not_used() -> None:
    # Guards against a request that is sent during a rest because its slot was granted before.
    fleet = start_fleet(0)
    entry = first_entry(fleet)
    run = run_until_started(fleet, fleet.request(entry, make_call()))
    upstream = run.start.upstream
    fleet.entries[entry]._slots.notices.hear(upstream, False, 60_000.0, fleet.now_ms)
    for _ in range(6):
        other = run_until_started(fleet, fleet.request(entry, make_call()))
        assert other.start.upstream != upstream
        finish_attempt(fleet, other)


def test_a_request_that_was_not_sent_because_of_a_rest_is_no_failed_connection() -> None:
    # Guards against a busy upstream that is taken for an unreachable one.
    fleet = start_fleet(0)
    entry = first_entry(fleet)
    run = run_until_started(fleet, fleet.request(entry, make_call()))
    fleet.entries[entry]._slots.notices.hear(run.start.upstream, False, 60_000.0, fleet.now_ms)
    ids = run.start.request_id, run.start.attempt
    run.active = False
    fleet.event(entry, AttemptFailed(*ids, sent=False, reason="rest"))
    ends = [item.end for item in sent(fleet, types.SlotRelease)]  # type: ignore[attr-defined]
    assert ends == [types.GrantEnd.UNUSED]


def test_a_resting_upstream_is_not_failed_for_its_rejection() -> None:
    # Guards against a backoff of an upstream that only named a time.
    fleet = start_fleet(3)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    answer_with(run, status=503, rest_ms=2_000.0)
    fleet.step(run, "next")
    notices = sent(fleet, UpstreamResting)
    assert [(item.upstream, item.left_ms) for item in notices] == [(run.start.upstream, 2_000.0)]  # type: ignore[attr-defined]
    ends = [item.end for item in sent(fleet, types.SlotRelease)]  # type: ignore[attr-defined]
    assert types.GrantEnd.FAILED not in ends


def test_a_rest_in_an_answer_that_cannot_be_passed_on_is_told_to_the_owner() -> None:
    # Guards against requests in a rest that was asked for without a length, or to no known request.
    fleet = start_fleet(3)
    entry = first_entry(fleet)
    run = run_until_started(fleet, fleet.request(entry, make_call()))
    ids = run.start.request_id, run.start.attempt
    run.active = False
    fleet.event(entry, AttemptFailed(*ids, sent=True, reason="unframed", rest_ms=2_000.0))
    notices = sent(fleet, UpstreamResting)
    assert [(item.upstream, item.left_ms) for item in notices] == [(run.start.upstream, 2_000.0)]  # type: ignore[attr-defined]
    assert fleet.entries[entry].is_withheld(run.start.upstream, fleet.now_ms + 1_999.0)
    ends = [item.end for item in sent(fleet, types.SlotRelease)]  # type: ignore[attr-defined]
    assert types.GrantEnd.FAILED not in ends


def test_the_next_owner_learns_what_an_upstream_said() -> None:
    # Guards against an upstream that is in use again after its shard has changed owners (P6).
    fleet = start_fleet(0)
    entry = first_entry(fleet)
    requests = fleet.entries[entry]
    upstream = requests._upstreams_of(SHARD)[0].name
    requests._slots.notices.hear(upstream, True, 5_000.0, fleet.now_ms)
    effects = requests.handle(OwnerChanged(SHARD, types.NodeId("next"), 99), fleet.now_ms)
    told = [item.message for item in effects if isinstance(item, types.Send)]
    assert UpstreamLeaving(upstream, str(entry)) in told
    assert any(isinstance(item, UpstreamResting) for item in told)


def test_an_owner_grants_nothing_on_a_resting_upstream_until_its_end() -> None:
    # Guards against arrivals during a rest, and against an upstream that is never used again.
    harness = Harness(chooser=PrefixChooser())
    harness.grant()
    harness.send(UpstreamResting(U, 3_000.0, "e"))
    (refusal,) = harness.send(harness.request())
    assert refusal.reason is types.Reason.NO_UPSTREAM
    assert refusal.retry_after_ms >= 3_000.0
    harness.advance(2_900.0)
    (refusal,) = harness.send(harness.request())
    assert isinstance(refusal, types.SlotRefusal)
    harness.advance(200.0)
    harness.owner.chooser.free_slots(harness.now_ms)
    assert not harness.owner.chooser.is_resting(U, harness.now_ms)


def test_waiting_requests_are_refused_at_once_when_all_upstreams_rest() -> None:
    # Guards against callers that are held until the rest ends.
    harness = Harness(chooser=PrefixChooser())
    harness.grant()
    assert harness.send(harness.request()) == []
    answers = harness.send(UpstreamResting(U, 3_000.0, "e"))
    refusals = [item for item in answers if isinstance(item, types.SlotRefusal)]
    assert [item.reason for item in refusals] == [types.Reason.NO_UPSTREAM]
    assert refusals[0].retry_after_ms >= 3_000.0


@pytest.mark.parametrize("second_ms", [500.0, 6_000.0])
def test_a_second_rest_of_a_pools_upstream_never_ends_the_first(second_ms: float) -> None:
    # Guards against a shorter rest that replaces a longer one.
    harness = Harness(chooser=PrefixChooser())
    harness.send(UpstreamResting(U, 3_000.0, "e"))
    harness.send(UpstreamResting(U, second_ms, "f"))
    end_ms = harness.now_ms + max(3_000.0, second_ms)
    assert harness.owner.chooser.is_resting(U, end_ms - 1.0)
    assert not harness.owner.chooser.is_resting(U, end_ms)
