"""Client for linearizable reads of the store, which the leader confirms as current."""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import Factory, define, frozen

from goldcrestridge_core.log_types import Query, QueryReply, ReplicasKnown
from goldcrestridge_core.types import NodeId, Receive, Send

# Longer than a heartbeat round, which the leader needs to confirm that it still leads.
RETRY_INTERVAL_MS = 300.0
# Limits redirects, so that two replicas that name each other as leader cause no message storm.
REDIRECT_INTERVAL_MS = 20.0


@frozen
class SubmitQuery:
    """Event: read the store; ``timeout_ms`` limits the wait for a confirmed result."""

    query_id: str
    request: bytes
    timeout_ms: float


@frozen
class QueryDone:
    """Effect: the result of a SubmitQuery, or None if none was confirmed in time."""

    query_id: str
    result: bytes | None


@define
class _PendingQuery:
    """Read that is not answered yet."""

    request: bytes
    expires_at_ms: float
    retry_at_ms: float


@define
class Queries:
    """Read client role; answers each SubmitQuery with exactly one QueryDone."""

    replicas: tuple[NodeId, ...]
    rng: Random
    leader: NodeId | None = None
    pending: dict[str, _PendingQuery] = Factory(dict)

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next retry or timeout, or None."""
        times = (min(item.retry_at_ms, item.expires_at_ms) for item in self.pending.values())
        return min(times, default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Handle one event and return the effects."""
        effects: list[Any] = []
        match event:
            case SubmitQuery():
                expires_at_ms = now_ms + event.timeout_ms
                self.pending[event.query_id] = _PendingQuery(event.request, expires_at_ms, now_ms)
            case Receive(sender=sender, message=QueryReply() as reply):
                effects = self._on_reply(sender, reply, now_ms)
            case ReplicasKnown():
                self.replicas = event.nodes
        return effects + self._run_timers(now_ms)

    def _on_reply(self, sender: NodeId, reply: QueryReply, now_ms: float) -> list[Any]:
        """Return the result, or follow the redirect to the leader."""
        item = self.pending.get(reply.query_id)
        if item is None:
            return []
        if reply.answered:
            self.leader = sender
            del self.pending[reply.query_id]
            return [QueryDone(reply.query_id, reply.result)]
        if reply.leader is not None and reply.leader != sender:
            self.leader = reply.leader
            item.retry_at_ms = min(item.retry_at_ms, now_ms + REDIRECT_INTERVAL_MS)
        elif self.leader == sender:
            self.leader = None
        return []

    def _run_timers(self, now_ms: float) -> list[Any]:
        """Time out expired reads and retry those that are due."""
        effects: list[Any] = []
        for query_id, item in list(self.pending.items()):
            if now_ms >= item.expires_at_ms:
                del self.pending[query_id]
                effects.append(QueryDone(query_id, None))
            elif now_ms >= item.retry_at_ms:
                effects += self._send(query_id, item, now_ms)
        return effects

    def _send(self, query_id: str, item: _PendingQuery, now_ms: float) -> list[Any]:
        """Send a read to the assumed leader, or to a random replica if there is none.

        The assumption is cleared until a reply renews it, so a retry goes to a random replica.
        """
        item.retry_at_ms = now_ms + RETRY_INTERVAL_MS
        target = self.leader
        if target is None and self.replicas:
            target = self.rng.choice(self.replicas)
        self.leader = None
        return [] if target is None else [Send(target, Query(query_id, item.request))]
