"""Drive entry stubs, shard owners or a baseline, and engine models in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

from attrs import Factory, define, field

from goldcrestridge_core import types
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration
from goldcrestridge_lab import engine
from goldcrestridge_lab.measure import Result
from goldcrestridge_lab.traffic import Arrival

NETWORK_MS = 1.0
REPORT_INTERVAL_MS = 500.0


@define(eq=False)
class _ActiveRequest:
    """A request that its entry node has not finished."""

    result: Result
    entry: types.NodeId
    shard: types.ShardId
    request: types.SlotRequest
    grant: types.SlotGrant | None = None
    running: bool = False


@define
class Driver:
    """Run arrivals through one role per shard that handles the slot messages.

    ``roles`` are shard owners or baselines; ``engines`` are the models of all upstreams. Each
    message takes NETWORK_MS. Messages are neither lost nor reordered; the tests of the owner cover
    these cases. ``counts`` sums the counters of the roles by name and labels.
    """

    cfg: Configuration
    roles: dict[types.ShardId, types.Role]
    engines: dict[types.UpstreamId, engine.Engine]
    entries: int = 1
    seed: int = 1
    now_ms: float = 0.0
    results: list[Result] = Factory(list)
    counts: dict[tuple[str, types.Labels], float] = Factory(dict)
    _heap: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    _counter: int = 0
    _active: dict[str, _ActiveRequest] = Factory(dict)
    _role_deadlines: dict[types.ShardId, float] = Factory(dict)
    _engine_wakeups: dict[types.UpstreamId, float] = Factory(dict)
    _summaries: dict[types.ShardId, types.ShardSummary] = Factory(dict)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the choice of entry nodes and shards."""
        self._rng = random.Random(self.seed)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._counter += 1
        heapq.heappush(self._heap, (at_ms, self._counter, action))

    def run(self, arrivals: Iterable[Arrival], until_ms: float) -> list[Result]:
        """Run until a virtual time and return the results, ordered by arrival."""
        for arrival in arrivals:
            self.schedule(arrival.at_ms, partial(self._arrive, arrival))
        for number in range(self.entries):
            first_ms = REPORT_INTERVAL_MS * (number + 1) / self.entries
            self.schedule(first_ms, partial(self._report, _entry_id(number)))
        for name in self.engines:
            self._schedule_engine(name)
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        return self.results

    def crash(self, name: types.UpstreamId) -> None:
        """Crash an engine now, which fails its requests."""
        for event in self.engines[name].crash(self.now_ms):
            self._engine_event(name, event)

    # Entry stubs: each sends slot messages for its callers and submits granted requests.

    def _arrive(self, arrival: Arrival) -> None:
        entry = _entry_id(self._rng.randrange(self.entries))
        shard = self._pick_shard()
        request = types.SlotRequest(
            arrival.request_id,
            1,
            entry,
            shard,
            arrival.workspace,
            arrival.site,
            arrival.class_name,
            arrival.model,
            arrival.prompt_tokens,
            arrival.max_tokens,
            arrival.prefix,
            0.0,
            self.cfg.classes[arrival.class_name].queue_timeout_ms,
        )
        active = _ActiveRequest(Result(arrival), entry, shard, request)
        self.results.append(active.result)
        self._active[arrival.request_id] = active
        self._send_to_role(shard, entry, request)
        self.schedule(self.now_ms + arrival.abandon_after_ms, partial(self._abandon, active))

    def _pick_shard(self) -> types.ShardId:
        """Return the less loaded of two random shards, by their latest summaries."""
        shards = list(self.roles)
        if len(shards) == 1:
            return shards[0]
        return min(self._rng.sample(shards, 2), key=self._shard_load)

    def _shard_load(self, shard: types.ShardId) -> float:
        summary = self._summaries.get(shard)
        return sum(summary.waiting) - summary.free_slots if summary else 0.0

    def _deliver_to_entry(self, message: Any) -> None:
        if isinstance(message, types.ShardSummary):
            self._summaries[message.shard] = message
            return
        active = self._active.get(getattr(message, "request_id", ""))
        if isinstance(message, types.SlotRefusal) and active is not None:
            active.result.reason = message.reason.value
            active.result.retry_after_ms = message.retry_after_ms
            self._close(active, "refused")
        elif isinstance(message, types.SlotGrant):
            self._on_grant(active, message)

    def _on_grant(self, active: _ActiveRequest | None, grant: types.SlotGrant) -> None:
        if active is None:
            return
        active.grant = grant
        active.result.granted_ms = self.now_ms
        self.schedule(self.now_ms + NETWORK_MS, partial(self._submit, active))

    def _submit(self, active: _ActiveRequest) -> None:
        if active.grant is None or active.result.outcome != "open":
            return
        arrival = active.result.arrival
        model = self._advance(active.grant.upstream)
        job = engine.Job(
            arrival.request_id,
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.prefix,
            active.grant.priority,
        )
        answer = model.submit(job, self.now_ms)
        self._schedule_engine(active.grant.upstream)
        if answer is engine.SubmitResult.ACCEPTED:
            active.running = True
            return
        leaving = answer is engine.SubmitResult.LEAVING
        end = types.GrantEnd.LEAVING if leaving else types.GrantEnd.CONNECT_FAILED
        self._release(active, end)
        self._close(active, "failed")

    def _abandon(self, active: _ActiveRequest) -> None:
        """Cancel a request whose caller has not received the first token in time."""
        if active.result.outcome != "open" or active.result.first_token_ms >= 0.0:
            return
        if active.grant is None:
            cancel = types.SlotCancel(active.request.request_id, 1, active.entry, active.shard)
            self._send_to_role(active.shard, active.entry, cancel)
        else:
            model = self._advance(active.grant.upstream)
            if active.result.first_token_ms >= 0.0:
                return
            prefilled_tokens = model.job_prefilled_tokens(active.request.request_id)
            model.cancel(active.request.request_id, self.now_ms)
            active.result.wasted_tokens = prefilled_tokens
            self._schedule_engine(active.grant.upstream)
            self._release(active, types.GrantEnd.CANCELLED)
        self._close(active, "abandoned")

    def _release(self, active: _ActiveRequest, end: types.GrantEnd) -> None:
        if active.grant is None:
            return
        result = active.result
        measured = end is types.GrantEnd.COMPLETED
        release = types.SlotRelease(
            active.request.request_id,
            1,
            active.entry,
            active.shard,
            active.grant.epoch,
            active.grant.grant_id,
            active.grant.upstream,
            end,
            result.delivered_tokens,
            result.first_token_ms - result.granted_ms if measured else -1.0,
            result.inter_token_ms() if measured else -1.0,
        )
        self._send_to_role(active.shard, active.entry, release)

    def _close(self, active: _ActiveRequest, outcome: str) -> None:
        active.result.outcome = outcome
        if active.result.ended_ms < 0.0:
            active.result.ended_ms = self.now_ms
        del self._active[active.request.request_id]

    def _report(self, entry: types.NodeId) -> None:
        """Report the grants and waiting requests of an entry node, every REPORT_INTERVAL_MS."""
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, partial(self._report, entry))
        for shard in self.roles:
            active_requests = [
                active
                for active in self._active.values()
                if active.entry == entry and active.shard == shard
            ]
            held = tuple(
                self._held_grant(active) for active in active_requests if active.grant is not None
            )
            waiting = tuple(
                (active.request.request_id, 1) for active in active_requests if active.grant is None
            )
            self._send_to_role(shard, entry, types.GrantReport(entry, shard, held, waiting))

    def _held_grant(self, active: _ActiveRequest) -> types.HeldGrant:
        assert active.grant is not None
        request = active.request
        return types.HeldGrant(
            request.request_id,
            1,
            active.grant.epoch,
            active.grant.grant_id,
            active.grant.upstream,
            request.workspace,
            request.site,
            request.class_name,
            request.model,
            request.prompt_tokens,
            self.engines[active.grant.upstream].job_output_tokens(request.request_id),
        )

    # Roles: messages reach them after NETWORK_MS, ticks at their deadlines.

    def _send_to_role(self, shard: types.ShardId, sender: types.NodeId, message: Any) -> None:
        event = types.Receive(sender, message)
        self.schedule(self.now_ms + NETWORK_MS, partial(self._deliver_to_role, shard, event))

    def _deliver_to_role(self, shard: types.ShardId, event: Any) -> None:
        role = self.roles[shard]
        for effect in role.handle(event, self.now_ms):
            if isinstance(effect, types.Send):
                self.schedule(
                    self.now_ms + NETWORK_MS, partial(self._deliver_to_entry, effect.message)
                )
            elif isinstance(effect, types.Count):
                key = (effect.name, effect.labels)
                self.counts[key] = self.counts.get(key, 0.0) + effect.value
            elif isinstance(effect, types.Emit) and effect.kind == "slot_granted":
                active = self._active.get(effect.request_id)
                if active is not None:
                    active.result.granted_by_floor = dict(effect.detail).get("floor") == 1
        next_ms = role.next_deadline_ms()
        if (
            next_ms is not None
            and not self.now_ms < self._role_deadlines.get(shard, -1.0) <= next_ms
        ):
            self._role_deadlines[shard] = next_ms
            self.schedule(max(next_ms, self.now_ms), partial(self._tick_role, shard, next_ms))

    def _tick_role(self, shard: types.ShardId, at_ms: float) -> None:
        if self._role_deadlines.get(shard) == at_ms:
            self._role_deadlines[shard] = -1.0
            self._deliver_to_role(shard, types.Tick())

    # Engine models: advanced at their next event and before each submission or cancellation.

    def _advance(self, name: types.UpstreamId) -> engine.Engine:
        model = self.engines[name]
        for event in model.advance(self.now_ms):
            self._engine_event(name, event)
        return model

    def _schedule_engine(self, name: types.UpstreamId) -> None:
        next_ms = self.engines[name].next_ms()
        if (
            next_ms < self._engine_wakeups.get(name, float("inf"))
            or self._engine_wakeups[name] < self.now_ms
        ):
            self._engine_wakeups[name] = next_ms
            self.schedule(next_ms, partial(self._wake_engine, name, next_ms))

    def _wake_engine(self, name: types.UpstreamId, at_ms: float) -> None:
        if self._engine_wakeups.get(name) != at_ms:
            return
        self._advance(name)
        self._engine_wakeups[name] = float("inf")
        self._schedule_engine(name)

    def _engine_event(self, name: types.UpstreamId, event: engine.EngineEvent) -> None:
        if isinstance(event, engine.Delivered):
            for shard in self.roles:
                self._send_to_role(shard, types.NodeId(name), event.message)
            return
        active = self._active.get(event.job_id)
        if active is None:
            return
        result = active.result
        if isinstance(event, engine.FirstToken):
            result.first_token_ms = event.at_ms
        elif isinstance(event, engine.Finished):
            result.delivered_tokens = event.output_tokens
            result.ended_ms = event.at_ms
            self._release(active, types.GrantEnd.COMPLETED)
            self._close(active, "completed")
        else:
            result.wasted_tokens = event.output_tokens + result.arrival.prompt_tokens
            self._release(active, types.GrantEnd.FAILED)
            self._close(active, "failed")


