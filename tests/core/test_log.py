"""Replicated log: failure scenarios in a group of replicas."""

from __future__ import annotations

import os
import subprocess
import sys
from random import Random
from typing import Any

from goldcrestridge_core.log_records import recover
from goldcrestridge_core.log_state import LogOptions, Position
from goldcrestridge_core.log_types import (
    ChangeReplicas,
    ChangeReplicasReply,
    LogRoute,
    LogSynced,
    PreVote,
    PreVoteReply,
    Propose,
    Replica,
    ReplicaOperation,
    Vote,
    VoteReply,
    WallTime,
)
from goldcrestridge_core.types import NodeId, Receive
from goldcrestridge_lab.log_group import Group, Member, log_writes, new_group, sent_messages


def formed_group(size: int = 3, **options: Any) -> tuple[Group, Member]:
    group = new_group(Random(5), size, LogOptions(**options) if options else None)
    group.run(3000)
    return group, leader_of(group)


def leader_of(group: Group) -> Member:
    leaders = [member for member in group.members.values() if member.log and member.log.leads]
    assert len(leaders) == 1
    return leaders[0]


def followers_of(group: Group) -> list[Member]:
    return [member for member in group.members.values() if member is not leader_of(group)]


def isolate(group: Group, member: Member) -> None:
    for other in group.members:
        group.network.block(member.node, other, both=True)


def run_until_repaired(group: Group) -> None:
    for _ in range(2000):
        if group.is_repaired():
            break
        group.run(10)
    assert group.is_repaired()


def write_values(group: Group, count: int) -> None:
    for _ in range(count):
        group.write(group.highest_version, leader_of(group).node)
        group.run(10)


def test_an_isolated_leader_serves_no_reads_after_its_lease_expired() -> None:
    # Guards against stale reads from a leader that is partitioned without noticing it.
    group, old = formed_group()
    isolate(group, old)
    group.run(460)
    reads = [group.read(old.node)]
    group.run(5000)
    new = leader_of(group)
    assert new is not old
    group.write(0, new.node)
    group.run(50)
    reads.append(group.read(old.node))
    group.run(3000)
    assert group.highest_version == 1
    assert all(group.operations[name].result is None for name in reads)


def test_an_isolated_leader_that_rejoins_does_not_force_an_election() -> None:
    # Guards against a term that increases during the partition and forces an election afterwards.
    group, old = formed_group()
    isolate(group, old)
    group.run(60_000)
    new = leader_of(group)
    assert new.log is not None
    term = new.log.state.term
    group.network.heal()
    group.run(5000)
    assert leader_of(group) is new
    assert new.log.state.term == term
    assert old.log is not None
    assert old.log.state.term == term


def test_a_lease_expires_before_another_replica_can_be_elected() -> None:
    # Guards against a lease that is still valid when the followers may vote for another leader.
    group, old = formed_group()
    isolate(group, old)
    last_read_ms = 0.0
    for _ in range(1000):
        group.run(5)
        assert old.log is not None
        name = group.read(old.node)
        group.run(3)
        if group.operations[name].result is not None:
            last_read_ms = group.now_ms
        others = [member for member in group.members.values() if member is not old]
        if any(other.log and other.log.state.position is Position.LEADER for other in others):
            break
    assert group.current_leaders() not in ([], [old.node])
    assert last_read_ms < group.now_ms - 40


def test_a_lease_expires_before_the_leader_steps_down() -> None:
    # Guards against reads after the followers may vote again but before the next heartbeat, if the
    # last acknowledged append was sent between two heartbeats.
    group, leader = formed_group()
    assert leader.log is not None
    group.run(leader.log.state.heartbeat_at_ms - group.now_ms + 50)
    group.write(0, leader.node)
    group.run(10)
    assert group.highest_version == 1
    isolate(group, leader)
    group.run(430)
    allowed = group.read(leader.node)
    group.run(25)
    refused = group.read(leader.node)
    group.run(25)
    assert leader.log.state.position is Position.LEADER
    assert group.operations[allowed].result == (1, 1)
    assert group.operations[refused].result is None


