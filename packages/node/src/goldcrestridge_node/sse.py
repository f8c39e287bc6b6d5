"""Incremental parser for the server-sent events of a completion stream."""

from __future__ import annotations

import msgspec
from attrs import define, field, frozen
from msgspec import UNSET, Raw, UnsetType

from goldcrestridge_core.decoding import MALFORMED, MAX_INTEGER

END_DATA = b"[DONE]"
_DATA = b"data:"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: Raw | UnsetType = UNSET


_CHUNK = msgspec.json.Decoder(_Chunk)


class StreamError(Exception):
    """Raised for a stream that cannot be forwarded; the text is sent to the caller."""


@frozen
class StreamEvent:
    """Event with its ``data``, the generated ``text`` in it and its number of ``tokens``."""

    data: bytes
    text: str
    tokens: int


@define(eq=False)
class EventReader:
    """Split a byte stream into events of at most ``max_event_bytes`` and count their tokens.

    A chunk with text counts as one token, unless the engine reports a cumulative usage.
    """

    max_event_bytes: int
    ended: bool = False
    _incomplete: bytes = b""
    _tokens: int = field(init=False, default=0)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by ``data``; raise StreamError for an invalid stream.

        Data after the end marker, comments and empty events are ignored.
        """
        if self.ended:
            return []
        buffer = self._incomplete + data if self._incomplete else data
        if b"\r" in buffer:
            buffer = buffer.replace(b"\r\n", b"\n")
        blocks = buffer.split(b"\n\n")
        self._incomplete = blocks.pop()
        if len(self._incomplete) > self.max_event_bytes:
            raise StreamError("The upstream sent an event that is too large.")
        events = []
        for block in blocks:
            content = _content(block)
            if content == END_DATA:
                self.ended = True
                self._incomplete = b""
                break
            if content:
                events.append(self._event(content))
        return events

    def _event(self, content: bytes) -> StreamEvent:
        if len(content) > self.max_event_bytes:
            raise StreamError("The upstream sent an event that is too large.")
        try:
            chunk = _CHUNK.decode(content)
        except MALFORMED:
            raise StreamError(
                "The upstream sent an event that is not a completion chunk."
            ) from None
        if chunk.error is not UNSET:
            raise StreamError("The upstream reported an error in the stream.")
        text = "".join(map(_choice_text, chunk.choices))
        return StreamEvent(content, text, self._count_tokens(chunk, text))

    def _count_tokens(self, chunk: _Chunk, text: str) -> int:
        if chunk.usage is None:
            tokens = 1 if text else 0
        else:
            tokens = max(0, min(chunk.usage.completion_tokens, MAX_INTEGER) - self._tokens)
        self._tokens += tokens
        return tokens


def event_bytes(content: bytes) -> bytes:
    """Encode an event for the wire."""
    return b"data: " + content + b"\n\n"


def _choice_text(choice: _Choice) -> str:
    if choice.delta is not None:
        return choice.delta.content or ""
    return choice.text or ""


def _content(block: bytes) -> bytes:
    """Return the data of an event; completion streams use no other fields."""
    if block.startswith(_DATA) and b"\n" not in block:
        return block[len(_DATA) :].strip()
    lines = [line for line in block.split(b"\n") if line.startswith(_DATA)]
    return b"\n".join(line[len(_DATA) :].strip() for line in lines)
