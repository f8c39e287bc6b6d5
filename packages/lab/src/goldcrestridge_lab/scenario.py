"""Build the configurations, engine models and roles of the policy measurements."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from attrs import evolve

from goldcrestridge_core import config, types
from goldcrestridge_core.choice_simple import LeastLoaded
from goldcrestridge_core.choosers import Chooser
from goldcrestridge_core.lengths import LengthEstimator
from goldcrestridge_core.owner import Owner
from goldcrestridge_lab import engine, traffic
from goldcrestridge_lab.baseline import LeastConnections
from goldcrestridge_lab.drive import Driver

SHARD = types.ShardId("assistant/0")
ENGINES = 5
SLOTS = 16
PROMPT = traffic.Lengths(600.0, 0.7, 32, 8_000)
OUTPUT = traffic.Lengths(120.0, 1.0, 1, 8_000)
MODEL = "m"


def request_class(
    name: str,
    tier: int,
    weight: float,
    floor_share: float,
    first_token_ms: float,
    queue_timeout_ms: float,
) -> config.RequestClass:
    """Return a class with the inter-token target of docs/CAPACITY.md."""
    target = config.LatencyTarget(first_token_ms, 28.0)
    return config.RequestClass(name, tier, weight, floor_share, target, queue_timeout_ms)


def upstreams(count: int = ENGINES, slots: int = SLOTS) -> tuple[config.Upstream, ...]:
    """Return the upstreams of the pool."""
    return tuple(
        config.Upstream(types.UpstreamId(f"u{number:03}"), f"127.0.0.1:{number}", "dc", slots)
        for number in range(count)
    )


def configuration(
    classes: Iterable[config.RequestClass],
    workspaces: Iterable[config.Workspace],
    attainment_weight: float = 0.5,
    count: int = ENGINES,
) -> config.Configuration:
    """Return a configuration with one pool and one model."""
    pool = config.Pool("assistant", config.PoolKind.ENGINE, upstreams(count))
    return config.Configuration(
        "lab",
        1,
        config.Objective(attainment_weight),
        classes={cls.name: cls for cls in classes},
        workspaces={workspace.name: workspace for workspace in workspaces},
        pools={pool.name: pool},
        models={MODEL: config.Model(MODEL, pool.name)},
    )


def workspaces(classes: Iterable[config.RequestClass], per_class: int) -> list[config.Workspace]:
    """Return ``per_class`` workspaces with equal shares for each class."""
    return [
        config.Workspace(f"{cls.name}-{number}", cls.name, ())
        for cls in classes
        for number in range(per_class)
    ]


def engines(cfg: config.Configuration, seed: int) -> dict[types.UpstreamId, engine.Engine]:
    """Return idle engine models for all upstreams of the pool."""
    return {
        u.name: engine.Engine(engine.EngineSpec(u.name, u.slots), random.Random(f"{seed}/{u.name}"))
        for u in cfg.pools["assistant"].upstreams
    }


class KnownLengths(LengthEstimator):
    """Estimate lengths from ``max_tokens``, which the comparison sets to the true length."""

    def mean(
        self, class_name: str, model: str, workspace: str, max_tokens: int = 0, produced: int = 0
    ) -> float:
        """Return ``max_tokens`` if it is set, else the estimate."""
        if max_tokens:
            return float(max_tokens)
        return super().mean(class_name, model, workspace, max_tokens, produced)


def owner(
    cfg: config.Configuration,
    seed: int,
    chooser: Chooser | None = None,
    lengths: LengthEstimator | None = None,
) -> Owner:
    """Return a shard owner whose rebuild period ends before time 0."""
    return Owner(
        cfg,
        SHARD,
        types.NodeId("owner"),
        cfg.pools["assistant"].upstreams,
        1,
        chooser or LeastLoaded(),
        random.Random(seed),
        started_ms=-10_000.0,
        lengths=lengths or LengthEstimator(),
    )


def baseline(cfg: config.Configuration) -> LeastConnections:
    """Return the baseline: first come first served with least connections."""
    return LeastConnections(SHARD, cfg.pools["assistant"].upstreams)


def driver(cfg: config.Configuration, role: types.Role, seed: int, entries: int = 1) -> Driver:
    """Return a driver with fresh engines."""
    return Driver(cfg, {SHARD: role}, engines(cfg, seed), entries, seed)


def streams(
    cls: config.RequestClass,
    workspace_names: Sequence[str],
    rate_per_s: float,
    interval_ms: tuple[float, float],
    output: traffic.Lengths = OUTPUT,
    prompt: traffic.Lengths = PROMPT,
) -> list[traffic.Stream]:
    """Return one stream per workspace, which share a rate equally.

    Callers abandon a request without a first token after 1 to 2 times the first-token target.
    """
    target_ms = cls.target.first_token_ms
    return [
        traffic.Stream(
            cls.name,
            name,
            rate_per_s / len(workspace_names),
            *interval_ms,
            prompt,
            output,
            (target_ms, 2.0 * target_ms),
            model=MODEL,
        )
        for name in workspace_names
    ]


def with_known_lengths(arrivals: Iterable[traffic.Arrival]) -> list[traffic.Arrival]:
    """Return the arrivals with ``max_tokens`` set to the true output length."""
    return [evolve(arrival, max_tokens=arrival.output_tokens) for arrival in arrivals]


def over_seeds(
    run: Callable[[int], dict[str, float]], seed: int, count: int
) -> list[dict[str, float]]:
    """Return the figures of ``count`` successive seeds from ``seed``."""
    return [run(seed + offset) for offset in range(count)]
