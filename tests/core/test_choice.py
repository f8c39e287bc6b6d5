"""Tests of upstream choice: load from delayed reports, prefix index, stragglers, failures."""

from __future__ import annotations

import itertools
import math
from collections import Counter

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from goldcrestridge_core.choice import (
    FOREIGN_DECAY_MS,
    FOREIGN_EWMA_WEIGHT,
    MAX_REPORT_AGE_MS,
    PrefixChooser,
)
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.prefix import PrefixIndex
from goldcrestridge_core.stragglers import MAX_EJECTED_SHARE, Speed, StragglerDetector
from goldcrestridge_core.types import (
    CacheEvents,
    GrantEnd,
    HeldGrant,
    LoadReport,
    NodeId,
    RequestId,
    ShardId,
    SlotRelease,
    SlotRequest,
    UpstreamId,
)

NAMES = [UpstreamId(f"u{number}") for number in range(5)]
SLOTS = 4
UPSTREAMS = tuple(Upstream(name, "127.0.0.1:1", "dc", SLOTS) for name in NAMES)


def slot_request(
    excluded: tuple[UpstreamId, ...] = (), prefix: tuple[int, ...] = ()
) -> SlotRequest:
    return SlotRequest(
        RequestId("r"), 0, NodeId("e"), ShardId("p/0"), "w", "s", "c", "m", 10, 10, prefix, 0.0,
        1000.0, excluded,
    )  # fmt: skip


def held_grant(number: int, upstream: UpstreamId, output_tokens: int = 0) -> HeldGrant:
    request_id = RequestId(f"r{number}")
    return HeldGrant(request_id, 0, 1, number, upstream, "w", "s", "c", "m", 10, output_tokens)


def slot_release(
    grant: HeldGrant,
    end: GrantEnd = GrantEnd.COMPLETED,
    first_ms: float = -1.0,
    inter_ms: float = -1.0,
) -> SlotRelease:
    return SlotRelease(
        grant.request_id, 0, NodeId("e"), ShardId("p/0"), 1, grant.grant_id, grant.upstream, end,
        1, first_ms, inter_ms,
    )  # fmt: skip


class ChooserMachine(RuleBasedStateMachine):
    """Guard against a load that drifts from grants, ends and reports, and against bad choices."""

    def __init__(self) -> None:
        super().__init__()
        self.chooser = PrefixChooser()
        self.chooser.set_upstreams(UPSTREAMS)
        self.now_ms = 0.0
        self.count = 0
        self.active: list[HeldGrant] = []
        self.changes: list[tuple[float, UpstreamId, int]] = []
        self.reports: dict[UpstreamId, tuple[float, float]] = {}
        self.foreign_loads: dict[UpstreamId, list[int]] = {}
        self.leaving: set[UpstreamId] = set()

    def oracle_load(self, name: UpstreamId) -> int:
        return round(self.oracle_estimate(name))

    def oracle_estimate(self, name: UpstreamId) -> float:
        """Recompute the load from all grants, ends and reports."""
        active = sum(grant.upstream == name for grant in self.active)
        at_ms, foreign = self.reports.get(name, (-1e9, 0.0))
        return active if self.now_ms - at_ms > MAX_REPORT_AGE_MS else active + foreign

    def oracle_foreign(self, name: UpstreamId, age_ms: float, load: int) -> float:
        """Recompute the load that this owner did not grant from all reports."""
        at_ms = self.now_ms - age_ms
        since = sum(
            change for ms, upstream, change in self.changes if upstream == name and ms > at_ms
        )
        active = sum(grant.upstream == name for grant in self.active)
        self.foreign_loads.setdefault(name, []).append(max(0, load + since - active))
        mean, *others = self.foreign_loads[name]
        average = float(mean)
        for value in others:
            average += FOREIGN_EWMA_WEIGHT * (value - average)
        return average + (self.foreign_loads[name][-1] - average) * math.exp(
            -age_ms / FOREIGN_DECAY_MS
        )

    @rule(excluded=st.lists(st.sampled_from(NAMES), max_size=4), count=st.integers(1, 8))
    def grant(self, excluded: list[UpstreamId], count: int) -> None:
        for _ in range(count):
            name = self.chooser.choose(slot_request(tuple(excluded)), 10, self.now_ms)
            usable = [item for item in NAMES if item not in excluded and item not in self.leaving]
            open_names = [item for item in usable if self.oracle_load(item) < SLOTS]
            if name is None:
                assert not open_names
                return
            assert name in open_names
            least = min(map(self.oracle_estimate, open_names))
            assert math.isclose(self.oracle_estimate(name), least)
            self.count += 1
            held = held_grant(self.count, name)
            self.chooser.record_grant(held, (), 10, self.now_ms)
            self.active.append(held)
            self.changes.append((self.now_ms, name, 1))

    @precondition(lambda self: self.active)
    @rule(index=st.integers(0, 99), twice=st.booleans())
    def end(self, index: int, twice: bool) -> None:
        held = self.active.pop(index % len(self.active))
        for _ in range(1 + twice):
            self.chooser.record_end(slot_release(held), self.now_ms)
        self.changes.append((self.now_ms, held.upstream, -1))

    @rule(name=st.sampled_from(NAMES), age_ms=st.sampled_from([0.0, 50.0, 2000.0, 40_000.0]),
          load=st.integers(0, SLOTS + 1))  # fmt: skip
    def report(self, name: UpstreamId, age_ms: float, load: int) -> None:
        report = LoadReport(name, age_ms, load, 0, SLOTS)
        self.chooser.apply_load_report(report, self.now_ms)
        at_ms = self.now_ms - age_ms
        if age_ms <= MAX_REPORT_AGE_MS and at_ms > self.reports.get(name, (-1e9, 0.0))[0]:
            self.reports[name] = (at_ms, self.oracle_foreign(name, age_ms, load))

    @rule(name=st.sampled_from(NAMES[:2]))
    def leave(self, name: UpstreamId) -> None:
        self.chooser.mark_leaving(name, self.now_ms)
        self.leaving.add(name)

    @rule(delta_ms=st.sampled_from([1.0, 60.0, 1_000.0, 20_000.0]))
    def advance(self, delta_ms: float) -> None:
        self.now_ms += delta_ms
        # Much later reports would revoke the leaving notice; another test covers that.
        for name in self.leaving:
            self.chooser.mark_leaving(name, self.now_ms)

    @invariant()
    def free_slots_match(self) -> None:
        free = [
            max(0, SLOTS - self.oracle_load(name)) for name in NAMES if name not in self.leaving
        ]
        assert self.chooser.free_slots(self.now_ms) == sum(free)