def test_reads_are_confirmed_by_a_quorum_without_leases() -> None:
    # Guards against reads that never finish, or that are answered without a quorum, if lease reads
    # are disabled.
    group, leader = formed_group(lease_reads=False)
    name = group.read(leader.node)
    group.run(250)
    assert group.operations[name].result == (0, 0)
    isolate(group, leader)
    name = group.read(leader.node)
    group.run(400)
    assert group.operations[name].result is None


def test_a_replica_that_lost_its_disk_does_not_vote_as_its_former_incarnation() -> None:
    # Guards against a voter that has lost its vote or entries that it acknowledged.
    group, leader = formed_group()
    lost = followers_of(group)[0]
    group.lose_disk(lost.node)
    group.start(lost.node)
    assert lost.log is not None
    former = Replica(lost.node, "first-" + lost.node[1:])
    for message_route in (
        LogRoute("", leader.disk.replica, former),
        LogRoute("x", leader.disk.replica, former),
    ):
        for message in (Vote(message_route, 9, 99, 9), PreVote(message_route, 9, 99, 9)):
            effects = lost.log.handle(Receive(leader.node, message), group.now_ms + 1e6)
            assert not sent_messages(effects, VoteReply)
            assert not sent_messages(effects, PreVoteReply)
            assert lost.log.state.term == 0


def test_an_empty_replica_forms_no_second_log() -> None:
    # Guards against a second log if a replica loses its folder and then receives nothing from the
    # others.
    group, _ = formed_group()
    lost = followers_of(group)[0]
    for other in group.members:
        group.network.block(other, lost.node, both=False)
    group.lose_disk(lost.node)
    group.start(lost.node)
    group.run(10_000)
    assert lost.log is not None
    assert lost.log.state.entries.last_index == 0


def test_a_second_failure_right_after_a_repair_loses_no_committed_entry() -> None:
    # Guards against a replaced replica that votes before it has caught up.
    for size in (3, 5):
        group, leader = formed_group(size)
        write_values(group, 60)
        lost = followers_of(group)[0]
        group.lose_disk(lost.node)
        group.start(lost.node)
        run_until_repaired(group)
        group.crash(leader.node)
        group.run(5000)
        assert leader_of(group).register.values == list(range(1, 61))
        write_values(group, 1)
        assert group.highest_version == 61


def test_a_learner_does_not_count_towards_a_quorum() -> None:
    # Guards against a commit that counts a replica that has not caught up.
    group, leader = formed_group()
    lost, other = followers_of(group)
    group.network.block(leader.node, lost.node)
    group.lose_disk(lost.node)
    group.start(lost.node)
    group.run(3000)
    assert leader.log is not None
    assert lost.disk.replica in leader.log.state.membership.learners
    group.crash(other.node)
    group.network.heal()
    group.write(0, leader.node)
    group.run(400)
    assert group.highest_version == 0


def test_a_learner_is_promoted_only_when_it_holds_all_committed_entries() -> None:
    # Guards against a replaced replica that becomes a voter while it still lacks entries.
    group, leader = formed_group()
    lost = followers_of(group)[0]
    group.lose_disk(lost.node)
    lost.disk.delay_ms = 30.0
    group.start(lost.node)
    group.load_interval_ms = 5.0
    assert leader.log is not None
    committed = 0
    for _ in range(20_000):
        if lost.disk.replica in leader.log.state.membership.voters:
            break
        committed = leader.log.state.commit
        group.run(0.5)
    assert lost.disk.replica in leader.log.state.membership.voters
    assert lost.log is not None
    assert lost.log.state.synced >= committed


def test_another_replica_becomes_leader_if_the_disk_of_the_leader_fails() -> None:
    # Guards against a leader that keeps its lease after its disk failed.
    group, leader = formed_group()
    leader.disk.failing = True
    group.write(0, leader.node)
    group.run(5000)
    new = leader_of(group)
    assert new is not leader
    group.write(len(new.register.values), new.node)
    group.run(100)
    assert group.highest_version >= 1


