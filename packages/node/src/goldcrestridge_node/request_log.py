"""One log line and the counters for each forwarded request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.types import Count


@define
class RequestRecord:
    """What decided the fate of one request; times are milliseconds.

    ``version`` and ``age_ms`` say which routes decided and how old they were.
    """

    request_id: str
    started_ms: float
    route: str = ""
    workspace: str = ""
    routes_version: int = 0
    routes_age_ms: float = 0.0
    first_event_ms: float | None = None
    outcome: str = ""
    reason: str = ""
    status: int = 0
    attempts: list[str] = field(factory=list)

    def add_attempt(self, instance: str, outcome: str, reason: str, took_ms: float) -> None:
        """Note an attempt."""
        note = f"{instance} {outcome} {took_ms:.0f}ms"
        self.attempts.append(f"{note} {reason}" if reason else note)

    def set_outcome(self, outcome: str, reason: str, status: int = 0) -> None:
        """Note the outcome."""
        self.outcome, self.reason, self.status = outcome, reason, status


@define
class RequestLog:
    """Write the record of each request to the log and the counters."""

    log: Any
    count: Callable[[Count], None]

    def write(self, record: RequestRecord, now_ms: float) -> None:
        """Write one request that has ended."""
        labels = (("route", record.route), ("outcome", record.outcome))
        self.count(Count("requests_total", 1, labels))
        took_ms = now_ms - record.started_ms
        self.count(Count("request_duration_ms", took_ms, labels[:1]))
        if record.first_event_ms is not None:
            self.count(Count("first_event_ms", record.first_event_ms, labels[:1]))
        self.log.info(
            "request",
            request_id=record.request_id,
            outcome=record.outcome,
            status=record.status,
            reason=record.reason,
            route=record.route,
            workspace=record.workspace,
            routes_version=record.routes_version,
            routes_age_ms=round(record.routes_age_ms),
            took_ms=round(took_ms, 1),
            first_ms=None if record.first_event_ms is None else round(record.first_event_ms, 1),
            attempts=record.attempts,
        )
