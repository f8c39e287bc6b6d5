"""Route table: the service that answers a request, with its limits and priority."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import field, frozen

# Duration of an engine step that includes a prefill chunk of a long prompt: 1,024 tokens at
# 41 tokens/ms, attention to the preceding tokens, and a margin.
PREFILL_STEP_MS = 45.0
# Number of urgency levels that engines distinguish.
MAX_RANKS = 10


class RouteKind(enum.Enum):
    """How often a request of a route may run, and whether its answer is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@frozen
class WeightedService:
    """A service and its share of the requests of a route."""

    service: str
    weight: float


@frozen
class Route:
    """One route; ``priority`` 0 is the most urgent.

    ``attempts`` bounds the attempts that may have run the request. Answers of ``cached`` routes are
    cheaper on an upstream that holds a prefix of the prompt in its cache. ``max_gap_ms`` is the
    longest gap between events of a stream that is still on time; 0 means no bound.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    target_latency_ms: float
    priority: int
    attempts: int
    public: bool = False
    cached: bool = False
    resumable: bool = False
    max_gap_ms: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Return whether answers are streams of events."""
        return self.kind is RouteKind.STREAM

    def pick_service(self, point: float) -> str:
        """Return the service at ``point``, from 0 to 1, of the cumulative weights."""
        left = point * sum(share.weight for share in self.services)
        for share in self.services:
            left -= share.weight
            if left < 0:
                return share.service
        return next(share.service for share in reversed(self.services) if share.weight > 0)


@frozen
class EngineLimits:
    """Size of a model engine: concurrent requests, tokens in memory, and tokens per event.

    ``token_bytes`` is the size of a token in memory, and ``link_mbps`` the rate in Mbit/s at which
    engines hand parts of prompts to each other. They don't if one of the two is 0.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    token_bytes: int = 0
    link_mbps: float = 0.0

    @property
    def transfer_ms_per_token(self) -> float | None:
        """Return the time to hand one token to another engine, or None if that is not possible."""
        if self.token_bytes <= 0 or self.link_mbps <= 0:
            return None
        return self.token_bytes * 8 / (self.link_mbps * 1_000.0)


@frozen
class RoutedService:
    """A service that routes refer to; ``max_connections`` is the total over all callers."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None


@frozen
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send its head or stay idle."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


@frozen
class RoutedWorkspace:
    """A workspace with its keys; its priority, if set, goes before that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@frozen
class RouteTable:
    """One complete version of the routes."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits
    workspaces: tuple[RoutedWorkspace, ...] = ()
    _hosts: dict[str, dict[str, Route]] = field(init=False, eq=False, repr=False)
    _keys: dict[str, RoutedWorkspace] = field(init=False, eq=False, repr=False)

    _gap_bounds: frozenset[str] = field(init=False, eq=False, repr=False)
    _least_urgent: dict[str, int] = field(init=False, eq=False, repr=False)
    _ranks: dict[tuple[int, int], int] = field(init=False, eq=False, repr=False)

    @_gap_bounds.default
    def _find_gap_bounds(self) -> frozenset[str]:
        return frozenset(
            share.service
            for route in self.routes
            for share in route.services
            if route.streams and route.max_gap_ms
        )

    @_least_urgent.default
    def _find_least_urgent(self) -> dict[str, int]:
        least: dict[str, int] = {}
        for route in self.routes:
            for share in route.services:
                least[share.service] = max(least.get(share.service, 0), route.priority)
        return least

    @_ranks.default
    def _rank_priorities(self) -> dict[tuple[int, int], int]:
        pairs = sorted(
            {
                _priorities(route, workspace)
                for route in self.routes
                for workspace in (None, *self.workspaces)
            }
        )
        levels = min(len(pairs), MAX_RANKS)
        return {pair: number * levels // len(pairs) for number, pair in enumerate(pairs)}

    @_hosts.default
    def _index_hosts(self) -> dict[str, dict[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.path_prefix] = route
        return hosts

    @_keys.default
    def _index_keys(self) -> dict[str, RoutedWorkspace]:
        return {key: workspace for workspace in self.workspaces for key in workspace.keys}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path, or None."""
        routes = self._hosts.get(host)
        if routes is None:
            return None
        return next((routes[prefix] for prefix in _prefixes(path) if prefix in routes), None)

    def is_tight(self, route: Route, service: str) -> bool:
        """Return whether a stream is tight: a long prefill on its engine reaches its gap bound."""
        engine = self.services[service].engine if service in self.services else None
        if engine is None or not route.streams or not route.max_gap_ms:
            return False
        return route.max_gap_ms <= engine.event_tokens * PREFILL_STEP_MS

    def has_gap_bounds(self, service: str) -> bool:
        """Return whether a service has streams with a bound on the gaps between events."""
        return service in self._gap_bounds

    def is_least_urgent(self, service: str, priority: int) -> bool:
        """Return whether no route to a service is less urgent than ``priority``."""
        return priority >= self._least_urgent.get(service, 0)

    def rank(self, route: Route, workspace: RoutedWorkspace | None) -> int:
        """Return the urgency of a request for engines, from 0 for the most urgent ones.

        The priority of the route still orders the requests of workspaces of one priority, so that
        engines do not preempt their urgent requests while less urgent ones run.
        """
        return self._ranks[_priorities(route, workspace)]

    def workspace_for_key(self, key: str) -> RoutedWorkspace | None:
        """Return the workspace that holds a key, or None."""
        return self._keys.get(key)


def _priorities(route: Route, workspace: RoutedWorkspace | None) -> tuple[int, int]:
    """Return the priority of the workspace, or else of the route, and then that of the route."""
    if workspace is None or workspace.priority is None:
        return route.priority, route.priority
    return workspace.priority, route.priority


def _prefixes(path: str) -> Iterable[str]:
    """Return the prefixes of a path that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
