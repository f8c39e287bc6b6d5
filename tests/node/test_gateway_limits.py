"""Tests of a gateway in front of upstreams that name a limit on their requests."""

from __future__ import annotations

import pytest
from tests.node.gateway_helpers import UpstreamExchange, event, ok, running_gateway, scripted

from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_an_upstream_that_named_a_limit_gets_no_more_requests_than_that() -> None:
    # Guards against an overloaded upstream that gets as many requests as before it named its limit.
    async def limited(exchange: UpstreamExchange) -> None:
        await exchange.respond(200, b"ok", server_limit="1")

    async with running_gateway(scripted("a", limited), scripted("b", ok)) as running:
        started_ms = running.gateway.dependencies.clock.now_ms()
        for number in range(60):
            assert (await running.call(f"/read/{number}")).status == 200
            assert (await running.call(f"/charge/{number}")).status == 200
        seconds = (running.gateway.dependencies.clock.now_ms() - started_ms) / 1_000.0
        # The first answer names the limit; one more request may be sent each second.
        assert len(running.upstreams[0].exchanges) <= 2 + seconds


async def limited_to_one(exchange: UpstreamExchange) -> None:
    """Answer and name a limit of one request a second."""
    await exchange.respond(200, b"ok", server_limit="1")


async def test_a_request_beyond_the_limits_of_all_upstreams_is_refused_at_once() -> None:
    # Guards against a request that waits for a permit or is sent without one, and against refused
    # callers that all return at the same time.
    upstreams = scripted("a", limited_to_one), scripted("b", limited_to_one)
    async with running_gateway(*upstreams) as running:
        while not all(upstream.exchanges for upstream in upstreams):
            await running.call("/read/x")
        refused = [
            response
            for response in [await running.call("/charge/x") for _ in range(6)]
            if response.status == 503
        ]
        assert len(refused) >= 4
        assert all(
            dict(item.headers)[b"x-goldcrestridge-outcome"] == b"not_run" for item in refused
        )
        retries = [float(dict(item.headers)[b"retry-after"]) for item in refused]
        assert min(retries) > 0.0
        assert len(set(retries)) == len(retries)
    assert any("no_permit" in str(line.get("attempts")) for line in running.log_lines)


async def test_a_rejection_that_names_a_limit_and_an_engine_count_as_well() -> None:
    # Guards against a limit that is read from successful answers or at plain services only.
    async def reject(exchange: UpstreamExchange) -> None:
        await exchange.respond(503, b"", server_limit="1", x_goldcrestridge_not_executed="1")

    for engine in (None, EngineLimits(24, 100_000)):
        async with running_gateway(
            scripted("a", reject), scripted("b", ok), engine=engine
        ) as running:
            started_ms = running.gateway.dependencies.clock.now_ms()
            for number in range(40):
                assert (await running.call(f"/read/{number}")).status == 200
            seconds = (running.gateway.dependencies.clock.now_ms() - started_ms) / 1_000.0
            assert 1 <= len(running.upstreams[0].exchanges) <= 2 + seconds


async def test_a_resumed_stream_waits_for_a_permit_instead_of_being_cut() -> None:
    # Guards against a continued stream that exceeds the limit, and against one that is cut although
    # a permit comes in time.
    async def fail_once(exchange: UpstreamExchange) -> None:
        if "last-event-id" in exchange.headers:
            await exchange.stream(event(2))
        elif exchange.target.startswith("/resume/"):
            await exchange.stream(event(1), end=False)
            exchange.reset()
        else:
            await exchange.respond(200, exchange.target.encode())

    async def fail_once_and_name_a_limit(exchange: UpstreamExchange) -> None:
        if exchange.target.startswith("/resume/"):
            await fail_once(exchange)
        else:
            await exchange.respond(200, b"limited", server_limit="5")

    first, second = scripted("a", fail_once), scripted("b", fail_once_and_name_a_limit)
    async with running_gateway(first, second) as running:
        while not second.exchanges:
            await running.call("/read/x")
        while (await running.call("/read/x")).content == b"limited":
            pass  # Uses the permits that are left.
        sent = len(second.exchanges)
        response = await running.call("/resume/x")
        assert response.content == event(1) + event(2)
        assert len(second.exchanges) == sent + 1