TestChooserMachine = ChooserMachine.TestCase
TestChooserMachine.settings = settings(settings.get_profile("ci"), stateful_step_count=40)

CACHE_EVENT = st.tuples(
    st.integers(0, 2), st.booleans(), st.lists(st.integers(0, 5), max_size=4, unique=True)
)


@given(st.lists(CACHE_EVENT, max_size=30), st.lists(st.integers(0, 5), max_size=5, unique=True))
def test_prefix_index_agrees_with_plain_sets(
    steps: list[tuple[int, bool, list[int]]], prefix: list[int]
) -> None:
    # Guards against an index whose matches differ from the blocks that the engines hold.
    index = PrefixIndex()
    model: dict[UpstreamId, set[int]] = {name: set() for name in NAMES}
    sequence: Counter[UpstreamId] = Counter()
    for number, add, blocks in steps:
        name, items = NAMES[number], tuple(blocks)
        added, evicted = (items, ()) if add else ((), items)
        index.apply_events(CacheEvents(name, sequence[name], added, evicted))
        sequence[name] += len(items)
        model[name] = model[name] | set(items) if add else model[name] - set(items)
    expected = {}
    for name, held in model.items():
        depth = next((i for i, block in enumerate(prefix) if block not in held), len(prefix))
        if depth:
            expected[name] = depth
    assert {match.upstream: match.depth for match in index.matches(tuple(prefix))} == expected


def test_gap_in_cache_events_makes_the_engine_uncertain_until_confirmed() -> None:
    # Guards against full weight for matches after an eviction may have been missed.
    index = PrefixIndex()
    index.apply_events(CacheEvents(NAMES[0], 0, (1, 2), ()))
    index.apply_events(CacheEvents(NAMES[1], 0, (1, 2), ()))
    index.apply_events(CacheEvents(NAMES[0], 9, (7,), ()))
    assert index.has_uncertain_blocks(NAMES[0])
    assert [match.upstream for match in index.matches((1, 2))] == [NAMES[1], NAMES[0]]
    index.touch(NAMES[0], (1, 2))
    assert not index.has_uncertain_blocks(NAMES[0])
    assert {match.weight for match in index.matches((1, 2))} == {1.0}


