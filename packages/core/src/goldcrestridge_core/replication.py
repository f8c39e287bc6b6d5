"""Replication of entries from the leader, commit index and leader lease.

At most one append with entries is in flight to each replica. Proposals that arrive meanwhile are
sent with the next one, so batches grow with the load and need no timer.
"""

from __future__ import annotations

from statistics import median

from goldcrestridge_core.election import accept_leader, change_term, step_down
from goldcrestridge_core.log_snapshots import send_chunk, start_snapshot_transfer
from goldcrestridge_core.log_state import LogState, Position, Progress
from goldcrestridge_core.log_types import Append, AppendReply, EntryKind, LogEntry, Replica


def become_leader(state: LogState, now_ms: float) -> None:
    """Become leader of the current term and append its barrier entry.

    Committing the barrier also commits the entries of earlier terms.
    """
    state.position = Position.LEADER
    state.leader = state.own
    state.leader_since_ms = now_ms
    state.heartbeat_at_ms = now_ms
    state.emit("log.leader", term=state.term, node=state.own.node)
    track_peers(state, now_ms)
    if state.last_leader in state.peers:
        # The former leader has been silent for longer than this one leads.
        state.peers[state.last_leader].heard_ms = state.last_contact_ms
    state.term_start = propose(state, EntryKind.BARRIER, b"", now_ms)


def track_peers(state: LogState, now_ms: float) -> None:
    """Track progress for the other replicas of the membership and those that were removed."""
    members = state.membership.voters + state.membership.learners
    others = [replica for replica in (*members, *state.removed) if replica != state.own]
    next_index = max(1, state.entries.last_index)  # Send at least one entry as a probe.
    state.peers = {
        replica: state.peers.get(replica) or Progress(next_index, now_ms) for replica in others
    }


def _leaving(state: LogState) -> tuple[Replica, ...]:
    """Return the replicas of the membership whose nodes stop, in membership order."""
    members = state.membership.voters + state.membership.learners
    return tuple(replica for replica in members if replica in state.leaving)


def propose(state: LogState, kind: EntryKind, data: bytes, now_ms: float) -> int:
    """Append an entry as leader and return its index."""
    index = state.entries.last_index + 1
    state.append(LogEntry(index, state.term, kind, next_stamp_ms(state, now_ms), data))
    if kind is EntryKind.MEMBERSHIP:
        track_peers(state, now_ms)
    return index


def next_stamp_ms(state: LogState, now_ms: float) -> float:
    """Return the time stamp of the next entry, which never decreases.

    It is the median wall time of the replicas, so that a step of one clock does not move it.
    """
    offsets = [peer.wall_offset_ms for peer in state.peers.values()] + [state.wall_offset_ms]
    known = [offset for offset in offsets if offset is not None]
    return max(state.stamp_ms, now_ms + median(known)) if known else state.stamp_ms


def replicate(state: LogState, now_ms: float, heartbeat: bool = False) -> None:
    """Send missing entries to each replica, and a heartbeat to all if requested."""
    leaving = _leaving(state)
    for replica, peer in state.peers.items():
        _send_entries(state, replica, peer, now_ms)
        if heartbeat:
            route = state.route(replica)
            state.send(replica, Append(route, state.term, 0, 0, (), state.commit, now_ms, leaving))


def _send_entries(state: LogState, replica: Replica, peer: Progress, now_ms: float) -> None:
    """Send the next entries or resend a snapshot chunk, unless one is still in flight."""
    overdue = now_ms - peer.unacked_ms >= state.options.resend_ms
    if peer.snapshot_index:
        if overdue:
            send_chunk(state, replica, peer, now_ms)
        return
    if peer.unacked_last:
        if not overdue:
            return
        peer.next_index = peer.match + 1
    prev_term = state.entries.term_at(peer.next_index - 1)
    if prev_term is None:
        start_snapshot_transfer(state, replica, peer, now_ms)
        return
    entries = state.entries.after(
        peer.next_index - 1, state.options.append_entries, state.options.append_bytes
    )
    if not entries:
        return
    route = state.route(replica)
    prev_index = peer.next_index - 1
    state.send(
        replica,
        Append(
            route,
            state.term,
            prev_index,
            prev_term,
            entries,
            state.commit,
            now_ms,
            _leaving(state),
        ),
    )
    peer.unacked_last = entries[-1].index
    peer.unacked_ms = now_ms
    peer.next_index = peer.unacked_last + 1


def on_append(state: LogState, message: Append, now_ms: float) -> None:
    """Append the entries if the logs match up to them; acknowledge once they are durable."""
    source = message.route.source
    if not accept_leader(state, message, now_ms):
        state.send(source, AppendReply(state.route(source), state.term, False, 0, message.sent_ms))
        return
    # The leader may not know yet that this node was started again.
    state.leaving = {*message.leaving} - {state.own} | state.leaving & {state.own}
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
    """Return whether the log contains the entry before the new ones.

    A compacted entry was committed and therefore matches.
    """
    if message.prev_index <= state.entries.base_index:
        return True
    return state.entries.term_at(message.prev_index) == message.prev_term


