"""Idempotency keys, and claims that make a call run at most once."""

from __future__ import annotations

import hashlib
import uuid

from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from goldcrestridge_core.call_types import Call, CallKind, RespondFailure
from goldcrestridge_core.store_types import BeginClaim, ClaimResult, ClaimState, FinishClaim
from goldcrestridge_core.types import (
    Count,
    Headers,
    NodeId,
    Outcome,
    ProposalDone,
    Reason,
    RequestId,
    SubmitProposal,
)

MAX_SKEW_MS = 300_000.0  # Bound on how far the clock of a caller may be ahead.
BEGIN_TIMEOUT_MS = 3_000.0  # Twice the time that a leader election of the log takes.
FINISH_TIMEOUT_MS = 5_000.0
# Until the outcome is recorded, later calls with the key are answered "in progress". Recording it
# is therefore retried for minutes.
MAX_FINISH_ATTEMPTS = 60
IN_PROGRESS_RETRY_AFTER_MS = 1_000.0
MAX_RECORDED_BYTES = 256 * 1024  # Records are replicated; longer bodies are stored as unknown.

_TIMESTAMP_SHIFT = 80  # The upper 48 of 128 bits.


@frozen
class KeyRefusal:
    """Why an idempotency key is refused; ``detail`` is a sentence for the caller."""

    reason: Reason
    detail: str


@frozen
class IdempotencyKey:
    """A valid key in canonical form, with the issue time encoded in it."""

    key: str
    issued_ms: float


