"""Entries of a replica in memory, and their recovery from the records on its disk."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import Factory, define, frozen

from goldcrestridge_core import codec
from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.log_types import (
    EntryKind,
    HardState,
    LogEntry,
    LogMembership,
    LogReset,
    Snapshot,
)

Record = HardState | LogEntry | LogReset


@define
class Entries:
    """Consecutive entries after ``base_index``, and the memberships among them."""

    base_index: int = 0
    base_term: int = 0
    items: list[LogEntry] = Factory(list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base."""
        return self.base_index + len(self.items)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base."""
        return self.items[-1].term if self.items else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None outside the entries and the base."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.items[index - self.base_index - 1].term
        return None

    def at(self, index: int) -> LogEntry:
        """Return the entry at an index that is held."""
        return self.items[index - self.base_index - 1]

    def after(self, index: int, limit: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries after ``index`` up to both limits, but at least one if there is one."""
        start = index - self.base_index
        chosen: list[LogEntry] = []
        size = 0
        for entry in self.items[start : start + limit]:
            size += len(entry.data)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: LogEntry) -> None:
        """Add the next entry; an entry at an index already held drops the rest first."""
        if not self.base_index < entry.index <= self.last_index + 1:
            raise StorageError(f"Entry {entry.index} does not follow entry {self.last_index}.")
        del self.items[entry.index - self.base_index - 1 :]
        self.items.append(entry)

    def compact(self, index: int) -> None:
        """Forget the entries up to and including ``index``."""
        term = self.term_at(index)
        if term is None or index == self.base_index:
            return
        del self.items[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Forget all entries and continue after ``index``."""
        self.items.clear()
        self.base_index = index
        self.base_term = term


@frozen
class Recovered:
    """Durable state of a replica as read at its start."""

    hard_state: HardState = Factory(lambda: HardState(0, None))
    snapshot: Snapshot | None = None
    entries: Entries = Factory(Entries)
    reset: LogReset | None = None  # To be written before any further entry.


def membership_of(entry: LogEntry) -> LogMembership | None:
    """Return the membership that an entry carries, if any."""
    if entry.kind is not EntryKind.MEMBERSHIP:
        return None
    membership: LogMembership = codec.decode(entry.data).unwrap()
    return membership


def recover(snapshot: Snapshot | None, records: Iterable[Record]) -> Recovered:
    """Rebuild a replica's state; raise StorageError if entries are missing."""
    hard = HardState(0, None)
    entries = Entries()
    started = False
    for record in records:
        if isinstance(record, HardState):
            hard = record
        elif isinstance(record, LogReset):
            entries.reset(record.index, record.term)
            started = True
        else:
            if not started:
                entries.reset(record.index - 1, 0)
                started = True
            elif record.index <= entries.base_index:
                # It replaces entries of which the first ones were removed with their segment.
                entries.reset(record.index - 1, 0)
            entries.append(record)
    return Recovered(hard, snapshot, *_align_with_snapshot(snapshot, entries))


def _align_with_snapshot(
    snapshot: Snapshot | None, entries: Entries
) -> tuple[Entries, LogReset | None]:
    """Join the entries to the snapshot, dropping those that do not continue it."""
    index = snapshot.index if snapshot else 0
    term = snapshot.term if snapshot else 0
    if entries.base_index > index:
        raise StorageError(
            f"Entries {index + 1} to {entries.base_index} are missing between snapshot and log."
        )
    if entries.base_index == index:
        entries.base_term = term
        return entries, None
    if entries.term_at(index) == term:
        # Entries up to the snapshot stay available for replicas that lag behind; the term of the
        # base is only known for entries that are held, so the first one becomes the base.
        entries.compact(entries.base_index + 1)
        return entries, None
    # The snapshot came from a leader and the crash hit before the reset was written.
    entries.reset(index, term)
    return entries, LogReset(index, term)
