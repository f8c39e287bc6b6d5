"""Baseline of the policies: first come first served with least connections."""

from __future__ import annotations

import math
from typing import Any

from attrs import Factory, define

from goldcrestridge_core import types
from goldcrestridge_core.config import Upstream


@define
class LeastConnections:
    """Forward every request at once to the upstream with the fewest connections.

    Engines queue requests beyond their slots in order of arrival. The counts cover all entry
    nodes, which makes the baseline stronger than one that counts for each entry node.
    """

    shard: types.ShardId
    upstreams: tuple[Upstream, ...]
    _connections: dict[types.UpstreamId, int] = Factory(dict)
    _grants: dict[tuple[types.RequestId, int], types.UpstreamId] = Factory(dict)
    _leaving: dict[types.UpstreamId, None] = Factory(dict)
    _next_grant: int = 0

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Handle a slot message or load report and return the messages to send."""
        if not isinstance(event, types.Receive):
            return []
        match event.message:
            case types.SlotRequest():
                return self._request(event.message)
            case types.SlotCancel() | types.SlotRelease():
                self._release((event.message.request_id, event.message.attempt))
            case types.LoadReport() if event.message.leaving:
                self._leaving[event.message.upstream] = None
        return []

    def next_deadline_ms(self) -> float | None:
        """Return None, since the baseline has no timers."""
        return None

    def _request(self, request: types.SlotRequest) -> list[Any]:
        usable = [
            u.name
            for u in self.upstreams
            if u.name not in self._leaving and u.name not in request.excluded
        ]
        if not usable:
            refusal = types.SlotRefusal(
                request.request_id,
                request.attempt,
                self.shard,
                1,
                types.Reason.NO_UPSTREAM,
                math.inf,
            )
            return [types.Send(request.entry, refusal)]
        upstream = min(usable, key=lambda name: self._connections.get(name, 0))
        self._connections[upstream] = self._connections.get(upstream, 0) + 1
        self._grants[(request.request_id, request.attempt)] = upstream
        self._next_grant += 1
        grant = types.SlotGrant(
            request.request_id, request.attempt, self.shard, 1, self._next_grant, upstream
        )
        return [types.Send(request.entry, grant)]

    def _release(self, attempt: tuple[types.RequestId, int]) -> None:
        upstream = self._grants.pop(attempt, None)
        if upstream is not None:
            self._connections[upstream] -= 1
