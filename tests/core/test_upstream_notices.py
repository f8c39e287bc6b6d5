"""Tests of the notices of upstreams, each with the case that it covers."""

from __future__ import annotations

import random
from collections.abc import Iterable

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from tests.core.notice_fleet import DRAIN_MS, NoticeFleet

from goldcrestridge_core import codec, workload_sums
from goldcrestridge_core.demand import Demand
from goldcrestridge_core.follow_types import LeavingNotice, RestNotice, UpstreamInstance, Workload
from goldcrestridge_core.follower import poll_interval_ms
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.upstream_notices import (
    LAST_RESORT_SHARE,
    MAX_REST_MS,
    MAX_SHARED,
    REST_JITTER_SHARE,
    RESTART_GAP_MS,
    NoticeChange,
    UpstreamNotices,
    Usability,
    merge_notices,
    return_delay_ms,
)

BORN_MS = 1_764_840_000_000


def upstream(name: str = "a", born: int = 7, leaving: bool = False) -> UpstreamInstance:
    return UpstreamInstance(name, "s", f"10.0.0.{ord(name)}:80", "dc", 6, leaving, "v1", born)


def notices(*items: UpstreamInstance) -> UpstreamNotices:
    created = UpstreamNotices(random.Random(1))
    created.set_listed(items, 0.0)
    return created


def test_a_poll_of_the_list_does_not_undo_what_an_instance_said() -> None:
    # Guards against the list, which lags, and which may lack an entry for some polls.
    state = notices(upstream())
    assert state.observe(upstream(), True, 0.0, 10.0, 20.0) == [NoticeChange.LEAVES]
    state.set_listed([upstream()], 500.0)
    state.set_listed([], 600.0)
    state.set_listed([upstream()], 700.0)
    assert state.usability(upstream(), 20.0 + DRAIN_MS) is Usability.NONE


def test_the_next_run_of_an_instance_is_used_at_once() -> None:
    # Guards against a run that is shut out for what the run before it said.
    state = notices(upstream())
    state.observe(upstream(), True, 60_000.0, 10.0, 20.0)
    assert state.usability(upstream(born=8), 30.0) is Usability.FREE
    state.set_listed([upstream(born=8)], 40.0)
    # An answer of the former run arrives late.
    state.observe(upstream(), True, 0.0, 10.0, 50.0)
    assert state.usability(upstream(born=8), 60.0) is Usability.FREE


@pytest.mark.parametrize("gap_ms", [0.0, RESTART_GAP_MS])
def test_an_instance_without_a_start_time_that_is_listed_again_is_used(gap_ms: float) -> None:
    # Guards against the same where the list does not tell when an instance was started.
    item = upstream(born=0)
    state = notices(item)
    state.observe(item, True, 60_000.0, 10.0, 20.0)
    if not gap_ms:
        state.set_listed([evolve(item, leaving=True)], 1_000.0)
    state.set_listed([], 2_000.0)
    state.set_listed([item], 2_000.0 + gap_ms)
    assert state.usability(item, 2_000.0 + gap_ms) is Usability.FREE
    state.observe(item, True, 0.0, 1_000.0, 2_010.0 + gap_ms)
    assert state.usability(item, 2_010.0 + gap_ms) is Usability.FREE


def test_only_an_answer_to_a_later_request_shows_that_a_run_does_not_leave() -> None:
    # Guards against answers that overtake each other on two connections.
    state = notices(upstream())
    state.observe(upstream(), True, 0.0, 10.0, 20.0)
    assert state.observe(upstream(), False, 0.0, 15.0, 30.0) == []
    assert state.usability(upstream(), 31.0) is Usability.LAST_RESORT
    assert state.observe(upstream(), False, 0.0, 25.0, 40.0) == [NoticeChange.STAYS]
    assert state.usability(upstream(), 41.0) is Usability.FREE


def test_a_leaving_instance_is_the_last_resort_for_a_part_of_its_drain_time() -> None:
    # Guards against use after the drain time, and of an instance that the list shows as leaving.
    state = notices(upstream())
    state.observe(upstream(), True, 0.0, 0.0, 100.0)
    end_ms = 100.0 + LAST_RESORT_SHARE * state.drain_ms
    assert state.usability(upstream(), end_ms - 1.0) is Usability.LAST_RESORT
    assert state.usability(upstream(), end_ms) is Usability.NONE
    assert state.usability(upstream(leaving=True), 101.0) is Usability.NONE


def test_a_second_rest_prolongs_the_first_but_does_not_shorten_it() -> None:
    # Guards against a node that returns before the end of the longest rest that it was asked for.
    state = notices(upstream())
    assert state.observe(upstream(), False, 3_000.0, 0.0, 100.0) == [NoticeChange.RESTS]
    assert state.observe(upstream(), False, 50.0, 0.0, 200.0) == []
    assert state.usability(upstream(), 3_099.0) is Usability.NONE
    state.observe(upstream(), False, 5_000.0, 0.0, 300.0)
    assert state.usability(upstream(), 5_299.0) is Usability.NONE
    assert state.usability(upstream(), 300.0 + 5_000.0 * (1 + REST_JITTER_SHARE)) is Usability.FREE


