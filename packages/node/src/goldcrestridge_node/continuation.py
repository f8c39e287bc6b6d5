"""Continuation of a completion stream on another engine as one stream for the caller."""

from __future__ import annotations

from typing import Any

import msgspec
from attrs import define, field, frozen
from msgspec import Raw

from goldcrestridge_core.call_types import StartAttempt
from goldcrestridge_core.types import RequestId
from goldcrestridge_node.calls import CHAT_PATH

_FIELDS = msgspec.json.Decoder(dict[str, Raw])
_BOUNDS = ("max_tokens", "max_completion_tokens")


@frozen
class StreamIdentity:
    """The fields of the first attempt's chunks that all chunks of the stream carry."""

    id: str
    created: int
    model: str = ""


@define(eq=False)
class StreamIdentities:
    """StreamIdentities of streams whose attempt broke, for the attempt that continues them.

    The oldest entry is dropped above ``capacity``, since nothing tells that a request was given
    up; its continuation then shows the id of the new attempt.
    """

    capacity: int = 4_096
    _known: dict[RequestId, StreamIdentity] = field(init=False, factory=dict)

    def keep(self, request_id: RequestId, identity: StreamIdentity) -> None:
        """Remember the identity of a broken stream."""
        self._known.pop(request_id, None)
        self._known[request_id] = identity
        if len(self._known) > self.capacity:
            del self._known[next(iter(self._known))]

    def get(self, request_id: RequestId) -> StreamIdentity | None:
        """Return the identity of a stream, if it is known."""
        return self._known.get(request_id)

    def drop(self, request_id: RequestId) -> None:
        """Forget a stream that ended."""
        self._known.pop(request_id, None)


def attempt_body(start: StartAttempt, resumes: bool) -> bytes:
    """Return the request body for the engine: with priority and, if continued, the offset.

    The body of a call is compact JSON with at least one field and no reserved field.
    """
    call = start.call
    extra = b',"priority":%d' % start.priority
    if start.delivered_tokens == 0:
        return call.body[:-1] + extra + b"}"
    if resumes:
        return call.body[:-1] + extra + b',"resume_from":%d}' % start.delivered_tokens
    fields: dict[str, Any] = dict(_FIELDS.decode(call.body))
    for name in (*_BOUNDS, "min_tokens"):
        _reduce(fields, name, start.delivered_tokens)
    if call.path == CHAT_PATH:
        messages = msgspec.json.decode(fields["messages"], type=list[Raw])
        last = {"role": "assistant", "content": start.delivered_text}
        fields["messages"] = [*messages, last]
        fields["continue_final_message"] = True
        # Templates that add the prompt of a new answer would end the message to be continued.
        fields["add_generation_prompt"] = False
    else:
        fields["prompt"] = msgspec.json.decode(fields["prompt"], type=str) + start.delivered_text
    fields["priority"] = start.priority
    return msgspec.json.encode(fields)


def is_exhausted(start: StartAttempt) -> bool:
    """Return whether the caller already has all the tokens that it asked for."""
    limit = start.call.max_tokens
    return 0 < limit <= start.delivered_tokens


def length_event(start: StartAttempt, identity: StreamIdentity) -> bytes:
    """Return the last chunk of a stream that broke after its last token."""
    chat = start.call.path == CHAT_PATH
    part: dict[str, Any] = {"delta": {}} if chat else {"text": ""}
    chunk = {
        "id": identity.id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": identity.created,
        "model": identity.model or start.call.model,
        "choices": [{"index": 0, **part, "finish_reason": "length"}],
    }
    return msgspec.json.encode(chunk)


def identity_of(content: bytes) -> StreamIdentity | None:
    """Return the identity that a chunk carries."""
    chunk = msgspec.json.decode(content)
    if "id" not in chunk:
        return None
    return StreamIdentity(chunk["id"], chunk.get("created", 0), chunk.get("model", ""))


def continued_event(
    content: bytes, identity: StreamIdentity, start: StartAttempt, resumes: bool
) -> bytes | None:
    """Return a chunk of a later attempt as part of the first stream, or None to drop it."""
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


def _reduce(fields: dict[str, Any], name: str, delivered: int) -> None:
    if name not in fields:
        return
    limit = msgspec.json.decode(fields[name], type=int | None)
    if limit is not None:
        fields[name] = max(limit - delivered, 0 if name == "min_tokens" else 1)


def _correct_usage(usage: dict[str, Any], delivered: int) -> None:
    """Count the delivered tokens as output; the engine saw them as part of the prompt."""
    output, prompt = usage.get("completion_tokens"), usage.get("prompt_tokens")
    if isinstance(output, int) and isinstance(prompt, int):
        usage["completion_tokens"] = output + delivered
        usage["prompt_tokens"] = max(prompt - delivered, 0)


def _is_empty(chunk: dict[str, Any]) -> bool:
    """Return whether nothing is left but the frame of a role delta."""
    choices = chunk.get("choices", ())
    says_something = any(
        choice.get("delta") or choice.get("text") or choice.get("finish_reason")
        for choice in choices
    )
    return not says_something and not chunk.get("usage")
