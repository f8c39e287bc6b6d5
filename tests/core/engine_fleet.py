"""Replay of traffic on a fleet of engines with placement and admission, without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.admission import (
    TimeBudget,
    fallback_wait_ms,
    max_wait_ms,
    retry_delay_ms,
)
from goldcrestridge_core.engine_slots import EngineSlots
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    EntriesChanged,
    FindEngine,
    PrefillCompleted,
    RequestEnded,
)
from goldcrestridge_core.follow_types import InstanceLoad, ServiceWork, UpstreamInstance, Workload
from goldcrestridge_core.placement import Demand, Placement, demand_of
from goldcrestridge_core.types import NodeId, Receive, Send
from goldcrestridge_lab.chunked_engine import ChunkedEngine, PromptSegment, Run, Step

SERVICE = "llm"
# One-way latency between entry nodes on busy machines.
HOP_MS = 8.0
POLL_MS = 500.0


@frozen
class Kind:
    """A kind of request: arrivals per second, sizes in tokens as (mean, sigma, maximum), times."""

    name: str
    rate: float
    shared: tuple[tuple[float, int], ...]  # Per level: mean prefix tokens, count.
    prompt: tuple[float, float, float]
    output: tuple[float, float, float]
    target_ms: float
    limit_ms: float
    gap_ms: float
    priority: int
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # Start ms, end ms, rate factor.


@frozen
class Fleet:
    """The engines of one service and the entry nodes in front of them."""

    engines: int
    slots: int
    memory_tokens: int
    event_tokens: int
    entries: int
    kinds: tuple[Kind, ...]
    admission: bool = True


@define(eq=False)
class Call:
    """A caller's request with all its attempts."""

    kind: Kind
    arrived_ms: float
    parts: tuple[PromptSegment, ...]
    output_tokens: int
    number: int
    attempts: int = 0
    outcome: str = ""
    first_ms: float = 0.0
    last_ms: float = 0.0
    longest_gap_ms: float = 0.0

    @property
    def size(self) -> int:
        return sum(part.tokens for part in self.parts) + 10 * self.output_tokens


@define(eq=False)
class Attempt:
    """One attempt of a call at one entry node."""

    call: Call
    entry: NodeId
    ticket: str
    deadline_ms: float
    run: Run
    instance: UpstreamInstance | None = None
    ended: bool = False


def draw_calls(kinds: tuple[Kind, ...], seconds: float, seed: int) -> list[Call]:
    """Return random calls of all kinds in order of arrival."""
    rng = random.Random(seed)
    numbers = itertools.count()
    calls = []
    for kind in kinds:
        sizes = {
            (level, n): round(mean * rng.uniform(0.5, 1.5))
            for level, (mean, count) in enumerate(kind.shared)
            for n in range(count)
        }
        now_ms = 0.0
        while True:
            start_ms, end_ms, factor = kind.burst
            rate = kind.rate * (factor if start_ms <= now_ms < end_ms else 1.0)
            now_ms += rng.expovariate(rate) * 1_000.0
            if now_ms > seconds * 1_000.0:
                break
            number = next(numbers)
            subject = rng.randrange(kind.shared[-1][1])
            shared = [(level, subject % count) for level, (_mean, count) in enumerate(kind.shared)]
            parts = [PromptSegment(f"{kind.name} {key}", sizes[key]) for key in shared]
            parts.append(PromptSegment(f"own {number}", _size(rng, kind.prompt)))
            calls.append(Call(kind, now_ms, tuple(parts), _size(rng, kind.output), number))
    return sorted(calls, key=lambda call: call.arrived_ms)


def _size(rng: random.Random, size: tuple[float, float, float]) -> int:
    """Draw from a truncated log-normal distribution of a given mean and sigma."""
    mean, sigma, maximum = size
    return round(min(maximum, max(1.0, mean * rng.lognormvariate(-(sigma**2) / 2, sigma))))


