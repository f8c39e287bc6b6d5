"""Checked settings of the nodes that forward along routes.

They have a module of their own, since a process imports the code of its own role only: the time
until it is ready after a restart is mostly the time of its imports.
"""

from __future__ import annotations

from pathlib import Path

from attrs import frozen

from goldcrestridge_core.types import NodeId


@frozen
class GatewaySettings:
    """Checked settings of an entry node that forwards along routes; durations in milliseconds.

    A node is named by the address at which it takes messages. ``seeds`` names the first control
    nodes. ``key_lease_ms`` bounds the time for which routes and keys are used after they were known
    to be current. ``grace_ms`` is the time from SIGTERM to SIGKILL. Of the repeats,
    ``retry_share`` of the requests and ``retry_extra`` more are allowed in each
    ``retry_window_ms``, over all entry nodes.
    """

    node: NodeId
    data_centre: str
    caller_address: str
    management_addresses: tuple[str, ...]
    seeds: tuple[NodeId, ...]
    key_lease_ms: float
    grace_ms: float
    retry_share: float
    retry_extra: float
    retry_window_ms: float


@frozen
class ControlSettings:
    """Checked settings of a control node; ``data_folder`` is None on a VM without a disk.

    A node is named by the address at which it takes messages. ``seeds`` names the first control
    nodes. ``bootstrap`` is true only at the first start of a deployment. ``target_voters`` is
    the number of replicas that the log keeps up.
    """

    node: NodeId
    data_centre: str
    operator_addresses: tuple[str, ...]
    seeds: tuple[NodeId, ...]
    bootstrap: bool
    target_voters: int
    data_folder: Path | None = None
