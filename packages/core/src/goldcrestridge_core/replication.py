"""Replication of entries from the log leader to the others, commit and lease.

One append with entries is in flight to each replica. Proposals that arrive meanwhile go into
the next one, so batches grow with the load without a timer.
"""

from __future__ import annotations

from statistics import median

from goldcrestridge_core.election import accept_leader, change_term, step_down
from goldcrestridge_core.log_snapshots import send_chunk, start_snapshot_transfer
from goldcrestridge_core.log_state import LogState, Position, Progress
from goldcrestridge_core.log_types import Append, AppendReply, EntryKind, LogEntry, Replica


def become_leader(state: LogState, now_ms: float) -> None:
    """Lead the current term; its barrier entry commits what earlier terms left."""
    state.position = Position.LEADER
    state.leader = state.me
    state.leader_since_ms = now_ms
    state.heartbeat_at_ms = now_ms
    state.emit("log.leader", term=state.term, node=state.me.node)
    track_peers(state)
    state.term_start = propose(state, EntryKind.BARRIER, b"", now_ms)


def track_peers(state: LogState) -> None:
    """Keep progress for exactly the other replicas of the membership."""
    others = [
        replica
        for replica in state.membership.voters + state.membership.learners
        if replica != state.me
    ]
    next_index = max(1, state.entries.last_index)  # At least one entry, so that it is probed.
    state.peers = {replica: state.peers.get(replica) or Progress(next_index) for replica in others}


def propose(state: LogState, kind: EntryKind, data: bytes, now_ms: float) -> int:
    """Append an entry as leader and return its index."""
    index = state.entries.last_index + 1
    state.append(LogEntry(index, state.term, kind, next_stamp_ms(state, now_ms), data))
    if kind is EntryKind.MEMBERSHIP:
        track_peers(state)
    return index


def next_stamp_ms(state: LogState, now_ms: float) -> float:
    """Return the median wall time of the replicas, so that one stepped clock cannot move it."""
    offsets = [peer.wall_offset_ms for peer in state.peers.values()] + [state.wall_offset_ms]
    known = [offset for offset in offsets if offset is not None]
    return max(state.stamp_ms, now_ms + median(known)) if known else state.stamp_ms


def replicate(state: LogState, now_ms: float, heartbeat: bool = False) -> None:
    """Send each replica what it lacks; a heartbeat also goes to those that lack nothing."""
    for replica, peer in state.peers.items():
        _send_entries(state, replica, peer, now_ms)
        if heartbeat:
            state.send(
                replica,
                Append(state.route(replica), state.term, 0, 0, (), state.commit, now_ms),
            )


def _send_entries(state: LogState, replica: Replica, peer: Progress, now_ms: float) -> None:
    """Send the next entries or snapshot chunk unless an earlier one is still in flight."""
    overdue = now_ms - peer.unacked_ms >= state.options.resend_ms
    if peer.snapshot_index:
        if overdue:
            send_chunk(state, replica, peer, now_ms)
        return
    if peer.unacked_last:
        if not overdue:
            return
        peer.next_index = peer.match + 1
    previous_term = state.entries.term_at(peer.next_index - 1)
    if previous_term is None:
        start_snapshot_transfer(state, replica, peer, now_ms)
        return
    entries = state.entries.after(
        peer.next_index - 1, state.options.append_entries, state.options.append_bytes
    )
    if not entries:
        return
    route = state.route(replica)
    previous = peer.next_index - 1
    state.send(
        replica,
        Append(route, state.term, previous, previous_term, entries, state.commit, now_ms),
    )
    peer.unacked_last = entries[-1].index
    peer.unacked_ms = now_ms
    peer.next_index = peer.unacked_last + 1


def on_append(state: LogState, message: Append, now_ms: float) -> None:
    """Append what follows the matching prefix; acknowledge once it is durable."""
    source = message.route.source
    if not accept_leader(state, message, now_ms):
        state.send(source, AppendReply(state.route(source), state.term, False, 0, message.sent_ms))
        return
    if not _prefix_matches(state, message):
        hint = _conflict_hint(state, message.prev_index)
        state.send(source, _append_reply(state, source, False, hint, message.sent_ms, now_ms))
        return
    for entry in message.entries:
        if entry.index <= state.entries.base_index:
            continue
        if state.entries.term_at(entry.index) != entry.term:
            state.append(entry)
    state.verified = max(state.verified, message.prev_index + len(message.entries))
    state.commit = max(state.commit, min(message.commit, state.verified))
    state.ack_pending = True
    if not message.entries or state.verified <= state.synced:
        acknowledge(state, now_ms)


