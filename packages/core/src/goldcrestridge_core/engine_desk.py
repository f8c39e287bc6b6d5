"""Admission to one model engine, by its owner.

Load pattern that it answers: long prompts come faster than the engine reads them. Admitted without
a bound they fill its memory, push out the parts that later prompts share, which then must be read
again, and all of them come too late. So only as much work is admitted as keeps the engine busy;
the rest waits here, the most urgent first, and what could not be on time is refused at once.
"""

from __future__ import annotations

from attrs import define, field

from goldcrestridge_core.engine_types import EngineRequest
from goldcrestridge_core.types import NodeId

# Work admitted ahead of the engine: some 250 ms, which covers the way of the messages.
BACKLOG_TOKENS = 10_000.0
# Share of an engine's memory for running requests; the rest keeps parts that prompts share.
MEMORY_SHARE = 0.6
# Tokens that an engine reads in a millisecond until its own rate is known, and the bounds of that.
FIRST_RATE = 30.0
LEAST_RATE = 4.0
HIGHEST_RATE = 60.0
RATE_WEIGHT = 0.1
# An admission is dropped this long after its request must have ended.
EXPIRY_MS = 1_000.0


@define
class _Admitted:
    node: NodeId
    work: float
    memory: float
    granted_ms: float
    expires_ms: float
    reading: bool = True


@define
class _Waiting:
    node: NodeId
    request: EngineRequest
    gives_up_ms: float


@define
class Desk:
    """What was admitted to one engine and what waits for it."""

    rate: float = FIRST_RATE
    _admitted: dict[str, _Admitted] = field(factory=dict)
    _waiting: dict[str, _Waiting] = field(factory=dict)
    _last_start_ms: float = float("-inf")

    def wait_ms(self, priority: int) -> float:
        """Return the expected time until a new request of a priority would be admitted."""
        ahead = sum(
            item.request.work
            for item in self._waiting.values()
            if item.request.priority <= priority
        )
        return max(0.0, self._backlog() + ahead - BACKLOG_TOKENS) / self.rate

    def request(self, node: NodeId, request: EngineRequest, now_ms: float) -> float | None:
        """Take a request in; return the wait if that is too long for it."""
        if request.request_id in self._admitted or request.request_id in self._waiting:
            return None
        wait_ms = self.wait_ms(request.priority)
        if wait_ms > request.patience_ms:
            return wait_ms
        gives_up_ms = now_ms + request.limit_ms
        self._waiting[request.request_id] = _Waiting(node, request, gives_up_ms)
        return None

    def admit(self, now_ms: float) -> list[tuple[NodeId, str]]:
        """Admit what fits now, the most urgent first; return the requests with their nodes."""
        self._expire(now_ms)
        granted = []
        order = sorted(self._waiting.values(), key=lambda item: item.request.priority)
        for item in order:
            request = item.request
            if not self._fits(request):
                break
            del self._waiting[request.request_id]
            self._admitted[request.request_id] = _Admitted(
                item.node,
                request.work,
                request.memory,
                now_ms,
                now_ms + request.limit_ms + EXPIRY_MS,
            )
            granted.append((item.node, request.request_id))
        return granted

    def waits(self, request_id: str) -> bool:
        """Tell whether a request waits for its admission."""
        return request_id in self._waiting

    def started(self, request_id: str, now_ms: float) -> None:
        """Note that the engine has read a prompt, and learn its rate."""
        item = self._admitted.get(request_id)
        if item is None or not item.reading:
            return
        item.reading = False
        took_ms = now_ms - max(item.granted_ms, self._last_start_ms)
        self._last_start_ms = now_ms
        if took_ms > 0:
            seen = min(HIGHEST_RATE, max(LEAST_RATE, item.work / took_ms))
            self.rate += (seen - self.rate) * RATE_WEIGHT

    def released(self, request_id: str) -> None:
        """Forget a request that has ended or was withdrawn."""
        self._waiting.pop(request_id, None)
        self._admitted.pop(request_id, None)

    def is_idle(self) -> bool:
        """Tell whether nothing is admitted and nothing waits."""
        return not self._admitted and not self._waiting

    def _backlog(self) -> float:
        return sum(item.work for item in self._admitted.values() if item.reading)

    def _fits(self, request: EngineRequest) -> bool:
        """Tell whether an engine has room; an idle one takes any request."""
        if not self._admitted:
            return True
        memory = sum(item.memory for item in self._admitted.values()) + request.memory
        room = not request.capacity or memory <= MEMORY_SHARE * request.capacity
        backlog = self._backlog()
        soon = not backlog or backlog + request.work <= BACKLOG_TOKENS
        return room and soon and len(self._admitted) < request.slots

    def _expire(self, now_ms: float) -> None:
        for name, item in list(self._admitted.items()):
            if item.expires_ms <= now_ms:
                del self._admitted[name]
        for name, waiting in list(self._waiting.items()):
            if waiting.gives_up_ms <= now_ms:
                del self._waiting[name]
