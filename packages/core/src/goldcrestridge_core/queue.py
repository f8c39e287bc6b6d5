"""Priority queue of a shard: tiers, class weights, floors, headroom, early refusal, shedding."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from attrs import define, field

from goldcrestridge_core import types
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration, RequestClass
from goldcrestridge_core.flows import ClassQueue, WaitingRequest
from goldcrestridge_core.lengths import LengthEstimator
from goldcrestridge_core.limits import LimitKey, Limits
from goldcrestridge_core.rates import Rate

# Short enough to follow a burst within seconds, long enough to average over single requests.
RATE_WINDOW_MS = 5_000.0
SHARE_WINDOW_MS = 20_000.0  # Window over which grants are divided by class weight.
# Every class with waiting requests gets at least this share of the grants, so that a class with
# a configured floor of zero is not starved.
MIN_FLOOR_SHARE = 0.002
MAX_FLOOR_CREDIT = 2.0  # Bounds the burst of floor grants after an idle period.
# A floor grant is deferred for requests of higher tiers that are about to miss their deadlines,
# at most for this time and until the next grant of the same floor is due. With a fixed 3 s for
# all floors, floors of 0.32 and 0.16 gave their classes only half of that share.
MAX_FLOOR_DELAY_MS = 3_000.0
# Headroom is reserved only if the time between releases exceeds this share of the first-token
# target of a higher tier.
HEADROOM_INTERVAL_SHARE = 0.05
MAX_HEADROOM_SHARE = 0.1
MAX_WAITING = 20_000  # Bounds memory at about 1 KB each.
FIRST_TOKEN_QUANTILE = 0.95  # Targets are stated for 95 in 100 requests.
FIRST_TOKEN_PRIOR_MS = 100.0  # Assumed time from grant to first token without measurements.
# A request may wait at least this share of its queue timeout. Without it, a class whose estimated
# first-token time exceeded its target had all its requests refused, so no new measurement could
# correct the estimate.
MIN_WAIT_SHARE = 0.25
# Margin of the queue bound, in standard deviations of the expected number of releases, at an
# attainment weight of 0, 0.5 and 1. Without a margin, some refused requests of a middle tier
# would have got a slot in time.
QUEUE_BOUND_DEVIATIONS = (-3.0, 3.0, 9.0)
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 60_000.0


@define
class _ClassState:
    """Queue and rates of one class; ``floor_credit`` counts the grants its floor has earned."""

    cls: RequestClass
    flows: ClassQueue
    arrivals: Rate = field(factory=lambda: Rate(RATE_WINDOW_MS))
    grants: Rate = field(factory=lambda: Rate(RATE_WINDOW_MS))
    offered: Rate = field(factory=lambda: Rate(SHARE_WINDOW_MS))
    served: Rate = field(factory=lambda: Rate(SHARE_WINDOW_MS))
    floor_credit: float = 0.0
    floor_due_since_ms: float | None = None

    def effective_floor_share(self) -> float:
        return max(MIN_FLOOR_SHARE, self.cls.floor_share)

    def weighted_grant_ratio(self, now_ms: float) -> float:
        """Return the share of requests that were granted, divided by the weight."""
        offered = max(1e-9, self.offered.per_second(now_ms))
        return self.served.per_second(now_ms) / offered / max(1e-9, self.cls.weight)


@define
class Queue:
    """Waiting requests of a shard.

    ``slot_count`` is the number of slots of the shard. Times are monotonic milliseconds.
    """

    cfg: Configuration
    limits: Limits
    slot_count: int
    count: int = 0
    releases: Rate = field(factory=lambda: Rate(RATE_WINDOW_MS))
    first_token_times: LengthEstimator = field(
        factory=lambda: LengthEstimator(FIRST_TOKEN_PRIOR_MS)
    )
    _target_wait_by_class: dict[str, float] = field(factory=dict)
    _states: dict[str, _ClassState] = field(factory=dict)
    _tiers: dict[int, list[_ClassState]] = field(factory=dict)
    _deadlines: list[tuple[float, int, WaitingRequest]] = field(factory=list)
    _tier_deadlines: dict[int, list[tuple[float, int, WaitingRequest]]] = field(factory=dict)
    is_saturated: bool = False
    _mean_hold_ms: float = 0.0
    _counter: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the queues of all classes."""
        shares = {w.name: w.share for w in self.cfg.workspaces.values()}
        for cls in self.cfg.classes.values():
            state = _ClassState(cls, ClassQueue(cls, self.limits, shares))
            self._states[cls.name] = state
            self._tiers.setdefault(cls.tier, []).append(state)
        self._tiers = dict(sorted(self._tiers.items()))
        self._tier_deadlines = {tier: [] for tier in self._tiers}

    def push(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Add a new request and count it as an arrival."""
        state = self._states[waiting.cls.name]
        state.arrivals.add(now_ms)
        state.offered.add(now_ms)
        self.restore(waiting)

    def restore(self, waiting: WaitingRequest) -> None:
        """Add a request that was counted as an arrival before."""
        self._states[waiting.cls.name].flows.push(waiting)
        self.count += 1
        self._counter += 1
        entry = (waiting.deadline_ms, self._counter, waiting)
        heapq.heappush(self._deadlines, entry)
        heapq.heappush(self._tier_deadlines[waiting.cls.tier], entry)
        if len(self._deadlines) > 2 * self.count + 64:
            self._compact_deadlines()

    def copy_rates_from(self, replaced: Queue) -> None:
        """Copy the measured rates from the queue that this one replaces."""
        self.releases = replaced.releases
        self.first_token_times = replaced.first_token_times
        self.is_saturated = replaced.is_saturated
        self._mean_hold_ms = replaced._mean_hold_ms
        for name, state in self._states.items():
            old = replaced._states.get(name)
            if old is not None:
                state.arrivals = old.arrivals
                state.grants = old.grants
                state.offered = old.offered
                state.served = old.served
                state.floor_credit = old.floor_credit
                state.floor_due_since_ms = old.floor_due_since_ms

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a waiting request."""
        self._states[waiting.cls.name].flows.remove(waiting)
        self.count -= 1

    def put_back(self, waiting: WaitingRequest) -> None:
        """Return a popped request that could not be placed on an upstream."""
        self._states[waiting.cls.name].flows.put_back(waiting)
        self.count += 1

    def record_grant(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Record a grant to a popped request, and credit the floors."""
        state = self._states[waiting.cls.name]
        state.grants.add(now_ms)
        state.served.add(now_ms)
        state.flows.charge(waiting.request.workspace, waiting.cost)
        for other in self._states.values():
            if other.flows.count or other is state:
                other.floor_credit = min(
                    MAX_FLOOR_CREDIT, other.floor_credit + other.effective_floor_share()
                )
            if other.floor_credit >= 1.0 and other.floor_due_since_ms is None:
                other.floor_due_since_ms = now_ms
        state.floor_credit = max(0.0, state.floor_credit - 1.0)
        if state.floor_credit < 1.0:
            state.floor_due_since_ms = None

    def adjust_charge(self, class_name: str, workspace: str, difference: float) -> None:
        """Add ``difference`` tokens, used less expected, to the charge of a workspace."""
        state = self._states.get(class_name)
        if state is not None:
            state.flows.charge(workspace, difference)

    def refund(self, class_name: str, now_ms: float) -> None:
        """Remove a grant that was returned unused from the measured rates."""
        state = self._states.get(class_name)
        if state is not None:
            state.served.add(now_ms, -1.0)
            state.grants.add(now_ms, -1.0)

    def record_release(self, held_ms: float, now_ms: float) -> None:
        """Record that a slot was released after ``held_ms``."""
        weight = 0.02 if self._mean_hold_ms else 1.0
        self._mean_hold_ms += weight * (held_ms - self._mean_hold_ms)
        if self.is_saturated:
            self.releases.add(now_ms)

    def unpark(self, keys: list[LimitKey]) -> None:
        """Make the requests that any of these limits blocked ready again."""
        for state in self._states.values():
            for key in keys:
                state.flows.unpark(key)

    def wake(self, now_ms: float) -> None:
        """Make the requests whose token budget became positive ready again."""
        for state in self._states.values():
            state.flows.wake(now_ms)

    def set_saturated(self, saturated: bool, expected_hold_ms: float, now_ms: float) -> None:
        """Record whether requests wait for slots; the release rate is measured while they do."""
        if saturated and not self.is_saturated:
            hold_ms = max(1.0, self._mean_hold_ms or expected_hold_ms)
            self.releases.restart(self.slot_count * MS_PER_SECOND / hold_ms, now_ms)
        self.is_saturated = saturated

    def pop(self, free: int, now_ms: float) -> WaitingRequest | None:
        """Remove and return the request that gets the next of ``free`` slots, or None."""
        due_class = self._find_due_floor(now_ms)
        waiting = None
        if due_class is not None:
            waiting = due_class.flows.pop(now_ms) or due_class.flows.pop_late(now_ms)
        if waiting is not None:
            waiting.granted_by_floor = True
        else:
            waiting = self._pop_by_tier(free, now_ms)
        if waiting is not None:
            self.count -= 1
        return waiting

    def _pop_by_tier(self, free: int, now_ms: float) -> WaitingRequest | None:
        for tier, states in self._tiers.items():
            if free <= self.headroom(tier, now_ms):
                return None
            ready = [state for state in states if state.flows.count]
            ready.sort(key=lambda state: state.weighted_grant_ratio(now_ms))
            for pop in (ClassQueue.pop, ClassQueue.pop_late):
                for state in ready:
                    waiting = pop(state.flows, now_ms)
                    if waiting is not None:
                        return waiting
        return None

    def _find_due_floor(self, now_ms: float) -> _ClassState | None:
        """Return the class whose floor is due, unless a higher tier would miss a deadline."""
        due = [s for s in self._states.values() if s.floor_credit >= 1.0 and s.flows.count]
        if not due:
            return None
        state = max(due, key=lambda s: s.floor_credit)
        since_ms = state.floor_due_since_ms if state.floor_due_since_ms is not None else now_ms
        interval_ms = MS_PER_SECOND / max(1e-3, self._release_rate(now_ms))
        if now_ms - since_ms > min(MAX_FLOOR_DELAY_MS, interval_ms / state.effective_floor_share()):
            return state
        urgent_ms = now_ms + 2.0 * interval_ms
        return None if self._earliest_deadline_ms(state.cls.tier) < urgent_ms else state

    def _earliest_deadline_ms(self, below_tier: int) -> float:
        """Return the earliest deadline of the requests in the tiers above ``below_tier``."""
        first_ms = math.inf
        for tier, heap in self._tier_deadlines.items():
            if tier >= below_tier:
                break
            while heap and not _is_waiting(heap[0][2]):
                heapq.heappop(heap)
            if heap:
                first_ms = min(first_ms, heap[0][0])
        return first_ms

    def headroom(self, tier: int, now_ms: float) -> int:
        """Return the number of slots that requests of ``tier`` must leave free for higher tiers."""
        higher = [s for t, states in self._tiers.items() if t < tier for s in states]
        if not higher:
            return 0
        interval_ms = MS_PER_SECOND / max(1e-3, self._release_rate(now_ms))
        target_ms = min(s.cls.target.first_token_ms for s in higher)
        if interval_ms < HEADROOM_INTERVAL_SHARE * target_ms:
            return 0
        expected = sum(s.arrivals.per_second(now_ms) for s in higher) * interval_ms
        max_slots = max(1, int(self.slot_count * MAX_HEADROOM_SHARE))
        return min(max_slots, math.ceil(expected / MS_PER_SECOND))

    def iter_expired(self, now_ms: float) -> Iterator[WaitingRequest]:
        """Yield the requests whose deadline has passed; the caller removes them."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            waiting = heapq.heappop(self._deadlines)[2]
            if _is_waiting(waiting):
                yield waiting

    def requests_to_shed(self, now_ms: float) -> Iterator[WaitingRequest]:
        """Yield requests that cannot get a slot in time; the caller removes each.

        Tiers are shed from the lowest up. Within a class, late requests go first, then the newest
        request of the workspace that uses most of its share. If the whole queue is full, the
        class with most grants in proportion to its weight is shed first within its tier.
        """
        for tier in reversed(self._tiers):
            for state in self._tiers[tier]:
                # Skip the computation: the bound is at least 1.
                if state.flows.count <= 1:
                    continue
                limit = self.max_waiting(state.cls, now_ms)
                while state.flows.count > limit:
                    waiting = state.flows.find_shed_candidate()
                    if waiting is None:
                        break
                    yield waiting
        while self.count > MAX_WAITING:
            waiting = self._find_lowest_priority(now_ms)
            if waiting is None:
                return
            yield waiting

    def _find_lowest_priority(self, now_ms: float) -> WaitingRequest | None:
        """Return the request to shed next when the queue is full."""
        for tier in reversed(self._tiers):
            states = [state for state in self._tiers[tier] if state.flows.count]
            if states:
                return max(
                    states, key=lambda s: s.weighted_grant_ratio(now_ms)
                ).flows.find_shed_candidate()
        return None

    def max_waiting(self, cls: RequestClass, now_ms: float) -> float:
        """Return how many requests of a class can wait and still get a slot in time."""
        releases_in_time = (
            self.expected_grant_rate(cls, now_ms) * self._max_wait_ms(cls) / MS_PER_SECOND
        )
        lowest, _, highest = QUEUE_BOUND_DEVIATIONS
        deviations = lowest + self.cfg.objective.attainment_weight * (highest - lowest)
        return max(1.0, releases_in_time + deviations * math.sqrt(releases_in_time))

    def _max_wait_ms(self, cls: RequestClass) -> float:
        """Return how long a request may wait, depending on ``objective.attainment_weight``.

        At 0 a request is refused once it would probably miss its first-token target, since the
        work is wasted if the caller disconnects. At 1 it may wait until its deadline.
        """
        min_wait_ms = MIN_WAIT_SHARE * cls.queue_timeout_ms
        in_time_ms = min(cls.queue_timeout_ms, max(min_wait_ms, self._target_wait_ms(cls)))
        weight = self.cfg.objective.attainment_weight
        return in_time_ms + weight * (cls.queue_timeout_ms - in_time_ms)

    def _target_wait_ms(self, cls: RequestClass) -> float:
        """Return how long a request can wait and still probably meet its first-token target."""
        in_time_ms = self._target_wait_by_class.get(cls.name)
        if in_time_ms is None:
            first_token_ms = self.first_token_times.quantile(FIRST_TOKEN_QUANTILE, cls.name, "", "")
            in_time_ms = max(0.0, cls.target.first_token_ms - first_token_ms)
            self._target_wait_by_class[cls.name] = in_time_ms
        return in_time_ms

    def record_first_token(self, class_name: str, first_token_ms: float) -> None:
        """Record the time from a grant to the first token."""
        self.first_token_times.observe(class_name, "", "", round(first_token_ms))
        # The estimate for a class without samples of its own uses the samples of all classes.
        self._target_wait_by_class.clear()

    def create_entry(
        self, request: types.SlotRequest, cost: float, now_ms: float
    ) -> WaitingRequest:
        """Return the queue entry of a request; ``cost`` is its expected number of tokens."""
        cls = self.cfg.classes[request.class_name]
        arrived_ms = now_ms - request.waited_ms
        reduction_ms = cls.queue_timeout_ms - self._max_wait_ms(cls)
        deadline_ms = now_ms + request.deadline_in_ms - reduction_ms
        late_ms = arrived_ms + self._target_wait_ms(cls)
        return WaitingRequest(request, cls, arrived_ms, deadline_ms, late_ms, cost)

    def expected_grant_rate(self, cls: RequestClass, now_ms: float) -> float:
        """Return the grants per second that a class can expect while it is overloaded."""
        total = self._release_rate(now_ms)
        available = total
        for tier, states in self._tiers.items():
            if tier < cls.tier:
                available -= sum(s.arrivals.per_second(now_ms) for s in states)
            elif tier > cls.tier:
                # Lower tiers get their floors regardless of the demand of higher tiers.
                available -= sum(
                    min(s.effective_floor_share() * total, s.arrivals.per_second(now_ms))
                    for s in states
                )
        peers = self._tiers[cls.tier]
        weighted_demand = {s.cls.name: s.arrivals.per_second(now_ms) * s.cls.weight for s in peers}
        share = weighted_demand[cls.name] / max(1e-9, sum(weighted_demand.values()))
        peer_arrivals = sum(s.arrivals.per_second(now_ms) for s in peers if s.cls is not cls)
        floor = self._states[cls.name].effective_floor_share() * total
        return max(floor, available * share, available - peer_arrivals)

    def retry_after_ms(self, class_name: str, now_ms: float) -> float:
        """Return the time until the current backlog of a class is served."""
        state = self._states[class_name]
        rate = max(1e-3, self.expected_grant_rate(state.cls, now_ms))
        wait_ms = (state.flows.count + 1) / rate * MS_PER_SECOND
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))

    def limit_wait_ms(self, waiting: WaitingRequest, now_ms: float) -> float:
        """Return how long limits alone will block a new request, 0 if none does."""
        request = waiting.request
        key = self.limits.find_blocking_limit(request.workspace, request.site, now_ms)
        if key is None:
            return 0.0
        ahead = self._states[waiting.cls.name].flows.waiting_count(request.workspace)
        return self.limits.expected_wait_ms(key, ahead, self._mean_hold_ms, waiting.cost, now_ms)

    def next_deadline_ms(self) -> float | None:
        """Return when the next request expires or token budget is refilled, or None."""
        while self._deadlines and not _is_waiting(self._deadlines[0][2]):
            heapq.heappop(self._deadlines)
        times = [self._deadlines[0][0]] if self._deadlines else []
        wakes = (state.flows.next_wake_ms() for state in self._states.values())
        times += [wake for wake in wakes if wake is not None]
        return min(times, default=None)

    def waiting_by_tier(self) -> tuple[int, ...]:
        """Return the number of waiting requests of each configured tier, highest first."""
        return tuple(sum(s.flows.count for s in states) for states in self._tiers.values())

    def _release_rate(self, now_ms: float) -> float:
        if self.is_saturated or not self._mean_hold_ms:
            return self.releases.per_second(now_ms)
        return self.slot_count * MS_PER_SECOND / max(1.0, self._mean_hold_ms)

    def _compact_deadlines(self) -> None:
        self._deadlines = [entry for entry in self._deadlines if _is_waiting(entry[2])]
        heapq.heapify(self._deadlines)
        for heap in self._tier_deadlines.values():
            heap[:] = [entry for entry in heap if _is_waiting(entry[2])]
            heapq.heapify(heap)


def _is_waiting(waiting: WaitingRequest) -> bool:
    return waiting.active
