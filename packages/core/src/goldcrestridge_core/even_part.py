"""One node's part of an amount that all entry nodes share evenly, as a lease."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

# A node uses its part for this long after the leader last answered while it listed the node. It
# covers an election and a polling interval of a large fleet.
LEASE_MS = 5_000.0
# What was sent on a part may arrive this much after the part has ended.
ARRIVAL_MARGIN_MS = 500.0


@define
class EvenPart:
    """Divide an amount among entry nodes so that no two hold the same part within a window.

    A node has no part while the leader does not list it or its lease has lapsed. After a gap or a
    start it waits until every other node counts it or has lost its own lease, and what those have
    used, and what its own former process has used, has left the window. Its part grows only once a
    node that is no longer listed can't use the difference.

    Times are monotonic milliseconds of a clock that goes on while the machine is suspended.
    """

    window_ms: float
    _count: int = 0
    _listed: bool = False
    _former: deque[tuple[int, float]] = field(factory=deque)  # Counts, with the time of their end.
    _confirmed_ms: float = -math.inf
    _member_since_ms: float = math.inf

    @property
    def hold_ms(self) -> float:
        """Return the time after which a change of the list has reached all that was used."""
        return LEASE_MS + self.window_ms + ARRIVAL_MARGIN_MS

    def set_entries(self, count: int, listed: bool, now_ms: float) -> None:
        """Apply the list of entry nodes; ``listed`` tells whether this node is in it."""
        if count != self._count:
            self._former.append((self._count, now_ms))
        self._count, self._listed = count, listed

    def confirm(self, asked_ms: float, now_ms: float) -> None:
        """Record that the leader answered a request of this node that was sent at ``asked_ms``."""
        if not self._listed:
            return
        if asked_ms - self._confirmed_ms > LEASE_MS:
            self._member_since_ms = now_ms
        self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    def share(self, now_ms: float) -> float:
        """Return this node's part as a share of the whole amount, 0 if it has none."""
        if now_ms - self._confirmed_ms > LEASE_MS or now_ms - self._member_since_ms < self.hold_ms:
            return 0.0
        while self._former and now_ms - self._former[0][1] > self.hold_ms:
            self._former.popleft()
        return 1.0 / max(self._count, 1, *(count for count, _ in self._former))
