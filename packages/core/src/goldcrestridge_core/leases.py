"""Leases in the store, and the timer with which the leader expires them.

Fencing numbers come from one counter for all resources, so that the record of a released lease can
be deleted without any of its numbers being reused.
"""

from __future__ import annotations

from attrs import Factory, define, evolve

from goldcrestridge_core.store_types import (
    AcquireLease,
    ExpireLease,
    LeaseRecord,
    LeaseResult,
    ReleaseLease,
)

# Covers a renewal in transit and clock drift.
EXPIRY_MARGIN_MS = 500.0


@define
class Leases:
    """Held leases by resource, and the last fencing number assigned."""

    fencing: int = 0
    records: dict[str, LeaseRecord] = Factory(dict)


def acquire(leases: Leases, command: AcquireLease) -> LeaseResult:
    """Grant or renew a lease unless another node holds it.

    A renewal is refused if its session or fencing number is not the current one.
    """
    record = leases.records.get(command.resource)
    if record is not None and record.holder != command.holder:
        return LeaseResult(False, record.holder, record.fencing)
    same_session = record is not None and record.session == command.session
    if command.fencing and (
        record is None or not same_session or record.fencing != command.fencing
    ):
        return current_holder(leases, command.resource, granted=False)
    if record is None or not same_session:
        leases.fencing += 1
        record = LeaseRecord(
            command.resource,
            command.holder,
            command.session,
            leases.fencing,
            command.duration_ms,
        )
    else:
        renewals = record.renewals + 1
        record = evolve(record, duration_ms=command.duration_ms, renewals=renewals)
    leases.records[command.resource] = record
    return LeaseResult(True, record.holder, record.fencing)


def current_holder(leases: Leases, resource: str, granted: bool) -> LeaseResult:
    """Return the holder of a lease and its fencing number, or 0 if the lease is not held."""
    record = leases.records.get(resource)
    if record is None:
        return LeaseResult(False, None, 0)
    return LeaseResult(granted, record.holder, record.fencing)


def release(leases: Leases, command: ReleaseLease) -> LeaseResult:
    """Release a lease if the sender holds it with this fencing number."""
    record = leases.records.get(command.resource)
    if record is not None and (record.holder, record.fencing) == (command.holder, command.fencing):
        del leases.records[command.resource]
    return current_holder(leases, command.resource, granted=False)


def expire(leases: Leases, command: ExpireLease) -> LeaseResult:
    """Expire a lease unless it was renewed after the leader proposed its expiry."""
    record = leases.records.get(command.resource)
    if record is not None and (record.fencing, record.renewals) == (
        command.fencing,
        command.renewals,
    ):
        del leases.records[command.resource]
    return current_holder(leases, command.resource, granted=False)


@define
class LeaseTimer:
    """Monotonic time at which this leader first saw each lease record; empty on followers."""

    margin_ms: float = EXPIRY_MARGIN_MS
    first_seen: dict[str, tuple[LeaseRecord, float]] = Factory(dict)

    def expirations_due(self, leases: Leases, leads: bool, now_ms: float) -> list[ExpireLease]:
        """Return commands to expire overdue leases; a new leader restarts each full duration."""
        if not leads:
            self.first_seen.clear()
            return []
        self.first_seen = {
            resource: self._first_seen(record, now_ms)
            for resource, record in leases.records.items()
        }
        return [
            ExpireLease(record.resource, record.fencing, record.renewals)
            for record, since_ms in self.first_seen.values()
            if now_ms - since_ms >= record.duration_ms + self.margin_ms
        ]

    def _first_seen(self, record: LeaseRecord, now_ms: float) -> tuple[LeaseRecord, float]:
        """Return the record with the time since which it has been seen unchanged."""
        earlier = self.first_seen.get(record.resource)
        return earlier if earlier is not None and earlier[0] == record else (record, now_ms)

    def next_deadline_ms(self) -> float | None:
        """Return the time at which the next lease is due to expire, or None."""
        times = [since_ms + record.duration_ms for record, since_ms in self.first_seen.values()]
        return min(times) + self.margin_ms if times else None
