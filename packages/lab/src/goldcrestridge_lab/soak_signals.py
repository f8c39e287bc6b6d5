"""Faults of the soak in which upstreams say something of themselves: limits and rests."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_servers import Upstream

if TYPE_CHECKING:
    from goldcrestridge_lab.soak import Soak

LIMITS_PER_SECOND = (1.0, 3.0, 8.0)
RESTS_S = (0.6, 1.5, 3.0)


async def name_limit(soak: Soak, rng: random.Random) -> None:
    """Let an upstream name a limit for some seconds."""
    upstream = rng.choice(soak.upstreams)
    if upstream.limit_per_second is None:
        await _name_limit(soak, upstream, rng.choice(LIMITS_PER_SECOND), rng.uniform(2.0, 8.0))


async def limit_after_faults(soak: Soak, until_ms: float, recovered_ms: float) -> None:
    """Let an upstream of each service name a limit while no other fault is active."""
    await asyncio.sleep((until_ms - soak.now_ms()) / MS_PER_SECOND)
    rng = random.Random(f"{soak.seed} limits")
    seconds = (recovered_ms - soak.now_ms()) / MS_PER_SECOND
    async with asyncio.TaskGroup() as tasks:
        for service in sorted({item.service for item in soak.upstreams}):
            free = [
                item
                for item in soak.upstreams
                if item.service == service and item.running and item.limit_per_second is None
            ]
            if free:
                limit = rng.choice(LIMITS_PER_SECOND)
                tasks.create_task(_name_limit(soak, rng.choice(free), limit, seconds))


async def _name_limit(soak: Soak, upstream: Upstream, per_second: float, seconds: float) -> None:
    """Let an upstream name a limit, and record it until the instance ends."""
    instance, begin_ms = upstream.instance, soak.now_ms()
    upstream.limit_per_second = per_second
    await asyncio.sleep(seconds)
    upstream.limit_per_second = None
    if upstream.instance == instance:
        soak.limits.setdefault(instance, []).append((begin_ms, soak.now_ms(), per_second))


async def ask_for_rest(soak: Soak, rng: random.Random) -> None:
    """Let an upstream reject all requests for a while, each with the time to stay away."""
    upstream = rng.choice(soak.upstreams)
    upstream.rest_s = rng.choice(RESTS_S)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    upstream.rest_s = 0.0
