"""Raft-based replicated log with leader leases, group commit, snapshots and membership changes.

``log_records`` holds the entries and their recovery, and ``log_state`` the state of a replica. The
protocol is implemented as functions over that state in ``election``, ``replication``,
``log_snapshots`` and ``log_members``; this module dispatches events to them. The driver must read
the clock after it takes an event from its queue, because leases are checked against the time that
is passed with the event.
"""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import define

from goldcrestridge_core import election, log_members, log_snapshots, replication
from goldcrestridge_core.log_records import Recovered, membership_of
from goldcrestridge_core.log_state import LogOptions, LogState, Position, StateMachine
from goldcrestridge_core.log_types import (
    Append,
    AppendReply,
    ChangeReplicas,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinReplica,
    JoinReply,
    LeaveLog,
    LogFailed,
    LogSynced,
    PreVote,
    PreVoteReply,
    Propose,
    ProposeReply,
    Query,
    QueryReply,
    Replica,
    Vote,
    VoteReply,
    WallTime,
)
from goldcrestridge_core.types import Count, NodeId, Receive, Send

ROUTED_MESSAGES = (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)


@define
class Log:
    """One replica of the log, as a sans-I/O role; create it with ``open_log``."""

    state: LogState

    @property
    def leads(self) -> bool:
        """Return whether this replica is leader and has applied the barrier entry of its term."""
        state = self.state
        return state.position is Position.LEADER and state.applied >= state.term_start

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Handle one event and return the effects; ignore it if the disk has failed."""
        state = self.state
        if state.failed:
            return []
        _dispatch(state, event, now_ms)
        _advance(state, now_ms)
        effects = state.effects
        state.effects = []
        return effects

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next timer (election, heartbeat or announcement), or None."""
        state = self.state
        if state.failed:
            return None
        if state.position is Position.LEADER:
            return state.heartbeat_at_ms
        return min(state.election_at_ms, state.join_at_ms)


def open_log(
    own: Replica,
    recovered: Recovered,
    machine: StateMachine,
    rng: Random,
    now_ms: float,
    initial: tuple[NodeId, ...] = (),
    options: LogOptions | None = None,
    contacts: tuple[NodeId, ...] = (),
) -> Log:
    """Start a replica from its durable state.

    ``initial`` are the nodes that form the log; ``contacts`` are further nodes to which a replica
    without a leader announces itself.
    """
    state = LogState(own, machine, rng, options or LogOptions(), initial, contacts)
    state.term = recovered.hard_state.term
    state.voted_for = recovered.hard_state.voted_for
    state.entries = recovered.entries
    state.synced = recovered.entries.last_index
    snapshot = recovered.snapshot
    if snapshot is not None:
        machine.restore(snapshot.state)
        state.snapshot = snapshot
        state.commit = snapshot.index
        state.applied = snapshot.index
        state.stamp_ms = snapshot.stamp_ms
        state.memberships.append((snapshot.index, snapshot.membership))
    for entry in recovered.entries.items:
        membership = membership_of(entry)
        if membership is not None and entry.index > state.commit:
            state.memberships.append((entry.index, membership))
        state.stamp_ms = max(state.stamp_ms, entry.stamp_ms)
    if recovered.reset is not None:
        state.batch.records.append(recovered.reset)
    state.last_contact_ms = now_ms
    state.join_at_ms = now_ms
    election.start_timer(state, now_ms)
    return Log(state)


def _dispatch(state: LogState, event: Any, now_ms: float) -> None:
    """Dispatch an event to its handler, then run the timers that are due."""
    if isinstance(event, Receive):
        _receive(state, event.sender, event.message, now_ms)
    elif isinstance(event, LogSynced):
        _on_synced(state, event.token, now_ms)
    elif isinstance(event, LogFailed):
        election.step_down(state, now_ms)
        state.failed = True
        state.emit("log.disk_failed", reason=event.reason)
    elif isinstance(event, LeaveLog):
        replication.on_leave(state, now_ms)
    elif isinstance(event, WallTime):
        state.wall_offset_ms = event.wall_ms - now_ms
    _run_timers(state, now_ms)


def _run_timers(state: LogState, now_ms: float) -> None:
    """Run the timers that are due; called after every event."""
    if state.failed:
        return
    if state.position is Position.LEADER:
        if now_ms >= state.heartbeat_at_ms:
            replication.on_heartbeat_timeout(state, now_ms)
        return
    if now_ms >= state.election_at_ms:
        election.on_election_timeout(state, now_ms)
    if now_ms >= state.join_at_ms:
        log_members.on_join_timeout(state, now_ms)


def _receive(state: LogState, sender: NodeId, message: Any, now_ms: float) -> None:
    """Dispatch a message; drop one addressed to another incarnation or another log."""
    if isinstance(message, ROUTED_MESSAGES):
        # The group is empty on a fresh replica.
        groups = {state.membership.group, message.route.group} - {""}
        if message.route.target == state.own and len(groups) <= 1:
            _receive_routed(state, message, now_ms)
    elif isinstance(message, Propose):
        _on_propose(state, sender, message, now_ms)
    elif isinstance(message, Query):
        _on_query(state, sender, message, now_ms)
    elif isinstance(message, JoinReplica):
        log_members.on_join(state, sender, message, now_ms)
    elif isinstance(message, JoinReply):
        log_members.on_join_reply(state, message)
    elif isinstance(message, ChangeReplicas):
        log_members.on_change(state, sender, message, now_ms)


