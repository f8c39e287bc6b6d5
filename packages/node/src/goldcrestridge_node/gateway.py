"""ASGI application that forwards requests of callers as the routes specify."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator
from typing import Any

import anyio
from attrs import Factory, define, evolve, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.demand import Demand, demand_of
from goldcrestridge_core.forwarding import Forwarding
from goldcrestridge_core.request_keys import request_key
from goldcrestridge_core.route_times import RouteTimes
from goldcrestridge_core.routes import Route, RoutedWorkspace, RouteTable
from goldcrestridge_core.types import Headers, Outcome, RequestId
from goldcrestridge_node.dialect import CallerHead
from goldcrestridge_node.dispatch import OutgoingRequest, UpstreamResponse
from goldcrestridge_node.exchange import (
    UNSUPPORTED_HTTP_VERSION,
    EdgeOptions,
    Exchange,
    Receive,
    Scope,
    Send,
)
from goldcrestridge_node.gateway_parts import (
    NOT_READY,
    STOPPING,
    AdmittedRequest,
    GatewayDependencies,
)
from goldcrestridge_node.headers import header_values
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.relay import Relay
from goldcrestridge_node.relay_refusals import FAILED
from goldcrestridge_node.request_crashes import RequestCrashes
from goldcrestridge_node.request_log import RequestRecord

NO_ROUTE = Refusal(404, "no_route", "No route matches host and path.")
UNKNOWN_KEY = Refusal(401, "invalid_api_key", "The key is missing or unknown.")
# For this long after its start a node expects the routes at any moment: the control nodes may have
# started with it, and then have to elect a leader first.
STARTING_MS = 3_000.0
# Share of its time limit that a request waits for them at most.
START_WAIT_SHARE = 0.75
# Time for the answer to a request that was in flight when this node had to stop.
STOPPED_ANSWER_MS = 300.0
INTERNAL_ERROR = Refusal(500, "internal", "The router failed.", outcome=Outcome.UNKNOWN, close=True)


@define(eq=False)
class Gateway:
    """The ASGI application; while ``draining``, each response closes its connection.

    All requests end at ``stop_ms``: a request that would take longer is not sent. ``served`` counts
    the requests that have ended. ``unanswered`` holds those that wait for the first event of an
    answer to their prompt. ``route_times`` tells how long requests usually take.
    """

    dependencies: GatewayDependencies
    options: EdgeOptions = Factory(EdgeOptions)
    draining: bool = False
    stop_ms: float = math.inf
    in_flight: int = 0
    served: int = 0
    unanswered: set[RequestCrashes] = field(factory=set)
    route_times: RouteTimes = field(factory=RouteTimes)
    _scopes: set[anyio.CancelScope] = field(factory=set)
    _tickets: Iterator[int] = field(factory=itertools.count)
    _idle: anyio.Event = field(factory=anyio.Event)
    _started_ms: float = field(init=False)
    _served_any: bool = False  # The routes and the list of upstreams were complete once.
    _news: anyio.Event = field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Note the time of the start."""
        self._started_ms = self.dependencies.clock.now_ms()

    def notify_news(self) -> None:
        """Let the requests go on that wait for the first routes or the first list of upstreams."""
        self._news.set()
        self._news = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        head = self.dependencies.dialect.read_caller(tuple(scope["headers"]))
        request_id = RequestId(head.request_id.decode("latin-1"))
        exchange = Exchange(scope, receive, send, request_id, self.options, whole_seconds=False)
        record = RequestRecord(request_id, self.dependencies.clock.now_ms())
        record.set_take_up(head.last_event_id, head.resumed_request_id)
        self.in_flight += 1
        try:
            await self._serve(exchange, head, record)
        except Exception as exc:
            # The text of the exception is omitted, since it may quote the request.
            record.set_outcome("failed", f"{type(exc).__name__} in the router")
            if not exchange.started:
                await exchange.send_refusal(INTERNAL_ERROR)
            exchange.conn.transport.close()
        finally:
            self.in_flight -= 1
            self.served += 1
            if not self.in_flight:
                self._idle.set()
            self.dependencies.log.write(record, self.dependencies.clock.now_ms())

    def begin_drain(self, stop_ms: float) -> None:
        """Close connections after their responses, and end all requests at ``stop_ms``."""
        self.draining = True
        self.stop_ms = stop_ms

    def end_requests(self) -> None:
        """End the requests that are still in flight, each with its response."""
        for scope in list(self._scopes):
            scope.cancel()

    def may_finish(self, route: Route, left_ms: float) -> bool:
        """Return whether a request that is sent now probably ends before this node stops."""
        if self.stop_ms == math.inf:
            return True
        now_ms = self.dependencies.clock.now_ms()
        return now_ms + self.route_times.usual_ms(route.name, left_ms) <= self.stop_ms

    def next_ticket(self) -> str:
        """Return a ticket that is unique among all attempts of all nodes."""
        return f"{self.dependencies.ticket_prefix} {next(self._tickets)}"

    async def wait_idle(self, quiet_ms: float) -> None:
        """Wait until no request has been in flight for ``quiet_ms``.

        A busy VM may read a request some time after the caller has sent it.
        """
        while True:
            while self.in_flight:
                self._idle = anyio.Event()
                await self._idle.wait()
            served = self.served
            await anyio.sleep(quiet_ms / MS_PER_SECOND)
            if not self.in_flight and self.served == served:
                return

    async def _serve(self, exchange: Exchange, head: CallerHead, record: RequestRecord) -> None:
        """Read the request and forward it; cancel both when the caller disconnects."""
        scope = anyio.CancelScope()
        stop_scope = anyio.CancelScope()
        exchange.conn.on_lost = scope.cancel
        if exchange.conn.transport.is_closing():
            record.set_outcome(
                "caller_gone", "The caller closed the connection before the request was read."
            )
            return
        self._scopes.add(stop_scope)
        relays: list[Relay] = []
        try:
            with scope, stop_scope:
                refusal = self._identify(exchange, head, record)
                if refusal is not None:
                    await self.refuse(exchange, refusal, record)
                    return
                body = await exchange.read_body()
                if body is None:
                    record.set_outcome(
                        "caller_gone",
                        "The caller closed the connection while the request was read.",
                    )
                    return
                if isinstance(body, Refusal):
                    await self.refuse(exchange, body, record)
                    return
                await self._handle(exchange, head, body, record, relays.append)
            if stop_scope.cancelled_caught and not scope.cancel_called:
                await self._end_stopped(exchange, record, relays)
        finally:
            self._scopes.discard(stop_scope)
            exchange.conn.on_lost = None
            exchange.release()
        if scope.cancelled_caught:
            record.set_outcome(
                "caller_gone", "The caller closed the connection, so the attempt was cancelled."
            )

    async def _end_stopped(
        self, exchange: Exchange, record: RequestRecord, relays: list[Relay]
    ) -> None:
        """Answer a request that was in flight when this node had to stop."""
        if exchange.started:
            record.set_outcome("broken_off", "The node stopped.")
            exchange.conn.transport.close()
            return
        may_have_run = any(relay.forwarding.may_have_run for relay in relays)
        refusal = FAILED if may_have_run else STOPPING
        record.set_outcome("failed" if may_have_run else "refused", "The node stopped.")
        record.status = refusal.status
        with anyio.move_on_after(STOPPED_ANSWER_MS / MS_PER_SECOND):
            await exchange.send_refusal(self.close_if_draining(refusal))

    def _identify(
        self, exchange: Exchange, head: CallerHead, record: RequestRecord
    ) -> Refusal | None:
        """Count the memory of a request for its workspace; refuse one without a route or key.

        Callers without a key cannot make this node hold their bodies. While the routes or the list
        of upstreams are not current, nothing is refused yet.
        """
        routes, now_ms = self.dependencies.routes, self.dependencies.clock.now_ms()
        table = routes.table
        listed = self.dependencies.placement.listed
        if table is None or not listed or not routes.is_current(now_ms):
            return None
        record.routes_version, record.routes_age_ms = table.version, routes.age_ms(now_ms)
        route = _match_route(table, exchange.scope)
        if route is None:
            return NO_ROUTE
        record.route = route.name
        if not table.workspaces or route.public:
            return None
        workspace = table.workspace_for_key(head.key) if head.key else None
        if workspace is None:
            return UNKNOWN_KEY
        exchange.conn.assign(workspace.name)
        return None

    async def _handle(
        self,
        exchange: Exchange,
        head: CallerHead,
        body: bytes,
        record: RequestRecord,
        register: Callable[[Relay], None],
    ) -> None:
        admitted = self._admit(exchange.scope, head, record)
        if admitted is NOT_READY:
            admitted = await self._admit_once_started(exchange.scope, head, record)
        if isinstance(admitted, Refusal):
            await self.refuse(exchange, admitted, record)
            return
        request = OutgoingRequest(
            exchange.scope["method"],
            _request_target(exchange.scope),
            b"".join(header_values(exchange.headers, b"host")[:1]),
            head,
            body,
            reuse=admitted.route.repeatable,
        )
        caller = admitted.workspace.name if admitted.workspace is not None else ""
        key = request_key(caller, request.method, request.host, request.target, body)
        parts = dict.fromkeys(part.key for part in head.prompt_parts)
        crashes = RequestCrashes(self, (key, *parts), record)
        blocked = crashes.refusal()
        if blocked is not None:
            await self.refuse(exchange, blocked, record)
            return
        started_ms = record.started_ms
        limit_ms = admitted.route.timeout_ms
        if head.time_limit_ms is not None:
            limit_ms = min(limit_ms, head.time_limit_ms)
        forwarding = Forwarding(admitted.route, started_ms + limit_ms)
        self.dependencies.retry_budget.record_request(admitted.service, started_ms)
        relay = Relay(self, exchange, request, admitted, forwarding, record, crashes)
        register(relay)
        await relay.run()

    async def _admit_once_started(
        self, scope: Scope, head: CallerHead, record: RequestRecord
    ) -> AdmittedRequest | Refusal:
        """Admit a request that came while this node starts, as soon as it knows the routes.

        After a restart of the whole fleet there is no other node that the caller could turn to.
        """
        wait_until_ms = self._started_ms + STARTING_MS
        if head.time_limit_ms is not None:
            share_ms = START_WAIT_SHARE * min(head.time_limit_ms, 2.0 * STARTING_MS)
            wait_until_ms = min(wait_until_ms, record.started_ms + share_ms)
        admitted: AdmittedRequest | Refusal = NOT_READY
        with anyio.move_on_after(
            max(0.0, wait_until_ms - self.dependencies.clock.now_ms()) / MS_PER_SECOND
        ):
            while admitted is NOT_READY and not self._served_any:
                await self._news.wait()
                admitted = self._admit(scope, head, record)
        return admitted

    def _admit(
        self, scope: Scope, head: CallerHead, record: RequestRecord
    ) -> AdmittedRequest | Refusal:
        """Look up route and key.

        While the routes are not current, NOT_READY replaces the permanent errors, because a newer
        version may contain the route or key.
        """
        routes = self.dependencies.routes
        now_ms = self.dependencies.clock.now_ms()
        table = routes.table
        if table is None or not self.dependencies.placement.listed:
            return NOT_READY
        record.routes_version, record.routes_age_ms = table.version, routes.age_ms(now_ms)
        if routes.is_outdated(now_ms):
            return NOT_READY
        current = routes.is_current(now_ms)
        route = _match_route(table, scope)
        if route is None:
            return NO_ROUTE if current else NOT_READY
        record.route = route.name
        record.target_ms, record.max_gap_ms = route.target_latency_ms, route.max_gap_ms
        if route.streams and scope["http_version"] != "1.1":
            # HTTP/1.0 cannot show that a response of unknown length is cut.
            return UNSUPPORTED_HTTP_VERSION
        workspace = None
        if table.workspaces and not route.public:
            workspace = table.workspace_for_key(head.key) if head.key else None
            if not current:
                return NOT_READY
            if workspace is None:
                return UNKNOWN_KEY
            record.workspace = workspace.name
        if route.streams and head.invalid_position:
            return Refusal(400, "invalid_stream_position", f"{head.invalid_position}.")
        self._served_any = True
        service = route.pick_service(self.dependencies.placement.rng.random())
        admitted = _admitted_request(table, route, workspace, service, head)
        self.dependencies.placement.record_arrival(service, admitted.demand, now_ms)
        record.rank = admitted.rank
        record.prompt_tokens, record.output_tokens = head.prompt_tokens, head.output_tokens
        return admitted

    def admit_to_service(
        self, admitted: AdmittedRequest, service: str, head: CallerHead
    ) -> AdmittedRequest | None:
        """Return a request as admitted to another service, or None if its route has no such one."""
        table, route = self.dependencies.routes.table, admitted.route
        if table is None or service not in {share.service for share in route.services}:
            return None
        return _admitted_request(table, route, admitted.workspace, service, head)

    def cancel_blocked(self) -> None:
        """Cancel the attempts whose prompt is blocked and whose answer has not begun."""
        for crashes in list(self.unanswered):
            crashes.cancel_if_blocked()

    def is_still_authorized(self, admitted: AdmittedRequest, key: str | None) -> bool:
        """Tell whether the key of a request that has waited is valid in the current routes."""
        routes, now_ms = self.dependencies.routes, self.dependencies.clock.now_ms()
        if admitted.workspace is None:
            return not routes.is_outdated(now_ms)
        if routes.table is None or not routes.is_current(now_ms):
            return False
        key_workspace = routes.table.workspace_for_key(key or "")
        return key_workspace is not None and key_workspace.name == admitted.workspace.name

    async def refuse(self, exchange: Exchange, refusal: Refusal, record: RequestRecord) -> None:
        """Send a refusal for a request that no upstream has run."""
        record.set_outcome("refused", refusal.code, refusal.status)
        await exchange.send_refusal(self.close_if_draining(refusal))

    def close_if_draining(self, refusal: Refusal) -> Refusal:
        """Return the refusal, changed to close the connection if this node drains."""
        if not self.draining or refusal.close:
            return refusal
        return evolve(refusal, close=True)

    def caller_response_headers(self, response: UpstreamResponse) -> Headers:
        """Return the headers that the caller receives with an upstream's response."""
        extra = ((b"connection", b"close"),) if self.draining else ()
        return response.head.forwarded_headers + extra


