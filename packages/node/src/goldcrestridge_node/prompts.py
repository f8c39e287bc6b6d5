"""Decoding of completion requests: validation, token estimate and prefix hashes."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash
from attrs import frozen
from msgspec import UNSET, Meta, Raw, UnsetType

BLOCK_CHARS = 256
MAX_BLOCKS = 256  # Limits the hashes in a slot request to about 2.3 KB.
BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4  # For the role and the separators of the chat template.

# Set by the router only: a caller must not raise its priority or resume the request of another.
RESERVED_FIELDS = frozenset({"priority", "resume_from"})

PositiveCount = Annotated[int, Meta(ge=1, le=100_000_000)]


class _Part(msgspec.Struct):
    type: str
    text: str = ""


class _Message(msgspec.Struct):
    role: str
    content: str | list[_Part] | None = None
    tool_calls: Raw | UnsetType = UNSET


class _Common(msgspec.Struct, kw_only=True):
    model: str
    stream: bool | None = None
    n: PositiveCount | None = None
    max_tokens: PositiveCount | None = None
    logprobs: bool | int | None = None


class _ChatBody(_Common, kw_only=True):
    messages: list[_Message]
    max_completion_tokens: PositiveCount | None = None
    tools: Raw | UnsetType = UNSET
    functions: Raw | UnsetType = UNSET
    response_format: Raw | UnsetType = UNSET
    audio: Raw | UnsetType = UNSET
    continue_final_message: bool | None = None


class _TextBody(_Common, kw_only=True):
    prompt: str | list[str | int | list[int]]
    echo: bool | None = None
    best_of: PositiveCount | None = None


_CHAT = msgspec.json.Decoder(_ChatBody)
_TEXT = msgspec.json.Decoder(_TextBody)
_FIELDS = msgspec.json.Decoder(dict[str, Raw])


@frozen
class Prompt:
    """Decoded completion request.

    ``prompt_tokens`` is an estimate, and ``max_tokens`` is 0 if the request sets no limit.
    ``continuable`` tells whether another engine can continue the stream after a failure. ``body``
    is the request as compact JSON with every field once and no reserved field, so that the engine
    cannot read another value than the one checked here.
    """

    model: str
    stream: bool
    continuable: bool
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]
    body: bytes


def decode_chat(body: bytes) -> Prompt:
    """Decode a chat request; raise one of MALFORMED, whose message is sent to the caller."""
    req = _CHAT.decode(body)
    if not req.messages:
        raise msgspec.ValidationError("Expected at least one message - at `$.messages`")
    text = _chat_text(req)
    limits = [limit for limit in (req.max_completion_tokens, req.max_tokens) if limit]
    plain = all(
        field is UNSET for field in (req.tools, req.functions, req.response_format, req.audio)
    )
    return _prompt(
        req,
        body,
        text,
        max_tokens=min(limits, default=0),
        extra_tokens=TOKENS_PER_MESSAGE * len(req.messages),
        plain=plain and not req.continue_final_message and req.messages[-1].role != "assistant",
    )


def decode_text(body: bytes) -> Prompt:
    """Decode a text completion request; raise the same errors as ``decode_chat``."""
    req = _TEXT.decode(body)
    single = isinstance(req.prompt, str)
    text = req.prompt if isinstance(req.prompt, str) else repr(req.prompt)
    return _prompt(
        req,
        body,
        text,
        max_tokens=req.max_tokens or 0,
        extra_tokens=0,
        plain=single and not req.echo and (req.best_of or 1) == 1,
    )


def prefix_hashes(model: str, text: str) -> tuple[int, ...]:
    """Return a hash of each prefix of the prompt that ends with a full block."""
    digest = xxhash.xxh64(model.encode("utf-8", "surrogatepass"))
    hashes = []
    blocks = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for start in range(0, blocks * BLOCK_CHARS, BLOCK_CHARS):
        digest.update(text[start : start + BLOCK_CHARS].encode("utf-8", "surrogatepass"))
        hashes.append(digest.intdigest())
    return tuple(hashes)


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens, at least 1."""
    return max(1, len(text.encode("utf-8", "surrogatepass")) // BYTES_PER_TOKEN)


def _prompt(
    req: _Common, body: bytes, text: str, max_tokens: int, extra_tokens: int, plain: bool
) -> Prompt:
    stream = bool(req.stream)
    return Prompt(
        model=req.model,
        stream=stream,
        continuable=stream and plain and (req.n or 1) == 1 and not req.logprobs,
        prompt_tokens=estimate_tokens(text) + extra_tokens,
        max_tokens=max_tokens,
        prefix=prefix_hashes(req.model, text),
        body=_canonical(body),
    )


def _canonical(body: bytes) -> bytes:
    fields = _FIELDS.decode(body)
    for name in RESERVED_FIELDS & fields.keys():
        del fields[name]
    return msgspec.json.encode(fields)


def _chat_text(req: _ChatBody) -> str:
    """Return the text of a prompt: the tools, then the role and text of each message."""
    texts = [] if req.tools is UNSET else [bytes(req.tools).decode("utf-8", "replace")]
    for item in req.messages:
        texts.append(item.role)
        texts.append(_content_text(item.content))
        if item.tool_calls is not UNSET:
            texts.append(bytes(item.tool_calls).decode("utf-8", "replace"))
    return "\n".join(texts)


def _content_text(content: str | list[_Part] | None) -> str:
    if isinstance(content, list):
        return "\n".join(part.text or part.type for part in content)
    return content or ""
