"""Delivery of one answer to its caller across attempts."""

from __future__ import annotations

from attrs import define, field

from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptHead,
    Call,
    RespondChunk,
    RespondEnd,
    RespondHead,
)
from goldcrestridge_core.types import Headers, RequestId

# An answer that is not a stream is buffered up to this size. Until the caller has received the
# first byte, the request can be retried on another upstream, or fail with an error response.
MAX_BUFFERED_BYTES = 1024 * 1024

# Software version of the upstream that sent an answer.
VERSION_HEADER = b"x-upstream-version"

Response = RespondHead | RespondChunk | RespondEnd


@define
class Timing:
    """First-token and inter-token times of one attempt; a negative time means not measured."""

    started_ms: float
    first_ms: float = -1.0
    last_ms: float = -1.0
    tokens: int = 0
    first_tokens: int = 0

    def observe(self, tokens: int, now_ms: float) -> None:
        """Record output that arrived at ``now_ms``."""
        if self.first_ms < 0.0:
            self.first_ms = now_ms
            self.first_tokens = tokens
        self.last_ms = now_ms
        self.tokens += tokens

    def first_token_ms(self) -> float:
        """Return the time from the start to the first output, or -1 before it."""
        return self.first_ms - self.started_ms if self.first_ms >= 0.0 else -1.0

    def inter_token_ms(self) -> float:
        """Return the mean time between tokens after the first chunk, or -1 if there are none."""
        later = self.tokens - self.first_tokens
        return (self.last_ms - self.first_ms) / later if later > 0 else -1.0


@define
class Answer:
    """Answer that the caller has received so far, and buffered chunks of the current attempt.

    Chunks without text (roles, finish reasons, incomplete characters) are buffered until a chunk
    with text or the end follows, because a continuation on another engine sends its own.
    """

    request_id: RequestId
    call: Call
    head_sent: bool = False
    status: int = 0
    headers: Headers = ()
    delivered_tokens: int = 0
    _texts: list[str] = field(factory=list)
    _head: AttemptHead | None = None
    _buffered: list[AttemptChunk] = field(factory=list)
    _buffered_bytes: int = 0
    delivering: bool = False  # The caller has received data of the current attempt.

    @property
    def delivered_text(self) -> str:
        """Return the text that the caller has received."""
        return "".join(self._texts)

    @property
    def continuable(self) -> bool:
        """Return whether another attempt may continue after the delivered text."""
        return self.call.stream and self.call.continuable

    @property
    def restartable(self) -> bool:
        """Return whether another attempt can still produce the whole answer."""
        return not self.head_sent or self.continuable

    @property
    def has_head(self) -> bool:
        """Return whether the current attempt has sent its head."""
        return self._head is not None

    @property
    def buffered_tokens(self) -> int:
        """Return the number of tokens that are received but not delivered."""
        return sum(chunk.tokens for chunk in self._buffered)

    def receive_head(self, head: AttemptHead) -> None:
        """Store the head of the current attempt; it is sent with the first data."""
        self._head = head

    def accepts(self, head: AttemptHead) -> bool:
        """Return whether an attempt with this head can continue the delivered answer."""
        return not self.head_sent or (
            head.status == self.status and version_in(head.headers) == self.version
        )

    @property
    def version(self) -> str | None:
        """Return the software version that began the delivered answer, or None before its head."""
        return version_in(self.headers) if self.head_sent else None

    def receive_chunk(self, chunk: AttemptChunk) -> list[Response]:
        """Deliver or buffer one chunk of the current attempt."""
        self._buffered.append(chunk)
        self._buffered_bytes += len(chunk.data)
        if self.call.stream:
            deliver = bool(chunk.text) or not self.call.continuable
        else:
            deliver = self.delivering or self._buffered_bytes > MAX_BUFFERED_BYTES
        return self._flush(at_end=False) if deliver else []

    def end(self) -> list[Response]:
        """Deliver the buffered chunks and end the complete answer."""
        return [*self._flush(at_end=True), RespondEnd(self.request_id)]

    def discard(self) -> None:
        """Discard the buffered data of the current attempt."""
        self._buffered.clear()
        self._buffered_bytes = 0
        self._head = None
        self.delivering = False

    def _flush(self, *, at_end: bool) -> list[Response]:
        """Deliver the head, once per request, and all buffered chunks."""
        out: list[Response] = []
        continued = self.head_sent and not self.delivering
        if not self.head_sent and self._head is not None:
            self.status, self.headers = self._head.status, self._head.headers
            out.append(RespondHead(self.request_id, self.status, self.headers))
            self.head_sent = True
        # The opening chunks of a continuation are dropped, since the caller has them already. Other
        # chunks without text before its first text are dropped too, unless the answer ends without
        # further text: then they may belong to its end.
        skip_empty = continued and not at_end and self.continuable
        chunks = [
            chunk
            for chunk in self._buffered
            if not (continued and chunk.opening)
            and not (skip_empty and not chunk.text and not chunk.tokens)
        ]
        for chunk in chunks:
            out.append(RespondChunk(self.request_id, chunk.data))
            self._texts.append(chunk.text)
            self.delivered_tokens += chunk.tokens
        self._buffered.clear()
        self._buffered_bytes = 0
        self.delivering = True
        return out


def version_in(headers: Headers) -> str:
    """Return the software version that an answer states, or an empty string."""
    return next((value.decode("latin-1") for name, value in headers if name == VERSION_HEADER), "")
