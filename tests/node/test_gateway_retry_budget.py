"""Tests of a running gateway: each send after the first of a request is charged to the budget."""

from __future__ import annotations

from collections import Counter

import anyio
import httpcore
import pytest
from tests.node.gateway_helpers import (
    Handler,
    UpstreamExchange,
    event,
    not_run,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


EXTRA = 3
ENGINE = EngineLimits(96, 200_000, 262_144, 4)


async def close(exchange: UpstreamExchange) -> None:
    """Close the connection without an answer."""
    exchange.close()


async def reset(exchange: UpstreamExchange) -> None:
    """Reset the connection without an answer."""
    exchange.reset()


async def fail(exchange: UpstreamExchange) -> None:
    """Answer with an error."""
    await exchange.respond(500, b"error")


async def be_another(exchange: UpstreamExchange) -> None:
    """Answer that another instance has this address."""
    await exchange.respond(421, b"", x_goldcrestridge_not_executed="1")


async def answer_unsigned(exchange: UpstreamExchange) -> None:
    """Answer without a signature."""
    await exchange.respond(200, b"x", x_goldcrestridge_server_stamp="")


async def break_head(exchange: UpstreamExchange) -> None:
    """Close the connection within the head of the answer."""
    await exchange.write(exchange.head(200)[:-20])
    exchange.close()


async def break_body(exchange: UpstreamExchange) -> None:
    """Close the connection within the body of the answer."""
    await exchange.write(exchange.head(200, content_length="10") + b"12345")
    exchange.close()


async def break_stream(exchange: UpstreamExchange) -> None:
    """Close the connection within a stream."""
    await exchange.stream(event(1), end=False)
    exchange.close()


PATHS = [
    (path, failure)
    for path in ("/read/1", "/charge/1", "/stream/1", "/resume/1")
    for failure in (
        not_run,
        close,
        reset,
        fail,
        be_another,
        answer_unsigned,
        break_head,
        break_body,
        break_stream,
    )
]


@pytest.mark.parametrize("engine", [None, ENGINE])
@pytest.mark.parametrize(("path", "failure"), PATHS)
async def test_upstreams_get_no_more_sends_after_the_first_than_the_budget_covers(
    path: str, failure: Handler, engine: EngineLimits | None
) -> None:
    # Guards against a way to send a request once more that is charged to no budget.
    upstreams = [scripted(f"i-{number}", failure) for number in range(4)]
    async with running_gateway(*upstreams, engine=engine) as running:
        budget = running.gateway.dependencies.retry_budget
        budget.share, budget.extra = 0.0, float(EXTRA)

        async def call(number: int) -> None:
            try:
                await running.call(path, x_goldcrestridge_request_id=f"r{number}")
            except httpcore.RemoteProtocolError:
                return  # The gateway has broken off a stream that had begun.

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call, number)
        for number in range(4, 8):
            await call(number)
        arrived = Counter(
            exchange.headers["x-goldcrestridge-request-id"]
            for upstream in upstreams
            for exchange in upstream.exchanges
        )
    repeats = sum(arrived.values()) - len(arrived)
    assert repeats <= EXTRA
    if failure is not_run and engine is None:
        assert repeats == EXTRA
        assert any(line["retry_budget"].startswith("s: 3 retries") for line in running.log_lines)


async def test_a_retry_that_finds_no_upstream_listening_is_not_charged() -> None:
    # Guards against retries that use up the budget though no upstream has received them.
    alive = scripted("i-1", not_run, ok)
    async with running_gateway(alive, scripted("i-2", ok)) as running:
        running.servers["i-2"].close()
        budget = running.gateway.dependencies.retry_budget
        budget.share, budget.extra = 0.0, 1.0
        await running.call("/read/1")
        deps = running.gateway.dependencies
        assert budget.state("s", deps.clock.now_ms()).retries == 0
