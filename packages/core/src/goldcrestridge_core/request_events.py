"""Timeline events and counters of the requests of an entry node, and refusals on arrival."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from goldcrestridge_core.call_types import CallerRequest, RespondFailure
from goldcrestridge_core.types import Count, Emit, Outcome, Reason

if TYPE_CHECKING:
    from goldcrestridge_core.requests import InFlight


def arrival_event(event: CallerRequest) -> Emit:
    """Return the timeline event for an arrived request."""
    call = event.call
    detail = (("class", call.class_name), ("site", call.site))
    return Emit("request_arrived", event.request_id, call.workspace, detail=detail)


def timeline_event(
    req: InFlight, kind: str, detail: tuple[tuple[str, str | int | float], ...]
) -> Emit:
    """Return a timeline event for a request and its current upstream."""
    return Emit(kind, req.request_id, req.call.workspace, req.upstream, detail=detail)


def refuse_arrival(
    event: CallerRequest, reason: Reason, detail: str, retry_after_ms: float = -1.0
) -> list[Any]:
    """Refuse a request that was not accepted."""
    labels = (("class", event.call.class_name), ("outcome", Outcome.NOT_RUN.value))
    return [
        RespondFailure(event.request_id, Outcome.NOT_RUN, reason, detail, retry_after_ms),
        Count("requests", 1.0, labels),
    ]


def outcome_count(req: InFlight, outcome: str) -> Count:
    """Return the effect that counts a finished request by class and outcome."""
    return Count("requests", 1.0, (("class", req.request_class.name), ("outcome", outcome)))