def _receive_routed(state: LogState, message: Any, now_ms: float) -> None:
    """Dispatch a message from another replica to its handler."""
    match message:
        case Append():
            replication.on_append(state, message, now_ms)
        case AppendReply():
            replication.on_append_reply(state, message, now_ms)
        case InstallSnapshot():
            log_snapshots.on_install_snapshot(state, message, now_ms)
        case InstallSnapshotReply():
            log_snapshots.on_install_reply(state, message, now_ms)
        case PreVote():
            election.on_pre_vote(state, message, now_ms)
        case PreVoteReply():
            election.on_pre_vote_reply(state, message, now_ms)
        case Vote():
            election.on_vote(state, message, now_ms)
        case VoteReply():
            election.on_vote_reply(state, message)


def _on_propose(state: LogState, sender: NodeId, message: Propose, now_ms: float) -> None:
    """Append a command if leader; a retry with the same id waits for the same entry."""
    if state.position is not Position.LEADER:
        leader = state.leader.node if state.leader else None
        state.effects.append(Send(sender, ProposeReply(message.proposal_id, False, b"", leader)))
        return
    known_index = state.proposal_indexes.get(message.proposal_id)
    waiter = (message.proposal_id, sender)
    if known_index is not None:
        if waiter not in state.waiters[known_index]:
            state.waiters[known_index].append(waiter)
        return
    refusal = state.machine.refuse(message.command)
    if refusal is not None:
        state.effects.append(Send(sender, ProposeReply(message.proposal_id, True, refusal)))
        return
    if len(state.proposal_indexes) >= state.options.max_pending_proposals:
        state.effects.append(Count("log.proposals_dropped"))
        return
    index = replication.propose(state, EntryKind.COMMAND, message.command, now_ms)
    state.proposal_indexes[message.proposal_id] = index
    state.waiters[index] = [waiter]


def _on_query(state: LogState, sender: NodeId, message: Query, now_ms: float) -> None:
    """Queue a read until the leader has confirmed its leadership and applied the read index."""
    if state.position is not Position.LEADER:
        leader = state.leader.node if state.leader else None
        state.effects.append(Send(sender, QueryReply(message.query_id, False, b"", leader)))
        return
    read_index = max(state.commit, state.term_start)
    state.queries.append((sender, message.query_id, message.request, read_index, now_ms))


def _on_synced(state: LogState, token: int, now_ms: float) -> None:
    """Handle the completed write of a batch or a snapshot."""
    if token in state.pending_snapshots:
        log_snapshots.on_snapshot_written(state, state.pending_snapshots.pop(token))
    elif token in state.pending_installs:
        log_snapshots.on_snapshot_installed(state, state.pending_installs.pop(token))
        replication.acknowledge(state, now_ms)
    elif state.in_flight is not None and token == state.in_flight_token:
        state.batch_synced()
        replication.acknowledge(state, now_ms)


def _advance(state: LogState, now_ms: float) -> None:
    """Advance the state after an event: become leader, commit, apply, reply, replicate, write."""
    if state.failed:
        return
    if election.is_elected(state):
        replication.become_leader(state, now_ms)
    if state.position is Position.LEADER:
        replication.advance_commit(state)
    _apply_committed(state)
    if state.position is Position.LEADER:
        log_members.promote_learners(state, now_ms)
        log_members.remove_surplus(state, now_ms)
        log_members.forget_removed(state, now_ms)
        _answer_queries(state, now_ms)
        replication.replicate(state, now_ms)
        if state.commit >= state.memberships[-1][0] and not state.is_voter:
            election.step_down(state, now_ms)
    log_snapshots.take_snapshot(state)
    state.start_batch()


def _apply_committed(state: LogState) -> None:
    """Apply committed commands in order and reply to their proposers."""
    while state.applied < state.commit:
        state.applied += 1
        entry = state.entries.at(state.applied)
        if entry.kind is not EntryKind.COMMAND:
            continue
        result = state.machine.apply(entry.data, entry.index, entry.stamp_ms)
        state.applied_bytes += len(entry.data)
        for proposal_id, node in state.waiters.pop(entry.index, ()):
            state.proposal_indexes.pop(proposal_id, None)
            reply = ProposeReply(proposal_id, True, result, state.own.node)
            state.effects.append(Send(node, reply))


def _answer_queries(state: LogState, now_ms: float) -> None:
    """Answer reads whose read index is applied and whose leadership check has passed.

    The check passes with a valid lease, or once a quorum has acknowledged an append that was sent
    after the read arrived.
    """
    if not state.queries:
        return
    quorum_ms = replication.quorum_contact_ms(state, now_ms)
    lease_valid = state.options.lease_reads and replication.has_lease(state, now_ms)
    remaining = []
    for query in state.queries:
        node, query_id, request, read_index, received_ms = query
        if state.applied >= read_index and (lease_valid or quorum_ms >= received_ms):
            result = state.machine.query(request)
            state.effects.append(Send(node, QueryReply(query_id, True, result, state.own.node)))
        else:
            remaining.append(query)
    state.queries = remaining
