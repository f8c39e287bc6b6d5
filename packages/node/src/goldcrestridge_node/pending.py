"""Questions to the core that are answered by a later effect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
from attrs import define, field


@define(eq=False)
class PendingRequests:
    """Wake who waits for an answer; each question has a name of its own."""

    post: Callable[[Any], None]
    _waiting: dict[str, tuple[anyio.Event, list[Any]]] = field(factory=dict)

    async def ask(self, name: str, event: Any) -> Any:
        """Post an event and wait for the answer to it; who is cancelled waits no more."""
        done = anyio.Event()
        results: list[Any] = []
        self._waiting[name] = (done, results)
        try:
            self.post(event)
            await done.wait()
        finally:
            self._waiting.pop(name, None)
        return results[0]

    def resolve(self, name: str, result: Any) -> None:
        """Take an answer; one that nobody waits for is dropped."""
        waiting = self._waiting.pop(name, None)
        if waiting is not None:
            done, results = waiting
            results.append(result)
            done.set()
