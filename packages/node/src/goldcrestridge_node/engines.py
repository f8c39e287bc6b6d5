"""Questions for admissions to model engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.engine_types import (
    EngineDenied,
    EngineFound,
    FindEngine,
    PrefillCompleted,
    RequestEnded,
)
from goldcrestridge_node.pending import PendingRequests


@define(eq=False)
class Engines:
    """Hand questions for admissions, and what becomes of the requests, to the core."""

    post: Callable[[Any], None]
    _pending: PendingRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Post questions like all else."""
        self._pending = PendingRequests(self.post)

    async def seek(self, event: FindEngine) -> EngineFound | EngineDenied:
        """Wait for the answer; a caller that goes meanwhile withdraws the question."""
        found: EngineFound | EngineDenied = await self._pending.ask(event.ticket, event)
        return found

    def decided(self, effect: EngineFound | EngineDenied) -> None:
        """Take an answer of the core."""
        self._pending.resolve(effect.ticket, effect)

    def started(self, ticket: str) -> None:
        """Tell that the first event of a request has come."""
        self.post(PrefillCompleted(ticket))

    def ended(self, ticket: str) -> None:
        """Tell that a request has left its engine, or does not wait any more."""
        self.post(RequestEnded(ticket))
