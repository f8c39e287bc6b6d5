"""Tests of a data folder whose disk refuses writes for a while, at each of its calls."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from attrs import define, field

from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.log_types import (
    EntryKind,
    HardState,
    LogEntry,
    LogMembership,
    Replica,
    Snapshot,
    TruncateLog,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId
from goldcrestridge_node.disk import Folder, open_folder

NODE = NodeId("n1")
SEGMENT_BYTES = 400  # A few frames, so that new segments begin often.
ENTRIES = 12
# More calls than one series of writes makes.
MAX_CALLS = 400
# A folder is usable again within so many attempts to open it.
MAX_ATTEMPTS = 2


@define(eq=False)
class FullDisk:
    """Refuse the calls that need room, from one call on and for a number of calls."""

    first: int
    count: int
    calls: int = 0
    _originals: dict[str, Callable[..., Any]] = field(factory=dict)

    def wrap(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Count and refuse the calls of the process."""
        for name in ("write", "fsync", "rename", "mkdir"):
            monkeypatch.setattr(os, name, self._wrapped(getattr(os, name)))
        monkeypatch.setattr(os, "open", self._wrapped_open(os.open))

    @property
    def ended(self) -> bool:
        """Return whether the disk has room again."""
        return self.calls >= self.first + self.count

    def _check(self) -> None:
        self.calls += 1
        if self.first <= self.calls - 1 < self.first + self.count:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _wrapped(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def checked(*args: Any, **options: Any) -> Any:
            self._check()
            return call(*args, **options)

        return checked

    def _wrapped_open(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def checked(path: Any, flags: int, *args: Any, **options: Any) -> Any:
            if flags & os.O_CREAT and not os.path.exists(path):
                self._check()
            return call(path, flags, *args, **options)

        return checked


@define(eq=False)
class Writer:
    """Write a log to a folder, which is opened again after each failure, as a control node does."""

    path: Path
    folder: Folder | None = None
    replica: Replica | None = None
    acknowledged: int = 0  # Highest index of a synced entry.
    last: int = 0  # Highest index in the log.
    snapshot: int = 0  # Index of the newest synced snapshot.

    def open(self) -> bool:
        """Open the folder and check what it holds; return False if it cannot be used now."""
        try:
            self.folder = open_folder(self.path, NODE, SEGMENT_BYTES)
        except OSError:
            return False
        self.folder.sync = os.fsync  # The call that refuses.
        try:
            recovered = self.folder.load()
        except OSError:
            self.close()
            return False
        assert self.replica in (None, self.folder.replica)
        self.replica = self.folder.replica
        found = recovered.entries.last_index
        kept = recovered.snapshot.index if recovered.snapshot is not None else 0
        assert max(found, kept) >= self.acknowledged
        assert kept >= self.snapshot
        self.last = max(found, kept)
        return True

    def close(self) -> None:
        """Close the folder."""
        if self.folder is not None:
            self.folder.close()
            self.folder = None

    def steps(self) -> Iterator[bool]:
        """Write entries, snapshots and truncations; yield after each attempt whether it worked."""
        while self.acknowledged < ENTRIES:
            if self.folder is None:
                yield self.open()
            if self.folder is None:
                continue
            index = self.last + 1
            entry = LogEntry(index, 1, EntryKind.COMMAND, 0.0, b"x" * 50)
            try:
                self.folder.perform(WriteLog((HardState(1, None), entry), 1))
                self.last = self.acknowledged = index
                if index % 4 == 0:
                    membership = LogMembership("g", (self.folder.replica,))
                    self.folder.perform(
                        WriteSnapshot(Snapshot(index, 1, 0.0, membership, b"s" * 200), 2)
                    )
                    self.snapshot = index
                    self.folder.perform(TruncateLog(index - 1))
                yield True
            except StorageError:
                self.close()
                yield False


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("count", [1, 2, 7])
def test_a_folder_is_usable_again_once_its_disk_has_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    # Guards against a replica that never comes back because one call failed while its disk was
    # full, and against lost entries, changed identities and descriptors that stay open.
    descriptors = open_descriptors()
    for first in range(MAX_CALLS):
        disk, writer = FullDisk(first, count), Writer(tmp_path / f"data-{first}" / "log")
        with monkeypatch.context() as patch:
            disk.wrap(patch)
            failed_since_room = 0
            for worked in writer.steps():
                failed_since_room += disk.ended and not worked
                assert failed_since_room <= MAX_ATTEMPTS, f"call {first}"
                assert disk.calls < 4 * MAX_CALLS, f"call {first}"
        writer.close()
        assert writer.open(), f"call {first}"
        writer.close()
        assert not list(writer.path.glob("*.tmp")), f"call {first}"
        if not disk.ended:
            break
    assert not disk.ended
    assert open_descriptors() == descriptors
