"""Validated settings of the entry and control nodes of a deployment with versioned routes.

They are in a separate module because a process imports only the code of its own role: most of the
time until it is ready after a restart is import time.
"""

from __future__ import annotations

from pathlib import Path

from attrs import Factory, frozen

from goldcrestridge_core.process_limits import ProcessLimits, process_limits
from goldcrestridge_core.types import NodeId


@frozen
class GatewaySettings:
    """Validated settings of an entry node that routes requests; durations in milliseconds.

    ``node`` is the address at which the node receives messages of other nodes, and ``seeds`` are
    the initial control nodes. ``management_addresses`` serve readiness, addresses and metrics.
    ``key_lease_ms`` is how long routes and keys are used after they were last confirmed as current,
    ``max_route_lag_ms`` how long after this node has heard that there is a newer version.
    ``grace_ms`` is the time from SIGTERM to SIGKILL. In each ``retry_window_ms``, all entry nodes
    together may retry ``retry_share`` of the requests plus ``retry_extra`` more. A leaving upstream
    goes on serving for ``upstream_drain_ms``. Requests that upstreams begin are counted by windows
    of ``usage_window_ms``, unless that is 0. The platform's list of upstreams shows a change after
    ``list_lag_ms``. ``limits`` bounds what the process holds for callers.
    """

    node: NodeId
    data_centre: str
    caller_address: str
    management_addresses: tuple[str, ...]
    seeds: tuple[NodeId, ...]
    key_lease_ms: float
    max_route_lag_ms: float
    grace_ms: float
    retry_share: float
    retry_extra: float
    retry_window_ms: float
    upstream_drain_ms: float
    usage_window_ms: float = 0.0
    list_lag_ms: float = 0.0
    limits: ProcessLimits = Factory(process_limits)


@frozen
class ControlSettings:
    """Validated settings of a control node; ``data_folder`` is None on a VM without a disk.

    ``node`` is the address at which the node receives messages of other nodes, and ``seeds`` are
    the initial control nodes. ``bootstrap`` is true only at the first start of a deployment.
    ``target_voters`` is the number of voting replicas that the log maintains. ``grace_ms`` is the
    time from SIGTERM until the process is killed. ``holder`` names this VM in calls to the
    platform. Its duties are held for ``duty_lease_ms``: usage reports, unless ``usage_window_ms``
    is 0, and orders of upstreams if ``orders_upstreams`` is true.
    ``limits`` bounds what the process holds for operators.
    """

    node: NodeId
    data_centre: str
    operator_addresses: tuple[str, ...]
    seeds: tuple[NodeId, ...]
    bootstrap: bool
    target_voters: int
    grace_ms: float
    data_folder: Path | None = None
    holder: str = ""
    duty_lease_ms: float = 0.0
    usage_window_ms: float = 0.0
    orders_upstreams: bool = False
    limits: ProcessLimits = Factory(process_limits)
