"""Helpers that run a gateway on a loopback port between a caller and scripted upstreams."""

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
from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.follow_types import (
    StreamVersion,
    StreamVersionsReceived,
    UpstreamInstance,
)
from goldcrestridge_core.permits import PermitDecided, Permits
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.rate_limits import RateLimits
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
from goldcrestridge_core.stream_origins import FindOrigin, OriginFound, StreamOrigins
from goldcrestridge_core.types import NodeId
from goldcrestridge_core.window_budget import WindowBudget
from goldcrestridge_lab.soak_net import abort, read_head
from goldcrestridge_node.dialect import UpstreamResponseHead
from goldcrestridge_node.dispatch import Dispatcher
from goldcrestridge_node.engines import EngineAdmissionClient
from goldcrestridge_node.gateway import Gateway
from goldcrestridge_node.gateway_parts import ActiveRoutes, GatewayDependencies
from goldcrestridge_node.pending import PendingRequests
from goldcrestridge_node.request_log import RequestLog
from goldcrestridge_node.server import listen, serve
from goldcrestridge_platform.headers import DIALECT

KEY = "k1"
LIMITS = CallerLimits(16_384, 1_000_000, 3_000.0, 15_000.0)
Handler = Callable[["UpstreamExchange"], Awaitable[None]]


@define
class UpstreamExchange:
    """A request that a scripted upstream received, and the connection for its response."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def write(self, data: bytes) -> None:
        """Write bytes to the connection."""
        self.writer.write(data)
        await self.writer.drain()

    def head(self, status: int, **headers: str) -> bytes:
        """Return the head of a response with the id of the request and a signature.

        Underscores in the names of ``headers`` stand for hyphens. An empty value removes a header.
        """
        all_headers = {
            "x-goldcrestridge-request-id": self.headers["x-goldcrestridge-request-id"],
            "x-goldcrestridge-server-stamp": "signed",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value)
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()

    async def respond(self, status: int, body: bytes, **headers: str) -> None:
        """Send a complete response."""
        await self.write(self.head(status, content_length=str(len(body)), **headers) + body)

    async def stream(self, *events: bytes, end: bool = True) -> None:
        """Send events as a chunked response; without ``end`` the last chunk is not sent."""
        await self.write(
            self.head(200, content_type="text/event-stream", transfer_encoding="chunked")
        )
        for event in events:
            await self.write(b"%x\r\n%b\r\n" % (len(event), event))
        if end:
            await self.write(b"0\r\n\r\n")

    def close(self) -> None:
        """Close the connection after all that was written."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        abort(self.writer)


