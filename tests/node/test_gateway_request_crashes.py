"""Tests of requests that crash each upstream that begins to run them."""

from __future__ import annotations

import itertools

import anyio
import pytest
from tests.node.crashing_pool import CLOSE, RESTART_MS, CrashingPool
from tests.node.gateway_helpers import UpstreamExchange, running_gateway, scripted

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.routes import EngineLimits
from goldcrestridge_node.dispatch import FailedAttempt, UpstreamResponse
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.relay import Relay
from goldcrestridge_node.request_crashes import RequestCrashes

pytestmark = pytest.mark.anyio

# Of requests that have crashed three upstreams, this many may still reach one.
MAX_CRASHES = 3
ALLOWED_AFTER = 3
ENGINE = EngineLimits(24, 100_000)
POISON = b"poison"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def is_poison(exchange: UpstreamExchange) -> bool:
    return exchange.body == POISON


async def send_poison(pool: CrashingPool, path: str, rounds: int, **headers: str) -> None:
    """Send the request that crashes upstreams again and again, with sound ones beside it."""
    running = pool.running
    assert running is not None
    numbers = itertools.count()

    async def call(body: bytes, request_id: str) -> None:
        await running.call(path, body=body, x_goldcrestridge_request_id=request_id, **headers)

    async with anyio.create_task_group() as tasks:
        for number in range(rounds):
            tasks.start_soon(call, POISON, f"bad{number}")
            tasks.start_soon(call, b"%d" % next(numbers), f"sound{number}")
            await anyio.sleep(0.06)
    await anyio.sleep(2 * RESTART_MS / MS_PER_SECOND)


@pytest.mark.parametrize("with_head", [False, True])
@pytest.mark.parametrize("path", ["/read/x", "/charge/x", "/stream/x", "/resume/x"])
async def test_a_request_that_crashes_upstreams_is_sent_no_more(path: str, with_head: bool) -> None:
    # Guards against a request to a plain service that crashes one upstream after the other.
    pool = CrashingPool(is_poison, MAX_CRASHES, with_head)
    upstreams = [pool.upstream() for _ in range(4)]
    async with running_gateway(*upstreams) as running:
        pool.running = running
        await send_poison(pool, path, rounds=20)
        answers = [await running.call(path, body=b"s%d" % number) for number in range(6)]
    assert pool.late_arrivals <= ALLOWED_AFTER
    assert pool.crashes <= MAX_CRASHES + ALLOWED_AFTER
    assert all(answer.status == 200 for answer in answers)


@pytest.mark.parametrize("prompt", ["", "aa:400"], ids=["without parts", "with sound parts"])
@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_a_prompt_that_crashes_engines_by_its_own_text_is_sent_no_more(
    path: str, prompt: str
) -> None:
    # Guards against counting only the shared parts of prompts.
    headers = {"x_goldcrestridge_token_count": "900,40"}
    if prompt:
        headers |= {"x_goldcrestridge_prompt_prefix": f"{prompt},own:5"}
    pool = CrashingPool(is_poison, MAX_CRASHES)
    upstreams = [pool.upstream() for _ in range(4)]
    async with running_gateway(*upstreams, engine=ENGINE) as running:
        pool.running = running
        for number in range(4):
            await running.call(path, body=b"first%d" % number, **headers)
        await send_poison(pool, path, rounds=20, **headers)
        answers = [await running.call(path, body=b"s%d" % number) for number in range(6)]
    assert pool.late_arrivals <= ALLOWED_AFTER
    assert all(answer.status == 200 for answer in answers)


async def test_a_connection_that_was_lost_just_before_does_not_hide_a_crash() -> None:
    # Guards against a crash that is not counted, since the upstream was found listening when
    # another request had lost its connection there a moment before.
    pool = CrashingPool(is_poison, MAX_CRASHES)
    upstreams = [pool.upstream() for _ in range(4)]
    async with running_gateway(*upstreams) as running:
        pool.running = running
        async with anyio.create_task_group() as tasks:
            for _ in range(16):
                tasks.start_soon(lambda: running.call("/charge/x", body=CLOSE))
        assert all(upstream.exchanges for upstream in upstreams)
        await running.call("/read/x", body=POISON)
        await anyio.sleep(2 * RESTART_MS / MS_PER_SECOND)
    found = [line for line in running.log_lines if line["event"] == "upstream_crashed"]
    assert len(found) == pool.crashes == 2


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x", "/read/x"])
async def test_a_request_that_is_blocked_between_the_head_and_the_first_event_is_answered(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a cancelled attempt that counts as answered, so that the caller gets nothing.
    forwarding, forward = anyio.Event(), Relay._forward

    async def begin(exchange: UpstreamExchange) -> None:
        await exchange.stream(end=False)
        await anyio.sleep_forever()

    async def observe(relay: Relay, response: UpstreamResponse) -> UpstreamResponse | FailedAttempt:
        forwarding.set()
        return await forward(relay, response)

    monkeypatch.setattr(Relay, "_forward", observe)

    async with running_gateway(scripted("a", begin)) as running:
        answers: list[int] = []

        async def call() -> None:
            answers.append((await running.call(path)).status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            with anyio.fail_after(10):
                await forwarding.wait()
            blocked = Refusal(503, "request_blocked", "The request has not run.")
            monkeypatch.setattr(RequestCrashes, "refusal", lambda _crashes: blocked)
            running.gateway.cancel_blocked()
        assert answers == [502]
