"""Continue a completion stream on another engine as one stream for the caller."""

from __future__ import annotations

from typing import Any

import msgspec
from attrs import define, field, frozen
from msgspec import Raw

from goldcrestridge_core.call_types import StartAttempt
from goldcrestridge_core.types import RequestId
from goldcrestridge_node.calls import CHAT_PATH

_FIELDS_DECODER = msgspec.json.Decoder(dict[str, Raw])
_TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")


@frozen
class StreamIdentity:
    """The fields of the first attempt's chunks that all chunks of the stream must repeat."""

    id: str
    created: int
    model: str = ""


@define(eq=False)
class StreamIdentities:
    """Identities of streams whose attempt failed, for the attempt that continues them.

    Above ``capacity`` the oldest entry is dropped, since no event reports that a request was given
    up. A continuation without an entry gets an id of its own.
    """

    capacity: int = 4_096
    _by_request: dict[RequestId, StreamIdentity] = field(init=False, factory=dict)

    def keep(self, request_id: RequestId, identity: StreamIdentity) -> None:
        """Store the identity of a stream whose attempt failed."""
        self._by_request.pop(request_id, None)
        self._by_request[request_id] = identity
        if len(self._by_request) > self.capacity:
            del self._by_request[next(iter(self._by_request))]

    def get(self, request_id: RequestId) -> StreamIdentity | None:
        """Return the identity of a stream, or None if it is not stored."""
        return self._by_request.get(request_id)

    def drop(self, request_id: RequestId) -> None:
        """Remove the identity of a stream that ended."""
        self._by_request.pop(request_id, None)


def attempt_body(start: StartAttempt, resumes: bool) -> bytes:
    """Return the request body for the engine, with the priority and the position to continue at.

    The body of a call is compact JSON with at least one field and no reserved field.
    """
    call = start.call
    extra = b',"priority":%d' % start.priority
    if start.delivered_tokens == 0:
        return call.body[:-1] + extra + b"}"
    if resumes:
        return call.body[:-1] + extra + b',"resume_from":%d}' % start.delivered_tokens
    fields: dict[str, Any] = dict(_FIELDS_DECODER.decode(call.body))
    for name in (*_TOKEN_LIMIT_FIELDS, "min_tokens"):
        _reduce_limit(fields, name, start.delivered_tokens)
    if call.path == CHAT_PATH:
        messages = msgspec.json.decode(fields["messages"], type=list[Raw])
        assistant_message = {"role": "assistant", "content": start.delivered_text}
        fields["messages"] = [*messages, assistant_message]
        fields["continue_final_message"] = True
        # A template that adds the prompt for a new message would end the message to be continued.
        fields["add_generation_prompt"] = False
    else:
        fields["prompt"] = msgspec.json.decode(fields["prompt"], type=str) + start.delivered_text
    fields["priority"] = start.priority
    return msgspec.json.encode(fields)


def is_exhausted(start: StartAttempt) -> bool:
    """Return whether the caller has received all the tokens that it requested."""
    limit = start.call.max_tokens
    return 0 < limit <= start.delivered_tokens


def length_event(start: StartAttempt, identity: StreamIdentity) -> bytes:
    """Return the last chunk of a stream that failed after its last token."""
    chat = start.call.path == CHAT_PATH
    content: dict[str, Any] = {"delta": {}} if chat else {"text": ""}
    chunk = {
        "id": identity.id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": identity.created,
        "model": identity.model or start.call.model,
        "choices": [{"index": 0, **content, "finish_reason": "length"}],
    }
    return msgspec.json.encode(chunk)


def identity_of(content: bytes) -> StreamIdentity | None:
    """Return the identity in a chunk, or None if it has no id."""
    chunk = msgspec.json.decode(content)
    if "id" not in chunk:
        return None
    return StreamIdentity(chunk["id"], chunk.get("created", 0), chunk.get("model", ""))


def continued_event(
    content: bytes, identity: StreamIdentity, start: StartAttempt, resumes: bool
) -> bytes | None:
    """Return a chunk of a later attempt as part of the first stream, or None if it is empty.

    The role delta is removed, since the first attempt has sent it.
    """
    chunk = msgspec.json.decode(content)
    chunk["id"] = identity.id
    chunk["created"] = identity.created
    for choice in chunk.get("choices", ()):
        delta = choice.get("delta")
        if delta and delta.pop("role", None) and not any(delta.values()):
            choice["delta"] = {}
    if not resumes and chunk.get("usage"):
        _correct_usage(chunk["usage"], start.delivered_tokens)
    return None if _is_empty(chunk) else msgspec.json.encode(chunk)


def _reduce_limit(fields: dict[str, Any], name: str, delivered_tokens: int) -> None:
    if name not in fields:
        return
    limit = msgspec.json.decode(fields[name], type=int | None)
    if limit is not None:
        fields[name] = max(limit - delivered_tokens, 0 if name == "min_tokens" else 1)


def _correct_usage(usage: dict[str, Any], delivered_tokens: int) -> None:
    """Count the delivered tokens as output; the engine counted them as part of the prompt."""
    output, prompt = usage.get("completion_tokens"), usage.get("prompt_tokens")
    if isinstance(output, int) and isinstance(prompt, int):
        usage["completion_tokens"] = output + delivered_tokens
        usage["prompt_tokens"] = max(prompt - delivered_tokens, 0)


def _is_empty(chunk: dict[str, Any]) -> bool:
    """Return whether a chunk has no content, finish reason or usage."""
    choices = chunk.get("choices", ())
    has_content = any(
        choice.get("delta") or choice.get("text") or choice.get("finish_reason")
        for choice in choices
    )
    return not has_content and not chunk.get("usage")
