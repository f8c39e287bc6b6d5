"""Membership of the log: bootstrap, learners and replacement of failed replicas.

A log is formed once, by replicas that all have empty data folders and have received each other's
announcements; each computes the same first entry. Afterwards a replica with an empty folder can
join only as a learner. Each change adds or removes one replica, so that old and new quorums
overlap.

A replica that announces itself while no voter is missing becomes a spare: a learner that holds the
log and is promoted once a voter is lost or its node stops. A node that stops waits until a spare
has taken its place. Without a spare its replica stays a voter, since the node may come back with
its disk.
"""

from __future__ import annotations

import hashlib

from goldcrestridge_core import codec
from goldcrestridge_core.log_records import membership_of
from goldcrestridge_core.log_state import LogState, Position
from goldcrestridge_core.log_types import (
    ChangeReplicas,
    ChangeReplicasReply,
    EntryKind,
    JoinReplica,
    JoinReply,
    LogEntry,
    LogMembership,
    Replica,
    ReplicaOperation,
)
from goldcrestridge_core.replication import propose
from goldcrestridge_core.types import NodeId, Send

# A replica that answered none of so many heartbeats may be lost.
CURRENT_HEARTBEATS = 3


def is_fresh(state: LogState) -> bool:
    """Return whether this replica has no entries, snapshot or membership."""
    return not state.memberships and state.entries.last_index == 0 and state.snapshot is None


def first_entry(replicas: list[Replica]) -> LogEntry:
    """Return the first entry of a log that the given replicas form."""
    voters = tuple(sorted(replicas, key=lambda replica: (replica.node, replica.incarnation)))
    names = "\n".join(f"{voter.node} {voter.incarnation}" for voter in voters)
    group = hashlib.sha256(names.encode()).hexdigest()[:32]
    data = codec.encode(LogMembership(group, voters))
    return LogEntry(1, 0, EntryKind.MEMBERSHIP, 0.0, data)


def on_join_timeout(state: LogState, now_ms: float) -> None:
    """Announce this replica if it is fresh or has not heard from a leader for some time.

    The latter occurs if the membership entry that added this replica was replaced before it was
    committed: only this replica knows the entry then, and no leader sends it anything.
    """
    state.join_at_ms = now_ms + state.options.announcement_interval_ms
    if state.own in state.leaving:
        return
    if is_fresh(state):
        _try_form(state, state.own, now_ms)
    elif now_ms - state.last_contact_ms < 2 * state.options.election_timeout_ms:
        return
    message = JoinReplica(state.own, is_fresh(state))
    members = (member.node for member in _all_replicas(state.membership))
    nodes = dict.fromkeys((*state.initial, *state.contacts, *members))
    state.effects.extend(Send(node, message) for node in nodes if node != state.own.node)


def on_join(state: LogState, sender: NodeId, message: JoinReplica, now_ms: float) -> None:
    """Handle an announcement: form the log, send its first entry, or add the replica.

    A replica with an empty disk knows only the seeds, none of which may lead, so a follower passes
    its announcement on to the leader.
    """
    if is_fresh(state):
        if message.fresh:
            _try_form(state, message.replica, now_ms)
        return
    if message.fresh and state.entries.base_index == 0:
        first = state.entries.at(1)
        membership = membership_of(first)
        if membership is not None and message.replica in membership.voters:
            state.effects.append(Send(message.replica.node, JoinReply(first)))
            return
    if state.position is not Position.LEADER:
        # An announcement that was passed on already stays here.
        if state.leader is not None and sender == message.replica.node != state.leader.node:
            state.effects.append(Send(state.leader.node, message))
    elif message.replica not in _all_replicas(state.membership):
        _start_replacement(state, message.replica, now_ms)


def _all_replicas(membership: LogMembership) -> tuple[Replica, ...]:
    """Return all replicas of a membership, voters first."""
    return membership.voters + membership.learners


def _try_form(state: LogState, replica: Replica, now_ms: float) -> None:
    """Write the first entry once all initial replicas are known to be fresh.

    Only recent announcements count: replicas that were replaced one after another have all been
    fresh at some time, and must not form a second log.
    """
    if replica.node not in state.initial or state.own.node not in state.initial:
        return
    state.join_announcements[state.own.node] = (state.own, now_ms)
    state.join_announcements[replica.node] = (replica, now_ms)
    since_ms = now_ms - state.options.announcement_ttl_ms
    fresh = [other for other, at_ms in state.join_announcements.values() if at_ms >= since_ms]
    if {other.node for other in fresh} == set(state.initial):
        state.append(first_entry(fresh))


