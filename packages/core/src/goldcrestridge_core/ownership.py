"""Ownership role: acquires, renews, hands over and announces the leases of shards."""

from __future__ import annotations

import enum
import random
from typing import Any

from attrs import define, field

from goldcrestridge_core.addresses import ENTRY_ROLE
from goldcrestridge_core.call_types import OwnerChanged
from goldcrestridge_core.member_types import (
    MemberDown,
    MemberLeaving,
    MemberState,
    MemberUp,
    OwnerAnnounce,
    OwnerClaim,
    OwnershipGained,
    OwnershipLost,
    ReleaseOwnership,
    ShardsChanged,
)
from goldcrestridge_core.shards import Ranking
from goldcrestridge_core.store_types import AcquireLease, LeaseResult, ReleaseLease
from goldcrestridge_core.types import (
    Count,
    Emit,
    NodeId,
    ProposalDone,
    Receive,
    Send,
    ShardId,
    ShardSummary,
    SubmitProposal,
)

LEASE_MS = 2_000.0
RENEW_MS = LEASE_MS / 3
# The holder stops this long before its lease ends, which allows for monotonic clocks whose rates
# differ by 2.5%.
LEASE_GUARD_MS = 50.0
PROPOSAL_TIMEOUT_MS = 600.0  # Below RENEW_MS, so that two renewals fit into one lease.
FIRST_RETRY_MS = 150.0
MAX_RETRY_MS = 1_000.0
# Time of two missed announcements. The first standby proposes after it, the second after twice the
# time. A false positive costs one denied proposal.
ORPHAN_TIMEOUT_MS = 1_500.0
STANDBYS = 2
ANNOUNCE_ROUNDS = 2
MAX_EARLY_ANNOUNCEMENTS = 1_024  # Several times the number of shards at the design size.


def lease_resource(shard: ShardId) -> str:
    """Return the name of a shard's lease in the store."""
    return f"shard/{shard}"


class _ProposalKind(enum.Enum):
    """Kind of the proposal in flight for a shard."""

    LEASE = "lease"
    RELEASE = "release"


@define
class _Shard:
    """State of one shard on this node.

    ``owner`` and ``epoch`` are the last known owner and its epoch. ``held_epoch`` is the epoch of
    this node's own lease, or 0. ``last_epoch`` is the highest epoch in the results of this node's
    proposals, or None before the first one.
    """

    ranking: Ranking
    last_announced_ms: float
    owner: NodeId | None = None
    epoch: int = 0
    held_epoch: int = 0
    last_epoch: int | None = None
    lease_end_ms: float = 0.0
    next_attempt_ms: float = 0.0
    denials: int = 0
    announce_rounds: int = 0
    in_flight: _ProposalKind | None = None
    proposal_id: str = ""
    sent_ms: float = 0.0


