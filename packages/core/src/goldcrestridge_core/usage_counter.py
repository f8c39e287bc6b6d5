"""Count of the requests that upstreams began for an entry node, by window and workspace."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, field

from goldcrestridge_core.usage_types import (
    UsageReply,
    UsageReport,
    WindowUsage,
    WorkspaceUsage,
)

# Bounds the state while no leader closes windows.
MAX_OPEN_WINDOWS = 12


@define
class UsageCounter:
    """Count the requests of this entry node that upstreams began.

    ``wall_ms`` reads the wall clock, which is used until a leader has told the true time.
    """

    life: str
    window_ms: float
    wall_ms: Callable[[], float]
    _offset_ms: float | None = None  # True time minus monotonic time.
    _closed: int = 0
    _windows: dict[int, Counter[str]] = field(factory=dict)

    def record(self, workspace: str, began_ms: float, now_ms: float) -> None:
        """Count a request that an upstream began at a monotonic time."""
        offset_ms = self.wall_ms() - now_ms if self._offset_ms is None else self._offset_ms
        window = int((began_ms + offset_ms) // self.window_ms)
        self._windows.setdefault(max(window, self._closed + 1), Counter())[workspace] += 1
        while len(self._windows) > MAX_OPEN_WINDOWS:
            del self._windows[min(self._windows)]

    def report(self) -> UsageReport:
        """Return the counts of the open windows."""
        windows = tuple(
            WindowUsage(
                number, tuple(WorkspaceUsage(name, count) for name, count in sorted(counts.items()))
            )
            for number, counts in sorted(self._windows.items())
        )
        return UsageReport(self.life, self.wall_ms(), windows)

    def apply(self, reply: UsageReply, asked_ms: float, now_ms: float) -> None:
        """Take over the leader's time and drop the windows that it has closed."""
        if reply.true_ms:
            self._offset_ms = reply.true_ms - (asked_ms + now_ms) / 2
        self._closed = max(self._closed, reply.closed)
        self._windows = {
            number: counts for number, counts in self._windows.items() if number > self._closed
        }
