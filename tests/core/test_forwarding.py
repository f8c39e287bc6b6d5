"""Tests of the decisions on one forwarded request."""

from __future__ import annotations

import itertools

import pytest

from goldcrestridge_core.forwarding import MAX_ATTEMPTS, AttemptOutcome, Forwarding, Step
from goldcrestridge_core.routes import Route, RouteKind, WeightedService
from goldcrestridge_core.window_budget import WindowBudget


def forwarding(kind: RouteKind, attempts: int = 2, resumable: bool = False) -> Forwarding:
    services = (WeightedService("s", 1),)
    route = Route("r", "h", "/", kind, services, 1e3, 1e2, 1, attempts, resumable=resumable)
    return Forwarding(route, 1_000.0)


KINDS = [
    (RouteKind.IDEMPOTENT, False),
    (RouteKind.NON_IDEMPOTENT, False),
    (RouteKind.STREAM, False),
    (RouteKind.STREAM, True),
]
ATTEMPT_OUTCOMES = [
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.UNKNOWN,
    AttemptOutcome.ERROR,
]


@pytest.mark.parametrize(("kind", "resumable"), KINDS)
def test_every_sequence_of_outcomes_respects_the_guarantees(
    kind: RouteKind, resumable: bool
) -> None:
    # Guards against a non-repeatable request that runs twice, a refusal of a request that may have
    # run, more runs than the route's attempts, and unbounded retries.
    for outcomes in itertools.product(ATTEMPT_OUTCOMES, repeat=MAX_ATTEMPTS):
        state = forwarding(kind, attempts=2, resumable=resumable)
        runs = 0
        sent = 0
        for outcome in outcomes:
            assert state.before_send(0.0, has_upstream=True).step is Step.SEND
            sent += 1
            if outcome is not AttemptOutcome.NOT_SENT:
                state.begin_attempt()
                # Whatever ends the request now must not call it not run.
                assert state.may_have_run
                assert state.give_up("stopped").step is Step.FAIL
                assert state.cancelled_outcome() is AttemptOutcome.UNKNOWN
            runs += outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.ERROR)
            decision = state.after_attempt(outcome, 0.0, has_retry_budget=True)
            assert state.may_have_run == (runs > 0)
            if decision.step is not Step.SEND:
                break
        assert runs <= (2 if state.route.repeatable else 1)
        assert sent <= MAX_ATTEMPTS
        assert decision.step is not Step.SEND
        if decision.step is Step.REFUSE:
            assert runs == 0
            assert decision.retry_after_ms > 0


@pytest.mark.parametrize(("kind", "resumable"), KINDS)
@pytest.mark.parametrize("outcome", ATTEMPT_OUTCOMES)
def test_a_request_is_not_sent_again_once_a_part_of_a_whole_answer_was_passed_on(
    kind: RouteKind, resumable: bool, outcome: AttemptOutcome
) -> None:
    # Guards against a second answer behind the part of a first one.
    state = forwarding(kind, resumable=resumable)
    state.committed = True
    assert not state.needs_retry_budget(outcome, 0.0)
    assert state.after_attempt(outcome, 0.0, has_retry_budget=True).step is not Step.SEND


def test_a_request_without_retry_budget_is_not_sent_again() -> None:
    # Guards against retries that overload a service whose upstreams reject requests.
    state = forwarding(RouteKind.IDEMPOTENT)
    assert state.needs_retry_budget(AttemptOutcome.NOT_RUN, 0.0)
    assert (
        state.after_attempt(AttemptOutcome.NOT_RUN, 0.0, has_retry_budget=False).step is Step.REFUSE
    )
    state = forwarding(RouteKind.IDEMPOTENT)
    assert (
        state.after_attempt(AttemptOutcome.UNKNOWN, 0.0, has_retry_budget=False).step is Step.FAIL
    )


def test_a_refused_connection_costs_no_retry_budget() -> None:
    # Guards against a crashed upstream that exhausts the retry budget without receiving a request.
    state = forwarding(RouteKind.NON_IDEMPOTENT, attempts=1)
    assert not state.needs_retry_budget(AttemptOutcome.NOT_SENT, 0.0)
    assert (
        state.after_attempt(AttemptOutcome.NOT_SENT, 0.0, has_retry_budget=False).step is Step.SEND
    )


def test_the_final_answer_after_the_deadline_tells_whether_the_request_may_have_run() -> None:
    # Guards against reporting "not run" after the deadline for a request that may have run.
    fresh = forwarding(RouteKind.IDEMPOTENT)
    assert fresh.before_send(999.0, has_upstream=True).step is Step.REFUSE
    sent = forwarding(RouteKind.IDEMPOTENT)
    assert (
        sent.after_attempt(AttemptOutcome.UNKNOWN, 1_000.0, has_retry_budget=True).step
        is Step.TIME_OUT
    )


def test_all_entry_nodes_together_stay_within_the_retry_bound_in_any_window() -> None:
    # Guards against a retry budget that every node spends in full, or that a burst spends twice
    # within one sliding window. Traffic: a service fails for 30 s while clients keep sending.
    share, extra, window_ms, nodes = 0.2, 60.0, 10_000.0, 12
    budgets = [
        WindowBudget(share, extra, window_ms, lambda _now_ms: 1.0 / nodes) for _ in range(nodes)
    ]
    retries: list[float] = []
    requests: list[float] = []
    for step in range(3_000):
        now_ms = step * 10.0
        budget = budgets[step % nodes]
        budget.record_request("s", now_ms)
        requests.append(now_ms)
        for _ in range(3):
            if budget.spend("s", now_ms):
                budget.settle("s", True, now_ms)
                retries.append(now_ms)
    assert retries
    for start_ms in range(0, 20_000, 500):
        inside = sum(start_ms <= time < start_ms + window_ms for time in retries)
        received = sum(start_ms <= time < start_ms + window_ms for time in requests)
        assert inside <= share * received + extra
