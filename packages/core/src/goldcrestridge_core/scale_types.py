"""Bounds within which the router orders upstreams of a service."""

from __future__ import annotations

from attrs import frozen


@frozen
class ScaleBounds:
    """Bounds and prices of a service's upstreams in each data centre.

    ``spot_price`` is the share of the price that a spot upstream costs, or 0 if there are none.
    """

    service: str
    min_upstreams: int
    max_upstreams: int
    boot_ms: float
    spot_price: float
    prices: tuple[tuple[str, float], ...]  # By data centre.

    @property
    def has_spot(self) -> bool:
        """Return whether spot upstreams can be had at a lower price."""
        return 0.0 < self.spot_price < 1.0
