"""Replay of traffic on a fleet of engines with placement and admission, without sockets."""

from __future__ import annotations

import heapq
import itertools
import math
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
from goldcrestridge_core.demand import Demand, demand_of
from goldcrestridge_core.engine_cache import PromptPart
from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    EntriesChanged,
    FindEngine,
    PrefillCompleted,
    RequestEnded,
    SharedPrompt,
)
from goldcrestridge_core.follow_types import InstanceLoad, ServiceWork, UpstreamInstance, Workload
from goldcrestridge_core.follower import poll_interval_ms
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_lab.chunked_engine import ChunkedEngine, PromptSegment, Run, Step

SERVICE = "llm"
# One-way latency between entry nodes on busy machines.
HOP_MS = 8.0
# Time after which a lost entry node is no longer listed.
UNLISTED_MS = 3_500.0
UNSERVED = ("refused", "failed", "abandoned")
WINDOW_MS = 5_000.0
WINDOW_STEP_MS = 500.0


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
    bursts: tuple[tuple[float, float, float], ...] = ()  # Start ms, end ms, rate factor.

    def rate_at(self, now_ms: float) -> float:
        """Return the arrivals per second, with the bursts at this time."""
        factors = (factor for start, end, factor in self.bursts if start <= now_ms < end)
        return self.rate * math.prod(factors)

    @property
    def patience_ms(self) -> float:
        """Return the longest gap, also before the first event, after which a caller leaves."""
        return max(2_000.0, 4.0 * self.target_ms, 8.0 * self.gap_ms)


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
    lost_answers: float = 0.0  # Share of the requests whose answer never arrives.
    killed: tuple[float, int] = (math.inf, 0)  # Time in ms, number of entry nodes.
    transfer_ms_per_token: float | None = None  # Engines hand parts to each other at this rate.


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
    began_ms: float | None = None  # The engine began an attempt of the call.
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
    answer_lost: bool = False


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
            now_ms += rng.expovariate(kind.rate_at(now_ms)) * 1_000.0
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
    _admission: dict[NodeId, EngineAdmission] = field(factory=dict)
    _workloads: dict[NodeId, Workload] = field(factory=dict)
    _killed: set[NodeId] = field(factory=set)
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
            self._placements[name] = Placement("dc", random.Random(number))
            self._placements[name].set_instances(listed)
            self._admission[name] = EngineAdmission(name)
            self._admission[name].handle(EntriesChanged(names), 0.0)
            poll_ms = poll_interval_ms(fleet.entries)
            self._schedule(poll_ms * number / len(names), self._poll, name)
        for call in self.calls:
            self._schedule(call.arrived_ms, self._arrive, call)
        killed_ms, count = fleet.killed
        if count:
            self._schedule(killed_ms, self._kill, names[:count])
            self._schedule(killed_ms + UNLISTED_MS, self._unlist, names[count:])

    def _kill(self, names: tuple[NodeId, ...]) -> None:
        """Stop entry nodes: their requests end, and nothing is reported to the engine owners."""
        self._killed.update(names)
        for attempt in self._attempts.values():
            if attempt.entry in self._killed and not attempt.ended:
                attempt.ended = True
                attempt.call.outcome = "lost with its node"
                if attempt.instance is not None:
                    self.engines[attempt.instance.instance].remove(attempt.run)

    def _unlist(self, names: tuple[NodeId, ...]) -> None:
        for name in names:
            self._post(name, EntriesChanged(names))
        self._workloads = {name: self._workloads[name] for name in names}

    def _schedule(self, at_ms: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action, args))

    def _poll(self, name: NodeId) -> None:
        """Distribute the workloads of the other nodes, as the control leader does."""
        if name in self._killed:
            return
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
            poll_ms = poll_interval_ms(self.fleet.entries)
            self._schedule(self.now_ms + poll_ms, self._poll, name)

    # Life cycle of a call.

    def _arrive(self, call: Call) -> None:
        call.attempts += 1
        entry = self._rng.choice([name for name in self._placements if name not in self._killed])
        ticket = f"{call.number} {call.attempts}"
        deadline_ms = call.arrived_ms + call.kind.limit_ms
        run = Run(ticket, call.parts, call.output_tokens, call.kind.priority)
        attempt = Attempt(call, entry, ticket, deadline_ms, run)
        attempt.answer_lost = self._rng.random() < self.fleet.lost_answers
        self._attempts[ticket] = attempt
        self._schedule(deadline_ms, self._time_out, attempt)
        self._schedule(self.now_ms + call.kind.patience_ms, self._leave_if_silent, attempt)
        demand, fleet = self._demand(call), self.fleet
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
                fleet.memory_tokens,
                fleet.slots,
            )
            for number, item in enumerate(placement.candidates(SERVICE, demand, (), self.now_ms))
        )
        elapsed_ms = self.now_ms - call.arrived_ms
        time_budget = TimeBudget(
            call.kind.target_ms,
            call.kind.target_ms - elapsed_ms,
            deadline_ms - self.now_ms,
            call.kind.priority == max(kind.priority for kind in self.fleet.kinds),
        )
        wait_ms, fallback_ms = max_wait_ms(time_budget), fallback_wait_ms(time_budget)
        prompt = SharedPrompt(
            demand.parts, demand.prompt_tokens, demand.cached_work, fleet.transfer_ms_per_token
        )
        search = FindEngine(
            ticket,
            candidates,
            call.kind.priority,
            wait_ms,
            fallback_ms,
            deadline_ms - self.now_ms,
            prompt if demand.prefix else None,
        )
        self._post(entry, search)

    def _demand(self, call: Call) -> Demand:
        shared = sum(part.tokens for part in call.parts[:-1])
        total = shared + call.parts[-1].tokens
        tight = call.kind.gap_ms <= self.fleet.event_tokens * 45.0
        expected_tokens = max(1, round(call.output_tokens * self._rng.uniform(0.5, 1.5)))
        parts = tuple(PromptPart(part.name, part.tokens) for part in call.parts[:-1])
        return demand_of(call.parts[-2].name, shared, total, expected_tokens, tight, parts)

    def _post(self, entry: NodeId, event: Any) -> None:
        if entry in self._killed:
            return
        effects = self._admission[entry].handle(event, self.now_ms)
        deadline_ms = self._admission[entry].next_deadline_ms()
        if isinstance(event, FindEngine) and deadline_ms is not None:
            self._schedule(deadline_ms, self._post, entry, Tick())
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    hop_ms = HOP_MS * self._rng.uniform(0.5, 1.5)
                    self._schedule(self.now_ms + hop_ms, self._post, to, Receive(entry, message))
                case EngineFound():
                    self._on_found(self._attempts[effect.ticket], effect)
                case EngineDenied(ticket=ticket, wait_ms=wait_ms):
                    self._on_denied(self._attempts[ticket], wait_ms)

    def _on_found(self, attempt: Attempt, found: EngineFound) -> None:
        if attempt.ended:
            return
        target = UpstreamInstance(found.instance, SERVICE, "", "dc", self.fleet.slots, False)
        if found.fetch:
            prefix = attempt.call.parts[-2].name
            source = self._placements[attempt.entry].part_source(
                SERVICE, prefix, target, found, self.now_ms
            )
            attempt.run.source = None if source is None else self.engines[source.instance]
        self._send(attempt, target)

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
            if attempt.call.began_ms is None:
                attempt.call.began_ms = self.now_ms
            if not attempt.ended and not attempt.answer_lost:
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
        self._schedule(self.now_ms + call.kind.patience_ms, self._leave_if_silent, attempt)
        if attempt.run.generated_tokens >= attempt.run.output_tokens:
            self._end(attempt)
            in_time = call.first_ms - call.arrived_ms <= call.kind.target_ms
            gaps_in_bound = call.longest_gap_ms <= call.kind.gap_ms
            call.outcome = "on time" if in_time and gaps_in_bound else "late"

    def _leave_if_silent(self, attempt: Attempt) -> None:
        """End an attempt whose caller has received no event for the time that it is patient."""
        call = attempt.call
        if not attempt.ended and self.now_ms - call.last_ms >= call.kind.patience_ms:
            self._end(attempt)
            call.outcome = "abandoned"

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


