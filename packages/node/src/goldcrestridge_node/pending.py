"""Requests to the core that a later effect answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
from attrs import define, field


@define(eq=False)
class PendingRequests:
    """Match results of the core to the tasks that wait for them; each request has a unique name."""

    post: Callable[[Any], None]
    _waiting: dict[str, tuple[anyio.Event, list[Any]]] = field(factory=dict)

    async def ask(self, name: str, event: Any) -> Any:
        """Post an event and wait for its result; a cancelled wait is removed."""
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
        """Pass a result to the waiting task; it is dropped if no task waits for it."""
        waiting = self._waiting.pop(name, None)
        if waiting is not None:
            done, results = waiting
            results.append(result)
            done.set()