def test_stale_cache_events_are_ignored_and_a_restarted_engine_is_indexed_again() -> None:
    # Guards against stale events that revert newer ones, and against a restarted engine that is
    # never indexed again.
    index = PrefixIndex()
    index.apply_events(CacheEvents(NAMES[0], 0, (1, 2, 3), ()))
    index.apply_events(CacheEvents(NAMES[0], 0, (), (1,)))
    assert [match.depth for match in index.matches((1, 2))] == [2]
    for sequence in range(2):
        index.apply_events(CacheEvents(NAMES[0], sequence, (8,), ()))
    assert index.matches((1, 2)) == []
    assert [match.depth for match in index.matches((8,))] == [1]


def test_prefix_index_is_bounded_and_keeps_recently_used_blocks() -> None:
    # Guards against unbounded memory use, and against the eviction of blocks in use.
    index = PrefixIndex(max_blocks=10)
    for start in range(0, 1_000, 5):
        index.touch(NAMES[0], tuple(range(start, start + 5)))
        assert index.block_count(NAMES[0]) <= 10
    assert [match.depth for match in index.matches((995, 996))] == [2]
    assert len(index._holders) <= 10


def test_prefix_match_is_chosen_within_the_load_bound_only() -> None:
    # Guards against a common prefix that overloads one engine.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    chosen: Counter[UpstreamId] = Counter()
    for number in range(15):
        name = chooser.choose(slot_request(prefix=(1, 2)), 10, 0.0)
        assert name is not None
        chosen[name] += 1
        chooser.record_grant(held_grant(number, name), (1, 2), 10, 0.0)
        assert max(chosen.values()) <= -(-115 * (number + 1) // 500)
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    chooser.record_grant(held_grant(1, NAMES[3]), (1, 2), 10, 0.0)
    chooser.record_end(slot_release(held_grant(1, NAMES[3])), 0.0)
    assert chooser.choose(slot_request(prefix=(1, 2, 3)), 10, 0.0) == NAMES[3]


def observe_rounds(
    stragglers: StragglerDetector,
    slow: set[UpstreamId],
    start_ms: float,
    rounds: int,
    factor: float = 5.0,
) -> float:
    """Observe ``rounds`` samples of every upstream, and return the time afterwards."""
    for number in range(rounds):
        for name in NAMES:
            times = factor if name in slow else 1.0
            stragglers.observe(name, 100.0 * times, 20.0 * times, start_ms + 200.0 * number)
    return start_ms + 200.0 * rounds


@pytest.mark.parametrize("slow", [1, 2, 4])
def test_ejection_never_exceeds_the_fixed_share(slow: int) -> None:
    # Guards against a pool that ejects most of its upstreams at once.
    stragglers = StragglerDetector()
    stragglers.set_upstreams(NAMES)
    observe_rounds(stragglers, set(NAMES[:slow]), 0.0, 30)
    ejected = [name for name in NAMES if stragglers.speed(name) is Speed.EJECTED]
    assert len(ejected) <= MAX_EJECTED_SHARE * len(NAMES)
    assert all(stragglers.speed(name) is Speed.NORMAL for name in NAMES[slow:] if slow < 3)


def test_straggler_gets_reduced_traffic_then_probes_and_recovers() -> None:
    # Guards against a slow engine that keeps its share of traffic, and against one that stays
    # ejected after it recovered.
    stragglers = StragglerDetector()
    stragglers.set_upstreams(NAMES)
    now_ms = observe_rounds(stragglers, {NAMES[0]}, 0.0, 20, factor=2.0)
    assert stragglers.speed(NAMES[0]) is Speed.REDUCED
    now_ms = observe_rounds(stragglers, {NAMES[0]}, now_ms, 20)
    assert stragglers.speed(NAMES[0]) is Speed.EJECTED
    now_ms = observe_rounds(stragglers, set(), now_ms, 40)
    assert stragglers.speed(NAMES[0]) is Speed.NORMAL


def test_ejected_upstream_gets_single_probes_at_growing_intervals() -> None:
    # Guards against as many probes as normal traffic.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    observe_rounds(chooser._stragglers, {NAMES[0]}, 0.0, 20)
    chooser.set_upstreams(UPSTREAMS)
    probes = []
    for number in range(600):
        now_ms = 5_000.0 + 50.0 * number
        name = chooser.choose(slot_request(), 10, now_ms)
        assert name is not None
        grant = held_grant(number, name)
        chooser.record_grant(grant, (), 10, now_ms)
        slow = 5.0 if name == NAMES[0] else 1.0
        chooser.record_end(slot_release(grant, first_ms=100.0 * slow), now_ms + 1.0)
        if name == NAMES[0]:
            probes.append(now_ms)
    gaps = [after - before for before, after in itertools.pairwise(probes)]
    assert 2 <= len(probes) <= 6
    assert gaps == sorted(gaps)


def test_straggler_is_detected_by_the_progress_of_running_calls() -> None:
    # Guards against a slow engine that is detected only when its long calls end.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    grants = [held_grant(number, NAMES[number % 5], 1) for number in range(15)]
    for grant in grants:
        chooser.record_grant(grant, (), 100, 0.0)
    for report in range(1, 5):
        for grant in grants:
            rate = 5 if grant.upstream == NAMES[0] else 25
            progress = held_grant(grant.grant_id, grant.upstream, 1 + rate * report)
            chooser.record_progress(progress, 500.0 * report)
    assert chooser._stragglers.speed(NAMES[0]) is Speed.EJECTED


def test_unreachable_upstream_backs_off_and_returns_with_one_call_at_a_time() -> None:
    # Guards against a burst of calls to an upstream that may still be down.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS[:1])
    grant = held_grant(1, NAMES[0])
    chooser.record_grant(grant, (), 10, 0.0)
    chooser.record_end(slot_release(grant, GrantEnd.CONNECT_FAILED), 0.0)
    assert chooser.choose(slot_request(), 10, 499.0) is None
    assert chooser.choose(slot_request(), 10, 500.0) == NAMES[0]
    chooser.record_grant(held_grant(2, NAMES[0]), (), 10, 500.0)
    assert chooser.choose(slot_request(), 10, 501.0) is None
    chooser.record_end(slot_release(held_grant(2, NAMES[0])), 502.0)
    assert chooser.free_slots(502.0) == SLOTS


def test_an_upstream_that_reports_again_after_a_gap_gets_a_call_before_its_backoff_ends() -> None:
    # Guards against a pool that works again after an outage, but gets no calls for up to 30 s, and
    # against calls to an upstream that reports all the time and fails each call.
    for reports_meanwhile, free in ((False, 1), (True, 0)):
        chooser = PrefixChooser()
        chooser.set_upstreams(UPSTREAMS[:1])
        report = LoadReport(NAMES[0], 0.0, 0, 0, SLOTS)
        chooser.apply_load_report(report, 0.0)
        for step in range(60):
            now_ms = 500.0 * step
            if reports_meanwhile:
                chooser.apply_load_report(report, now_ms)
            if chooser.choose(slot_request(), 10, now_ms) is not None:
                grant = held_grant(step, NAMES[0])
                chooser.record_grant(grant, (), 10, now_ms)
                chooser.record_end(slot_release(grant, GrantEnd.CONNECT_FAILED), now_ms)
        chooser.apply_load_report(report, now_ms + 500.0)
        assert chooser.free_slots(now_ms + 500.0) == free


def test_leaving_upstream_gets_no_work_until_a_much_later_report() -> None:
    # Guards against a delayed report that revokes the leaving notice.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS[:1])
    chooser.apply_load_report(LoadReport(NAMES[0], 0.0, 0, 0, SLOTS, leaving=True), 100.0)
    assert chooser.choose(slot_request(), 10, 101.0) is None
    chooser.apply_load_report(LoadReport(NAMES[0], 2_000.0, 0, 0, SLOTS), 3_000.0)
    assert chooser.choose(slot_request(), 10, 3_000.0) is None
    chooser.apply_load_report(LoadReport(NAMES[0], 0.0, 0, 0, SLOTS), 6_000.0)
    assert chooser.choose(slot_request(), 10, 6_000.0) == NAMES[0]


def test_upstream_removed_and_added_again_keeps_its_grants() -> None:
    # Guards against slots that are granted twice after two configuration changes.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS[:2])
    chooser.record_grant(held_grant(1, NAMES[0]), (), 10, 0.0)
    chooser.set_upstreams(UPSTREAMS[1:2])
    assert chooser.free_slots(1.0) == SLOTS
    chooser.set_upstreams(UPSTREAMS[:2])
    assert chooser.free_slots(2.0) == 2 * SLOTS - 1


def test_grant_counted_twice_holds_one_slot() -> None:
    # Guards against a duplicate grant that takes a second slot.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS[:1])
    for _ in range(2):
        chooser.record_grant(held_grant(1, NAMES[0]), (), 10, 0.0)
    assert chooser.free_slots(0.0) == SLOTS - 1


def test_removed_upstream_is_no_longer_matched_by_prefix() -> None:
    # Guards against the choice of an upstream that is no longer configured.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS[:2])
    chooser.record_grant(held_grant(1, NAMES[0]), (1, 2), 10, 0.0)
    chooser.set_upstreams(UPSTREAMS[1:2])
    assert chooser.choose(slot_request(prefix=(1, 2)), 10, 0.0) == NAMES[1]


def test_prefix_in_constant_use_is_not_evicted_from_the_index() -> None:
    # Guards against the eviction of the blocks that match most often.
    index = PrefixIndex(max_blocks=4)
    for blocks in ((1, 2), (10,), (11,), (1, 2), (12,), (13,)):
        index.touch(NAMES[0], blocks)
    assert [match.depth for match in index.matches((1, 2))] == [2]


@pytest.mark.parametrize(("slow_rounds", "probes"), [(4, 3), (20, 2)])
def test_ejected_straggler_recovers_once_its_last_probes_are_fast(
    slow_rounds: int, probes: int
) -> None:
    # Guards against old slow samples that permanently outweigh fast probes.
    stragglers = StragglerDetector()
    stragglers.set_upstreams(NAMES)
    now_ms = observe_rounds(stragglers, {NAMES[0]}, 0.0, slow_rounds)
    speeds = []
    for _ in range(6):
        for number in range(5):
            now_ms += 200.0
            for name in NAMES:
                first_ms = 100.0 if name != NAMES[0] or number == 4 else -1.0
                stragglers.observe(name, first_ms, 20.0, now_ms)
        now_ms = now_ms + 200.0
        stragglers.observe(NAMES[1], 100.0, 20.0, now_ms)
        speeds.append(stragglers.speed(NAMES[0]))
    expected = [Speed.EJECTED] * (probes - 1) + [Speed.NORMAL] * (7 - probes)
    assert speeds == expected


def test_engine_with_uncached_prompts_is_not_a_straggler() -> None:
    # Guards against an ejection because of long uncached prompts.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    for number in range(100):
        name = NAMES[number % 5]
        uncached = name == NAMES[0]
        prefix = tuple(range(1_000 * number, 1_000 * number + 40)) if uncached else (1, 2, 3)
        held = evolve(held_grant(number, name), prompt_tokens=2_560)
        chooser.record_grant(held, prefix, 10, 200.0 * number)
        first_ms = 384.0 if uncached or number < 5 else 64.0
        chooser.record_end(slot_release(held, first_ms=first_ms), 200.0 * number + 100.0)
    assert chooser._stragglers.speed(NAMES[0]) is Speed.NORMAL


def test_slow_upstream_is_used_last_but_keeps_its_slots() -> None:
    # Guards against unused capacity of an upstream that is only moderately slow.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    observe_rounds(chooser._stragglers, {NAMES[0]}, 0.0, 20, factor=2.6)
    chooser.set_upstreams(UPSTREAMS)
    assert chooser._stragglers.speed(NAMES[0]) is Speed.REDUCED
    assert chooser.free_slots(5_000.0) == 5 * SLOTS
    counts: Counter[UpstreamId] = Counter()
    for number in range(18):
        name = chooser.choose(slot_request(), 10, 5_000.0)
        assert name is not None
        counts[name] += 1
        chooser.record_grant(held_grant(number, name), (), 10, 5_000.0)
    assert counts == {NAMES[0]: 2, **dict.fromkeys(NAMES[1:], SLOTS)}


def test_upstream_without_first_tokens_is_ejected_before_its_calls_end() -> None:
    # Guards against a hanging engine that gets new work until its calls time out.
    chooser = PrefixChooser()
    chooser.set_upstreams(UPSTREAMS)
    hanging = [held_grant(number, NAMES[0]) for number in range(3)]
    for held in hanging:
        chooser.record_grant(held, (), 10, 0.0)
    for number in range(5, 45):
        held = held_grant(number, NAMES[1 + number % 4])
        chooser.record_grant(held, (), 10, 20.0 * number)
        chooser.record_end(slot_release(held, first_ms=100.0), 20.0 * number + 10.0)
    for held in hanging:
        chooser.record_progress(held, 1_000.0)
    last = held_grant(99, NAMES[1])
    chooser.record_grant(last, (), 10, 1_000.0)
    chooser.record_end(slot_release(last, first_ms=100.0), 1_100.0)
    assert chooser._stragglers.speed(NAMES[0]) is Speed.EJECTED
