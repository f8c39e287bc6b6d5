"""Choice of the upstream on which a slot is granted, by load and prefix affinity."""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
from collections import deque

from attrs import define, field
from sortedcontainers import SortedList

from goldcrestridge_core.config import Upstream
from goldcrestridge_core.prefix import PrefixIndex, PrefixMatch
from goldcrestridge_core.rates import RequestBucket
from goldcrestridge_core.stragglers import Speed, StragglerDetector
from goldcrestridge_core.types import (
    CacheEvents,
    GrantEnd,
    HeldGrant,
    LoadReport,
    SlotRelease,
    SlotRequest,
    UpstreamId,
)

# A prefix match may raise the load of an upstream to this multiple of the mean, rounded up. In a
# pool with most slots in use, the rounding stays within the documented factor of 1.25.
LOAD_BOUND = 1.15
MAX_REPORT_AGE_MS = 30_000.0  # Older reports are ignored; grant and end times are kept as long.
FOREIGN_EWMA_WEIGHT = 0.1
# About the duration of a call: most foreign load seen in a report has ended after this time.
FOREIGN_DECAY_MS = 3_000.0
# A report measured this long after the leaving notice, without the flag, revokes the notice.
LEAVING_HOLD_MS = 5_000.0
# Number of prompt tokens whose prefill costs as much as the fixed cost before a first token.
EMPTY_PROMPT_TOKENS = 512.0
FIRST_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 30_000.0
FAILURES_BEFORE_BACKOFF = 3  # For failed calls; a failed connect backs off at once.
# An upstream that reports again after a gap of several report intervals has been started again.
REPORT_GAP_MS = 2_000.0
# Two polls of an upstream whose rest has ended. Without a report by then it is used all the same.
REST_CONFIRM_MS = 1_000.0

_LAST_ORDER_KEY = (math.inf, 0, 0)

_ActiveGrantKey = tuple[str, int, int]  # Request, epoch and grant id.


@define
class _ActiveGrant:
    """A grant in use and its progress."""

    upstream: UpstreamId
    granted_ms: float
    tokens: int
    progress_ms: float
    progress_tokens: int = 0
    prefill_cost: float = 1.0  # First-token cost relative to that of an empty prompt.
    overdue: bool = False


@define
class _UpstreamState:
    """Load, failures and grants of one upstream."""

    upstream: Upstream
    number: int
    slots: int
    active: int = 0
    tokens: int = 0  # Expected output of the active grants.
    granted_ms: deque[float] = field(factory=deque)
    ended_ms: deque[float] = field(factory=deque)
    reported_ms: float = -math.inf  # When the last report was measured.
    foreign_load: float = 0.0  # Estimated requests that this owner did not grant.
    mean_foreign_load: float | None = None  # EWMA over the reports.
    leaving_ms: float | None = None
    version: str | None = None  # Stated in the last report; None before the first one.
    limit_per_second: float | None = None  # Named by the upstream.
    bucket: RequestBucket | None = None  # Requests that the limit allows.
    failures: int = 0
    blocked_until_ms: float = 0.0
    rest_until_ms: float = -math.inf  # The upstream wants no requests until then.
    suspect: bool = False  # Backed off without a completed call since.
    probing: bool = False
    order_key: tuple[float, int, int] | None = None  # Entry in the open order, None if not there.
    free: int = 0

    def may_run(self, version: str) -> bool:
        """Return whether no report states another version; the answer of the upstream decides."""
        return self.version in (None, version)

    @property
    def usable_after_rest_ms(self) -> float:
        """Return when a rest ends, and until when a report after it is awaited.

        Nobody polls an upstream while it rests, so it may have begun to leave unnoticed.
        """
        if self.reported_ms < self.rest_until_ms:
            return self.rest_until_ms + REST_CONFIRM_MS
        return self.rest_until_ms

    def estimated_load(self, now_ms: float) -> float:
        """Return the estimated number of requests at the upstream, not rounded."""
        if now_ms - self.reported_ms > MAX_REPORT_AGE_MS:
            return self.active
        return self.active + self.foreign_load

    def rounded_load(self, now_ms: float) -> int:
        """Return the estimated number of requests at the upstream, rounded."""
        return round(self.estimated_load(now_ms))

    def update_foreign_load(self, load: int, age_ms: float) -> None:
        """Estimate the load that this owner did not grant from an updated report.

        Such load changes while a report is in flight, so the weight of the mean in the estimate
        grows with the age of the report.
        """
        observed = max(0, load - self.active)
        mean = observed if self.mean_foreign_load is None else self.mean_foreign_load
        self.mean_foreign_load = mean + FOREIGN_EWMA_WEIGHT * (observed - mean)
        weight = math.exp(-age_ms / FOREIGN_DECAY_MS)
        self.foreign_load = self.mean_foreign_load + (observed - self.mean_foreign_load) * weight


