"""Idempotency keys and claims of calls that run at most once."""

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

MAX_FUTURE_MS = 300_000.0  # Clocks of callers may be wrong by this much.
CLAIM_TIMEOUT_MS = 3_000.0  # Twice the election time of the log.
FINISH_TIMEOUT_MS = 5_000.0
# An unrecorded fate answers "in progress" to later calls, so its record is repeated for minutes.
FINISH_TRIES = 60
IN_PROGRESS_RETRY_MS = 1_000.0
MAX_RECORDED_BYTES = 256 * 1024  # Records are replicated; longer answers are kept as unknown.

_TIMESTAMP_SHIFT = 80  # The upper 48 of 128 bits.


@frozen
class KeyRefusal:
    """Why a key cannot be used; ``reason`` is a full sentence for the caller."""

    code: Reason
    reason: str


@frozen
class ClaimKey:
    """A checked key in canonical spelling with the issue time it carries."""

    key: str
    issued_ms: float


def check_key(text: str, wall_ms: float, retention_ms: float) -> Result[ClaimKey, KeyRefusal]:
    """Return the key and its issue time, or why it is refused."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Failure(KeyRefusal(Reason.CLAIM_EXPIRED, _NOT_VERSION_7))
    # Other spellings of the same key must not become a second claim.
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
    if issued_ms > wall_ms + MAX_FUTURE_MS:
        return Failure(
            KeyRefusal(
                Reason.CLAIM_EXPIRED,
                f"The idempotency key was issued more than {MAX_FUTURE_MS:.0f} ms in the future.",
            )
        )
    return Success(ClaimKey(str(parsed), issued_ms))


_NOT_VERSION_7 = "The idempotency key is not a UUID of version 7 in canonical form."


def needs_claim(call: Call) -> bool:
    """Return whether the call must be claimed before it runs."""
    return call.kind is CallKind.PLAIN and not call.repeatable and bool(call.key)


def body_digest(call: Call) -> str:
    """Return the SHA-256 of method, path, query and body."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.query, call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_failure(request_id: RequestId, state: ClaimState) -> RespondFailure:
    """Return the answer to a call whose claim was neither granted nor recorded."""
    outcome, reason, detail, retry_ms = _ANSWERS[state]
    return RespondFailure(request_id, outcome, reason, detail, retry_ms)


# "In progress" is answered as unknown, since the work of the key may be running.
_ANSWERS: dict[ClaimState, tuple[Outcome, Reason, str, float]] = {
    ClaimState.IN_PROGRESS: (
        Outcome.UNKNOWN,
        Reason.CLAIM_IN_PROGRESS,
        "A call with this idempotency key is in progress.",
        IN_PROGRESS_RETRY_MS,
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
class _Finish:
    """A fate that is not recorded yet."""

    command: FinishClaim
    tries: int = 1


@define
class Claims:
    """Submit claims of one entry and record their fate."""

    node: NodeId
    _begun: dict[RequestId, BeginClaim] = field(factory=dict)
    _abandoned: dict[RequestId, None] = field(factory=dict)
    _finishing: dict[str, _Finish] = field(factory=dict)

    def unrecorded(self) -> tuple[str, ...]:
        """Return the proposals of claims and fates that drained requests still wait for."""
        abandoned = (_begin_id(self.node, request_id) for request_id in self._abandoned)
        return (*self._finishing, *abandoned)

    def begin(
        self, request_id: RequestId, call: Call, key: ClaimKey, timeout_ms: float
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
        self._begun[request_id] = command
        timeout_ms = max(0.0, min(CLAIM_TIMEOUT_MS, timeout_ms))
        return SubmitProposal(_begin_id(self.node, request_id), command, timeout_ms)

    def abandon(self, request_id: RequestId) -> None:
        """Free the key as soon as the fate of its BeginClaim is known.

        A FinishClaim before that could be committed first and leave the key claimed.
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
        """Return the proposal that records the fate of a claimed call, if it was claimed."""
        begun = self._begun.pop(request_id, None)
        if begun is None:
            return []
        command = FinishClaim(
            workspace=begun.workspace,
            service=begun.service,
            key=begun.key,
            claimant=begun.claimant,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
        )
        proposal_id = f"{self.node}/{request_id}/finish"
        self._finishing[proposal_id] = _Finish(command)
        return [SubmitProposal(proposal_id, command, FINISH_TIMEOUT_MS)]

    def done(
        self, event: ProposalDone
    ) -> tuple[list[SubmitProposal | Count], tuple[RequestId, ClaimResult | None] | None]:
        """Apply a result; return effects and, for a claim, the request with its result or None."""
        finish = self._finishing.get(event.proposal_id)
        if finish is not None:
            return self._finish_done(event, finish), None
        request_id = _request_of(event.proposal_id, self.node)
        if request_id not in self._begun:
            return [], None
        granted = _granted(event)
        if request_id in self._abandoned:
            del self._abandoned[request_id]
            return list(self._release(request_id, event, granted)), None
        if granted:
            return [], (request_id, event.result)
        return list(self._release(request_id, event, granted)), (request_id, event.result)

    def _release(
        self, request_id: RequestId, event: ProposalDone, granted: bool
    ) -> list[SubmitProposal]:
        """Free a claim that is, or may be, held by a request that does not run."""
        if granted or (event.result is None and event.sent):
            return self.finish(request_id, Outcome.NOT_RUN)
        self._begun.pop(request_id, None)
        return []

    def _finish_done(self, event: ProposalDone, finish: _Finish) -> list[SubmitProposal | Count]:
        """Repeat an unconfirmed record under the same id, up to a limit."""
        if event.result is None and finish.tries < FINISH_TRIES:
            finish.tries += 1
            return [SubmitProposal(event.proposal_id, finish.command, FINISH_TIMEOUT_MS)]
        del self._finishing[event.proposal_id]
        return [Count("claims_unrecorded")] if event.result is None else []


def _begin_id(node: NodeId, request_id: RequestId) -> str:
    """Return the proposal id of a BeginClaim."""
    return f"{node}/{request_id}/begin"


def _request_of(proposal_id: str, node: NodeId) -> RequestId:
    """Return the request of a BeginClaim proposal, or an empty id for other proposals."""
    if not proposal_id.startswith(f"{node}/") or not proposal_id.endswith("/begin"):
        return RequestId("")
    return RequestId(proposal_id.removeprefix(f"{node}/").removesuffix("/begin"))


def _granted(event: ProposalDone) -> bool:
    """Return whether the result grants the claim."""
    return isinstance(event.result, ClaimResult) and event.result.state is ClaimState.GRANTED