def on_join_reply(state: LogState, message: JoinReply) -> None:
    """Adopt the first entry of a log if it names this replica as a voter."""
    membership = membership_of(message.first)
    if is_fresh(state) and membership is not None and state.own in membership.voters:
        state.append(message.first)


def _start_replacement(state: LogState, replica: Replica, now_ms: float) -> None:
    """Add a replica that announced itself as a learner.

    It replaces an unresponsive incarnation of the same node, or becomes a spare unless there are
    enough. A lost learner of the same node is removed first.
    """
    former = [member for member in _all_replicas(state.membership) if member.node == replica.node]
    if any(is_responsive(state, member, now_ms) for member in former):
        return
    membership = state.membership
    if not former:
        if len(membership.learners) < _max_spares(state):
            change_membership(state, ReplicaOperation.ADD, replica, now_ms)
        return
    lost = [learner for learner in membership.learners if learner.node == replica.node]
    if lost:
        change_membership(state, ReplicaOperation.REMOVE, lost[0], now_ms)
    else:
        change_membership(state, ReplicaOperation.ADD, replica, now_ms)


def is_responsive(state: LogState, replica: Replica, now_ms: float) -> bool:
    """Return whether a replica acknowledged an append sent within two election timeouts."""
    if replica == state.own:
        return True
    age_ms = now_ms - state.peers[replica].acked_ms
    return age_ms < 2 * state.options.election_timeout_ms