def test_proposals_that_arrive_during_a_sync_share_the_next_one() -> None:
    # Guards against a separate sync for each entry.
    group, leader = formed_group()
    assert leader.log is not None
    effects: list[Any] = []
    for number in range(100):
        propose = Propose(f"p{number}", b"")
        effects += leader.log.handle(Receive(NodeId("x"), propose), group.now_ms)
    assert [len(write.records) for write in log_writes(effects)] == [1]
    effects = leader.log.handle(LogSynced(log_writes(effects)[0].token), group.now_ms)
    assert [len(write.records) for write in log_writes(effects)] == [99]


def test_wall_clock_steps_of_one_replica_move_neither_stamps_nor_leases() -> None:
    # Guards against a clock step that permanently advances store time or causes an election.
    group, leader = formed_group()
    write_values(group, 3)
    assert leader.log is not None
    term = leader.log.state.term
    before_ms = leader.register.stamps_ms[-1]
    for step_ms in (1e10, -1e10):
        leader.wall_ms += step_ms
        event = WallTime(leader.wall_ms + group.now_ms)
        group.handle(leader, event)
        write_values(group, 3)
    assert 0 <= leader.register.stamps_ms[-1] - before_ms < 1000
    assert leader.log.state.term == term


def test_the_records_read_at_restart_are_bounded_by_the_snapshot_interval() -> None:
    # Guards against a restart that replays the whole history.
    group, leader = formed_group()
    write_values(group, 200)
    for member in group.members.values():
        records = [record for frame in member.disk.frames for record in frame]
        assert len(records) <= 20 + 5 + 10
        recovered = recover(member.disk.snapshot, records)
        assert recovered.snapshot is not None
        assert recovered.entries.last_index - recovered.snapshot.index <= 20
    group.crash(leader.node)
    group.start(leader.node)
    group.run(3000)
    assert leader.register.values == list(range(1, 201))


def test_a_membership_change_is_refused_until_the_previous_one_is_committed() -> None:
    # Guards against two changes whose quorums do not overlap.
    group, leader = formed_group()
    assert leader.log is not None

    def request_change(operation: ReplicaOperation, replica: Replica) -> ChangeReplicasReply:
        assert leader.log is not None
        message = ChangeReplicas("c", operation, replica)
        effects = leader.log.handle(Receive(NodeId("op"), message), group.now_ms)
        (reply,) = sent_messages(effects, ChangeReplicasReply)
        assert isinstance(reply, ChangeReplicasReply)
        return reply

    first, second = followers_of(group)
    assert request_change(ReplicaOperation.ADD, first.disk.replica).reason.endswith("already.")
    assert request_change(ReplicaOperation.REMOVE, first.disk.replica).accepted
    assert (
        "not committed yet" in request_change(ReplicaOperation.REMOVE, second.disk.replica).reason
    )


def test_a_removed_leader_steps_down_and_another_is_elected() -> None:
    # Guards against a removed leader that continues to lead or votes for itself.
    group, leader = formed_group(5)
    message = ChangeReplicas("c", ReplicaOperation.REMOVE, leader.disk.replica)
    group.handle(leader, Receive(NodeId("op"), message))
    group.run(5000)
    new = leader_of(group)
    assert new is not leader
    assert new.log is not None
    assert leader.disk.replica not in new.log.state.membership.voters


def test_the_same_seed_gives_the_same_messages_in_another_process() -> None:
    # Guards against an order that depends on hash values or object addresses.
    program = (
        "from random import Random; import hashlib; from goldcrestridge_core import codec;"
        "from goldcrestridge_lab import log_group; digest = hashlib.sha256();"
        "group = log_group.new_group(Random(7), 5); send = group.network.send;"
        "group.load_interval_ms = 10.0; group.network.loss = 0.2; names = list(group.members)\n"
        "while group.now_ms < 20_000:\n"
        "    group.run(500); group.lose_disk(names[0]) if group.is_repaired() else None;"
        "    group.start(names[0])\n"
        "for member in group.members.values():\n"
        "    [digest.update(codec.encode(r)) for f in member.disk.frames for r in f]\n"
        "print(digest.hexdigest(), group.network.sent)"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1
    assert len(outputs.pop()) > 64
