"""Tests of a gateway in front of upstreams that leave or ask for a rest."""

from __future__ import annotations

import asyncio

import anyio
import httpcore
import pytest
from tests.node.gateway_helpers import (
    ScriptedUpstream,
    UpstreamExchange,
    event,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio

ENGINE = EngineLimits(24, 100_000)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def outcome(response: httpcore.Response) -> bytes:
    return dict(response.headers).get(b"x-goldcrestridge-outcome", b"")


def retry_after_s(response: httpcore.Response) -> float:
    return float(dict(response.headers)[b"retry-after"])


async def leaving(exchange: UpstreamExchange) -> None:
    """Answer and say that the upstream leaves."""
    await exchange.respond(200, b"ok", server_leaving="1")


async def reject_and_leave(exchange: UpstreamExchange) -> None:
    """Reject the request and say that the upstream leaves."""
    await exchange.respond(503, b"", server_leaving="1", x_goldcrestridge_not_executed="1")


async def rest(exchange: UpstreamExchange) -> None:
    """Reject the request and ask for a rest of half a second."""
    await exchange.respond(503, b"", retry_after="0.5", x_goldcrestridge_not_executed="1")


async def rest_after_failure(exchange: UpstreamExchange) -> None:
    """Ask for a rest in an answer that does not say whether the request was run."""
    await exchange.respond(503, b"", retry_after="0.5")


@pytest.mark.parametrize("answer", [leaving, reject_and_leave])
@pytest.mark.parametrize("engine", [None, ENGINE])
async def test_an_upstream_that_said_that_it_leaves_gets_no_more_requests(
    answer: object, engine: EngineLimits | None
) -> None:
    # Guards against requests to an upstream between its own word and the list that shows its end.
    first = ScriptedUpstream("a", [answer])  # type: ignore[list-item]
    async with running_gateway(first, scripted("b", ok), engine=engine) as running:
        for number in range(60):
            assert (await running.call(f"/read/{number}")).status == 200
            assert (await running.call(f"/charge/{number}")).status == 200
        assert len(first.exchanges) == 1
        assert any("a leaving, heard" in str(line.get("avoided")) for line in running.log_lines)


async def test_the_first_bytes_of_a_stream_say_that_its_upstream_leaves() -> None:
    # Guards against a notice that counts only once the answer has ended.
    release = asyncio.Event()

    async def stream_on(exchange: UpstreamExchange) -> None:
        head = exchange.head(200, server_leaving="1", transfer_encoding="chunked")
        await exchange.write(head + b"%x\r\n%b\r\n" % (len(event(1)), event(1)))
        await release.wait()
        await exchange.write(b"0\r\n\r\n")

    first, second = scripted("a", stream_on), scripted("b", ok)
    async with running_gateway(first, second) as running, anyio.create_task_group() as tasks:
        while not first.exchanges:
            tasks.start_soon(running.call, "/stream/x")
            await anyio.sleep(0.02)
        started = len(first.exchanges)
        for number in range(20):
            assert (await running.call(f"/read/{number}")).status == 200
        assert len(first.exchanges) == started
        release.set()


async def test_leaving_upstreams_serve_for_a_while_if_no_other_is_left() -> None:
    # Guards against a release of a whole service that refuses calls which would still be served,
    # and against one that goes on sending until the upstreams are gone.
    arrivals_ms: list[float] = []

    async def leave(exchange: UpstreamExchange) -> None:
        arrivals_ms.append(clock.now_ms())
        await leaving(exchange)

    async with running_gateway(scripted("a", leave), scripted("b", leave)) as running:
        notices = running.gateway.dependencies.placement.notices
        notices.drain_ms = 600.0
        clock = running.gateway.dependencies.clock
        started_ms = clock.now_ms()
        while (response := await running.call("/charge/x")).status == 200:
            pass
        assert len(arrivals_ms) > 2
        assert arrivals_ms[-1] - started_ms < 600.0
        assert (response.status, outcome(response)) == (503, b"not_run")


@pytest.mark.parametrize("answer", [rest, rest_after_failure])
@pytest.mark.parametrize("engine", [None, ENGINE])
async def test_an_upstream_that_asked_for_a_rest_gets_none_of_the_requests_until_its_end(
    answer: object, engine: EngineLimits | None
) -> None:
    # Guards against an overloaded upstream that gets as many requests as before.
    first = ScriptedUpstream("a", [answer])  # type: ignore[list-item]
    async with running_gateway(first, scripted("b", ok), engine=engine) as running:
        clock = running.gateway.dependencies.clock
        while not first.exchanges:
            await running.call("/read/x")
        asked_ms = clock.now_ms()
        while clock.now_ms() < asked_ms + 400.0:
            assert (await running.call("/read/x")).status == 200
            assert (await running.call("/charge/x")).status == 200
        assert len(first.exchanges) == 1
        while len(first.exchanges) == 1:
            await running.call("/read/x")
        assert clock.now_ms() >= asked_ms + 490.0
        assert any("a rests for" in str(line.get("avoided")) for line in running.log_lines)


async def test_callers_are_refused_at_once_while_all_upstreams_rest() -> None:
    # Guards against callers that are held, that return before the end of the rest or all at once,
    # and against a refusal that does not say that the request has not run.
    async with running_gateway(scripted("a", rest), scripted("b", rest)) as running:
        clock = running.gateway.dependencies.clock
        while not all(upstream.exchanges for upstream in running.upstreams):
            await running.call("/read/x")
        sent = [len(upstream.exchanges) for upstream in running.upstreams]
        started_ms = clock.now_ms()
        refused = [await running.call("/charge/x") for _ in range(5)]
        assert clock.now_ms() - started_ms < 300.0
        assert [(item.status, outcome(item)) for item in refused] == [(503, b"not_run")] * 5
        retries = [retry_after_s(item) for item in refused]
        assert len(set(retries)) > 1
        assert all(0.0 < value < 0.9 for value in retries)
        assert [len(upstream.exchanges) for upstream in running.upstreams] == sent
        reasons = [str(line.get("reason")) for line in running.log_lines]
        assert any("asked for a rest" in reason for reason in reasons)


async def test_a_rest_neither_starts_nor_ends_a_backoff() -> None:
    # Guards against a busy upstream that is taken for a failing one, and against a failing one that
    # is used again at once because it was busy.
    for answer in (rest, rest_after_failure):
        async with running_gateway(scripted("a", answer)) as running:
            placement = running.gateway.dependencies.placement
            item = running.upstreams[0].instance()
            health = placement._health_of(item)
            health.consecutive_failures = 3
            await running.call("/read/x")
            assert len(running.upstreams[0].exchanges) == 1
            assert health.consecutive_failures == 3
            assert health.failure_share_at(0.0) == 0.0


async def test_a_request_that_waits_for_a_connection_is_not_sent_after_a_notice() -> None:
    # Guards against requests that were placed before the notice and are sent long after it.
    async def leave_slowly(exchange: UpstreamExchange) -> None:
        await anyio.sleep(0.1)
        await exchange.respond(503, b"", retry_after="5", x_goldcrestridge_not_executed="1")

    first = scripted("a", leave_slowly)
    async with running_gateway(first) as running, anyio.create_task_group() as tasks:
        dispatcher = running.gateway.dependencies.dispatcher
        pool = dispatcher._pool(first.instance())
        held = [await pool.acquire(False, 500.0) for _ in range(pool.max_open - 1)]
        for _ in range(4):
            tasks.start_soon(running.call, "/charge/x")
        await anyio.sleep(0.4)
        assert len(first.exchanges) == 1
        for conn in held:
            await pool.release(conn)


async def test_a_stream_that_only_a_resting_upstream_can_take_up_is_refused_at_once() -> None:
    # Guards against a caller that is held until the rest ends, or told to begin anew.
    first = scripted("a", rest, version="v1")
    async with running_gateway(first, scripted("b", ok, version="v2")) as running:
        while not first.exchanges:
            await running.call("/read/x")
        origins = running.gateway.dependencies.origins
        from goldcrestridge_core.stream_origins import StreamBegan, StreamOrigin

        origins.post(StreamBegan(StreamOrigin("r1", "s", "a", "v1")))
        response = await running.call("/resume/x", last_event_id="3", resumes="r1")
        assert (response.status, outcome(response)) == (503, b"not_run")
        assert retry_after_s(response) > 0.0
        assert len(first.exchanges) == 1
