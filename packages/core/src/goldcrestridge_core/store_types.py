"""Commands, results, state and queries of the store applied from the replicated log."""

from __future__ import annotations

import enum

from attrs import Factory, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import Headers, NodeId, Outcome
from goldcrestridge_core.versions import VersionedDocument

# Replicated log: commands of the store and their results.


@message
@frozen
class ApplyConfig:
    """Replace the configuration if ``base_version`` is the current one; idempotent by change id."""

    change_id: str
    base_version: int
    operator: str
    document: bytes


class ApplyStatus(enum.Enum):
    """Result of an ApplyConfig command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@message
@frozen
class ApplyResult:
    """Answer to ApplyConfig: the version made or, on conflict, the current version."""

    status: ApplyStatus
    version: int
    digest: str
    detail: str = ""


@message
@frozen
class BeginClaim:
    """Claim an idempotency key before the call runs.

    ``issued_ms`` is the wall time in the key; ``claimant`` identifies the entry's attempt, so
    that the same command sent again gets the same answer.
    """

    workspace: str
    service: str
    key: str
    body_digest: str
    issued_ms: float
    claimant: str


class ClaimState(enum.Enum):
    """State of a claim as told to an entry."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    EXPIRED = "expired"


@message
@frozen
class ClaimResult:
    """Answer to BeginClaim or FinishClaim; status, headers and body belong to RECORDED."""

    state: ClaimState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class FinishClaim:
    """Record the fate of a claimed call: its answer, not run (frees the key), or unknown."""

    workspace: str
    service: str
    key: str
    claimant: str
    outcome: Outcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class AcquireLease:
    """Acquire or renew a lease; ``fencing`` is 0 to acquire or the held number to renew.

    ``session`` tells one process of the holder from the next: the same session that acquires
    again gets the same fencing number, a new one gets a new number.
    """

    resource: str
    holder: NodeId
    duration_ms: float
    fencing: int = 0
    session: str = ""


@message
@frozen
class ReleaseLease:
    """Give up a lease early."""

    resource: str
    holder: NodeId
    fencing: int


@message
@frozen
class ExpireLease:
    """Expire a lease that was not renewed; proposed by the leader only.

    ``renewals`` is the count that the leader saw, so that a renewal committed first wins.
    """

    resource: str
    fencing: int
    renewals: int = 0


@message
@frozen
class LeaseResult:
    """Answer to a lease command; ``fencing`` grows with every change of holder."""

    granted: bool
    holder: NodeId | None
    fencing: int


@message
@frozen
class CommandRefused:
    """Answer to a command that is not one of the store's; it was not committed."""

    reason: str


# State of the store, as kept in snapshots.


@message
@frozen
class ChangeRecord:
    """Answer to a change id; ``request`` is the digest of what was asked under it."""

    change_id: str
    request: str
    result: ApplyResult


@message
@frozen
class VersionRecord:
    """One accepted configuration version."""

    version: int
    change_id: str
    operator: str


class ClaimPhase(enum.Enum):
    """Phase of a claim in the store."""

    RUNNING = "running"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    FREE = "free"  # The claimant did not run it.


@message
@frozen
class ClaimRecord:
    """One claimed key; ``ended`` holds claimants that said they did not run it."""

    workspace: str
    service: str
    key: str
    body_digest: str
    issued_ms: float
    begun_ms: float
    claimant: str
    phase: ClaimPhase
    ended: tuple[str, ...] = ()
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class LeaseRecord:
    """One held lease."""

    resource: str
    holder: NodeId
    session: str
    fencing: int
    duration_ms: float
    renewals: int = 0


@message
@frozen
class StoreState:
    """Whole state of the store."""

    time_ms: float
    version: int
    digest: str
    document: bytes
    versions: tuple[VersionRecord, ...]
    accepted: tuple[ChangeRecord, ...]
    refused: tuple[ChangeRecord, ...]
    retention_ms: float
    horizon_ms: float
    claims: tuple[ClaimRecord, ...]
    fencing: int
    leases: tuple[LeaseRecord, ...]
    versioned: VersionedDocument = Factory(VersionedDocument)


# Queries of the store and their answers.


@message
@frozen
class QueryConfig:
    """Read the configuration if its version is above ``have_version``."""

    have_version: int = 0


@message
@frozen
class ConfigAnswer:
    """Answer to QueryConfig; ``document`` is empty if the asker has the current version."""

    version: int
    digest: str
    document: bytes


@message
@frozen
class QueryLease:
    """Read the holder of a lease; answered by LeaseResult."""

    resource: str
