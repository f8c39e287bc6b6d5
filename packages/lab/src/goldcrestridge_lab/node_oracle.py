"""Oracle of the node state machine: checks of the guarantees P1 to P8.

P1: a shed request has not been overtaken by a later one of a lower class. P2: a request of the
lowest class completes once load stops. P3: each caller gets one complete, unmixed response.
P4: the outcome of a failure is true. P5: a call that is not repeatable runs at most once. P6: a
leaving upstream gets no new attempts. P7: a drain cuts no request. P8: accepted configurations
are in force everywhere in time and never revert. P11, that a rest is kept, is checked with the
upstreams.
"""

from __future__ import annotations

from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import (
    Call,
    CallKind,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.types import NodeId, Outcome, Reason, RequestId, UpstreamId
from goldcrestridge_lab.node_config import CLASSES

OUTPUT_TOKENS = 4
PROPAGATION_MS = 4_000.0  # Bound on the propagation time in P6 and P8.

OwnerKey = tuple[NodeId, int, float]  # Node, epoch, start of ownership in ms.


def require(condition: bool, guarantee: str, text: str) -> None:
    """Raise InvariantError with the name of the violated guarantee unless the condition holds."""
    if not condition:
        raise InvariantError(f"{guarantee}: {text}")


@define(eq=False)
class Caller:
    """Request of one caller and the responses to it.

    ``draining_on_arrival`` is set if its entry node was draining when the request arrived.
    ``first_ms`` is when the first body chunk arrived and ``ended_ms`` when the response was
    complete, both -1 before that.
    """

    request_id: RequestId
    call: Call
    entry: NodeId
    arrived_ms: float
    draining_on_arrival: bool
    head_count: int = 0
    received_body: bytes = b""
    final_responses: list[RespondEnd | RespondFailure] = field(factory=list)
    disconnected: bool = False
    must_complete: bool = False
    output_tokens: int = OUTPUT_TOKENS
    first_ms: float = -1.0
    ended_ms: float = -1.0

    @property
    def open(self) -> bool:
        """Return whether the caller still waits for its final response."""
        return not self.final_responses and not self.disconnected

    @property
    def tier(self) -> int:
        """Return the tier of the request class; 0 is the highest."""
        return CLASSES.index(self.call.class_name)

    def token_texts(self) -> list[str]:
        """Return the text of each token of the complete response."""
        return [f"{self.request_id}.{number} " for number in range(self.output_tokens)]

    def expected_body(self) -> bytes:
        """Return the body of the complete response."""
        if self.call.kind is CallKind.PLAIN:
            return f"{self.call.workspace}:{self.call.key or self.request_id}".encode()
        return b"R" + "".join(self.token_texts()).encode() + b"F"


@define(eq=False)
class Run:
    """One attempt at its upstream.

    ``reached`` tells whether a byte of the call reached the upstream, None while that is unknown.
    """

    start: StartAttempt
    caller: Caller
    host: NodeId
    boot_number: int
    reached: bool | None = None
    active: bool = True  # The entry node expects events from it.
    in_progress: bool = False  # The upstream processes it.

    def may_have_reached(self) -> bool:
        """Return whether a byte of the call reached the upstream, or may have."""
        return self.reached is not False


@define
class Oracle:
    """Records callers, attempts and accepted versions, and checks the guarantees on them.

    ``leaving_ms`` holds when each leaving upstream began to leave, ``arrivals_ms`` when a request
    reached an owner, and ``accepted_versions`` the change and the time of each version.
    """

    callers: dict[RequestId, Caller] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    leaving_ms: dict[UpstreamId, float] = field(factory=dict)
    accepted_versions: dict[int, tuple[str, float]] = field(factory=dict)
    arrivals_ms: dict[tuple[OwnerKey, RequestId], float] = field(factory=dict)
    grants: dict[OwnerKey, list[tuple[float, Caller]]] = field(factory=dict)
    healthy_since_ms: float = 0.0  # Since then the network delivers and a quorum runs.

    def check_response(self, effect: Any, now_ms: float) -> None:
        """Check P3 and P4 for one response."""
        caller = self.callers[effect.request_id]
        require(caller.open, "P3", f"{effect} was sent after the end of the request.")
        match effect:
            case RespondHead():
                caller.head_count += 1
                require(
                    caller.head_count == 1,
                    "P3",
                    f"{caller.request_id} got {caller.head_count} response heads.",
                )
            case RespondChunk():
                caller.first_ms = now_ms if caller.first_ms < 0.0 else caller.first_ms
                caller.received_body += effect.data
                matches = caller.expected_body().startswith(caller.received_body)
                require(
                    matches,
                    "P3",
                    f"{caller.request_id} got the wrong body {caller.received_body!r}.",
                )
            case RespondEnd():
                caller.final_responses.append(effect)
                caller.ended_ms = now_ms
                matches = caller.received_body == caller.expected_body() and caller.head_count == 1
                require(
                    matches,
                    "P3",
                    f"{caller.request_id} ended with the wrong body {caller.received_body!r}.",
                )
            case RespondFailure():
                caller.final_responses.append(effect)
                self._check_failure(caller, effect, now_ms)

    def _check_failure(self, caller: Caller, failure: RespondFailure, now_ms: float) -> None:
        reached = any(run.caller is caller and run.may_have_reached() for run in self.runs)
        name = caller.request_id
        if failure.outcome is Outcome.NOT_RUN:
            require(
                not reached, "P4", f"{name} ended as not_run, but may have reached an upstream."
            )
        if failure.outcome is Outcome.FAILED:
            require(reached, "P4", f"{name} ended as failed, but reached no upstream.")
        require(
            failure.outcome is not Outcome.COMPLETED,
            "P4",
            f"The failure of {name} has the outcome completed.",
        )
        cut_by_drain = failure.reason is Reason.DRAINING and not caller.draining_on_arrival
        require(not cut_by_drain, "P7", f"{name} was cut by the drain of {caller.entry}.")
        text = f"{name} of the lowest class had to complete but got {failure} at {now_ms} ms."
        require(not caller.must_complete, "P2", text)

    def add_attempt(self, run: Run, now_ms: float) -> None:
        """Check P3, P5 and P6 for a new attempt, and record it."""
        caller, start = run.caller, run.start
        require(caller.open, "P3", f"{start.request_id} was attempted after its end.")
        text = "".join(caller.token_texts()[: start.delivered_tokens])
        require(
            start.delivered_text == text,
            "P3",
            f"{start} continues a text that differs from {text!r}.",
        )
        earlier_runs = [item for item in self.runs if item.caller is caller]
        concurrent = any(item.active for item in earlier_runs)
        require(not concurrent, "P3", f"{start.request_id} has two concurrent attempts.")
        leaving_since_ms = self.leaving_ms.get(start.upstream, now_ms)
        delay_ms = now_ms - max(leaving_since_ms, self.healthy_since_ms)
        text = f"{start.upstream} got {start.request_id} {delay_ms} ms after it began to leave."
        require(delay_ms <= PROPAGATION_MS, "P6", text)
        self.runs.append(run)
        self.check_at_most_once(run)

    def check_at_most_once(self, run: Run) -> None:
        """Check P5 for the idempotency key of an attempt."""
        if run.caller.call.repeatable:
            return
        name = _idempotency_key(run)
        reached = [
            item
            for item in self.runs
            if not item.caller.call.repeatable
            and _idempotency_key(item) == name
            and item.may_have_reached()
        ]
        require(
            len(reached) <= 1,
            "P5",
            f"The call with the key {name} may have run {len(reached)} times.",
        )

    def check_cancelled(self, host: NodeId) -> None:
        """Check P3: no attempt is active for a caller that has disconnected or has its response."""
        for run in self.runs:
            orphaned = run.active and run.host == host and not run.caller.open
            require(
                not orphaned,
                "P3",
                f"{run.start.request_id} still runs, but its caller no longer waits.",
            )

    def check_admission(
        self, owner: OwnerKey, granted: list[RequestId], refused: list[RequestId], now_ms: float
    ) -> None:
        """Check P1 for the slots that an owner granted and refused in one step.

        A request must not be shed if the same owner granted a slot to a later request of a lower
        class while it waited. First attempts exclude no upstream, so either could use that slot.
        """
        grants = self.grants.setdefault(owner, [])
        grants += [(now_ms, self.callers[name]) for name in granted]
        for high in (self.callers[name] for name in refused):
            since_ms = self._arrival(owner, high)
            for at_ms, low in grants:
                overtaken = at_ms >= since_ms and self._arrival(owner, low) > since_ms
                text = f"{owner} shed {high.request_id} but granted {low.request_id} at {at_ms} ms."
                require(not (overtaken and high.tier < low.tier), "P1", text)

    def _arrival(self, owner: OwnerKey, caller: Caller) -> float:
        """Return when a request reached an owner in ms; on its own entry node that is at once."""
        local_arrival_ms = max(caller.arrived_ms, owner[2])
        return self.arrivals_ms.get((owner, caller.request_id), local_arrival_ms)

    def add_accepted_version(self, version: int, change_id: str, now_ms: float) -> None:
        """Record an accepted change and check P8: only one change makes a version."""
        first_change = self.accepted_versions.setdefault(version, (change_id, now_ms))
        text = f"Version {version} was accepted for both {first_change[0]} and {change_id}."
        require(first_change[0] == change_id, "P8", text)

    def check_in_force(self, host: NodeId, version: int, started_ms: float, now_ms: float) -> None:
        """Check P8: each accepted version is in force on a node within the propagation time."""
        for wanted_version, (_, accepted_ms) in self.accepted_versions.items():
            delay_ms = now_ms - max(accepted_ms, started_ms, self.healthy_since_ms)
            text = (
                f"{host} has version {version} {delay_ms} ms "
                f"after version {wanted_version} was accepted."
            )
            require(version >= wanted_version or delay_ms <= PROPAGATION_MS, "P8", text)


def _idempotency_key(run: Run) -> tuple[str, str]:
    call = run.caller.call
    return call.workspace, call.key or run.start.request_id
