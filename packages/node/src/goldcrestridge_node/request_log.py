"""One log line and the metrics of each forwarded request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.engine_types import EngineFound
from goldcrestridge_core.stream_origins import OriginFound
from goldcrestridge_core.types import Count
from goldcrestridge_core.upstream_notices import Avoidance
from goldcrestridge_core.window_budget import BudgetState
from goldcrestridge_node.event_stream import EventId
from goldcrestridge_node.headers import BodyFraming

# Bounds the length of a log line during the release of a large service.
MAX_AVOIDED = 4
# Bounds the length of a log line for long ids of events.
MAX_LOGGED_ID_CHARS = 40
# Bounds the length of a log line for long prompts.
MAX_LOGGED_PARTS = 16


@define
class RequestRecord:
    """How one request was handled; times are monotonic milliseconds.

    ``routes_version`` and ``routes_age_ms`` are the version of the routes that were applied and the
    time since their confirmation. ``last_event_id`` is the last event that the caller says it
    holds, or None if it begins a stream; ``resumed_request_id`` names the attempt that brought the
    first one. ``origin`` is the instance and version that began the stream, as far as they were
    found. ``versions`` holds the software version of the upstream of each attempt that was sent,
    ``sent_after`` the event after which each of them goes on, or None if it begins the stream.
    ``avoided`` holds the upstreams that were passed over because they leave or rest. ``body_ends``
    holds the framing of each response that was read, with the bytes after its last event.
    ``fetches`` holds the engine from which each attempt got shared parts, with their tokens.
    ``longest_gap_ms`` is the longest time between events that were passed on. ``target_ms`` and
    ``max_gap_ms`` are the bounds of the route on the first event and on the gaps. ``retry_budget``
    is the state of the retry budget when it denied a retry.
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
    rank: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    attempts: list[str] = field(factory=list)
    admissions: list[str] = field(factory=list)
    last_event_id: str | None = None
    resumed_request_id: str = ""
    origin: str = ""
    versions: list[str] = field(factory=list)
    sent_after: list[str | None] = field(factory=list)
    avoided: list[str] = field(factory=list)
    body_ends: list[str] = field(factory=list)
    fetches: list[str] = field(factory=list)
    longest_gap_ms: float = 0.0
    target_ms: float = 0.0
    max_gap_ms: float = 0.0
    retry_budget: str = ""
    _last_event_ms: float | None = None

    def add_event(self, now_ms: float) -> None:
        """Record that events of the stream were passed on."""
        if self._last_event_ms is None:
            self.first_event_ms = now_ms - self.started_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    def add_attempt(self, instance: str, outcome: str, reason: str, took_ms: float) -> None:
        """Add an attempt to the log line."""
        entry = f"{instance} {outcome} {took_ms:.0f}ms"
        self.attempts.append(f"{entry} {reason}" if reason else entry)

    def add_body_end(self, framing: BodyFraming, after_events: int = 0) -> None:
        """Add the end of a response; ``after_events`` is in bytes."""
        rest = f" {after_events} B after the last event" if after_events else ""
        self.body_ends.append(f"{framing.value}{rest}")

    def add_admission(self, found: EngineFound) -> None:
        """Add the admission to an engine, with the wait that its owner expected."""
        if found.admitted:
            entry = f"{found.instance} {found.wait_ms:.0f}ms {found.cause.value}"
            if found.missing_tokens:
                entry += f" {found.missing_tokens} tokens missing"
        else:
            entry = f"{found.instance} without its owner"
        self.admissions.append(entry)

    def add_fetch(self, source: str, tokens: int) -> None:
        """Add the engine that hands over shared parts of the prompt."""
        self.fetches.append(f"{source} {tokens} tokens")

    def add_start(self, version: str, after: EventId | None, streams: bool) -> None:
        """Add the start of an attempt at a version; a stream goes on after the event ``after``."""
        self.versions.append(version)
        if streams:
            self.sent_after.append(_shorten(after))

    def set_take_up(self, last_event_id: EventId | None, resumed_request_id: str) -> None:
        """Name the stream that the caller takes up, and the last event of it that it holds."""
        self.last_event_id = _shorten(last_event_id)
        self.resumed_request_id = resumed_request_id

    def set_origin(self, found: OriginFound) -> None:
        """Name the origin of the stream that the caller takes up, or why there is none."""
        origin = found.origin
        if origin is not None:
            self.origin = f"{origin.instance or 'any instance'} {origin.version or 'unproven'}"
        else:
            self.origin = "unknown" if found.complete else "not found in time"

    def set_avoided(self, avoided: list[Avoidance]) -> None:
        """Name the upstreams that are passed over, at most MAX_AVOIDED of them."""
        self.avoided = [str(item) for item in avoided[:MAX_AVOIDED]]
        if len(avoided) > MAX_AVOIDED:
            self.avoided.append(f"and {len(avoided) - MAX_AVOIDED} more")

    def set_outcome(self, outcome: str, reason: str, status: int = 0) -> None:
        """Set the outcome, with the reason and the status of the response."""
        self.outcome, self.reason, self.status = outcome, reason, status


@define
class RequestLog:
    """Write the record of each request to the log and the metrics."""

    log: Any
    count: Callable[[Count], None]

    def write_crash(self, record: RequestRecord, run: str, parts: tuple[str, ...]) -> None:
        """Write that a run of an upstream ended before it answered a request."""
        self.count(Count("upstream_crashes", 1, (("route", record.route),)))
        self.log.info(
            "upstream_crashed",
            request_id=record.request_id,
            upstream=run,
            parts=list(parts[:MAX_LOGGED_PARTS]),
        )

    def count_retry(self, service: str) -> None:
        """Count a retry that was sent to a service."""
        self.count(Count("retries", 1, (("service", service), ("result", "spent"))))

    def count_denied_retry(self, record: RequestRecord, service: str, state: BudgetState) -> None:
        """Count a retry that the budget of a service denied in this state."""
        self.count(Count("retries", 1, (("service", service), ("result", "denied"))))
        record.retry_budget = f"{service}: {state}"

    def write(self, record: RequestRecord, now_ms: float) -> None:
        """Write the record of a request that has ended."""
        labels = (("route", record.route), ("outcome", record.outcome))
        self.count(Count("requests_total", 1, labels))
        if record.avoided:
            self.count(Count("requests_with_avoided_upstreams", 1, labels))
        took_ms = now_ms - record.started_ms
        self.count(Count("request_duration_ms", took_ms, labels[:1]))
        if record.routes_version:
            self.count(Count("routes_age_ms", record.routes_age_ms))
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
            rank=record.rank,
            prompt_tokens=record.prompt_tokens,
            output_tokens=record.output_tokens,
            admissions=record.admissions,
            attempts=record.attempts,
            versions=record.versions,
            avoided=record.avoided,
            body_ends=record.body_ends,
            fetches=record.fetches,
            longest_gap_ms=round(record.longest_gap_ms, 1),
            target_ms=round(record.target_ms),
            max_gap_ms=round(record.max_gap_ms),
            last_event_id=record.last_event_id,
            resumed_request_id=record.resumed_request_id,
            origin=record.origin,
            sent_after=record.sent_after,
            retry_budget=record.retry_budget,
        )


def _shorten(event_id: EventId | None) -> str | None:
    return None if event_id is None else event_id.digits[:MAX_LOGGED_ID_CHARS].decode()
