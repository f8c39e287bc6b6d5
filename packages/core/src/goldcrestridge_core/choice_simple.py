"""Least-loaded upstream selection, the baseline for ``choice``."""

from __future__ import annotations

import heapq

from attrs import Factory, define

from goldcrestridge_core import types
from goldcrestridge_core.config import Upstream


@define
class _UpstreamLoad:
    """Slots in use at one upstream; heap entries with another ``version`` are outdated."""

    upstream: Upstream
    order: int
    held: int = 0
    leaving: bool = False
    version: int = 0

    def free(self) -> int:
        return 0 if self.leaving else max(0, self.upstream.slots - self.held)


@define
class LeastLoaded:
    """Choose the upstream with the smallest used share of its slots.

    Outdated heap entries are deleted when they reach the top, so that a choice costs the
    logarithm of the number of upstreams.
    """

    _loads: dict[types.UpstreamId, _UpstreamLoad] = Factory(dict)
    _heap: list[tuple[float, int, int, types.UpstreamId]] = Factory(list)
    _free: int = 0

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Set the upstreams, and keep the load of those that remain."""
        old = self._loads
        self._loads = {}
        for order, upstream in enumerate(upstreams):
            load = old.get(upstream.name, _UpstreamLoad(upstream, order))
            load.upstream = upstream
            load.order = order
            self._loads[upstream.name] = load
        self._free = sum(load.free() for load in self._loads.values())
        self._rebuild()

    def free_slots(self, now_ms: float) -> int:
        """Return the number of free slots at upstreams that are not leaving."""
        return self._free

    def choose(
        self, request: types.SlotRequest, expected_tokens: int, now_ms: float
    ) -> types.UpstreamId | None:
        """Return an upstream with a free slot that the request does not exclude, or None."""
        popped: list[tuple[float, int, int, types.UpstreamId]] = []
        chosen: types.UpstreamId | None = None
        while self._heap and chosen is None:
            entry = heapq.heappop(self._heap)
            load = self._loads.get(entry[3])
            if load is None or load.version != entry[2] or load.free() == 0:
                continue
            popped.append(entry)
            if entry[3] not in request.excluded:
                chosen = entry[3]
        for entry in popped:
            heapq.heappush(self._heap, entry)
        return chosen

    def record_grant(
        self,
        grant: types.HeldGrant,
        prefix: tuple[int, ...],
        expected_tokens: int,
        now_ms: float,
    ) -> None:
        """Record a grant."""
        self._adjust_held(grant.upstream, 1)

    def record_progress(self, grant: types.HeldGrant, now_ms: float) -> None:
        """Ignore progress, since only the number of grants matters."""

    def record_end(self, release: types.SlotRelease, now_ms: float) -> None:
        """Record the end of a grant."""
        self._adjust_held(release.upstream, -1)

    def apply_load_report(self, report: types.LoadReport, now_ms: float) -> None:
        """Apply the leaving flag only, since the load is counted by grants."""
        if report.leaving:
            self.mark_leaving(report.upstream, now_ms)

    def apply_cache_events(self, events: types.CacheEvents, now_ms: float) -> None:
        """Ignore cache events, since prefixes are not used."""

    def mark_leaving(self, upstream: types.UpstreamId, now_ms: float) -> None:
        """Stop choosing an upstream that is leaving."""
        load = self._loads.get(upstream)
        if load is not None:
            self._free -= load.free()
            load.leaving = True

    def rest(self, upstream: types.UpstreamId, until_ms: float, now_ms: float) -> None:
        """Ignore rests."""

    def is_resting(self, upstream: types.UpstreamId, now_ms: float) -> bool:
        """Return False, since the baseline ignores rests."""
        return False

    def rest_left_ms(self, now_ms: float) -> float | None:
        """Return None, since the baseline ignores rests."""
        return None

    def serves_version(self, version: str) -> bool:
        """Return True, since the baseline takes all upstreams for alike."""
        return True

    def limits(self) -> tuple[tuple[types.UpstreamId, float], ...]:
        """Return no limits, since the baseline does not apply them."""
        return ()

    def adopt_limit(self, upstream: types.UpstreamId, per_second: float, now_ms: float) -> None:
        """Ignore limits."""

    def _adjust_held(self, upstream: types.UpstreamId, delta: int) -> None:
        load = self._loads.get(upstream)
        if load is None:
            return
        self._free -= load.free()
        load.held = max(0, load.held + delta)
        self._free += load.free()
        load.version += 1
        if load.free():
            heapq.heappush(self._heap, self._heap_entry(load))
        if len(self._heap) > 4 * len(self._loads) + 16:
            self._rebuild()

    def _heap_entry(self, load: _UpstreamLoad) -> tuple[float, int, int, types.UpstreamId]:
        used = load.held / load.upstream.slots
        return (used, load.order, load.version, load.upstream.name)

    def _rebuild(self) -> None:
        self._heap = [self._heap_entry(load) for load in self._loads.values() if load.free()]
        heapq.heapify(self._heap)