def _conflict_hint(state: LogState, prev_index: int) -> int:
    """Return the index before the run of entries with the conflicting term.

    The leader continues after it, so that one round trip skips the whole run.
    """
    entries = state.entries
    index = min(prev_index, entries.last_index + 1) - 1
    conflicting_term = entries.term_at(prev_index)
    while (
        index > max(state.commit, entries.base_index) and entries.term_at(index) == conflicting_term
    ):
        index -= 1
    return index


def _append_reply(
    state: LogState, source: Replica, accepted: bool, match: int, sent_ms: float, now_ms: float
) -> AppendReply:
    """Return an append reply that carries this replica's wall time, or -1 if unknown."""
    wall_ms = -1.0 if state.wall_offset_ms is None else now_ms + state.wall_offset_ms
    leaving = state.own in state.leaving
    return AppendReply(state.route(source), state.term, accepted, match, sent_ms, wall_ms, leaving)


def acknowledge(state: LogState, now_ms: float) -> None:
    """Send the leader the durable matching index, unless the term is not durable yet."""
    if state.leader is None or not state.ack_pending or state.hard_state_pending:
        return
    match = min(state.verified, state.synced)
    state.send(
        state.leader, _append_reply(state, state.leader, True, match, state.leader_sent_ms, now_ms)
    )
    state.ack_pending = match < state.verified


def on_leave(state: LogState, now_ms: float) -> None:
    """Tell the leader that this node stops."""
    state.leaving.add(state.own)
    state.emit("log.leaving", node=state.own.node)
    if state.position is not Position.LEADER and state.leader_sent_ms >= 0.0:
        state.ack_pending = True
        acknowledge(state, now_ms)


def on_append_reply(state: LogState, message: AppendReply, now_ms: float) -> None:
    """Update the progress of a replica, advance the commit index and send more entries."""
    if message.term > state.term:
        change_term(state, message.term, None)
        return
    peer = state.peers.get(message.route.source)
    if state.position is not Position.LEADER or message.term != state.term or peer is None:
        return
    if message.leaving:
        state.leaving.add(message.route.source)
    elif message.sent_ms > peer.acked_ms:
        state.leaving.discard(message.route.source)
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
    """Commit up to the highest entry of this term that is durable on a quorum of voters."""
    voters = state.membership.voters
    match_indexes = sorted(
        state.synced if voter == state.own else state.peers[voter].match for voter in voters
    )
    index = match_indexes[(len(match_indexes) - 1) // 2]
    for learner in state.membership.learners:
        if state.peers[learner].holds_commit:
            index = min(index, state.peers[learner].match)
    if index > state.commit and state.entries.term_at(index) == state.term:
        state.commit = index


def _update_commit_holds(state: LogState) -> None:
    """Delay commits for one heartbeat for a learner that lags by less than one heartbeat.

    Under steady load a learner is always a few entries behind and would never be promoted.
    """
    for learner in state.membership.learners:
        peer = state.peers[learner]
        peer.heartbeats_since_hold += 1
        nearly_caught_up = peer.match >= peer.catch_up_target
        peer.holds_commit = (
            peer.promotion_due
            and nearly_caught_up
            and peer.heartbeats_since_hold >= state.options.promotion_heartbeats
        )
        if peer.holds_commit:
            peer.heartbeats_since_hold = 0
        peer.catch_up_target = state.commit


def quorum_contact_ms(state: LogState, now_ms: float) -> float:
    """Return the latest time at which a quorum of voters is known to have followed this leader.

    For each other voter this is the send time of the newest acknowledged append.
    """
    contact_times_ms = sorted(
        now_ms if voter == state.own else state.peers[voter].acked_ms
        for voter in state.membership.voters
    )
    return contact_times_ms[(len(contact_times_ms) - 1) // 2]


def has_lease(state: LogState, now_ms: float) -> bool:
    """Return whether the leader lease is valid, so that no other replica can be elected yet."""
    lease_ms = state.options.election_timeout_ms * state.options.lease_share
    return now_ms < quorum_contact_ms(state, now_ms) + lease_ms


def on_heartbeat_timeout(state: LogState, now_ms: float) -> None:
    """Send heartbeats, or step down if no quorum has replied within the election timeout."""
    contact_ms = max(quorum_contact_ms(state, now_ms), state.leader_since_ms)
    if now_ms - contact_ms >= state.options.election_timeout_ms:
        step_down(state, now_ms)
        return
    state.heartbeat_at_ms = now_ms + state.options.heartbeat_ms
    _update_commit_holds(state)
    replicate(state, now_ms, heartbeat=True)
