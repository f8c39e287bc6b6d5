"""Share the results of a call between the tasks that ask for it at the same time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio
from attrs import define, field

T = TypeVar("T")


@define(eq=False)
class SharedCall(Generic[T]):
    """Run ``call`` at most once at a time.

    Callers that come while it runs share the next run, since a run that began before them may
    return an older state. The first of them makes that run; if it is cancelled, another one does.
    """

    call: Callable[[], Awaitable[T]]
    _lock: anyio.Lock = field(factory=anyio.Lock)
    _next: list[T] = field(factory=list)  # Holds the result of the next run once there is one.

    async def get(self) -> T:
        """Return the result of a run that begins after this call."""
        results = self._next
        async with self._lock:
            if not results:
                if self._next is results:
                    self._next = []  # Callers from now on come after the beginning of this run.
                results.append(await self.call())
        return results[0]