def check_key(text: str, wall_ms: float, retention_ms: float) -> Result[IdempotencyKey, KeyRefusal]:
    """Validate a key against the wall time; return it with its issue time, or the refusal."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Failure(KeyRefusal(Reason.CLAIM_EXPIRED, _NOT_VERSION_7))
    # Another spelling of the same UUID must not create a second claim.
    if str(parsed) != text.lower() or parsed.version != 7:
        return Failure(KeyRefusal(Reason.CLAIM_EXPIRED, _NOT_VERSION_7))
    issued_ms = float(parsed.int >> _TIMESTAMP_SHIFT)
    if issued_ms < wall_ms - retention_ms:
        return Failure(
            KeyRefusal(
                Reason.CLAIM_EXPIRED,
                f"The idempotency key was issued more than {retention_ms:.0f} ms ago.",
            )
        )
    if issued_ms > wall_ms + MAX_SKEW_MS:
        return Failure(
            KeyRefusal(
                Reason.CLAIM_EXPIRED,
                f"The idempotency key was issued more than {MAX_SKEW_MS:.0f} ms in the future.",
            )
        )
    return Success(IdempotencyKey(str(parsed), issued_ms))


_NOT_VERSION_7 = "The idempotency key is not a UUID of version 7 in canonical form."


def needs_claim(call: Call) -> bool:
    """Return whether the call must be claimed before it runs."""
    return call.kind is CallKind.PLAIN and not call.repeatable and bool(call.key)


def body_digest(call: Call) -> str:
    """Return the SHA-256 of method, path, query and body."""
    digest = hashlib.sha256()
    for component in (call.method.encode(), call.path.encode(), call.query, call.body):
        digest.update(len(component).to_bytes(8, "big"))
        digest.update(component)
    return digest.hexdigest()


def claim_failure(request_id: RequestId, state: ClaimState) -> RespondFailure:
    """Return the failure response for a claim that was neither granted nor recorded."""
    outcome, reason, detail, retry_after_ms = _FAILURES[state]
    return RespondFailure(request_id, outcome, reason, detail, retry_after_ms)


# The outcome of "in progress" is unknown, since the call that holds the key may be running.
_FAILURES: dict[ClaimState, tuple[Outcome, Reason, str, float]] = {
    ClaimState.IN_PROGRESS: (
        Outcome.UNKNOWN,
        Reason.CLAIM_IN_PROGRESS,
        "A call with this idempotency key is in progress.",
        IN_PROGRESS_RETRY_AFTER_MS,
    ),
    ClaimState.UNKNOWN: (
        Outcome.UNKNOWN,
        Reason.UPSTREAM_LOST,
        "The call with this idempotency key may have run; it will not run again.",
        -1.0,
    ),
    ClaimState.CONFLICT: (
        Outcome.NOT_RUN,
        Reason.CLAIM_CONFLICT,
        "The idempotency key was used for another call.",
        -1.0,
    ),
    ClaimState.EXPIRED: (
        Outcome.NOT_RUN,
        Reason.CLAIM_EXPIRED,
        "The idempotency key is older than the retention period.",
        -1.0,
    ),
}


@define
class _PendingFinish:
    """A FinishClaim that is not confirmed yet, with the number of attempts to commit it."""

    command: FinishClaim
    attempts: int = 1


@define
class ClaimClient:
    """Submit the claims of one entry node, and record the outcomes of the claimed calls."""

    node: NodeId
    _open_claims: dict[RequestId, BeginClaim] = field(factory=dict)
    _abandoned: dict[RequestId, None] = field(factory=dict)
    _pending_finishes: dict[str, _PendingFinish] = field(factory=dict)

    def unrecorded(self) -> tuple[str, ...]:
        """Return the ids of unresolved proposals that a drain has to wait for.

        These are unconfirmed outcomes and claims of requests that no longer exist.
        """
        abandoned = (_begin_proposal_id(self.node, request_id) for request_id in self._abandoned)
        return (*self._pending_finishes, *abandoned)

    def begin(
        self, request_id: RequestId, call: Call, key: IdempotencyKey, timeout_ms: float
    ) -> SubmitProposal:
        """Return the proposal that claims the key for this request."""
        command = BeginClaim(
            workspace=call.workspace,
            service=call.service,
            key=key.key,
            body_digest=body_digest(call),
            issued_ms=key.issued_ms,
            claimant=f"{self.node}/{request_id}",
        )
        self._open_claims[request_id] = command
        timeout_ms = max(0.0, min(BEGIN_TIMEOUT_MS, timeout_ms))
        return SubmitProposal(_begin_proposal_id(self.node, request_id), command, timeout_ms)

    def abandon(self, request_id: RequestId) -> None:
        """Free the key once the result of its BeginClaim is known.

        An earlier FinishClaim could be committed before the BeginClaim and leave the key claimed.
        """
        self._abandoned[request_id] = None

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        status: int = 0,
        headers: Headers = (),
        body: bytes = b"",
    ) -> list[SubmitProposal]:
        """Return the proposal that records the outcome of a call, or none without a claim."""
        claim = self._open_claims.pop(request_id, None)
        if claim is None:
            return []
        command = FinishClaim(
            workspace=claim.workspace,
            service=claim.service,
            key=claim.key,
            claimant=claim.claimant,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
        )
        proposal_id = f"{self.node}/{request_id}/finish"
        self._pending_finishes[proposal_id] = _PendingFinish(command)
        return [SubmitProposal(proposal_id, command, FINISH_TIMEOUT_MS)]

    def handle_result(
        self, event: ProposalDone
    ) -> tuple[list[SubmitProposal | Count], tuple[RequestId, ClaimResult | None] | None]:
        """Apply the result of a proposal.

        Return the effects and, for a claim of a request that still exists, the request id with
        the result; the result is None if it is not known.
        """
        finish = self._pending_finishes.get(event.proposal_id)
        if finish is not None:
            return self._handle_finish_result(event, finish), None
        request_id = _request_id_of(event.proposal_id, self.node)
        if request_id not in self._open_claims:
            return [], None
        granted = _is_granted(event)
        if request_id in self._abandoned:
            del self._abandoned[request_id]
            return list(self._release(request_id, event, granted)), None
        if granted:
            return [], (request_id, event.result)
        return list(self._release(request_id, event, granted)), (request_id, event.result)

    def _release(
        self, request_id: RequestId, event: ProposalDone, granted: bool
    ) -> list[SubmitProposal]:
        """Free the claim of a request that does not run, if the claim is or may be held."""
        if granted or (event.result is None and event.sent):
            return self.finish(request_id, Outcome.NOT_RUN)
        self._open_claims.pop(request_id, None)
        return []

    def _handle_finish_result(
        self, event: ProposalDone, finish: _PendingFinish
    ) -> list[SubmitProposal | Count]:
        """Retry an unconfirmed FinishClaim under the same proposal id, up to a limit."""
        if event.result is None and finish.attempts < MAX_FINISH_ATTEMPTS:
            finish.attempts += 1
            return [SubmitProposal(event.proposal_id, finish.command, FINISH_TIMEOUT_MS)]
        del self._pending_finishes[event.proposal_id]
        return [Count("claims_unrecorded")] if event.result is None else []


def _begin_proposal_id(node: NodeId, request_id: RequestId) -> str:
    """Return the proposal id of the BeginClaim of a request."""
    return f"{node}/{request_id}/begin"


def _request_id_of(proposal_id: str, node: NodeId) -> RequestId:
    """Return the request id of a BeginClaim proposal, or an empty id for other proposals."""
    if not proposal_id.startswith(f"{node}/") or not proposal_id.endswith("/begin"):
        return RequestId("")
    return RequestId(proposal_id.removeprefix(f"{node}/").removesuffix("/begin"))


def _is_granted(event: ProposalDone) -> bool:
    """Return whether the result grants the claim."""
    return isinstance(event.result, ClaimResult) and event.result.state is ClaimState.GRANTED
