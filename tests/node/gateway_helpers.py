"""A gateway on a loopback port, scripted upstreams behind it, and a plain caller."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import structlog
from attrs import define, field

from goldcrestridge_core.clock import Clock
from goldcrestridge_core.engine_slots import EngineSlots
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.retries import WindowBudget
from goldcrestridge_core.routes import (
    CallerLimits,
    EngineLimits,
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
    RouteTable,
    WeightedService,
)
from goldcrestridge_core.types import NodeId
from goldcrestridge_lab.soak_net import abort, read_head
from goldcrestridge_node.dispatch import Dispatcher
from goldcrestridge_node.engines import Engines
from goldcrestridge_node.gateway import Gateway
from goldcrestridge_node.gateway_parts import ActiveRoutes, GatewayDependencies
from goldcrestridge_node.request_log import RequestLog
from goldcrestridge_node.server import listen, serve
from goldcrestridge_platform.headers import DIALECT

KEY = "k1"
LIMITS = CallerLimits(16_384, 1_000_000, 3_000.0, 15_000.0)
Step = Callable[["Exchange"], Awaitable[None]]


@define
class Exchange:
    """One request at a scripted upstream."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def raw(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    def head(self, status: int, **headers: str) -> bytes:
        """Return the head of an answer with the request's id and a signature."""
        named = {
            "x-goldcrestridge-request-id": self.headers["x-goldcrestridge-request-id"],
            "x-goldcrestridge-server-stamp": "signed",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value)
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()

    async def answer(self, status: int, body: bytes, **headers: str) -> None:
        """Send a whole answer."""
        await self.raw(self.head(status, content_length=str(len(body)), **headers) + body)

    async def stream(self, *events: bytes, end: bool = True) -> None:
        """Send a stream of events in chunks; without ``end`` it stays open."""
        await self.raw(
            self.head(200, content_type="text/event-stream", transfer_encoding="chunked")
        )
        for event in events:
            await self.raw(b"%x\r\n%b\r\n" % (len(event), event))
        if end:
            await self.raw(b"0\r\n\r\n")

    def reset(self) -> None:
        """Break the connection off with a reset."""
        abort(self.writer)


@define(eq=False)
class ScriptedUpstream:
    """An upstream that answers each request with the next step of its script."""

    name: str
    script: list[Step]
    seen: list[Exchange] = field(factory=list)
    connections: int = 0
    closed: int = 0
    port: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                exchange = await _read(reader, writer)
                self.seen.append(exchange)
                step = self.script[min(len(self.seen), len(self.script)) - 1]
                await step(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()

    def instance(self) -> UpstreamInstance:
        """Return the entry of this upstream in the list."""
        return UpstreamInstance(self.name, "s", f"127.0.0.1:{self.port}", "dc", 6, leaving=False)


async def _read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Exchange:
    message = await read_head(reader)
    method, target, _ = message.start_line
    headers = message.headers
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Exchange(method, target, headers, body, reader, writer)


async def ok(exchange: Exchange) -> None:
    """Answer with the request's own path."""
    await exchange.answer(200, exchange.target.encode())


async def not_run(exchange: Exchange) -> None:
    """Reject the request without running it."""
    await exchange.answer(503, b"", x_goldcrestridge_not_executed="1")


def table(*workspaces: RoutedWorkspace, engine: EngineLimits | None = None) -> RouteTable:
    """Return routes of each kind to the service ``s``; with ``engine`` it consists of engines."""
    shares = (WeightedService("s", 1),)

    def route(name: str, kind: RouteKind, attempts: int, resumable: bool = False) -> Route:
        return Route(
            name, "h", f"/{name}/", kind, shares, 3_000.0, 100.0, 1, attempts, resumable=resumable
        )

    routes = (
        route("read", RouteKind.IDEMPOTENT, 2),
        route("charge", RouteKind.NON_IDEMPOTENT, 1),
        route("stream", RouteKind.STREAM, 1),
        route("resume", RouteKind.STREAM, 2, resumable=True),
    )
    services = {"s": RoutedService("s", 100, engine)}
    return RouteTable(1, routes, services, LIMITS, workspaces)


@define(eq=False)
class RunningGateway:
    """A running gateway with its upstreams; ``age_ms`` is the age of its routes."""

    gateway: Gateway
    port: int
    upstreams: list[ScriptedUpstream]
    lines: list[MutableMapping[str, Any]]
    confirmed: list[float]

    async def call(
        self, path: str, method: str = "POST", body: bytes = b"x", **headers: str
    ) -> httpcore.Response:
        """Send one request on a new connection."""
        async with httpcore.AsyncConnectionPool() as pool:
            sent: dict[bytes | str, bytes | str] = {
                "host": "h",
                "x-goldcrestridge-request-id": f"r{random.random()}",
                "x-goldcrestridge-deadline-ms": "2000",
                "x-api-key": KEY,
                **{name.replace("_", "-"): value for name, value in headers.items()},
            }
            url = f"http://127.0.0.1:{self.port}{path}"
            return await pool.request(method, url, headers=sent, content=body)


def single_node_engines(clock: Clock) -> Engines:
    """Return the admission to engines of a node that owns all of them."""
    slots = EngineSlots(NodeId("lone"))

    def post(event: Any) -> None:
        for effect in slots.handle(event, clock.now_ms()):
            engines.decided(effect)

    engines = Engines(post)
    return engines


@asynccontextmanager
async def running_gateway(
    *upstreams: ScriptedUpstream, engine: EngineLimits | None = None
) -> AsyncIterator[RunningGateway]:
    """Run a gateway in front of the upstreams, which are engines if a size is given."""
    clock = Clock()
    servers = []
    for upstream in upstreams:
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", upstream.port)
        upstream.port = server.sockets[0].getsockname()[1]
        servers.append(server)
    placement = Placement("dc", random.Random(1))
    placement.set_instances([upstream.instance() for upstream in upstreams])
    confirmed = [clock.now_ms()]
    routes = ActiveRoutes(
        table(RoutedWorkspace("w1", (KEY,)), engine=engine), 60_000.0, lambda: confirmed[0]
    )
    lines: list[MutableMapping[str, Any]] = []
    capture = structlog.testing.LogCapture()
    log = structlog.wrap_logger(None, processors=[capture])
    capture.entries = lines
    parts = GatewayDependencies(
        DIALECT,
        clock,
        placement,
        Dispatcher(DIALECT, clock),
        WindowBudget(0.2, 60.0, 10_000.0),
        routes,
        RequestLog(log, lambda _count: None),
        single_node_engines(clock),
        "lone",
    )
    gateway = Gateway(parts)
    sock = listen("127.0.0.1", 0)
    port = sock.getsockname()[1]
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve, gateway, [sock], stop)
        try:
            yield RunningGateway(gateway, port, list(upstreams), lines, confirmed)
        finally:
            tasks.cancel_scope.cancel()
    await parts.dispatcher.aclose()
    for server in servers:
        server.close()
