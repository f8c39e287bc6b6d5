"""ASGI application towards callers."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import msgspec
import structlog
from attrs import Factory, define, field, frozen

from goldcrestridge_core.call_types import (
    Call,
    CallerGone,
    CallerRequest,
)
from goldcrestridge_core.config import Configuration, Workspace
from goldcrestridge_core.types import Headers, Outcome, RequestId
from goldcrestridge_node.answers import AnswerBuffer, Effect
from goldcrestridge_node.calls import (
    CHAT_PATH,
    SERVICES_PREFIX,
    TEXT_PATH,
    UNAUTHORIZED,
    Classify,
    Directory,
)
from goldcrestridge_node.exchange import (
    OVERLOADED,
    EdgeOptions,
    Exchange,
    Page,
    Receive,
    Scope,
    Send,
)
from goldcrestridge_node.refusals import Refusal

log = structlog.get_logger(__name__)

NOT_READY = Refusal(503, "not_ready", "The node has no configuration yet.", retry_after_ms=1000.0)
NOT_FOUND = Refusal(404, "not_found", "There is nothing at this path.")
WRONG_METHOD = Refusal(405, "method_not_allowed", "The path does not take this method.")
OLD_HTTP = Refusal(505, "http_version", "Only HTTP/1.1 is supported.", close=True)
INTERNAL = Refusal(500, "internal", "The router failed.", outcome=Outcome.UNKNOWN, close=True)


def _new_id() -> RequestId:
    return RequestId(secrets.token_hex(16))


@frozen
class EdgeHooks:
    """Functions of the node that the edge calls; none of them may block.

    ``submit`` hands an event to the requests role, ``addresses`` takes workspace and site.
    """

    submit: Callable[[CallerRequest | CallerGone], None]
    addresses: Callable[[str, str], Page]
    health: Callable[[], Page]
    ready: Callable[[], Page]
    metrics: Callable[[], Page]
    new_id: Callable[[], RequestId] = _new_id


@define(eq=False)
class Edge:
    """The ASGI application; one answer is open for every request in flight."""

    hooks: EdgeHooks
    node_site: str
    options: EdgeOptions = Factory(EdgeOptions)
    _directory: Directory | None = None
    _answers: dict[RequestId, AnswerBuffer] = field(init=False, default=Factory(dict))
    _held_bytes: int = field(init=False, default=0)

    def set_config(self, cfg: Configuration, classify: Classify) -> None:
        """Put a configuration in force for the requests that arrive from now on."""
        self._directory = Directory(cfg, classify, self.node_site)

    @property
    def held_bytes(self) -> int:
        """Return the size of all request bodies in memory."""
        return self._held_bytes

    @property
    def in_flight(self) -> int:
        """Return the number of calls whose answer has not ended."""
        return len(self._answers)

    def deliver_nowait(self, effect: Effect) -> bool:
        """Pass an effect to its caller; return False if the caller is slow and it must wait."""
        answer = self._answers.get(effect.request_id)
        return answer is None or answer.offer(effect)

    async def deliver(self, effect: Effect) -> None:
        """Pass an effect to its caller, and wait while the caller is slower than the upstream."""
        answer = self._answers.get(effect.request_id)
        if answer is not None:
            await answer.put(effect)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, self.hooks.new_id(), self.options)
        try:
            refusal = await self._route(exchange)
            if refusal is not None:
                await exchange.send_refusal(refusal)
        except Exception as exc:
            # Without the exception's text, which may quote the request.
            log.error("request_failed", request_id=exchange.request_id, error=type(exc).__name__)
            if not exchange.started:
                await exchange.send_refusal(INTERNAL)
            exchange.conn.transport.close()

    async def _route(self, exchange: Exchange) -> Refusal | None:
        scope = exchange.scope
        if scope["http_version"] != "1.1":
            return OLD_HTTP  # HTTP/1.0 cannot tell a broken answer of unknown length.
        path: str = scope["path"]
        method: str = scope["method"]
        if path in (CHAT_PATH, TEXT_PATH):
            return await self._completion(exchange) if method == "POST" else WRONG_METHOD
        if scope["raw_path"].startswith(SERVICES_PREFIX.encode()):
            return await self._service(exchange)
        page = self._page(path)
        if page is None:
            return NOT_FOUND
        if method not in ("GET", "HEAD"):
            return WRONG_METHOD
        content = page(exchange.headers)
        if isinstance(content, Refusal):
            return content
        await exchange.send_page(content)
        return None

    def _page(self, path: str) -> Callable[[Headers], Page | Refusal] | None:
        pages: dict[str, Callable[[Headers], Page | Refusal]] = {
            "/healthz": lambda _: self.hooks.health(),
            "/readyz": lambda _: self.hooks.ready(),
            "/metrics": lambda _: self.hooks.metrics(),
            "/v1/models": self._models,
            "/addresses": self._addresses,
        }
        return pages.get(path)

    def _models(self, headers: Headers) -> Page | Refusal:
        caller = self._caller(headers)
        if isinstance(caller, Refusal):
            return caller
        directory, workspace = caller
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "goldcrestridge"}
            for name in directory.models(workspace)
        ]
        return Page(msgspec.json.encode({"object": "list", "data": data}))

    def _addresses(self, headers: Headers) -> Page | Refusal:
        caller = self._caller(headers)
        if isinstance(caller, Refusal):
            return caller
        directory, workspace = caller
        return self.hooks.addresses(workspace.name, directory.site(workspace, headers))

    def _caller(self, headers: Headers) -> tuple[Directory, Workspace] | Refusal:
        if self._directory is None:
            return NOT_READY
        workspace = self._directory.authenticate(headers)
        return (self._directory, workspace) if workspace else UNAUTHORIZED

    async def _completion(self, exchange: Exchange) -> Refusal | None:
        def call_of(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.completion(workspace, exchange.scope["path"], exchange.headers, body)

        return await self._run(exchange, call_of)

    async def _service(self, exchange: Exchange) -> Refusal | None:
        def call_of(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.service_call(workspace, exchange.scope, body)

        return await self._run(exchange, call_of)

    async def _run(
        self,
        exchange: Exchange,
        call_of: Callable[[Directory, Workspace, bytes], Call | Refusal],
    ) -> Refusal | None:
        """Read the body, hand the call to the requests role and send what it answers."""
        caller = self._caller(exchange.headers)
        if isinstance(caller, Refusal):
            return caller
        if len(self._answers) >= self.options.max_requests:
            return OVERLOADED
        try:
            body = await exchange.read_body(self._reserve)
            if body is None:
                return None  # The caller has gone; nothing ran.
            if isinstance(body, Refusal):
                return body
            call = call_of(*caller, body)
            if isinstance(call, Refusal):
                return call
            await self._answer(exchange, call)
            return None
        finally:
            self._held_bytes -= exchange.reserved_bytes

    def _reserve(self, size: int) -> bool:
        """Account for ``size`` more bytes of request bodies; return False if there is no room."""
        if self._held_bytes + size > self.options.max_held_bytes:
            return False
        self._held_bytes += size
        return True

    async def _answer(self, exchange: Exchange, call: Call) -> None:
        if exchange.conn.transport.is_closing():
            return
        request_id = exchange.request_id
        answer = AnswerBuffer(self.options.chunk_buffer)
        self._answers[request_id] = answer
        exchange.conn.on_lost = answer.close
        try:
            self.hooks.submit(CallerRequest(request_id, call))
            await exchange.send_answer(answer, call)
        finally:
            exchange.conn.on_lost = None
            answer.close()
            del self._answers[request_id]
            if answer.end is None:
                self.hooks.submit(CallerGone(request_id))
