"""Monotonic and wall clocks in milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field, frozen

MS_PER_SECOND = 1000.0


def boot_time_ms() -> float:
    """Return a monotonic time in milliseconds that also advances while the VM is suspended.

    Leases depend on it: with a clock that stops during a suspension, a resumed VM would treat a
    lease as valid that another node has acquired in the meantime.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


@frozen
class Clock:
    """Source of monotonic and wall time, both in milliseconds.

    The roles of the core hold no clock; they take the monotonic ``now_ms`` as an argument.
    """

    now_ms: Callable[[], float] = boot_time_ms
    wall_ms: Callable[[], float] = field(default=lambda: time.time() * MS_PER_SECOND)


@define
class ManualClock:
    """Clock for tests and measurements that advances only on request."""

    time_ms: float = 0.0

    def advance(self, delta_ms: float) -> float:
        """Advance the time by ``delta_ms`` and return the new time in milliseconds."""
        self.time_ms += delta_ms
        return self.time_ms

    def clock(self) -> Clock:
        """Return a clock that reads this time, both as monotonic and as wall time."""
        return Clock(now_ms=lambda: self.time_ms, wall_ms=lambda: self.time_ms)
