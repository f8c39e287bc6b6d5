"""Idempotency key claims in the store: at most one execution per key.

A claim is identified by workspace, service and key. Its record is kept until the issue time of the
key is before the horizon, which is store time minus the retention and never decreases. Keys issued
before the horizon are refused, so that an evicted record cannot allow a second execution, even if
the retention is increased later.
"""

from __future__ import annotations

import heapq

from attrs import Factory, define, evolve

from goldcrestridge_core.store_types import (
    BeginClaim,
    ClaimPhase,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    FinishClaim,
)
from goldcrestridge_core.types import Outcome

DEFAULT_RETENTION_MS = 86_400_000.0
# Longer than any call may take; a claimant that has not finished by then is considered lost.
CLAIM_TIMEOUT_MS = 600_000.0
# Issue times further ahead of store time are refused; they would keep records beyond the retention.
MAX_ISSUE_AHEAD_MS = 300_000.0
# Bounds the size of a record.
MAX_ENDED_CLAIMANTS = 8

ClaimKey = tuple[str, str, str]


@define
class Claims:
    """Retained claims and the horizon before which keys are refused."""

    retention_ms: float = DEFAULT_RETENTION_MS
    horizon_ms: float = 0.0
    records: dict[ClaimKey, ClaimRecord] = Factory(dict)
    by_issue_time: list[tuple[float, ClaimKey]] = Factory(list)  # Min-heap; may hold stale pairs.


def claim_key(record: ClaimRecord | BeginClaim | FinishClaim) -> ClaimKey:
    """Return the key that identifies a claim."""
    return record.workspace, record.service, record.key


def put(claims: Claims, record: ClaimRecord) -> None:
    """Store a record until its issue time is before the horizon."""
    key = claim_key(record)
    previous = claims.records.get(key)
    claims.records[key] = record
    if previous is None or previous.issued_ms != record.issued_ms:
        heapq.heappush(claims.by_issue_time, (record.issued_ms, key))


def advance_horizon(claims: Claims, time_ms: float) -> None:
    """Advance the horizon with the store time and evict records issued before it."""
    claims.horizon_ms = max(claims.horizon_ms, time_ms - claims.retention_ms)
    while claims.by_issue_time and claims.by_issue_time[0][0] < claims.horizon_ms:
        _, key = heapq.heappop(claims.by_issue_time)
        record = claims.records.get(key)
        if record is not None and record.issued_ms < claims.horizon_ms:
            del claims.records[key]


def begin(claims: Claims, command: BeginClaim, time_ms: float) -> ClaimResult:
    """Grant a key unless another claimant may have run the call."""
    if not claims.horizon_ms <= command.issued_ms <= time_ms + MAX_ISSUE_AHEAD_MS:
        return ClaimResult(ClaimState.EXPIRED)
    record = claims.records.get(claim_key(command))
    if record is None:
        return _grant(claims, command, time_ms, ())
    if command.issued_ms > record.issued_ms:
        # The record must be retained as long as the latest issue time presented with its key.
        record = evolve(record, issued_ms=command.issued_ms)
        put(claims, record)
    if record.phase is ClaimPhase.FREE:
        if command.claimant in record.ended:
            return ClaimResult(ClaimState.EXPIRED)
        return _grant(claims, command, time_ms, record.ended, record.issued_ms)
    if command.body_digest != record.body_digest:
        return ClaimResult(ClaimState.CONFLICT)
    result = claim_result(record, time_ms)
    if result.state is ClaimState.IN_PROGRESS and command.claimant == record.claimant:
        return ClaimResult(ClaimState.GRANTED)
    return result


def _grant(
    claims: Claims,
    command: BeginClaim,
    time_ms: float,
    ended: tuple[str, ...],
    issued_ms: float = 0.0,
) -> ClaimResult:
    """Store a running claim and return its grant."""
    put(
        claims,
        ClaimRecord(
            command.workspace,
            command.service,
            command.key,
            command.body_digest,
            max(command.issued_ms, issued_ms),
            time_ms,
            command.claimant,
            ClaimPhase.RUNNING,
            ended,
        ),
    )
    return ClaimResult(ClaimState.GRANTED)


def claim_result(record: ClaimRecord, time_ms: float) -> ClaimResult:
    """Return the claim state as reported to an entry node that does not hold the claim."""
    match record.phase:
        case ClaimPhase.RECORDED:
            return ClaimResult(ClaimState.RECORDED, record.status, record.headers, record.body)
        case ClaimPhase.UNKNOWN:
            return ClaimResult(ClaimState.UNKNOWN)
        case ClaimPhase.FREE:
            return ClaimResult(ClaimState.EXPIRED)
        case ClaimPhase.RUNNING:
            timed_out = time_ms - record.begun_ms > CLAIM_TIMEOUT_MS
            return ClaimResult(ClaimState.UNKNOWN if timed_out else ClaimState.IN_PROGRESS)


def finish(claims: Claims, command: FinishClaim, time_ms: float) -> ClaimResult:
    """Record the outcome of a claimed call as reported by its claimant."""
    record = claims.records.get(claim_key(command))
    if command.outcome is Outcome.NOT_RUN:
        return _finish_not_run(claims, command, record, time_ms)
    if record is None:
        return ClaimResult(ClaimState.EXPIRED)
    if record.claimant != command.claimant or record.phase is not ClaimPhase.RUNNING:
        return claim_result(record, time_ms)
    if command.outcome is Outcome.UNKNOWN:
        record = evolve(record, phase=ClaimPhase.UNKNOWN)
    else:
        # This also completes a claim that timed out, since the answer of its only run is now known.
        record = evolve(
            record,
            phase=ClaimPhase.RECORDED,
            status=command.status,
            headers=command.headers,
            body=command.body,
        )
    put(claims, record)
    return claim_result(record, time_ms)


def _finish_not_run(
    claims: Claims, command: FinishClaim, record: ClaimRecord | None, time_ms: float
) -> ClaimResult:
    """Free a claim; a duplicate BeginClaim of the claimant that arrives later is not granted."""
    if record is None:
        # The BeginClaim may still be in transit, with any issue time up to the latest accepted one.
        record = ClaimRecord(
            command.workspace,
            command.service,
            command.key,
            "",
            time_ms + MAX_ISSUE_AHEAD_MS,
            time_ms,
            "",
            ClaimPhase.FREE,
        )
    is_holder = record.phase is ClaimPhase.RUNNING and record.claimant == command.claimant
    if is_holder and claim_result(record, time_ms).state is ClaimState.UNKNOWN:
        return ClaimResult(ClaimState.UNKNOWN)
    if is_holder:
        record = evolve(record, phase=ClaimPhase.FREE)
    if command.claimant not in record.ended:
        record = evolve(record, ended=(*record.ended, command.claimant)[-MAX_ENDED_CLAIMANTS:])
    put(claims, record)
    return claim_result(record, time_ms)
