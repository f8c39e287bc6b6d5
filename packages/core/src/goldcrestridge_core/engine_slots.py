"""Admission of requests to model engines over all entry nodes (a role).

Each engine has an owner among the entry nodes, by rendezvous hashing. The owner admits requests to
it; the others ask it. Where no owner answers, the request is sent without admission: the engine's
own queue bounds the harm, and a lost node must not stop its share of the engines.
"""

from __future__ import annotations

import math
from typing import Any

import xxhash
from attrs import define, field

from goldcrestridge_core.engine_desk import Desk
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    EngineGrant,
    EngineQueued,
    EngineRefusal,
    EngineReleased,
    EngineRequest,
    EngineStarted,
    EntriesKnown,
    PromptRead,
    RequestEnded,
    SeekEngine,
)
from goldcrestridge_core.types import NodeId, Receive, Send

# A few round trips within a region and a turn of a busy node.
REPLY_TIMEOUT_MS = 60.0
# Shares of the time until the first event would be late that a request may wait at its first and
# second candidate; a miss of the shared parts at another engine costs about as much as the first.
PATIENCE = (0.2, 0.4)
# Of the time left, so much remains for reading the prompt after the longest wait.
LAST_PATIENCE = 0.7
SWEEP_MS = 250.0


@define
class _Seeking:
    """A request of this node that looks for an engine, or has one."""

    event: SeekEngine
    began_ms: float
    index: int = 0
    owner: NodeId | None = None
    reply_by_ms: float = math.inf
    admitted: bool = False
    least_wait_ms: float = math.inf
    best: int = 0  # The candidate with the least wait.
    last: bool = False  # All candidates were asked, and the best one is asked again.
    answered: bool = False

    @property
    def candidate(self) -> Candidate:
        """Return the engine that is asked now."""
        return self.event.candidates[self.index]

    @property
    def longest_ms(self) -> float:
        """Return how long the request may wait for its admission at most."""
        return LAST_PATIENCE * self.event.target_ms


