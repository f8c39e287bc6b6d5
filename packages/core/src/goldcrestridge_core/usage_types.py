"""Counts of the requests that upstreams began, by window of time and workspace."""

from __future__ import annotations

from attrs import frozen

from goldcrestridge_core.codec import message


@message
@frozen
class WorkspaceUsage:
    """Requests of a workspace that upstreams began."""

    workspace: str
    requests: int


@message
@frozen
class WindowUsage:
    """Requests that began in one window, which is the interval of that number since 1970."""

    window: int
    workspaces: tuple[WorkspaceUsage, ...]


@message
@frozen
class UsageReport:
    """The counts of one life of an entry node, from the windows that are still open.

    They are cumulative, so that lost, late and repeated reports do no harm. ``wall_ms`` is the wall
    clock of the sender.
    """

    life: str = ""
    wall_ms: float = 0.0
    windows: tuple[WindowUsage, ...] = ()


@message
@frozen
class UsageReply:
    """The leader's estimate of the true time, or 0, and the last window that is closed."""

    true_ms: float = 0.0
    closed: int = 0
