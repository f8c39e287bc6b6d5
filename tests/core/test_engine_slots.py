"""Tests of admission to engines: the owner's ledger, and the exchange between nodes."""

from __future__ import annotations

from typing import Any

from goldcrestridge_core.engine_ledger import (
    INITIAL_RUN_MS,
    INITIAL_TOKENS_PER_MS,
    MEMORY_SHARE,
    OVERTAKEN_RUN_FACTOR,
    PROBE_INTERVAL_MS,
    YIELD_MS,
    EngineLedger,
)
from goldcrestridge_core.engine_slots import OWNER_BACKOFF_MS, REPLY_TIMEOUT_MS, EngineAdmission
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    EngineRefusal,
    EngineRequest,
    EntriesChanged,
    FindEngine,
    PrefillCompleted,
    RequestEnded,
    WaitCause,
)
from goldcrestridge_core.types import NodeId, Receive, Send, Tick

NODES = tuple(map(NodeId, "abc"))
WORK = 3_000.0  # Work of one prompt; its prefill takes 100 ms at the initial rate.
PREFILL_MS = WORK / INITIAL_TOKENS_PER_MS


def engine_request(
    ticket: str, longest_ms: float = 500.0, memory: float = 1_000.0, priority: int = 1
) -> EngineRequest:
    return EngineRequest(ticket, "i0", WORK, memory, 100_000.0, 8, priority, longest_ms, 5_000.0)


def find_engine(ticket: str, *instances: str, longest_ms: float = 500.0) -> FindEngine:
    candidates = tuple(Candidate(name, WORK, 1_000.0, 100_000.0, 24) for name in instances)
    return FindEngine(ticket, candidates, 1, longest_ms, longest_ms, 5_000.0)


def refusal_wait(ledger: EngineLedger, request: EngineRequest, now_ms: float) -> float | None:
    """Return the expected wait with which the ledger refused a request, or None if it admitted."""
    answer = ledger.admit(request, now_ms)
    return answer.wait_ms if isinstance(answer, EngineRefusal) else None


class Net:
    """Entry nodes with instant message delivery; nodes in ``down`` receive nothing."""

    def __init__(self) -> None:
        self.nodes = {name: EngineAdmission(name) for name in NODES}
        self.down: set[NodeId] = set()
        self.results: dict[str, EngineFound | EngineDenied] = {}
        for node in self.nodes.values():
            node.handle(EntriesChanged(NODES), 0.0)

    def post(self, name: NodeId, event: Any, now_ms: float = 0.0) -> None:
        for effect in self.nodes[name].handle(event, now_ms):
            if isinstance(effect, Send):
                if effect.to not in self.down:
                    self.post(effect.to, Receive(name, effect.message), now_ms)
            else:
                self.results[effect.ticket] = effect


def test_an_idle_engine_admits_any_prompt_and_a_busy_one_what_begins_in_time() -> None:
    # Guards against an engine that stays idle because a prompt is large, and against an unbounded
    # backlog.
    ledger = EngineLedger()
    assert refusal_wait(ledger, engine_request("r0", longest_ms=0.0, memory=200_000.0), 0.0) is None
    ledger.release("r0", 0.0)
    granted = [refusal_wait(ledger, engine_request(f"r{n}"), 0.0) is None for n in range(1, 10)]
    assert granted == [PREFILL_MS * n <= 500.0 for n in range(9)]


def test_the_expected_wait_is_at_least_that_of_the_oldest_prefill() -> None:
    # Guards against wait estimates that stay too short while the engine is slower than its
    # estimated rate.
    ledger = EngineLedger()
    assert refusal_wait(ledger, engine_request("r0"), 0.0) is None
    assert refusal_wait(ledger, engine_request("r1"), 800.0) == 800.0
    ledger.record_prefill_end("r0", 900.0)
    assert refusal_wait(ledger, engine_request("r2"), 900.0) is None


