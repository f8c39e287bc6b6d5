"""Each check of the fault soak reports a violation of its guarantee."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

import pytest
from attrs import evolve

from goldcrestridge_lab.soak_callers import (
    PERMANENT_KEY,
    REVOCABLE_KEY,
    Call,
    Operators,
    Stream,
)
from goldcrestridge_lab.soak_checks import DRAIN_MS, RECONNECT_MS, Observations, find_violations
from goldcrestridge_lab.soak_nodes import BOUNDS
from goldcrestridge_lab.soak_prompts import PromptCrash
from goldcrestridge_lab.soak_servers import Arrival
from goldcrestridge_lab.soak_streams import FIRST_IDS, LINE_ENDS, shape_of

ENTRY = "127.20.2.1:18080"


def call(number: int = 0, kind: str = "once", key: str = PERMANENT_KEY, status: int = 200) -> Call:
    result = Call(f"r{number}", kind, key, ENTRY, 50_000.0, status=status, ended_ms=50_500.0)
    result.served = status == 200
    return result


def arrival(number: int = 0, at_ms: float = 50_100.0, instance: str = "i1") -> Arrival:
    return Arrival(f"r{number}", at_ms, "a", instance, "w1", "/once/x", ran=True)


def observations(calls: list[Call], arrivals: list[Arrival], **changes: object) -> Observations:
    operators = Operators(lambda: 0.0, random.Random(1), [], 2_500.0)
    arguments: dict[str, object] = {
        "operators": operators,
        "leaving_listed_ms": {},
        "fault_spans": {},
        "drains": {},
        **changes,
    }
    return Observations(calls, arrivals, **arguments)  # type: ignore[arg-type]


def violations(observed: Observations) -> list[str]:
    return list(find_violations(observed))


def test_a_correct_run_has_no_violations() -> None:
    assert violations(observations([call()], [arrival()])) == []


@pytest.mark.parametrize(
    ("calls", "arrivals", "text"),
    [
        ([call()], [arrival(), arrival(at_ms=50_200.0)], "executed 2 times"),
        ([call(status=503)], [arrival()], "executed although refused with status 503"),
        ([call(status=401)], [], "refused with status 401"),
        ([], [arrival()], "no caller sent"),
    ],
)
def test_a_wrong_response_or_execution_is_reported(
    calls: list[Call], arrivals: list[Arrival], text: str
) -> None:
    (violation,) = violations(observations(calls, arrivals))
    assert text in violation


def test_a_request_lost_at_a_planned_shutdown_is_reported_unless_a_fault_overlaps() -> None:
    lost = call(status=0)
    lost.closed = True
    drains = {"127.20.2.1": [(49_000.0, 51_000.0)]}
    (violation,) = violations(observations([lost], [], drains=drains))
    assert "planned shutdown" in violation
    fault_spans = {"127.20.1.1": [(49_900.0, 50_000.0 - RECONNECT_MS / 2.0)]}
    assert violations(observations([lost], [], drains=drains, fault_spans=fault_spans)) == []


@pytest.mark.parametrize("again", [False, True])
def test_a_revoked_key_is_reported_unless_a_newer_version_may_include_it(again: bool) -> None:
    operators = Operators(lambda: 0.0, random.Random(1), [], 2_500.0)
    operators.acknowledged_ms[3] = 49_000.0 - BOUNDS["revoke_ms"]
    operators.includes_revocable_key[3], operators.sent_ms[3] = False, 0.0
    # A version sent only after the request ran does not allow it.
    operators.includes_revocable_key[5], operators.sent_ms[5] = (
        True,
        49_000.0 if again else 51_000.0,
    )
    found = violations(observations([call(key=REVOCABLE_KEY)], [arrival()], operators=operators))
    assert len(found) == (0 if again else 1)


def test_a_request_at_a_leaving_upstream_is_reported_after_the_bound() -> None:
    leaving_listed_ms = {"i1": 50_099.0 - DRAIN_MS - RECONNECT_MS}
    (violation,) = violations(
        observations([call()], [arrival()], leaving_listed_ms=leaving_listed_ms)
    )
    assert "leaving upstream" in violation
    assert violations(observations([call()], [arrival()], leaving_listed_ms={"i1": 45_000.0})) == []


def test_retries_beyond_the_budget_are_reported() -> None:
    calls = [call(number, kind="read") for number in range(50)]
    allowed = int(BOUNDS["retry_extra"] + BOUNDS["retry_ratio"] * len(calls))
    arrivals = [arrival(number) for number in range(50)]
    arrivals += [arrival(number) for number in range(allowed)]
    assert violations(observations(calls, arrivals)) == []
    found = violations(observations(calls, [*arrivals, arrival(0)]))
    assert [text.partition(" in the ")[0] for text in found] == [
        f"{allowed + 1} retries to a",
        f"{allowed + 1} retries to all services",
    ]


def test_retries_beyond_the_budget_of_one_of_two_services_are_reported() -> None:
    calls = [call(number, kind="once") for number in range(50)]
    calls += [call(number, kind="single") for number in range(50, 100)]
    allowed = int(BOUNDS["retry_extra"] + BOUNDS["retry_ratio"] * 50)
    arrivals = [evolve(arrival(number), ran=False) for number in range(50)]
    arrivals += [evolve(arrival(number), ran=False) for number in range(allowed)]
    arrivals += [evolve(arrival(number), service="b") for number in range(50, 100)]
    assert violations(observations(calls, arrivals)) == []
    (violation,) = violations(observations(calls, [*arrivals, evolve(arrival(0), ran=False)]))
    assert f"{allowed + 1} retries to a " in violation


LIMITS = {"i-1": [(40_000.0, 60_000.0, 1.0)]}


@pytest.mark.parametrize(
    ("count", "begin_ms", "fault_spans", "reported"),
    [
        (11, 45_000.0, {}, False),
        (12, 45_000.0, {}, True),
        (12, 45_000.0, {"127.20.2.1": [(46_000.0, 46_500.0)]}, False),
        (12, 45_000.0, {"i-2": [(46_000.0, 46_500.0)]}, True),
        (12, 41_000.0, {}, False),
    ],
)
def test_more_requests_than_a_named_limit_allows_are_reported(
    count: int, begin_ms: float, fault_spans: dict[str, list[tuple[float, float]]], reported: bool
) -> None:
    arrivals = [arrival(n, begin_ms + 100.0 * n, instance="i-1") for n in range(count)]
    calls = [call(n) for n in range(count)]
    observed = observations(calls, arrivals, limits=LIMITS, fault_spans=fault_spans)
    assert [f"{count} requests" in text for text in violations(observed)] == [True] * reported


def test_streams_with_events_of_two_versions_are_reported() -> None:
    calls = [call(number, kind="stream") for number in range(4)]
    for number, item in enumerate(calls):
        item.stream = Stream("/stream/x", item.request_id, [(1, "v1"), (2, "v2")])
        if number == 3:
            item.stream.events = [(1, "v1"), (2, "v1")]
    assert violations(observations(calls[1:], [])) == []
    (violation,) = violations(observations(calls, []))
    assert "3 streams hold events of two versions" in violation


def targets_with(first_id: int, line_end: bytes) -> Iterator[str]:
    """Yield the targets of streams whose events have this form."""
    for number in itertools.count():
        shape = shape_of(f"/stream/{number}")
        if (shape.ids[0], shape.line_end) == (first_id, line_end):
            yield f"/stream/{number}"


@pytest.mark.parametrize("first_id", sorted(set(FIRST_IDS)))
@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_an_event_that_is_lost_repeated_or_of_another_stream_is_not_taken(
    first_id: int, line_end: bytes
) -> None:
    target, other = itertools.islice(targets_with(first_id, line_end), 2)
    stream, shape = Stream(target), shape_of(target)
    first, second, third = (shape.encode(target, position, "v1") for position in range(3))
    assert not stream.feed("r0", second)
    assert stream.feed("r0", first[:5])
    assert stream.feed("r0", first[5:] + second[:3])
    stream.restart()
    assert stream.feed("r1", second)
    assert stream.first_request_id == "r0"
    assert stream.events == [(first_id, "v1"), (shape.ids[1], "v1")]
    assert not stream.feed("r1", second)
    assert not Stream(other).feed("r0", first)
    assert [shape.next_position(str(event_id)) for event_id, _ in stream.events] == [1, 2]
    assert shape.next_position(None) == 0
    assert not Stream(target).feed("r0", third)


@pytest.mark.parametrize(("went_on", "reported"), [(6, False), (5, True)])
def test_streams_that_cannot_be_taken_up_are_reported(went_on: int, reported: bool) -> None:
    calls = []
    for number in range(12):
        first, second = (call(2 * number + part, kind="stream", status=0) for part in (0, 1))
        first.stream = second.stream = Stream("/stream/x", first.request_id, [(1, "v1")])
        first.received, second.takes_up = 1, True
        second.received = int(number < went_on)
        calls += [first, second]
    found = violations(observations(calls, [], recovered_ms=10_000.0))
    assert ["streams went on" in text for text in found] == [True] * reported
    assert violations(observations(calls, [], recovered_ms=60_000.0)) == []


def told(number: int, at_ms: float, **changes: object) -> Arrival:
    return evolve(arrival(number, at_ms), ran=False, **changes)  # type: ignore[arg-type]


def test_a_request_to_an_upstream_that_said_that_it_leaves_is_reported() -> None:
    first, second = call(0), evolve(call(1), sent_ms=50_600.0 + DRAIN_MS)
    arrivals = [
        evolve(arrival(0), leaving=True),
        arrival(1, at_ms=second.sent_ms + 10.0),
    ]
    assert any(
        "said that it leaves" in line
        for line in violations(observations([first, second], arrivals))
    )
    within = evolve(second, sent_ms=50_400.0 + DRAIN_MS)
    assert violations(observations([first, within], arrivals)) == []
    restarted = {"fault_spans": {"127.20.2.1": [(51_000.0, 51_500.0)]}}
    assert violations(observations([first, second], arrivals, **restarted)) == []


def test_requests_in_a_rest_are_reported() -> None:
    calls = [call(number, status=503) for number in range(4)]
    arrivals = [told(0, 50_000.0, rest_s=2.0)] + [told(n, 51_000.0) for n in (1, 2, 3)]
    assert any("in a rest" in line for line in violations(observations(calls, arrivals)))
    assert violations(observations(calls[:3], arrivals[:3])) == []
    early = [told(0, 50_000.0, rest_s=2.0)] + [told(n, 50_400.0) for n in (1, 2, 3)]
    assert violations(observations(calls, early)) == []


def test_prompts_that_go_on_to_crash_upstreams_are_reported() -> None:
    crashes = [PromptCrash("bad", 50_000.0 + number) for number in range(5)]
    calls = [call(number) for number in range(4)]
    late = [evolve(arrival(number, at_ms=53_100.0), crashing_part="bad") for number in range(4)]
    observed = observations(calls, late, prompt_crashes=crashes)
    assert any("with the part bad" in line for line in violations(observed))
    assert violations(observations(calls, late[:3], prompt_crashes=crashes)) == []
    assert violations(observations(calls, late, prompt_crashes=crashes[:4])) == []
    early = [evolve(item, at_ms=52_900.0) for item in late]
    assert violations(observations(calls, early, prompt_crashes=crashes)) == []
    restarted = {"127.20.2.1": [(51_000.0, 51_500.0)]}
    disturbed = observations(calls, late, prompt_crashes=crashes, fault_spans=restarted)
    assert violations(disturbed) == []


def test_a_request_that_goes_on_to_crash_upstreams_is_reported() -> None:
    crashes = [PromptCrash("poison0", 50_000.0 + number) for number in range(3)]
    calls = [call(number) for number in range(4)]
    late = [evolve(arrival(number, at_ms=53_100.0), crashing_part="poison0") for number in range(4)]
    observed = observations(calls, late, prompt_crashes=crashes)
    assert any("with the part poison0" in line for line in violations(observed))
    assert violations(observations(calls, late[:3], prompt_crashes=crashes)) == []
    assert violations(observations(calls, late, prompt_crashes=crashes[:2])) == []


def test_sound_prompts_that_are_refused_are_reported() -> None:
    calls = [call(number, status=503) for number in range(20)]
    for item in calls[:10]:
        item.blocked = True
    (violation,) = violations(observations(calls, []))
    assert "sound calls of once" in violation
    calls[0].blocked = False
    assert violations(observations(calls, [])) == []
    calls[0].blocked, calls[0].crashing_part = True, "bad"
    assert violations(observations(calls, [])) == []


def test_a_call_that_is_handled_by_replaced_routes_is_reported() -> None:
    operators = Operators(lambda: 0.0, random.Random(1), [], 2_500.0)
    operators.services = {1: "b", 2: "a"}
    operators.sent_ms = {1: 0.0, 2: 45_000.0}
    operators.acknowledged_ms = {1: 10.0, 2: 47_000.0}
    calls = [call(kind="read")]
    old = evolve(arrival(), service="b")
    (violation,) = violations(observations(calls, [old], operators=operators))
    assert "older than version 2" in violation
    assert violations(observations(calls, [arrival()], operators=operators)) == []
    cut = {"127.20.2.1": [(49_000.0, 49_500.0)]}
    assert violations(observations(calls, [old], operators=operators, fault_spans=cut)) == []
    operators.acknowledged_ms[2] = 48_000.0
    assert violations(observations(calls, [old], operators=operators)) == []
