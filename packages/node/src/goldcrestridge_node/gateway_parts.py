"""What the gateway works with, and what the routes say of a request."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen

from goldcrestridge_core.clock import Clock
from goldcrestridge_core.placement import Demand, Placement
from goldcrestridge_core.retries import WindowBudget
from goldcrestridge_core.routes import EngineLimits, Route, RoutedWorkspace, RouteTable
from goldcrestridge_node.dialect import Dialect
from goldcrestridge_node.dispatch import Dispatcher
from goldcrestridge_node.engines import Engines
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.request_log import RequestLog

# A caller whose request met a node without current routes returns once an election and the next
# request to the new leader are over.
NOT_READY_RETURN_MS = 1_000.0

NOT_READY = Refusal(
    503,
    "not_ready",
    "The node does not know the current routes.",
    retry_after_ms=NOT_READY_RETURN_MS,
)


@define
class ActiveRoutes:
    """The routes that this node goes by, and until when it may."""

    table: RouteTable | None = None
    lease_ms: float = 0.0
    confirmed_ms: Callable[[], float] = field(default=lambda: float("-inf"))

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the routes were known to be current."""
        return now_ms - self.confirmed_ms()

    def is_current(self, now_ms: float) -> bool:
        """Tell whether no key of these routes can have been taken away for too long."""
        return self.table is not None and self.age_ms(now_ms) < self.lease_ms


@frozen
class GatewayDependencies:
    """What the gateway works with."""

    dialect: Dialect
    clock: Clock
    placement: Placement
    dispatcher: Dispatcher
    budget: WindowBudget
    routes: ActiveRoutes
    log: RequestLog
    engines: Engines
    name: str  # Differs for each start of a node.


@frozen
class AdmittedRequest:
    """A request that the routes allow; ``least_urgent`` if its service has no less urgent ones."""

    route: Route
    workspace: RoutedWorkspace | None
    service: str
    demand: Demand
    priority: int
    engine: EngineLimits | None = None
    least_urgent: bool = True
