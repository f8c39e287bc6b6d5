"""Tests of a gateway that forwards requests to upstreams with faults over real connections."""

from __future__ import annotations

import asyncio

import anyio
import httpcore
import pytest
from attrs import evolve
from tests.node.gateway_helpers import (
    KEY,
    ScriptedUpstream,
    UpstreamExchange,
    event,
    not_run,
    ok,
    route_table,
    running_gateway,
    scripted,
)

from goldcrestridge_core.routes import EngineLimits, RoutedWorkspace, RouteTable
from goldcrestridge_node.gateway import START_WAIT_SHARE, Gateway

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def reset(exchange: UpstreamExchange) -> None:
    exchange.reset()


async def test_a_request_and_its_response_are_forwarded_unchanged() -> None:
    # Guards against a changed method, path, query or body of the request, and a changed status,
    # signature or body of the response.
    async with running_gateway(scripted("a", ok)) as running:
        response = await running.call("/charge/a%2Fb?q=%41&r", "PUT", b"\x00body")
        request = running.upstreams[0].exchanges[0]
        assert (request.method, request.target, request.body) == (
            "PUT",
            "/charge/a%2Fb?q=%41&r",
            b"\x00body",
        )
        assert request.headers["x-goldcrestridge-tenant"] == "w1"
        assert request.headers["x-goldcrestridge-expect-instance"] == "a"
        assert 0 < int(request.headers["x-goldcrestridge-deadline-ms"]) <= 2_000
        assert KEY not in request.headers.values()
        assert (response.status, response.content) == (200, b"/charge/a%2Fb?q=%41&r")
        assert dict(response.headers)[b"x-goldcrestridge-server-stamp"] == b"signed"


async def test_surplus_bytes_are_not_read_as_the_next_response() -> None:
    # Guards against a response that consists of bytes sent after the previous one.
    async def with_surplus(exchange: UpstreamExchange) -> None:
        extra = exchange.head(200, content_length="5") + b"wrong"
        await exchange.write(exchange.head(200, content_length="5") + b"right" + extra)

    async with running_gateway(scripted("a", with_surplus, ok)) as running:
        assert (await running.call("/read/1")).content == b"right"
        assert (await running.call("/read/2")).content == b"/read/2"
        assert running.upstreams[0].connections == 2


async def test_a_response_to_another_request_is_not_forwarded() -> None:
    # Guards against a late response that is taken for the response to the next request.
    async def respond_with_other_id(exchange: UpstreamExchange) -> None:
        await exchange.respond(200, b"wrong", x_goldcrestridge_request_id="other")

    async with running_gateway(
        scripted("a", respond_with_other_id, ok), scripted("b", ok)
    ) as running:
        assert (await running.call("/charge/1")).status in (200, 502)
        for number in range(4):
            response = await running.call(f"/read/{number}")
            assert response.content == b"/read/%d" % number
        assert all(line["outcome"] for line in running.log_lines)


@pytest.mark.parametrize("named", [True, False])
async def test_a_late_copy_of_a_response_is_not_the_response_to_the_next_request(
    named: bool,
) -> None:
    # Guards against a second copy of a response that arrives on a connection in use again.
    async def respond(exchange: UpstreamExchange) -> None:
        await exchange.respond(200, b"first")

    async def respond_twice(exchange: UpstreamExchange) -> None:
        first = running.upstreams[0].exchanges[0]
        request_id = first.headers["x-goldcrestridge-request-id"] if named else ""
        await exchange.respond(200, b"first", x_goldcrestridge_request_id=request_id)
        await exchange.respond(200, b"second")

    async with running_gateway(scripted("a", respond, respond_twice, ok)) as running:
        assert (await running.call("/read/1")).content == b"first"
        response = await running.call("/read/2")
        assert response.content != b"first"
        assert running.upstreams[0].connections <= 2


