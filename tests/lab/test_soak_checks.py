"""Each check of the fault soak fails when its promise is broken."""

from __future__ import annotations

import random

import pytest

from goldcrestridge_lab.soak_callers import PERMANENT_KEY, REVOCABLE_KEY, Call, Operators
from goldcrestridge_lab.soak_checks import DRAIN_MS, RECONNECT_MS, Observations, find_violations
from goldcrestridge_lab.soak_nodes import BOUNDS
from goldcrestridge_lab.soak_servers import Arrival

ENTRY = "127.20.2.1:18080"


def call(number: int = 0, kind: str = "once", key: str = PERMANENT_KEY, status: int = 200) -> Call:
    result = Call(f"r{number}", kind, key, ENTRY, 50_000.0, status=status, ended_ms=50_500.0)
    result.served = status == 200
    return result


def arrival(number: int = 0, at_ms: float = 50_100.0, instance: str = "i1") -> Arrival:
    return Arrival(f"r{number}", at_ms, "a", instance, "w1", "/once/x", ran=True)


def observations(calls: list[Call], arrivals: list[Arrival], **changes: object) -> Observations:
    operators = Operators(lambda: 0.0, random.Random(1), [], 2_500.0)
    parts: dict[str, object] = {
        "operators": operators,
        "leaving_listed_ms": {},
        "fault_spans": {},
        "drains": {},
        **changes,
    }
    return Observations(calls, arrivals, **parts)  # type: ignore[arg-type]


def violations(observed: Observations) -> list[str]:
    return list(find_violations(observed))


def test_a_run_without_fault_breaks_nothing() -> None:
    assert violations(observations([call()], [arrival()])) == []


@pytest.mark.parametrize(
    ("calls", "arrivals", "text"),
    [
        ([call()], [arrival(), arrival(at_ms=50_200.0)], "ran more often"),
        ([call(status=503)], [arrival()], "refused with 503 and ran"),
        ([call(status=401)], [], "got 401"),
        ([], [arrival()], "no caller sent"),
    ],
)
def test_a_wrong_answer_or_run_is_found(
    calls: list[Call], arrivals: list[Arrival], text: str
) -> None:
    (violation,) = violations(observations(calls, arrivals))
    assert text in violation


def test_a_request_that_is_lost_at_a_planned_end_is_found_unless_something_else_failed() -> None:
    lost = call(status=0)
    lost.closed = True
    drains = {"127.20.2.1": [(49_000.0, 51_000.0)]}
    (violation,) = violations(observations([lost], [], drains=drains))
    assert "planned end" in violation
    fault_spans = {"127.20.1.1": [(49_900.0, 50_000.0 - RECONNECT_MS / 2.0)]}
    assert violations(observations([lost], [], drains=drains, fault_spans=fault_spans)) == []


@pytest.mark.parametrize("again", [False, True])
def test_a_key_that_was_taken_away_runs_only_if_a_version_may_hold_it_again(again: bool) -> None:
    operators = Operators(lambda: 0.0, random.Random(1), [], 2_500.0)
    operators.acknowledged_ms[3] = 49_000.0 - BOUNDS["revoke_ms"]
    operators.includes_revocable_key[3], operators.sent_ms[3] = False, 0.0
    # A version that is sent only after the run excuses nothing.
    operators.includes_revocable_key[5], operators.sent_ms[5] = (
        True,
        49_000.0 if again else 51_000.0,
    )
    found = violations(observations([call(key=REVOCABLE_KEY)], [arrival()], operators=operators))
    assert len(found) == (0 if again else 1)


def test_a_request_at_an_upstream_that_leaves_is_found_after_the_bound() -> None:
    leaving_listed_ms = {"i1": 50_099.0 - DRAIN_MS - RECONNECT_MS}
    (violation,) = violations(
        observations([call()], [arrival()], leaving_listed_ms=leaving_listed_ms)
    )
    assert "leaves" in violation
    assert violations(observations([call()], [arrival()], leaving_listed_ms={"i1": 45_000.0})) == []


def test_repeats_beyond_the_budget_are_found() -> None:
    calls = [call(number, kind="read") for number in range(50)]
    allowed = int(BOUNDS["retry_extra"] + BOUNDS["retry_ratio"] * len(calls))
    arrivals = [arrival(number) for number in range(50)]
    arrivals += [arrival(number) for number in range(allowed)]
    assert violations(observations(calls, arrivals)) == []
    (violation,) = violations(observations(calls, [*arrivals, arrival(0)]))
    assert f"{allowed + 1} repeats" in violation
