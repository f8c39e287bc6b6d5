"""Log snapshots and compaction, and snapshot transfer to replicas that lag behind."""

from __future__ import annotations

from goldcrestridge_core import codec
from goldcrestridge_core.election import accept_leader
from goldcrestridge_core.log_state import IncomingSnapshot, LogState, Progress
from goldcrestridge_core.log_types import (
    InstallSnapshot,
    InstallSnapshotReply,
    LogMembership,
    Replica,
    Snapshot,
    TruncateLog,
)

MAX_SNAPSHOT_BYTES = 1 << 30  # Bounds the announced size; no store grows this large.


def membership_at(state: LogState, index: int) -> LogMembership:
    """Return the membership in effect after the entry at ``index``."""
    return [membership for start, membership in state.memberships if start <= index][-1]


def _snapshot_due(state: LogState) -> bool:
    """Return whether enough was applied since the last snapshot.

    With a large state and small commands, such as lease renewals, a limit on the number of entries
    alone would rewrite almost the same state every few seconds; hence the limits in bytes.
    """
    last = state.snapshot
    options = state.options
    size = len(last.state) if last else 0
    count = state.applied - (last.index if last else 0)
    if state.applied_bytes >= max(options.snapshot_bytes, 2 * size):
        return True
    if count < options.snapshot_entries:
        return False
    return 4 * state.applied_bytes >= size or count >= 16 * options.snapshot_entries


def take_snapshot(state: LogState) -> None:
    """Start to write a snapshot if one is due and none is being written or installed."""
    if state.pending_snapshots or state.pending_installs or not _snapshot_due(state):
        return
    term = state.entries.term_at(state.applied)
    if term is None or not state.memberships:
        return
    stamp_ms = state.entries.at(state.applied).stamp_ms
    membership = membership_at(state, state.applied)
    snapshot = Snapshot(state.applied, term, stamp_ms, membership, state.machine.snapshot())
    state.applied_bytes = 0
    state.pending_snapshots[state.write_snapshot(snapshot)] = snapshot


def on_snapshot_written(state: LogState, snapshot: Snapshot) -> None:
    """Compact the log after a local snapshot has become durable."""
    if state.snapshot is not None and state.snapshot.index >= snapshot.index:
        return
    state.snapshot = snapshot
    _compact(state, snapshot.index)


def _compact(state: LogState, index: int) -> None:
    """Drop entries up to ``index``, but retain recent ones for replicas that lag behind."""
    first = max(state.entries.base_index, index - state.options.retained_entries)
    size = 0
    for candidate in range(index, first, -1):
        size += len(state.entries.at(candidate).data)
        if size > state.options.retained_bytes:
            first = candidate
            break
    state.entries.compact(first)
    older = [pair for pair in state.memberships if pair[0] <= index]
    newer = [pair for pair in state.memberships if pair[0] > index]
    state.memberships = older[-1:] + newer
    state.effects.append(TruncateLog(state.entries.base_index + 1))


def start_snapshot_transfer(
    state: LogState, replica: Replica, peer: Progress, now_ms: float
) -> None:
    """Start to send the latest snapshot to a replica that needs compacted entries."""
    if state.snapshot is None:
        return
    peer.snapshot_index = state.snapshot.index
    peer.snapshot_data = codec.encode(state.snapshot)
    peer.offset = 0
    peer.unacked_last = 0
    peer.next_index = state.snapshot.index + 1
    send_chunk(state, replica, peer, now_ms)


def send_chunk(state: LogState, replica: Replica, peer: Progress, now_ms: float) -> None:
    """Send the chunk at the current offset; resend the last one until it is installed."""
    total = len(peer.snapshot_data)
    start = min(peer.offset, max(0, total - 1))
    peer.unacked_ms = now_ms
    state.send(
        replica,
        InstallSnapshot(
            state.route(replica),
            state.term,
            peer.snapshot_index,
            start,
            total,
            peer.snapshot_data[start : start + state.options.chunk_bytes],
            now_ms,
        ),
    )


def on_install_snapshot(state: LogState, message: InstallSnapshot, now_ms: float) -> None:
    """Collect chunks in order and write the snapshot once it is complete."""
    source = message.route.source
    if not accept_leader(state, message, now_ms) or message.total > MAX_SNAPSHOT_BYTES:
        return
    if message.index <= state.commit:
        state.verified = max(state.verified, message.index)
        state.ack_pending = True
        return
    if any(snapshot.index == message.index for snapshot in state.pending_installs.values()):
        return
    if message.offset == 0 and not _belongs_to(state.incoming_snapshot, message):
        state.incoming_snapshot = IncomingSnapshot(source, message.index, message.total)
    incoming = state.incoming_snapshot
    if incoming is None or not _belongs_to(incoming, message):
        received = 0
    else:
        if message.offset <= len(incoming.data):
            incoming.data += message.data[len(incoming.data) - message.offset :]
        received = len(incoming.data)
    state.send(
        source,
        InstallSnapshotReply(
            state.route(source), state.term, message.index, received, message.sent_ms
        ),
    )
    if incoming is not None and received == incoming.total:
        state.incoming_snapshot = None
        decoded = codec.decode(bytes(incoming.data)).value_or(None)
        if not isinstance(decoded, Snapshot):
            state.emit("log.snapshot_unreadable", index=message.index)
            return
        snapshot = decoded
        state.pending_installs[state.write_snapshot(snapshot)] = snapshot


def _belongs_to(incoming: IncomingSnapshot | None, message: InstallSnapshot) -> bool:
    """Return whether a chunk belongs to the snapshot being received."""
    return incoming is not None and (incoming.source, incoming.index, incoming.total) == (
        message.route.source,
        message.index,
        message.total,
    )


def on_install_reply(state: LogState, message: InstallSnapshotReply, now_ms: float) -> None:
    """Send the chunk that follows the acknowledged offset."""
    peer = state.peers.get(message.route.source)
    if peer is None or message.term != state.term:
        return
    peer.acked_ms = max(peer.acked_ms, message.sent_ms)
    if message.index != peer.snapshot_index or message.offset == peer.offset:
        return
    peer.offset = message.offset
    if peer.offset < len(peer.snapshot_data):
        send_chunk(state, message.route.source, peer, now_ms)


def on_snapshot_installed(state: LogState, snapshot: Snapshot) -> None:
    """Restore the state from a received snapshot that has become durable."""
    if snapshot.index <= state.commit:
        return
    state.machine.restore(snapshot.state)
    if state.entries.term_at(snapshot.index) != snapshot.term:
        state.reset(snapshot)
    state.snapshot = snapshot
    state.commit = snapshot.index
    state.applied = snapshot.index
    state.applied_bytes = 0
    state.stamp_ms = max(state.stamp_ms, snapshot.stamp_ms)
    state.synced = max(state.synced, snapshot.index)
    state.verified = max(state.verified, snapshot.index)
    state.ack_pending = True
    _compact(state, snapshot.index)
    state.emit("log.snapshot_installed", index=snapshot.index)
