"""Prompts and requests of the fault soak: some crash the upstream that answers them."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from goldcrestridge_lab.soak import Soak
    from goldcrestridge_lab.soak_servers import Upstream

CRASHING_PREFIX = "bad"
# Last segment of the path of a request that crashes upstreams by itself, with this body.
CRASHING_REQUEST = "poison"
CRASHING_BODY = b"poison"
CRASHING_KIND = "read"
CRASHING_SHARE = 0.05
SOUND_PARTS = 4
CRASHING_MS = 6_000.0
PAUSE_MS = 3_000.0
DOWN_S = (0.5, 2.0)
# The last part that crashes upstreams follows the other faults after this time.
QUIET_MS = 1_000.0


@frozen
class PromptCrash:
    """An upstream crashed under a prompt with a part, or under a request with that name."""

    part: str
    at_ms: float


@define
class Prompts:
    """Make the prompts of callers; while ``crashing`` is set, some of them have that part.

    While ``crashing_request`` is set, some requests are the one with that name. ``crashes`` holds
    the crashes of upstreams under both.
    """

    crashing: str = ""
    crashing_request: str = ""
    crashes: list[PromptCrash] = field(factory=list)

    def make(self, kind: str, request_id: str, rng: random.Random) -> str:
        """Return the parts of a prompt with their sizes, the last one of this request alone."""
        parts = [kind, f"subject{rng.randrange(SOUND_PARTS)}"]
        if self.crashing and rng.random() < CRASHING_SHARE:
            parts.insert(rng.randrange(3), self.crashing)
        return ",".join(f"{part}:10" for part in (*parts, request_id))

    def crashing_request_of(self, kind: str, rng: random.Random) -> str:
        """Return the name of the request that crashes upstreams, if this one is to be it."""
        if kind != CRASHING_KIND or not self.crashing_request or rng.random() >= CRASHING_SHARE:
            return ""
        return self.crashing_request


def crashing_name(target: str, prompt: str) -> str:
    """Return what of a request crashes upstreams: its name or a part of its prompt, or nothing."""
    name = target.partition("?")[0].rpartition("/")[2]
    return name if name.startswith(CRASHING_REQUEST) else crashing_part(prompt)


def crashing_part(prompt: str) -> str:
    """Return the part of a prompt that crashes upstreams, or an empty text."""
    parts = [item.partition(":")[0] for item in prompt.split(",")[:-1]]
    return next((part for part in parts if part.startswith(CRASHING_PREFIX)), "")


async def send_crashing_prompts(soak: Soak, until_ms: float, end_ms: float) -> None:
    """Let one part and request after the other crash upstreams.

    The last ones do so while no other fault is active.
    """
    for number in itertools.count():
        await asyncio.sleep(PAUSE_MS / MS_PER_SECOND)
        if soak.now_ms() + CRASHING_MS > until_ms:
            break
        soak.prompts.crashing = f"{CRASHING_PREFIX}{number}"
        soak.prompts.crashing_request = f"{CRASHING_REQUEST}{number}"
        await asyncio.sleep(CRASHING_MS / MS_PER_SECOND)
        soak.prompts.crashing = soak.prompts.crashing_request = ""
    await asyncio.sleep(max(0.0, until_ms + QUIET_MS - soak.now_ms()) / MS_PER_SECOND)
    soak.prompts.crashing = f"{CRASHING_PREFIX}last"
    soak.prompts.crashing_request = f"{CRASHING_REQUEST}last"
    await asyncio.sleep(max(0.0, end_ms - soak.now_ms()) / MS_PER_SECOND)


async def crash_by_prompt(soak: Soak, upstream: Upstream, part: str) -> None:
    """Crash an upstream with its address, and start it again as a new instance."""
    proxy = soak.proxy_of(upstream)
    crashed, begin_ms = upstream.instance, soak.now_ms()
    soak.prompts.crashes.append(PromptCrash(part, begin_ms))
    upstream.crash()
    proxy.stop()
    rng = random.Random(f"{soak.seed} {crashed}")
    await asyncio.sleep(rng.uniform(*DOWN_S))
    soak.fault_spans.setdefault(crashed, []).append((begin_ms, soak.now_ms()))
    await proxy.start()
    if upstream.leaving_since_ms is None and not upstream.running:
        upstream.instance = soak.new_instance_id()
        await upstream.start()