def _match_route(table: RouteTable, scope: Scope) -> Route | None:
    """Return the route of a request, or None."""
    host = b"".join(header_values(scope["headers"], b"host")[:1]).decode("latin-1")
    return table.match(host.partition(":")[0].lower(), scope["raw_path"].decode("latin-1"))


def _request_target(scope: dict[str, Any]) -> bytes:
    """Return path and query exactly as the caller sent them."""
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return path + b"?" + query if query else path


def _admitted_request(
    table: RouteTable,
    route: Route,
    workspace: RoutedWorkspace | None,
    service: str,
    head: CallerHead,
) -> AdmittedRequest:
    """Return the request as a service of its route gets it."""
    entry = table.services.get(service)
    engine = entry.engine if entry is not None else None
    demand = Demand()
    if engine is not None:
        tight = table.is_tight(route, service) if table.has_gap_bounds(service) else None
        prefix, prefix_tokens = (
            (head.shared_prefix_id, head.shared_tokens) if route.cached else ("", 0)
        )
        demand = demand_of(
            prefix,
            prefix_tokens,
            head.prompt_tokens,
            head.output_tokens,
            tight,
            head.prompt_parts,
        )
    return AdmittedRequest(
        route,
        workspace,
        service,
        demand,
        table.rank(route, workspace),
        engine,
        table.is_least_urgent(service, route.priority),
    )
