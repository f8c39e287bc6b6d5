"""Replicated log: protocol rules of a single replica."""

from __future__ import annotations

from random import Random

import pytest

from goldcrestridge_core import codec
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log import Log, open_log
from goldcrestridge_core.log_members import first_entry
from goldcrestridge_core.log_records import Recovered, recover
from goldcrestridge_core.log_state import Position
from goldcrestridge_core.log_types import (
    Append,
    AppendReply,
    EntryKind,
    HardState,
    InstallSnapshot,
    JoinReplica,
    LogEntry,
    LogFailed,
    LogMembership,
    LogRoute,
    LogSynced,
    PreVote,
    PreVoteReply,
    Query,
    QueryReply,
    Replica,
    Snapshot,
    Vote,
    VoteReply,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId, Receive, Tick
from goldcrestridge_lab.log_group import Register, log_writes, sent_messages

A, B, C = (Replica(NodeId(name), f"{name}-1") for name in "abc")
FIRST_ENTRY = first_entry([A, B, C])


def new_replica(own: Replica = A, now_ms: float = 0.0) -> Log:
    return open_log(
        own, recover(None, [HardState(1, None), FIRST_ENTRY]), Register(), Random(1), now_ms
    )


def route(source: Replica, target: Replica) -> LogRoute:
    group = new_replica().state.membership.group
    return LogRoute(group, source, target)


def test_a_log_is_formed_only_by_replicas_that_are_empty_at_the_same_time() -> None:
    # Guards against a second log formed with members of the first that have no leader, or with
    # replicas that were empty at different times.
    nodes = (A.node, B.node, C.node)
    for last_fresh, at_ms, forms in (
        (True, 100.0, True),
        (False, 100.0, False),
        (True, 9e3, False),
    ):
        replica = open_log(A, Recovered(), Register(), Random(1), 0.0, nodes)
        replica.handle(Receive(B.node, JoinReplica(B, True)), 50.0)
        replica.handle(Receive(C.node, JoinReplica(C, last_fresh)), at_ms)
        assert replica.state.entries.last_index == int(forms)


def test_a_candidate_that_lacks_entries_gets_no_vote() -> None:
    # Guards against a leader that lacks a committed entry.
    replica = new_replica()
    entry = LogEntry(2, 1, EntryKind.BARRIER, 0.0, b"")
    replica.handle(Receive(B.node, Append(route(B, A), 1, 1, 0, (entry,), 0, 1.0)), 1.0)
    for last_index, last_term, granted in ((1, 0, False), (9, 0, False), (2, 1, True)):
        request = PreVote(route(C, A), 2, last_index, last_term)
        (reply,) = sent_messages(replica.handle(Receive(C.node, request), 502.0), PreVoteReply)
        assert reply.granted is granted
    effects = replica.handle(Receive(C.node, Vote(route(C, A), 2, 1, 0)), 503.0)
    for write in log_writes(effects):
        effects += replica.handle(LogSynced(write.token), 504.0)
    assert not any(reply.granted for reply in sent_messages(effects, VoteReply))


def test_entries_of_an_earlier_term_are_committed_only_with_the_barrier_entry() -> None:
    # Guards against committing an entry that is on a quorum but that a later leader may replace.
    replica = new_replica()
    entry = LogEntry(2, 1, EntryKind.BARRIER, 0.0, b"")
    append = Append(route(B, A), 1, 1, 0, (entry,), 0, 1.0)
    write = log_writes(replica.handle(Receive(B.node, append), 1.0))[0]
    replica.handle(LogSynced(write.token), 2.0)
    replica.handle(Tick(), 1100.0)
    effects = replica.handle(Receive(B.node, PreVoteReply(route(B, A), 2, True)), 1101.0)
    replica.handle(LogSynced(log_writes(effects)[0].token), 1102.0)
    effects = replica.handle(Receive(B.node, VoteReply(route(B, A), 2, True)), 1103.0)
    assert replica.state.position is Position.LEADER
    replica.handle(LogSynced(log_writes(effects)[0].token), 1104.0)
    reply = AppendReply(route(B, A), 2, True, 2, 1103.0)
    replica.handle(Receive(B.node, reply), 1105.0)
    assert replica.state.commit == 0
    # A read is not answered either, although the lease is valid: the state may be stale.
    assert not sent_messages(replica.handle(Receive(C.node, Query("q", b"")), 1106.0), QueryReply)
    reply = AppendReply(route(B, A), 2, True, 3, 1103.0)
    (answer,) = sent_messages(replica.handle(Receive(B.node, reply), 1107.0), QueryReply)
    assert answer.answered
    assert replica.state.commit == 3


def test_votes_of_non_members_and_other_incarnations_do_not_count() -> None:
    # Guards against a leader elected by replicas that hold no entries.
    replica = new_replica()
    replica.handle(Tick(), 1100.0)
    other_incarnation = Replica(B.node, "b-2")
    for source in (other_incarnation, Replica(NodeId("d"), "d-1")):
        replica.handle(Receive(source.node, PreVoteReply(route(source, A), 2, True)), 1101.0)
    assert replica.state.term == 1
    effects = replica.handle(Receive(B.node, PreVoteReply(route(B, A), 2, True)), 1102.0)
    replica.handle(LogSynced(log_writes(effects)[0].token), 1103.0)
    replica.handle(Receive(B.node, VoteReply(route(other_incarnation, A), 2, True)), 1104.0)
    assert replica.state.position is Position.CANDIDATE


def test_a_received_snapshot_is_acknowledged_only_after_its_sync() -> None:
    # Guards against a leader that relies on a snapshot that a crash of the follower loses.
    replica = new_replica()
    snapshot = Snapshot(9, 1, 0.0, replica.state.membership, Register([7]).snapshot())
    data = codec.encode(snapshot)
    message = InstallSnapshot(route(B, A), 1, 9, 0, len(data), data, 5.0)
    effects = replica.handle(Receive(B.node, message), 5.0)
    assert not sent_messages(effects, AppendReply)
    assert replica.state.commit == 0
    (write,) = [effect for effect in effects if isinstance(effect, WriteSnapshot)]
    heartbeat = Append(route(B, A), 1, 0, 0, (), 9, 6.0)
    (reply,) = sent_messages(replica.handle(Receive(B.node, heartbeat), 6.0), AppendReply)
    assert reply.match < 9
    (reply,) = sent_messages(replica.handle(LogSynced(write.token), 7.0), AppendReply)
    assert reply.match == 9


def test_a_replica_whose_membership_was_replaced_announces_itself_again() -> None:
    # Guards against a new replica that waits indefinitely after another leader replaced the entry
    # that added it, so that no leader knows the replica.
    replica = open_log(
        C,
        recover(None, [HardState(1, None), first_entry([A, B])]),
        Register(),
        Random(1),
        0.0,
        (A.node, B.node, C.node),
    )
    assert not sent_messages(replica.handle(Tick(), 900.0), JoinReplica)
    assert len(sent_messages(replica.handle(Tick(), 1500.0), JoinReplica)) == 2


def test_a_failed_sync_stops_the_replica_permanently() -> None:
    # Guards against a retried sync that succeeds because the kernel dropped the dirty pages.
    replica = new_replica()
    effects = replica.handle(Tick(), 2000.0)
    replica.handle(Receive(B.node, PreVoteReply(route(B, A), replica.state.term + 1, True)), 2001.0)
    assert replica.state.position is Position.CANDIDATE
    replica.handle(LogFailed("The disk is full."), 2002.0)
    for event in (Tick(), LogSynced(1), Receive(B.node, VoteReply(route(B, A), 2, True))):
        effects = replica.handle(event, 5000.0)
        assert effects == []
    assert replica.next_deadline_ms() is None


def test_a_vote_is_sent_only_after_its_sync() -> None:
    # Guards against a second vote in a term after a crash lost the first one.
    replica = new_replica()
    effects = replica.handle(Receive(B.node, Vote(route(B, A), 2, 1, 0)), 501.0)
    assert not sent_messages(effects, VoteReply)
    (write,) = log_writes(effects)
    (reply,) = sent_messages(replica.handle(LogSynced(write.token), 502.0), VoteReply)
    assert reply.granted
    (refusal,) = sent_messages(
        replica.handle(Receive(C.node, Vote(route(C, A), 2, 9, 1)), 503.0), VoteReply
    )
    assert not refusal.granted


def test_an_append_is_acknowledged_only_after_its_sync() -> None:
    # Guards against a commit that counts an entry held only in memory.
    replica = new_replica()
    entry = LogEntry(2, 2, EntryKind.COMMAND, 0.0, b"x")
    append = Append(route(B, A), 2, 1, 0, (entry,), 0, 5.0)
    effects = replica.handle(Receive(B.node, append), 10.0)
    assert not sent_messages(effects, AppendReply)
    # A heartbeat is not acknowledged either before the new term is durable.
    heartbeat = Append(route(B, A), 2, 0, 0, (), 0, 6.0)
    assert not sent_messages(replica.handle(Receive(B.node, heartbeat), 11.0), AppendReply)
    (write,) = log_writes(effects)
    (reply,) = sent_messages(replica.handle(LogSynced(write.token), 12.0), AppendReply)
    assert (reply.accepted, reply.match, reply.sent_ms) == (True, 2, 6.0)
    # During a sync a heartbeat is acknowledged, but without the entry that is being written.
    third = LogEntry(3, 2, EntryKind.COMMAND, 0.0, b"y")
    append = Append(route(B, A), 2, 2, 2, (third,), 0, 13.0)
    assert not sent_messages(replica.handle(Receive(B.node, append), 13.0), AppendReply)
    heartbeat = Append(route(B, A), 2, 0, 0, (), 0, 14.0)
    (reply,) = sent_messages(replica.handle(Receive(B.node, heartbeat), 14.0), AppendReply)
    assert reply.match == 2


def test_entries_replaced_during_a_sync_are_not_counted_as_durable() -> None:
    # Guards against the completion of an old write that is taken for that of its replacement.
    replica = new_replica()
    kind = EntryKind.COMMAND
    old = tuple(LogEntry(index, 2, kind, 0.0, b"old") for index in (2, 3, 4))
    first = replica.handle(Receive(B.node, Append(route(B, A), 2, 1, 0, old, 0, 1.0)), 1.0)
    new = (LogEntry(2, 3, kind, 0.0, b"new"),)
    replica.handle(Receive(C.node, Append(route(C, A), 3, 1, 0, new, 0, 1.0)), 2.0)
    effects = replica.handle(LogSynced(log_writes(first)[0].token), 3.0)
    assert replica.state.synced == 1
    assert not sent_messages(effects, AppendReply)
    (reply,) = sent_messages(
        replica.handle(LogSynced(log_writes(effects)[0].token), 4.0), AppendReply
    )
    assert reply.match == 2


def test_a_restarted_replica_grants_no_vote_while_a_lease_may_be_valid() -> None:
    # Guards against a vote for another replica while a lease that this replica acknowledged before
    # the restart is valid.
    replica = new_replica(now_ms=1000.0)
    vote = Vote(route(B, A), 5, 1, 0)
    assert replica.handle(Receive(B.node, vote), 1499.0) == []
    assert log_writes(replica.handle(Receive(B.node, vote), 1501.0))


def test_entries_that_conflict_with_a_received_snapshot_are_dropped_on_recovery() -> None:
    # Guards against entries of an old term that reappear after a crash between the write of a
    # received snapshot and the reset of the log.
    stale = [LogEntry(index, 2, EntryKind.COMMAND, 0.0, b"stale") for index in range(2, 11)]
    membership = LogMembership("g", (A, B, C))
    snapshot = Snapshot(8, 3, 0.0, membership, Register().snapshot())
    recovered = recover(snapshot, [FIRST_ENTRY, HardState(2, None), *stale])
    assert recovered.entries.last_index == 8
    replica = open_log(A, recovered, Register(), Random(1), 0.0)
    (write,) = log_writes(replica.handle(Tick(), 1.0))
    after = LogEntry(9, 3, EntryKind.COMMAND, 0.0, b"new")
    again = recover(snapshot, [FIRST_ENTRY, HardState(2, None), *stale, *write.records, after])
    assert again.entries.at(9) == after
    assert again.entries.last_index == 9


def test_a_committed_entry_is_never_replaced() -> None:
    # Guards against silent divergence if a faulty peer sends a conflicting entry.
    replica = new_replica()
    kind = EntryKind.BARRIER
    entry = LogEntry(2, 2, kind, 0.0, b"one")
    replica.handle(Receive(B.node, Append(route(B, A), 2, 1, 0, (entry,), 2, 1.0)), 1.0)
    assert replica.state.commit == 2
    other = LogEntry(2, 3, kind, 0.0, b"two")
    message = Receive(C.node, Append(route(C, A), 3, 1, 0, (other,), 2, 1.0))
    with pytest.raises(InvariantError):
        replica.handle(message, 2.0)


def test_a_replica_without_membership_starts_no_election() -> None:
    # Guards against an election by an empty replica that knows no membership.
    replica = open_log(A, Recovered(), Register(), Random(1), 0.0, (A.node, B.node, C.node))
    for now_ms in range(0, 10_000, 100):
        replica.handle(Tick(), float(now_ms))
    assert replica.state.term == 0
