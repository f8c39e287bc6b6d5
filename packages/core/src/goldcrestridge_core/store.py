"""State machine of the replicated log: configuration, claims, leases and a versioned document.

Commands are idempotent by their own ids (change id, claimant, session and fencing number), so
results are not stored by proposal id. Store time is the largest stamp of the entries applied so
far.
"""

from __future__ import annotations

from typing import Any

from attrs import Factory, define
from returns.result import Success

from goldcrestridge_core import changes, claims, codec, leases, versions
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.store_types import (
    AcquireLease,
    ApplyConfig,
    BeginClaim,
    CommandRefused,
    ConfigAnswer,
    ExpireLease,
    FinishClaim,
    QueryConfig,
    QueryLease,
    ReleaseLease,
    StoreState,
)

COMMANDS = (
    ApplyConfig,
    BeginClaim,
    FinishClaim,
    AcquireLease,
    ReleaseLease,
    ExpireLease,
    versions.ReplaceDocument,
)


@define
class Store:
    """Deterministic state machine; ``validate`` must behave the same on all replicas."""

    validate: changes.Validate
    time_ms: float = 0.0
    changes: changes.Changes = Factory(changes.Changes)
    claims: claims.Claims = Factory(claims.Claims)
    leases: leases.Leases = Factory(leases.Leases)
    versions: versions.Versions = Factory(versions.Versions)

    def refuse(self, command: bytes) -> bytes | None:
        """Return None for a command of the store, otherwise an encoded CommandRefused."""
        decoded = codec.decode(command)
        if not isinstance(decoded, Success):
            return codec.encode(CommandRefused(decoded.failure().reason))
        if not isinstance(decoded.unwrap(), COMMANDS):
            return codec.encode(CommandRefused("The message is not a command of the store."))
        return None

    def apply(self, command: bytes, index: int, stamp_ms: float) -> bytes:
        """Apply a committed command and return its encoded result.

        Raise InvariantError for a command that this build cannot decode: skipping it would make
        this replica diverge from the others.
        """
        decoded = codec.decode(command)
        if not isinstance(decoded, Success):
            raise InvariantError(f"Log entry {index} cannot be decoded: {decoded.failure().reason}")
        self.time_ms = max(self.time_ms, stamp_ms)
        claims.advance_horizon(self.claims, self.time_ms)
        return codec.encode(self.apply_command(decoded.unwrap()))

    def apply_command(self, command: Any) -> Any:
        """Apply a decoded command at the current store time and return its result."""
        match command:
            case ApplyConfig():
                return self._apply_config(command)
            case BeginClaim():
                return claims.begin(self.claims, command, self.time_ms)
            case FinishClaim():
                return claims.finish(self.claims, command, self.time_ms)
            case AcquireLease():
                return leases.acquire(self.leases, command)
            case ReleaseLease():
                return leases.release(self.leases, command)
            case ExpireLease():
                return leases.expire(self.leases, command)
            case versions.ReplaceDocument():
                return self.versions.replace(command)
        raise InvariantError(f"The message type {type(command).__name__} is no store command.")

    def _apply_config(self, command: ApplyConfig) -> Any:
        """Apply a configuration and adopt its claim retention."""
        result, check = changes.apply_config(self.changes, command, self.validate)
        if check is not None and check.claim_retention_ms is not None:
            self.claims.retention_ms = check.claim_retention_ms
        return result

    def query(self, request: bytes) -> bytes:
        """Return the encoded result of QueryConfig, QueryLease or QueryDocument."""
        decoded = codec.decode(request)
        match decoded.value_or(None):
            case QueryConfig(have_version=have_version):
                config = self.changes
                document = b"" if have_version == config.version else config.document
                return codec.encode(ConfigAnswer(config.version, config.digest, document))
            case QueryLease(resource=resource):
                return codec.encode(leases.current_holder(self.leases, resource, granted=True))
            case versions.QueryDocument():
                return codec.encode(self.versions.current)
        return codec.encode(CommandRefused("The message is not a query of the store."))

    def snapshot(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        config = self.changes
        state = StoreState(
            self.time_ms,
            config.version,
            config.digest,
            config.document,
            tuple(config.versions),
            tuple(config.accepted.values()),
            tuple(config.refused.values()),
            self.claims.retention_ms,
            self.claims.horizon_ms,
            tuple(record for _, record in sorted(self.claims.records.items())),
            self.leases.fencing,
            tuple(record for _, record in sorted(self.leases.records.items())),
            self.versions.current,
        )
        return codec.encode(state)

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot; raise InvariantError if it cannot be decoded."""
        decoded = codec.decode(state)
        if not isinstance(decoded, Success):
            raise InvariantError(
                f"The store snapshot cannot be decoded: {decoded.failure().reason}"
            )
        saved: StoreState = decoded.unwrap()
        self.time_ms = saved.time_ms
        self.changes = changes.Changes(
            saved.version,
            saved.digest,
            saved.document,
            list(saved.versions),
            {record.change_id: record for record in saved.accepted},
            {record.change_id: record for record in saved.refused},
        )
        self.claims = claims.Claims(saved.retention_ms, saved.horizon_ms)
        for record in saved.claims:
            claims.put(self.claims, record)
        records = {record.resource: record for record in saved.leases}
        self.leases = leases.Leases(saved.fencing, records)
        self.versions = versions.Versions(saved.versioned)
