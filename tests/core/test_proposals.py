"""Proposals: retries, redirects and timeouts."""

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


def test_a_redirect_is_followed_and_the_result_is_returned_once() -> None:
    # Guards against a redirect that is delayed until the next retry, and against two results.
    proposals = new_proposals(A)
    assert targets(proposals.handle(SUBMIT, 0.0)) == [A]
    assert proposals.handle(SUBMIT, 1.0) == []
    redirect = Receive(A, ProposeReply("p1", False, b"", B))
    assert targets(proposals.handle(redirect, 30.0)) == [B]
    answer = Receive(B, ProposeReply("p1", True, codec.encode(RESULT)))
    assert proposals.handle(answer, 31.0) == [ProposalDone("p1", RESULT)]
    assert proposals.handle(answer, 32.0) == []
    assert proposals.next_deadline_ms() is None
    assert targets(proposals.handle(SubmitProposal("p2", SUBMIT.command, 9.0), 40.0)) == [B]


def test_two_replicas_that_name_each_other_as_leader_cause_no_message_storm() -> None:
    # Guards against a redirect loop during an election.
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


def test_a_proposal_is_retried_with_its_id_at_another_replica() -> None:
    # Guards against a proposal that is only sent to a dead leader.
    proposals = new_proposals(A, B, C)
    (first,) = proposals.handle(SUBMIT, 0.0)
    (second,) = proposals.handle(Tick(), RETRY_INTERVAL_MS)
    assert first.to != second.to
    assert isinstance(second.message, Propose)
    assert first.message == second.message


def test_a_timed_out_proposal_reports_whether_it_was_sent() -> None:
    # Guards against a claim that is reported as not sent although a replica may commit it.
    proposals = new_proposals(A)
    proposals.handle(SUBMIT, 0.0)
    assert proposals.handle(Tick(), 1000.0) == [ProposalDone("p1", None, True)]
    without_replicas = new_proposals()
    assert without_replicas.handle(SUBMIT, 0.0) == []
    assert without_replicas.handle(Tick(), 1000.0) == [ProposalDone("p1", None, False)]


def test_proposals_wait_until_a_replica_is_known() -> None:
    # Guards against proposals that are lost while a node starts.
    proposals = new_proposals()
    proposals.handle(SUBMIT, 0.0)
    proposals.handle(ReplicasKnown((C,)), 10.0)
    assert targets(proposals.handle(Tick(), RETRY_INTERVAL_MS)) == [C]