@define(eq=False)
class ScriptedUpstream:
    """An upstream that calls the next handler of ``script`` for each request.

    The last handler is called for all further requests.
    """

    name: str
    script: list[Handler]
    version: str = "v1"
    exchanges: list[UpstreamExchange] = field(factory=list)
    connections: int = 0
    closed: int = 0
    port: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                exchange = await _read_request(reader, writer)
                self.exchanges.append(exchange)
                handler = self.script[min(len(self.exchanges), len(self.script)) - 1]
                await handler(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()

    def instance(self) -> UpstreamInstance:
        """Return the listed instance of this upstream."""
        address = f"127.0.0.1:{self.port}"
        return UpstreamInstance(self.name, "s", address, "dc", 6, False, self.version)


async def _start_upstream(upstream: ScriptedUpstream) -> asyncio.Server:
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", upstream.port)
    upstream.port = server.sockets[0].getsockname()[1]
    return server


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> UpstreamExchange:
    message = await read_head(reader)
    method, target, _ = message.start_line
    headers = message.headers
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return UpstreamExchange(method, target, headers, body, reader, writer)


def scripted(name: str, *script: Handler, version: str = "v1") -> ScriptedUpstream:
    """Return an upstream whose handlers are called one after the other."""
    return ScriptedUpstream(name, list(script), version)


def event(number: int) -> bytes:
    """Return an encoded event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def ok(exchange: UpstreamExchange) -> None:
    """Respond with the path of the request as the body."""
    await exchange.respond(200, exchange.target.encode())


async def not_run(exchange: UpstreamExchange) -> None:
    """Reject the request without running it."""
    await exchange.respond(503, b"", x_goldcrestridge_not_executed="1")


def route_table(*workspaces: RoutedWorkspace, engine: EngineLimits | None = None) -> RouteTable:
    """Return routes of each kind to the service ``s``; with ``engine`` it has engines."""
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
    """A running gateway with its upstreams and log lines.

    ``confirmed_ms`` holds the time at which the routes were last confirmed as current. ``stop``
    makes it stop accepting callers. ``servers`` holds the listener of each upstream by name.
    ``stream_versions`` holds what the control leader knows of the versions of live streams,
    ``begun`` the workspace of each request that counts as begun by an upstream.
    """

    gateway: Gateway
    port: int
    upstreams: list[ScriptedUpstream]
    log_lines: list[MutableMapping[str, Any]]
    confirmed_ms: list[float]
    stop: anyio.Event
    servers: dict[str, asyncio.Server]
    stream_versions: list[tuple[StreamVersion, ...] | None]
    begun: list[str]

    async def start_upstream(self, upstream: ScriptedUpstream) -> None:
        """Start an upstream, which is not listed yet."""
        self.servers[upstream.name] = await _start_upstream(upstream)

    def list_upstreams(self, upstreams: list[ScriptedUpstream]) -> None:
        """Replace the list of instances."""
        deps = self.gateway.dependencies
        listed = [upstream.instance() for upstream in upstreams]
        deps.placement.set_instances(listed, deps.clock.now_ms())

    async def call(
        self, path: str, method: str = "POST", body: bytes = b"x", **headers: str
    ) -> httpcore.Response:
        """Send one request on a new connection."""
        async with httpcore.AsyncConnectionPool() as pool:
            all_headers: dict[bytes | str, bytes | str] = {
                "host": "h",
                "x-goldcrestridge-request-id": f"r{random.random()}",
                "x-goldcrestridge-deadline-ms": "2000",
                "x-api-key": KEY,
                **{name.replace("_", "-"): value for name, value in headers.items()},
            }
            url = f"http://127.0.0.1:{self.port}{path}"
            return await pool.request(method, url, headers=all_headers, content=body)


def single_node_engines(clock: Clock) -> EngineAdmissionClient:
    """Return the engine admission of a node that owns all engines."""
    admission = EngineAdmission(NodeId("lone"))

    def post(event: Any) -> None:
        for effect in admission.handle(event, clock.now_ms()):
            engines.resolve(effect)

    engines = EngineAdmissionClient(post)
    return engines


def single_node_permits(clock: Clock, limits: RateLimits) -> PendingRequests:
    """Return the permits of a node that owns all instances."""
    lone = NodeId("lone")
    role = Permits(lone, limits, clock.now_ms)
    role.handle(EntriesChanged((lone,)), clock.now_ms())

    def post(event: Any) -> None:
        for effect in role.handle(event, clock.now_ms()):
            if isinstance(effect, PermitDecided):
                pending.resolve(effect.ticket, effect)

    pending = PendingRequests(post)
    return pending


def single_node_origins(
    clock: Clock, versions: list[tuple[StreamVersion, ...] | None]
) -> PendingRequests:
    """Return the stream origins of a lone node; ``versions`` holds what the leader knows."""
    lone = NodeId("lone")
    role = StreamOrigins(lone)
    role.handle(EntriesChanged((lone,)), clock.now_ms())

    def post(event: Any) -> None:
        effects = role.handle(event, clock.now_ms())
        if isinstance(event, FindOrigin):
            answer = StreamVersionsReceived(versions[0], clock.now_ms())
            effects += role.handle(answer, clock.now_ms())
        for effect in effects:
            if isinstance(effect, OriginFound):
                pending.resolve(effect.ticket, effect)

    pending = PendingRequests(post)
    return pending


@asynccontextmanager
async def running_gateway(
    *upstreams: ScriptedUpstream, engine: EngineLimits | None = None
) -> AsyncIterator[RunningGateway]:
    """Run a gateway in front of the upstreams, which are engines if ``engine`` is given."""
    clock = Clock()
    servers = {upstream.name: await _start_upstream(upstream) for upstream in upstreams}
    placement = Placement("dc", random.Random(1))
    listed = [upstream.instance() for upstream in upstreams]
    placement.set_instances(listed, clock.now_ms())
    confirmed_ms = [clock.now_ms()]
    stream_versions: list[tuple[StreamVersion, ...] | None] = [None]
    begun: list[str] = []
    routes = ActiveRoutes(
        route_table(RoutedWorkspace("w1", (KEY,)), engine=engine), 60_000.0, lambda: confirmed_ms[0]
    )
    log_lines: list[MutableMapping[str, Any]] = []
    capture = structlog.testing.LogCapture()
    log = structlog.wrap_logger(None, processors=[capture])
    capture.entries = log_lines

    def observe(instance: UpstreamInstance, head: UpstreamResponseHead, sent_ms: float) -> None:
        now_ms = clock.now_ms()
        placement.limits.observe(instance.instance, head.limit_per_second, sent_ms, now_ms)
        observe_notice(instance, head, sent_ms)

    def observe_notice(
        instance: UpstreamInstance, head: UpstreamResponseHead, sent_ms: float
    ) -> None:
        now_ms = clock.now_ms()
        placement.notices.observe(instance, head.leaving, head.rest_ms, sent_ms, now_ms)

    dependencies = GatewayDependencies(
        DIALECT,
        clock,
        placement,
        Dispatcher(
            DIALECT,
            clock,
            observe=observe,
            observe_notice=observe_notice,
            withheld=lambda item: placement.withheld(item, clock.now_ms()),
        ),
        WindowBudget(0.2, 60.0, 10_000.0),
        routes,
        RequestLog(log, lambda _count: None),
        single_node_engines(clock),
        single_node_permits(clock, placement.limits),
        single_node_origins(clock, stream_versions),
        "lone",
        count_begun=lambda workspace, _began_ms: begun.append(workspace),
    )
    gateway = Gateway(dependencies)
    sock = listen("127.0.0.1", 0)
    port = sock.getsockname()[1]
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve, gateway, [sock], stop)
        try:
            yield RunningGateway(
                gateway,
                port,
                list(upstreams),
                log_lines,
                confirmed_ms,
                stop,
                servers,
                stream_versions,
                begun,
            )
        finally:
            tasks.cancel_scope.cancel()
    await dependencies.dispatcher.aclose()
    for server in servers.values():
        server.close()
