"""Oracle of the node machine: what callers, operators and upstreams must never see."""

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
SPREAD_MS = 4_000.0  # Bound of P6 and P8.

OwnerKey = tuple[NodeId, int, float]  # Node, epoch and time of the start of its ownership.


def require(condition: bool, promise: str, text: str) -> None:
    """Report a broken promise."""
    if not condition:
        raise InvariantError(f"{promise}: {text}")


@define(eq=False)
class Caller:
    """What one caller sent and received; ``drained`` if its node had been told to stop before."""

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
        """Return whether the caller still waits for its final outcome."""
        return not self.final_responses and not self.disconnected

    @property
    def tier(self) -> int:
        """Return the tier of the class; 0 is the highest."""
        return CLASSES.index(self.call.class_name)

    def token_texts(self) -> list[str]:
        """Return the tokens of the answer."""
        return [f"{self.request_id}.{number} " for number in range(self.output_tokens)]

    def expected_body(self) -> bytes:
        """Return the complete answer of this request."""
        if self.call.kind is CallKind.PLAIN:
            return f"{self.call.workspace}:{self.call.key or self.request_id}".encode()
        return b"R" + "".join(self.token_texts()).encode() + b"F"


@define(eq=False)
class Run:
    """One attempt as its upstream sees it; ``saw`` is None while nothing is certain."""

    start: StartAttempt
    caller: Caller
    host: NodeId
    boot_number: int
    reached: bool | None = None
    active: bool = True  # The entry counts on it.
    in_progress: bool = False  # The upstream works on it.

    def may_have_reached(self) -> bool:
        """Return whether the upstream saw, or may have seen, a byte of the call."""
        return self.reached is not False


