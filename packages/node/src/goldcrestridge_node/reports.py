"""Polling of load reports and cache events from the upstreams in the shards of this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import anyio
import httpcore
import msgspec
from attrs import define, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.decoding import MALFORMED, Name, Natural
from goldcrestridge_core.types import (
    LOAD_REPORT,
    CacheEvents,
    Count,
    LoadReport,
    UpstreamId,
    UpstreamResting,
)
from goldcrestridge_node.headers import LEAVING_HEADER, header_values, rest_ms
from goldcrestridge_node.polling import Reply, get

POLL_INTERVAL_MS = 500.0
POLL_TIMEOUT_MS = 2_000.0


class _Load(msgspec.Struct):
    running: Natural
    waiting: Natural
    slots: Natural
    age_ms: float = 0.0
    leaving: bool = False
    limit_per_second: float | None = None
    version: Name = ""


class _CacheEvent(msgspec.Struct):
    sequence: Natural
    kind: str
    block: Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class _CachePage(msgspec.Struct):
    events: list[_CacheEvent]


@define
class ReportPoller:
    """Poll each upstream in its own task, so that an unresponsive one does not delay the others.

    ``upstreams`` returns the upstreams to poll now, without those that want no requests.
    ``is_engine`` tells whether one publishes cache events, and ``deliver`` is called with each
    report.
    """

    upstreams: Callable[[], dict[UpstreamId, Upstream]]
    is_engine: Callable[[UpstreamId], bool]
    deliver: Callable[[LoadReport | CacheEvents | UpstreamResting], None]
    count: Callable[[Count], None]
    _poll_scopes: dict[UpstreamId, anyio.CancelScope] = field(factory=dict)

    async def run(self) -> None:
        """Poll until cancelled; ownership and configuration change the set of upstreams."""
        async with anyio.create_task_group() as tasks, httpcore.AsyncConnectionPool() as pool:
            while True:
                current = self.upstreams()
                for name in self._poll_scopes.keys() - current.keys():
                    self._poll_scopes.pop(name).cancel()
                for name in current.keys() - self._poll_scopes.keys():
                    self._poll_scopes[name] = anyio.CancelScope()
                    tasks.start_soon(self._poll, pool, name, self._poll_scopes[name])
                await anyio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    async def _poll(
        self, pool: httpcore.AsyncConnectionPool, name: UpstreamId, scope: anyio.CancelScope
    ) -> None:
        sequence = 0
        with scope:
            while True:
                upstream = self.upstreams().get(name)
                if upstream is not None:
                    try:
                        sequence = await self._fetch(pool, upstream, sequence)
                    except (
                        httpcore.NetworkError,
                        httpcore.TimeoutException,
                        httpcore.ProtocolError,
                        *MALFORMED,
                    ):
                        self.count(Count("upstream_reports_failed", 1, (("upstream", name),)))
                await anyio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    async def _fetch(
        self, pool: httpcore.AsyncConnectionPool, upstream: Upstream, sequence: int
    ) -> int:
        """Deliver the load and the cache events after ``sequence``; return the last sequence."""
        response = await _get(pool, upstream, "/load")
        if self._asks_for_rest(upstream, response):
            return sequence
        load = msgspec.json.decode(response.content, type=_Load)
        leaving = header_values(response.headers, LEAVING_HEADER) == [b"1"]
        self.deliver(
            LoadReport(
                upstream.name,
                load.age_ms,
                load.running,
                load.waiting,
                load.slots,
                load.leaving or leaving,
                load.limit_per_second,
                load.version,
            )
        )
        if not self.is_engine(upstream.name):
            return sequence
        response = await _get(pool, upstream, f"/cache_events?after={sequence}")
        if self._asks_for_rest(upstream, response):
            return sequence
        page = msgspec.json.decode(response.content, type=_CachePage)
        if not page.events:
            return sequence
        added = tuple(event.block for event in page.events if event.kind == "added")
        evicted = tuple(event.block for event in page.events if event.kind == "evicted")
        first = page.events[0].sequence
        self.deliver(CacheEvents(upstream.name, first, added, evicted))
        return page.events[-1].sequence

    def _asks_for_rest(self, upstream: Upstream, response: Reply) -> bool:
        """Deliver the rest that a reply asks for, if it does."""
        rest = rest_ms(response.status, response.headers)
        if rest:
            self.deliver(UpstreamResting(upstream.name, rest, LOAD_REPORT))
        return rest > 0.0


async def _get(pool: httpcore.AsyncConnectionPool, upstream: Upstream, path: str) -> Reply:
    return await get(pool, f"http://{upstream.address}{path}", POLL_TIMEOUT_MS)
