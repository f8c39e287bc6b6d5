"""Tests of the model of what an engine holds, and of the decisions that follow from it."""

from __future__ import annotations

import random
from typing import Any

import pytest
from attrs import evolve

from goldcrestridge_core.demand import Demand, demand_of
from goldcrestridge_core.engine_cache import MAX_HELD_PARTS, EngineCache, PromptPart
from goldcrestridge_core.engine_ledger import (
    CACHE_UNKNOWN_MS,
    IDLE_LEDGER_MS,
    EngineLedger,
)
from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineFound,
    EngineGrant,
    EngineRefusal,
    EngineRequest,
    EngineStarted,
    EntriesChanged,
    FindEngine,
    SharedPrompt,
)
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.types import NodeId, Receive

FIRST, SECOND = PromptPart("first", 2_400), PromptPart("second", 3_600)
PARTS = (FIRST, SECOND)
FAST_MS_PER_TOKEN = 0.0004
KNOWN_MS = CACHE_UNKNOWN_MS  # By then an owner knows what the engine holds.


def demand(parts: tuple[PromptPart, ...] = PARTS) -> Demand:
    shared = sum(part.tokens for part in parts)
    return demand_of(parts[-1].key, shared, shared + 1_000, 50, tight=False, parts=parts)


def request(
    ticket: str,
    parts: tuple[PromptPart, ...] = PARTS,
    transfer_ms_per_token: float | None = FAST_MS_PER_TOKEN,
    **changes: Any,
) -> EngineRequest:
    need = demand(parts)
    prompt = SharedPrompt(parts, need.prompt_tokens, need.cached_work, transfer_ms_per_token)
    first = EngineRequest(
        ticket, "i0", need.work, need.memory, 100_000.0, 8, 1, 1e6, 5_000.0, prompt=prompt
    )
    return evolve(first, **changes)


def known_ledger() -> EngineLedger:
    ledger = EngineLedger(since_ms=0.0)
    ledger.admit(request("warm", (PromptPart("other", 1_000),)), 0.0)
    ledger.release("warm", 1.0)
    return ledger


def grant(ledger: EngineLedger, req: EngineRequest, now_ms: float = KNOWN_MS) -> EngineGrant:
    answer = ledger.admit(req, now_ms)
    assert isinstance(answer, EngineGrant)
    return answer


# The model.


def test_a_part_is_held_only_behind_all_parts_before_it() -> None:
    # Guards against a forecast that counts a part as held which the engine has to read again.
    cache = EngineCache()
    cache.begin("r0", PARTS, 100_000.0)
    assert cache.held_tokens(PARTS) == 6_000
    assert cache.held_tokens((PromptPart("new", 10), SECOND)) == 0
    assert cache.held_tokens((FIRST, PromptPart("new", 10))) == 2_400


def test_a_part_can_be_handed_over_only_once_it_was_read() -> None:
    # Guards against a source that has nothing to hand over yet.
    cache = EngineCache()
    cache.begin("r0", PARTS, 100_000.0)
    assert cache.read_tokens(PARTS) == 0
    cache.record_read(PARTS)
    assert cache.read_tokens(PARTS) == 6_000


def test_a_prompt_that_ends_before_it_was_read_leaves_no_part() -> None:
    # Guards against parts that are taken for held after a crash or a caller that left.
    cache = EngineCache()
    cache.begin("r0", (FIRST,), 100_000.0)
    cache.record_read((FIRST,))
    cache.begin("r1", PARTS, 100_000.0)
    cache.cancel("r1", PARTS)
    assert cache.held_tokens(PARTS) == 2_400


def test_the_least_recently_used_parts_are_evicted_and_the_last_of_a_prompt_first() -> None:
    # Guards against a model that grows without bound, or forgets what the engine keeps.
    cache = EngineCache()
    cache.begin("r0", PARTS, 7_000.0)
    cache.begin("r1", (PromptPart("third", 3_000),), 7_000.0)
    assert cache.held_tokens(PARTS) == 2_400
    cache.begin("r2", (PromptPart("huge", 9_000),), 7_000.0)
    assert cache.held_tokens((PromptPart("huge", 9_000),)) == 9_000
    for number in range(MAX_HELD_PARTS + 10):
        cache.begin("r3", (PromptPart(str(number), 0),), 7_000.0)
    assert len(cache._parts) == MAX_HELD_PARTS