def test_admissions_stay_within_the_memory_of_an_engine() -> None:
    # Guards against running requests that evict the shared prefixes of later prompts.
    ledger = EngineLedger()
    half = MEMORY_SHARE * 100_000.0 / 2.0
    assert refusal_wait(ledger, engine_request("r0", memory=half), 0.0) is None
    assert refusal_wait(ledger, engine_request("r1", memory=half), 0.0) is None
    assert refusal_wait(ledger, engine_request("r2", longest_ms=0.0, memory=half), 0.0) is not None
    ledger.record_prefill_end("r0", 100.0)
    ledger.record_prefill_end("r1", 200.0)
    assert (
        refusal_wait(ledger, engine_request("r3", longest_ms=0.0, memory=half), 200.0) is not None
    )
    ledger.release("r0", 300.0)
    assert refusal_wait(ledger, engine_request("r4", longest_ms=0.0, memory=half), 300.0) is None


def test_the_expected_wait_for_a_slot_follows_the_run_time() -> None:
    # Guards against refusals for lack of a slot that becomes free within the longest wait.
    ledger = EngineLedger()
    for number in range(8):
        assert refusal_wait(ledger, engine_request(f"r{number}", 5_000.0), 0.0) is None
        ledger.record_prefill_end(f"r{number}", 0.0)
    wait_ms = refusal_wait(ledger, engine_request("next", longest_ms=0.0), 100.0)
    assert wait_ms == INITIAL_RUN_MS / 8
    assert refusal_wait(ledger, engine_request("next", longest_ms=wait_ms), 100.0) is None


def test_an_overtaken_prompt_does_not_count_as_ahead_of_later_ones() -> None:
    # Guards against an engine that refuses urgent requests for the seconds in which a prompt whose
    # answer is lost, or whose entry node was killed, stays in the ledger.
    ledger = EngineLedger()
    assert refusal_wait(ledger, engine_request("lost"), 0.0) is None
    assert refusal_wait(ledger, engine_request("r0"), 1.0) is None
    ledger.record_prefill_end("r0", 200.0)
    assert refusal_wait(ledger, engine_request("r1", longest_ms=0.0), 2_000.0) is None


def test_a_less_urgent_prompt_is_not_overtaken_while_requests_wait_for_slots() -> None:
    # Guards against forecasts that leave out prompts which the engine lets urgent ones pass.
    ledger = EngineLedger()
    for number in range(9):
        assert refusal_wait(ledger, engine_request(f"r{number}", 5_000.0, priority=2), 0.0) is None
    assert refusal_wait(ledger, engine_request("urgent", 5_000.0, priority=0), 1.0) is None
    ledger.record_prefill_end("urgent", 200.0)
    wait_ms = refusal_wait(ledger, engine_request("next", longest_ms=0.0), 950.0)
    assert wait_ms is not None
    assert wait_ms >= 950.0


def test_a_silent_engine_gets_a_probe_after_an_interval() -> None:
    # Guards against an idle engine that stays unused until the time limit of a lost request, and
    # against many requests for an engine that is lost.
    ledger = EngineLedger()
    assert refusal_wait(ledger, engine_request("lost"), 0.0) is None
    before_ms = PROBE_INTERVAL_MS - 1.0
    assert refusal_wait(ledger, engine_request("r0"), before_ms) == before_ms
    assert refusal_wait(ledger, engine_request("r0"), PROBE_INTERVAL_MS) is None
    assert refusal_wait(ledger, engine_request("r1"), PROBE_INTERVAL_MS + 1.0) is not None
    ledger.record_prefill_end("r0", PROBE_INTERVAL_MS + 150.0)
    assert refusal_wait(ledger, engine_request("r1"), PROBE_INTERVAL_MS + 151.0) is None


def test_an_overtaken_request_occupies_its_slot_only_for_the_usual_run_time() -> None:
    # Guards against slots that stay taken until the time limit of requests that are lost.
    ledger = EngineLedger()
    for number in range(7):
        assert refusal_wait(ledger, engine_request(f"lost{number}", 5_000.0), 0.0) is None
    assert refusal_wait(ledger, engine_request("last", 5_000.0), 1.0) is None
    ledger.record_prefill_end("last", 100.0)
    assert refusal_wait(ledger, engine_request("next", longest_ms=0.0), 200.0) is not None
    later_ms = OVERTAKEN_RUN_FACTOR * INITIAL_RUN_MS
    assert refusal_wait(ledger, engine_request("next", longest_ms=0.0), later_ms) is None


