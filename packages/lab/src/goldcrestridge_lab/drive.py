"""Virtual-time driver: entry stubs, owners or a baseline, and engine models."""

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
class _Live:
    """A request at its entry node."""

    result: Result
    entry: types.NodeId
    shard: types.ShardId
    request: types.SlotRequest
    grant: types.SlotGrant | None = None
    running: bool = False


@define
class Driver:
    """Run arrivals through roles that speak the slot messages, one per shard.

    ``roles`` are owners or baselines, ``engines`` the models of all upstreams. Messages take
    NETWORK_MS and are neither lost nor reordered; the tests of the owner cover that.
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
    _live: dict[str, _Live] = Factory(dict)
    _ticks: dict[types.ShardId, float] = Factory(dict)
    _wakes: dict[types.UpstreamId, float] = Factory(dict)
    _summaries: dict[types.ShardId, types.ShardSummary] = Factory(dict)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the choice of entry nodes and shards."""
        self._rng = random.Random(self.seed)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        self._counter += 1
        heapq.heappush(self._heap, (at_ms, self._counter, action))

    def run(self, arrivals: Iterable[Arrival], until_ms: float) -> list[Result]:
        """Run until a virtual time and return the results in order of arrival."""
        for arrival in arrivals:
            self.at(arrival.at_ms, partial(self._arrive, arrival))
        for number in range(self.entries):
            first_ms = REPORT_INTERVAL_MS * (number + 1) / self.entries
            self.at(first_ms, partial(self._report, _entry(number)))
        for name in self.engines:
            self._schedule_engine(name)
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        return self.results

    def crash(self, name: types.UpstreamId) -> None:
        """Crash an engine now; its requests fail."""
        for event in self.engines[name].crash(self.now_ms):
            self._engine_event(name, event)

    # Entry stubs.

    def _arrive(self, arrival: Arrival) -> None:
        entry = _entry(self._rng.randrange(self.entries))
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
        live = _Live(Result(arrival), entry, shard, request)
        self.results.append(live.result)
        self._live[arrival.request_id] = live
        self._to_role(shard, entry, request)
        self.at(self.now_ms + arrival.patience_ms, partial(self._abandon, live))

    def _pick_shard(self) -> types.ShardId:
        """Pick the less loaded of two random shards by their latest summaries."""
        shards = list(self.roles)
        if len(shards) == 1:
            return shards[0]
        return min(self._rng.sample(shards, 2), key=self._shard_load)

    def _shard_load(self, shard: types.ShardId) -> float:
        summary = self._summaries.get(shard)
        return sum(summary.waiting) - summary.free_slots if summary else 0.0

    def _to_entry(self, message: Any) -> None:
        if isinstance(message, types.ShardSummary):
            self._summaries[message.shard] = message
            return
        live = self._live.get(getattr(message, "request_id", ""))
        if isinstance(message, types.SlotRefusal) and live is not None:
            live.result.reason = message.reason.value
            live.result.retry_after_ms = message.retry_after_ms
            self._close(live, "refused")
        elif isinstance(message, types.SlotGrant):
            self._granted(live, message)

    def _granted(self, live: _Live | None, grant: types.SlotGrant) -> None:
        if live is None:
            return
        live.grant = grant
        live.result.granted_ms = self.now_ms
        self.at(self.now_ms + NETWORK_MS, partial(self._submit, live))

    def _submit(self, live: _Live) -> None:
        if live.grant is None or live.result.outcome != "open":
            return
        arrival = live.result.arrival
        model = self._advance(live.grant.upstream)
        job = engine.Job(
            arrival.request_id,
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.prefix,
            live.grant.priority,
        )
        answer = model.submit(job, self.now_ms)
        self._schedule_engine(live.grant.upstream)
        if answer is engine.SubmitResult.ACCEPTED:
            live.running = True
            return
        leaving = answer is engine.SubmitResult.LEAVING
        end = types.GrantEnd.LEAVING if leaving else types.GrantEnd.CONNECT_FAILED
        self._release(live, end)
        self._close(live, "failed")

    def _abandon(self, live: _Live) -> None:
        """Let the caller leave if it has no first token yet."""
        if live.result.outcome != "open" or live.result.first_token_ms >= 0.0:
            return
        if live.grant is None:
            cancel = types.SlotCancel(live.request.request_id, 1, live.entry, live.shard)
            self._to_role(live.shard, live.entry, cancel)
        else:
            model = self._advance(live.grant.upstream)
            if live.result.first_token_ms >= 0.0:
                return
            worked = model.job_prefilled_tokens(live.request.request_id)
            model.cancel(live.request.request_id, self.now_ms)
            live.result.wasted_tokens = worked
            self._schedule_engine(live.grant.upstream)
            self._release(live, types.GrantEnd.CANCELLED)
        self._close(live, "abandoned")

    def _release(self, live: _Live, end: types.GrantEnd) -> None:
        if live.grant is None:
            return
        result = live.result
        measured = end is types.GrantEnd.COMPLETED
        release = types.SlotRelease(
            live.request.request_id,
            1,
            live.entry,
            live.shard,
            live.grant.epoch,
            live.grant.grant_id,
            live.grant.upstream,
            end,
            result.delivered_tokens,
            result.first_token_ms - result.granted_ms if measured else -1.0,
            result.inter_token_ms() if measured else -1.0,
        )
        self._to_role(live.shard, live.entry, release)

    def _close(self, live: _Live, outcome: str) -> None:
        live.result.outcome = outcome
        if live.result.ended_ms < 0.0:
            live.result.ended_ms = self.now_ms
        del self._live[live.request.request_id]

    def _report(self, entry: types.NodeId) -> None:
        """Report the grants that an entry node holds and the requests that wait."""
        self.at(self.now_ms + REPORT_INTERVAL_MS, partial(self._report, entry))
        for shard in self.roles:
            lives = [v for v in self._live.values() if v.entry == entry and v.shard == shard]
            held = tuple(self._held(live) for live in lives if live.grant is not None)
            waiting = tuple((v.request.request_id, 1) for v in lives if v.grant is None)
            self._to_role(shard, entry, types.GrantReport(entry, shard, held, waiting))

    def _held(self, live: _Live) -> types.HeldGrant:
        assert live.grant is not None
        request = live.request
        return types.HeldGrant(
            request.request_id,
            1,
            live.grant.epoch,
            live.grant.grant_id,
            live.grant.upstream,
            request.workspace,
            request.site,
            request.class_name,
            request.model,
            request.prompt_tokens,
            self.engines[live.grant.upstream].job_output_tokens(request.request_id),
        )

    # Roles.

    def _to_role(self, shard: types.ShardId, sender: types.NodeId, message: Any) -> None:
        event = types.Receive(sender, message)
        self.at(self.now_ms + NETWORK_MS, partial(self._handle, shard, event))

    def _handle(self, shard: types.ShardId, event: Any) -> None:
        role = self.roles[shard]
        for effect in role.handle(event, self.now_ms):
            if isinstance(effect, types.Send):
                self.at(self.now_ms + NETWORK_MS, partial(self._to_entry, effect.message))
            elif isinstance(effect, types.Count):
                key = (effect.name, effect.labels)
                self.counts[key] = self.counts.get(key, 0.0) + effect.value
            elif isinstance(effect, types.Emit) and effect.kind == "slot_granted":
                live = self._live.get(effect.request_id)
                if live is not None:
                    live.result.floor = dict(effect.detail).get("floor") == 1
        next_ms = role.next_deadline_ms()
        if next_ms is not None and not self.now_ms < self._ticks.get(shard, -1.0) <= next_ms:
            self._ticks[shard] = next_ms
            self.at(max(next_ms, self.now_ms), partial(self._tick, shard, next_ms))

    def _tick(self, shard: types.ShardId, at_ms: float) -> None:
        if self._ticks.get(shard) == at_ms:
            self._ticks[shard] = -1.0
            self._handle(shard, types.Tick())

    # Engines.

    def _advance(self, name: types.UpstreamId) -> engine.Engine:
        model = self.engines[name]
        for event in model.advance(self.now_ms):
            self._engine_event(name, event)
        return model

    def _schedule_engine(self, name: types.UpstreamId) -> None:
        next_ms = self.engines[name].next_ms()
        if next_ms < self._wakes.get(name, float("inf")) or self._wakes[name] < self.now_ms:
            self._wakes[name] = next_ms
            self.at(next_ms, partial(self._wake, name, next_ms))

    def _wake(self, name: types.UpstreamId, at_ms: float) -> None:
        if self._wakes.get(name) != at_ms:
            return
        self._advance(name)
        self._wakes[name] = float("inf")
        self._schedule_engine(name)

    def _engine_event(self, name: types.UpstreamId, event: engine.EngineEvent) -> None:
        if isinstance(event, engine.Delivered):
            for shard in self.roles:
                self._to_role(shard, types.NodeId(name), event.message)
            return
        live = self._live.get(event.job_id)
        if live is None:
            return
        result = live.result
        if isinstance(event, engine.FirstToken):
            result.first_token_ms = event.at_ms
        elif isinstance(event, engine.Finished):
            result.delivered_tokens = event.output_tokens
            result.ended_ms = event.at_ms
            self._release(live, types.GrantEnd.COMPLETED)
            self._close(live, "completed")
        else:
            result.wasted_tokens = event.output_tokens + result.arrival.prompt_tokens
            self._release(live, types.GrantEnd.FAILED)
            self._close(live, "failed")