@define
class Oracle:
    """Callers, runs and accepted versions, with the checks on them."""

    callers: dict[RequestId, Caller] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    leaving_ms: dict[UpstreamId, float] = field(factory=dict)
    accepted_versions: dict[int, tuple[str, float]] = field(factory=dict)
    arrivals_ms: dict[tuple[OwnerKey, RequestId], float] = field(factory=dict)
    grants: dict[OwnerKey, list[tuple[float, Caller]]] = field(factory=dict)
    healthy_since_ms: float = 0.0  # Since then the network delivers.

    # Callers.

    def check_response(self, effect: Any, now_ms: float) -> None:
        """Check P3 and P4 for one response."""
        caller = self.callers[effect.request_id]
        require(caller.open, "P3", f"{effect} after the end of the request.")
        match effect:
            case RespondHead():
                caller.head_count += 1
                require(caller.head_count == 1, "P3", f"{caller.request_id} got two heads.")
            case RespondChunk():
                caller.first_ms = now_ms if caller.first_ms < 0.0 else caller.first_ms
                caller.received_body += effect.data
                whole = caller.expected_body().startswith(caller.received_body)
                require(whole, "P3", f"{caller.request_id} got {caller.received_body!r}.")
            case RespondEnd():
                caller.final_responses.append(effect)
                caller.ended_ms = now_ms
                whole = caller.received_body == caller.expected_body() and caller.head_count == 1
                require(whole, "P3", f"{caller.request_id} ended with {caller.received_body!r}.")
            case RespondFailure():
                caller.final_responses.append(effect)
                self._check_failure(caller, effect, now_ms)

    def _check_failure(self, caller: Caller, failure: RespondFailure, now_ms: float) -> None:
        reached = any(run.caller is caller and run.may_have_reached() for run in self.runs)
        name = caller.request_id
        if failure.outcome is Outcome.NOT_RUN:
            require(not reached, "P4", f"{name} was not_run, but an upstream saw it.")
        if failure.outcome is Outcome.FAILED:
            require(reached, "P4", f"{name} failed, but no upstream saw it.")
        require(failure.outcome is not Outcome.COMPLETED, "P4", f"{name} failed as completed.")
        cut = failure.reason is Reason.DRAINING and not caller.draining_on_arrival
        require(not cut, "P7", f"{name} was cut by the drain of {caller.entry}.")
        text = f"{name} of the lowest class waited and got {failure} at {now_ms}."
        require(not caller.must_complete, "P2", text)

    # Attempts.

    def add_attempt(self, run: Run, now_ms: float) -> None:
        """Check P3, P5 and P6 for a new attempt, and take it in."""
        caller, start = run.caller, run.start
        require(caller.open, "P3", f"{start.request_id} runs after its end.")
        text = "".join(caller.token_texts()[: start.delivered_tokens])
        require(start.delivered_text == text, "P3", f"{start} continues a wrong text.")
        earlier = [item for item in self.runs if item.caller is caller]
        both = any(item.active for item in earlier)
        require(not both, "P3", f"{start.request_id} has two attempts at a time.")
        left_ms = self.leaving_ms.get(start.upstream, now_ms)
        late_ms = now_ms - max(left_ms, self.healthy_since_ms)
        text = f"{start.upstream} got {start.request_id} {late_ms} ms after it began to leave."
        require(late_ms <= SPREAD_MS, "P6", text)
        self.runs.append(run)
        self.check_at_most_once(run)

    def check_at_most_once(self, run: Run) -> None:
        """Check P5 for the key of an attempt."""
        if run.caller.call.repeatable:
            return
        name = _key(run)
        reached = [
            item
            for item in self.runs
            if not item.caller.call.repeatable and _key(item) == name and item.may_have_reached()
        ]
        require(len(reached) <= 1, "P5", f"The key {name} may have run {len(reached)} times.")

    def check_cancelled(self, host: NodeId) -> None:
        """Check that no work goes on for a caller that is gone or has its answer."""
        for run in self.runs:
            idle = run.active and run.host == host and not run.caller.open
            require(not idle, "P3", f"{run.start.request_id} runs on without its caller.")

    # Owners.

    def check_admission(
        self, owner: OwnerKey, granted: list[RequestId], refused: list[RequestId], now_ms: float
    ) -> None:
        """Check P1 for the grants and refusals that an owner made in one step.

        A request that is shed must not have waited while the same owner granted a slot to a
        later one of a lower tier. First attempts exclude no upstream, so any free slot fits.
        """
        given = self.grants.setdefault(owner, [])
        given += [(now_ms, self.callers[name]) for name in granted]
        for high in (self.callers[name] for name in refused):
            since_ms = self._arrival(owner, high)
            for at_ms, low in given:
                passed = at_ms >= since_ms and self._arrival(owner, low) > since_ms
                text = f"{owner} shed {high.request_id} and granted {low.request_id} at {at_ms}."
                require(not (passed and high.tier < low.tier), "P1", text)

    def _arrival(self, owner: OwnerKey, caller: Caller) -> float:
        """Return when a request reached an owner; at its own entry node it arrives at once."""
        at_once_ms = max(caller.arrived_ms, owner[2])
        return self.arrivals_ms.get((owner, caller.request_id), at_once_ms)

    # Configuration.

    def add_accepted_version(self, version: int, change_id: str, now_ms: float) -> None:
        """Take in an accepted change; a version is made by one change only."""
        first = self.accepted_versions.setdefault(version, (change_id, now_ms))
        text = f"Version {version} was accepted for {first[0]} and {change_id}."
        require(first[0] == change_id, "P8", text)

    def check_in_force(self, host: NodeId, version: int, started_ms: float, now_ms: float) -> None:
        """Check that a node has every version that was accepted some seconds ago."""
        for wanted, (_, accepted_ms) in self.accepted_versions.items():
            late_ms = now_ms - max(accepted_ms, started_ms, self.healthy_since_ms)
            text = f"{host} has version {version} {late_ms} ms after {wanted} was accepted."
            require(version >= wanted or late_ms <= SPREAD_MS, "P8", text)


def _key(run: Run) -> tuple[str, str]:
    call = run.caller.call
    return call.workspace, call.key or run.start.request_id
