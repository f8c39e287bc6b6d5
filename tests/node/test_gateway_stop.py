"""Tests of requests that a gateway holds or gets near the end of the time that it has to stop."""

from __future__ import annotations

import asyncio
import json

import anyio
import httpcore
import pytest
from anyio.lowlevel import checkpoint
from tests.node.gateway_helpers import (
    KEY,
    Handler,
    RunningGateway,
    UpstreamExchange,
    event,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.route_times import RouteTimes
from goldcrestridge_node.connections import ConnectionPool
from goldcrestridge_node.dispatch import Dispatcher
from goldcrestridge_node.gateway_process import stop_schedule

pytestmark = pytest.mark.anyio

# Statuses that promise that the request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# More iterations of the event loop than a request takes from its arrival to its answer.
STOP_STEPS = 60


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def begin(exchange: UpstreamExchange) -> None:
    await exchange.stream(event(1), end=False)
    await anyio.sleep_forever()


async def reset(exchange: UpstreamExchange) -> None:
    exchange.reset()


def begin_drain(running: RunningGateway, left_ms: float) -> None:
    running.gateway.begin_drain(running.gateway.dependencies.clock.now_ms() + left_ms)


@pytest.mark.parametrize("path", ["/charge/1", "/read/1", "/stream/1", "/resume/1"])
async def test_a_request_that_cannot_end_before_the_stop_is_refused_as_not_run(path: str) -> None:
    # Guards against requests that come late in the grace, reach an upstream and are cut without an
    # answer.
    async with running_gateway(scripted("a", ok)) as running:
        running.gateway.route_times.record(path.split("/")[1], 500.0)
        begin_drain(running, 400.0)
        response = await running.call(path)
        headers = dict(response.headers)
        assert response.status == 503
        assert headers[b"x-goldcrestridge-outcome"] == b"not_run"
        assert headers[b"connection"] == b"close"
        assert 0.0 < float(headers[b"retry-after"]) <= 0.1
        assert json.loads(response.content)["error"]["code"] == "stopping"
        assert running.upstreams[0].exchanges == []


@pytest.mark.parametrize("known", [True, False])
async def test_a_request_that_can_end_before_the_stop_is_served(known: bool) -> None:
    # Guards against a node that refuses all requests once it stops: where no time of the route is
    # known, that of the caller's limit (2 s) counts.
    async with running_gateway(scripted("a", ok)) as running:
        if known:
            running.gateway.route_times.record("charge", 20.0)
        begin_drain(running, 500.0 if known else 5_000.0)
        assert (await running.call("/charge/1")).status == 200


async def test_a_request_is_not_sent_once_more_if_the_stop_comes_first() -> None:
    # Guards against a repeat that is cut by the stop, in place of a truthful answer now.
    upstreams = scripted("a", reset), scripted("b", reset)
    async with running_gateway(*upstreams) as running:
        running.gateway.route_times.record("read", 500.0)
        begin_drain(running, 10_000.0)

        async def shorten(exchange: UpstreamExchange) -> None:
            begin_drain(running, 100.0)
            exchange.reset()

        for upstream in upstreams:
            upstream.script = [shorten]
        assert (await running.call("/read/1")).status == 502
        assert sum(len(upstream.exchanges) for upstream in upstreams) == 1


@pytest.mark.parametrize("path", ["/charge/1", "/read/1", "/stream/1"])
async def test_a_request_that_an_upstream_has_gets_its_answer_at_the_stop(path: str) -> None:
    # Guards against a connection that is closed without an answer at the end of the grace.
    arrived = anyio.Event()

    async def never(_exchange: UpstreamExchange) -> None:
        arrived.set()
        await anyio.sleep_forever()

    async with running_gateway(scripted("a", never)) as running:
        async with anyio.create_task_group() as tasks:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await running.call(path)).status)

            tasks.start_soon(call)
            with anyio.fail_after(10):
                await arrived.wait()
            begin_drain(running, 0.0)
            running.gateway.end_requests()
        assert statuses == [502]
        (line,) = [line for line in running.log_lines if line["event"] == "request"]
        assert (line["outcome"], line["reason"]) == ("failed", "The node stopped.")


async def test_a_request_that_was_not_sent_is_refused_at_the_stop() -> None:
    # Guards against a request that waits, for its body here, and is cut although it has not run.
    async with running_gateway(scripted("a", ok)) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        head_lines = b"POST /charge/1 HTTP/1.1\r\nhost: h\r\nx-api-key: %s\r\n" % KEY.encode()
        writer.write(head_lines + b"content-length: 5\r\n\r\nab")
        await writer.drain()
        # A request that is sent later and answered shows that the first one has been read.
        assert (await running.call("/read/1")).status == 200
        assert running.gateway.in_flight == 1
        with anyio.fail_after(10):
            begin_drain(running, 0.0)
            running.gateway.end_requests()
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 503")
        assert b"not_run" in head
        assert [exchange.target for exchange in running.upstreams[0].exchanges] == ["/read/1"]


