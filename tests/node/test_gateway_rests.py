"""Tests of what an upstream gets from one machine in the time for which it asked for a rest."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, field
from tests.node.gateway_helpers import (
    RunningGateway,
    UpstreamExchange,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_lab.soak_checks import REST_GRACE_MS

pytestmark = pytest.mark.anyio

REST_MS = 1_500.0
PATHS = ("/charge/x", "/read/x", "/stream/x", "/resume/x")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@define
class RestingUpstream:
    """Reject requests and ask for a rest; record the arrivals and the times of the answers.

    The first ``sound`` requests are served. ``headers`` are added to a rejection, and
    ``delay_ms`` is the time until it is sent.
    """

    sound: int = 0
    delay_ms: float = 0.0
    headers: dict[str, str] = field(factory=dict)
    framed: bool = True
    clock: Clock = field(factory=Clock)
    arrived_ms: list[float] = field(factory=list)
    asked_ms: list[float] = field(factory=list)

    async def serve(self, exchange: UpstreamExchange) -> None:
        """Handle one request."""
        self.arrived_ms.append(self.clock.now_ms())
        if len(self.arrived_ms) <= self.sound:
            await ok(exchange)
            return
        await anyio.sleep(self.delay_ms / MS_PER_SECOND)
        headers = {
            "retry_after": f"{REST_MS / MS_PER_SECOND:g}",
            "x_goldcrestridge_not_executed": "1",
            **self.headers,
        }
        self.asked_ms.append(self.clock.now_ms())
        if self.framed:
            await exchange.respond(503, b"busy", **headers)
        else:
            await exchange.write(exchange.head(503, **headers) + b"busy")
            exchange.close()

    def most_in_rest(self) -> int:
        """Return the most requests that arrived in one rest, as the platform counts them."""
        return max(
            sum(asked + REST_GRACE_MS < at < asked + REST_MS for at in self.arrived_ms)
            for asked in self.asked_ms
        )


async def send_during_rest(running: RunningGateway, upstream: RestingUpstream, burst: int) -> None:
    """Send requests of all kinds, ``burst`` at once, until the first rest has ended."""
    async with anyio.create_task_group() as tasks:
        while not upstream.asked_ms or upstream.clock.now_ms() < upstream.asked_ms[0] + REST_MS:
            for number in range(burst):
                tasks.start_soon(running.call, PATHS[number % len(PATHS)])
            await anyio.sleep(0.02)


@pytest.mark.parametrize("delay_ms", [0.0, 100.0])
@pytest.mark.parametrize("framed", [True, False])
async def test_several_requests_sent_at_once_bring_no_more_into_a_rest(
    delay_ms: float, framed: bool
) -> None:
    # Guards against requests that were on their way, or waited for a connection, as the upstream
    # asked for a rest, and against a rejection that ends with its connection.
    resting = RestingUpstream(delay_ms=delay_ms, framed=framed)
    async with running_gateway(scripted("a", resting.serve), scripted("b", ok)) as running:
        await send_during_rest(running, resting, 8)
    assert len(resting.arrived_ms) > 1
    assert resting.most_in_rest() == 0


@pytest.mark.parametrize("request_id", ["", "another"])
async def test_a_rest_counts_that_was_asked_for_in_an_answer_to_no_known_request(
    request_id: str,
) -> None:
    # Guards against an upstream whose rejections, on connections in use again, name no request or
    # another one, and which gets as many requests as before.
    resting = RestingUpstream(sound=4, headers={"x_goldcrestridge_request_id": request_id})
    async with running_gateway(scripted("a", resting.serve), scripted("b", ok)) as running:
        await send_during_rest(running, resting, 2)
    assert resting.most_in_rest() == 0
