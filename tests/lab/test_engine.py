"""Tests of the simulated engine: rates, slots, priorities, cache events, crash and resume."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import types
from goldcrestridge_lab import engine

ENGINE = types.UpstreamId("e")


def make_engine(**changes: float) -> engine.Engine:
    return engine.Engine(engine.EngineSpec(ENGINE, **changes), random.Random(1))  # type: ignore[arg-type]


def finish_times(model: engine.Engine, until_ms: float) -> dict[str, float]:
    events = model.advance(until_ms)
    return {e.job_id: e.at_ms for e in events if isinstance(e, engine.Finished)}


def test_a_full_batch_slows_each_request_but_raises_the_total_rate() -> None:
    # Guards against a model in which batching does not slow a request or gives no more throughput.
    alone = make_engine()
    alone.submit(engine.Job("a", 100, 400), 0.0)
    full = make_engine()
    for number in range(16):
        full.submit(engine.Job(str(number), 100, 400), 0.0)
    single_ms = finish_times(alone, 1e6)["a"]
    last_ms = max(finish_times(full, 1e6).values())
    assert single_ms * 1.4 < last_ms < single_ms * 4


def test_waiting_jobs_start_by_priority() -> None:
    # Guards against an engine that ignores the priority of a job.
    model = make_engine(slots=1)
    for name, priority in (("run", 5), ("low", 5), ("high", 0)):
        model.submit(engine.Job(name, 10, 10, priority=priority), 0.0)
    times = finish_times(model, 1e6)
    assert times["run"] < times["high"] < times["low"]


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 12)), max_size=30))
def test_cache_events_rebuild_the_cache(prefixes: list[tuple[int, int]]) -> None:
    # Guards against cache events that disagree with the cache or have gaps in their numbers.
    model = make_engine(cache_blocks=16)
    for number, (family, length) in enumerate(prefixes):
        prefix = tuple(family * 100 + i for i in range(length))
        model.submit(engine.Job(str(number), 64 * length, 3, prefix), model.now_ms)
    events = model.advance(1e5)
    cached: set[int] = set()
    sequence = 1
    for event in events:
        if isinstance(event, engine.Delivered) and isinstance(event.message, types.CacheEvents):
            assert event.message.first_sequence == sequence
            sequence += len(event.message.added) + len(event.message.evicted)
            cached = (cached | set(event.message.added)) - set(event.message.evicted)
    assert cached == set(model.cache.blocks)
    assert len(cached) <= 16


def test_a_crash_loses_every_job_once_and_a_leaving_engine_finishes_its_jobs() -> None:
    # Guards against jobs that are lost without an event, and against a leaving engine that drops
    # accepted jobs or accepts new ones.
    model = make_engine(slots=1)
    model.submit(engine.Job("a", 10, 1000), 0.0)
    model.submit(engine.Job("b", 10, 1000), 0.0)
    model.advance(1000.0)
    lost = model.crash(1000.0)
    assert [e.job_id for e in lost if isinstance(e, engine.Lost)] == ["a", "b"]
    assert model.submit(engine.Job("c", 1, 1), 1000.0) is engine.SubmitResult.DOWN
    model.restart(2000.0)
    model.advance(2000.0)
    model.submit(engine.Job("d", 10, 10), 2000.0)
    model.leave()
    assert model.submit(engine.Job("e", 1, 1), 2000.0) is engine.SubmitResult.LEAVING
    assert set(finish_times(model, 1e5)) == {"d"}


def test_a_resumed_job_keeps_its_progress() -> None:
    # Guards against a resumed job that repeats its prefill or the tokens it had produced.
    model = engine.Engine(engine.EngineSpec(ENGINE, resumes=True), random.Random(1))
    model.submit(engine.Job("a", 10, 1000), 0.0)
    model.advance(5000.0)
    delivered_tokens = model.job_output_tokens("a")
    model.disconnect("a", 5000.0)
    assert model.running == 0
    model.submit(engine.Job("a", 10, 1000, delivered_tokens=delivered_tokens), 5000.0)
    assert model.job_output_tokens("a") == delivered_tokens
    assert model.prefilled_tokens == 10
