"""ASGI application that serves callers of a configured deployment."""

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
from goldcrestridge_node.answers import ResponseBuffer, ResponseEffect
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
    UNSUPPORTED_HTTP_VERSION,
    EdgeOptions,
    Exchange,
    Page,
    Receive,
    Scope,
    Send,
)
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.responses import send_response

log = structlog.get_logger(__name__)

NOT_READY = Refusal(503, "not_ready", "The node has no configuration yet.", retry_after_ms=1000.0)
NOT_FOUND = Refusal(404, "not_found", "There is nothing at this path.")
METHOD_NOT_ALLOWED = Refusal(405, "method_not_allowed", "The path does not take this method.")
INTERNAL_ERROR = Refusal(500, "internal", "The router failed.", outcome=Outcome.UNKNOWN, close=True)


def _new_id() -> RequestId:
    return RequestId(secrets.token_hex(16))


@frozen
class EdgeHooks:
    """Callbacks of the node for the edge; none of them may block.

    ``submit`` passes an event to the requests role. ``addresses`` takes a workspace and a site.
    """

    submit: Callable[[CallerRequest | CallerGone], None]
    addresses: Callable[[str, str], Page]
    health: Callable[[], Page]
    ready: Callable[[], Page]
    metrics: Callable[[], Page]
    new_id: Callable[[], RequestId] = _new_id


@define(eq=False)
class Edge:
    """The ASGI application; it keeps one response buffer for each request in flight."""

    hooks: EdgeHooks
    node_site: str
    options: EdgeOptions = Factory(EdgeOptions)
    _directory: Directory | None = None
    _responses: dict[RequestId, ResponseBuffer] = field(init=False, default=Factory(dict))
    _reserved_bytes: int = field(init=False, default=0)

    def set_config(self, cfg: Configuration, classify: Classify) -> None:
        """Apply a configuration to the requests that arrive from now on."""
        self._directory = Directory(cfg, classify, self.node_site)

    @property
    def reserved_bytes(self) -> int:
        """Return the total size of the request bodies in memory, in bytes."""
        return self._reserved_bytes

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose response has not ended."""
        return len(self._responses)

    def deliver_nowait(self, effect: ResponseEffect) -> bool:
        """Buffer an effect for its caller; return False if the buffer is full."""
        buffer = self._responses.get(effect.request_id)
        return buffer is None or buffer.offer(effect)

    async def deliver(self, effect: ResponseEffect) -> None:
        """Buffer an effect for its caller; wait while the buffer is full."""
        buffer = self._responses.get(effect.request_id)
        if buffer is not None:
            await buffer.put(effect)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, self.hooks.new_id(), self.options)
        try:
            refusal = await self._route(exchange)
            if refusal is not None:
                await exchange.send_refusal(refusal)
        except Exception as exc:
            # The text of the exception is omitted, since it may quote the request.
            log.error("request_failed", request_id=exchange.request_id, error=type(exc).__name__)
            if not exchange.started:
                await exchange.send_refusal(INTERNAL_ERROR)
            exchange.conn.transport.close()

    async def _route(self, exchange: Exchange) -> Refusal | None:
        scope = exchange.scope
        if scope["http_version"] != "1.1":
            # HTTP/1.0 cannot show that a response of unknown length is cut.
            return UNSUPPORTED_HTTP_VERSION
        path: str = scope["path"]
        method: str = scope["method"]
        if path in (CHAT_PATH, TEXT_PATH):
            return await self._completion(exchange) if method == "POST" else METHOD_NOT_ALLOWED
        if scope["raw_path"].startswith(SERVICES_PREFIX.encode()):
            return await self._service(exchange)
        page = self._page(path)
        if page is None:
            return NOT_FOUND
        if method not in ("GET", "HEAD"):
            return METHOD_NOT_ALLOWED
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
        def build_call(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.completion(workspace, exchange.scope["path"], exchange.headers, body)

        return await self._run(exchange, build_call)

    async def _service(self, exchange: Exchange) -> Refusal | None:
        def build_call(directory: Directory, workspace: Workspace, body: bytes) -> Call | Refusal:
            return directory.service_call(workspace, exchange.scope, body)

        return await self._run(exchange, build_call)

    async def _run(
        self,
        exchange: Exchange,
        build_call: Callable[[Directory, Workspace, bytes], Call | Refusal],
    ) -> Refusal | None:
        """Read the body, submit the call to the requests role and send its response."""
        caller = self._caller(exchange.headers)
        if isinstance(caller, Refusal):
            return caller
        if len(self._responses) >= self.options.max_requests:
            return OVERLOADED
        exchange.conn.assign(caller[1].name)
        try:
            body = await exchange.read_body(self._reserve)
            if body is None:
                return None  # The caller has disconnected; nothing was run.
            if isinstance(body, Refusal):
                return body
            call = build_call(*caller, body)
            if isinstance(call, Refusal):
                return call
            await self._serve_call(exchange, call)
            return None
        finally:
            self._reserved_bytes -= exchange.reserved_bytes
            exchange.release()

    def _reserve(self, size: int) -> bool:
        """Reserve memory for ``size`` bytes of a request body.

        Return False if all bodies together would exceed ``max_reserved_bytes``.
        """
        if self._reserved_bytes + size > self.options.max_reserved_bytes:
            return False
        self._reserved_bytes += size
        return True

    async def _serve_call(self, exchange: Exchange, call: Call) -> None:
        if exchange.conn.transport.is_closing():
            return
        request_id = exchange.request_id
        buffer = ResponseBuffer(self.options.max_buffered_chunks)
        self._responses[request_id] = buffer
        exchange.conn.on_lost = buffer.close
        try:
            self.hooks.submit(CallerRequest(request_id, call))
            await send_response(exchange, buffer, call)
        finally:
            exchange.conn.on_lost = None
            buffer.close()
            del self._responses[request_id]
            if buffer.end is None:
                self.hooks.submit(CallerGone(request_id))
