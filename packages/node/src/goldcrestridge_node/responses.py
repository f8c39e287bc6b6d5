"""Send the response of a call from its buffer to the caller."""

from __future__ import annotations

from attrs import evolve

from goldcrestridge_core.call_types import Call, CallKind, RespondFailure, RespondHead
from goldcrestridge_core.types import Headers, Outcome, Reason
from goldcrestridge_node.answers import ResponseBuffer
from goldcrestridge_node.exchange import Exchange
from goldcrestridge_node.headers import BODILESS_STATUS, header_values
from goldcrestridge_node.refusals import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Refusal,
    error_event,
)

END_MARKER = b"data: [DONE]\n\n"

_STATUS_BY_REASON = {
    Reason.CLAIM_CONFLICT: 422,
    Reason.CLAIM_EXPIRED: 422,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.LIMIT: 429,
}


async def send_response(exchange: Exchange, buffer: ResponseBuffer, call: Call) -> None:
    """Send the response until it ends or the caller disconnects."""
    head: RespondHead | None = None
    buffered: list[bytes] | None = None
    while items := await buffer.take():
        if head is None and isinstance(items[0], RespondHead):
            head = items.pop(0)  # type: ignore[assignment]
            assert head is not None
            head = _without_length(head, call)
            buffered = [] if _is_short(exchange, head) else None
            if buffered is None:
                await exchange.start(head.status, _with_request_id(exchange, head.headers))
        chunks = [item.data for item in items if not isinstance(item, RespondHead)]
        if buffered is not None:
            buffered += chunks
        elif chunks:
            await exchange.write(b"".join(chunks), more=True)
    await _send_end(exchange, buffer, call, head, buffered)


async def _send_end(
    exchange: Exchange,
    buffer: ResponseBuffer,
    call: Call,
    head: RespondHead | None,
    buffered: list[bytes] | None,
) -> None:
    end = buffer.end
    if end is None:
        return
    events = call.kind is CallKind.COMPLETION and head is not None and _is_event_stream(head)
    if isinstance(end, RespondFailure):
        refusal = refusal_from_failure(end)
        if not exchange.started:
            await exchange.send_refusal(refusal)
        elif events:
            await exchange.write(error_event(refusal, exchange.request_id), more=False)
        else:
            # Without its last chunk or declared length, the body is visibly incomplete.
            exchange.conn.transport.close()
    elif buffered is not None and head is not None:
        complete = (OUTCOME_HEADER, Outcome.COMPLETED.value.encode())
        headers = (*_with_request_id(exchange, head.headers), complete)
        await exchange.start(head.status, headers)
        await exchange.write(b"".join(buffered), more=False)
    else:
        await exchange.write(END_MARKER if events else b"", more=False)


def refusal_from_failure(failure: RespondFailure) -> Refusal:
    """Return the error response for a request that did not complete."""
    return Refusal(
        status=_status(failure.outcome, failure.reason),
        code=failure.reason.value,
        detail=failure.detail or "The request did not complete.",
        outcome=failure.outcome,
        retry_after_ms=failure.retry_after_ms,
    )


def _status(outcome: Outcome, reason: Reason) -> int:
    if outcome is Outcome.UNKNOWN:
        return 504
    if outcome is Outcome.FAILED:
        return 504 if reason is Reason.DEADLINE else 502
    return _STATUS_BY_REASON.get(reason, 503)


def _without_length(head: RespondHead, call: Call) -> RespondHead:
    """Drop the length of a completion stream, since the edge adds an end marker or an error."""
    if call.kind is not CallKind.COMPLETION or not _is_event_stream(head):
        return head
    headers = tuple(pair for pair in head.headers if pair[0] != b"content-length")
    return evolve(head, headers=headers)


def _is_short(exchange: Exchange, head: RespondHead) -> bool:
    length = header_values(head.headers, b"content-length")
    if head.status in BODILESS_STATUS or exchange.scope["method"] == "HEAD":
        return True
    return bool(length) and int(length[0]) <= exchange.options.max_buffered_response_bytes


def _with_request_id(exchange: Exchange, headers: Headers) -> Headers:
    return (*headers, (REQUEST_ID_HEADER, exchange.request_id.encode()))


def _is_event_stream(head: RespondHead) -> bool:
    kind = header_values(head.headers, b"content-type")
    return head.status == 200 and bool(kind) and kind[0].startswith(b"text/event-stream")