@define
class Ownership:
    """Hold the leases of the shards that this node should own.

    ``own`` is this node's id. ``boot_id`` differs at every start; it is the session of the leases
    and part of the proposal ids. Only live members with the role ``entry`` own shards.

    Events: ShardsChanged; MemberUp, MemberLeaving and MemberDown, also for this node;
    ProposalDone; Receive of OwnerAnnounce, ShardSummary and OwnerClaim; ReleaseOwnership; Tick.
    Effects: OwnershipGained, OwnershipLost, OwnerChanged, SubmitProposal, Send, Emit, Count.

    The node that ranks first by rendezvous hashing acquires the lease. A holder releases it on
    the OwnerClaim of a node that ranks before it; the claim proves that the sender reaches the
    log. If no owner is announced, the next two nodes try to take over one after the other. The
    holder counts its lease from the time at which the request was sent and stops by its own
    monotonic clock. Each OwnershipGained of this node for a shard has a higher epoch than all
    earlier ones, also across a restart: a grant that may continue an earlier one is released and
    acquired again.
    """

    own: NodeId
    boot_id: str
    rng: random.Random
    _shards: dict[ShardId, _Shard] = field(factory=dict)
    _nodes: dict[NodeId, None] = field(factory=dict)
    # Nodes that drain own no shards, but may still have requests that wait for an owner.
    _leaving: dict[NodeId, None] = field(factory=dict)
    _proposals: dict[str, ShardId] = field(factory=dict)
    _early_announcements: dict[ShardId, tuple[NodeId, int]] = field(factory=dict)
    _proposal_count: int = 0
    _released: bool = False
    _deadline_ms: float | None = None

    def owner(self, shard: ShardId) -> tuple[NodeId, int] | None:
        """Return the owner and epoch of a shard, or None if no owner can be named.

        If no owner is known, the result is the node that ranks first, with epoch 0.
        """
        state = self._shards.get(shard)
        if state is None:
            return None
        if state.owner is not None:
            return state.owner, state.epoch
        first = state.ranking.first(1)
        return (first[0], 0) if first else None

    def owned_shards(self) -> dict[ShardId, int]:
        """Return the epochs of the shards that this node owns."""
        return {
            shard: state.held_epoch for shard, state in self._shards.items() if state.held_epoch
        }

    def next_deadline_ms(self) -> float | None:
        """Return when a lease ends, a proposal is due or a shard is considered orphaned."""
        return self._deadline_ms

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        effects = self._expire(now_ms) + self._apply(event, now_ms) + self._propose(now_ms)
        times = [t for state in self._shards.values() if (t := self._due_ms(state)) is not None]
        self._deadline_ms = min(times, default=None)
        return effects

    def _apply(self, event: Any, now_ms: float) -> list[Any]:
        """Dispatch one event."""
        match event:
            case ShardsChanged(shards=shards):
                return self._set_shards(shards, now_ms)
            case MemberUp(member=member):
                self._leaving.pop(member.node, None)
                live = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
                if live and ENTRY_ROLE in member.roles:
                    return self._add_node(member.node)
                self._remove_node(member.node, now_ms)
                if member.state is MemberState.LEAVING and ENTRY_ROLE in member.roles:
                    self._leaving[member.node] = None
            case MemberLeaving(node=node):
                if node in self._nodes:
                    self._leaving[node] = None
                self._remove_node(node, now_ms)
            case MemberDown(node=node):
                self._leaving.pop(node, None)
                self._remove_node(node, now_ms)
            case ProposalDone(proposal_id=proposal_id, result=result):
                return self._handle_result(proposal_id, result, now_ms)
            case Receive(
                message=OwnerAnnounce(shard=shard, owner=owner, epoch=epoch)
                | ShardSummary(shard=shard, owner=owner, epoch=epoch)
            ):
                return self._learn_owner(shard, owner, epoch, now_ms)
            case Receive(sender=sender, message=OwnerClaim(shard=shard)):
                return self._handle_claim(sender, shard, now_ms)
            case ReleaseOwnership():
                self._released = True
                held = [(shard, state) for shard, state in self._shards.items() if state.held_epoch]
                return [
                    e for shard, state in held for e in self._release_shard(shard, state, now_ms)
                ]
        return []

    # Shards and members.

    def _set_shards(self, shards: tuple[ShardId, ...], now_ms: float) -> list[Any]:
        """Start tracking new shards and release those that no longer exist."""
        effects: list[Any] = []
        for shard in [shard for shard in self._shards if shard not in shards]:
            state = self._shards[shard]
            if state.held_epoch:
                effects += self._release_shard(shard, state, now_ms)
            del self._shards[shard]
        for shard in shards:
            if shard not in self._shards:
                self._shards[shard] = _Shard(Ranking(shard), now_ms)
                for node in self._nodes:
                    self._shards[shard].ranking.add(node)
                if shard in self._early_announcements:
                    effects += self._learn_owner(
                        shard, *self._early_announcements.pop(shard), now_ms
                    )
        return effects

    def _add_node(self, node: NodeId) -> list[Any]:
        """Rank a live node and announce to it the shards that this node owns."""
        if node not in self._nodes:
            self._nodes[node] = None
            for state in self._shards.values():
                state.ranking.add(node)
        if node == self.own:
            return []
        return [
            Send(node, OwnerAnnounce(s, self.own, epoch))
            for s, epoch in self.owned_shards().items()
        ]

    def _remove_node(self, node: NodeId, now_ms: float) -> None:
        """Stop ranking a node and reset the retry backoff of the shards that it owned."""
        if node not in self._nodes:
            return
        del self._nodes[node]
        for state in self._shards.values():
            state.ranking.remove(node)
            if state.owner == node:
                state.denials = 0
                state.next_attempt_ms = now_ms

    # Lease expiry and proposals.

    def _expire(self, now_ms: float) -> list[Any]:
        """End the ownership of shards whose lease has expired; called before each event."""
        return [
            effect
            for shard, state in self._shards.items()
            if state.held_epoch and now_ms >= state.lease_end_ms
            for effect in self._end_ownership(shard, state, "expired")
        ]

    def _eligible_from_ms(self, state: _Shard) -> float | None:
        """Return the time from which this node may acquire the shard, or None if it may not."""
        rank = state.ranking.rank(self.own)
        if self._released or rank is None or rank > STANDBYS:
            return None
        return 0.0 if rank == 0 else state.last_announced_ms + rank * ORPHAN_TIMEOUT_MS

    def _due_ms(self, state: _Shard) -> float | None:
        """Return the next deadline of one shard, or None if there is none."""
        if state.held_epoch:
            return (
                state.lease_end_ms
                if state.in_flight
                else min(state.lease_end_ms, state.next_attempt_ms)
            )
        eligible_ms = self._eligible_from_ms(state)
        return (
            None
            if state.in_flight or eligible_ms is None
            else max(eligible_ms, state.next_attempt_ms)
        )

    def _propose(self, now_ms: float) -> list[Any]:
        """Return the proposals of the acquisitions and renewals that are due."""
        due = [
            (shard, state)
            for shard, state in self._shards.items()
            if state.in_flight is None
            and (due_ms := self._due_ms(state)) is not None
            and due_ms <= now_ms
        ]
        return [
            self._submit(
                shard,
                state,
                _ProposalKind.LEASE,
                AcquireLease(
                    lease_resource(shard), self.own, LEASE_MS, state.held_epoch, self.boot_id
                ),
                now_ms,
            )
            for shard, state in due
        ]

    def _submit(
        self, shard: ShardId, state: _Shard, kind: _ProposalKind, command: Any, now_ms: float
    ) -> SubmitProposal:
        """Return a proposal and record it as in flight for the shard."""
        self._proposal_count += 1
        state.in_flight, state.sent_ms = kind, now_ms
        state.proposal_id = f"{self.own}/{self.boot_id}/lease/{self._proposal_count}"
        self._proposals[state.proposal_id] = shard
        return SubmitProposal(state.proposal_id, command, PROPOSAL_TIMEOUT_MS)

    # Results of proposals.

    def _handle_result(self, proposal_id: str, result: Any, now_ms: float) -> list[Any]:
        """Apply the result of a proposal; the result of an outdated one is ignored."""
        shard = self._proposals.pop(proposal_id, None)
        state = self._shards.get(shard) if shard is not None else None
        if shard is None or state is None or state.proposal_id != proposal_id:
            return []
        kind, state.in_flight = state.in_flight, None
        if kind is _ProposalKind.RELEASE:
            state.next_attempt_ms = now_ms
            return []
        if not isinstance(result, LeaseResult):
            state.next_attempt_ms = now_ms + FIRST_RETRY_MS
            return [Count("lease_proposals_without_answer")]
        if result.granted:
            return self._handle_grant(shard, state, result.fencing, now_ms)
        return self._handle_denial(shard, state, result, now_ms)

    def _handle_grant(self, shard: ShardId, state: _Shard, epoch: int, now_ms: float) -> list[Any]:
        """Extend or begin the ownership, or release a grant that must not be used."""
        lease_end_ms = state.sent_ms + LEASE_MS - LEASE_GUARD_MS
        state.denials = 0
        if state.held_epoch == epoch:
            state.lease_end_ms = lease_end_ms
            state.next_attempt_ms = state.sent_ms + RENEW_MS
            return self._announce(shard, state)
        effects = self._end_ownership(shard, state, "replaced") if state.held_epoch else []
        usable = state.last_epoch is not None and epoch > state.last_epoch and now_ms < lease_end_ms
        state.last_epoch = max(epoch, state.last_epoch or 0)
        if self._released or not usable:
            return [*effects, self._submit_release(shard, state, epoch, now_ms)]
        state.held_epoch, state.lease_end_ms = epoch, lease_end_ms
        state.next_attempt_ms = state.sent_ms + RENEW_MS
        state.announce_rounds = ANNOUNCE_ROUNDS
        detail = (("shard", shard), ("epoch", epoch))
        gained = [OwnershipGained(shard, epoch), Emit("ownership_gained", detail=detail)]
        learned = self._learn_owner(shard, self.own, epoch, now_ms)
        return [*effects, *gained, *learned, *self._announce(shard, state)]

    def _handle_denial(
        self, shard: ShardId, state: _Shard, result: LeaseResult, now_ms: float
    ) -> list[Any]:
        """End the ownership, learn the owner, and send it a claim of the shard."""
        effects = self._end_ownership(shard, state, "denied") if state.held_epoch else []
        if result.holder == self.own:
            state.last_epoch = max(result.fencing, state.last_epoch or 0)
            return [*effects, self._submit_release(shard, state, result.fencing, now_ms)]
        delay_ms = min(FIRST_RETRY_MS * 2**state.denials, MAX_RETRY_MS)
        state.denials = min(state.denials + 1, 8)
        state.next_attempt_ms = now_ms + delay_ms
        state.last_announced_ms = now_ms
        # A later grant with a higher epoch is new; one with at most this epoch may continue an
        # earlier lease.
        state.last_epoch = max(result.fencing, state.last_epoch or 0)
        if result.holder is None:
            return effects
        effects += self._learn_owner(shard, result.holder, result.fencing, now_ms)
        return [*effects, Send(result.holder, OwnerClaim(shard))]

    def _submit_release(self, shard: ShardId, state: _Shard, epoch: int, now_ms: float) -> Any:
        """Return the proposal that releases a lease."""
        command = ReleaseLease(lease_resource(shard), self.own, epoch)
        return self._submit(shard, state, _ProposalKind.RELEASE, command, now_ms)

    def _release_shard(self, shard: ShardId, state: _Shard, now_ms: float) -> list[Any]:
        """End the ownership of a shard and release its lease."""
        epoch = state.held_epoch
        lost = self._end_ownership(shard, state, "released")
        return [*lost, self._submit_release(shard, state, epoch, now_ms)]

    def _end_ownership(self, shard: ShardId, state: _Shard, reason: str) -> list[Any]:
        """End the ownership of a shard and report the reason."""
        detail = (("shard", shard), ("epoch", state.held_epoch), ("reason", reason))
        state.held_epoch = 0
        return [OwnershipLost(shard), Emit("ownership_lost", detail=detail)]

    # Announcements and claims.

    def _announce(self, shard: ShardId, state: _Shard) -> list[Any]:
        """Announce a shard to all nodes after a change, later to the standbys and a random node."""
        others = [node for node in self._nodes if node != self.own]
        if state.announce_rounds:
            state.announce_rounds -= 1
            receivers = others
        else:
            standbys = [n for n in state.ranking.first(STANDBYS + 1) if n != self.own]
            receivers = list(dict.fromkeys([*standbys, *self.rng.sample(others, bool(others))]))
        leaving = [node for node in self._leaving if node != self.own]
        return [
            Send(node, OwnerAnnounce(shard, self.own, state.held_epoch))
            for node in dict.fromkeys([*receivers, *leaving])
        ]

    def _learn_owner(self, shard: ShardId, owner: NodeId, epoch: int, now_ms: float) -> list[Any]:
        """Record an owner with a higher epoch, also in place of this node."""
        state = self._shards.get(shard)
        if state is None:
            self._keep_early_announcement(shard, owner, epoch)
            return []
        if epoch < state.epoch:
            return []
        state.last_announced_ms = now_ms
        if epoch == state.epoch:
            return []
        state.owner, state.epoch = owner, epoch
        superseded = state.held_epoch and epoch > state.held_epoch
        lost = self._end_ownership(shard, state, "overruled") if superseded else []
        return [*lost, OwnerChanged(shard, owner, epoch)]

    def _keep_early_announcement(self, shard: ShardId, owner: NodeId, epoch: int) -> None:
        """Keep the announcement of a shard that this node's configuration does not have yet.

        A holder announces its shards to a starting node before that node has a configuration.
        """
        known = self._early_announcements.get(shard)
        if known is None and len(self._early_announcements) >= MAX_EARLY_ANNOUNCEMENTS:
            return
        if known is None or epoch > known[1]:
            self._early_announcements[shard] = (owner, epoch)

    def _handle_claim(self, sender: NodeId, shard: ShardId, now_ms: float) -> list[Any]:
        """Release a shard on the claim of a node that ranks before this one."""
        state = self._shards.get(shard)
        if state is None or not state.held_epoch:
            return []
        sender_rank, own_rank = state.ranking.rank(sender), state.ranking.rank(self.own)
        if sender_rank is None or (own_rank is not None and sender_rank > own_rank):
            return []
        return self._release_shard(shard, state, now_ms)
