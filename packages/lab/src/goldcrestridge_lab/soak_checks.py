"""Checks of the fault soak on what callers, upstreams and operators observed."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_callers import REFUSALS, REVOCABLE_KEY, Call, Operators
from goldcrestridge_lab.soak_nodes import BOUNDS
from goldcrestridge_lab.soak_prompts import CRASHING_REQUEST, PromptCrash
from goldcrestridge_lab.soak_servers import Arrival

# The platform's bounds: connected nodes stop using a leaving upstream within DRAIN_MS, and nodes
# are connected again within RECONNECT_MS after a fault.
DRAIN_MS = 4_000.0
RECONNECT_MS = 4_000.0
# The platform allows 1.5 times a named limit in each window of LIMIT_WINDOW_MS, and LIMIT_EXTRA
# requests more, from CONTACT_MS after the limit was first named.
LIMIT_WINDOW_MS = 4_000.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
CONTACT_MS = 3_000.0
# An accepted version is in force on every connected node within this time.
CONFIG_PROPAGATION_MS = 2_500.0
# Streams that may hold events of two versions, since the list of upstreams lags.
MAX_JOINED_STREAMS = 2
# Of at least MIN_TAKEN_UP streams that callers take up, the share that goes on must be at least
# MIN_TAKEN_UP_RATIO of the share of new streams that begin.
MIN_TAKEN_UP = 12
MIN_TAKEN_UP_RATIO = 0.5
# A request sent less than this time before its connection ended may not have been read.
LOSS_SLACK_MS = 200.0
# The platform allows this many requests of a machine to an upstream in the rest that it asked for,
# from REST_GRACE_MS on.
ALLOWED_IN_REST = 2
REST_GRACE_MS = 500.0
# The platform allows this many requests with a part that crashes upstreams, from CONTACT_MS after
# the fifth crash on, and this many of a request that does so by itself, after the third.
MAX_PROMPT_CRASHES = 5
MAX_REQUEST_CRASHES = 3
ALLOWED_AFTER_CRASHES = 3
# Of at least MIN_SOUND sound calls of a kind, less than this share may be refused for their prompt.
MIN_SOUND = 20
MAX_SOUND_BLOCKED = 0.5
# Services to which the routes of each kind of calls may lead.
SERVICES_BY_KIND = {"once": "a", "read": "ab", "stream": "a", "single": "b"}
AT_MOST_ONCE_KINDS = ("once", "single")  # Kinds of calls that run at most once.

Spans = dict[str, list[tuple[float, float]]]
Runs = dict[str, list[Arrival]]


@frozen
class Observations:
    """Observations of one run; times are in milliseconds since its start.

    ``leaving_listed_ms`` holds when the list of upstreams first showed each instance as leaving.
    ``fault_spans`` and ``drains`` hold the start and end of faults and of planned shutdowns, keyed
    by the address of a node, the instance of an upstream, or ``list``. ``limits`` holds the start
    and end of each time in which an instance named a limit, with the requests a second. No fault is
    active from ``recovered_ms`` on, but for prompts that crash upstreams.
    """

    calls: list[Call]
    arrivals: list[Arrival]
    operators: Operators
    leaving_listed_ms: dict[str, float]
    fault_spans: Spans
    drains: Spans
    limits: dict[str, list[tuple[float, float, float]]] = field(factory=dict)
    recovered_ms: float = float("inf")
    prompt_crashes: list[PromptCrash] = field(factory=list)
    control_ips: list[str] = field(factory=list)


def find_violations(observations: Observations) -> Iterator[str]:
    """Yield a line for each violation of a guarantee."""
    runs: Runs = {}
    for arrival in observations.arrivals:
        if arrival.ran:
            runs.setdefault(arrival.request_id, []).append(arrival)
    for request_id in runs.keys() - {call.request_id for call in observations.calls}:
        yield f"request executed that no caller sent: {request_id}"
    for call in observations.calls:
        yield from _check_call(call, runs.get(call.request_id, []))
    yield from _check_planned_shutdowns(observations)
    yield from _check_revoked_keys(observations, runs)
    yield from _check_leaving_upstreams(observations)
    yield from _check_retry_budget(observations)
    yield from _check_named_limits(observations)
    yield from _check_leaving_words(observations)
    yield from _check_rests(observations)
    yield from _check_joined_streams(observations)
    yield from _check_taken_up_streams(observations)
    yield from _check_routes_in_force(observations)
    yield from _check_crashing_prompts(observations)
    yield from _check_sound_prompts(observations)


def _check_call(call: Call, runs: list[Arrival]) -> Iterator[str]:
    """Check the response to one call, and that an at-most-once request ran at most once."""
    if call.mismatch:
        yield f"{call.mismatch}: {call.request_id}"
    if call.kind in AT_MOST_ONCE_KINDS and len(runs) > 1:
        yield f"at-most-once request executed {len(runs)} times: {call.request_id}"
    if call.kind in AT_MOST_ONCE_KINDS and call.status in REFUSALS and runs:
        yield f"request executed although refused with status {call.status}: {call.request_id}"
    if call.status in (401, 403, 404) and call.key != REVOCABLE_KEY:
        yield f"valid request refused with status {call.status}: {call.request_id}"


def _check_planned_shutdowns(observations: Observations) -> Iterator[str]:
    """Check that a planned shutdown loses no request that its node had read.

    Requests that overlap a fault are left out.
    """
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
            yield f"request lost at a planned shutdown of its entry node: {call.request_id}"


def _check_revoked_keys(observations: Observations, runs: Runs) -> Iterator[str]:
    """Check that no call runs with a key that was revoked longer ago than the bound.

    A newer version that includes the key and was sent before the request ran may have been in
    force, and then allows the request.
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
                yield f"request executed with a key revoked before the bound: {call.request_id}"


