"""Hypothesis state machine for the data folder, on real files; the oracle is a list of records."""

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
SEGMENT_BYTES = 400  # A few frames, so that segments begin and end often.


class DiskMachine(RuleBasedStateMachine):
    """A folder that is written, torn and opened again."""

    def __init__(self) -> None:
        super().__init__()
        self.path = Path(tempfile.mkdtemp(prefix="goldcrestridge-"))
        self.records: list[Record] = []
        self.snapshot: Snapshot | None = None
        self.term = 1
        self.folder = self._open()[0]
        self.incarnation = self.folder.replica

    def _open(self) -> tuple[Folder, Recovered]:
        """Open and read the folder."""
        folder = open_folder(self.path, NODE, SEGMENT_BYTES)
        return folder, folder.load()

    def expected(self) -> Recovered:
        """Return what the written records amount to."""
        return recover(self.snapshot, self.records)

    def write(self, *records: Record) -> None:
        """Write records and note them."""
        self.folder.perform(WriteLog(records, 1))
        self.records.extend(records)

    @rule(count=st.integers(1, 8), back=st.integers(0, 3), size=st.integers(0, 100))
    def append(self, count: int, back: int, size: int) -> None:
        """Append entries, in place of some that are not covered by the snapshot."""
        recovered = self.expected()
        least = self.snapshot.index if self.snapshot else 0
        first = max(least, recovered.entries.last_index - back) + 1
        self.term += int(back > 0)
        entries = [
            LogEntry(index, self.term, EntryKind.COMMAND, 0.0, b"x" * size)
            for index in range(first, first + count)
        ]
        self.write(HardState(self.term, None), *entries)

    @rule(vote=st.booleans())
    def vote(self, vote: bool) -> None:
        """Enter a term, with or without a vote."""
        self.term += 1
        self.write(HardState(self.term, self.folder.replica if vote else None))

    @precondition(lambda self: self.expected().entries.items)
    @rule(kept=st.integers(0, 5))
    def compact(self, kept: int) -> None:
        """Write a snapshot of the entries and remove those before it."""
        entries = self.expected().entries
        index = entries.last_index
        membership = LogMembership("g", (self.folder.replica,))
        self.snapshot = Snapshot(index, entries.last_term, 0.0, membership, b"state")
        self.folder.perform(WriteSnapshot(self.snapshot, 1))
        self.folder.perform(TruncateLog(max(entries.base_index, index - kept) + 1))

    @rule(ahead=st.integers(1, 9))
    def install(self, ahead: int) -> None:
        """Continue after a snapshot that the entries do not lead to."""
        index = self.expected().entries.last_index + ahead
        self.term += 1
        membership = LogMembership("g", (self.folder.replica,))
        self.snapshot = Snapshot(index, self.term, 0.0, membership, b"other")
        self.folder.perform(WriteSnapshot(self.snapshot, 1))
        self.write(LogReset(index, self.term))

    @rule(torn=st.integers(0, 60), zeros=st.booleans(), begun=st.booleans())
    def crash(self, torn: int, zeros: bool, begun: bool) -> None:
        """Stop during a write that is not synced and open the folder again."""
        self.folder.close()
        lost = encode_frame((HardState(99, None), HardState(99, None)))[:torn]
        segments = sorted(self.path.glob("log-*"))
        if begun or not segments:
            number = int(segments[-1].name[4:]) + 1 if segments else 1
            segments.append(self.path / f"log-{number:012d}")
        with segments[-1].open("ab") as file:
            file.write(bytes(torn) if zeros else lost)
        (self.path / "snapshot.tmp").write_bytes(b"half")
        self.folder, recovered = self._open()
        expected = self.expected()
        require(self.folder.replica == self.incarnation, "The identity changed.")
        require(recovered.hard_state == expected.hard_state, "Term or vote differ.")
        require(recovered.snapshot == expected.snapshot, "The snapshot differs.")
        least = self.snapshot.index if self.snapshot else 0
        found, known = (
            [entry for entry in state.entries.items if entry.index > least]
            for state in (recovered, expected)
        )
        require(found == known, "The entries behind the snapshot differ.")

    def teardown(self) -> None:
        """Open the folder once more and remove it."""
        self.crash(20, False, False)
        self.folder.close()
        shutil.rmtree(self.path)