async def test_a_stream_that_has_begun_is_broken_off_at_the_stop() -> None:
    # Guards against a stream that looks complete because its node stopped.
    async with running_gateway(scripted("a", begin)) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(
            b"POST /stream/1 HTTP/1.1\r\nhost: h\r\nx-goldcrestridge-request-id: r1\r\n"
            b"x-api-key: %s\r\ncontent-length: 0\r\n\r\n" % KEY.encode()
        )
        with anyio.fail_after(10):
            await reader.readuntil(b"piece 1")
            begin_drain(running, 0.0)
            running.gateway.end_requests()
            rest = await reader.read()
        writer.close()
        assert b"0\r\n\r\n" not in rest


@pytest.mark.parametrize("grace_ms", [500.0, 2_000.0, 4_000.0, 8_000.0, 20_000.0, 60_000.0])
async def test_the_steps_of_a_stop_fit_into_any_grace_time(grace_ms: float) -> None:
    # Guards against a stop that accepts callers until the process is killed.
    schedule = stop_schedule(grace_ms)
    assert 0 < schedule.accept_ms < schedule.answer_ms < schedule.end_ms < grace_ms
    assert schedule.answer_ms - schedule.accept_ms >= 0.4 * grace_ms - 1e-6
    assert schedule.accept_ms <= 2_800.0


def test_the_usual_time_covers_the_spread_and_is_bounded_by_the_limit() -> None:
    # Guards against a mean that most of the longer requests of a route exceed.
    times = RouteTimes()
    assert times.usual_ms("r", 900.0) == 900.0
    for number in range(200):
        times.record("r", 100.0 if number % 2 else 300.0)
    assert 300.0 < times.usual_ms("r", 5_000.0) < 800.0
    assert times.usual_ms("r", 250.0) == 250.0
    for number in range(3_000):
        times.record(f"r{number}", 1.0)
    assert len(times._times) <= 1_000


async def test_a_request_is_not_refused_as_not_run_between_its_attempt_and_the_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a stop that comes after an attempt has failed, while the node still asks
    # whether the upstream has crashed.
    asking = anyio.Event()

    async def ask_forever(_dispatcher: Dispatcher, _instance: UpstreamInstance) -> bool:
        asking.set()
        await anyio.sleep_forever()
        return False

    monkeypatch.setattr(Dispatcher, "refuses_connections", ask_forever)
    async with running_gateway(scripted("a", reset)) as running:
        async with anyio.create_task_group() as tasks:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await running.call("/charge/1")).status)

            tasks.start_soon(call)
            with anyio.fail_after(10):
                await asking.wait()
            begin_drain(running, 0.0)
            running.gateway.end_requests()
        assert statuses == [502]


async def fail(exchange: UpstreamExchange) -> None:
    await exchange.respond(500, b"failed")


@pytest.mark.parametrize("answer", [ok, fail, reset, begin], ids=lambda item: item.__name__)
@pytest.mark.parametrize("path", ["/charge/1", "/stream/1"])
async def test_no_stop_at_any_step_calls_a_request_not_run_that_an_upstream_has(
    path: str, answer: Handler
) -> None:
    # Guards against any wait of a request at which the node forgets that it was sent.
    statuses: dict[str, int] = {}
    async with running_gateway(scripted("a", answer)) as running:
        upstream = running.upstreams[0]

        async def call(name: str) -> None:
            try:
                response = await running.call(path, x_goldcrestridge_request_id=name)
                statuses[name] = response.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                statuses[name] = 0

        for steps in range(STOP_STEPS):
            name = f"request {steps}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, name)
                with anyio.fail_after(10):
                    while not running.gateway.in_flight and name not in statuses:
                        await checkpoint()
                for _ in range(steps):
                    await checkpoint()
                running.gateway.end_requests()
                if answer is begin:
                    # A stream without an end holds its caller until the node stops.
                    while name not in statuses:
                        await checkpoint()
                        running.gateway.end_requests()
        ran = {item.headers["x-goldcrestridge-request-id"] for item in upstream.exchanges}
    assert ran
    assert len(statuses) == STOP_STEPS
    assert [name for name in ran if statuses[name] in NOT_RUN_STATUSES] == []


async def test_a_request_that_waits_for_a_connection_is_refused_as_not_run_at_the_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a failure, which promises nothing, in place of a refusal that lets the caller
    # send the request again.
    waiting = anyio.Event()

    async def wait_forever(_pool: ConnectionPool, reuse: bool, timeout_ms: float) -> None:
        waiting.set()
        await anyio.sleep_forever()

    monkeypatch.setattr(ConnectionPool, "acquire", wait_forever)
    async with running_gateway(scripted("a", ok)) as running:
        async with anyio.create_task_group() as tasks:
            statuses: list[int] = []

            async def call() -> None:
                statuses.append((await running.call("/charge/1")).status)

            tasks.start_soon(call)
            with anyio.fail_after(10):
                await waiting.wait()
            begin_drain(running, 0.0)
            running.gateway.end_requests()
        assert statuses == [503]
        assert running.upstreams[0].exchanges == []