def _check_leaving_upstreams(observations: Observations) -> Iterator[str]:
    """Check that no request runs at an upstream after the bound for its draining."""
    for arrival in observations.arrivals:
        leaving_listed_ms = observations.leaving_listed_ms.get(arrival.instance, float("inf"))
        if arrival.ran and arrival.at_ms > leaving_listed_ms + DRAIN_MS + RECONNECT_MS:
            yield f"request executed at a leaving upstream after the bound: {arrival.request_id}"


def _check_retry_budget(observations: Observations) -> Iterator[str]:
    """Check that the retries to each service, and to all, stay within the budget in every window.

    A call counts as a request to each service to which its route may lead.
    """
    seen_ids: set[str] = set()
    retries_ms: dict[str, list[float]] = {}
    for arrival in sorted(observations.arrivals, key=lambda item: item.at_ms):
        if arrival.request_id in seen_ids:
            retries_ms.setdefault(arrival.service, []).append(arrival.at_ms)
        seen_ids.add(arrival.request_id)
    for service, times in sorted(retries_ms.items()):
        sent_ms = [
            call.sent_ms for call in observations.calls if service in SERVICES_BY_KIND[call.kind]
        ]
        yield from _check_retries(service, times, sent_ms, BOUNDS["retry_extra"])
    all_ms = sorted(at_ms for times in retries_ms.values() for at_ms in times)
    services = len({arrival.service for arrival in observations.arrivals})
    sent_ms = [call.sent_ms for call in observations.calls]
    yield from _check_retries("all services", all_ms, sent_ms, BOUNDS["retry_extra"] * services)


def _check_retries(
    service: str, retries_ms: list[float], sent_ms: list[float], extra: float
) -> Iterator[str]:
    """Check retries against the requests that may have been for the same service."""
    window_ms = BOUNDS["retry_window_s"] * MS_PER_SECOND
    for begin_ms in retries_ms:
        count = sum(begin_ms <= at_ms < begin_ms + window_ms for at_ms in retries_ms)
        requests = max(
            sum(begin_ms - shift_ms <= at_ms < begin_ms - shift_ms + window_ms for at_ms in sent_ms)
            for shift_ms in (0.0, window_ms / 2.0, window_ms)
        )
        allowed = BOUNDS["retry_ratio"] * requests + extra
        if count > allowed:
            window = f"in the window from {begin_ms:.0f} ms"
            yield f"{count} retries to {service} {window}, {allowed:.0f} allowed"
            return


