"""Upstreams that crash as they begin to answer some requests, and come back after a while."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import anyio
from attrs import define, field
from tests.node.gateway_helpers import (
    RunningGateway,
    ScriptedUpstream,
    UpstreamExchange,
    event,
    scripted,
)

from goldcrestridge_core.clock import MS_PER_SECOND

RESTART_MS = 250.0
# Body of a request whose connection an upstream closes without an answer.
CLOSE = b"close"


@define
class CrashingPool:
    """Upstreams that crash when they begin to answer a request of which ``crashing`` is true.

    ``late_arrivals`` counts those that arrive after ``max_crashes``. A crash ends all connections
    and the listener. ``with_head`` sends the head of the answer first. Each upstream is back after
    RESTART_MS as a new instance at another port.
    """

    crashing: Callable[[UpstreamExchange], bool]
    max_crashes: int
    with_head: bool = True
    work_ms: float = 5.0
    running: RunningGateway | None = None
    crashes: int = 0
    late_arrivals: int = 0
    sound_begun: set[str] = field(factory=set)
    _names: Iterator[int] = field(factory=itertools.count)
    _upstreams: dict[str, ScriptedUpstream] = field(factory=dict)
    _servers: dict[str, Any] = field(factory=dict)
    _writers: dict[str, set[Any]] = field(factory=dict)

    def upstream(self) -> ScriptedUpstream:
        """Return the next upstream of the pool."""
        name = f"i{next(self._names)}"
        upstream = scripted(name, lambda exchange: self._serve(name, exchange))
        self._upstreams[name] = upstream
        return upstream

    @property
    def names(self) -> list[str]:
        """Return the upstreams that are up."""
        return list(self._upstreams)

    async def _serve(self, name: str, exchange: UpstreamExchange) -> None:
        self._writers.setdefault(name, set()).add(exchange.writer)
        if exchange.body == CLOSE:
            exchange.close()
            return
        if self.crashing(exchange):
            self.late_arrivals += self.crashes >= self.max_crashes
            await anyio.sleep(self.work_ms / MS_PER_SECOND)
            if self.with_head:
                await exchange.write(
                    exchange.head(
                        200, content_type="text/event-stream", transfer_encoding="chunked"
                    )
                )
            self.crash(name)
            return
        await anyio.sleep(self.work_ms / MS_PER_SECOND)
        self.sound_begun.add(exchange.headers["x-goldcrestridge-request-id"])
        if exchange.target.startswith(("/stream", "/resume")):
            await exchange.stream(*[event(number) for number in range(1, 5)])
        else:
            await exchange.respond(200, b"sound")

    def crash(self, name: str) -> None:
        """End an upstream."""
        if self._upstreams.pop(name, None) is None:
            return
        assert self.running is not None
        self.crashes += 1
        server = self.running.servers[name]
        server.close()
        for writer in self._writers.pop(name, ()):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            RESTART_MS / MS_PER_SECOND, lambda: asyncio.ensure_future(self._restart())
        )

    async def _restart(self) -> None:
        assert self.running is not None
        upstream = self.upstream()
        await self.running.start_upstream(upstream)
        self.running.list_upstreams(list(self._upstreams.values()))
