"""Scripted engines and plain services in virtual time, for the state machine of complete nodes."""

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
from goldcrestridge_core.types import LoadReport, UpstreamId
from goldcrestridge_lab.node_config import SLOTS
from goldcrestridge_lab.node_oracle import Run

CONNECT_MS = 2.0


@define
class Upstreams:
    """All upstreams; ``due`` holds what happens next as (time, number, run, event).

    An event of None stands for the arrival of the call at its upstream. ``faults`` is the share
    of calls that break, ``late`` the share of events that arrive after the end of their attempt.
    """

    rng: Random
    step_ms: float = 20.0
    fault_share: float = 0.0
    late_share: float = 0.0
    down: set[UpstreamId] = field(factory=set)
    leaving: set[UpstreamId] = field(factory=set)
    runs: list[Run] = field(factory=list)
    scheduled: list[tuple[float, int, Run, Any]] = field(factory=list)
    _sequence: int = 0

    def next_ms(self) -> float | None:
        """Return when something happens next."""
        return self.scheduled[0][0] if self.scheduled else None

    def start(self, run: Run, now_ms: float) -> None:
        """Send a call to its upstream."""
        self.runs.append(run)
        self._schedule(now_ms + CONNECT_MS, run, None)

    def cancel(self, request_id: str, attempt: int, host: str) -> None:
        """Stop the work of an attempt; some of its events still arrive."""
        for run in self.runs:
            if (run.start.request_id, run.start.attempt, run.host) == (request_id, attempt, host):
                run.active = run.in_progress = False

    def crash(self, name: UpstreamId, now_ms: float) -> None:
        """Break all work of an upstream and refuse connections."""
        self.down.add(name)
        for run in [run for run in self.runs if run.in_progress and run.start.upstream == name]:
            self._fail(run, now_ms, "reset")

    def report(self, name: UpstreamId) -> LoadReport:
        """Return the load report of an upstream."""
        running = sum(run.in_progress and run.start.upstream == name for run in self.runs)
        return LoadReport(name, 0.0, running, 0, SLOTS, name in self.leaving)

    def pop_event(self, now_ms: float) -> tuple[Run, Any] | None:
        """Return the next event that an entry receives now, with its attempt."""
        while self.scheduled and self.scheduled[0][0] <= now_ms:
            _, _, run, event = heapq.heappop(self.scheduled)
            if event is None:
                self._arrive(run, now_ms)
                continue
            ended = isinstance(event, AttemptEnd | AttemptFailed)
            if run.active:
                run.active = not ended
                run.in_progress = run.in_progress and not ended
                self._forget(run)
                return run, event
            self._forget(run)
            if self.rng.random() < self.late_share:
                return run, event
        return None

    def _forget(self, run: Run) -> None:
        if not run.active and run in self.runs:
            self.runs.remove(run)

    def _arrive(self, run: Run, now_ms: float) -> None:
        """Accept or refuse a call."""
        ids = (run.start.request_id, run.start.attempt)
        if not run.active:
            return  # Cancelled on the way; the upstream may have seen its beginning.
        if run.start.upstream in self.down:
            run.reached = False
            self._schedule(now_ms, run, AttemptFailed(*ids, sent=False, reason="refused"))
            return
        if run.start.upstream in self.leaving:
            run.reached = False
            self._schedule(now_ms, run, AttemptFailed(*ids, True, "leaving", leaving=True))
            return
        if self.rng.random() < self.fault_share / 2:
            run.reached = self.rng.random() < 0.5 or None
            self._schedule(now_ms, run, AttemptFailed(*ids, sent=True, reason="closed"))
            return
        run.reached = run.in_progress = True
        self._serve(run, now_ms)

    def _serve(self, run: Run, now_ms: float) -> None:
        """Schedule the answer, which may break at any place."""
        script = answer(run)
        cut = (
            self.rng.randrange(len(script)) if self.rng.random() < self.fault_share else len(script)
        )
        at_ms = now_ms
        for number, event in enumerate(script):
            at_ms += self.step_ms * (0.5 + self.rng.random())
            if number == cut:
                self._fail(run, at_ms, "cut")
            # What follows a cut can only arrive late, behind the end of its attempt.
            self._schedule(at_ms, run, event)

    def _fail(self, run: Run, at_ms: float, reason: str) -> None:
        ids = (run.start.request_id, run.start.attempt)
        self._schedule(at_ms, run, AttemptFailed(*ids, sent=True, reason=reason))

    def _schedule(self, at_ms: float, run: Run, event: Any) -> None:
        self._sequence += 1
        heapq.heappush(self.scheduled, (at_ms, self._sequence, run, event))


def answer(run: Run) -> list[Any]:
    """Return all events of a whole answer to an attempt."""
    ids = (run.start.request_id, run.start.attempt)
    head = AttemptHead(*ids, 200, ())
    if run.start.call.kind is CallKind.PLAIN:
        return [head, AttemptChunk(*ids, run.caller.expected_body()), AttemptEnd(*ids)]
    texts = run.caller.token_texts()[run.start.delivered_tokens :]
    chunks = [AttemptChunk(*ids, text.encode(), text, 1) for text in texts]
    opening = AttemptChunk(*ids, b"R", opening=True)
    return [head, opening, *chunks, AttemptChunk(*ids, b"F"), AttemptEnd(*ids)]
