"""Types that the gateway uses: its routes, its dependencies and admitted requests."""

from __future__ import annotations

from collections.abc import Callable

from attrs import Factory, define, field, frozen

from goldcrestridge_core.clock import Clock
from goldcrestridge_core.demand import Demand
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.prompt_crashes import PromptCrashes
from goldcrestridge_core.routes import EngineLimits, Route, RoutedWorkspace, RouteTable
from goldcrestridge_core.window_budget import WindowBudget
from goldcrestridge_node.dialect import Dialect
from goldcrestridge_node.dispatch import Dispatcher
from goldcrestridge_node.engines import EngineAdmissionClient
from goldcrestridge_node.pending import PendingRequests
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.request_log import RequestLog

# Retry-After of a node without current routes. It covers an election and the node's next request to
# the new leader.
NOT_READY_RETRY_AFTER_MS = 1_000.0

NOT_READY = Refusal(
    503,
    "not_ready",
    "The node does not know the current routes.",
    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
)

# Another node takes the request at once.
STOPPING_RETRY_AFTER_MS = 50.0

STOPPING = Refusal(
    503,
    "stopping",
    "The node stops before the upstream would have answered. The request has not run.",
    retry_after_ms=STOPPING_RETRY_AFTER_MS,
    close=True,
)


@define
class ActiveRoutes:
    """The routes that this node applies; they are current for ``lease_ms`` after a confirmation.

    They are outdated once this node has known for ``max_lag_ms`` that there is a newer version.
    """

    table: RouteTable | None = None
    lease_ms: float = 0.0
    confirmed_ms: Callable[[], float] = field(default=lambda: float("-inf"))
    max_lag_ms: float = float("inf")
    outdated_since_ms: Callable[[], float] = field(default=lambda: float("inf"))

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the routes were last confirmed as current."""
        return now_ms - self.confirmed_ms()

    def is_current(self, now_ms: float) -> bool:
        """Tell whether the routes were confirmed within the lease.

        This bounds the time for which a revoked key is still accepted.
        """
        if self.table is None or self.is_outdated(now_ms):
            return False
        return self.age_ms(now_ms) < self.lease_ms

    def is_outdated(self, now_ms: float) -> bool:
        """Tell whether a newer version must be in force, which this node could not get."""
        return now_ms - self.outdated_since_ms() >= self.max_lag_ms


def _report_nothing() -> None:
    return None


def _count_nothing(_workspace: str, _began_ms: float) -> None:
    return None


@frozen
class GatewayDependencies:
    """Dependencies of the gateway; ``ticket_prefix`` is unique for each start of a node.

    ``permits`` posts ``SeekPermit`` to the core and returns ``PermitDecided``; ``origins`` posts
    ``FindOrigin`` and returns ``OriginFound``. ``report_crash`` is called when ``crashes`` knows of
    another crash. ``count_begun`` is called with the workspace and the monotonic time of each
    request that an upstream began.
    """

    dialect: Dialect
    clock: Clock
    placement: Placement
    dispatcher: Dispatcher
    retry_budget: WindowBudget
    routes: ActiveRoutes
    log: RequestLog
    engines: EngineAdmissionClient
    permits: PendingRequests
    origins: PendingRequests
    ticket_prefix: str
    crashes: PromptCrashes = Factory(PromptCrashes)
    report_crash: Callable[[], None] = _report_nothing
    count_begun: Callable[[str, float], None] = _count_nothing


@frozen
class AdmittedRequest:
    """A request that the routes admit.

    ``rank`` is the urgency that engines get, 0 for the most urgent requests. ``least_urgent`` tells
    whether no route of the service is less urgent.
    """

    route: Route
    workspace: RoutedWorkspace | None
    service: str
    demand: Demand
    rank: int
    engine: EngineLimits | None = None
    least_urgent: bool = True