@pytest.mark.parametrize("fault", ["unsigned", "encoded", "cut", "garbage"])
async def test_an_invalid_success_response_is_retried_or_reported_but_not_forwarded(
    fault: str,
) -> None:
    # Guards against forwarding a body that is not the complete body of the upstream, and against a
    # second attempt of a request that must not run twice.
    async def invalid_response(exchange: UpstreamExchange) -> None:
        if fault == "unsigned":
            await exchange.respond(200, b"wrong", x_goldcrestridge_server_stamp="")
        elif fault == "encoded":
            await exchange.respond(200, b"wrong", content_encoding="gzip")
        elif fault == "cut":
            await exchange.write(exchange.head(200, content_length="50") + b"wrong")
            exchange.writer.close()
        else:
            await exchange.write(b"\x00\x01garbage\r\n\r\n")
            exchange.writer.close()

    async with running_gateway(
        scripted("a", invalid_response), scripted("b", invalid_response)
    ) as running:
        assert (await running.call("/charge/1")).status == 502
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 1
    async with running_gateway(scripted("a", invalid_response, ok), scripted("b", ok)) as running:
        assert (await running.call("/read/1")).content == b"/read/1"


async def test_a_response_without_length_is_complete_unless_its_connection_is_reset() -> None:
    # Guards against a reset that is taken for the end of a response.
    async def until_close(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200) + b"whole")
        exchange.writer.close()

    async def until_reset(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200) + b"part")
        await asyncio.sleep(0.05)
        exchange.reset()

    async with running_gateway(scripted("a", until_close)) as running:
        assert (await running.call("/charge/1")).content == b"whole"
    async with running_gateway(scripted("a", until_reset)) as running:
        assert (await running.call("/charge/1")).status == 502


async def test_a_rejected_request_goes_to_another_upstream() -> None:
    # Guards against a refusal while another upstream has a free slot, and against a request that
    # ran but is reported as not run.
    async with running_gateway(scripted("a", not_run), scripted("b", ok)) as running:
        for number in range(6):
            assert (await running.call(f"/charge/{number}")).status == 200
    async with running_gateway(scripted("a", not_run), scripted("b", not_run)) as running:
        response = await running.call("/charge/1")
        assert response.status == 503
        assert 0 < float(dict(response.headers)[b"retry-after"]) < 1
        assert dict(response.headers)[b"x-goldcrestridge-outcome"] == b"not_run"


async def test_a_request_whose_connection_is_reset_is_not_reported_as_not_run() -> None:
    # Guards against a caller that repeats a request because it was reported as not run.
    async with running_gateway(scripted("a", reset)) as running:
        response = await running.call("/charge/1")
        assert response.status == 502
        assert b"retry-after" not in dict(response.headers)
        assert len(running.upstreams[0].exchanges) == 1


async def test_a_refused_connection_leads_to_another_upstream() -> None:
    # Guards against a request that fails because a crashed upstream is still listed.
    crashed = scripted("a", ok)
    async with running_gateway(crashed):
        pass
    async with running_gateway(scripted("b", ok)) as running:
        instances = [crashed.instance(), running.upstreams[0].instance()]
        running.gateway.dependencies.placement.set_instances(instances)
        for number in range(6):
            assert (await running.call(f"/charge/{number}")).status == 200


async def test_a_failed_stream_is_resumed_at_another_upstream_after_the_last_complete_event() -> (
    None
):
    # Guards against an event that is lost, duplicated or joined from two attempts.
    async def fail_midway(exchange: UpstreamExchange) -> None:
        if "last-event-id" in exchange.headers:
            await exchange.stream(event(3), event(4))
            return
        await exchange.stream(event(1), event(2) + b"id: 3\ndata: pie", end=False)
        await asyncio.sleep(0.05)
        exchange.reset()

    async with running_gateway(scripted("a", fail_midway), scripted("b", fail_midway)) as running:
        response = await running.call("/resume/1")
        assert response.content == b"".join(map(event, (1, 2, 3, 4)))
        resumed = [
            exchange.headers.get("last-event-id")
            for upstream in running.upstreams
            for exchange in upstream.exchanges
        ]
        assert sorted(filter(None, resumed)) == ["2"]


