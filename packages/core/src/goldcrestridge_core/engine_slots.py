"""Admission of requests to model engines across all entry nodes (a role).

Rendezvous hashing assigns each engine an owner among the entry nodes. The engine owner admits
requests to the engine, and the other nodes ask it. If no engine owner answers, the request is sent
without admission: a lost node must not make its share of the engines unusable, and the engine's own
queue limits the overload.
"""

from __future__ import annotations

import math
from typing import Any

from attrs import define, field

from goldcrestridge_core.engine_ledger import EngineLedger
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    EngineGrant,
    EngineRefusal,
    EngineReleased,
    EngineRequest,
    EngineStarted,
    EntriesChanged,
    FindEngine,
    PrefillCompleted,
    RequestEnded,
    WaitCause,
)
from goldcrestridge_core.rendezvous import weight
from goldcrestridge_core.types import NodeId, Receive, Send

# Covers a few round trips within a region and the scheduling delay of a busy node.
REPLY_TIMEOUT_MS = 60.0
# An engine owner that did not answer is not asked for this time. By then a lost node is off the
# list.
OWNER_BACKOFF_MS = 2_000.0
# Shares of the longest wait that a request accepts at its first and at its further candidates.
# Recomputing the shared prefix at another engine takes time, so the wait accepted there is shorter.
CANDIDATE_WAIT_SHARES = (1.0, 0.6)


@define
class _EngineSearch:
    """A request of this node that waits for admission to an engine or has been admitted."""

    event: FindEngine
    index: int = 0
    owner: NodeId | None = None
    reply_by_ms: float = math.inf
    shortest_wait_ms: float = math.inf
    shortest_wait_cause: WaitCause = WaitCause.NONE
    best_index: int = 0  # Index of the candidate with the shortest wait.
    unanswered_index: int | None = None  # Index of the first candidate whose owner is silent.
    # By engine that refused the request: the tokens of its shared parts that it has read.
    held_tokens: dict[str, int] = field(factory=dict)
    final: bool = False  # The best candidate is asked again, with the fallback wait.

    @property
    def candidate(self) -> Candidate:
        """Return the engine that is currently asked."""
        return self.event.candidates[self.index]

    @property
    def holder(self) -> str:
        """Return the engine that refused the request and holds most of it, or an empty text."""
        others = {name: held for name, held in self.held_tokens.items() if held}
        others.pop(self.candidate.instance, None)
        return max(others, key=others.__getitem__, default="")


