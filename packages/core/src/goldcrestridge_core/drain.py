"""Drain: stop a node without cutting a request, or say what was cut."""

from __future__ import annotations

import enum
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import CallerGone, CallerRequest, RespondEnd, RespondFailure
from goldcrestridge_core.member_types import DrainDone, ReleaseOwnership, StartDrain
from goldcrestridge_core.types import Emit, Outcome, Reason, RequestId, Tick

# Time until every other node that can be reached has learned that this one is leaving. Gossip
# needs about a second at 340 nodes; the rest covers lost messages and one probe round.
ANNOUNCE_MS = 4_000.0


class Phase(enum.Enum):
    """Phase of the life of a node as seen by its callers."""

    SERVING = "serving"
    NAMED = "named"  # Leaving, but callers may still hold an answer that names this node.
    ENDING = "ending"  # No answer names it any more; requests in flight end.
    DONE = "done"


@define
class Drain:
    """Follow the requests in flight and end the node when it is safe.

    ``address_ttl_ms`` is how long callers may keep an answer. Events: StartDrain (a second one
    ends the drain at once); Tick; CallerRequest, CallerGone, RespondEnd and RespondFailure of
    the requests role. Give a CallerRequest to this role first: if it returns RespondFailure, the
    request is refused as not run and must not reach the requests role. Effects:
    ReleaseOwnership, DrainDone (end the process after Leave was given to membership),
    RespondFailure, Emit.

    A node that is told to stop may have been named until ANNOUNCE_MS later by nodes that did not
    know yet. It accepts callers for the lifetime of such an answer after that.
    """

    address_ttl_ms: float
    phase: Phase = Phase.SERVING
    _in_flight: dict[RequestId, None] = field(factory=dict)
    _accept_until_ms: float = 0.0
    _old_answers_until_ms: float = 0.0
    _deadline_ms: float | None = None

    def set_address_ttl(self, ttl_ms: float, now_ms: float) -> None:
        """Take a new lifetime of answers; those given under the old one are still honoured."""
        self._old_answers_until_ms = max(
            self._old_answers_until_ms, now_ms + ANNOUNCE_MS + self.address_ttl_ms
        )
        self.address_ttl_ms = ttl_ms

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._in_flight)

    def next_deadline_ms(self) -> float | None:
        """Return when old answers expire or the operator's deadline passes."""
        times = [self._accept_until_ms] if self.phase is Phase.NAMED else []
        if self.phase in (Phase.NAMED, Phase.ENDING) and self._deadline_ms is not None:
            times.append(self._deadline_ms)
        return min(times, default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        if self.phase is Phase.DONE:
            return [_refuse(event.request_id)] if isinstance(event, CallerRequest) else []
        match event:
            case StartDrain(deadline_ms=deadline_ms):
                return self._start(deadline_ms, now_ms)
            case Tick():
                return self._tick(now_ms)
            case CallerRequest(request_id=request_id):
                if self.phase is Phase.ENDING:
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
        """Begin the drain, or end it at once if it has begun."""
        if self.phase is not Phase.SERVING:
            return self._end("second signal")
        self.phase = Phase.NAMED
        named_until_ms = now_ms + ANNOUNCE_MS + self.address_ttl_ms
        self._accept_until_ms = max(named_until_ms, self._old_answers_until_ms)
        self._deadline_ms = None if deadline_ms is None else now_ms + deadline_ms
        detail = (("in_flight", len(self._in_flight)),)
        return [ReleaseOwnership(), Emit("drain_started", detail=detail)]

    def _tick(self, now_ms: float) -> list[Any]:
        """Stop accepting callers when old answers have expired; end at the deadline."""
        if self._deadline_ms is not None and now_ms >= self._deadline_ms:
            return [] if self.phase is Phase.SERVING else self._end("deadline")
        if self.phase is Phase.NAMED and now_ms >= self._accept_until_ms:
            self.phase = Phase.ENDING
        return self._end_if_idle()

    def _end_if_idle(self) -> list[Any]:
        """End the drain if nothing is in flight and no caller is expected."""
        if self.phase is not Phase.ENDING or self._in_flight:
            return []
        return self._end("idle")

    def _end(self, reason: str) -> list[Any]:
        """End the drain and say what was cut."""
        self.phase = Phase.DONE
        cut = tuple(self._in_flight)
        effects = [Emit("request_cut", request_id=request_id) for request_id in cut]
        detail = (("cut", len(cut)), ("reason", reason))
        return [*effects, Emit("drain_done", detail=detail), DrainDone(cut, reason)]


def _refuse(request_id: RequestId) -> RespondFailure:
    """Return the answer to a caller that came after its answer had expired."""
    detail = "This node is draining; ask again which address to use."
    return RespondFailure(request_id, Outcome.NOT_RUN, Reason.DRAINING, detail, 0.0)
