"""One log line and the counters for each forwarded request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.types import Count


@define
class Trail:
    """What decided the fate of one request; times are milliseconds.

    ``version`` and ``age_ms`` say which routes decided and how old they were.
    """

    request_id: str
    started_ms: float
    route: str = ""
    workspace: str = ""
    version: int = 0
    age_ms: float = 0.0
    first_ms: float | None = None
    outcome: str = ""
    reason: str = ""
    status: int = 0
    attempts: list[str] = field(factory=list)

    def attempt(self, instance: str, fate: str, reason: str, took_ms: float) -> None:
        """Note an attempt."""
        note = f"{instance} {fate} {took_ms:.0f}ms"
        self.attempts.append(f"{note} {reason}" if reason else note)

    def end(self, outcome: str, reason: str, status: int = 0) -> None:
        """Note the outcome."""
        self.outcome, self.reason, self.status = outcome, reason, status


@define
class RequestLog:
    """Write the trail of each request to the log and the counters."""

    log: Any
    count: Callable[[Count], None]

    def write(self, trail: Trail, now_ms: float) -> None:
        """Write one request that has ended."""
        labels = (("route", trail.route), ("outcome", trail.outcome))
        self.count(Count("requests_total", 1, labels))
        took_ms = now_ms - trail.started_ms
        self.count(Count("request_duration_ms", took_ms, labels[:1]))
        if trail.first_ms is not None:
            self.count(Count("first_event_ms", trail.first_ms, labels[:1]))
        self.log.info(
            "request",
            request_id=trail.request_id,
            outcome=trail.outcome,
            status=trail.status,
            reason=trail.reason,
            route=trail.route,
            workspace=trail.workspace,
            routes_version=trail.version,
            routes_age_ms=round(trail.age_ms),
            took_ms=round(took_ms, 1),
            first_ms=None if trail.first_ms is None else round(trail.first_ms, 1),
            attempts=trail.attempts,
        )
