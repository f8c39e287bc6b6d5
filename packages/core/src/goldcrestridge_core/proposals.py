"""Proposals of a node to the replicated log.

A proposal is repeated with the same id until it is answered or its time is over. The log may
commit it more than once; the store's commands are idempotent, so each copy gives the same result.
"""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import Factory, define
from returns.result import Success

from goldcrestridge_core import codec
from goldcrestridge_core.log_types import Propose, ProposeReply, ReplicasKnown
from goldcrestridge_core.types import Count, NodeId, ProposalDone, Receive, Send, SubmitProposal

# Longer than a commit on a slow disk, and a fraction of an election.
RETRY_INTERVAL_MS = 300.0
# Two replicas that name each other as leader must not cause a message storm.
REDIRECT_INTERVAL_MS = 20.0


@define
class PendingProposal:
    """One proposal that is not answered yet."""

    command: bytes
    expires_at_ms: float
    retry_at_ms: float
    sent: bool = False
    redirected_at_ms: float = 0.0


@define
class Proposals:
    """Client of the log (a role); answers each SubmitProposal with one ProposalDone."""

    replicas: tuple[NodeId, ...]
    rng: Random
    leader: NodeId | None = None
    pending: dict[str, PendingProposal] = Factory(dict)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event."""
        effects: list[Any] = []
        match event:
            case SubmitProposal():
                effects = self._submit(event, now_ms)
            case Receive(message=ProposeReply()):
                effects = self._on_reply(event.sender, event.message, now_ms)
            case ReplicasKnown():
                self.replicas = event.nodes
        return effects + self._run_timers(now_ms)

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next repetition or expiry."""
        times = (min(item.retry_at_ms, item.expires_at_ms) for item in self.pending.values())
        return min(times, default=None)

    def _submit(self, event: SubmitProposal, now_ms: float) -> list[Any]:
        """Send a new proposal; one that is pending already is not sent twice."""
        if event.proposal_id in self.pending:
            return []
        command = codec.encode(event.command)
        item = PendingProposal(command, now_ms + event.timeout_ms, now_ms)
        self.pending[event.proposal_id] = item
        return self._send(event.proposal_id, item, now_ms)

    def _send(self, proposal_id: str, item: PendingProposal, now_ms: float) -> list[Any]:
        """Send a proposal to the leader, or to any replica if none is known."""
        item.retry_at_ms = now_ms + RETRY_INTERVAL_MS
        if self.leader is None and self.replicas:
            self.leader = self.rng.choice(self.replicas)
        if self.leader is None:
            return []
        item.sent = True
        return [Send(self.leader, Propose(proposal_id, item.command))]

    def _on_reply(self, sender: NodeId, reply: ProposeReply, now_ms: float) -> list[Any]:
        """Return the result, or follow the hint to the leader."""
        item = self.pending.get(reply.proposal_id)
        if item is None:
            return []
        if reply.committed:
            decoded = codec.decode(reply.result)
            del self.pending[reply.proposal_id]
            self.leader = sender
            if isinstance(decoded, Success):
                return [ProposalDone(reply.proposal_id, decoded.unwrap())]
            return [Count("proposals.undecodable"), ProposalDone(reply.proposal_id, None)]
        if reply.leader is None or reply.leader == sender:
            if self.leader == sender:
                self.leader = None
            return []
        self.leader = reply.leader
        if now_ms < item.redirected_at_ms + REDIRECT_INTERVAL_MS:
            return []
        item.redirected_at_ms = now_ms
        return self._send(reply.proposal_id, item, now_ms)

    def _run_timers(self, now_ms: float) -> list[Any]:
        """Give up what is over and repeat what is due, to another replica than before."""
        effects: list[Any] = []
        over = [name for name, item in self.pending.items() if now_ms >= item.expires_at_ms]
        for proposal_id in over:
            item = self.pending.pop(proposal_id)
            effects.append(ProposalDone(proposal_id, None, item.sent))
        repeated = [item for item in self.pending.items() if now_ms >= item[1].retry_at_ms]
        if any(item.sent for _, item in repeated):
            self._select_other_replica()
        for proposal_id, item in repeated:
            effects += self._send(proposal_id, item, now_ms)
        return effects

    def _select_other_replica(self) -> None:
        """Stop trusting a leader that did not answer."""
        others = [node for node in self.replicas if node != self.leader]
        self.leader = self.rng.choice(others) if others else self.leader
