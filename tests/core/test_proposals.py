"""Proposals: repetition, hints, and what is reported when no answer comes."""

from __future__ import annotations

from random import Random
from typing import Any

from goldcrestridge_core import codec
from goldcrestridge_core.log_types import Propose, ProposeReply, ReplicasKnown
from goldcrestridge_core.proposals import RETRY_INTERVAL_MS, Proposals
from goldcrestridge_core.store_types import LeaseResult, ReleaseLease
from goldcrestridge_core.types import NodeId, ProposalDone, Receive, Send, SubmitProposal, Tick

A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
RESULT = LeaseResult(False, None, 0)
SUBMIT = SubmitProposal("p1", ReleaseLease("r", A, 1), 1000.0)


def new_proposals(*nodes: NodeId) -> Proposals:
    return Proposals(nodes, Random(1))


def targets(effects: list[Any]) -> list[NodeId]:
    return [effect.to for effect in effects if isinstance(effect, Send)]


def test_a_hint_is_followed_and_the_result_is_returned_once() -> None:
    # Guards against a proposal that waits for a repetition, and against two answers to one.
    proposals = new_proposals(A)
    assert targets(proposals.handle(SUBMIT, 0.0)) == [A]
    assert proposals.handle(SUBMIT, 1.0) == []
    hint = Receive(A, ProposeReply("p1", False, b"", B))
    assert targets(proposals.handle(hint, 30.0)) == [B]
    answer = Receive(B, ProposeReply("p1", True, codec.encode(RESULT)))
    assert proposals.handle(answer, 31.0) == [ProposalDone("p1", RESULT)]
    assert proposals.handle(answer, 32.0) == []
    assert proposals.next_deadline_ms() is None
    assert targets(proposals.handle(SubmitProposal("p2", SUBMIT.command, 9.0), 40.0)) == [B]


def test_two_replicas_that_name_each_other_cause_no_storm() -> None:
    # Guards against a loop of redirections during an election.
    proposals = new_proposals(A, B)
    proposals.handle(SUBMIT, 0.0)
    sends = 0
    for step in range(1000):
        sender, other = (A, B) if step % 2 else (B, A)
        effects = proposals.handle(
            Receive(sender, ProposeReply("p1", False, b"", other)), 0.1 * step
        )
        sends += len(targets(effects))
    assert sends <= 7


def test_a_proposal_is_repeated_with_its_id_to_another_replica() -> None:
    # Guards against a proposal that only ever goes to a dead leader.
    proposals = new_proposals(A, B, C)
    (first,) = proposals.handle(SUBMIT, 0.0)
    (second,) = proposals.handle(Tick(), RETRY_INTERVAL_MS)
    assert first.to != second.to
    assert isinstance(second.message, Propose)
    assert first.message == second.message


def test_the_fate_is_unknown_after_the_timeout_unless_nothing_was_sent() -> None:
    # Guards against a claim reported as not made although a replica may commit it.
    proposals = new_proposals(A)
    proposals.handle(SUBMIT, 0.0)
    assert proposals.handle(Tick(), 1000.0) == [ProposalDone("p1", None, True)]
    alone = new_proposals()
    assert alone.handle(SUBMIT, 0.0) == []
    assert alone.handle(Tick(), 1000.0) == [ProposalDone("p1", None, False)]


def test_proposals_wait_until_a_replica_is_known() -> None:
    # Guards against proposals that are lost at the start of a node.
    proposals = new_proposals()
    proposals.handle(SUBMIT, 0.0)
    proposals.handle(ReplicasKnown((C,)), 10.0)
    assert targets(proposals.handle(Tick(), RETRY_INTERVAL_MS)) == [C]
