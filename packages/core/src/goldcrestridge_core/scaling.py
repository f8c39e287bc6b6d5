"""Number of upstreams of a service by data centre: the policy, and the orders to the platform.

Traffic patterns that the policy handles:
- Bursts that are faster than the start of an upstream: capacity has to be there before them.
  Spot upstreams cost a fraction of the others, so as many as the bounds allow serve bursts.
- Reclaims: all spot upstreams of a data centre end at once, and for some time there are no others.
  Some ordinary ones in each data centre and the spot ones of the others carry the load meanwhile.
  If these are too few for longer than one takes to start, ordinary ones are ordered.
- A service without spot upstreams keeps the number that its operators started with.
- No upstream is removed before those that replace it are listed as ready.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.scale_types import ScaleBounds

# Share of the largest number of upstreams that has to be ready at any time, of either kind.
REQUIRED_SHARE = 0.5
# Share of the largest number of upstreams in each data centre that can't be reclaimed.
ORDINARY_SHARE = 0.15
# The list of upstreams shows an order after the start of an upstream and its own lag.
LIST_LAG_MS = 4_000.0
# An order that the platform refuses, since there are no upstreams now, is repeated after this time.
REFUSED_RETRY_MS = 2_000.0
# An order without a clear answer is repeated after this time.
FAILED_RETRY_MS = 500.0


@frozen
class OrderKey:
    """What an order is for; each has its own number of upstreams."""

    service: str
    data_centre: str
    spot: bool


@frozen
class ScaleOrder:
    """An order for a number of upstreams."""

    key: OrderKey
    desired: int


def required_upstreams(bounds: ScaleBounds) -> int:
    """Return how many upstreams of a service have to be ready in all data centres together."""
    return math.ceil(REQUIRED_SHARE * bounds.max_upstreams * len(bounds.prices))


@define
class _Ordered:
    desired: int
    retry_ms: float  # When to send it again unless the list shows it.


def plan(
    bounds: ScaleBounds,
    instances: Iterable[UpstreamInstance],
    adds_ordinary: bool = True,
    ordinary_share: float = ORDINARY_SHARE,
) -> dict[OrderKey, int]:
    """Return the number of upstreams to have of each kind in each data centre.

    Without ``adds_ordinary`` no ordinary one is added beyond ``ordinary_share`` of the bound.
    """
    if not bounds.has_spot:
        return {}
    ready: Counter[tuple[str, bool]] = Counter(
        (item.data_centre, item.spot)
        for item in instances
        if item.service == bounds.service and not item.leaving
    )
    centres = [name for name, _ in sorted(bounds.prices, key=lambda item: (item[1], item[0]))]
    missing = max(0, required_upstreams(bounds) - sum(ready[name, True] for name in centres))
    floor = math.ceil(ordinary_share * bounds.max_upstreams)
    ordinary: dict[str, int] = {}
    for centre in centres:
        ordinary[centre] = max(floor, min(missing, ready[centre, False]))
        missing = max(0, missing - ordinary[centre])
    for centre in centres:
        room = bounds.max_upstreams - ordinary[centre] - ready[centre, True]
        more = max(0, min(missing, room)) if adds_ordinary else 0
        ordinary[centre] += more
        missing -= more
    wanted: dict[OrderKey, int] = {}
    for centre, count in ordinary.items():
        wanted[OrderKey(bounds.service, centre, False)] = count
        spot = bounds.max_upstreams - max(count, ready[centre, False])
        wanted[OrderKey(bounds.service, centre, True)] = max(0, spot)
    return wanted


@define
class ScaleOrders:
    """Orders of this holder, and when to repeat them until the list shows them."""

    policy: Callable[..., dict[OrderKey, int]] = plan
    _ordered: dict[OrderKey, _Ordered] = field(factory=dict)
    _short_since_ms: dict[str, float] = field(factory=dict)  # By service.

    def forget(self) -> None:
        """Forget all orders, since another node may have ordered meanwhile."""
        self._ordered.clear()
        self._short_since_ms.clear()

    def due(
        self, bounds: ScaleBounds, instances: Iterable[UpstreamInstance], now_ms: float
    ) -> list[ScaleOrder]:
        """Return the orders to send now."""
        listed = tuple(instances)
        ready = Counter(
            OrderKey(item.service, item.data_centre, item.spot)
            for item in listed
            if not item.leaving
        )
        short_ms = self._short_for_ms(bounds, ready, now_ms)
        adds_ordinary = short_ms is not None and short_ms >= bounds.boot_ms
        wanted = self.policy(bounds, listed, adds_ordinary)
        if short_ms is not None:
            # The list may not show all that run, so it is no reason to have fewer.
            wanted = {
                key: desired
                for key, desired in wanted.items()
                if key.spot or (adds_ordinary and desired > ready[key])
            }
        return [
            ScaleOrder(key, desired)
            for key, desired in wanted.items()
            if self._is_due(key, desired, ready[key], now_ms)
        ]

    def _short_for_ms(
        self, bounds: ScaleBounds, ready: Counter[OrderKey], now_ms: float
    ) -> float | None:
        """Return for how long too few upstreams have been listed, or None if there are enough."""
        count = sum(number for key, number in ready.items() if key.service == bounds.service)
        if count >= required_upstreams(bounds):
            self._short_since_ms.pop(bounds.service, None)
            return None
        return now_ms - self._short_since_ms.setdefault(bounds.service, now_ms)

    def _is_due(self, key: OrderKey, desired: int, ready: int, now_ms: float) -> bool:
        known = self._ordered.get(key)
        if known is None or known.desired != desired:
            return True
        return ready != desired and now_ms >= known.retry_ms

    def sent(self, order: ScaleOrder, bounds: ScaleBounds, now_ms: float) -> None:
        """Record an order that is sent now."""
        retry_ms = now_ms + bounds.boot_ms + LIST_LAG_MS
        self._ordered[order.key] = _Ordered(order.desired, retry_ms)

    def refused(self, order: ScaleOrder, now_ms: float) -> None:
        """Record that the platform has no upstreams for an order now."""
        self._ordered[order.key] = _Ordered(order.desired, now_ms + REFUSED_RETRY_MS)

    def failed(self, order: ScaleOrder, now_ms: float) -> None:
        """Record that an order got no clear answer."""
        self._ordered[order.key] = _Ordered(order.desired, now_ms + FAILED_RETRY_MS)