# The forecast.


def test_the_work_of_a_prompt_is_what_the_engine_really_has_to_read() -> None:
    # Guards against prompts that are refused although the engine holds most of them, and against
    # prompts that count as short on an engine that holds nothing of them.
    ledger = known_ledger()
    grant(ledger, request("cold"))
    cold_ms = ledger._expected_wait(request("next"), KNOWN_MS)[0]
    ledger.record_prefill_end("cold", KNOWN_MS + 100.0)
    grant(ledger, request("held"), KNOWN_MS + 100.0)
    held_ms = ledger._expected_wait(request("next"), KNOWN_MS + 100.0)[0]
    assert cold_ms * ledger.tokens_per_ms > demand().uncached_work * 0.9
    assert held_ms * ledger.tokens_per_ms < demand().cached_work * 1.1


def test_an_owner_that_knows_nothing_of_an_engine_uses_the_usual_share_of_misses() -> None:
    # Guards against a new owner that takes an engine full of shared parts for an empty one.
    ledger = EngineLedger(since_ms=0.0)
    grant(ledger, request("r0"), 1.0)
    wait_ms = ledger._expected_wait(request("next"), 1.0)[0]
    assert wait_ms == pytest.approx(demand().work / ledger.tokens_per_ms)


def test_a_part_that_can_be_fetched_counts_as_its_transfer_and_not_as_read() -> None:
    # Guards against refusals for the time to read parts that another engine hands over.
    ledger = known_ledger()
    granted = grant(ledger, request("r0", fetchable_tokens=6_000))
    assert (granted.missing_tokens, granted.fetch) == (6_000, True)
    wait_ms = ledger._expected_wait(request("next"), KNOWN_MS)[0]
    assert wait_ms * ledger.tokens_per_ms < demand().cached_work * 1.1


@pytest.mark.parametrize("transfer_ms_per_token", [None, 1.0])
def test_parts_are_read_where_a_transfer_is_slower_or_not_offered(
    transfer_ms_per_token: float | None,
) -> None:
    # Guards against transfers over a slow link, and at a service whose engines offer none.
    granted = grant(known_ledger(), request("r0", PARTS, transfer_ms_per_token))
    assert (granted.missing_tokens, granted.fetch) == (6_000, False)


def test_an_engine_that_started_again_under_its_name_holds_nothing() -> None:
    # Guards against a source that came back empty under the same name.
    ledger = known_ledger()
    grant(ledger, request("r0", born=5))
    ledger.record_prefill_end("r0", KNOWN_MS + 1.0)
    assert grant(ledger, request("r1", born=5), KNOWN_MS + 2.0).missing_tokens == 0
    assert grant(ledger, request("r2", born=6), KNOWN_MS + 3.0).missing_tokens == 6_000


def test_a_refusal_tells_what_the_engine_holds() -> None:
    # Guards against a second engine that reads again what the first could hand over.
    ledger = known_ledger()
    grant(ledger, request("r0"))
    refusal = ledger.admit(request("r1", longest_ms=0.0), KNOWN_MS)
    assert isinstance(refusal, EngineRefusal)
    assert refusal.held_tokens == 0
    ledger.record_prefill_end("r0", KNOWN_MS + 1.0)
    grant(ledger, request("r2"), KNOWN_MS + 1.0)
    refusal = ledger.admit(request("r3", longest_ms=0.0), KNOWN_MS + 1.0)
    assert isinstance(refusal, EngineRefusal)
    assert refusal.held_tokens == 6_000


# The exchange between nodes.


def exchange(owner: NodeId, name: str, event: FindEngine) -> tuple[EngineAdmission, list[Any]]:
    """Return a node that does not own the engines, and the messages that it sends first."""
    node = EngineAdmission(NodeId(name))
    node.handle(EntriesChanged((owner,)), 0.0)
    return node, node.handle(event, 0.0)


def find(*instances: str) -> FindEngine:
    need = demand()
    candidates = tuple(
        Candidate(name, need.work, need.memory, 100_000.0, 8, born=3) for name in instances
    )
    prompt = SharedPrompt(PARTS, need.prompt_tokens, need.cached_work, FAST_MS_PER_TOKEN)
    return FindEngine("t", candidates, 1, 500.0, 500.0, 5_000.0, prompt)