@define
class EngineAdmission:
    """Find engines for the requests of this node, and admit requests to the engines it owns.

    Events: Tick; FindEngine, PrefillCompleted, RequestEnded; EntriesChanged; Receive of the engine
    messages. Effects: EngineFound or EngineDenied for each FindEngine; Send.
    """

    node_id: NodeId
    _nodes: tuple[NodeId, ...] = ()
    _owners: dict[str, NodeId] = field(factory=dict)
    _ledgers: dict[str, EngineLedger] = field(factory=dict)
    _searches: dict[str, _EngineSearch] = field(factory=dict)  # Those that await an answer.
    _admitted: dict[str, _EngineSearch] = field(factory=dict)
    _backoff_until_ms: dict[NodeId, float] = field(factory=dict)
    _effects: list[Any] = field(factory=list)

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline for the answer of an engine owner."""
        if not self._searches:
            return None
        first = min(item.reply_by_ms for item in self._searches.values())
        return None if first == math.inf else first

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event."""
        match event:
            case FindEngine():
                self._searches[event.ticket] = _EngineSearch(event)
                self._request_admission(event.ticket, now_ms)
            case PrefillCompleted(ticket=ticket):
                item = self._admitted.get(ticket)
                if item is not None and item.owner is not None:
                    started = EngineStarted(ticket, item.candidate.instance)
                    self._send(item.owner, started, now_ms)
            case RequestEnded(ticket=ticket):
                self._on_request_ended(ticket, now_ms)
            case EntriesChanged(nodes=nodes):
                self._nodes = nodes
                self._owners.clear()
            case Receive(sender=sender, message=message):
                self._receive(sender, message, now_ms)
        if self._searches:
            self._expire(now_ms)
        effects, self._effects = self._effects, []
        return effects

    def _receive(self, sender: NodeId, message: Any, now_ms: float) -> None:
        match message:
            case EngineRequest():
                self._send(sender, self._answer(message, now_ms), now_ms)
            case EngineStarted(ticket=ticket, instance=instance):
                self._ledger(instance, now_ms).record_prefill_end(ticket, now_ms)
            case EngineReleased(ticket=ticket, instance=instance):
                self._ledger(instance, now_ms).release(ticket, now_ms)
            case EngineGrant():
                self._on_granted(sender, message, now_ms)
            case EngineRefusal():
                self._on_refused(message, now_ms)

    # Admission of this node's requests by the engine owners.

    def _awaiting(self, ticket: str, instance: str) -> _EngineSearch | None:
        """Return the search if it waits for an answer about this engine."""
        item = self._searches.get(ticket)
        return None if item is None or item.candidate.instance != instance else item

    def _request_admission(self, ticket: str, now_ms: float) -> None:
        """Ask the owner of the current engine; skip one that did not answer recently."""
        item = self._searches[ticket]
        candidate, event = item.candidate, item.event
        item.owner = self._owner(candidate.instance)
        if self._backoff_until_ms.get(item.owner, 0.0) > now_ms:
            item.owner = None
            self._try_next(ticket, now_ms)
            return
        item.reply_by_ms = now_ms + REPLY_TIMEOUT_MS
        share = CANDIDATE_WAIT_SHARES[min(item.index, len(CANDIDATE_WAIT_SHARES) - 1)]
        longest_ms = event.fallback_wait_ms if item.final else share * event.max_wait_ms
        request = EngineRequest(
            ticket,
            candidate.instance,
            candidate.work,
            candidate.memory,
            candidate.capacity,
            candidate.slots,
            event.priority,
            longest_ms,
            event.limit_ms,
            late=item.final and event.urgent,
            prompt=event.prompt,
            born=candidate.born,
            fetchable_tokens=item.held_tokens.get(item.holder, 0),
        )
        self._send(item.owner, request, now_ms)

    def _try_next(self, ticket: str, now_ms: float) -> None:
        """Ask about the next candidate; after the last one ask the best again or end the search."""
        item = self._searches[ticket]
        if item.owner is None and item.unanswered_index is None:
            item.unanswered_index = item.index
        if not item.final and item.index + 1 < len(item.event.candidates):
            item.index += 1
            self._request_admission(ticket, now_ms)
            return
        if not item.final and item.shortest_wait_ms <= item.event.fallback_wait_ms:
            item.final, item.index = True, item.best_index
            self._request_admission(ticket, now_ms)
            return
        del self._searches[ticket]
        index = self._engine_without_admission(item)
        if index is None:
            self._effects.append(
                EngineDenied(ticket, item.shortest_wait_ms, item.shortest_wait_cause)
            )
            return
        instance = item.event.candidates[index].instance
        self._effects.append(EngineFound(ticket, instance, admitted=False))

    def _engine_without_admission(self, item: _EngineSearch) -> int | None:
        """Return the candidate to use without admission, or None if the request is refused."""
        if item.shortest_wait_ms == math.inf:
            return 0
        if item.final and item.owner is None:
            # Its earlier answer was within the fallback wait.
            return item.index
        # Less urgent requests whose candidates all have lost owners are not refused either.
        return item.unanswered_index if item.event.urgent else None

    def _on_refused(self, message: EngineRefusal, now_ms: float) -> None:
        item = self._awaiting(message.ticket, message.instance)
        if item is None:
            return
        if message.wait_ms < item.shortest_wait_ms:
            item.shortest_wait_ms, item.shortest_wait_cause = message.wait_ms, message.cause
            item.best_index = item.index
        if item.event.prompt is not None:
            item.held_tokens[message.instance] = message.held_tokens
        self._try_next(message.ticket, now_ms)

    def _on_granted(self, sender: NodeId, message: EngineGrant, now_ms: float) -> None:
        item = self._awaiting(message.ticket, message.instance)
        if item is None:
            # The caller disconnected, or the answer came after the reply timeout.
            self._send(sender, EngineReleased(message.ticket, message.instance), now_ms)
            return
        self._admitted[message.ticket] = self._searches.pop(message.ticket)
        self._effects.append(
            EngineFound(
                message.ticket,
                message.instance,
                wait_ms=message.wait_ms,
                cause=message.cause,
                missing_tokens=message.missing_tokens,
                fetch=message.fetch,
                holder=item.holder,
                empty=tuple(name for name, held in item.held_tokens.items() if not held),
            )
        )

    def _on_request_ended(self, ticket: str, now_ms: float) -> None:
        item = self._searches.pop(ticket, None) or self._admitted.pop(ticket, None)
        if item is not None and item.owner is not None:
            self._send(item.owner, EngineReleased(ticket, item.candidate.instance), now_ms)

    def _expire(self, now_ms: float) -> None:
        expired = [ticket for ticket, item in self._searches.items() if item.reply_by_ms <= now_ms]
        for ticket in expired:
            item = self._searches[ticket]
            if item.owner is not None:
                self._backoff_until_ms[item.owner] = now_ms + OWNER_BACKOFF_MS
                item.owner = None
            self._try_next(ticket, now_ms)

    # Ownership of engines, and admission to those of this node.

    def _owner(self, instance: str) -> NodeId:
        """Return the entry node that owns an engine."""
        owner = self._owners.get(instance)
        if owner is None:
            nodes = self._nodes or (self.node_id,)
            owner = max(nodes, key=lambda node: weight(instance, node))
            self._owners[instance] = owner
        return owner

    def _ledger(self, instance: str, now_ms: float) -> EngineLedger:
        ledger = self._ledgers.get(instance)
        if ledger is None:
            self._drop_idle_ledgers(now_ms)
            ledger = self._ledgers[instance] = EngineLedger(since_ms=now_ms)
        return ledger

    def _drop_idle_ledgers(self, now_ms: float) -> None:
        """Drop the ledgers of engines that got no request for long, most of which have left."""
        idle = [name for name, item in self._ledgers.items() if item.is_idle(now_ms)]
        for name in idle:
            del self._ledgers[name]

    def _answer(self, request: EngineRequest, now_ms: float) -> EngineGrant | EngineRefusal:
        return self._ledger(request.instance, now_ms).admit(request, now_ms)

    def _send(self, node: NodeId, message: Any, now_ms: float) -> None:
        """Send a message; handle one to this node itself synchronously."""
        if node == self.node_id:
            self._receive(node, message, now_ms)
        else:
            self._effects.append(Send(node, message))
