"""Leader election: pre-vote, vote and step-down.

A replica that heard from a leader within the election timeout ignores vote requests and refuses
pre-votes. The leader lease depends on this, so a restarted replica also waits for one election
timeout before it grants a vote.
"""

from __future__ import annotations

from collections.abc import Iterable

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log_state import LogState, Position
from goldcrestridge_core.log_types import (
    Append,
    InstallSnapshot,
    PreVote,
    PreVoteReply,
    QueryReply,
    Replica,
    Vote,
    VoteReply,
)
from goldcrestridge_core.types import Send


def start_timer(state: LogState, now_ms: float) -> None:
    """Restart the election timer with a random timeout, which makes split votes rare."""
    timeout_ms = state.options.election_timeout_ms
    state.election_at_ms = now_ms + timeout_ms * (1.0 + state.rng.random())


def is_quorum(state: LogState, replicas: Iterable[Replica]) -> bool:
    """Return whether the replicas include a majority of the voters."""
    voters = set(state.membership.voters)
    return 2 * len(voters.intersection(replicas)) > len(voters)


def on_election_timeout(state: LogState, now_ms: float) -> None:
    """Start a pre-vote round if this replica is a voter."""
    start_timer(state, now_ms)
    if not state.is_voter:
        return
    state.position = Position.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.own}
    for voter in _other_voters(state):
        entries = state.entries
        state.send(
            voter,
            PreVote(state.route(voter), state.term + 1, entries.last_index, entries.last_term),
        )
    _count_pre_votes(state, now_ms)


def _other_voters(state: LogState) -> list[Replica]:
    """Return the other voters in membership order."""
    return [voter for voter in state.membership.voters if voter != state.own]


def _count_pre_votes(state: LogState, now_ms: float) -> None:
    """Start an election once a quorum has granted its pre-vote."""
    if not is_quorum(state, state.votes):
        return
    change_term(state, state.term + 1, state.own)
    state.position = Position.CANDIDATE
    start_timer(state, now_ms)
    for voter in _other_voters(state):
        entries = state.entries
        state.send_durable(
            voter, Vote(state.route(voter), state.term, entries.last_index, entries.last_term)
        )


def change_term(state: LogState, term: int, voted_for: Replica | None) -> None:
    """Enter a higher term as a follower with no known leader."""
    _become_follower(state)
    state.save_hard_state(term, voted_for)


def _become_follower(state: LogState) -> None:
    """Become a follower and clear the leader and candidate state.

    Pending proposals are dropped without a reply, because they may still be committed; clients
    retry them. Pending reads are answered as not served.
    """
    if state.position is Position.LEADER:
        state.emit("log.stepped_down", term=state.term)
    state.position = Position.FOLLOWER
    state.leader = None
    state.votes = set()
    state.peers = {}
    state.removed = {}
    state.waiters = {}
    state.proposal_indexes = {}
    state.verified = 0
    state.ack_pending = False
    state.leader_sent_ms = -1.0
    state.incoming_snapshot = None
    state.effects.extend(Send(node, QueryReply(query, False)) for node, query, *_ in state.queries)
    state.queries = []


def step_down(state: LogState, now_ms: float) -> None:
    """Become a follower in the current term."""
    _become_follower(state)
    start_timer(state, now_ms)


def has_leader_contact(state: LogState, now_ms: float) -> bool:
    """Return whether this replica is leader or heard from one within the election timeout."""
    if state.position is Position.LEADER:
        return True
    return now_ms - state.last_contact_ms < state.options.election_timeout_ms


def _is_up_to_date(state: LogState, message: PreVote | Vote) -> bool:
    """Return whether the candidate's log is at least as up to date as this one."""
    own = (state.entries.last_term, state.entries.last_index)
    return (message.last_term, message.last_index) >= own


def on_pre_vote(state: LogState, message: PreVote, now_ms: float) -> None:
    """Reply whether this replica would grant its vote in the requested term."""
    source = message.route.source
    granted = (
        message.term > state.term
        and _is_up_to_date(state, message)
        and not has_leader_contact(state, now_ms)
    )
    term = message.term if granted else state.term
    state.send(source, PreVoteReply(state.route(source), term, granted))


def on_pre_vote_reply(state: LogState, message: PreVoteReply, now_ms: float) -> None:
    """Count a granted pre-vote; adopt the term of a refusal if it is higher."""
    if not message.granted:
        if message.term > state.term:
            change_term(state, message.term, None)
        return
    if state.position is Position.PRE_CANDIDATE and message.term == state.term + 1:
        state.votes.add(message.route.source)
        _count_pre_votes(state, now_ms)


def on_vote(state: LogState, message: Vote, now_ms: float) -> None:
    """Grant at most one vote per term; reply once the vote is durable."""
    source = message.route.source
    if message.term < state.term:
        state.send(source, VoteReply(state.route(source), state.term, False))
        return
    if has_leader_contact(state, now_ms):
        return
    if message.term > state.term:
        change_term(state, message.term, None)
    granted = state.voted_for in (None, source) and _is_up_to_date(state, message)
    if granted:
        if state.voted_for is None:
            state.save_hard_state(state.term, source)
        start_timer(state, now_ms)
    state.send_durable(source, VoteReply(state.route(source), state.term, granted))


def on_vote_reply(state: LogState, message: VoteReply) -> None:
    """Count a vote granted in the current term; step down on a higher term."""
    if message.term > state.term:
        change_term(state, message.term, None)
    elif message.granted and message.term == state.term and state.position is Position.CANDIDATE:
        state.votes.add(message.route.source)


def is_elected(state: LogState) -> bool:
    """Return whether this candidate has a quorum; its own vote counts only once durable."""
    if state.position is not Position.CANDIDATE or state.hard_state_pending:
        return False
    state.votes.add(state.own)
    return is_quorum(state, state.votes)


def accept_leader(state: LogState, message: Append | InstallSnapshot, now_ms: float) -> bool:
    """Follow the sender unless its term is outdated; return whether it was accepted.

    Raise InvariantError if this replica is itself leader in the sender's term.
    """
    if message.term < state.term:
        return False
    if message.term > state.term:
        change_term(state, message.term, None)
    if state.position is Position.LEADER:
        raise InvariantError(
            f"Replica {message.route.source.node} acts as leader in term {state.term},"
            f" which this replica leads."
        )
    if state.leader != message.route.source:
        _become_follower(state)
        state.leader = message.route.source
    state.last_leader = message.route.source
    state.last_contact_ms = now_ms
    state.leader_sent_ms = max(state.leader_sent_ms, message.sent_ms)
    start_timer(state, now_ms)
    return True
