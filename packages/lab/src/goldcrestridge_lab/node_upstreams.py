"""Simulated engines and plain services in virtual time, for the state machine of nodes."""

from __future__ import annotations

import heapq
from random import Random
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    CallKind,
)
from goldcrestridge_core.types import LoadReport, NodeId, UpstreamId
from goldcrestridge_lab.node_config import SLOTS
from goldcrestridge_lab.node_oracle import Run, require
from goldcrestridge_lab.soak_checks import ALLOWED_IN_REST, REST_GRACE_MS

CONNECT_MS = 2.0

Machine = tuple[NodeId, int]


@define
class Rests:
    """Upstreams that are busy for a time, and ask whoever calls or polls them for a rest.

    A machine is a host and the number of its start. ``asked`` holds upstream, machine, and start
    and end of each rest in ms, ``arrivals`` upstream, machine and time of each call and poll.
    """

    busy: dict[UpstreamId, tuple[float, float]] = field(factory=dict)  # Until when, rest in ms.
    asked: list[tuple[UpstreamId, Machine, float, float]] = field(factory=list)
    arrivals: list[tuple[UpstreamId, Machine, float]] = field(factory=list)

    def arrive(self, name: UpstreamId, machine: Machine, now_ms: float) -> float:
        """Record a call or poll; return the rest in ms that the upstream asks for, or 0."""
        self.arrivals.append((name, machine, now_ms))
        until_ms, rest_ms = self.busy.get(name, (0.0, 0.0))
        if now_ms >= until_ms:
            return 0.0
        self.asked.append((name, machine, now_ms, now_ms + rest_ms))
        return rest_ms

    def check(self, now_ms: float) -> None:
        """Raise InvariantError if an upstream got too much in a rest; forget rests that ended."""
        for name, machine, asked_ms, end_ms in self.asked:
            count = sum(
                (name, machine) == item[:2] and asked_ms + REST_GRACE_MS < item[2] < end_ms
                for item in self.arrivals
            )
            require(count <= ALLOWED_IN_REST, "P11", f"{name} got {count} in a rest of {machine}")
        self.asked = [item for item in self.asked if item[3] > now_ms]
        oldest_ms = min((item[2] for item in self.asked), default=now_ms)
        self.arrivals = [item for item in self.arrivals if item[2] > oldest_ms]


