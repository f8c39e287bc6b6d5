"""Tests of the data folder on real files: torn writes, corruption, failed syncs, identity, lock."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.log_records import Recovered
from goldcrestridge_core.log_types import (
    EntryKind,
    HardState,
    LogEntry,
    LogFailed,
    LogMembership,
    LogSynced,
    Replica,
    Snapshot,
    TruncateLog,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId
from goldcrestridge_node.disk import Folder, open_folder, perform_effects

NODE = NodeId("n1")


def entry(index: int, data: bytes = b"data") -> LogEntry:
    return LogEntry(index, 1, EntryKind.COMMAND, 0.0, data)


def snapshot(index: int) -> Snapshot:
    return Snapshot(index, 1, 0.0, LogMembership("g", (Replica(NODE, "i"),)), b"state")


def open_and_load(path: Path, segment_bytes: int = 1 << 20) -> tuple[Folder, Recovered]:
    folder = open_folder(path, NODE, segment_bytes)
    try:
        return folder, folder.load()
    except StorageError:
        folder.close()
        raise


def write(folder: Folder, *records: Any) -> None:
    folder.perform(WriteLog(records, 1))


def write_frames(path: Path, count: int) -> Path:
    folder, _ = open_and_load(path)
    for index in range(1, count + 1):
        write(folder, entry(index))
    folder.close()
    return path / "log-000000000001"


def indexes(recovered: Recovered) -> list[int]:
    return [item.index for item in recovered.entries.items]


def test_synced_records_are_recovered(tmp_path: Path) -> None:
    # Guards against a lost term, vote, entry or snapshot after a restart.
    vote = HardState(3, Replica(NODE, "other"))
    folder, recovered = open_and_load(tmp_path)
    assert recovered == Recovered()
    write(folder, vote, entry(1))
    write(folder, entry(2))
    folder.perform(WriteSnapshot(snapshot(1), 2))
    replica = folder.replica
    folder.close()
    folder, recovered = open_and_load(tmp_path)
    assert folder.replica == replica
    assert recovered.hard_state == vote
    assert recovered.snapshot == snapshot(1)
    assert recovered.entries.last_index == 2


@given(cut=st.integers(1, 200), garbage=st.binary(max_size=40))
def test_a_torn_tail_is_cut_and_writing_goes_on(cut: int, garbage: bytes) -> None:
    # Guards against a replica that cannot start after a crash during a write, and against new
    # frames that are appended to a torn one.
    with tempfile.TemporaryDirectory() as name:
        path = Path(name)
        file = write_frames(path, 3)
        size = file.stat().st_size
        remaining = file.read_bytes()[: max(size - cut % 80, size * 2 // 3 + 1)]
        file.write_bytes(remaining + garbage)
        folder, recovered = open_and_load(path)
        expected = [1, 2, 3] if len(remaining) == size else [1, 2]
        assert indexes(recovered) == expected
        write(folder, entry(expected[-1] + 1))
        folder.close()
        folder, recovered = open_and_load(path)
        assert indexes(recovered) == [*expected, expected[-1] + 1]
        folder.close()


@given(position=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_corruption_in_the_middle_is_an_error(position: int, bit: int) -> None:
    # Guards against entries that are lost silently because a damaged frame is taken for a torn
    # tail.
    with tempfile.TemporaryDirectory() as name:
        path = Path(name)
        file = write_frames(path, 3)
        data = bytearray(file.read_bytes())
        data[position % (len(data) * 2 // 3)] ^= 1 << bit
        file.write_bytes(data)
        with pytest.raises(StorageError, match="corrupt at byte"):
            open_and_load(path)


def test_a_damaged_snapshot_and_a_damaged_older_segment_are_errors(tmp_path: Path) -> None:
    # Guards against a replica that starts without entries that it has acknowledged.
    folder, _ = open_and_load(tmp_path, segment_bytes=1)
    write(folder, entry(1))
    write(folder, entry(2))
    folder.perform(WriteSnapshot(snapshot(1), 2))
    folder.close()
    for name in ("snapshot-00000000000000000001", "log-000000000001"):
        file = tmp_path / name
        intact = file.read_bytes()
        file.write_bytes(intact[:-1])
        with pytest.raises(StorageError, match="corrupt"):
            open_and_load(tmp_path)
        file.write_bytes(intact)
    (tmp_path / "log-000000000001").rename(tmp_path / "log-000000000000")
    with pytest.raises(StorageError, match="segment is missing"):
        open_and_load(tmp_path)


def test_a_failed_sync_is_never_retried(tmp_path: Path) -> None:
    # Guards against a second sync that succeeds although the kernel has dropped the dirty pages.
    folder, _ = open_and_load(tmp_path)
    write(folder, entry(1))
    calls: list[int] = []

    def failing_sync(fd: int) -> None:
        calls.append(fd)
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    folder.sync = failing_sync
    for _ in range(3):
        with pytest.raises(StorageError, match="Input/output error"):
            write(folder, entry(2))
    assert len(calls) == 1


def test_the_last_segment_is_rewritten_on_start(tmp_path: Path) -> None:
    # Guards against entries that are only in the page cache after a failed sync and a restart.
    file = write_frames(tmp_path, 2)
    before = file.stat().st_ino
    folder, recovered = open_and_load(tmp_path)
    assert file.stat().st_ino != before
    assert folder.synced_bytes == file.stat().st_size
    assert indexes(recovered) == [1, 2]


def test_a_full_disk_stops_the_replica(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a torn frame in the middle of the log once the disk has free space again.
    folder, _ = open_and_load(tmp_path)
    write(folder, entry(1))
    real_write = os.write

    def write_to_full_disk(fd: int, data: Any) -> int:
        real_write(fd, bytes(data)[:5])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "write", write_to_full_disk)
    with pytest.raises(StorageError, match="No space left"):
        write(folder, entry(2))
    monkeypatch.undo()
    with pytest.raises(StorageError, match="No space left"):
        write(folder, entry(3))
    folder.close()
    _, recovered = open_and_load(tmp_path)
    assert indexes(recovered) == [1]


def test_each_empty_folder_gets_a_new_incarnation(tmp_path: Path) -> None:
    # Guards against a replica that lost its disk but votes as its former incarnation.
    first = open_folder(tmp_path / "a", NODE)
    second = open_folder(tmp_path / "b", NODE)
    assert first.replica.incarnation != second.replica.incarnation
    first.close()
    (tmp_path / "a" / "log-000000000001").write_bytes(b"")
    (tmp_path / "a" / "identity").unlink()
    with pytest.raises(StorageError, match="no identity"):
        open_folder(tmp_path / "a", NODE)


def test_a_folder_is_used_by_one_process_and_one_node(tmp_path: Path) -> None:
    # Guards against two processes that write the same log, and against a folder copied to another
    # VM.
    folder = open_folder(tmp_path, NODE)
    with pytest.raises(StorageError, match="another process"):
        open_folder(tmp_path, NODE)
    folder.close()
    with pytest.raises(StorageError, match="belongs to node"):
        open_folder(tmp_path, NodeId("n2"))


def test_old_segments_are_removed_but_the_vote_is_kept(tmp_path: Path) -> None:
    # Guards against unbounded growth of the folder, and a vote lost with the segment that held it.
    vote = HardState(7, Replica(NODE, "x"))
    folder, _ = open_and_load(tmp_path, segment_bytes=200)
    write(folder, vote)
    for index in range(1, 101):
        write(folder, entry(index))
    folder.perform(WriteSnapshot(snapshot(90), 2))
    folder.perform(TruncateLog(86))
    folder.close()
    assert len(list(tmp_path.glob("log-*"))) < 15
    _, recovered = open_and_load(tmp_path)
    assert recovered.hard_state == vote
    assert recovered.entries.last_index == 100
    assert recovered.entries.base_index <= 90


def test_a_replaced_suffix_is_read_after_its_first_segment_was_removed(tmp_path: Path) -> None:
    # Guards against a replica that cannot start because its oldest remaining entries were
    # replaced by later ones with lower indexes.
    folder, _ = open_and_load(tmp_path, segment_bytes=1)
    write(folder, entry(1), entry(2))
    write(folder, entry(3), entry(4))
    write(folder, entry(2, b"new"), entry(3, b"new"), entry(4, b"new"))
    folder.perform(WriteSnapshot(snapshot(3), 2))
    folder.perform(TruncateLog(3))
    folder.close()
    _, recovered = open_and_load(tmp_path)
    assert recovered.entries.at(4) == entry(4, b"new")


def test_the_vote_survives_a_crash_at_the_start_of_a_segment(tmp_path: Path) -> None:
    # Guards against a vote that is lost because the only remaining segment was started without it.
    vote = HardState(7, Replica(NODE, "x"))
    folder, _ = open_and_load(tmp_path)
    write(folder, vote, entry(1))
    folder.close()
    (tmp_path / "log-000000000002").write_bytes(b"Gcr")
    folder, _ = open_and_load(tmp_path)
    write(folder, entry(2))
    folder.perform(WriteSnapshot(snapshot(1), 2))
    folder.perform(TruncateLog(2))
    folder.close()
    _, recovered = open_and_load(tmp_path)
    assert recovered.hard_state == vote
    assert indexes(recovered) == [2]


def test_effects_are_reported_in_order_until_a_failure(tmp_path: Path) -> None:
    # Guards against an acknowledgement after a failure, and against a blocked event loop.
    folder, _ = open_and_load(tmp_path)
    results: list[Any] = []

    async def report_result(event: Any) -> None:
        results.append(event)

    async def main() -> None:
        sender, receiver = anyio.create_memory_object_stream[Any](10)
        await sender.send(WriteLog((entry(1),), 1))
        await sender.send(WriteSnapshot(snapshot(1), 2))
        await sender.send(TruncateLog(1))
        sender.close()
        await perform_effects(folder, receiver, report_result)
        folder.failure = "The disk is broken."
        sender, receiver = anyio.create_memory_object_stream[Any](10)
        await sender.send(WriteLog((entry(2),), 3))
        await sender.send(WriteLog((entry(3),), 4))
        await perform_effects(folder, receiver, report_result)

    anyio.run(main)
    assert results == [LogSynced(1), LogSynced(2), LogFailed("The disk is broken.")]
