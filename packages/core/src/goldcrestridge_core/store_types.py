"""Commands, results, stored state and queries of the store."""

from __future__ import annotations

import enum

from attrs import Factory, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import Headers, NodeId, Outcome
from goldcrestridge_core.versions import VersionedDocument

# Commands and their results.


@message
@frozen
class ApplyConfig:
    """Replace the configuration if ``base_version`` is current; idempotent by ``change_id``."""

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
    """Result of ApplyConfig: the version created or, on conflict, the current version."""

    status: ApplyStatus
    version: int
    digest: str
    detail: str = ""


@message
@frozen
class BeginClaim:
    """Claim an idempotency key before the call runs.

    ``issued_ms`` is the wall time contained in the key. ``claimant`` identifies the attempt of the
    entry node, so that a retried command gets the same result.
    """

    workspace: str
    service: str
    key: str
    body_digest: str
    issued_ms: float
    claimant: str


class ClaimState(enum.Enum):
    """State of a claim as reported to an entry node."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    EXPIRED = "expired"


@message
@frozen
class ClaimResult:
    """Result of BeginClaim or FinishClaim; status, headers and body are set for RECORDED."""

    state: ClaimState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class FinishClaim:
    """Record the outcome of a claimed call: its answer, not run (frees the key) or unknown."""

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

    ``session`` identifies the process of the holder: if the same session acquires the lease again
    it gets the same fencing number, while a new session gets a new number.
    """

    resource: str
    holder: NodeId
    duration_ms: float
    fencing: int = 0
    session: str = ""


@message
@frozen
class ReleaseLease:
    """Release a lease before it expires."""

    resource: str
    holder: NodeId
    fencing: int


@message
@frozen
class ExpireLease:
    """Expire a lease that was not renewed; proposed by the leader only.

    ``renewals`` is the count that the leader saw, so that a renewal committed earlier takes
    precedence.
    """

    resource: str
    fencing: int
    renewals: int = 0


@message
@frozen
class LeaseResult:
    """Result of a lease command or QueryLease; ``fencing`` increases with each new holder."""

    granted: bool
    holder: NodeId | None
    fencing: int


@message
@frozen
class CommandRefused:
    """Reply to bytes that are no command or query of the store; nothing was committed."""

    reason: str


# State of the store as written to snapshots.


@message
@frozen
class ChangeRecord:
    """Stored result of a change; ``request`` is the digest of the request with that id."""

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
    FREE = "free"  # The claimant did not run the call.


@message
@frozen
class ClaimRecord:
    """One claimed key; ``ended`` lists claimants that reported that they did not run the call."""

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
    """Complete state of the store."""

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


# Queries and their results.


@message
@frozen
class QueryConfig:
    """Read the configuration; omit the document if its version is ``have_version``."""

    have_version: int = 0


@message
@frozen
class ConfigAnswer:
    """Result of QueryConfig; ``document`` is empty if the caller has the current version."""

    version: int
    digest: str
    document: bytes


@message
@frozen
class QueryLease:
    """Read the holder of a lease; answered by LeaseResult."""

    resource: str