def test_a_refusal_names_what_the_wait_consists_of() -> None:
    # Guards against refusals whose cause cannot be told from the log.
    def cause(request: EngineRequest, now_ms: float) -> WaitCause:
        answer = ledger.admit(request, now_ms)
        assert isinstance(answer, EngineRefusal)
        return answer.cause

    ledger = EngineLedger()
    for number in range(4):
        assert refusal_wait(ledger, engine_request(f"r{number}"), 0.0) is None
    assert cause(engine_request("next", longest_ms=0.0), 10.0) is WaitCause.PREFILL
    assert cause(engine_request("next", longest_ms=0.0), 900.0) is WaitCause.OLDEST
    for number in range(4):
        ledger.record_prefill_end(f"r{number}", 900.0)
    big = engine_request("next", longest_ms=0.0, memory=80_000.0)
    assert cause(big, 900.0) is WaitCause.MEMORY
    for number in range(4, 8):
        assert refusal_wait(ledger, engine_request(f"r{number}"), 900.0) is None
        ledger.record_prefill_end(f"r{number}", 900.0)
    assert cause(engine_request("next", longest_ms=0.0), 900.0) is WaitCause.SLOTS


def test_an_admission_that_is_never_released_expires() -> None:
    # Guards against an engine that counts as busy after the loss of the node that used it.
    ledger = EngineLedger()
    for number in range(8):
        assert refusal_wait(ledger, engine_request(f"r{number}", 5_000.0), 0.0) is None
    assert refusal_wait(ledger, engine_request("late", 0.0), 5_900.0) is not None
    assert refusal_wait(ledger, engine_request("later", 0.0), 6_001.0) is None


def test_less_urgent_requests_yield_while_more_urgent_ones_are_refused() -> None:
    # Guards against urgent requests that are refused because less urgent ones, which accept a
    # longer wait, keep the engine's queue too long for them.
    ledger = EngineLedger()
    for number in range(4):
        assert refusal_wait(ledger, engine_request(f"r{number}", 900.0, priority=2), 0.0) is None
    assert refusal_wait(ledger, engine_request("urgent", 300.0, priority=0), 0.0) is not None
    assert refusal_wait(ledger, engine_request("long", 900.0, priority=2), 1.0) is not None
    for number in range(3):
        ledger.record_prefill_end(f"r{number}", 1.0)
    assert refusal_wait(ledger, engine_request("urgent", 300.0, priority=0), 1.0) is None
    assert refusal_wait(ledger, engine_request("long", 900.0, priority=2), YIELD_MS + 1.0) is None


def test_an_urgent_request_that_every_engine_refused_does_not_yield_again() -> None:
    # Guards against refusing the middle priority of three, which yields to the most urgent one,
    # while the least urgent one is admitted elsewhere (ebube-heatline, mix seed 434190990683).
    net = Net()
    for number in range(4):
        net.post(NODES[0], find_engine(f"r{number}", "i0"))
    candidate = Candidate("i0", WORK, 1_000.0, 100_000.0, 24)
    net.post(NODES[0], FindEngine("first", (candidate,), 0, 50.0, 50.0, 5_000.0))
    net.post(NODES[0], FindEngine("middle", (candidate,), 1, 300.0, 2_000.0, 5_000.0))
    assert isinstance(net.results["first"], EngineDenied)
    middle = net.results["middle"]
    assert isinstance(middle, EngineFound)
    assert middle.instance == "i0"
    assert middle.admitted


def test_an_urgent_request_uses_an_engine_without_owner_rather_than_being_refused() -> None:
    # Guards against urgent requests that are refused next to a lost entry node, while less urgent
    # ones are sent to the engines that it owned without admission.
    net = Net()
    names = [f"i{n}" for n in range(20)]
    lost = next(name for name in names if net.nodes[NODES[0]]._owner(name) == "c")
    busy = next(name for name in names if net.nodes[NODES[0]]._owner(name) == "a")
    for number in range(6):
        net.post(NODES[0], find_engine(f"r{number}", busy))
    net.down.add(NODES[2])
    candidates = tuple(Candidate(name, WORK, 1_000.0, 100_000.0, 24) for name in (lost, busy))
    net.post(NODES[0], FindEngine("urgent", candidates, 0, 100.0, 400.0, 5_000.0))
    net.post(NODES[0], FindEngine("least urgent", candidates, 2, 100.0, 100.0, 5_000.0))
    net.post(NODES[0], Tick(), REPLY_TIMEOUT_MS)
    assert net.results["urgent"] == EngineFound("urgent", lost, admitted=False)
    assert isinstance(net.results["least urgent"], EngineDenied)


