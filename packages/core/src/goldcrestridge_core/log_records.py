"""In-memory entries of a replica, and their recovery from the records on disk."""

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
    """Consecutive entries that follow ``base_index``; earlier ones are compacted."""

    base_index: int = 0
    base_term: int = 0
    items: list[LogEntry] = Factory(list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the base if there are none."""
        return self.base_index + len(self.items)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base if there are none."""
        return self.items[-1].term if self.items else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry or base at ``index``, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.items[index - self.base_index - 1].term
        return None

    def at(self, index: int) -> LogEntry:
        """Return the entry at ``index``, which must be held."""
        return self.items[index - self.base_index - 1]

    def after(self, index: int, limit: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries after ``index`` within both limits, but at least one if there are any."""
        start = index - self.base_index
        selected: list[LogEntry] = []
        size = 0
        for entry in self.items[start : start + limit]:
            size += len(entry.data)
            if selected and size > limit_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entry: LogEntry) -> None:
        """Append the next entry; one at an index already held replaces it and all later ones.

        Raise StorageError if the entry is at or before the base, or would leave a gap.
        """
        if not self.base_index < entry.index <= self.last_index + 1:
            raise StorageError(
                f"Entry {entry.index} does not fit the entries after {self.base_index}"
                f" up to {self.last_index}."
            )
        del self.items[entry.index - self.base_index - 1 :]
        self.items.append(entry)

    def compact(self, index: int) -> None:
        """Drop the entries up to and including ``index``."""
        term = self.term_at(index)
        if term is None or index == self.base_index:
            return
        del self.items[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and continue after ``index``."""
        self.items.clear()
        self.base_index = index
        self.base_term = term


@frozen
class Recovered:
    """Durable state of a replica as read at startup."""

    hard_state: HardState = Factory(lambda: HardState(0, None))
    snapshot: Snapshot | None = None
    entries: Entries = Factory(Entries)
    reset: LogReset | None = None  # Must be written before any further entry.


def membership_of(entry: LogEntry) -> LogMembership | None:
    """Return the membership of a membership entry, or None for other kinds."""
    if entry.kind is not EntryKind.MEMBERSHIP:
        return None
    membership: LogMembership = codec.decode(entry.data).unwrap()
    return membership


def recover(snapshot: Snapshot | None, records: Iterable[Record]) -> Recovered:
    """Rebuild the state of a replica from disk; raise StorageError if entries are missing."""
    hard = HardState(0, None)
    entries = Entries()
    has_base = False
    for record in records:
        if isinstance(record, HardState):
            hard = record
        elif isinstance(record, LogReset):
            entries.reset(record.index, record.term)
            has_base = True
        else:
            if not has_base:
                entries.reset(record.index - 1, 0)
                has_base = True
            elif record.index <= entries.base_index:
                # The entry replaces earlier ones, some of which were removed with their segment.
                entries.reset(record.index - 1, 0)
            entries.append(record)
    return Recovered(hard, snapshot, *_align_with_snapshot(snapshot, entries))


def _align_with_snapshot(
    snapshot: Snapshot | None, entries: Entries
) -> tuple[Entries, LogReset | None]:
    """Align the entries with the snapshot, dropping them if they do not match it."""
    index = snapshot.index if snapshot else 0
    term = snapshot.term if snapshot else 0
    if entries.base_index > index:
        raise StorageError(
            f"Entries {index + 1} to {entries.base_index} are missing between the snapshot"
            f" and the log."
        )
    if entries.base_index == index:
        entries.base_term = term
        return entries, None
    if entries.term_at(index) == term:
        # Keep entries before the snapshot for replicas that lag behind. The term of the base is
        # known only for an entry that is held, so the first entry becomes the base.
        entries.compact(entries.base_index + 1)
        return entries, None
    # The snapshot was received from a leader, and a crash occurred before the reset was written.
    entries.reset(index, term)
    return entries, LogReset(index, term)
