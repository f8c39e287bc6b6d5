"""HTTP stand-in of a model engine.

Usage:
  engine_http [options]

Options:
  --host=HOST            Address to listen on [default: 127.0.0.1].
  --port=PORT            Port to listen on, 0 for any [default: 0].
  --slots=N              Concurrent requests [default: 8].
  --first-token-ms=MS    Time to the first token [default: 0].
  --prefill-token-ms=MS  Additional time to the first token per prompt token [default: 0].
  --token-ms=MS          Time between output tokens [default: 0].
  --load-lag-ms=MS       Age of the load report [default: 0].
  --check-fencing        Refuse orders with an outdated fencing number.
  --resumes              Support resuming a stream from a token offset.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Any
from urllib.parse import parse_qs

import anyio
import anyio.lowlevel
import msgspec
from attrs import define, field
from docopt import docopt

from goldcrestridge_core.attempts import VERSION_HEADER
from goldcrestridge_lab.asgi import (
    Notices,
    Receive,
    Scope,
    Send,
    connection,
    header,
    identified,
    read_body,
    run_command,
    send_body,
    send_head,
    send_json,
)
from goldcrestridge_lab.simple_engine import Engine, SimpleEngine, TokenSource, sleep_ms
from goldcrestridge_node.prompts import estimate_tokens, prefix_hashes
from goldcrestridge_node.server import listen

CHAT_PATH = "/v1/chat/completions"
MAX_KNOWN_REQUESTS = 10_000
MAX_CACHE_BLOCKS = 4_096
MAX_CACHE_EVENTS = 1_024
MAX_TOKENS = 100_000
CREATED = 1_700_000_000
EVENT_STREAM_HEADERS = ((b"content-type", b"text/event-stream"),)
LEAVING_HEADERS = ((b"x-upstream-leaving", b"1"),)


class Message(msgspec.Struct):
    """A chat message with plain text content, the only kind that the stand-in supports."""

    role: str
    content: str = ""


class CompletionRequest(msgspec.Struct):
    """The fields of a completion request that the stand-in supports."""

    model: str
    messages: list[Message] = []
    prompt: str = ""
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = 0
    resume_from: int = 0
    continue_final_message: bool = False

    def limit(self) -> int:
        """Return the output limit in tokens."""
        bounds = [bound for bound in (self.max_tokens, self.max_completion_tokens) if bound]
        return min(bounds, default=MAX_TOKENS)


class Control(msgspec.Struct):
    """A change of the stand-in's behaviour; absent fields stay as they are."""

    crash: bool = False
    leave: bool | None = None
    slow_factor: float | None = None
    fail_after_tokens: int | None = None  # Abort the next answers after so many tokens.
    fail_times: int = 1  # Number of answers to abort.
    error_event: bool = False  # Send an error event before the abort.
    limit_per_second: float | msgspec.UnsetType | None = msgspec.UNSET
    version: str | None = None
    announce: bool | None = None  # Say in each answer that the engine leaves, but serve.
    rest_s: float = 0.0  # Reject the next call with this Retry-After.


class Order(msgspec.Struct):
    """An order to the engine, guarded by a fencing number."""

    fencing: int
    kind: str
    argument: str = ""


class Stats(msgspec.Struct):
    """Counters of the stand-in."""

    started: int = 0
    completed: int = 0
    cancelled: int = 0
    failed: int = 0
    refused: int = 0
    tokens: int = 0


