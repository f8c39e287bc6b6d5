"""Answers to requests that the system does not complete, in the OpenAI error shape."""

from __future__ import annotations

import math

import msgspec
from attrs import frozen

from goldcrestridge_core.call_types import RespondFailure
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers, Outcome, Reason

OUTCOME_HEADER = b"x-goldcrestridge-outcome"
REQUEST_ID_HEADER = b"x-goldcrestridge-request-id"
JSON_TYPE = (b"content-type", b"application/json")

_KEY_STATUS = {
    Reason.CLAIM_CONFLICT: 422,
    Reason.CLAIM_EXPIRED: 422,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.LIMIT: 429,
}


@frozen
class Refusal:
    """An error answer; ``retry_after_ms`` below zero means that coming back is pointless."""

    status: int
    code: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: float = -1.0
    close: bool = False


def refusal_from_failure(failure: RespondFailure) -> Refusal:
    """Return the error answer for a request that did not complete."""
    return Refusal(
        status=_status(failure.outcome, failure.reason),
        code=failure.reason.value,
        detail=failure.detail or "The request did not complete.",
        outcome=failure.outcome,
        retry_after_ms=failure.retry_after_ms,
    )


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body.

    OpenAI's client hands only the object under ``error`` to its user, so the outcome and the
    request id are in it as well as at the top.
    """
    fate = {"outcome": refusal.outcome.value, "request_id": request_id}
    error = {
        "message": refusal.detail,
        "type": _error_type(refusal.status),
        "param": None,
        "code": refusal.code,
    }
    return msgspec.json.encode({"error": error | fate} | fate)


def error_headers(
    refusal: Refusal, request_id: str, body: bytes, whole_seconds: bool = True
) -> Headers:
    """Return the headers of the error answer.

    Retry-After is in whole seconds, rounded up, unless the callers take fractions.
    """
    headers = [
        JSON_TYPE,
        (b"content-length", b"%d" % len(body)),
        (OUTCOME_HEADER, refusal.outcome.value.encode()),
        (REQUEST_ID_HEADER, request_id.encode()),
    ]
    if refusal.retry_after_ms >= 0:
        seconds = refusal.retry_after_ms / MS_PER_SECOND
        text = str(math.ceil(seconds)) if whole_seconds else f"{seconds:.3f}"
        headers.append((b"retry-after", text.encode()))
    if refusal.outcome is not Outcome.NOT_RUN:
        # OpenAI's client repeats 5xx answers by itself, which would run the work twice.
        headers.append((b"x-should-retry", b"false"))
    if refusal.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if refusal.close:
        headers.append((b"connection", b"close"))
    return tuple(headers)


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends a broken stream."""
    return b"data: " + error_body(refusal, request_id) + b"\n\n"


def _status(outcome: Outcome, reason: Reason) -> int:
    if outcome is Outcome.UNKNOWN:
        return 504
    if outcome is Outcome.FAILED:
        return 504 if reason is Reason.DEADLINE else 502
    return _KEY_STATUS.get(reason, 503)


def _error_type(status: int) -> str:
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"