@define(eq=False)
class Replay:
    """Replay the calls; afterwards each call has its outcome."""

    fleet: Fleet
    calls: list[Call]
    seed: int = 1
    now_ms: float = 0.0
    engines: dict[str, ChunkedEngine] = field(factory=dict)
    _busy: set[str] = field(factory=set)
    _placements: dict[NodeId, Placement] = field(factory=dict)
    _slots: dict[NodeId, EngineSlots] = field(factory=dict)
    _workloads: dict[NodeId, Workload] = field(factory=dict)
    _attempts: dict[str, Attempt] = field(factory=dict)
    _events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = field(factory=list)
    _order: Any = field(factory=itertools.count)
    _rng: random.Random = field(init=False)

    def run(self) -> Replay:
        """Replay until every call has its outcome."""
        self._set_up()
        while self._events:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self

    def outcomes(self, kind: str) -> Counter[str]:
        """Return how many calls of a kind had each outcome."""
        return Counter(call.outcome for call in self.calls if call.kind.name == kind)

    def _set_up(self) -> None:
        fleet = self.fleet
        self._rng = random.Random(self.seed)
        listed = [
            UpstreamInstance(f"i{n}", SERVICE, f"10.0.0.{n}:80", "dc", fleet.slots, False)
            for n in range(fleet.engines)
        ]
        self.engines = {
            item.instance: ChunkedEngine(
                fleet.slots, fleet.memory_tokens, fleet.event_tokens, self._rng.uniform(0.9, 1.2)
            )
            for item in listed
        }
        names = tuple(NodeId(f"e{n}") for n in range(fleet.entries))
        for number, name in enumerate(names):
            self._placements[name] = Placement("dc", random.Random(number), len(names))
            self._placements[name].set_instances(listed)
            self._slots[name] = EngineSlots(name)
            self._slots[name].handle(EntriesChanged(names), 0.0)
            self._schedule(POLL_MS * number / len(names), self._poll, name)
        for call in self.calls:
            self._schedule(call.arrived_ms, self._arrive, call)

    def _schedule(self, at_ms: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action, args))

    def _poll(self, name: NodeId) -> None:
        """Distribute the workloads of the other nodes, as the control leader does."""
        self._workloads[name] = self._placements[name].workload(self.now_ms)
        others = [item for entry, item in self._workloads.items() if entry != name]
        loads: Counter[str] = Counter()
        for load in itertools.chain.from_iterable(peer.loads for peer in others):
            loads[load.instance] += load.requests
        works = [work for peer in others for work in peer.works]
        total = ServiceWork(
            SERVICE,
            sum(work.short for work in works),
            sum(work.long for work in works),
            sum(work.tight for work in works),
        )
        summed = tuple(InstanceLoad(instance, count) for instance, count in loads.items())
        self._placements[name].set_peer_workload(Workload(summed, (total,)))
        if any(not call.outcome for call in self.calls):
            self._schedule(self.now_ms + POLL_MS, self._poll, name)

    # Life cycle of a call.

    def _arrive(self, call: Call) -> None:
        call.attempts += 1
        entry = self._rng.choice(list(self._placements))
        ticket = f"{call.number} {call.attempts}"
        deadline_ms = call.arrived_ms + call.kind.limit_ms
        run = Run(ticket, call.parts, call.output_tokens, call.kind.priority)
        attempt = Attempt(call, entry, ticket, deadline_ms, run)
        self._attempts[ticket] = attempt
        self._schedule(deadline_ms, self._time_out, attempt)
        demand = self._demand(call)
        placement = self._placements[entry]
        placement.record_arrival(SERVICE, demand, self.now_ms)
        if not self.fleet.admission:
            chosen = placement.choose(SERVICE, demand, (), self.now_ms)
            assert chosen is not None
            self._send(attempt, chosen)
            return
        candidates = tuple(
            Candidate(
                item.instance,
                demand.uncached_work if demand.prefix and number else demand.work,
                demand.memory,
                self.fleet.memory_tokens,
                self.fleet.slots,
            )
            for number, item in enumerate(placement.candidates(SERVICE, demand, (), self.now_ms))
        )
        elapsed_ms = self.now_ms - call.arrived_ms
        budget = TimeBudget(
            call.kind.target_ms,
            call.kind.target_ms - elapsed_ms,
            deadline_ms - self.now_ms,
            call.kind.priority == max(kind.priority for kind in self.fleet.kinds),
        )
        wait_ms, fallback_ms = max_wait_ms(budget), fallback_wait_ms(budget)
        search = FindEngine(
            ticket, candidates, call.kind.priority, wait_ms, fallback_ms, deadline_ms - self.now_ms
        )
        self._post(entry, search)

    def _demand(self, call: Call) -> Demand:
        shared = sum(part.tokens for part in call.parts[:-1])
        total = shared + call.parts[-1].tokens
        tight = call.kind.gap_ms <= self.fleet.event_tokens * 45.0
        expected_tokens = max(1, round(call.output_tokens * self._rng.uniform(0.5, 1.5)))
        return demand_of(call.parts[-2].name, shared, total, expected_tokens, tight)

    def _post(self, entry: NodeId, event: Any) -> None:
        for effect in self._slots[entry].handle(event, self.now_ms):
            match effect:
                case Send(to=to, message=message):
                    hop_ms = HOP_MS * self._rng.uniform(0.5, 1.5)
                    self._schedule(self.now_ms + hop_ms, self._post, to, Receive(entry, message))
                case EngineFound(ticket=ticket, instance=instance):
                    self._on_found(self._attempts[ticket], instance)
                case EngineDenied(ticket=ticket, wait_ms=wait_ms):
                    self._on_denied(self._attempts[ticket], wait_ms)

    def _on_found(self, attempt: Attempt, instance: str) -> None:
        if attempt.ended:
            return
        slots = self.fleet.slots
        self._send(attempt, UpstreamInstance(instance, SERVICE, "", "dc", slots, False))

    def _on_denied(self, attempt: Attempt, wait_ms: float) -> None:
        """Let the caller retry once, after at most a third of its remaining time limit."""
        call = attempt.call
        if attempt.ended:
            return
        attempt.ended = True
        if call.attempts > 1:
            call.outcome = "refused"
            return
        left_ms = attempt.deadline_ms - self.now_ms
        delay_ms = min(retry_delay_ms(wait_ms, self._rng.random()), left_ms / 3.0)
        self._schedule(self.now_ms + delay_ms, self._arrive, call)

    def _send(self, attempt: Attempt, instance: UpstreamInstance) -> None:
        attempt.instance = instance
        self._placements[attempt.entry].record_start(instance)
        self.engines[instance.instance].waiting.append(attempt.run)
        if instance.instance not in self._busy:
            self._busy.add(instance.instance)
            self._step(instance.instance)

    def _step(self, name: str) -> None:
        step = self.engines[name].step()
        if step is None:
            self._busy.discard(name)
            return
        self._schedule(self.now_ms + step.duration_ms, self._on_step_end, name, step)

    def _on_step_end(self, name: str, step: Step) -> None:
        for run in step.events:
            attempt = self._attempts[run.name]
            if not attempt.ended:
                self._on_event(attempt)
        self._step(name)

    def _on_event(self, attempt: Attempt) -> None:
        """Record an event of a stream at its caller."""
        call = attempt.call
        if not call.first_ms:
            call.first_ms = self.now_ms
            if self.fleet.admission:
                self._post(attempt.entry, PrefillCompleted(attempt.ticket))
        else:
            call.longest_gap_ms = max(call.longest_gap_ms, self.now_ms - call.last_ms)
        call.last_ms = self.now_ms
        if attempt.run.generated_tokens >= attempt.run.output_tokens:
            self._end(attempt)
            in_time = call.first_ms - call.arrived_ms <= call.kind.target_ms
            gaps_in_bound = call.longest_gap_ms <= call.kind.gap_ms
            call.outcome = "on time" if in_time and gaps_in_bound else "late"

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        self._end(attempt)
        attempt.call.outcome = "failed"

    def _end(self, attempt: Attempt) -> None:
        attempt.ended = True
        if self.fleet.admission:
            self._post(attempt.entry, RequestEnded(attempt.ticket))
        if attempt.instance is not None:
            self._placements[attempt.entry].record_end(attempt.instance)
            self.engines[attempt.instance.instance].remove(attempt.run)