def test_an_absurd_rest_is_bounded() -> None:
    # Guards against one wrong answer that takes an instance out for good.
    state = notices(upstream())
    state.observe(upstream(), False, 1e12, 0.0, 0.0)
    assert state.usability(upstream(), MAX_REST_MS - 1.0) is Usability.NONE
    assert state.usability(upstream(), MAX_REST_MS * (1 + REST_JITTER_SHARE)) is Usability.FREE


def test_nodes_do_not_all_return_at_the_end_of_a_rest() -> None:
    # Traffic: hundreds of nodes that were asked for the same rest. Guards against one wave.
    ends = set()
    for seed in range(50):
        state = UpstreamNotices(random.Random(seed))
        state.set_listed([upstream()], 0.0)
        state.observe(upstream(), False, 1_000.0, 0.0, 0.0)
        ends.add(next(t for t in range(1_000, 1_300) if state.is_quiet(float(t))))
    assert max(ends) - min(ends) > 100


def test_other_instances_are_preferred_to_one_that_rests_for_a_peer() -> None:
    # Guards against hundreds of nodes that each learn alone, and against an instance that is shut
    # out by all nodes since it rejected the requests of one.
    state = notices(upstream("a"), upstream("b"))
    state.merge(Workload(rests=(RestNotice(upstream("a").life, 1_000.0),)), 0.0)
    both = [upstream("a"), upstream("b")]
    assert state.preferred(both, 500.0) == [upstream("b")]
    assert state.preferred(both[:1], 500.0) == [upstream("a")]
    assert state.preferred(both, 1_001.0) == both


def test_callers_return_after_the_rest_and_the_urgent_ones_first() -> None:
    # Guards against callers that all return at one moment, or before the end of the rest.
    urgent = [return_delay_ms(1_000.0, 0.0, spread / 10) for spread in range(11)]
    others = [return_delay_ms(1_000.0, 1.0, spread / 10) for spread in range(11)]
    assert min(urgent) >= 1_000.0
    assert max(urgent) <= min(others)
    assert len(set(urgent)) == len(urgent)


def test_a_started_node_learns_from_the_others_what_an_instance_said() -> None:
    # Guards against a leaving upstream that is in use again after a restart of an entry node.
    heard, started = notices(upstream()), notices(upstream())
    heard.observe(upstream(), True, 0.0, 0.0, 100.0)
    leaving, rests = merge_notices([(Workload((), (), (), *heard.shared(1_000.0)), 200.0)])
    assert rests == ()
    changes = started.merge(Workload(leaving=leaving), 9_000.0)
    assert changes == [(upstream().life, NoticeChange.LEAVES)]
    # It has known of it for 1.1 s at that time, which does not begin anew.
    end_ms = 9_000.0 - 1_100.0 + LAST_RESORT_SHARE * started.drain_ms
    assert started.usability(upstream(), end_ms - 1.0) is Usability.LAST_RESORT
    assert started.usability(upstream(), end_ms) is Usability.NONE
    # It tells the others in turn, since the first node may be lost by then.
    assert [notice.life for notice in started.shared(9_100.0)[0]] == [upstream().life]


def test_notices_are_no_longer_shared_once_the_list_shows_them() -> None:
    # Guards against messages that grow with all instances that ever left.
    state = notices(*(upstream(chr(97 + n)) for n in range(20)))
    for number in range(20):
        state.observe(upstream(chr(97 + number)), True, 5_000.0, 0.0, 10.0)
    leaving, rests = state.shared(20.0)
    assert (len(leaving), len(rests)) == (20, 20)
    state.set_listed([upstream(chr(97 + n), leaving=True) for n in range(20)], 30.0)
    assert state.shared(40.0)[0] == ()
    assert state.shared(60_000.0) == ((), ())


def test_the_notices_of_one_message_are_bounded() -> None:
    # Guards against a release of a whole large service that exceeds the control traffic of a node.
    items = [
        UpstreamInstance(f"i-{n:010x}", "s", f"10.128.0.{n}:8080", "dc", 6, False, "v1", BORN_MS)
        for n in range(3 * MAX_SHARED)
    ]
    state = notices(*items)
    for item in items:
        state.observe(item, True, 5_000.0, 0.0, 10.0)
    shared = Workload((), (), (), *state.shared(20.0))
    assert len(shared.leaving) == len(shared.rests) == MAX_SHARED
    # The budget of a node is 8 KB a second, both ways at the polling interval of 200 nodes.
    size = len(codec.encode(_follow_request(shared)))
    assert 2 * size / (poll_interval_ms(200) / 1_000.0) < 8_000


