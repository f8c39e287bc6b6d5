"""Leases in the store, and the leader's timer that expires them.

Fencing numbers come from one counter for all resources, so a lease that is released leaves
nothing behind and its numbers are still never used again.
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

# Covers a renewal on its way and clocks that run at different rates.
EXPIRY_MARGIN_MS = 500.0


@define
class Leases:
    """All held leases and the last fencing number given."""

    fencing: int = 0
    records: dict[str, LeaseRecord] = Factory(dict)


def acquire(leases: Leases, command: AcquireLease) -> LeaseResult:
    """Grant or renew a lease unless another node holds it."""
    record = leases.records.get(command.resource)
    if record is not None and record.holder != command.holder:
        return LeaseResult(False, record.holder, record.fencing)
    same = record is not None and record.session == command.session
    if command.fencing and (record is None or not same or record.fencing != command.fencing):
        return current_holder(leases, command.resource, granted=False)
    if record is None or not same:
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
    """Tell the holder of a lease, and the last fencing number given to it."""
    record = leases.records.get(resource)
    if record is None:
        return LeaseResult(False, None, 0)
    return LeaseResult(granted, record.holder, record.fencing)


def release(leases: Leases, command: ReleaseLease) -> LeaseResult:
    """End a lease if the sender holds it under this number."""
    record = leases.records.get(command.resource)
    if record is not None and (record.holder, record.fencing) == (command.holder, command.fencing):
        del leases.records[command.resource]
    return current_holder(leases, command.resource, granted=False)


def expire(leases: Leases, command: ExpireLease) -> LeaseResult:
    """End a lease that was not renewed since the leader looked."""
    record = leases.records.get(command.resource)
    if record is not None and (record.fencing, record.renewals) == (
        command.fencing,
        command.renewals,
    ):
        del leases.records[command.resource]
    return current_holder(leases, command.resource, granted=False)


@define
class LeaseTimer:
    """Monotonic times of the leases as seen by this leader; empty on any other replica."""

    margin_ms: float = EXPIRY_MARGIN_MS
    first_seen: dict[str, tuple[LeaseRecord, float]] = Factory(dict)

    def expirations_due(self, leases: Leases, leads: bool, now_ms: float) -> list[ExpireLease]:
        """Return the leases to expire; a new leader grants each its whole duration again."""
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
        """Return when this state of a lease was first seen."""
        known = self.first_seen.get(record.resource)
        return known if known is not None and known[0] == record else (record, now_ms)

    def next_deadline_ms(self) -> float | None:
        """Return when the next lease would expire."""
        times = [since + record.duration_ms for record, since in self.first_seen.values()]
        return min(times) + self.margin_ms if times else None
