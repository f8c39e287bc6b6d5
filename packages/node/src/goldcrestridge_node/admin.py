"""ASGI application for operators: status, timeline, configuration and drain."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from attrs import frozen

from goldcrestridge_core.decoding import MALFORMED
from goldcrestridge_core.documents import Document, decode_document, encode_document
from goldcrestridge_core.store_types import ApplyConfig, ApplyResult
from goldcrestridge_core.types import RequestId, TimelineEvent
from goldcrestridge_core.validation import validate
from goldcrestridge_node.exchange import EdgeOptions, Exchange, Page, Receive, Scope, Send
from goldcrestridge_node.refusals import Refusal

OPTIONS = EdgeOptions(max_body_bytes=16 * 1024 * 1024)


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/config."""

    change_id: str
    base_version: int
    document: dict[str, dict[str, Any]]


class DrainRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/drain; the deadline is in milliseconds."""

    deadline_ms: float | None = None


@frozen
class CurrentConfig:
    """Configuration in force on this node; ``document`` is empty before the first one."""

    version: int
    digest: str
    document: bytes


@frozen
class AdminHooks:
    """Functions of the node that the application calls.

    ``operators`` returns the key digest of each operator. ``apply`` returns None if no quorum
    answered; the change may have been accepted.
    """

    operators: Callable[[], dict[str, str]]
    status: Callable[[], dict[str, Any]]
    events: Callable[[dict[str, str]], list[TimelineEvent]]
    current_config: Callable[[], CurrentConfig]
    apply: Callable[[ApplyConfig], Awaitable[ApplyResult | None]]
    drain: Callable[[float | None], dict[str, Any]]
    metrics: Callable[[], bytes]


def _json(status: int, body: Any) -> Page:
    return Page(msgspec.json.encode(body), status)


class Admin:
    """Serve operators; all paths except /metrics and /healthz require an operator's key."""

    def __init__(self, hooks: AdminHooks) -> None:
        self._hooks = hooks

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, RequestId(""), OPTIONS)
        try:
            page = await self._route(scope, exchange)
            if page is not None:
                await exchange.send_page(page)
        finally:
            exchange.release()

    async def _route(self, scope: Scope, exchange: Exchange) -> Page | None:
        endpoint = f"{scope['method']} {scope['path']}"
        if endpoint == "GET /healthz":
            return _json(200, {"status": "ok"})
        if endpoint == "GET /metrics":
            return Page(self._hooks.metrics(), content_type=b"text/plain; version=0.0.4")
        operator = self._operator(scope)
        if operator is None:
            return _json(401, {"error": "The operator's key is missing or unknown."})
        if endpoint == "GET /v1/status":
            return _json(200, self._hooks.status())
        if endpoint == "GET /v1/version":
            current_config = self._hooks.current_config()
            return _json(200, {"version": current_config.version, "digest": current_config.digest})
        if endpoint == "GET /v1/timeline":
            return self._timeline(scope)
        if endpoint == "GET /v1/config":
            return self._config()
        if endpoint == "POST /v1/config":
            return await self._with_body(exchange, lambda content: self._apply(operator, content))
        if endpoint == "POST /v1/drain":
            return await self._with_body(exchange, self._drain)
        return _json(404, {"error": f"There is no {endpoint}."})

    def _operator(self, scope: Scope) -> str | None:
        """Return the name of the operator, or None for an unknown key.

        The digests are compared in constant time.
        """
        header = next((v for k, v in scope["headers"] if k == b"authorization"), b"")
        digest = hashlib.sha256(header.removeprefix(b"Bearer ")).hexdigest()
        matched = None
        for name, known_digest in self._hooks.operators().items():
            if hmac.compare_digest(digest, known_digest):
                matched = name
        return matched

    def _timeline(self, scope: Scope) -> Page:
        filters = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        events = [
            {
                "wall_ms": entry.wall_ms,
                "counter": entry.counter,
                "node": entry.node,
                "kind": entry.event.kind,
                "request_id": entry.event.request_id,
                "workspace": entry.event.workspace,
                "upstream": entry.event.upstream,
                "change_id": entry.event.change_id,
                "detail": dict(entry.event.detail),
            }
            for entry in self._hooks.events(filters)
        ]
        return _json(200, {"events": events})

    def _config(self) -> Page:
        current_config = self._hooks.current_config()
        document = None
        if current_config.document:
            value = decode_document(current_config.document).unwrap()
            document = {"base": value.base, "sites": value.sites}
        body = {
            "version": current_config.version,
            "digest": current_config.digest,
            "document": document,
        }
        return _json(200, body)

    async def _with_body(
        self, exchange: Exchange, handle: Callable[[bytes], Awaitable[Page]]
    ) -> Page | None:
        """Read the body and handle it; return None if the operator got a refusal or has left."""
        body = await exchange.read_body()
        if isinstance(body, Refusal):
            await exchange.send_refusal(body)
            return None
        return None if body is None else await handle(body)

    async def _apply(self, operator: str, content: bytes) -> Page:
        try:
            body = msgspec.json.decode(content, type=ApplyRequest)
            sites = msgspec.convert(body.document["sites"], dict[str, dict[str, Any]])
            document = Document(body.document["base"], sites, {})
        except (*MALFORMED, KeyError, ValueError) as exc:
            return _json(400, {"error": f"The request body is malformed: {exc}."})
        checked = validate(document)
        if errors := checked.swap().value_or(()):
            detail = " ".join(str(error) for error in errors)
            current_config = self._hooks.current_config()
            invalid = {
                "status": "invalid",
                "version": current_config.version,
                "digest": current_config.digest,
            }
            return _json(200, {**invalid, "detail": detail})
        command = ApplyConfig(
            body.change_id, body.base_version, operator, encode_document(document)
        )
        result = await self._hooks.apply(command)
        if result is None:
            error = "No quorum of control replicas answered; the change may have been accepted."
            return _json(503, {"error": error})
        outcome = {"status": result.status.value, "version": result.version}
        return _json(200, {**outcome, "digest": result.digest, "detail": result.detail})

    async def _drain(self, content: bytes) -> Page:
        try:
            body = msgspec.json.decode(content or b"{}", type=DrainRequest)
        except (*MALFORMED, ValueError) as exc:
            return _json(400, {"error": f"The request body is malformed: {exc}."})
        return _json(202, self._hooks.drain(body.deadline_ms))
