"""Configuration types: classes, workspaces, sites, models, pools, services and limits."""

from __future__ import annotations

import enum

from attrs import Factory, frozen

from goldcrestridge_core.types import UpstreamId


@frozen
class LatencyTarget:
    """95th percentile latency target of a class, in milliseconds."""

    first_token_ms: float
    inter_token_ms: float


@frozen
class RequestClass:
    """A request class; tier 0 is the highest, ``floor_share`` the minimum share of grants."""

    name: str
    tier: int
    weight: float
    floor_share: float
    target: LatencyTarget
    queue_timeout_ms: float


@frozen
class Limit:
    """Limits over all entry nodes together; None means unlimited."""

    max_concurrent: int | None = None
    tokens_per_second: float | None = None


@frozen
class Workspace:
    """A customer; ``keys_sha256`` holds the hexadecimal SHA-256 digests of its bearer keys."""

    name: str
    class_name: str
    keys_sha256: tuple[str, ...]
    sites: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    share: float = 1.0
    limit: Limit = Limit()


@frozen
class Site:
    """A site, with the overrides of its overlay for requests from the site."""

    name: str
    data_centre: str
    workspace_classes: dict[str, str] = Factory(dict)
    workspace_limits: dict[str, Limit] = Factory(dict)
    targets: dict[str, LatencyTarget] = Factory(dict)
    limit: Limit = Limit()


class PoolKind(enum.Enum):
    """Kind of the upstreams of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class Upstream:
    """An upstream server; ``address`` is ``ip:port``, ``slots`` the concurrent requests it runs.

    ``checks_fencing`` tells whether it refuses requests with an outdated fencing number,
    ``resumes`` whether it can resume a stream at a token offset.
    """

    name: UpstreamId
    address: str
    data_centre: str
    slots: int
    checks_fencing: bool = False
    resumes: bool = False


@frozen
class Pool:
    """A set of upstreams that are interchangeable for a model or a service."""

    name: str
    kind: PoolKind
    upstreams: tuple[Upstream, ...]


@frozen
class Model:
    """A model by the name that callers use, with the pool that serves it."""

    name: str
    pool: str


@frozen
class CallRule:
    """Match calls by method and path pattern (shell-style, ``*`` also matches ``/``)."""

    method: str
    path: str


@frozen
class Service:
    """A plain service; calls that match none of the ``repeatable`` rules run at most once."""

    name: str
    pool: str
    repeatable: tuple[CallRule, ...] = ()


@frozen
class ClassRule:
    """Rule that assigns a class; the first match wins, and an empty field matches everything."""

    class_name: str
    workspace: str = ""
    site: str = ""
    model: str = ""
    service: str = ""
    path: str = ""


@frozen
class Objective:
    """Weight of target attainment (1.0) against wasted work (0.0)."""

    attainment_weight: float = 0.5


@frozen
class Configuration:
    """A complete, validated configuration."""

    name: str
    version: int = 0
    objective: Objective = Objective()
    data_centres: dict[str, str] = Factory(dict)  # Region by name.
    classes: dict[str, RequestClass] = Factory(dict)
    workspaces: dict[str, Workspace] = Factory(dict)
    sites: dict[str, Site] = Factory(dict)
    pools: dict[str, Pool] = Factory(dict)
    models: dict[str, Model] = Factory(dict)
    services: dict[str, Service] = Factory(dict)
    rules: tuple[ClassRule, ...] = ()
    operators_sha256: dict[str, str] = Factory(dict)  # Key digest by operator name.
    retry_share: float = 0.1
    claim_retention_ms: float = 86_400_000.0
    address_ttl_ms: float = 30_000.0