@frozen
class Inversion:
    """A window in which a kind got nothing while a less urgent, larger kind was started."""

    kind: str
    start_ms: float
    arrived: int
    unserved: int
    less_urgent_began: int


def priority_inversions(calls: list[Call], window_ms: float = WINDOW_MS) -> list[Inversion]:
    """Return the windows in which ten or more and over a twelfth of a kind got nothing.

    They count only if less urgent calls of over twice their size began at an engine meanwhile.
    """
    kinds = {call.kind.name: call.kind for call in calls}
    mean_size = {
        name: sum(call.size for call in calls if call.kind is kind)
        / sum(call.kind is kind for call in calls)
        for name, kind in kinds.items()
    }
    found = []
    last_ms = max(call.arrived_ms for call in calls)
    for step in range(int(max(0.0, last_ms - window_ms) / WINDOW_STEP_MS) + 1):
        start_ms = WINDOW_STEP_MS * step
        end_ms = start_ms + window_ms
        arrived = [call for call in calls if start_ms <= call.arrived_ms < end_ms]
        for name, kind in kinds.items():
            own = [call for call in arrived if call.kind is kind]
            unserved = sum(call.outcome in UNSERVED for call in own)
            began = sum(
                call.began_ms is not None
                and start_ms <= call.began_ms < end_ms
                and call.kind.priority > kind.priority
                and call.size > 2.0 * mean_size[name]
                for call in calls
            )
            if unserved >= 10 and unserved > len(own) / 12.0 and began:
                found.append(Inversion(name, start_ms, len(own), unserved, began))
    return found