@define
class EngineSlots:
    """Find engines for this node's requests, and admit requests to the engines it owns.

    Events: Tick; SeekEngine, PromptRead, RequestEnded; EntriesKnown; Receive of the engine
    messages. Effects: EngineFound or EngineDenied for each SeekEngine; Send.
    """

    own: NodeId
    _nodes: tuple[NodeId, ...] = ()
    _desks: dict[str, Desk] = field(factory=dict)
    _seeking: dict[str, _Seeking] = field(factory=dict)
    _sweep_ms: float = 0.0
    _out: list[Any] = field(factory=list)

    def next_deadline_ms(self) -> float | None:
        """Return when an owner must have answered or waiting requests are looked through."""
        times = [item.reply_by_ms for item in self._seeking.values() if not item.admitted]
        if any(not desk.is_idle() for desk in self._desks.values()):
            times.append(self._sweep_ms + SWEEP_MS)
        first = min(times, default=math.inf)
        return None if first == math.inf else first

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event."""
        match event:
            case SeekEngine():
                self._seeking[event.request_id] = _Seeking(event, now_ms)
                self._ask(event.request_id, now_ms)
            case PromptRead(request_id=request_id):
                item = self._seeking.get(request_id)
                if item is not None and item.owner is not None:
                    note = EngineStarted(request_id, item.candidate.instance)
                    self._tell(item.owner, note, now_ms)
            case RequestEnded(request_id=request_id):
                self._ended(request_id, now_ms)
            case EntriesKnown(nodes=nodes):
                self._nodes = nodes
            case Receive(sender=sender, message=message):
                self._receive(sender, message, now_ms)
        self._due(now_ms)
        out, self._out = self._out, []
        return out

    def _receive(self, sender: NodeId, message: Any, now_ms: float) -> None:
        match message:
            case EngineRequest():
                self._requested(sender, message, now_ms)
            case EngineStarted(request_id=request_id, instance=instance):
                self._desk(instance).started(request_id, now_ms)
                self._admit(instance, now_ms)
            case EngineReleased(request_id=request_id, instance=instance):
                self._desk(instance).released(request_id)
                self._admit(instance, now_ms)
            case EngineGrant():
                self._granted(sender, message, now_ms)
            case EngineQueued(request_id=request_id, instance=instance):
                item = self._asked(request_id, instance)
                if item is not None:
                    item.answered = True
                    item.reply_by_ms = item.began_ms + item.longest_ms
            case EngineRefusal(request_id=request_id, instance=instance, wait_ms=wait_ms):
                item = self._asked(request_id, instance)
                if item is not None:
                    if wait_ms < item.least_wait_ms:
                        item.least_wait_ms, item.best = wait_ms, item.index
                    self._next(request_id, now_ms)

    # Requests of this node.

    def _asked(self, request_id: str, instance: str) -> _Seeking | None:
        """Return the request if it waits for an answer about this engine."""
        item = self._seeking.get(request_id)
        if item is None or item.admitted or item.candidate.instance != instance:
            return None
        return item

    def _ask(self, request_id: str, now_ms: float) -> None:
        """Ask the owner of the current candidate."""
        item = self._seeking[request_id]
        candidate, event = item.candidate, item.event
        item.owner = self._owner(candidate.instance)
        item.answered = False
        item.reply_by_ms = now_ms + REPLY_TIMEOUT_MS
        patience_ms = max(0.0, item.began_ms + item.longest_ms - now_ms)
        if not item.last and item.index < len(PATIENCE):
            patience_ms = min(patience_ms, PATIENCE[item.index] * event.target_ms)
        request = EngineRequest(
            request_id,
            candidate.instance,
            candidate.work,
            candidate.memory,
            candidate.capacity,
            candidate.slots,
            event.priority,
            patience_ms,
            event.limit_ms - (now_ms - item.began_ms),
        )
        self._tell(item.owner, request, now_ms)

    def _next(self, request_id: str, now_ms: float) -> None:
        """Go on to the next candidate, or give up."""
        item = self._seeking[request_id]
        if item.index + 1 < len(item.event.candidates):
            item.index += 1
            self._ask(request_id, now_ms)
            return
        left_ms = item.began_ms + item.longest_ms - now_ms
        if not item.last and item.least_wait_ms <= left_ms:
            item.last, item.index = True, item.best
            self._ask(request_id, now_ms)
            return
        del self._seeking[request_id]
        if item.least_wait_ms == math.inf:
            # No owner answered at all.
            first = item.event.candidates[0].instance
            self._out.append(EngineFound(request_id, first, owned=False))
            return
        self._out.append(EngineDenied(request_id, item.least_wait_ms))

    def _granted(self, sender: NodeId, message: EngineGrant, now_ms: float) -> None:
        item = self._asked(message.request_id, message.instance)
        if item is None:
            # It was withdrawn meanwhile.
            self._tell(sender, EngineReleased(message.request_id, message.instance), now_ms)
            return
        item.admitted = True
        self._out.append(EngineFound(message.request_id, message.instance))

    def _ended(self, request_id: str, now_ms: float) -> None:
        item = self._seeking.pop(request_id, None)
        if item is not None and item.owner is not None:
            self._tell(item.owner, EngineReleased(request_id, item.candidate.instance), now_ms)

    def _due(self, now_ms: float) -> None:
        late = [
            name
            for name, item in self._seeking.items()
            if not item.admitted and item.reply_by_ms <= now_ms
        ]
        for request_id in late:
            item = self._seeking[request_id]
            if item.answered:
                # It waited here for as long as it may.
                item.last = True
                item.least_wait_ms = min(item.least_wait_ms, item.longest_ms)
            if item.owner is not None:
                withdrawn = EngineReleased(request_id, item.candidate.instance)
                self._tell(item.owner, withdrawn, now_ms)
            self._next(request_id, now_ms)
        if now_ms >= self._sweep_ms + SWEEP_MS:
            self._sweep_ms = now_ms
            for instance in list(self._desks):
                self._admit(instance, now_ms)

    # Engines of this node.

    def _owner(self, instance: str) -> NodeId:
        """Return the entry node that owns an engine."""
        nodes = self._nodes or (self.own,)
        return max(nodes, key=lambda node: xxhash.xxh3_64_intdigest(f"{instance}\0{node}".encode()))

    def _desk(self, instance: str) -> Desk:
        desk = self._desks.get(instance)
        if desk is None:
            desk = self._desks[instance] = Desk()
        return desk

    def _requested(self, sender: NodeId, request: EngineRequest, now_ms: float) -> None:
        desk = self._desk(request.instance)
        wait_ms = desk.request(sender, request, now_ms)
        if wait_ms is not None:
            refusal = EngineRefusal(request.request_id, request.instance, wait_ms)
            self._tell(sender, refusal, now_ms)
            return
        self._admit(request.instance, now_ms)
        if desk.waits(request.request_id):
            self._tell(sender, EngineQueued(request.request_id, request.instance), now_ms)

    def _admit(self, instance: str, now_ms: float) -> None:
        for node, request_id in self._desk(instance).admit(now_ms):
            self._tell(node, EngineGrant(request_id, instance), now_ms)

    def _tell(self, node: NodeId, message: Any, now_ms: float) -> None:
        """Send a message; one to this node itself is handled at once."""
        if node == self.own:
            self._receive(node, message, now_ms)
        else:
            self._out.append(Send(node, message))