def _prefix_matches(state: LogState, message: Append) -> bool:
    """Tell whether the entry before the new ones is held; a compacted one was committed."""
    if message.prev_index <= state.entries.base_index:
        return True
    return state.entries.term_at(message.prev_index) == message.prev_term


def _conflict_hint(state: LogState, previous: int) -> int:
    """Return the last index before the run of entries with the conflicting term."""
    entries = state.entries
    index = min(previous, entries.last_index + 1) - 1
    conflicting = entries.term_at(previous)
    while index > max(state.commit, entries.base_index) and entries.term_at(index) == conflicting:
        index -= 1
    return index


def _append_reply(
    state: LogState, source: Replica, accepted: bool, match: int, sent_ms: float, now_ms: float
) -> AppendReply:
    """Build an answer with this replica's wall time."""
    wall_ms = -1.0 if state.wall_offset_ms is None else now_ms + state.wall_offset_ms
    return AppendReply(state.route(source), state.term, accepted, match, sent_ms, wall_ms)


def acknowledge(state: LogState, now_ms: float) -> None:
    """Tell the leader the durable matching index, unless the term itself is not durable yet."""
    if state.leader is None or not state.ack_pending or state.hard_state_pending:
        return
    match = min(state.verified, state.synced)
    state.send(
        state.leader, _append_reply(state, state.leader, True, match, state.leader_sent_ms, now_ms)
    )
    state.ack_pending = match < state.verified


def on_append_reply(state: LogState, message: AppendReply, now_ms: float) -> None:
    """Note what a replica holds, commit what a quorum holds, and send more."""
    if message.term > state.term:
        change_term(state, message.term, None)
        return
    peer = state.peers.get(message.route.source)
    if state.position is not Position.LEADER or message.term != state.term or peer is None:
        return
    peer.acked_ms = max(peer.acked_ms, message.sent_ms)
    if message.wall_ms >= 0.0:
        peer.wall_offset_ms = message.wall_ms - now_ms
    if message.accepted:
        peer.match = max(peer.match, message.match)
        peer.next_index = max(peer.next_index, peer.match + 1)
        if peer.match >= peer.unacked_last:
            peer.unacked_last = 0
        if peer.snapshot_index and peer.match >= peer.snapshot_index:
            peer.snapshot_index = 0
            peer.snapshot_data = b""
    elif message.match + 1 < peer.next_index:
        peer.next_index = max(peer.match, message.match) + 1
        peer.unacked_last = 0
    advance_commit(state)
    _send_entries(state, message.route.source, peer, now_ms)


def advance_commit(state: LogState) -> None:
    """Commit up to the highest entry of this term that a quorum of voters holds durably."""
    voters = state.membership.voters
    held = sorted(
        state.synced if voter == state.me else state.peers[voter].match for voter in voters
    )
    index = held[(len(held) - 1) // 2]
    for learner in state.membership.learners:
        if state.peers[learner].holds_commit:
            index = min(index, state.peers[learner].match)
    if index > state.commit and state.entries.term_at(index) == state.term:
        state.commit = index


def _update_commit_holds(state: LogState) -> None:
    """Let commits wait one heartbeat for a learner that lags behind by less than one.

    Under steady load a learner is always a few entries behind and could never be promoted.
    """
    for learner in state.membership.learners:
        peer = state.peers[learner]
        peer.heartbeats_since_hold += 1
        near = peer.match >= peer.catch_up_target
        peer.holds_commit = (
            near and peer.heartbeats_since_hold >= state.options.promotion_heartbeats
        )
        if peer.holds_commit:
            peer.heartbeats_since_hold = 0
        peer.catch_up_target = state.commit


def quorum_contact_ms(state: LogState, now_ms: float) -> float:
    """Return the latest time at which a quorum of voters is known to have followed this leader."""
    contacts = sorted(
        now_ms if voter == state.me else state.peers[voter].acked_ms
        for voter in state.membership.voters
    )
    return contacts[(len(contacts) - 1) // 2]


def has_lease(state: LogState, now_ms: float) -> bool:
    """Tell whether no other replica can lead yet, by the monotonic clock."""
    length = state.options.election_timeout_ms * state.options.lease_share
    return now_ms < quorum_contact_ms(state, now_ms) + length


def on_heartbeat_timeout(state: LogState, now_ms: float) -> None:
    """Send heartbeats, or step down if no quorum answered for an election timeout."""
    contact_ms = max(quorum_contact_ms(state, now_ms), state.leader_since_ms)
    if now_ms - contact_ms >= state.options.election_timeout_ms:
        step_down(state, now_ms)
        return
    state.heartbeat_at_ms = now_ms + state.options.heartbeat_ms
    _update_commit_holds(state)
    replicate(state, now_ms, heartbeat=True)
