"""Log and snapshot files of one replica in one data folder.

Layout: ``identity`` (node and random incarnation), ``lock``, ``log-N`` segments and
``snapshot-INDEX``. A segment is a sequence of frames. Each frame has the records of one sync:
magic, length, CRC-32, payload. A frame is written only after the previous frame was synced.
A damaged frame that is followed by an intact one is therefore corruption, and a damaged frame at
the very end is a torn write. A failed write or sync is final, because the kernel may drop the dirty
pages after it has reported the error once.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import struct
import zlib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import msgspec
from anyio.abc import ObjectReceiveStream
from attrs import Factory, define, field
from returns.result import Success

from goldcrestridge_core import codec
from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.log_records import Record, Recovered, recover
from goldcrestridge_core.log_types import (
    HardState,
    LogEntry,
    LogFailed,
    LogSynced,
    Replica,
    Snapshot,
    TruncateLog,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId

MAGIC = b"GcrL"
HEADER = struct.Struct("<4sII")
SEGMENT_BYTES = 8 << 20

StorageEffect = WriteLog | WriteSnapshot | TruncateLog


@define
class Segment:
    """Segment file of the log, with the highest entry index in it."""

    number: int
    path: Path
    last_index: int = 0


@define
class Folder:
    """Open data folder, as returned by ``open_folder``. Its methods block.

    ``fd`` and ``size`` are the file descriptor and the length in bytes of the current segment.
    ``failure`` describes the first failed write; it is empty before one.
    """

    path: Path
    replica: Replica
    lock_fd: int
    segment_bytes: int = SEGMENT_BYTES
    segments: list[Segment] = Factory(list)
    fd: int = -1
    size: int = 0
    hard_state: HardState | None = None
    failure: str = ""
    synced_bytes: int = 0
    syncs: int = 0
    sync: Callable[[int], None] = field(default=os.fsync)

    def close(self) -> None:
        """Close the files and release the lock."""
        fd, self.fd = self.fd, -1
        try:
            if fd >= 0:
                os.close(fd)
        finally:
            os.close(self.lock_fd)

    def perform(self, effect: StorageEffect) -> None:
        """Perform an effect; after a failure, this and all later calls raise StorageError."""
        if self.failure:
            raise StorageError(self.failure)
        try:
            match effect:
                case WriteLog():
                    self._write_log(effect.records)
                case WriteSnapshot():
                    self._write_snapshot(effect.snapshot)
                case TruncateLog():
                    self._truncate(effect.first_index)
        except OSError as exc:
            self.failure = f"A write to the data folder failed: {exc.strerror or exc}."
            raise StorageError(self.failure) from exc

    def _write_log(self, records: tuple[Record, ...]) -> None:
        """Append a frame with the records, in a new segment if the current one is full."""
        if self.fd < 0 or self.size >= self.segment_bytes:
            self._start_segment()
        self._append_frame(records)

    def _append_frame(self, records: tuple[Record, ...]) -> None:
        """Write a frame to the current segment and sync it."""
        data = encode_frame(records)
        _write_all(self.fd, data)
        self._sync(self.fd, len(data))
        self.size += len(data)
        self._track_records(self.segments[-1], records)

    def _track_records(self, segment: Segment, records: tuple[Record, ...]) -> None:
        """Record the latest hard state and the highest entry index of the segment."""
        for record in records:
            if isinstance(record, HardState):
                self.hard_state = record
            elif isinstance(record, LogEntry):
                segment.last_index = max(segment.last_index, record.index)

    def _start_segment(self) -> None:
        """Start a segment with the hard state, since older segments may be removed."""
        number = self.segments[-1].number + 1 if self.segments else 1
        segment = Segment(number, self.path / f"log-{number:012d}")
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        fd = os.open(segment.path, flags, 0o600)
        if self.fd >= 0:
            os.close(self.fd)
        self.fd = fd
        self.size = 0
        self.segments.append(segment)
        self._append_frame((self.hard_state,) if self.hard_state is not None else ())
        self._sync_directory()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot, rename it to its final name and remove older ones."""
        final = self.path / f"snapshot-{snapshot.index:020d}"
        payload = codec.encode(snapshot)
        header = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
        _replace_file(final, self.path / "snapshot.tmp", (header, payload), self._sync)
        self._sync_directory()
        for path in sorted(self.path.glob("snapshot-*")):
            if path < final:
                path.unlink()

    def _truncate(self, first_index: int) -> None:
        """Remove the oldest segments, as far as their entries are before ``first_index``."""
        while len(self.segments) > 1 and self.segments[0].last_index < first_index:
            self.segments.pop(0).path.unlink()
        self._sync_directory()

    def _sync(self, fd: int, size: int) -> None:
        """Sync a file and count the call and its ``size`` bytes."""
        self.sync(fd)
        self.syncs += 1
        self.synced_bytes += size

    def _sync_directory(self) -> None:
        """Sync the directory, so that new file names survive a crash."""
        _sync_folder(self.path, lambda fd: self._sync(fd, 0))

    def load(self) -> Recovered:
        """Read the snapshot and the segments, and remove a torn tail.

        Raise StorageError for corruption. An OSError while the last segment is rewritten is not
        converted; the replica must not start in that case either.
        """
        if self.segments:
            raise StorageError(f"The data folder {self.path} was already loaded.")
        for leftover in self.path.glob("*.tmp"):
            leftover.unlink()  # Of a write that a crash has cut short.
        snapshot = self._load_snapshot()
        paths = sorted(self.path.glob("log-*"))
        self.segments = [Segment(int(path.name[4:]), path) for path in paths]
        numbers = [segment.number for segment in self.segments]
        if numbers and numbers != list(range(numbers[0], numbers[0] + len(numbers))):
            raise StorageError(f"A log segment is missing in the data folder {self.path}.")
        records: list[Record] = []
        for segment in self.segments:
            records.extend(self._load_segment(segment, segment is self.segments[-1]))
        if self.segments:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
            self.fd = os.open(self.segments[-1].path, flags)
            if self.size == 0 and self.hard_state is not None:
                # The process crashed before it wrote the hard state to this segment.
                self._append_frame((self.hard_state,))
        return recover(snapshot, records)

    def _load_snapshot(self) -> Snapshot | None:
        """Read the newest snapshot; it was synced before its rename, so it must be intact."""
        paths = sorted(self.path.glob("snapshot-*"))
        if not paths:
            return None
        data = paths[-1].read_bytes()
        payload = _payload_at(data, 0)
        decoded = codec.decode(payload) if payload is not None else None
        if not isinstance(decoded, Success) or not isinstance(decoded.unwrap(), Snapshot):
            raise StorageError(f"Snapshot {paths[-1].name} is corrupt or of a newer version.")
        snapshot: Snapshot = decoded.unwrap()
        return snapshot

    def _load_segment(self, segment: Segment, is_last: bool) -> Iterator[Record]:
        """Yield the records of a segment; only the last segment may end in a torn frame."""
        data = segment.path.read_bytes()
        position = 0
        while position < len(data):
            payload = _payload_at(data, position)
            if payload is None:
                if not is_last or _intact_frame_after(data, position + 1):
                    raise StorageError(
                        f"Log segment {segment.path.name} is corrupt at byte {position}."
                    )
                break
            records = tuple(_decode_records(payload, segment.path.name))
            self._track_records(segment, records)
            yield from records
            position += HEADER.size + len(payload)
        if is_last:
            self._rewrite(segment.path, data[:position])
            self.size = position

    def _rewrite(self, path: Path, data: bytes) -> None:
        """Rewrite the last segment without its torn tail.

        The data goes to a new file: after a failed sync, pages of the old file may be in memory
        but not on the disk, and another sync of that file would report success.
        """
        _replace_file(path, self.path / "segment.tmp", (data,), self._sync)
        self._sync_directory()