def _entry(number: int) -> types.NodeId:
    return types.NodeId(f"entry-{number}")


def saturated_rate(
    engines: Iterable[engine.Engine], arrivals: Iterable[Arrival], start_ms: float, end_ms: float
) -> float:
    """Return the output tokens per second of engines whose slots are refilled at once."""
    supply = iter(arrivals)
    tokens = 0
    for model in engines:
        for _ in range(model.spec.slots):
            _feed(model, supply, 0.0)
        tokens -= _fed_until(model, supply, start_ms)
        tokens += _fed_until(model, supply, end_ms)
    return tokens * MS_PER_SECOND / (end_ms - start_ms)


def _fed_until(model: engine.Engine, supply: Iterator[Arrival], until_ms: float) -> int:
    """Run an engine with full slots and return the tokens that it has produced so far."""
    while (at_ms := model.next_ms()) <= until_ms:
        events = model.advance(at_ms)
        for _ in range(sum(isinstance(event, engine.Finished) for event in events)):
            _feed(model, supply, at_ms)
    model.advance(until_ms)
    return model.produced_tokens + sum(
        model.job_output_tokens(job_id) for job_id in model.job_ids()
    )


def _feed(model: engine.Engine, supply: Iterator[Arrival], now_ms: float) -> None:
    arrival = next(supply)
    job = engine.Job(
        arrival.request_id, arrival.prompt_tokens, arrival.output_tokens, arrival.prefix
    )
    model.submit(job, now_ms)
