"""Error responses in the OpenAI format for requests that do not complete."""

from __future__ import annotations

import math

import msgspec
from attrs import frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers, Outcome

OUTCOME_HEADER = b"x-goldcrestridge-outcome"
REQUEST_ID_HEADER = b"x-goldcrestridge-request-id"
JSON_CONTENT_TYPE_HEADER = (b"content-type", b"application/json")


@frozen
class Refusal:
    """An error response; a negative ``retry_after_ms`` means that a retry is pointless."""

    status: int
    code: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: float = -1.0
    close: bool = False


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body.

    OpenAI's client exposes only the object under ``error``, so the outcome and the request id are
    included there as well as at the top level.
    """
    outcome_fields = {"outcome": refusal.outcome.value, "request_id": request_id}
    error = {
        "message": refusal.detail,
        "type": _error_type(refusal.status),
        "param": None,
        "code": refusal.code,
    }
    return msgspec.json.encode({"error": error | outcome_fields} | outcome_fields)


def error_headers(
    refusal: Refusal, request_id: str, body: bytes, whole_seconds: bool = True
) -> Headers:
    """Return the headers of the error response.

    Retry-After is in whole seconds, rounded up; without ``whole_seconds`` it has three decimals.
    """
    headers = [
        JSON_CONTENT_TYPE_HEADER,
        (b"content-length", b"%d" % len(body)),
        (OUTCOME_HEADER, refusal.outcome.value.encode()),
        (REQUEST_ID_HEADER, request_id.encode()),
    ]
    if refusal.retry_after_ms >= 0:
        seconds = refusal.retry_after_ms / MS_PER_SECOND
        value = str(math.ceil(seconds)) if whole_seconds else f"{seconds:.3f}"
        headers.append((b"retry-after", value.encode()))
    if refusal.outcome is not Outcome.NOT_RUN:
        # OpenAI's client retries 5xx responses by itself, which could run the request twice.
        headers.append((b"x-should-retry", b"false"))
    if refusal.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if refusal.close:
        headers.append((b"connection", b"close"))
    return tuple(headers)


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that reports the failure of a started stream."""
    return b"data: " + error_body(refusal, request_id) + b"\n\n"


def _error_type(status: int) -> str:
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"