def _check_named_limits(observations: Observations) -> Iterator[str]:
    """Check that an instance gets no more requests than the limit that it names allows.

    Windows in which a node or the instance itself was disturbed or restarted are left out.
    """
    for instance, spans in observations.limits.items():
        disturbed = [
            span
            for name, others in (*observations.fault_spans.items(), *observations.drains.items())
            if name == instance or not name.startswith("i-")
            for span in others
        ]
        at_ms = sorted(item.at_ms for item in observations.arrivals if item.instance == instance)
        for named_ms, ended_ms, per_second in spans:
            allowed = LIMIT_FACTOR * per_second * LIMIT_WINDOW_MS / MS_PER_SECOND + LIMIT_EXTRA
            for begin_ms in at_ms:
                end_ms = begin_ms + LIMIT_WINDOW_MS
                if begin_ms < named_ms + CONTACT_MS or end_ms > ended_ms:
                    continue
                if any(begin < end_ms and end > begin_ms - CONTACT_MS for begin, end in disturbed):
                    continue
                count = sum(begin_ms <= time < end_ms for time in at_ms)
                if count > allowed:
                    yield (
                        f"{count} requests from {begin_ms:.0f} ms on at {instance}, which named a "
                        f"limit of {per_second:g} a second, {allowed:.0f} allowed"
                    )
                    break


def _is_undisturbed(
    observations: Observations, names: tuple[str, ...], begin_ms: float, end_ms: float
) -> bool:
    """Return whether neither a node nor an upstream was disturbed or restarted in a time."""
    spans = (*observations.fault_spans.items(), *observations.drains.items())
    return not any(
        begin < end_ms and end > begin_ms
        for name, others in spans
        if name in names
        for begin, end in others
    )


def _check_leaving_words(observations: Observations) -> Iterator[str]:
    """Check that no entry node goes on sending to an upstream that told it that it leaves."""
    calls = {call.request_id: call for call in observations.calls}
    told_ms: dict[tuple[str, str], float] = {}
    for arrival in sorted(observations.arrivals, key=lambda item: item.at_ms):
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        ip = call.entry.rpartition(":")[0]
        heard_ms = told_ms.get((ip, arrival.instance), float("inf"))
        if call.sent_ms > heard_ms + DRAIN_MS and _is_undisturbed(
            observations, (ip,), heard_ms, arrival.at_ms
        ):
            yield f"{arrival.instance} said that it leaves and got a request: {call.request_id}"
        if arrival.leaving and call.status:
            heard_ms = min(heard_ms, call.ended_ms)
            told_ms[ip, arrival.instance] = heard_ms


def _check_rests(observations: Observations) -> Iterator[str]:
    """Check that an upstream that asked an entry node for a rest gets no more from it."""
    entries = {call.request_id: call.entry.rpartition(":")[0] for call in observations.calls}
    for asked in observations.arrivals:
        ip = entries.get(asked.request_id)
        begin_ms, end_ms = asked.at_ms + REST_GRACE_MS, asked.at_ms + asked.rest_s * MS_PER_SECOND
        if ip is None or begin_ms >= end_ms:
            continue
        count = sum(
            begin_ms < item.at_ms < end_ms and entries.get(item.request_id) == ip
            for item in observations.arrivals
            if item.instance == asked.instance
        )
        names = (ip, asked.instance)
        if count > ALLOWED_IN_REST and _is_undisturbed(observations, names, asked.at_ms, end_ms):
            yield f"{asked.instance} got {count} requests from {ip} in a rest: {asked.request_id}"