def _follow_request(workload: Workload) -> object:
    from goldcrestridge_core.follow_types import EntryStatus, FollowRequest
    from goldcrestridge_core.types import NodeId

    status = EntryStatus(NodeId("10.0.0.1:7341"), "10.0.0.1:80", "dc", True)
    return FollowRequest(1, status, 1, "", "", workload)


def test_a_notice_of_a_peer_about_a_former_run_is_ignored() -> None:
    # Guards against a new run that is shut out again by a node that has not seen the new list.
    item = upstream(born=0)
    state = notices(evolve(item, leaving=True))
    state.set_listed([item], 5_000.0)
    old = Workload(leaving=(LeavingNotice(item.life, 3_000.0, 2_000.0),))
    assert state.merge(old, 6_000.0) == []
    assert state.usability(item, 6_000.0) is Usability.FREE


def test_leaving_and_resting_instances_are_left_out_of_partitions_and_candidates() -> None:
    # Guards against forecasts and partitions that count instances which get no requests.
    items = [UpstreamInstance(f"i{n}", "llm", f"10.0.0.{n}:80", "dc0", 24, False) for n in range(6)]
    node = Placement("dc0", random.Random(1))
    node.set_instances(items)
    node.notices.observe(items[0], True, 0.0, 0.0, 0.0)
    node.notices.observe(items[1], False, 5_000.0, 0.0, 0.0)
    node.record_arrival("llm", Demand("", True, True, 9_000.0), 0.0)
    seen = set()
    for number in range(200):
        demand = Demand(f"p{number}", True, number % 2 == 0, 9_000.0)
        seen |= {item.instance for item in node.candidates("llm", demand, (), 10.0)}
        chosen = node.choose("llm", demand, (), 10.0)
        assert chosen is not None
        seen.add(chosen.instance)
    assert seen == {"i2", "i3", "i4", "i5"}


@given(seed=st.integers(0, 2**32 - 1))
def test_no_machine_breaks_a_notice_under_faults(seed: int) -> None:
    # Guards against arrivals at an upstream after the drain time or during a rest, counted by
    # machine, under cuts, restarts, freezes, late answers and names that are used again.
    fleet = NoticeFleet(seed)
    fleet.run(30_000.0)
    assert fleet.violations() == []
    # Requests are served while an upstream takes them.
    assert fleet.wrongly_refused() == []


def test_a_restarted_node_keeps_the_rests_that_its_machine_was_asked_for() -> None:
    # Guards against requests of the next process of a machine in a rest, also while all upstreams
    # rest for it and it would otherwise use those that rest for others.
    fleet = NoticeFleet(1, machines=2, quiet=True)
    fleet.run(1_000.0)
    items = [server.item for server in fleet.servers]
    for item in items:
        fleet.machine(0).placement.notices.observe(item, False, 5_000.0, 990.0, 1_000.0)
    fleet.advance(1_500.0)
    fleet.restart(0)
    fleet.advance(2_500.0)
    restarted, other = fleet.machine(0).placement, fleet.machine(1).placement
    assert restarted.choose("s", Demand(), (), 2_500.0) is None
    assert all(restarted.notices.rest_left_ms(item, 5_900.0) is not None for item in items)
    assert other.choose("s", Demand(), (), 2_500.0) is not None
    assert restarted.choose("s", Demand(), (), 7_100.0) is not None


def test_the_leader_does_not_merge_the_notices_of_all_nodes_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Traffic: a release while hundreds of nodes poll. Guards against work of the leader that grows
    # with the square of the number of nodes.
    merges: list[float] = []

    def count(workloads: Iterable[tuple[Workload, float]]) -> object:
        merges.append(1.0)
        return merge_notices(workloads)

    monkeypatch.setattr(workload_sums, "merge_notices", count)
    fleet = NoticeFleet(1, machines=60)
    fleet.run(3_000.0)
    assert 0 < len(merges) <= 3_000.0 / workload_sums.NOTICES_INTERVAL_MS + 1


@pytest.mark.parametrize("absent_ms", [0.0, RESTART_GAP_MS, 40_000.0])
def test_a_rest_outlasts_the_absence_of_a_run_from_the_list(absent_ms: float) -> None:
    # Guards against requests in a rest because the list lacked the entry of the run, or showed it
    # as leaving for a time. The time of its start tells that it is the same run.
    state = notices(upstream())
    state.observe(upstream(), False, 60_000.0, 0.0, 100.0)
    state.set_listed([evolve(upstream(), leaving=True)], 1_000.0)
    for now_ms in range(2_000, 2_000 + int(absent_ms), 1_000):
        state.set_listed([], float(now_ms))
    back_ms = 2_000.0 + absent_ms
    state.set_listed([upstream()], back_ms)
    assert state.usability(upstream(), back_ms) is Usability.NONE
    assert state.rest_left_ms(upstream(), back_ms) is not None
    assert state.usability(upstream(born=8), back_ms) is Usability.FREE
