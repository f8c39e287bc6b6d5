"""Helpers for tests with real sockets: a configuration, simulated upstreams and raw callers."""

from __future__ import annotations

import hashlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.lowlevel
import httpcore
import msgspec
from attrs import define, field
from attrs import evolve as evolve
from tests.node.forward import Forwarder

from goldcrestridge_core.config import (
    CallRule,
    Configuration,
    LatencyTarget,
    Model,
    Pool,
    PoolKind,
    RequestClass,
    Service,
    Site,
    Upstream,
    Workspace,
)
from goldcrestridge_core.types import UpstreamId
from goldcrestridge_lab.asgi import serve_until
from goldcrestridge_lab.engine_http import EngineApp
from goldcrestridge_lab.service_http import ServiceApp
from goldcrestridge_lab.simple_engine import SimpleEngine
from goldcrestridge_node.caller_connection import ServerOptions
from goldcrestridge_node.exchange import EdgeOptions
from goldcrestridge_node.server import listen
from goldcrestridge_node.upstream import UpstreamOptions

KEY = "sk-kiosk-secret"
OTHER_KEY = "sk-other-secret"
TEST_TIMEOUT_S = 30.0  # Only ends a test that hangs; no test waits for it.


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario and fail it if it hangs."""

    async def bounded() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await scenario()

    anyio.run(bounded)


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def configuration(
    engines: list[str], services: list[str], resumes: bool = False, model: str = "m1"
) -> Configuration:
    """Return a configuration with two workspaces that may use one model each."""

    def pool(name: str, kind: PoolKind, addresses: list[str]) -> Pool:
        upstreams = tuple(
            Upstream(UpstreamId(f"{name}-{number}"), address, "dc1", 8, resumes=resumes)
            for number, address in enumerate(addresses)
        )
        return Pool(name, kind, upstreams)

    target = LatencyTarget(500.0, 30.0)
    return Configuration(
        name="test",
        classes={
            name: RequestClass(name, tier, 1.0, 0.05, target, 10_000.0)
            for tier, name in enumerate(("fast", "slow"))
        },
        workspaces={
            "kiosk": Workspace("kiosk", "fast", (digest(KEY),), ("gate",), (model,), ("bookings",)),
            "other": Workspace("other", "slow", (digest(OTHER_KEY),), (), ("m2",), ()),
        },
        sites={"home": Site("home", "dc1"), "gate": Site("gate", "dc1")},
        pools={
            "engines": pool("engines", PoolKind.ENGINE, engines),
            "bookings": pool("bookings", PoolKind.SERVICE, services),
        },
        models={name: Model(name, "engines") for name in (model, "m2")},
        services={"bookings": Service("bookings", "bookings", (CallRule("GET", "/status/*"),))},
    )


@define(eq=False)
class Stack:
    """A forwarder that serves callers at ``address``, with its simulated upstreams."""

    forwarder: Forwarder
    engines: list[EngineApp]
    service: ServiceApp
    address: tuple[str, int]
    stop: anyio.Event
    engine_addresses: list[str] = field(factory=list)
    service_address: str = ""

    @property
    def url(self) -> str:
        return f"http://{self.address[0]}:{self.address[1]}"


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


@asynccontextmanager
async def running_stack(
    engines: int = 1,
    *,
    resumes: bool = False,
    edge_options: EdgeOptions | None = None,
    server_options: ServerOptions | None = None,
    upstream_options: UpstreamOptions | None = None,
    engine: Callable[[], SimpleEngine] = SimpleEngine,
    engine_address: str = "",
) -> AsyncIterator[Stack]:
    """Run a forwarder and its simulated upstreams on ports that the kernel chooses."""
    apps = [EngineApp(engine(), resumes=resumes) for _ in range(engines)]
    service = ServiceApp()
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        listeners = [listen("127.0.0.1", 0) for _ in (*apps, service)]
        for app, sock in zip(apps, listeners, strict=False):
            await group.start(serve_until, app, sock, anyio.Event(), app.crash)
        await group.start(serve_until, service, listeners[-1], anyio.Event(), service.crash)
        addresses = [address_of(sock) for sock in listeners]
        engine_addresses = [engine_address] if engine_address else addresses[:-1]
        forwarder = Forwarder(
            configuration(engine_addresses, addresses[-1:], resumes),
            edge_options or EdgeOptions(),
            upstream_options or UpstreamOptions(),
        )
        sock = listen("127.0.0.1", 0)
        address = sock.getsockname()[:2]
        await group.start(forwarder.run, sock, stop, server_options)
        yield Stack(forwarder, apps, service, address, stop, engine_addresses, addresses[-1])
        group.cancel_scope.cancel()


@define
class Reply:
    """Response that a caller received; ``cut`` tells whether its body was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    cut: bool = False

    def json(self) -> Any:
        return msgspec.json.decode(self.body)

    def events(self) -> list[bytes]:
        """Return the data of the server-sent events."""
        blocks = self.body.split(b"\n\n")
        return [block.removeprefix(b"data: ") for block in blocks if block]

    def chunks(self) -> list[Any]:
        return [msgspec.json.decode(event) for event in self.events() if event != b"[DONE]"]

    def text(self) -> str:
        """Return the text of a chat stream."""
        choices = [choice for chunk in self.chunks() for choice in chunk.get("choices", [])]
        return "".join(choice["delta"].get("content", "") for choice in choices)


async def call(
    stack: Stack,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    key: str | None = KEY,
) -> Reply:
    """Send one request on a new connection."""
    fields: dict[bytes | str, bytes | str] = {"Host": "edge"}
    fields.update((name, value) for name, value in (headers or {}).items())
    if key is not None:
        fields["Authorization"] = f"Bearer {key}"
    async with (
        httpcore.AsyncConnectionPool(retries=0) as pool,
        pool.stream(method, stack.url + path, headers=fields, content=body) as response,
    ):
        chunks: list[bytes] = []
        cut = False
        try:
            async for chunk in response.aiter_stream():
                chunks += [chunk]
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            cut = True
        names = {name.decode().lower(): value.decode() for name, value in response.headers}
        return Reply(response.status, names, b"".join(chunks), cut)


def chat_body(text: str = "hello", **fields: Any) -> bytes:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": text}]
    return msgspec.json.encode({"model": "m1", "messages": messages} | fields)


async def chat(stack: Stack, text: str = "hello", **fields: Any) -> Reply:
    """Send a chat request."""
    return await call(stack, "POST", "/v1/chat/completions", chat_body(text, **fields))


@asynccontextmanager
async def raw_connection(stack: Stack) -> AsyncIterator[anyio.abc.SocketStream]:
    """Open a TCP connection to the edge, for requests as raw bytes."""
    async with await anyio.connect_tcp(*stack.address) as stream:
        yield stream


async def read_all(stream: anyio.abc.SocketStream) -> bytes:
    """Read until the peer closes the connection, and return all data."""
    chunks = []
    try:
        while True:
            chunks.append(await stream.receive())
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b"".join(chunks)


async def read_until(stream: anyio.abc.SocketStream, marker: bytes) -> bytes:
    """Read until the data contains ``marker``, and return it."""
    data = b""
    while marker not in data:
        data += await stream.receive()
    return data


def raw_request(body: bytes, path: str = "/v1/chat/completions", extra: str = "") -> bytes:
    """Return the bytes of a POST request; ``extra`` is a header line with its line end."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: edge\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let other tasks run until the condition is true; ``run`` bounds the time."""
    while not condition():
        await anyio.lowlevel.checkpoint()
