"""Tests of the placement of forwarded requests, each with the load that it answers."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from goldcrestridge_core.follow_types import InstanceLoad, ServiceWork, UpstreamInstance, Workload
from goldcrestridge_core.placement import (
    LONG_PROMPT_WEIGHT,
    SPILL_FACTOR,
    SPILL_REQUESTS,
    Demand,
    Placement,
    demand_of,
)


def engines(count: int, slots: int = 96, leaving: int = 0) -> list[UpstreamInstance]:
    return [
        UpstreamInstance(f"i{n}", "llm", f"10.0.0.{n}:80", f"dc{n % 3}", slots, n < leaving)
        for n in range(count)
    ]


def placement(instances: list[UpstreamInstance], seed: int = 1) -> Placement:
    made = Placement("dc0", random.Random(seed))
    made.set_instances(instances)
    return made


def test_requests_with_the_same_part_go_to_one_engine_from_every_node() -> None:
    # Load: prompts that share long parts. Guards against nodes that disagree on the engine, so
    # that each engine reads each part.
    nodes = [placement(engines(5), seed) for seed in range(4)]
    for part in map(str, range(50)):
        chosen = {node.choose("llm", Demand(part), (), 0.0).instance for node in nodes}  # type: ignore[union-attr]
        assert len(chosen) == 1


def test_a_hot_part_spills_over_while_others_stay() -> None:
    # Load: one part gets most of the traffic. Guards against an engine that drowns beside idle
    # ones.
    node = placement(engines(5))
    for _ in range(200):
        chosen = node.choose("llm", Demand("hot"), (), 0.0)
        assert chosen is not None
        node.record_start(chosen)
    loads = [node.load(item.instance, 0.0) for item in engines(5)]
    assert max(loads) <= SPILL_FACTOR * sum(loads) / len(loads) + SPILL_REQUESTS + 1
    assert sum(load > 0 for load in loads) >= 4


def test_a_failing_upstream_is_left_alone_and_probed_later() -> None:
    # Load: a crashed upstream stays on the list for seconds. Guards against requests that are sent
    # there all the while, and against one that is never used again.
    node = placement(engines(3))
    broken = engines(3)[0]
    for now_ms in (0.0, 500.0, 1_500.0):
        node.record_failure(broken, now_ms)
    chosen = {node.choose("llm", Demand(), (), 2_000.0).instance for _ in range(50)}  # type: ignore[union-attr]
    assert "i0" not in chosen
    assert node._usable("llm", (), 10_000.0) == engines(3)
    node.record_success(broken, 10_000.0)
    assert any(node.choose("llm", Demand(), (), 10_000.0) == broken for _ in range(50))


def test_leaving_excluded_and_replaced_instances_get_nothing() -> None:
    # Guards against work for a leaving upstream, and for one whose address has a new owner.
    node = placement(engines(4, leaving=1))
    node.mark_replaced(engines(4)[1])
    picked = Counter(node.choose("llm", Demand(str(n)), {"i2"}, 0.0).instance for n in range(40))  # type: ignore[union-attr]
    assert set(picked) == {"i3"}
    assert node.choose("llm", Demand(), {"i2", "i3"}, 0.0) is None
    assert node.choose("unknown", Demand(), (), 0.0) is None


def test_an_upstream_that_fails_part_of_its_requests_is_avoided() -> None:
    # Load: one upstream fails 45% of its requests and its status check is good. Guards against a
    # node that goes on to use it like the others.
    rng = random.Random(3)
    node = placement(engines(3, slots=6))
    picked: Counter[str] = Counter()
    for _ in range(400):
        chosen = node.choose("llm", Demand(), (), 0.0)
        assert chosen is not None
        picked[chosen.instance] += 1
        if chosen.instance == "i0" and rng.random() < 0.45:
            node.record_error_answer(chosen, 0.0)
        else:
            node.record_success(chosen, 0.0)
    assert picked["i0"] < 400 / 6


def test_a_far_upstream_is_used_once_the_near_one_is_busy() -> None:
    # Load: more requests than the near upstream has slots. Guards against bytes between data
    # centres at rest, and against a queue at the near one beside idle far ones.
    node = placement(engines(3, slots=6))
    first = [node.choose("llm", Demand(), (), 0.0) for _ in range(10)]
    assert {item.data_centre for item in first if item} == {"dc0"}
    for _ in range(12):
        chosen = node.choose("llm", Demand(), (), 0.0)
        assert chosen is not None
        node.record_start(chosen)
    assert max(node.load(item.instance, 0.0) for item in engines(3)) <= 6


def test_reported_load_of_other_nodes_counts_until_it_is_old() -> None:
    # Guards against a node that sends to an upstream that others have filled.
    node = placement(engines(2, slots=6))
    near = engines(2, slots=6)[0]
    node.set_reported_load(near, 12, 0.0)
    assert node.choose("llm", Demand(), (), 100.0) == engines(2, slots=6)[1]
    assert node.choose("llm", Demand(), (), 5_000.0) == near


def test_long_prompts_get_engines_of_their_own_by_their_share_of_the_work() -> None:
    # Load: long prompts beside streams that bear only short pauses, in changing proportion. Guards
    # against streams whose pauses grow with every prompt that their engine reads, against idle
    # engines kept for either, and against nodes that divide the engines differently.
    nodes = [placement(engines(6), seed) for seed in range(3)]
    short = Demand(partitioned=True, work=1_000.0)
    long = [Demand(str(n), partitioned=True, long=True, work=3_000.0) for n in range(60)]
    everywhere = {nodes[0].choose("llm", short, (), 0.0) for _ in range(60)}
    assert len(everywhere) > 1
    for share, expected in ((0.5, 3), (0.3, 2), (0.02, 1), (0.98, 5)):
        # Shares of the work after long prompts were given their weight.
        work = ServiceWork("llm", 1e6 * (1 - share), 1e6 * share / LONG_PROMPT_WEIGHT)
        for node in nodes:
            node.set_peer_workload(Workload((), (work,)))
        used = {node.choose("llm", demand, (), 0.0) for node in nodes for demand in long}
        assert len(used) == expected
        for node in nodes:
            assert node.choose("llm", short, (), 0.0) not in used


def test_a_small_change_of_the_work_does_not_move_the_division() -> None:
    # Load: work that swings around the middle between two divisions. Guards against parts of
    # prompts that are read again on another engine at every swing.
    node = placement(engines(6))
    demands = [Demand(str(n), partitioned=True, long=True) for n in range(60)]
    divisions = set()
    for share in (0.40, 0.43, 0.40, 0.44, 0.41):
        node.set_peer_workload(
            Workload((), (ServiceWork("llm", 1 - share, share / LONG_PROMPT_WEIGHT),))
        )
        divisions.add(frozenset(node.choose("llm", demand, (), 0.0) for demand in demands))
    assert len(divisions) == 1


def test_two_engines_are_not_divided() -> None:
    # Guards against a service that is left with one engine for each kind after losses.
    node = placement(engines(3))
    node.set_peer_workload(Workload((), (ServiceWork("llm", 1.0, 1.0),)))
    left = {
        node.choose("llm", Demand(partitioned=True, long=n % 2 == 0), {"i0"}, 0.0)
        for n in range(40)
    }
    assert len(left) == 2


def test_the_demand_of_a_request_follows_its_tokens() -> None:
    # Guards against tight streams that are taken for long prompts, and short parts that bind.
    long = demand_of("p", 6_300, 9_190, 52, tight=False)
    short = demand_of("p", 568, 2_368, 24, tight=False)
    assert (long.prefix, long.partitioned, long.long) == ("p", True, True)
    assert (short.prefix, short.partitioned, short.long) == ("", True, False)
    # Reading what is not cached dominates; long contexts cost more for each token.
    assert 2_890 * 1.15 < long.work < 2 * 2_890
    assert 1_800 < short.work < 1.2 * 1_800
    assert not demand_of("p", 0, 9_000, 10, tight=True).long
    assert not demand_of("p", 0, 9_000, 10, tight=None).partitioned


def test_full_engines_for_short_prompts_take_over_some_of_the_others() -> None:
    # Load: a burst of short, urgent streams fills the slots of their engines while long prompts
    # have the larger share of the work. Guards against urgent requests that queue behind each
    # other while less urgent ones are served.
    node = placement(engines(10, slots=24))
    work = ServiceWork("llm", 3e5, 7e5 / LONG_PROMPT_WEIGHT)
    long = [Demand(str(n), partitioned=True, long=True) for n in range(200)]
    node.set_peer_workload(Workload((), (work,)))
    before = {node.choose("llm", demand, (), 0.0).instance for demand in long}  # type: ignore[union-attr]
    assert len(before) == 7
    short = [item.instance for item in engines(10) if item.instance not in before]
    full = tuple(InstanceLoad(instance, 40) for instance in short)
    node.set_peer_workload(Workload(full, (work,)))
    after = {node.choose("llm", demand, (), 0.0).instance for demand in long}  # type: ignore[union-attr]
    assert after < before
    assert len(after) == 10 - 7


def test_tight_streams_have_engines_of_their_own_in_a_large_fleet() -> None:
    # Load: short prompts that come without a pause beside tight streams. Guards against streams
    # whose every step reads a chunk of another prompt.
    work = ServiceWork("llm", 5e5, 5e5 / LONG_PROMPT_WEIGHT, 2e5)
    used: dict[str, set[str]] = {"long": set(), "short": set(), "tight": set()}
    for data_centre, number in itertools.product(("dc0", "dc1", "dc2"), range(100)):
        node = Placement(data_centre, random.Random(number))
        node.set_instances(engines(20, slots=32))
        node.set_peer_workload(Workload((), (work,)))
        for name, demand in (
            ("long", Demand(str(number), partitioned=True, long=True)),
            ("short", Demand(partitioned=True)),
            ("tight", Demand(partitioned=True, tight=True)),
        ):
            chosen = node.choose("llm", demand, (), 0.0)
            assert chosen is not None
            used[name].add(chosen.instance)
    sizes = {name: len(instances) for name, instances in used.items()}
    assert sizes == {"long": 10, "short": 6, "tight": 4}
    assert not used["tight"] & (used["short"] | used["long"])
