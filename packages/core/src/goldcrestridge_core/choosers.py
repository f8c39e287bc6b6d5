"""Interface between a shard owner and its choice of upstreams."""

from __future__ import annotations

from typing import Protocol

from goldcrestridge_core import types
from goldcrestridge_core.config import Upstream


class Chooser(Protocol):
    """Choose upstreams; see section 11 of the design document."""

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Set the upstreams to choose from."""

    def free_slots(self, now_ms: float) -> int:
        """Return the number of slots that can be granted now."""
        ...

    def choose(
        self, request: types.SlotRequest, expected_tokens: int, now_ms: float
    ) -> types.UpstreamId | None:
        """Return the upstream for a request, or None if no usable one has a slot."""
        ...

    def record_grant(
        self,
        grant: types.HeldGrant,
        prefix: tuple[int, ...],
        expected_tokens: int,
        now_ms: float,
    ) -> None:
        """Record a grant."""

    def record_progress(self, grant: types.HeldGrant, now_ms: float) -> None:
        """Record the output tokens of a grant from a grant report."""

    def record_end(self, release: types.SlotRelease, now_ms: float) -> None:
        """Record the end of a grant."""

    def apply_load_report(self, report: types.LoadReport, now_ms: float) -> None:
        """Apply a load report of an upstream."""

    def apply_cache_events(self, events: types.CacheEvents, now_ms: float) -> None:
        """Apply cache events of an engine."""

    def mark_leaving(self, upstream: types.UpstreamId, now_ms: float) -> None:
        """Stop choosing an upstream that is leaving."""

    def serves_version(self, version: str) -> bool:
        """Return whether an upstream that is not leaving may run this version."""
        ...

    def limits(self) -> tuple[tuple[types.UpstreamId, float], ...]:
        """Return the requests a second of the upstreams that name a limit."""
        ...

    def adopt_limit(self, upstream: types.UpstreamId, per_second: float, now_ms: float) -> None:
        """Apply a limit known to an entry node until the upstream sends its first report."""

    def rest(self, upstream: types.UpstreamId, until_ms: float, now_ms: float) -> None:
        """Stop choosing an upstream until the rest that it asked for ends."""

    def rest_left_ms(self, now_ms: float) -> float | None:
        """Return the time until the first rest ends if all upstreams that stay rest, else None."""
        ...

    def is_resting(self, upstream: types.UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream wants no requests now."""
        ...
