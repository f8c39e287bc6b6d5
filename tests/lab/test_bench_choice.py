"""Tests of the choice measurement: reproducible figures and a plausible engine model."""

from __future__ import annotations

from goldcrestridge_core.types import UpstreamId
from goldcrestridge_lab.bench_choice import Engine, Job, Load, _chooser, simulate


def test_same_seed_gives_the_same_figures() -> None:
    # Guards against figures that cannot be reproduced from the seed.
    load = Load(documents=20, duration_ms=5_000.0, warmup_ms=1_000.0, event_loss=0.3)
    assert simulate(load, 3, _chooser) == simulate(load, 3, _chooser)
    assert simulate(load, 3, _chooser) != simulate(load, 4, _chooser)


def test_engine_serves_each_request_once_and_reuses_its_cache() -> None:
    # Guards against an engine model that loses requests or never hits its cache.
    engine = Engine(Load(slots=1), UpstreamId("engine-0"))
    jobs = [Job(number, 0.0, (1, 2, 3), 2) for number in range(2)]
    for job in jobs:
        engine.start(job)
    ended = [job.number for step in range(1, 100) for job in engine.step(10.0 * step)]
    assert ended == [0, 1]
    assert [job.hit_blocks for job in jobs] == [0, 3]
    assert set(engine.take_events().added) == {1, 2, 3}