def test_nodes_share_one_ledger_for_each_engine() -> None:
    # Guards against nodes that each admit a full backlog to the same engine.
    net = Net()
    for number in range(12):
        net.post(NODES[number % 3], find_engine(f"r{number}", "i0"))
    found = [name for name, result in net.results.items() if isinstance(result, EngineFound)]
    assert len(found) == 6
    net.post(NODES[0], PrefillCompleted("r0"), 100.0)
    net.post(NODES[0], RequestEnded("r0"), 150.0)
    net.post(NODES[1], find_engine("next", "i0"), 150.0)
    assert isinstance(net.results["next"], EngineFound)


def test_a_request_goes_to_the_next_engine_when_the_first_is_busy() -> None:
    net = Net()
    for number in range(6):
        net.post(NODES[0], find_engine(f"r{number}", "i0"))
    net.post(NODES[1], find_engine("next", "i0", "i1"))
    assert net.results["next"] == EngineFound("next", "i1")


def test_a_caller_that_leaves_during_the_search_keeps_no_admission() -> None:
    # Guards against admissions that leak when the owner's answer crosses the end of the caller.
    net = Net()
    node = net.nodes[NODES[0]]
    name = next(name for name in ("i0", "i1", "i2", "i3") if node._owner(name) != "a")
    owner = node._owner(name)
    sent = node.handle(find_engine("r0", name), 0.0)
    node.handle(RequestEnded("r0"), 1.0)
    for effect in sent:
        net.post(owner, Receive(NODES[0], effect.message), 2.0)
    assert (
        refusal_wait(net.nodes[owner]._ledgers[name], engine_request("x", longest_ms=0.0), 3.0)
        is None
    )


def test_a_final_request_that_its_owner_does_not_answer_is_not_refused() -> None:
    # Guards against an urgent request that is refused because the owner of an engine within its
    # fallback wait answered the final request late.
    net = Net()
    node = net.nodes[NODES[0]]
    name = next(name for name in map("i{}".format, range(20)) if node._owner(name) != NODES[0])
    for number in range(4):
        net.post(NODES[0], find_engine(f"r{number}", name))
    candidate = Candidate(name, WORK, 1_000.0, 100_000.0, 24)
    urgent = FindEngine("urgent", (candidate,), 0, 100.0, 2_000.0, 5_000.0)
    first_requests = [effect for effect in node.handle(urgent, 0.0) if isinstance(effect, Send)]
    owner = net.nodes[node._owner(name)]
    (refusal,) = owner.handle(Receive(NODES[0], first_requests[0].message), 1.0)
    node.handle(Receive(owner.node_id, refusal.message), 2.0)
    (found,) = node.handle(Tick(), 2.0 + REPLY_TIMEOUT_MS)
    assert found == EngineFound("urgent", name, admitted=False)


def test_an_unresponsive_owner_costs_one_timeout_and_its_engine_is_used_without_it() -> None:
    # Guards against requests that fail, or that all wait, while the owner of an engine is lost.
    net = Net()
    name = next(
        name for name in map("i{}".format, range(20)) if net.nodes[NODES[0]]._owner(name) == "c"
    )
    net.down.add(NODES[2])
    net.post(NODES[0], find_engine("r0", name))
    assert "r0" not in net.results
    assert net.nodes[NODES[0]].next_deadline_ms() == REPLY_TIMEOUT_MS
    net.post(NODES[0], Tick(), REPLY_TIMEOUT_MS)
    assert net.results["r0"] == EngineFound("r0", name, admitted=False)
    net.post(NODES[0], find_engine("r1", name), REPLY_TIMEOUT_MS + 1.0)
    assert net.results["r1"] == EngineFound("r1", name, admitted=False)
    net.down.clear()
    net.post(NODES[0], find_engine("r2", name), REPLY_TIMEOUT_MS + OWNER_BACKOFF_MS)
    assert net.results["r2"] == EngineFound("r2", name)
