"""Compute the figures of a simulated run and build measurement records."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import define

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration
from goldcrestridge_lab.traffic import Arrival


@define
class Result:
    """Record the outcome of one request.

    Times are virtual; a negative time means that the event did not occur. ``outcome`` is
    "completed", "refused", "abandoned", "failed", or "open" if the run ended before the request.
    ``granted_by_floor`` tells whether the slot was granted from the floor share of the class.
    """

    arrival: Arrival
    outcome: str = "open"
    granted_ms: float = -1.0
    granted_by_floor: bool = False
    first_token_ms: float = -1.0
    ended_ms: float = -1.0
    delivered_tokens: int = 0
    wasted_tokens: int = 0
    reason: str = ""
    retry_after_ms: float = -1.0

    def time_to_first_token_ms(self) -> float:
        """Return the time from arrival to the first token, for a request that has one."""
        return self.first_token_ms - self.arrival.at_ms

    def inter_token_ms(self) -> float:
        """Return the mean time between tokens, for a completed request."""
        return (self.ended_ms - self.first_token_ms) / max(1, self.delivered_tokens - 1)


def meets_targets(result: Result, cfg: Configuration) -> bool:
    """Return whether a request completed within the latency targets of its class."""
    target = cfg.classes[result.arrival.class_name].target
    return (
        result.outcome == "completed"
        and result.time_to_first_token_ms() <= target.first_token_ms
        and result.inter_token_ms() <= target.inter_token_ms
    )


def attainment(
    results: Iterable[Result], cfg: Configuration, start_ms: float, end_ms: float
) -> dict[str, float]:
    """Return the share of requests that met their targets, by class.

    Only requests that arrived in the interval count; classes without any are left out.
    """
    met: dict[str, list[bool]] = {name: [] for name in cfg.classes}
    for result in results:
        if start_ms <= result.arrival.at_ms < end_ms:
            met[result.arrival.class_name].append(meets_targets(result, cfg))
    return {name: sum(flags) / len(flags) for name, flags in met.items() if flags}


def goodput(results: Iterable[Result], start_ms: float, end_ms: float) -> float:
    """Return the output tokens per second that completed requests received in an interval.

    The tokens of a request are spread evenly from its first to its last token.
    """
    tokens = 0.0
    for result in results:
        if result.outcome != "completed":
            continue
        first_ms = result.first_token_ms
        last_ms = max(result.ended_ms, first_ms + 1e-6)
        overlap_ms = min(end_ms, last_ms) - max(start_ms, first_ms)
        tokens += result.delivered_tokens * max(0.0, overlap_ms) / (last_ms - first_ms)
    return tokens * MS_PER_SECOND / (end_ms - start_ms)


def wasted_share(results: Sequence[Result]) -> float:
    """Return the wasted share of all processed tokens, prompt tokens included."""
    wasted_tokens = sum(result.wasted_tokens for result in results)
    useful_tokens = sum(
        result.delivered_tokens + result.arrival.prompt_tokens
        for result in results
        if result.outcome == "completed"
    )
    return wasted_tokens / max(1, wasted_tokens + useful_tokens)


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index, 1 if all values are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def percentile(values: Sequence[float], share: float) -> float:
    """Return the percentile of ``values`` at ``share`` (0 to 1), or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def spread(values: Sequence[float]) -> dict[str, float]:
    """Return minimum, median and maximum over the seeds."""
    return {
        "min": round(min(values), 5),
        "median": round(statistics.median(values), 5),
        "max": round(max(values), 5),
    }


def spreads(figures: Sequence[dict[str, float]]) -> dict[str, dict[str, float]]:
    """Return the spread of each figure over the seeds."""
    return {key: spread([seed_figures[key] for seed_figures in figures]) for key in figures[0]}


def record(
    name: str,
    seed: int,
    params: dict[str, Any],
    figures: dict[str, Any],
    baseline: dict[str, Any],
    target: dict[str, Any],
    met: bool,
) -> dict[str, Any]:
    """Return one measurement record; the key of each figure ends in its unit."""
    return {
        "name": name,
        "seed": seed,
        "params": params,
        "figures": figures,
        "baseline": baseline,
        "target": target,
        "met": met,
    }
