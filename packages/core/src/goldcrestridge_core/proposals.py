"""Client that proposes commands to the replicated log.

A proposal is retried with the same id until it is answered or times out. The log may commit it more
than once; the commands of the store are idempotent, so that each copy gives the same result.
"""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import Factory, define
from returns.result import Success

from goldcrestridge_core import codec
from goldcrestridge_core.log_types import Propose, ProposeReply, ReplicasKnown
from goldcrestridge_core.types import Count, NodeId, ProposalDone, Receive, Send, SubmitProposal

# Longer than a commit on a slow disk, and a fraction of the time that an election takes.
RETRY_INTERVAL_MS = 300.0
# Limits redirects, so that two replicas that name each other as leader cause no message storm.
REDIRECT_INTERVAL_MS = 20.0


@define
class PendingProposal:
    """Proposal that is not answered yet."""

    command: bytes
    expires_at_ms: float
    retry_at_ms: float
    sent: bool = False
    redirected_at_ms: float = 0.0


@define
class Proposals:
    """Log client role; answers each SubmitProposal with exactly one ProposalDone."""

    replicas: tuple[NodeId, ...]
    rng: Random
    leader: NodeId | None = None
    pending: dict[str, PendingProposal] = Factory(dict)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Handle one event and return the effects."""
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
        """Return the time of the next retry or timeout, or None."""
        times = (min(item.retry_at_ms, item.expires_at_ms) for item in self.pending.values())
        return min(times, default=None)

    def _submit(self, event: SubmitProposal, now_ms: float) -> list[Any]:
        """Register a new proposal; ignore one that is already pending."""
        if event.proposal_id in self.pending:
            return []
        command = codec.encode(event.command)
        item = PendingProposal(command, now_ms + event.timeout_ms, now_ms)
        self.pending[event.proposal_id] = item
        return self._send(event.proposal_id, item, now_ms)

    def _send(self, proposal_id: str, item: PendingProposal, now_ms: float) -> list[Any]:
        """Send a proposal to the leader, or to a random replica if the leader is unknown."""
        item.retry_at_ms = now_ms + RETRY_INTERVAL_MS
        if self.leader is None and self.replicas:
            self.leader = self.rng.choice(self.replicas)
        if self.leader is None:
            return []
        item.sent = True
        return [Send(self.leader, Propose(proposal_id, item.command))]

    def _on_reply(self, sender: NodeId, reply: ProposeReply, now_ms: float) -> list[Any]:
        """Return the result, or follow the redirect to the leader."""
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
        """Time out expired proposals and retry the due ones, at another replica than before."""
        effects: list[Any] = []
        expired = [
            proposal_id
            for proposal_id, item in self.pending.items()
            if now_ms >= item.expires_at_ms
        ]
        for proposal_id in expired:
            item = self.pending.pop(proposal_id)
            effects.append(ProposalDone(proposal_id, None, item.sent))
        retries = [item for item in self.pending.items() if now_ms >= item[1].retry_at_ms]
        if any(item.sent for _, item in retries):
            self._select_other_replica()
        for proposal_id, item in retries:
            effects += self._send(proposal_id, item, now_ms)
        return effects

    def _select_other_replica(self) -> None:
        """Replace the assumed leader, which did not answer, by another replica."""
        others = [node for node in self.replicas if node != self.leader]
        self.leader = self.rng.choice(others) if others else self.leader