def _max_spares(state: LogState) -> int:
    """Return the number of spares to keep: that of the voters that may be lost, at least one."""
    target = state.options.target_voters
    return max(1, target // 2) if target else 0


def _needs_voter(state: LogState, now_ms: float) -> bool:
    """Return whether a spare should be promoted: a voter is missing, lost or stops."""
    voters = state.membership.voters
    target = state.options.target_voters
    return len(voters) < target or (
        len(voters) == target and any(_is_lost(state, voter, now_ms) for voter in voters)
    )


def _is_lost(state: LogState, voter: Replica, now_ms: float) -> bool:
    """Return whether a voter's node stops, or the voter is silent for ``replace_after_ms``."""
    silent_ms = _silent_ms(state, voter, now_ms)
    return voter in state.leaving or silent_ms >= state.options.replace_after_ms


def _voters_to_replace(state: LogState, now_ms: float) -> list[Replica]:
    """Return the voters that are lost and do not answer, unless too few would be left."""
    voters, target = state.membership.voters, state.options.target_voters
    if not target or len(voters) < target:
        return []
    return [
        voter
        for voter in voters
        if _is_lost(state, voter, now_ms) and not _is_current(state, voter, now_ms)
    ]


def _is_current(state: LogState, replica: Replica, now_ms: float) -> bool:
    """Return whether a replica answers the heartbeats of the moment."""
    limit_ms = CURRENT_HEARTBEATS * state.options.heartbeat_ms
    return replica == state.own or now_ms - state.peers[replica].acked_ms < limit_ms


def _silent_ms(state: LogState, replica: Replica, now_ms: float) -> float:
    """Return for how long a replica has not been heard of."""
    if replica == state.own:
        return 0.0
    peer = state.peers[replica]
    return now_ms - max(peer.acked_ms, peer.heard_ms)


def remove_surplus(state: LogState, now_ms: float) -> None:
    """Remove a lost learner, or a voter if there are more than ``target_voters``.

    That is one whose node stops, or else the one that has been silent for longest.
    """
    target = state.options.target_voters
    if not target or not may_change_membership(state):
        return
    membership, limit_ms = state.membership, state.options.remove_after_ms
    surplus = [item for item in membership.learners if _silent_ms(state, item, now_ms) >= limit_ms]
    if len(membership.voters) > target:
        surplus += sorted(
            membership.voters,
            key=lambda voter: (voter in state.leaving, _silent_ms(state, voter, now_ms)),
            reverse=True,
        )
    if surplus:
        change_membership(state, ReplicaOperation.REMOVE, surplus[0], now_ms)


def forget_removed(state: LogState, now_ms: float) -> None:
    """Stop to send entries to removed replicas that hold their removal or do not answer."""
    ended = [
        replica
        for replica, index in state.removed.items()
        if state.peers[replica].match >= index or not is_responsive(state, replica, now_ms)
    ]
    for replica in ended:
        del state.removed[replica], state.peers[replica]


def awaits_successor(state: LogState) -> bool:
    """Return whether a spare is about to take the place of this replica.

    A leader that removes itself goes on until the removal is committed, when it steps down.
    """
    membership, target = state.membership, state.options.target_voters
    if state.failed or not target:
        return False
    if not state.is_voter:
        return state.position is Position.LEADER
    spares = set(membership.learners) - state.leaving
    return bool(spares) or len(membership.voters) > target


def may_change_membership(state: LogState) -> bool:
    """Return whether the last membership change and the barrier of this term are committed."""
    return state.commit >= max(state.term_start, state.memberships[-1][0])


def change_membership(
    state: LogState, operation: ReplicaOperation, replica: Replica, now_ms: float
) -> str | None:
    """Append one membership change; return the reason for a refusal, or None."""
    old = state.membership
    if not may_change_membership(state):
        return "An earlier change of the replicas is not committed yet."
    if operation is ReplicaOperation.ADD:
        if replica in _all_replicas(old):
            return "The replica is a member already."
        state.removed.pop(replica, None)
        new = LogMembership(old.group, old.voters, (*old.learners, replica))
    else:
        if replica not in _all_replicas(old):
            return "The replica is not a member."
        if old.voters == (replica,):
            return "The last voter cannot be removed."
        new = LogMembership(
            old.group,
            tuple(voter for voter in old.voters if voter != replica),
            tuple(learner for learner in old.learners if learner != replica),
        )
        if replica != state.own:
            state.removed[replica] = state.entries.last_index + 1
    _append_membership(state, new, now_ms)
    return None


def _append_membership(state: LogState, membership: LogMembership, now_ms: float) -> None:
    """Append a membership entry, which takes effect at once."""
    propose(state, EntryKind.MEMBERSHIP, codec.encode(membership), now_ms)
    state.emit(
        "log.membership",
        voters=" ".join(voter.node for voter in membership.voters),
        learners=" ".join(learner.node for learner in membership.learners),
    )


def promote_learners(state: LogState, now_ms: float) -> None:
    """Promote a learner that holds all committed entries if a voter is needed.

    A voter that is gone is removed first, so that the log is not stuck if the learner is lost at
    the same time. One that only stops is removed afterwards, since its vote may still be needed.
    """
    membership = state.membership
    if not membership.learners or not may_change_membership(state):
        return
    for learner in membership.learners:
        peer = state.peers[learner]
        former = [voter for voter in membership.voters if voter.node == learner.node]
        peer.promotion_due = bool(former) or _is_promotion_due(state, learner, now_ms)
        caught_up = peer.match >= state.commit and _is_current(state, learner, now_ms)
        if not peer.promotion_due or not caught_up:
            continue
        gone = former or _voters_to_replace(state, now_ms)
        if gone:
            change_membership(state, ReplicaOperation.REMOVE, gone[0], now_ms)
        else:
            learners = tuple(other for other in membership.learners if other != learner)
            voters = (*membership.voters, learner)
            _append_membership(state, LogMembership(membership.group, voters, learners), now_ms)
        return


def _is_promotion_due(state: LogState, learner: Replica, now_ms: float) -> bool:
    """Return whether a learner should become a voter; without a target each one should."""
    if not state.options.target_voters:
        return True
    return learner not in state.leaving and _needs_voter(state, now_ms)


def on_change(state: LogState, sender: NodeId, message: ChangeReplicas, now_ms: float) -> None:
    """Handle a membership change requested by an operator."""
    if state.position is not Position.LEADER:
        leader = state.leader.node if state.leader else None
        reply = ChangeReplicasReply(
            message.change_id, False, "This replica does not lead.", state.membership, leader
        )
    else:
        reason = change_membership(state, message.operation, message.replica, now_ms)
        reply = ChangeReplicasReply(
            message.change_id, reason is None, reason or "", state.membership, state.own.node
        )
    state.effects.append(Send(sender, reply))
