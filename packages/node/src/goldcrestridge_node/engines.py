"""Requests for admission to model engines."""

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
class EngineAdmissionClient:
    """Forward admission requests and the progress of admitted requests to the core."""

    post: Callable[[Any], None]
    _pending: PendingRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the table of requests that wait for a result of the core."""
        self._pending = PendingRequests(self.post)

    async def request_admission(self, event: FindEngine) -> EngineFound | EngineDenied:
        """Post an admission request and wait for the result; cancellation withdraws it."""
        found: EngineFound | EngineDenied = await self._pending.ask(event.ticket, event)
        return found

    def resolve(self, effect: EngineFound | EngineDenied) -> None:
        """Deliver a result of the core to the request that waits for it."""
        self._pending.resolve(effect.ticket, effect)

    def report_prefill_completed(self, ticket: str) -> None:
        """Report that the first event of a response has arrived."""
        self.post(PrefillCompleted(ticket))

    def report_request_ended(self, ticket: str) -> None:
        """Report that a request has left its engine or no longer waits for one."""
        self.post(RequestEnded(ticket))
