"""Drain role: stops a node without interrupting requests, or reports the interrupted ones."""

from __future__ import annotations

import enum
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import CallerGone, CallerRequest, RespondEnd, RespondFailure
from goldcrestridge_core.member_types import DrainDone, ReleaseOwnership, StartDrain
from goldcrestridge_core.types import Emit, Outcome, Reason, RequestId, Tick

# Time until every other reachable node has learned that this one is leaving. Gossip needs about a
# second at 340 nodes; the rest covers lost messages and one probe round.
ANNOUNCE_MS = 4_000.0


class DrainPhase(enum.Enum):
    """Phase of a drain."""

    SERVING = "serving"
    ADVERTISED = "named"  # Leaving, but callers may still hold an answer with its address.
    ENDING = "ending"  # All such answers have expired; waits for requests in flight.
    DONE = "done"


@define
class Drain:
    """Track the requests in flight and end the drain when callers no longer need this node.

    ``address_ttl_ms`` is how long callers may keep an answer of the address lookup.

    Events: StartDrain (a second one ends the drain at once); Tick; CallerRequest, CallerGone,
    RespondEnd and RespondFailure of the requests role. Pass a CallerRequest to this role first:
    if it returns RespondFailure, the request is refused as not run and must not reach the
    requests role. Effects: ReleaseOwnership; DrainDone (pass Leave to the membership role, then
    end the process); RespondFailure; Emit.

    For ANNOUNCE_MS after the start of a drain other nodes may still give callers the address of
    this node. It accepts callers until the last of these answers has expired.
    """

    address_ttl_ms: float
    phase: DrainPhase = DrainPhase.SERVING
    _in_flight: dict[RequestId, None] = field(factory=dict)
    _accept_until_ms: float = 0.0
    _old_answers_until_ms: float = 0.0
    _deadline_ms: float | None = None

    def set_address_ttl(self, ttl_ms: float, now_ms: float) -> None:
        """Set the lifetime of new answers; callers with earlier answers are still accepted."""
        self._old_answers_until_ms = max(
            self._old_answers_until_ms, now_ms + ANNOUNCE_MS + self.address_ttl_ms
        )
        self.address_ttl_ms = ttl_ms

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._in_flight)

    def next_deadline_ms(self) -> float | None:
        """Return when the last answers expire or the deadline of the drain passes."""
        times = [self._accept_until_ms] if self.phase is DrainPhase.ADVERTISED else []
        if (
            self.phase in (DrainPhase.ADVERTISED, DrainPhase.ENDING)
            and self._deadline_ms is not None
        ):
            times.append(self._deadline_ms)
        return min(times, default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        if self.phase is DrainPhase.DONE:
            return [_refuse(event.request_id)] if isinstance(event, CallerRequest) else []
        match event:
            case StartDrain(deadline_ms=deadline_ms):
                return self._start(deadline_ms, now_ms)
            case Tick():
                return self._tick(now_ms)
            case CallerRequest(request_id=request_id):
                if self.phase is DrainPhase.ENDING:
                    return [_refuse(request_id)]
                self._in_flight[request_id] = None
            case (
                CallerGone(request_id=request_id)
                | RespondEnd(request_id=request_id)
                | RespondFailure(request_id=request_id)
            ):
                self._in_flight.pop(request_id, None)
                return self._end_if_idle()
        return []

    def _start(self, deadline_ms: float | None, now_ms: float) -> list[Any]:
        """Start the drain, or end it at once if it has started already."""
        if self.phase is not DrainPhase.SERVING:
            return self._end("second signal")
        self.phase = DrainPhase.ADVERTISED
        advertised_until_ms = now_ms + ANNOUNCE_MS + self.address_ttl_ms
        self._accept_until_ms = max(advertised_until_ms, self._old_answers_until_ms)
        self._deadline_ms = None if deadline_ms is None else now_ms + deadline_ms
        detail = (("in_flight", len(self._in_flight)),)
        return [ReleaseOwnership(), Emit("drain_started", detail=detail)]

    def _tick(self, now_ms: float) -> list[Any]:
        """Stop accepting callers once the last answers have expired; end at the deadline."""
        if self._deadline_ms is not None and now_ms >= self._deadline_ms:
            return [] if self.phase is DrainPhase.SERVING else self._end("deadline")
        if self.phase is DrainPhase.ADVERTISED and now_ms >= self._accept_until_ms:
            self.phase = DrainPhase.ENDING
        return self._end_if_idle()

    def _end_if_idle(self) -> list[Any]:
        """End the drain if it accepts no callers and no request is in flight."""
        if self.phase is not DrainPhase.ENDING or self._in_flight:
            return []
        return self._end("idle")

    def _end(self, reason: str) -> list[Any]:
        """End the drain and report the requests that it interrupts."""
        self.phase = DrainPhase.DONE
        cut = tuple(self._in_flight)
        effects = [Emit("request_cut", request_id=request_id) for request_id in cut]
        detail = (("cut", len(cut)), ("reason", reason))
        return [*effects, Emit("drain_done", detail=detail), DrainDone(cut, reason)]


def _refuse(request_id: RequestId) -> RespondFailure:
    """Return the refusal of a request that arrives after the last answers have expired."""
    detail = "This node is draining; ask again which address to use."
    return RespondFailure(request_id, Outcome.NOT_RUN, Reason.DRAINING, detail, 0.0)