@define
class Upstreams:
    """All upstreams; ``scheduled`` is a heap of (time in ms, sequence number, run, event).

    An event of None is the arrival of the call at its upstream. ``fault_share`` is the share of
    calls that break. ``late_share`` is the share of events that are delivered although their
    attempt has ended; the others are dropped.
    """

    rng: Random
    step_ms: float = 20.0
    fault_share: float = 0.0
    late_share: float = 0.0
    down: set[UpstreamId] = field(factory=set)
    leaving: set[UpstreamId] = field(factory=set)
    rests: Rests = field(factory=Rests)
    runs: list[Run] = field(factory=list)
    scheduled: list[tuple[float, int, Run, Any]] = field(factory=list)
    _sequence: int = 0

    def next_ms(self) -> float | None:
        """Return the time of the next event in ms, None if there is none."""
        return self.scheduled[0][0] if self.scheduled else None

    def start(self, run: Run, now_ms: float) -> None:
        """Send the call of an attempt to its upstream."""
        self.runs.append(run)
        self._schedule(now_ms + CONNECT_MS, run, None)

    def cancel(self, request_id: str, attempt: int, host: str) -> None:
        """Stop an attempt; some of its events may still be delivered."""
        for run in self.runs:
            if (run.start.request_id, run.start.attempt, run.host) == (request_id, attempt, host):
                run.active = run.in_progress = False

    def crash(self, name: UpstreamId, now_ms: float) -> None:
        """Fail all attempts in progress at an upstream, and refuse connections from now on."""
        self.down.add(name)
        for run in [run for run in self.runs if run.in_progress and run.start.upstream == name]:
            self._fail(run, now_ms, "reset")

    def report(self, name: UpstreamId) -> LoadReport:
        """Return the load report of an upstream."""
        running = sum(run.in_progress and run.start.upstream == name for run in self.runs)
        return LoadReport(name, 0.0, running, 0, SLOTS, name in self.leaving)

    def pop_event(self, now_ms: float) -> tuple[Run, Any] | None:
        """Return the next event due for an entry node with its attempt, None if none is due."""
        while self.scheduled and self.scheduled[0][0] <= now_ms:
            _, _, run, event = heapq.heappop(self.scheduled)
            if event is None:
                self._receive_call(run, now_ms)
                continue
            is_final = isinstance(event, AttemptEnd | AttemptFailed)
            if run.active:
                run.active = not is_final
                run.in_progress = run.in_progress and not is_final
                self._discard_inactive(run)
                return run, event
            self._discard_inactive(run)
            if self.rng.random() < self.late_share:
                return run, event
        return None

    def _discard_inactive(self, run: Run) -> None:
        if not run.active and run in self.runs:
            self.runs.remove(run)

    def _receive_call(self, run: Run, now_ms: float) -> None:
        """Accept or refuse a call that arrives at its upstream."""
        ids = (run.start.request_id, run.start.attempt)
        if not run.active:
            return  # Cancelled in transit; a part of it may have reached the upstream.
        if run.start.upstream in self.down:
            run.reached = False
            self._schedule(now_ms, run, AttemptFailed(*ids, sent=False, reason="refused"))
            return
        if run.start.upstream in self.leaving:
            run.reached = False
            self._schedule(now_ms, run, AttemptFailed(*ids, True, "leaving", leaving=True))
            return
        rest_ms = self.rests.arrive(run.start.upstream, (run.host, run.boot_number), now_ms)
        if rest_ms:
            run.reached = True
            failed = AttemptFailed(*ids, sent=True, reason="busy", rest_ms=rest_ms)
            self._schedule(now_ms, run, failed)
            return
        if self.rng.random() < self.fault_share / 2:
            run.reached = self.rng.random() < 0.5 or None
            self._schedule(now_ms, run, AttemptFailed(*ids, sent=True, reason="closed"))
            return
        run.reached = run.in_progress = True
        self._serve(run, now_ms)

    def _serve(self, run: Run, now_ms: float) -> None:
        """Schedule the events of the response, which may be cut before any of them."""
        events = response_events(run)
        cut_index = (
            self.rng.randrange(len(events)) if self.rng.random() < self.fault_share else len(events)
        )
        at_ms = now_ms
        for number, event in enumerate(events):
            at_ms += self.step_ms * (0.5 + self.rng.random())
            if number == cut_index:
                self._fail(run, at_ms, "cut")
            # The events after a cut can only arrive late, after the end of the attempt.
            self._schedule(at_ms, run, event)

    def _fail(self, run: Run, at_ms: float, reason: str) -> None:
        ids = (run.start.request_id, run.start.attempt)
        self._schedule(at_ms, run, AttemptFailed(*ids, sent=True, reason=reason))

    def _schedule(self, at_ms: float, run: Run, event: Any) -> None:
        self._sequence += 1
        heapq.heappush(self.scheduled, (at_ms, self._sequence, run, event))


def response_events(run: Run) -> list[Any]:
    """Return all events of the complete response to an attempt."""
    ids = (run.start.request_id, run.start.attempt)
    head = AttemptHead(*ids, 200, ())
    if run.start.call.kind is CallKind.PLAIN:
        return [head, AttemptChunk(*ids, run.caller.expected_body()), AttemptEnd(*ids)]
    texts = run.caller.token_texts()[run.start.delivered_tokens :]
    chunks = [AttemptChunk(*ids, text.encode(), text, 1) for text in texts]
    opening = AttemptChunk(*ids, b"R", opening=True)
    return [head, opening, *chunks, AttemptChunk(*ids, b"F"), AttemptEnd(*ids)]