async def test_a_resumed_stream_repeats_no_event() -> None:
    # Guards against duplicate events from an upstream that resumes before the requested event.
    async def resume_too_early(exchange: UpstreamExchange) -> None:
        if "last-event-id" in exchange.headers:
            await exchange.stream(event(2), event(3))
            return
        await exchange.stream(event(1), event(2), end=False)
        exchange.reset()

    async with running_gateway(
        scripted("a", resume_too_early), scripted("b", resume_too_early)
    ) as running:
        response = await running.call("/resume/1")
        assert response.content == b"".join(map(event, (1, 2, 3)))


async def test_a_stream_that_must_not_be_retried_is_visibly_cut() -> None:
    # Guards against a cut stream that looks complete, and against a second attempt.
    async def fail_midway(exchange: UpstreamExchange) -> None:
        await exchange.stream(event(1), end=False)
        await asyncio.sleep(0.05)
        exchange.reset()

    async with running_gateway(scripted("a", fail_midway), scripted("b", fail_midway)) as running:
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/stream/1")
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 1


async def test_events_are_forwarded_as_they_arrive() -> None:
    # Guards against events that are buffered until the stream ends.
    release = asyncio.Event()

    async def slow(exchange: UpstreamExchange) -> None:
        await exchange.stream(event(1), end=False)
        await release.wait()
        await exchange.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(event(2)), event(2)))

    async with (
        running_gateway(scripted("a", slow)) as running,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f"http://127.0.0.1:{running.port}/stream/1"
        headers: dict[bytes | str, bytes | str]
        headers = {"host": "h", "x-goldcrestridge-request-id": "r", "x-api-key": KEY}
        async with pool.stream("POST", url, headers=headers, content=b"") as response:
            pieces = response.aiter_stream()
            assert await anext(pieces) == event(1)
            release.set()
            assert b"".join([piece async for piece in pieces]) == event(2)


async def test_a_callers_disconnect_closes_the_connection_to_the_upstream() -> None:
    # Guards against an upstream that continues a request whose caller has disconnected.
    started = asyncio.Event()
    closed = asyncio.Event()

    async def hang(exchange: UpstreamExchange) -> None:
        started.set()
        assert await exchange.reader.read() == b""
        closed.set()

    async with running_gateway(scripted("a", hang)) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        head = f"GET /read/1 HTTP/1.1\r\nhost: h\r\nx-api-key: {KEY}\r\n"
        writer.write(f"{head}x-goldcrestridge-request-id: r\r\n\r\n".encode())
        await started.wait()
        writer.close()
        del reader
        with anyio.fail_after(5.0):
            await closed.wait()
    assert running.log_lines[-1]["outcome"] == "caller_gone"


async def test_an_error_response_is_retried_if_the_route_allows_it() -> None:
    # Guards against forwarding an error that a retry would have avoided, and against a retry of a
    # request that must not run twice.
    async def fail(exchange: UpstreamExchange) -> None:
        await exchange.respond(500, b"broken")

    async with running_gateway(scripted("a", fail), scripted("b", ok)) as running:
        for number in range(4):
            assert (await running.call(f"/read/{number}")).status == 200
    async with running_gateway(scripted("a", fail), scripted("b", fail)) as running:
        response = await running.call("/read/1")
        assert (response.status, response.content) == (500, b"broken")
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 2
        response = await running.call("/charge/1")
        assert (response.status, response.content) == (500, b"broken")
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 3


async def test_requests_are_refused_as_not_ready_while_the_routes_are_not_current() -> None:
    # Guards against a revoked key that is still accepted on a partitioned node, and against a 404
    # or 401 for a route or key that the node has not received yet.
    async with running_gateway(scripted("a", ok)) as running:
        assert (await running.call("/nowhere/1")).status == 404
        assert (await running.call("/read/1", x_api_key="wrong")).status == 401
        running.confirmed_ms[0] -= 100_000.0
        assert (await running.call("/nowhere/1")).status == 503
        assert (await running.call("/read/1", x_api_key="wrong")).status == 503
        assert (await running.call("/read/1")).status == 503
        running.gateway.dependencies.routes.table = None
        assert (await running.call("/nowhere/1")).status == 503
        assert running.upstreams[0].exchanges == []


@pytest.mark.parametrize("public", [False, True])
async def test_requests_are_refused_once_a_newer_version_must_be_in_force(public: bool) -> None:
    # Guards against requests handled by routes that the node knows to be replaced for too long.
    async with running_gateway(scripted("a", ok)) as running:
        routes, clock = running.gateway.dependencies.routes, running.gateway.dependencies.clock
        if public:
            routes.table = route_table()
        routes.max_lag_ms = 1_900.0
        since_ms = clock.now_ms()
        routes.outdated_since_ms = lambda: since_ms
        assert (await running.call("/read/1")).status == 200
        routes.outdated_since_ms = lambda: since_ms - 1_900.0
        response = await running.call("/read/1")
        assert (response.status, b"not_ready" in response.content) == (503, True)
        assert (await running.call("/nowhere/1")).status == 503
        assert len(running.upstreams[0].exchanges) == 1


async def test_a_draining_gateway_tells_callers_to_close_their_connections() -> None:
    # Guards against callers that keep their connection to a node that is about to stop.
    async with running_gateway(scripted("a", ok)) as running:
        running.gateway.draining = True
        response = await running.call("/read/1")
        assert dict(response.headers)[b"connection"] == b"close"
        assert response.status == 200


async def test_a_request_ends_at_the_timeout_of_its_route() -> None:
    # Guards against a caller that waits without limit for an upstream that never responds.
    async def hang(exchange: UpstreamExchange) -> None:
        await exchange.reader.read()

    async with running_gateway(scripted("a", hang)) as running:
        response = await running.call("/charge/1", x_goldcrestridge_deadline_ms="200")
        assert response.status == 504
        assert len(running.upstreams[0].exchanges) == 1


async def test_a_draining_gateway_waits_for_a_request_that_is_read_late() -> None:
    # Guards against a node that exits as soon as no request is in flight. A busy node can read a
    # request only after the previous one has ended, and then exited before it had responded.
    async def slow(exchange: UpstreamExchange) -> None:
        await anyio.sleep(0.3)
        await ok(exchange)

    async with running_gateway(scripted("i1", slow)) as running, anyio.create_task_group() as tasks:
        responses: list[httpcore.Response] = []

        async def call_later() -> None:
            await anyio.sleep(0.05)
            responses.append(await running.call("/read/x"))

        tasks.start_soon(call_later)
        await running.gateway.wait_idle(200.0)
        assert running.gateway.served == 1


async def test_a_failed_stream_is_resumed_even_if_all_engines_are_full() -> None:
    # Guards against cutting a stream because no engine admits its next attempt. A late stream is
    # better than a cut one. This was seen in a request log at the highest load.
    started, release = anyio.Event(), anyio.Event()

    async def wait_for_release(exchange: UpstreamExchange) -> None:
        started.set()
        await release.wait()
        await exchange.stream(event(1))

    async def fail_after_one_event(exchange: UpstreamExchange) -> None:
        await exchange.stream(event(1), end=False)
        exchange.reset()

    async def resume(exchange: UpstreamExchange) -> None:
        assert exchange.headers["last-event-id"] == "1"
        await exchange.stream(event(2))

    first, second = scripted("i1", wait_for_release), scripted("i2", wait_for_release)
    async with (
        running_gateway(first, second, engine=EngineLimits(1, 1_000)) as running,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(running.call, "/resume/x")
        await started.wait()
        busy = first if first.exchanges else second
        other = second if first.exchanges else first
        busy.script, other.script = [wait_for_release, resume], [fail_after_one_event]
        response = await running.call("/resume/x", x_goldcrestridge_deadline_ms="1000")
        assert response.content == event(1) + event(2)
        release.set()


async def test_a_full_engine_refuses_immediately_and_admits_again_after_each_request() -> None:
    # Guards against requests that wait in the queue of a full engine, and against admissions that
    # are not released when a caller disconnects or a stream ends.
    started, release = anyio.Event(), anyio.Event()

    async def wait_for_release(exchange: UpstreamExchange) -> None:
        started.set()
        await exchange.stream(b"id: 1\ndata: a\n\n", end=False)
        await release.wait()
        await exchange.write(b"0\r\n\r\n")

    upstream = ScriptedUpstream("i1", [wait_for_release, ok])
    async with running_gateway(upstream, engine=EngineLimits(1, 1_000)) as running:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(running.call, "/stream/x")
            await started.wait()
            refused = await running.call("/read/x")
            assert refused.status == 503
            headers = {name.lower(): value for name, value in refused.headers}
            assert 0.0 < float(headers[b"retry-after"]) < 1.0
            assert len(upstream.exchanges) == 1
            release.set()
        for _ in range(3):
            assert (await running.call("/read/x")).status == 200
    denied = [line for line in running.log_lines if "denied" in str(line.get("attempts"))]
    assert len(denied) == 1


async def test_engines_learn_the_priority_of_the_route_also_for_a_workspace_with_its_own() -> None:
    # Guards against an engine that preempts urgent requests of a workspace while less urgent ones
    # run, because the priority of the workspace replaces that of each of its routes.
    upstream = ScriptedUpstream("i1", [ok])
    async with running_gateway(upstream, engine=EngineLimits(24, 100_000)) as running:
        routes = running.gateway.dependencies.routes
        assert routes.table is not None
        table = routes.table
        priorities = {"read": 2, "stream": 0}
        changed = tuple(
            evolve(route, priority=priorities.get(route.name, route.priority))
            for route in table.routes
        )
        workspaces = (RoutedWorkspace("w1", (KEY,), priority=1),)
        routes.table = RouteTable(2, changed, table.services, table.limits, workspaces)
        for path in ("/stream/x", "/read/x"):
            await running.call(path)
    urgent, other = (
        int(exchange.headers["x-goldcrestridge-request-priority"])
        for exchange in upstream.exchanges
    )
    assert urgent < other


async def test_a_request_during_the_start_of_a_node_is_served_once_the_routes_have_come() -> None:
    # Load: callers return while the whole fleet starts again. Guards against refusals that use up
    # the only retry of callers for whom no other node is ready either.
    async with running_gateway(scripted("a", ok)) as running, anyio.create_task_group() as tasks:
        gateway = running.gateway
        table, gateway.dependencies.routes.table = gateway.dependencies.routes.table, None
        statuses: list[int] = []

        async def call() -> None:
            statuses.append((await running.call("/charge/1")).status)

        async with anyio.create_task_group() as calls:
            calls.start_soon(call)
            tasks.start_soon(_bring_routes, gateway, table)
        assert statuses == [200]


async def _bring_routes(gateway: Gateway, table: RouteTable | None) -> None:
    """Set the routes after some news without them, once a request waits for them."""
    while not gateway.in_flight:
        await anyio.lowlevel.checkpoint()
    gateway.notify_news()
    gateway.dependencies.routes.table = table
    gateway.notify_news()


async def test_a_request_waits_for_the_start_of_a_node_for_a_part_of_its_time_only() -> None:
    # Guards against callers that are held until they give up, where they could turn to another
    # node, and against waits on a node that has served before and was cut off since.
    async with running_gateway(scripted("a", ok)) as running:
        routes = running.gateway.dependencies.routes
        table, routes.table = routes.table, None
        clock = running.gateway.dependencies.clock
        began_ms = clock.now_ms()
        response = await running.call("/charge/1", x_goldcrestridge_deadline_ms="400")
        assert (response.status, b"not_ready" in response.content) == (503, True)
        assert clock.now_ms() - began_ms >= START_WAIT_SHARE * 400.0
        routes.table = table
        assert (await running.call("/charge/2")).status == 200
        routes.table = None
        with anyio.fail_after(0.5 * START_WAIT_SHARE * 2.0):  # Its time limit is 2 s.
            assert (await running.call("/charge/3")).status == 503
        assert len(running.upstreams[0].exchanges) == 1