@define
class PrefixChooser:
    """Choose upstreams by prefix affinity with bounded load; one instance per shard owner.

    A choice without a prefix reads the head of a sorted list. The cost of a choice with a prefix
    is linear in the number of its blocks and of the engines that hold them.
    """

    _states: dict[UpstreamId, _UpstreamState] = field(factory=dict)
    _active_grants: dict[_ActiveGrantKey, _ActiveGrant] = field(factory=dict)
    _open_order: SortedList[tuple[float, int, int]] = field(factory=SortedList)
    _by_number: dict[int, _UpstreamState] = field(factory=dict)
    _timers: list[tuple[float, UpstreamId]] = field(factory=list)
    _due_probes: dict[UpstreamId, None] = field(factory=dict)  # Ejected upstreams with a due probe.
    _now_ms: float = 0.0
    _total_free: int = 0
    _total_load: int = 0
    _total_capacity: float = 0.0
    _contributions: dict[UpstreamId, tuple[int, float]] = field(factory=dict)
    _prefixes: PrefixIndex = field(factory=PrefixIndex)
    _stragglers: StragglerDetector = field(factory=StragglerDetector)

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Set the upstreams, and keep the state of those that remain."""
        names = {upstream.name for upstream in upstreams}
        for name in [name for name in self._states if name not in names]:
            self._remove_from_order(self._states[name])
            self._update_totals(self._states[name], 0, 0, 0)
            del self._states[name]
            self._prefixes.remove_engine(name)
        self._stragglers.set_upstreams([upstream.name for upstream in upstreams])
        for number, upstream in enumerate(upstreams):
            state = self._states.get(upstream.name)
            if state is None:
                state = _UpstreamState(upstream, number, upstream.slots)
                held = [
                    item for item in self._active_grants.values() if item.upstream == upstream.name
                ]
                state.active = len(held)
                state.tokens = sum(item.tokens for item in held)
                self._states[upstream.name] = state
            self._remove_from_order(state)
            state.upstream, state.number = upstream, number
            state.slots = upstream.slots
        self._by_number = {state.number: state for state in self._states.values()}
        for state in self._states.values():
            self._refresh(state, self._now_ms)

    def free_slots(self, now_ms: float) -> int:
        """Return how many slots can be granted now, probes included."""
        self._run_timers(now_ms)
        return self._total_free

    def choose(
        self, request: SlotRequest, expected_tokens: int, now_ms: float
    ) -> UpstreamId | None:
        """Return the upstream for a request, or None if no usable one has a slot.

        The choice counts against the limit that the upstream names.
        """
        name = self._find(request, now_ms)
        if name is not None:
            self._count_request(self._states[name], now_ms)
        return name

    def _find(self, request: SlotRequest, now_ms: float) -> UpstreamId | None:
        self._run_timers(now_ms)
        probes = [name for name in self._due_probes if self._allows(request, name)]
        if probes:
            return probes[0]
        matched = self._best_match(request, now_ms)
        if matched is not None:
            return matched
        for _, _, number in self._open_order:
            state = self._by_number[number]
            if self._allows(request, state.upstream.name):
                return state.upstream.name
        return None

    def _allows(self, request: SlotRequest, upstream: UpstreamId) -> bool:
        """Return whether a request may use an upstream, whatever its load."""
        fits = request.version is None or self._states[upstream].may_run(request.version)
        return fits and upstream not in request.excluded

    def serves_version(self, version: str) -> bool:
        """Return whether an upstream that is not leaving may run this version."""
        return any(
            state.may_run(version) and state.leaving_ms is None for state in self._states.values()
        )

    def record_grant(
        self, grant: HeldGrant, prefix: tuple[int, ...], expected_tokens: int, now_ms: float
    ) -> None:
        """Record a grant, issued now or reported by the entry node that holds it."""
        key = (grant.request_id, grant.epoch, grant.grant_id)
        if key in self._active_grants:
            return
        self._active_grants[key] = _ActiveGrant(
            grant.upstream, now_ms, expected_tokens, now_ms, grant.output_tokens
        )
        state = self._states.get(grant.upstream)
        if state is None:
            return
        self._active_grants[key].prefill_cost = self._prefill_cost(grant, prefix)
        state.active += 1
        state.tokens += expected_tokens
        state.granted_ms.append(now_ms)
        if self._stragglers.speed(grant.upstream) is Speed.EJECTED:
            state.probing = True
            self._stragglers.record_probe(grant.upstream, now_ms)
        state.probing = state.probing or state.suspect
        self._prefixes.touch(grant.upstream, prefix)
        self._refresh(state, now_ms)

    def record_progress(self, grant: HeldGrant, now_ms: float) -> None:
        """Record output tokens from a grant report, to detect stragglers before calls end."""
        active = self._active_grants.get((grant.request_id, grant.epoch, grant.grant_id))
        if active is None or active.upstream not in self._states:
            return
        tokens, elapsed_ms = grant.output_tokens, now_ms - active.progress_ms
        if tokens == 0:
            if not active.overdue:
                waited_ms = (now_ms - active.granted_ms) / active.prefill_cost
                active.overdue = self._stragglers.record_overdue(active.upstream, waited_ms, now_ms)
        elif active.progress_tokens and elapsed_ms > 0.0:
            inter_ms = elapsed_ms / max(1, tokens - active.progress_tokens)
            self._observe(active.upstream, -1.0, inter_ms, now_ms)
        active.progress_ms, active.progress_tokens = now_ms, tokens

    def record_end(self, release: SlotRelease, now_ms: float) -> None:
        """Record the end of a grant with its measurements; duplicates are ignored."""
        key = (release.request_id, release.epoch, release.grant_id)
        active = self._active_grants.pop(key, None)
        if active is None:
            return
        state = self._states.get(active.upstream)
        if state is None:
            return
        state.active -= 1
        state.tokens -= active.tokens
        state.ended_ms.append(now_ms)
        state.probing = False
        self._record_end_reason(state, release.end, now_ms)
        # A first-token time that was recorded as overdue is not recorded again.
        first_ms = -1.0 if active.overdue else release.first_token_ms / active.prefill_cost
        self._observe(active.upstream, first_ms, release.inter_token_ms, now_ms)
        self._refresh(state, now_ms)

    def apply_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Apply a report, updated by the grants and ends since it was measured."""
        state = self._states.get(report.upstream)
        report_ms = now_ms - report.age_ms
        if state is None or report_ms <= state.reported_ms or report.age_ms > MAX_REPORT_AGE_MS:
            return
        if report_ms - state.reported_ms > REPORT_GAP_MS:
            # One call at a time follows, since the upstream stays suspect until one completes.
            state.blocked_until_ms = min(state.blocked_until_ms, now_ms)
        state.reported_ms = report_ms
        state.slots = report.slots if report.slots > 0 else state.upstream.slots
        self._set_limit(state, report.limit_per_second, now_ms)
        state.version = report.version
        for times in (state.granted_ms, state.ended_ms):
            while times and times[0] < now_ms - MAX_REPORT_AGE_MS:
                times.popleft()
        change = _count_after(state.granted_ms, report_ms) - _count_after(state.ended_ms, report_ms)
        state.update_foreign_load(report.running + report.waiting + change, report.age_ms)
        if report.leaving:
            self.mark_leaving(report.upstream, now_ms)
        elif state.leaving_ms is not None and report_ms > state.leaving_ms + LEAVING_HOLD_MS:
            state.leaving_ms = None
        self._schedule_refresh(report_ms + MAX_REPORT_AGE_MS + 1.0, report.upstream)
        self._refresh(state, now_ms)

    def limits(self) -> tuple[tuple[UpstreamId, float], ...]:
        """Return the requests a second of the upstreams that name a limit."""
        return tuple(
            (name, state.limit_per_second)
            for name, state in self._states.items()
            if state.limit_per_second is not None
        )

    def adopt_limit(self, upstream: UpstreamId, per_second: float, now_ms: float) -> None:
        """Apply a limit known to an entry node until the upstream sends its first report."""
        state = self._states.get(upstream)
        if state is not None and state.reported_ms == -math.inf:
            self._set_limit(state, per_second, now_ms)
            self._refresh(state, now_ms)

    def _set_limit(self, state: _UpstreamState, per_second: float | None, now_ms: float) -> None:
        state.limit_per_second = per_second
        if per_second is None:
            state.bucket = None
        elif state.bucket is None:
            state.bucket = RequestBucket(now_ms)

    def _count_request(self, state: _UpstreamState, now_ms: float) -> None:
        """Count a request against the limit of its upstream."""
        if state.bucket is not None and state.limit_per_second is not None:
            state.bucket.refill(state.limit_per_second, now_ms)
            state.bucket.requests -= 1.0
            self._refresh(state, now_ms)

    def _free_within_limit(self, state: _UpstreamState, free: int, now_ms: float) -> int:
        """Return how many of the free slots the limit of an upstream allows to grant now."""
        if state.bucket is None or state.limit_per_second is None:
            return free
        state.bucket.refill(state.limit_per_second, now_ms)
        if state.bucket.requests < 1.0:
            next_ms = state.bucket.next_ms(state.limit_per_second)
            self._schedule_refresh(now_ms + next_ms, state.upstream.name)
        return min(free, int(state.bucket.requests))

    def apply_cache_events(self, events: CacheEvents, now_ms: float) -> None:
        """Apply the additions to and evictions from the cache of an engine."""
        if events.upstream in self._states:
            self._prefixes.apply_events(events)

    def mark_leaving(self, upstream: UpstreamId, now_ms: float) -> None:
        """Stop choosing an upstream that is leaving."""
        state = self._states.get(upstream)
        if state is not None:
            state.leaving_ms = now_ms
            self._refresh(state, now_ms)

    def rest(self, upstream: UpstreamId, until_ms: float, now_ms: float) -> None:
        """Stop choosing an upstream until the rest that it asked for ends."""
        state = self._states.get(upstream)
        if state is not None and until_ms > state.rest_until_ms:
            state.rest_until_ms = until_ms
            self._schedule_refresh(until_ms, upstream)
            self._schedule_refresh(until_ms + REST_CONFIRM_MS, upstream)
            self._refresh(state, now_ms)

    def is_resting(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream wants no requests now."""
        state = self._states.get(upstream)
        return state is not None and state.rest_until_ms > now_ms

    def rest_left_ms(self, now_ms: float) -> float | None:
        """Return the time until the first rest ends if all upstreams that stay rest, else None."""
        staying = [state for state in self._states.values() if state.leaving_ms is None]
        ends_ms = min((state.rest_until_ms for state in staying), default=0.0)
        return ends_ms - now_ms if ends_ms > now_ms else None

    def _best_match(self, request: SlotRequest, now_ms: float) -> UpstreamId | None:
        """Return the least loaded of the best prefix matches within the load bound, or None."""
        usable = (
            match
            for match in self._prefixes.matches(request.prefix)
            if self._allows(request, match.upstream) and self._within_bound(match, now_ms)
        )
        groups = itertools.groupby(usable, key=lambda match: match.depth * match.weight)
        best = [match.upstream for _, group in itertools.islice(groups, 1) for match in group]
        return min(
            best, key=lambda name: self._states[name].order_key or _LAST_ORDER_KEY, default=None
        )

    def _within_bound(self, match: PrefixMatch, now_ms: float) -> bool:
        """Return whether the upstream stays within the load bound with one more request."""
        state = self._states[match.upstream]
        if state.order_key is None:
            return False
        share = state.slots * self._stragglers.weight(match.upstream) / self._total_capacity
        return state.rounded_load(now_ms) < math.ceil(LOAD_BOUND * (self._total_load + 1) * share)

    def _prefill_cost(self, grant: HeldGrant, prefix: tuple[int, ...]) -> float:
        """Return the expected first-token cost from the uncached part of the prompt.

        First-token times are divided by it. Otherwise an engine that serves new prompts would
        look slower than one that serves cached prompts.
        """
        uncached_share = 1.0
        if prefix:
            uncached_share -= self._prefixes.match_depth(grant.upstream, prefix) / len(prefix)
        return 1.0 + uncached_share * grant.prompt_tokens / EMPTY_PROMPT_TOKENS

    def _record_end_reason(self, state: _UpstreamState, end: GrantEnd, now_ms: float) -> None:
        """Update the failure state of an upstream by how a call ended."""
        match end:
            case GrantEnd.COMPLETED:
                state.failures, state.suspect = 0, False
            case GrantEnd.LEAVING:
                state.leaving_ms = now_ms
            case GrantEnd.CONNECT_FAILED | GrantEnd.FAILED:
                # Concurrent calls that fail during a backoff count as one failure.
                if now_ms < state.blocked_until_ms:
                    return
                state.failures += 1
                threshold = 1 if end is GrantEnd.CONNECT_FAILED else FAILURES_BEFORE_BACKOFF
                if state.failures >= threshold:
                    backoff_ms = FIRST_BACKOFF_MS * 2.0 ** min(16, state.failures - threshold)
                    state.suspect = True
                    state.blocked_until_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
                    self._schedule_refresh(state.blocked_until_ms, state.upstream.name)

    def _observe(
        self, upstream: UpstreamId, first_ms: float, inter_ms: float, now_ms: float
    ) -> None:
        """Pass times to the straggler detector and refresh the upstreams that change speed."""
        for name in self._stragglers.observe(upstream, first_ms, inter_ms, now_ms):
            self._refresh(self._states[name], now_ms)

    def _refresh(self, state: _UpstreamState, now_ms: float) -> None:
        """Update the open order and the totals for one upstream."""
        self._remove_from_order(state)
        load = state.rounded_load(now_ms)
        name = state.upstream.name
        speed = self._stragglers.speed(name)
        if state.leaving_ms is not None or now_ms < max(
            state.blocked_until_ms, state.usable_after_rest_ms
        ):
            self._update_totals(state, 0, 0, 0)
            return
        if speed is Speed.EJECTED:
            self._refresh_ejected(state, load, now_ms)
            return
        free = max(0, state.slots - load)
        if state.suspect:
            free = 0 if state.probing else min(free, 1)  # One call at a time until one completes.
        free = self._free_within_limit(state, free, now_ms)
        # A slow upstream keeps its slots as a reserve for when all others are full.
        capacity = state.slots * self._stragglers.weight(name)
        self._update_totals(state, free, load, capacity)
        if free:
            state.order_key = (state.estimated_load(now_ms) / capacity, state.tokens, state.number)
            self._open_order.add(state.order_key)

    def _refresh_ejected(self, state: _UpstreamState, load: int, now_ms: float) -> None:
        """Make an ejected upstream available for one probe when it is due."""
        probe_at_ms = self._stragglers.probe_at_ms(state.upstream.name)
        due = now_ms >= probe_at_ms and not state.probing and load < state.slots
        due = due and self._free_within_limit(state, 1, now_ms) > 0
        self._update_totals(state, 1 if due else 0, 0, 0)
        if due:
            self._due_probes[state.upstream.name] = None
        if now_ms < probe_at_ms:
            self._schedule_refresh(probe_at_ms, state.upstream.name)

    def _update_totals(self, state: _UpstreamState, free: int, load: int, slots: float) -> None:
        """Replace the contribution of one upstream to the totals."""
        old_load, old_slots = self._contributions.get(state.upstream.name, (0, 0))
        self._total_free += free - state.free
        self._total_load += load - old_load
        self._total_capacity += slots - old_slots
        self._contributions[state.upstream.name] = (load, slots)
        state.free = free

    def _remove_from_order(self, state: _UpstreamState) -> None:
        """Remove an upstream from the open order and from the due probes."""
        self._due_probes.pop(state.upstream.name, None)
        if state.order_key is not None:
            self._open_order.remove(state.order_key)
            state.order_key = None

    def _schedule_refresh(self, at_ms: float, upstream: UpstreamId) -> None:
        """Schedule a refresh of an upstream at a later time."""
        heapq.heappush(self._timers, (at_ms, upstream))

    def _run_timers(self, now_ms: float) -> None:
        """Refresh the upstreams whose scheduled time has passed."""
        self._now_ms = max(self._now_ms, now_ms)
        while self._timers and self._timers[0][0] <= now_ms:
            _, name = heapq.heappop(self._timers)
            if name in self._states:
                self._refresh(self._states[name], now_ms)


def _count_after(times: deque[float], time_ms: float) -> int:
    """Return how many of the ascending ``times`` are after ``time_ms``."""
    return len(times) - bisect.bisect_right(times, time_ms)
