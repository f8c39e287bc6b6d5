"""Clock type of the project, in milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field, frozen

MS_PER_SECOND = 1000.0


def boot_time_ms() -> float:
    """Return a monotonic time in milliseconds that also counts while the VM is suspended.

    Leases rest on it: with a clock that stops during a suspension, a VM that wakes up would take
    a lease for valid that others have taken over meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


@frozen
class Clock:
    """Read monotonic and wall time, both in milliseconds.

    The core never holds a clock: its roles take ``now_ms`` (monotonic) as an argument.
    """

    now_ms: Callable[[], float] = boot_time_ms
    wall_ms: Callable[[], float] = field(default=lambda: time.time() * MS_PER_SECOND)


@define
class ManualClock:
    """Hold a time in milliseconds that tests and measurements advance by hand."""

    time_ms: float = 0.0

    def advance(self, delta_ms: float) -> float:
        """Move the time forward by ``delta_ms`` and return the new time in milliseconds."""
        self.time_ms += delta_ms
        return self.time_ms

    def clock(self) -> Clock:
        """Return a clock that reads this time, both as monotonic and as wall time."""
        return Clock(now_ms=lambda: self.time_ms, wall_ms=lambda: self.time_ms)