def test_a_search_names_the_engine_that_holds_the_parts_and_those_that_hold_none() -> None:
    # Guards against a transfer from an engine that is known to hold nothing.
    owner = NodeId("owner")
    node, _ = exchange(owner, "node", find("i0", "i1", "i2"))
    node.handle(Receive(owner, EngineRefusal("t", "i0", 900.0, held_tokens=0)), 1.0)
    sent = node.handle(Receive(owner, EngineRefusal("t", "i1", 900.0, held_tokens=6_000)), 2.0)
    asked = sent[0].message
    assert isinstance(asked, EngineRequest)
    assert (asked.instance, asked.fetchable_tokens, asked.born) == (
        "i2",
        6_000,
        3,
    )
    granted = EngineGrant("t", "i2", missing_tokens=6_000, fetch=True)
    (found,) = node.handle(Receive(owner, granted), 3.0)
    assert isinstance(found, EngineFound)
    assert (found.missing_tokens, found.fetch) == (6_000, True)
    assert (found.holder, found.empty) == ("i1", ("i0",))


def test_the_ledgers_of_engines_that_left_are_dropped() -> None:
    # Guards against memory that grows with every engine that ever was.
    node = EngineAdmission(NodeId("owner"))
    node.handle(EntriesChanged((NodeId("owner"),)), 0.0)
    for number in range(50):
        now_ms = number * IDLE_LEDGER_MS
        node.handle(Receive(NodeId("n"), evolve(request("t"), instance=f"i{number}")), now_ms)
        node.handle(Receive(NodeId("n"), EngineStarted("t", f"i{number}")), now_ms + 1.0)
    assert len(node._ledgers) < 10


# The choice of a source.


def engines(count: int, **changes: Any) -> list[UpstreamInstance]:
    first = UpstreamInstance("i", "llm", "10.0.0.1:80", "dc", 8, False, weights="m:1")
    return [
        evolve(first, instance=f"i{n}", address=f"10.0.0.{n}:80", **changes) for n in range(count)
    ]


def order_of(placement: Placement) -> list[UpstreamInstance]:
    by_name = {item.instance: item for item in placement._services["llm"]}
    return [by_name[name] for name in placement._prefix_order("llm", "p")]


def placed(items: list[UpstreamInstance]) -> Placement:
    placement = Placement("dc", random.Random(1))
    placement.set_instances(items)
    return placement


def source(placement: Placement, target: UpstreamInstance, found: EngineFound) -> str | None:
    chosen = placement.part_source("llm", "p", target, found, 1_000.0)
    return None if chosen is None else chosen.instance


def test_the_source_is_the_engine_that_said_so_or_the_next_in_the_order_of_the_prefix() -> None:
    # Guards against a source that never got a prompt with these parts.
    placement = placed(engines(5))
    first, second, third, fourth, _ = order_of(placement)
    found = EngineFound("t", first.instance)
    assert source(placement, first, found) == second.instance
    assert source(placement, second, found) == first.instance
    assert source(placement, second, evolve(found, holder=fourth.instance)) == fourth.instance
    assert source(placement, second, evolve(found, empty=(first.instance,))) == third.instance


def test_a_source_that_cannot_be_relied_on_is_passed_over() -> None:
    # Guards against transfers from engines that crashed, leave, want a rest or hold other weights.
    for trouble in ("crashed", "leaves", "rests", "other weights"):
        items = engines(3)
        first, second, third = order_of(placed(items))
        if trouble == "other weights":
            items[items.index(first)] = evolve(first, weights="m:2")
        placement = placed(items)
        if trouble == "crashed":
            placement.record_failure(first, 990.0)
        elif trouble == "leaves":
            placement.notices.observe(first, True, 0.0, 900.0, 950.0)
        elif trouble == "rests":
            placement.notices.observe(first, False, 5_000.0, 900.0, 950.0)
        found = EngineFound("t", second.instance, holder=first.instance)
        assert source(placement, second, found) == third.instance, trouble


def test_without_a_sound_source_the_parts_are_read() -> None:
    # Guards against a request that names an engine which cannot hand over anything.
    placement = placed(engines(2))
    first, second = order_of(placement)
    placement.record_failure(second, 990.0)
    assert source(placement, first, EngineFound("t", first.instance)) is None
    assert source(placed(engines(1)), engines(1)[0], EngineFound("t", "i0")) is None