def _entry_id(number: int) -> types.NodeId:
    return types.NodeId(f"entry-{number}")


def saturated_rate(
    engines: Iterable[engine.Engine], arrivals: Iterable[Arrival], start_ms: float, end_ms: float
) -> float:
    """Return the output tokens per second of engines that are never short of requests.

    A new request starts in each slot as soon as the previous one has finished. The figure is the
    goodput capacity of the engines in the interval.
    """
    remaining_arrivals = iter(arrivals)
    tokens = 0
    for model in engines:
        for _ in range(model.spec.slots):
            _submit_next(model, remaining_arrivals, 0.0)
        tokens -= _run_saturated(model, remaining_arrivals, start_ms)
        tokens += _run_saturated(model, remaining_arrivals, end_ms)
    return tokens * MS_PER_SECOND / (end_ms - start_ms)


def _run_saturated(
    model: engine.Engine, remaining_arrivals: Iterator[Arrival], until_ms: float
) -> int:
    """Run an engine with all slots in use and return its output tokens since time 0."""
    while (at_ms := model.next_ms()) <= until_ms:
        events = model.advance(at_ms)
        for _ in range(sum(isinstance(event, engine.Finished) for event in events)):
            _submit_next(model, remaining_arrivals, at_ms)
    model.advance(until_ms)
    return model.produced_tokens + sum(
        model.job_output_tokens(job_id) for job_id in model.job_ids()
    )


def _submit_next(
    model: engine.Engine, remaining_arrivals: Iterator[Arrival], now_ms: float
) -> None:
    arrival = next(remaining_arrivals)
    job = engine.Job(
        arrival.request_id, arrival.prompt_tokens, arrival.output_tokens, arrival.prefix
    )
    model.submit(job, now_ms)
