"""Tests of prompts with a part under which upstreams crash."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
import pytest
from tests.node.crashing_pool import RESTART_MS, CrashingPool
from tests.node.gateway_helpers import UpstreamExchange, running_gateway

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio

# Of requests with a part under which five upstreams have crashed, this many may still reach one.
MAX_CRASHES = 5
ALLOWED_AFTER = 3
ENGINE = EngineLimits(24, 100_000)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def holds_part(crashing: str) -> Callable[[UpstreamExchange], bool]:
    """Return a function that tells whether a prompt holds a part before its own one."""
    return lambda exchange: (
        crashing in [part.split(":")[0] for part in exchange.headers["prompt"].split(",")][:-1]
    )


async def send_all(
    pool: CrashingPool, path: str, sound: list[str], poison: str, rounds: int
) -> tuple[float, float]:
    """Send sound and crashing prompts in turn; return the shares of sound ones that begin.

    The first share is that of the requests before the first crashing one, the second that of the
    requests after the last crash but for the time of a restart.
    """
    running = pool.running
    assert running is not None
    numbers = itertools.count()

    async def call(prompt: str, request_id: str) -> None:
        await running.call(
            path,
            prompt=prompt,
            x_goldcrestridge_prompt_prefix=prompt,
            x_goldcrestridge_token_count="900,40",
            x_goldcrestridge_request_id=request_id,
        )

    async def share_of(count: int) -> float:
        ids = [f"sound{next(numbers)}" for _ in range(count)]
        async with anyio.create_task_group() as tasks:
            for number, request_id in enumerate(ids):
                prompt = f"{sound[number % len(sound)]},{request_id}:5"
                tasks.start_soon(call, prompt, request_id)
        return len(pool.sound_begun & set(ids)) / count

    before = await share_of(20)
    async with anyio.create_task_group() as tasks:
        for number in range(rounds):
            tasks.start_soon(call, f"{poison},own{number}:5", f"bad{number}")
            tasks.start_soon(share_of, 2)
            await anyio.sleep(0.06)
    await anyio.sleep(3 * RESTART_MS / MS_PER_SECOND)
    return before, await share_of(20)


LONG_ID = "f" * 3_000
MANY = ",".join(f"{number:04x}:7" for number in range(200))


@pytest.mark.parametrize(
    ("sound", "poison", "crashing"),
    [
        (["aa:400"], "aa:400,bad:20", "bad"),
        (["aa:400"], "bad:20,aa:400", "bad"),
        (["aa:400,cc:9", "aa:400,dd:9"], "aa:400,bad:20,cc:9", "bad"),
        (["aa:400", "aa:400,aa:400"], "aa:400,bad:20,bad:20", "bad"),
        (["aa"], "aa,bad", "bad"),
        ([f"aa:400,{LONG_ID}a:3"], f"aa:400,{LONG_ID}b:3", f"{LONG_ID}b"),
        ([MANY], f"{MANY},bad:3", "bad"),
    ],
    ids=["after", "first", "middle", "repeated", "without size", "long ids", "many parts"],
)
@pytest.mark.parametrize("path", ["/stream/x", "/resume/x", "/read/x"])
async def test_a_part_that_crashes_upstreams_is_sent_no_more(
    path: str, sound: list[str], poison: str, crashing: str
) -> None:
    # Guards against requests with one part in their prompts that crash one upstream after the
    # other, and against refusing the sound ones that share all their other parts.
    pool = CrashingPool(holds_part(crashing), MAX_CRASHES)
    upstreams = [pool.upstream() for _ in range(4)]
    async with running_gateway(*upstreams, engine=ENGINE) as running:
        pool.running = running
        before, after = await send_all(pool, path, sound, poison, rounds=20)
    assert pool.crashes <= MAX_CRASHES + ALLOWED_AFTER
    assert pool.late_arrivals <= ALLOWED_AFTER
    assert after >= before / 2


async def test_a_part_that_crashes_upstreams_before_the_head_of_the_answer_is_sent_no_more() -> (
    None
):
    # Guards against counting only crashes that follow the head of an answer.
    pool = CrashingPool(holds_part("bad"), MAX_CRASHES, with_head=False)
    upstreams = [pool.upstream() for _ in range(4)]
    async with running_gateway(*upstreams, engine=ENGINE) as running:
        pool.running = running
        before, after = await send_all(pool, "/resume/x", ["aa:400"], "aa:400,bad:20", rounds=20)
    assert pool.late_arrivals <= ALLOWED_AFTER
    assert after >= before / 2