def _check_joined_streams(observations: Observations) -> Iterator[str]:
    """Check that streams hold events of one software version over all attempts."""
    streams = {id(call.stream): call.stream for call in observations.calls if call.stream}
    joined = [
        stream.first_request_id
        for stream in streams.values()
        if len({version for _, version in stream.events}) > 1
    ]
    if len(joined) > MAX_JOINED_STREAMS:
        yield f"{len(joined)} streams hold events of two versions: {' '.join(joined[:5])}"


def _check_taken_up_streams(observations: Observations) -> Iterator[str]:
    """Check that streams can be taken up while no fault is active."""
    recovered_ms = observations.recovered_ms
    streams = [
        call
        for call in observations.calls
        if call.kind == "stream" and call.key != REVOCABLE_KEY and call.sent_ms > recovered_ms
    ]
    begun = {id(call.stream) for call in streams if not call.takes_up}
    taken_up = [call for call in streams if call.takes_up and id(call.stream) in begun]
    new = [call for call in streams if not call.takes_up]
    if len(taken_up) < MIN_TAKEN_UP:
        return
    share = sum(call.served or call.received > 0 for call in taken_up) / len(taken_up)
    new_share = sum(call.served or call.received > 0 for call in new) / len(new)
    if share < MIN_TAKEN_UP_RATIO * new_share:
        yield f"{share:.0%} of {len(taken_up)} streams went on, {new_share:.0%} of new ones began"


def _check_routes_in_force(observations: Observations) -> Iterator[str]:
    """Check that connected nodes handle no call as only a replaced version of the routes allows."""
    operators = observations.operators
    calls = {call.request_id: call for call in observations.calls}
    for arrival in observations.arrivals:
        call = calls.get(arrival.request_id)
        if call is None or call.kind != "read" or not arrival.ran:
            continue
        newest = operators.newest_acknowledged(call.sent_ms - CONFIG_PROPAGATION_MS)
        allowed = {
            service
            for version, service in operators.services.items()
            if version >= newest and operators.sent_ms[version] <= arrival.at_ms
        }
        if not newest or arrival.service in allowed:
            continue
        names = (call.entry.rpartition(":")[0], *observations.control_ips)
        since_ms = call.sent_ms - CONFIG_PROPAGATION_MS - RECONNECT_MS
        if _is_undisturbed(observations, names, since_ms, arrival.at_ms):
            yield f"call handled by routes older than version {newest}: {call.request_id}"


def _check_crashing_prompts(observations: Observations) -> Iterator[str]:
    """Check that a request or a part of prompts that crashes upstreams is sent to no further."""
    entries = {call.request_id: call.entry.rpartition(":")[0] for call in observations.calls}
    for part in sorted({crash.part for crash in observations.prompt_crashes}):
        times = sorted(item.at_ms for item in observations.prompt_crashes if item.part == part)
        by_request = part.startswith(CRASHING_REQUEST)
        most = MAX_REQUEST_CRASHES if by_request else MAX_PROMPT_CRASHES
        if len(times) < most:
            continue
        begin_ms = times[most - 1] + CONTACT_MS
        late = [
            item.request_id
            for item in observations.arrivals
            if item.crashing_part == part
            and item.at_ms > begin_ms
            and _is_undisturbed(
                observations,
                (entries.get(item.request_id, ""), *observations.control_ips),
                item.at_ms - CONTACT_MS,
                item.at_ms,
            )
        ]
        if len(late) > ALLOWED_AFTER_CRASHES:
            yield f"{len(late)} requests with the part {part} came after it was known: {late[:5]}"


def _check_sound_prompts(observations: Observations) -> Iterator[str]:
    """Check that sound prompts are not refused beside those that crash upstreams."""
    for kind in sorted({call.kind for call in observations.calls}):
        sound = [
            call for call in observations.calls if call.kind == kind and not call.crashing_part
        ]
        blocked = sum(call.blocked for call in sound)
        if len(sound) >= MIN_SOUND and blocked >= MAX_SOUND_BLOCKED * len(sound):
            yield f"{blocked} of {len(sound)} sound calls of {kind} were refused for their prompts"