def encode_frame(records: tuple[Record, ...]) -> bytes:
    """Return the frame with the records of one sync."""
    payload = msgspec.msgpack.encode([codec.encode(record) for record in records])
    return HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _payload_at(data: bytes, position: int) -> bytes | None:
    """Return the payload of the frame at a position, or None if the frame is not intact."""
    if position + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, position)
    start = position + HEADER.size
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _intact_frame_after(data: bytes, position: int) -> bool:
    """Return whether an intact frame begins at or after a position."""
    found = data.find(MAGIC, position)
    while found >= 0:
        if _payload_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def _decode_records(payload: bytes, name: str) -> Iterator[Record]:
    """Decode the records of a frame; raise StorageError for one of a newer version."""
    for data in msgspec.msgpack.decode(payload, type=list[bytes]):
        decoded = codec.decode(data)
        if not isinstance(decoded, Success):
            raise StorageError(f"Log segment {name} has an unreadable record: {decoded.failure()}")
        yield decoded.unwrap()


def _write_all(fd: int, data: bytes) -> None:
    """Write all bytes, since ``os.write`` may write fewer than it is given."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _replace_file(
    path: Path, temporary: Path, parts: tuple[bytes, ...], sync: Callable[[int, int], None]
) -> None:
    """Write a file whole or not at all; the folder has to be synced afterwards.

    ``sync`` is called with the descriptor and the size. A file that could not be written is
    removed, since it takes up room on a disk that is full.
    """
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            for part in parts:
                _write_all(fd, part)
            sync(fd, sum(map(len, parts)))
        finally:
            os.close(fd)
        os.rename(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


def _sync_folder(path: Path, sync: Callable[[int], None]) -> None:
    """Sync a folder, so that the names in it survive a loss of power."""
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        sync(fd)
    finally:
        os.close(fd)


def open_folder(path: Path, node: NodeId, segment_bytes: int = SEGMENT_BYTES) -> Folder:
    """Create a data folder if it is missing, and lock it.

    An empty folder gets a new incarnation. Raise StorageError if another process has locked the
    folder, if it belongs to another node, or if it has log files but no identity.
    """
    path.mkdir(parents=True, exist_ok=True)
    lock_fd = os.open(path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(lock_fd)
        raise StorageError(f"The data folder {path} is locked by another process.") from exc
    try:
        replica = _read_identity(path, node)
    except BaseException:
        os.close(lock_fd)  # The folder is opened again, once its disk has room for an identity.
        raise
    return Folder(path, replica, lock_fd, segment_bytes)


def _read_identity(path: Path, node: NodeId) -> Replica:
    """Return the identity of a folder; give an empty folder a new random incarnation."""
    identity = path / "identity"
    if identity.exists():
        name, _, incarnation = identity.read_text(encoding="utf-8").strip().partition("\n")
        if name != node or not incarnation:
            raise StorageError(f"The data folder {path} belongs to node {name!r}, not {node!r}.")
        _sync_identity(path)  # An earlier attempt may have failed before this.
        return Replica(node, incarnation)
    if any(path.glob("log-*")) or any(path.glob("snapshot-*")):
        raise StorageError(f"The data folder {path} has log files but no identity.")
    replica = Replica(node, secrets.token_hex(16))
    text = f"{replica.node}\n{replica.incarnation}\n"
    _replace_file(identity, path / "identity.tmp", (text.encode(),), lambda fd, _size: os.fsync(fd))
    _sync_identity(path)
    return replica


def _sync_identity(path: Path) -> None:
    """Make the identity of a folder, and the folder itself, survive a loss of power."""
    for folder in (path, path.parent):
        _sync_folder(folder, os.fsync)


async def perform_effects(
    folder: Folder,
    effects: ObjectReceiveStream[StorageEffect],
    report_result: Callable[[Any], Awaitable[None]],
) -> None:
    """Perform effects in order in a worker thread until the stream ends or an effect fails."""
    limiter = anyio.CapacityLimiter(1)
    async for effect in effects:
        try:
            await anyio.to_thread.run_sync(folder.perform, effect, limiter=limiter)
        except StorageError as exc:
            await report_result(LogFailed(str(exc)))
            return
        if not isinstance(effect, TruncateLog):
            await report_result(LogSynced(effect.token))
