"""Responses of the router itself to forwarded requests that no upstream answers."""

from __future__ import annotations

from goldcrestridge_core.forwarding import Decision, Step
from goldcrestridge_core.types import Outcome
from goldcrestridge_node.refusals import Refusal

# Time for a node that holds the origin to answer again.
ORIGIN_RETRY_MS = 500.0

ORIGIN_NOT_FOUND = Refusal(
    503,
    "stream_origin_not_found",
    "The upstream that began the stream is not known now.",
    retry_after_ms=ORIGIN_RETRY_MS,
)
CANNOT_RESUME = Refusal(
    503,
    "cannot_resume",
    "No upstream can go on with the stream. Send the request again without Last-Event-Id.",
)
FAILED = Refusal(502, "upstream_failed", "The upstream gave no sound answer.", Outcome.UNKNOWN)
TIMED_OUT = Refusal(504, "deadline", "The upstream did not answer in time.", Outcome.UNKNOWN)


def refusal_of(decision: Decision) -> Refusal:
    """Return the response for a final decision."""
    if decision.step is Step.REFUSE:
        detail = f"The request has not run: {decision.reason}."
        return Refusal(503, "not_run", detail, retry_after_ms=decision.retry_after_ms)
    return TIMED_OUT if decision.step is Step.TIME_OUT else FAILED
