"""Tests of the length estimates: accuracy, fallback keys, running requests and memory use."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import lengths


@given(st.lists(st.integers(1, 8_000), min_size=8, max_size=300), st.floats(0.05, 1.0))
def test_a_quantile_is_within_one_bucket_of_the_exact_one(values: list[int], share: float) -> None:
    # Guards against wrong bucket bounds; a bucket spans a factor of 1.19.
    estimator = lengths.LengthEstimator()
    for value in values:
        estimator.observe("c", "m", "w", value)
    ordered = sorted(values)
    exact = next(v for n, v in enumerate(ordered, 1) if n >= share * len(ordered) - 1e-9)
    estimate = estimator.quantile(share, "c", "m", "w")
    assert exact / 1.2 <= estimate <= exact * 1.2


@given(st.integers(0, 9_000), st.integers(0, 9_000))
def test_an_estimate_is_never_below_the_tokens_produced(produced: int, max_tokens: int) -> None:
    # Guards against an estimate that a running request has already exceeded.
    estimator = lengths.LengthEstimator()
    for value in (10, 20, 30, 40, 500, 600, 700, 800, 900):
        estimator.observe("c", "m", "w", value)
    for estimate in (
        estimator.mean("c", "m", "w", max_tokens, produced),
        estimator.quantile(0.5, "c", "m", "w", max_tokens, produced),
    ):
        assert estimate >= produced
        assert not max_tokens or estimate <= max(max_tokens, produced)


def test_an_estimate_grows_as_tokens_arrive() -> None:
    # Guards against estimates that ignore the tokens produced so far.
    rng = random.Random(1)
    estimator = lengths.LengthEstimator()
    for _ in range(400):
        estimator.observe("c", "m", "w", min(8_000, round(rng.lognormvariate(4.6, 1.6)) + 1))
    for produced in (50, 200, 1_000, 4_000):
        assert estimator.mean("c", "m", "w", 0, produced) > 1.2 * produced


def test_an_unknown_workspace_uses_its_class_and_an_unknown_class_uses_all() -> None:
    # Guards against the use of the prior for a workspace whose class has observations.
    estimator = lengths.LengthEstimator()
    for _ in range(20):
        estimator.observe("short", "m", "w", 10)
        estimator.observe("long", "m", "w", 1_000)
    assert estimator.quantile(0.5, "short", "other", "new") < 12
    assert estimator.quantile(0.5, "long", "m", "new") > 800
    assert 10 < estimator.mean("new", "m", "w") < 1_000


def test_memory_is_bounded_and_coarse_keys_are_kept() -> None:
    # Guards against a histogram that is kept for every workspace ever observed.
    estimator = lengths.LengthEstimator()
    for number in range(3 * lengths.MAX_KEYS):
        estimator.observe("c", "m", f"w{number}", 100)
    assert estimator.key_count() == lengths.MAX_KEYS
    assert 80 < estimator.mean("c", "m", "unseen") < 120


def test_an_estimate_follows_a_change_in_lengths() -> None:
    # Guards against old observations that permanently outweigh new ones.
    estimator = lengths.LengthEstimator()
    for value in [1_000] * 2_000 + [10] * 1_000:
        estimator.observe("c", "m", "w", value)
    assert estimator.quantile(0.8, "c", "m", "w") < 12
