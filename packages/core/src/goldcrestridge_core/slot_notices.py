"""What the upstreams of pools said to this entry node: that they leave, or want no requests.

The shard owner learns it at once and grants no more slots there. A grant that crossed the notice is
not used.
"""

from __future__ import annotations

from attrs import define, field

from goldcrestridge_core.choice import LEAVING_HOLD_MS
from goldcrestridge_core.types import UpstreamId, UpstreamLeaving, UpstreamResting
from goldcrestridge_core.upstream_notices import MAX_REST_MS

Notice = UpstreamLeaving | UpstreamResting


@define
class SlotNotices:
    """Notices that this node heard itself; times are monotonic milliseconds.

    What an upstream said of its leaving holds for as long as at the shard owner, which learns of a
    restart of the upstream from its load reports.
    """

    node: str
    _left_ms: dict[UpstreamId, float] = field(factory=dict)
    _rest_until_ms: dict[UpstreamId, float] = field(factory=dict)

    def hear(
        self, upstream: UpstreamId, leaving: bool, rest_ms: float, now_ms: float
    ) -> list[Notice]:
        """Record an answer; return what the shard owner must know."""
        notices: list[Notice] = []
        if leaving:
            if now_ms - self._left_ms.get(upstream, -LEAVING_HOLD_MS) >= LEAVING_HOLD_MS:
                notices.append(UpstreamLeaving(upstream, self.node))
            self._left_ms[upstream] = now_ms
        until_ms = now_ms + min(rest_ms, MAX_REST_MS)
        if until_ms > max(now_ms, self._rest_until_ms.get(upstream, now_ms)):
            self._rest_until_ms[upstream] = until_ms
            notices.append(UpstreamResting(upstream, until_ms - now_ms, self.node))
        return notices

    def is_withheld(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream must not get a request, whatever was granted before."""
        left_ms = self._left_ms.get(upstream)
        leaves = left_ms is not None and now_ms - left_ms < LEAVING_HOLD_MS
        return leaves or self._rest_until_ms.get(upstream, now_ms) > now_ms

    def in_force(self, now_ms: float) -> list[Notice]:
        """Return the notices that hold, for the next owner of a shard."""
        leaving = [
            UpstreamLeaving(name, self.node)
            for name, left_ms in self._left_ms.items()
            if now_ms - left_ms < LEAVING_HOLD_MS
        ]
        resting = [
            UpstreamResting(name, until_ms - now_ms, self.node)
            for name, until_ms in self._rest_until_ms.items()
            if until_ms > now_ms
        ]
        return [*leaving, *resting]
