"""Promises that the fault soak checks, from what callers, upstreams and operators saw."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_callers import REFUSALS, REVOCABLE_KEY, Call, Operators
from goldcrestridge_lab.soak_nodes import BOUNDS
from goldcrestridge_lab.soak_servers import Arrival

# The platform's bounds for nodes that are in touch, and how long it takes to be in touch again.
DRAIN_MS = 4_000.0
RECONNECT_MS = 4_000.0
# A request that was sent within this time before its connection ended need not have been read.
LOSS_SLACK_MS = 200.0
AT_MOST_ONCE_KINDS = ("once", "single")  # Kinds of calls that may run once only.

Spans = dict[str, list[tuple[float, float]]]
Runs = dict[str, list[Arrival]]


@frozen
class Observations:
    """What was seen in a run; times in milliseconds since its start.

    ``shown_ms`` tells when the list first showed that an upstream leaves. ``disturbed`` and
    ``drains`` name the times of faults and of planned ends by what they were done to.
    """

    calls: list[Call]
    arrivals: list[Arrival]
    operators: Operators
    leaving_listed_ms: dict[str, float]
    fault_spans: Spans
    drains: Spans


def find_violations(observations: Observations) -> Iterator[str]:
    """Yield a line for each promise that was broken."""
    runs: Runs = {}
    for arrival in observations.arrivals:
        if arrival.ran:
            runs.setdefault(arrival.request_id, []).append(arrival)
    for request_id in runs.keys() - {call.request_id for call in observations.calls}:
        yield f"a request that no caller sent ran: {request_id}"
    for call in observations.calls:
        yield from _check_call(call, runs.get(call.request_id, []))
    yield from _check_planned_ends(observations)
    yield from _check_revoked_keys(observations, runs)
    yield from _check_leaving_upstreams(observations)
    yield from _check_retry_budget(observations)


def _check_call(call: Call, runs: list[Arrival]) -> Iterator[str]:
    """Check the answer to one call: whole, its own, true, and run once where it may run once."""
    if call.mismatch:
        yield f"{call.mismatch}: {call.request_id}"
    if call.kind in AT_MOST_ONCE_KINDS and len(runs) > 1:
        yield f"a request that may run once ran more often: {call.request_id}"
    if call.kind in AT_MOST_ONCE_KINDS and call.status in REFUSALS and runs:
        yield f"a request was refused with {call.status} and ran: {call.request_id}"
    if call.status in (401, 403, 404) and call.key != REVOCABLE_KEY:
        yield f"a proper request got {call.status}: {call.request_id}"


def _check_planned_ends(observations: Observations) -> Iterator[str]:
    """Check requests that a node had read before it ended as planned, without other faults."""
    for call in observations.calls:
        ip = call.entry.rpartition(":")[0]
        if not call.closed or call.ended_ms - call.sent_ms < LOSS_SLACK_MS:
            continue
        planned = any(
            begin <= call.ended_ms <= end for begin, end in observations.drains.get(ip, [])
        )
        undisturbed = not any(
            begin < call.ended_ms and end > call.sent_ms - RECONNECT_MS
            for spans in observations.fault_spans.values()
            for begin, end in spans
        )
        if planned and undisturbed:
            yield f"a request was lost at a planned end: {call.request_id}"


def _check_revoked_keys(observations: Observations, runs: Runs) -> Iterator[str]:
    """Check that no call runs with a key taken away longer ago than the bound.

    A version that holds the key again and was sent before the run may have been in force.
    """
    operators = observations.operators
    for call in observations.calls:
        newest_version = operators.newest_acknowledged(call.sent_ms - BOUNDS["revoke_ms"])
        if call.key != REVOCABLE_KEY or not newest_version:
            continue
        for run in runs.get(call.request_id, []):
            allowed = any(
                includes_revocable_key
                and version >= newest_version
                and operators.sent_ms[version] <= run.at_ms
                for version, includes_revocable_key in operators.includes_revocable_key.items()
            )
            if not allowed:
                yield f"a call ran with a key taken away long before: {call.request_id}"


def _check_leaving_upstreams(observations: Observations) -> Iterator[str]:
    """Check that no request runs at an upstream long after the list showed that it leaves."""
    for arrival in observations.arrivals:
        leaving_listed_ms = observations.leaving_listed_ms.get(arrival.instance, float("inf"))
        if arrival.ran and arrival.at_ms > leaving_listed_ms + DRAIN_MS + RECONNECT_MS:
            yield f"a request ran at an upstream that leaves: {arrival.request_id}"


def _check_retry_budget(observations: Observations) -> Iterator[str]:
    """Check that repeats of all services together stay within the budget in any window."""
    window_ms = BOUNDS["retry_window_s"] * MS_PER_SECOND
    seen_ids: set[str] = set()
    retries_ms = []
    for arrival in sorted(observations.arrivals, key=lambda item: item.at_ms):
        if arrival.request_id in seen_ids:
            retries_ms.append(arrival.at_ms)
        seen_ids.add(arrival.request_id)
    services = len({arrival.service for arrival in observations.arrivals})
    sent = [call.sent_ms for call in observations.calls]
    for begin_ms in retries_ms:
        count = sum(begin_ms <= at_ms < begin_ms + window_ms for at_ms in retries_ms)
        requests = max(
            sum(begin_ms - shift_ms <= at_ms < begin_ms - shift_ms + window_ms for at_ms in sent)
            for shift_ms in (0.0, window_ms / 2.0, window_ms)
        )
        allowed = BOUNDS["retry_ratio"] * requests + BOUNDS["retry_extra"] * services
        if count > allowed:
            yield f"{count} repeats in the window from {begin_ms:.0f} ms, {allowed:.0f} allowed"
            return
