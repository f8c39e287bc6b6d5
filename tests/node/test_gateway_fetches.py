"""Tests of shared parts of prompts that engines get from each other, over real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from attrs import evolve
from tests.node.gateway_helpers import (
    RunningGateway,
    ScriptedUpstream,
    UpstreamExchange,
    event,
    running_gateway,
    scripted,
)

from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio

ENGINE = EngineLimits(8, 100_000, 1, token_bytes=18_432, link_mbps=370_000.0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def stream(exchange: UpstreamExchange) -> None:
    await exchange.stream(event(1), event(2))


async def reset(exchange: UpstreamExchange) -> None:
    exchange.reset()


async def call(running: RunningGateway, kv_fetch: str = "") -> int:
    """Send a prompt with 6,000 tokens that other prompts share, and return the status."""
    forged = {"kv_fetch": kv_fetch} if kv_fetch else {}
    response = await running.call(
        "/resume/1",
        "POST",
        b"x",
        x_goldcrestridge_prompt_prefix="aa:2400,bb:3600,cc:400",
        x_goldcrestridge_token_count="6400,10",
        **forged,
    )
    return response.status


@asynccontextmanager
async def engines(
    *upstreams: ScriptedUpstream, engine: EngineLimits = ENGINE
) -> AsyncIterator[RunningGateway]:
    """Run a gateway whose routes lead to engines that hold shared parts of prompts."""
    async with running_gateway(*upstreams, engine=engine) as running:
        routes = running.gateway.dependencies.routes
        assert routes.table is not None
        cached = tuple(evolve(route, cached=True) for route in routes.table.routes)
        routes.table = evolve(routes.table, routes=cached)
        yield running


def sent(upstreams: list[ScriptedUpstream]) -> list[tuple[str, str | None]]:
    """Return for each request the engine that got it, and the address to fetch from."""
    return [
        (upstream.name, exchange.headers.get("kv-fetch"))
        for upstream in upstreams
        for exchange in upstream.exchanges
    ]


async def test_an_engine_gets_the_parts_that_it_lacks_from_another_and_only_those() -> None:
    # Guards against engines that all read the same shared parts, and against transfers of parts
    # that the engine holds.
    upstreams = [scripted("a", stream), scripted("b", stream)]
    async with engines(*upstreams) as running:
        for _ in range(2):
            assert await call(running) == 200
        other = {"a": upstreams[1], "b": upstreams[0]}
        (name, first), (again, second) = sent(upstreams)
        assert first == f"127.0.0.1:{other[name].port}"
        assert (again, second) == (name, None)
        line = next(line for line in running.log_lines if line["event"] == "request")
        assert line["fetches"] == [f"{other[name].name} 6000 tokens"]


@pytest.mark.parametrize("engine", [EngineLimits(8, 100_000), evolve(ENGINE, link_mbps=1_000.0)])
async def test_parts_are_not_fetched_where_it_is_not_offered_or_slower(
    engine: EngineLimits,
) -> None:
    # Guards against a header that the engines don't know, and against transfers over a slow link.
    upstreams = [scripted("a", stream), scripted("b", stream)]
    async with engines(*upstreams, engine=engine) as running:
        assert await call(running) == 200
        assert [address for _, address in sent(upstreams)] == [None]


async def test_an_engine_that_failed_is_no_source_of_the_next_attempt() -> None:
    # Guards against a request that fails, or waits, for the sake of a transfer.
    upstreams = [scripted("a", reset, stream), scripted("b", reset, stream)]
    async with engines(*upstreams) as running:
        await call(running)
        first, second = sent(upstreams)
        assert {first[0], second[0]} == {"a", "b"}
        assert None in (first[1], second[1])


async def test_a_caller_cannot_name_a_source() -> None:
    # Guards against callers that make engines connect to any address.
    upstreams = [scripted("a", stream)]
    async with engines(*upstreams) as running:
        assert await call(running, kv_fetch="10.0.0.1:80") == 200
        assert sent(upstreams) == [("a", None)]
