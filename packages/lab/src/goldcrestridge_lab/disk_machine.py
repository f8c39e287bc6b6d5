"""Hypothesis state machine of the data folder on real files; its model is a list of records."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from goldcrestridge_core.log_records import Record, Recovered, recover
from goldcrestridge_core.log_types import (
    EntryKind,
    HardState,
    LogEntry,
    LogMembership,
    LogReset,
    Snapshot,
    TruncateLog,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId
from goldcrestridge_lab.store_machine import require
from goldcrestridge_node.disk import Folder, encode_frame, open_folder

NODE = NodeId("n1")
SEGMENT_BYTES = 400  # A few frames, so that new segments begin often.


class DiskMachine(RuleBasedStateMachine):
    """A data folder that is written, crashes in the middle of a write, and is recovered."""

    def __init__(self) -> None:
        super().__init__()
        self.path = Path(tempfile.mkdtemp(prefix="goldcrestridge-"))
        self.records: list[Record] = []
        self.snapshot: Snapshot | None = None
        self.term = 1
        self.folder = self._open()[0]
        self.incarnation = self.folder.replica

    def _open(self) -> tuple[Folder, Recovered]:
        """Open the folder and recover its state."""
        folder = open_folder(self.path, NODE, SEGMENT_BYTES)
        return folder, folder.load()

    def expected_state(self) -> Recovered:
        """Return the state that recovery must find."""
        return recover(self.snapshot, self.records)

    def write(self, *records: Record) -> None:
        """Write records to the folder and to the model."""
        self.folder.perform(WriteLog(records, 1))
        self.records.extend(records)

    @rule(count=st.integers(1, 8), back=st.integers(0, 3), size=st.integers(0, 100))
    def append(self, count: int, back: int, size: int) -> None:
        """Append entries after removing up to ``back`` entries not covered by the snapshot."""
        recovered = self.expected_state()
        snapshot_index = self.snapshot.index if self.snapshot else 0
        first = max(snapshot_index, recovered.entries.last_index - back) + 1
        self.term += int(back > 0)
        entries = [
            LogEntry(index, self.term, EntryKind.COMMAND, 0.0, b"x" * size)
            for index in range(first, first + count)
        ]
        self.write(HardState(self.term, None), *entries)

    @rule(granted=st.booleans())
    def vote(self, granted: bool) -> None:
        """Write a new term, with or without a vote."""
        self.term += 1
        self.write(HardState(self.term, self.folder.replica if granted else None))

    @precondition(lambda self: self.expected_state().entries.items)
    @rule(kept=st.integers(0, 5))
    def compact(self, kept: int) -> None:
        """Write a snapshot at the last entry and truncate the log, except for ``kept`` entries."""
        entries = self.expected_state().entries
        index = entries.last_index
        membership = LogMembership("g", (self.folder.replica,))
        self.snapshot = Snapshot(index, entries.last_term, 0.0, membership, b"state")
        self.folder.perform(WriteSnapshot(self.snapshot, 1))
        self.folder.perform(TruncateLog(max(entries.base_index, index - kept) + 1))

    @rule(ahead=st.integers(1, 9))
    def install(self, ahead: int) -> None:
        """Install a snapshot that is ahead of the entries, and reset the log to it."""
        index = self.expected_state().entries.last_index + ahead
        self.term += 1
        membership = LogMembership("g", (self.folder.replica,))
        self.snapshot = Snapshot(index, self.term, 0.0, membership, b"other")
        self.folder.perform(WriteSnapshot(self.snapshot, 1))
        self.write(LogReset(index, self.term))

    @rule(torn_bytes=st.integers(0, 60), zeros=st.booleans(), new_segment=st.booleans())
    def crash(self, torn_bytes: int, zeros: bool, new_segment: bool) -> None:
        """Crash during a write that is not synced, and recover the folder."""
        self.folder.close()
        torn_frame = encode_frame((HardState(99, None), HardState(99, None)))[:torn_bytes]
        segments = sorted(self.path.glob("log-*"))
        if new_segment or not segments:
            number = int(segments[-1].name[4:]) + 1 if segments else 1
            segments.append(self.path / f"log-{number:012d}")
        with segments[-1].open("ab") as file:
            file.write(bytes(torn_bytes) if zeros else torn_frame)
        (self.path / "snapshot.tmp").write_bytes(b"half")
        self.folder, recovered = self._open()
        expected = self.expected_state()
        require(self.folder.replica == self.incarnation, "The incarnation changed.")
        require(recovered.hard_state == expected.hard_state, "The recovered term or vote differs.")
        require(recovered.snapshot == expected.snapshot, "The recovered snapshot differs.")
        snapshot_index = self.snapshot.index if self.snapshot else 0
        found, wanted = (
            [entry for entry in state.entries.items if entry.index > snapshot_index]
            for state in (recovered, expected)
        )
        require(found == wanted, "The recovered entries after the snapshot differ.")

    def teardown(self) -> None:
        """Recover the folder once more and remove it."""
        self.crash(20, False, False)
        self.folder.close()
        shutil.rmtree(self.path)