@define(eq=False)
class PrefixCache:
    """LRU cache of prompt blocks with a bounded log of numbered events.

    A reader that falls behind the log finds a gap in the sequence numbers.
    """

    capacity: int = MAX_CACHE_BLOCKS
    next_sequence: int = 1
    _blocks: OrderedDict[int, None] = field(factory=OrderedDict)
    _events: deque[dict[str, Any]] = field(factory=lambda: deque(maxlen=MAX_CACHE_EVENTS))

    def add(self, hashes: tuple[int, ...]) -> None:
        """Add the blocks of a prompt; evict the least recently used blocks beyond the capacity."""
        for block in hashes:
            if block not in self._blocks:
                self._record("added", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._record("evicted", self._blocks.popitem(last=False)[0])

    def events_after(self, sequence: int) -> list[dict[str, Any]]:
        """Return the retained events with a higher sequence number."""
        return [event for event in self._events if event["sequence"] > sequence]

    def _record(self, kind: str, block: int) -> None:
        self._events.append({"sequence": self.next_sequence, "kind": kind, "block": block})
        self.next_sequence += 1


class AbortConnectionError(Exception):
    """Raised to abort the connection of a request."""


def canonical_text(body: CompletionRequest) -> tuple[str, str]:
    """Return the prompt and the answer text that the request continues."""
    if body.prompt:
        return body.prompt, ""
    messages = list(body.messages)
    answer_prefix = messages.pop().content if body.continue_final_message else ""
    return "\n".join(f"{item.role}\n{item.content}" for item in messages), answer_prefix


@define(eq=False)
class EngineApp:
    """ASGI application of the stand-in."""

    engine: Engine
    check_fencing: bool = False
    resumes: bool = False
    crash: anyio.Event = field(factory=anyio.Event)
    stats: Stats = field(factory=Stats)
    leaving: bool = False
    limit_per_second: float | None = None
    version: str = ""
    notices: Notices = field(factory=Notices)
    requests: list[dict[str, Any]] = field(factory=list)  # The last 100 decoded bodies, for tests.
    _cache: PrefixCache = field(factory=PrefixCache)
    _fail_after_tokens: int = 0
    _remaining_failures: int = 0
    _error_event: bool = False
    _highest_fencing: int = 0
    _orders: list[Order] = field(factory=list)
    _known_requests: OrderedDict[str, None] = field(factory=OrderedDict)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read_body(receive)
        send = identified(scope, send, self.notices)
        route = (scope["method"], scope["path"])
        if route in (("POST", CHAT_PATH), ("POST", "/v1/completions")):
            await self._handle_completion(scope, body, send)
        elif route == ("POST", "/control"):
            await self._handle_control(msgspec.json.decode(body, type=Control), send)
        elif route == ("POST", "/orders"):
            await self._handle_order(msgspec.json.decode(body, type=Order), send)
        else:
            await self._handle_query(scope, send)

    async def _handle_query(self, scope: Scope, send: Send) -> None:
        if scope["path"] == "/load":
            await send_json(send, self._load_report())
        elif scope["path"] == "/cache_events":
            after = parse_qs(scope["query_string"].decode()).get("after", ["0"])
            events = self._cache.events_after(int(after[0]))
            await send_json(send, {"next": self._cache.next_sequence, "events": events})
        elif scope["path"] == "/orders":
            await send_json(send, self._orders)
        elif scope["path"] == "/stats":
            await send_json(send, self.stats)
        else:
            await send_json(send, {"error": {"message": "There is nothing here."}}, 404)

    def _load_report(self) -> dict[str, Any]:
        state = self.engine.load()
        return {
            "time_ms": state.time_ms,
            "age_ms": self.engine.load_lag_ms,
            "running": state.running,
            "waiting": state.waiting,
            "slots": self.engine.slots,
            "leaving": self.leaving,
            "limit_per_second": self.limit_per_second,
            "version": self.version,
        }

    async def _handle_control(self, control: Control, send: Send) -> None:
        if control.crash:
            await send_json(send, {})
            self.crash.set()
            return
        if control.leave is not None:
            self.leaving = control.leave
        if control.limit_per_second is not msgspec.UNSET:
            self.limit_per_second = control.limit_per_second
        if control.announce is not None:
            self.notices.announces = control.announce
        if control.rest_s:
            self.notices.rest_s, self.notices.rejections = control.rest_s, 1
        if control.version is not None:
            self.version = control.version
        if control.slow_factor is not None:
            self.engine.slow_factor = control.slow_factor
        if control.fail_after_tokens is not None:
            self._fail_after_tokens = control.fail_after_tokens
            self._remaining_failures = control.fail_times
            self._error_event = control.error_event
        await send_json(send, {})

    async def _handle_order(self, order: Order, send: Send) -> None:
        if self.check_fencing and order.fencing < self._highest_fencing:
            await send_json(send, {"fencing": self._highest_fencing}, 409)
            return
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._orders.append(order)
        await send_json(send, {"applied": len(self._orders)})

    async def _handle_completion(self, scope: Scope, data: bytes, send: Send) -> None:
        if connection(scope).transport.is_closing():
            self.stats.cancelled += 1
            return
        if self.leaving:
            self.stats.refused += 1
            await send_json(
                send, {"error": {"message": "The engine is leaving."}}, 503, LEAVING_HEADERS
            )
            return
        rejection = self.notices.take_rejection()
        if rejection is not None:
            await send_json(send, {"error": {"message": "The engine is busy."}}, 503, rejection)
            return
        body = msgspec.json.decode(data, type=CompletionRequest)
        request_id = header(scope, b"x-request-id")
        if body.resume_from and not (self.resumes and request_id in self._known_requests):
            await send_json(send, {"error": {"message": "The request is unknown."}}, 409)
            return
        self._remember(request_id, data)
        conn = connection(scope)
        with anyio.CancelScope() as cancelled:
            conn.on_lost = cancelled.cancel
            try:
                await self._run(scope["path"] == CHAT_PATH, body, send)
            except AbortConnectionError:
                self.stats.failed += 1
                conn.abort()
        if cancelled.cancelled_caught:
            self.stats.cancelled += 1
        conn.on_lost = None

    def _remember(self, request_id: str, data: bytes) -> None:
        self.requests = [*self.requests[-99:], msgspec.json.decode(data)]
        self._known_requests[request_id] = None
        if len(self._known_requests) > MAX_KNOWN_REQUESTS:
            self._known_requests.popitem(last=False)

    async def _run(self, chat: bool, body: CompletionRequest, send: Send) -> None:
        await self.engine.acquire(body.priority)
        try:
            self.stats.started += 1
            prompt, answer_prefix = canonical_text(body)
            self._cache.add(prefix_hashes(body.model, prompt))
            prompt_tokens = estimate_tokens(prompt + answer_prefix)
            await sleep_ms(self.engine.first_token_ms(prompt_tokens))
            response = CompletionResponse(chat, body, prompt_tokens, send, self.version)
            await self._generate(response, TokenSource(prompt + answer_prefix), body)
            self.stats.completed += 1
        finally:
            self.engine.release()

    async def _generate(
        self, response: CompletionResponse, source: TokenSource, body: CompletionRequest
    ) -> None:
        await response.start()
        limit = body.limit()
        fail_after = self._take_failure()
        position = 0
        while True:
            if position - body.resume_from == fail_after:
                await self._fail(response)
            token = source.next_token() if position < limit else None
            if token is None:
                break
            position += 1
            if position > body.resume_from:
                await response.add(token)
                self.stats.tokens += 1
                await sleep_ms(self.engine.token_ms())
        await response.finish("length" if position >= limit else "stop")

    def _take_failure(self) -> int | None:
        if self._remaining_failures == 0:
            return None
        self._remaining_failures -= 1
        return self._fail_after_tokens

    async def _fail(self, response: CompletionResponse) -> None:
        if self._error_event:
            await send_body(response.send, b'data: {"error":{"message":"out of memory"}}\n\n')
        # An abort drops unsent bytes; give the transport a chance to send them first.
        await anyio.lowlevel.checkpoint()
        raise AbortConnectionError


@define(eq=False)
class CompletionResponse:
    """The response to one request, streamed or as one JSON object."""

    chat: bool
    body: CompletionRequest
    prompt_tokens: int
    send: Send
    version: str = ""
    tokens: list[str] = field(factory=list)
    _chunk_frame: tuple[bytes, bytes] = field(init=False, default=(b"", b""))

    def __attrs_post_init__(self) -> None:
        """Encode the constant bytes around the text of a chunk once."""
        choice = {"delta": {"content": "@"}} if self.chat else {"text": "@"}
        before, after = msgspec.json.encode(self._chunk(choice, None)).split(b"@")
        self._chunk_frame = (b"data: " + before, after + b"\n\n")

    async def start(self) -> None:
        """Send the response head and the role event, if the response is streamed."""
        if not self.body.stream:
            return
        version = ((VERSION_HEADER, self.version.encode()),) if self.version else ()
        await send_head(self.send, 200, EVENT_STREAM_HEADERS + version)
        if self.chat:
            await self._send_event({"delta": {"role": "assistant", "content": ""}}, None)

    async def add(self, token: str) -> None:
        """Add an output token, and send it if the response is streamed."""
        self.tokens.append(token)
        if self.body.stream:
            await send_body(self.send, self._chunk_frame[0] + token.encode() + self._chunk_frame[1])

    async def finish(self, reason: str) -> None:
        """Send the end of the stream, or the whole response."""
        if self.body.stream:
            await self._send_event({"delta": {}} if self.chat else {"text": ""}, reason)
            await send_body(self.send, b"data: [DONE]\n\n", more=False)
            return
        text = "".join(self.tokens)
        choice: dict[str, Any] = {"text": text}
        if self.chat:
            choice = {"message": {"role": "assistant", "content": text}}
        usage = {"prompt_tokens": self.prompt_tokens, "completion_tokens": len(self.tokens)}
        await send_json(self.send, self._chunk(choice, reason) | {"usage": usage})

    async def _send_event(self, choice: dict[str, Any], reason: str | None) -> None:
        chunk = msgspec.json.encode(self._chunk(choice, reason))
        await send_body(self.send, b"data: " + chunk + b"\n\n")

    def _chunk(self, choice: dict[str, Any], reason: str | None) -> dict[str, Any]:
        kind = "chat.completion" if self.chat else "text_completion"
        return {
            "id": f"cmpl-{id(self):x}",
            "object": kind + (".chunk" if self.chat and self.body.stream else ""),
            "created": CREATED + id(self) % 1_000,
            "model": self.body.model,
            "choices": [{"index": 0, **choice, "finish_reason": reason}],
        }


def main(argv: list[str] | None = None) -> None:
    """Run the stand-in until it is stopped or told to crash."""
    args = docopt(__doc__, argv)
    engine = SimpleEngine(
        slots=int(args["--slots"]),
        base_first_token_ms=float(args["--first-token-ms"]),
        prefill_token_ms=float(args["--prefill-token-ms"]),
        base_token_ms=float(args["--token-ms"]),
        load_lag_ms=float(args["--load-lag-ms"]),
    )

    async def run() -> None:
        app = EngineApp(engine, args["--check-fencing"], args["--resumes"])
        await run_command(app, listen(args["--host"], int(args["--port"])), app.crash)

    anyio.run(run)


if __name__ == "__main__":
    main()
