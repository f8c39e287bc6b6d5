"""Ownership of shards by lease: acquire, renew, hand over, and tell others."""

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
# The holder stops this long before its lease ends, for monotonic clocks that differ by 2.5%.
GUARD_MS = 50.0
PROPOSAL_TIMEOUT_MS = 600.0  # Below RENEW_MS, so that two renewals fit into one lease.
FIRST_RETRY_MS = 150.0
MAX_RETRY_MS = 1_000.0
# A standby acts after two missed announcements. A false alarm costs one denied proposal.
ORPHAN_MS = 1_500.0
STANDBYS = 2
ANNOUNCE_ROUNDS = 2
MAX_EARLY = 1_024  # Several times the shards of the design size.


def lease_resource(shard: ShardId) -> str:
    """Return the name of a shard's lease in the store."""
    return f"shard/{shard}"


class _Step(enum.Enum):
    """What the proposal in flight for a shard does."""

    LEASE = "lease"
    RELEASE = "release"


@define
class _Shard:
    """Dealings of this node with one shard; ``held`` is the epoch held, or 0."""

    ranking: Ranking
    heard_ms: float
    owner: NodeId | None = None
    epoch: int = 0
    held: int = 0
    last_epoch: int | None = None
    until_ms: float = 0.0
    next_try_ms: float = 0.0
    denials: int = 0
    rounds: int = 0
    step: _Step | None = None
    proposal_id: str = ""
    sent_ms: float = 0.0


@define
class Ownership:
    """Hold the leases of the shards that this node should own.

    ``own`` is this node's id, ``life`` a text that differs at every start (it begins the proposal
    ids). Events: ShardsChanged, MemberUp, MemberLeaving and MemberDown (also for this node; only
    live members with the role ``entry`` own shards), ProposalDone, Receive of OwnerAnnounce,
    ShardSummary and OwnerClaim, ReleaseOwnership, Tick. Effects: OwnershipGained, OwnershipLost,
    OwnerChanged, SubmitProposal, Send, Emit, Count.

    The first node by rendezvous hashing acquires the lease; a holder that ranks behind it hands
    over on its claim, which proves that it reaches the log. If no announcement of an owner is
    heard, the next two nodes take over one after the other. The holder counts its lease from
    before the request was sent and stops by its own monotonic clock. Every OwnershipGained of
    this node for a shard has a higher epoch than all before, also across a restart: a grant that
    may continue an earlier one is released and acquired anew.
    """

    own: NodeId
    life: str
    rng: random.Random
    _shards: dict[ShardId, _Shard] = field(factory=dict)
    _nodes: dict[NodeId, None] = field(factory=dict)
    _proposals: dict[str, ShardId] = field(factory=dict)
    _early: dict[ShardId, tuple[NodeId, int]] = field(factory=dict)
    _number: int = 0
    _released: bool = False
    _deadline_ms: float | None = None

    def owner(self, shard: ShardId) -> tuple[NodeId, int] | None:
        """Return the known owner and its epoch, or else the node that should own the shard."""
        state = self._shards.get(shard)
        if state is None:
            return None
        if state.owner is not None:
            return state.owner, state.epoch
        first = state.ranking.first(1)
        return (first[0], 0) if first else None

    def held(self) -> dict[ShardId, int]:
        """Return the shards that this node owns and their epochs."""
        return {shard: state.held for shard, state in self._shards.items() if state.held}

    def next_deadline_ms(self) -> float | None:
        """Return when a lease ends, a proposal is due or a shard counts as orphaned."""
        return self._deadline_ms

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        effects = self._expire(now_ms) + self._apply(event, now_ms) + self._propose(now_ms)
        times = [t for state in self._shards.values() if (t := self._due_ms(state)) is not None]
        self._deadline_ms = min(times, default=None)
        return effects

    def _apply(self, event: Any, now_ms: float) -> list[Any]:
        """Apply what an event says."""
        match event:
            case ShardsChanged(shards=shards):
                return self._set_shards(shards, now_ms)
            case MemberUp(member=member):
                live = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
                if live and ENTRY_ROLE in member.roles:
                    return self._add(member.node)
                self._remove(member.node, now_ms)
            case MemberLeaving(node=node) | MemberDown(node=node):
                self._remove(node, now_ms)
            case ProposalDone(proposal_id=proposal_id, result=result):
                return self._done(proposal_id, result, now_ms)
            case Receive(
                message=OwnerAnnounce(shard=shard, owner=owner, epoch=epoch)
                | ShardSummary(shard=shard, owner=owner, epoch=epoch)
            ):
                return self._learn(shard, owner, epoch, now_ms)
            case Receive(sender=sender, message=OwnerClaim(shard=shard)):
                return self._claimed(sender, shard, now_ms)
            case ReleaseOwnership():
                self._released = True
                held = [(shard, state) for shard, state in self._shards.items() if state.held]
                return [e for shard, state in held for e in self._give_up(shard, state, now_ms)]
        return []

    # Shards and members.

    def _set_shards(self, shards: tuple[ShardId, ...], now_ms: float) -> list[Any]:
        """Begin with new shards and give up those that no longer exist."""
        effects: list[Any] = []
        for shard in [shard for shard in self._shards if shard not in shards]:
            state = self._shards[shard]
            if state.held:
                effects += self._give_up(shard, state, now_ms)
            del self._shards[shard]
        for shard in shards:
            if shard not in self._shards:
                self._shards[shard] = _Shard(Ranking(shard), now_ms)
                for node in self._nodes:
                    self._shards[shard].ranking.add(node)
                if shard in self._early:
                    effects += self._learn(shard, *self._early.pop(shard), now_ms)
        return effects

    def _add(self, node: NodeId) -> list[Any]:
        """Rank a live node and tell it what this node owns."""
        if node not in self._nodes:
            self._nodes[node] = None
            for state in self._shards.values():
                state.ranking.add(node)
        if node == self.own:
            return []
        return [Send(node, OwnerAnnounce(s, self.own, epoch)) for s, epoch in self.held().items()]

    def _remove(self, node: NodeId, now_ms: float) -> None:
        """Stop ranking a node; the next one tries at once if the node owned the shard."""
        if node not in self._nodes:
            return
        del self._nodes[node]
        for state in self._shards.values():
            state.ranking.remove(node)
            if state.owner == node:
                state.denials = 0
                state.next_try_ms = now_ms

    # Timers.

    def _expire(self, now_ms: float) -> list[Any]:
        """Stop owning shards whose lease ended, before anything else is done."""
        return [
            effect
            for shard, state in self._shards.items()
            if state.held and now_ms >= state.until_ms
            for effect in self._lose(shard, state, "expired")
        ]

    def _wanted_from_ms(self, state: _Shard) -> float | None:
        """Return from when on this node should hold the shard, or None if it should not."""
        rank = state.ranking.rank(self.own)
        if self._released or rank is None or rank > STANDBYS:
            return None
        return 0.0 if rank == 0 else state.heard_ms + rank * ORPHAN_MS

    def _due_ms(self, state: _Shard) -> float | None:
        """Return the next deadline of one shard."""
        if state.held:
            return state.until_ms if state.step else min(state.until_ms, state.next_try_ms)
        wanted_ms = self._wanted_from_ms(state)
        return None if state.step or wanted_ms is None else max(wanted_ms, state.next_try_ms)

    def _propose(self, now_ms: float) -> list[Any]:
        """Submit the acquisitions and renewals that are due."""
        due = [
            (shard, state)
            for shard, state in self._shards.items()
            if state.step is None and (at := self._due_ms(state)) is not None and at <= now_ms
        ]
        return [
            self._submit(
                shard,
                state,
                _Step.LEASE,
                AcquireLease(lease_resource(shard), self.own, LEASE_MS, state.held, self.life),
                now_ms,
            )
            for shard, state in due
        ]

    def _submit(
        self, shard: ShardId, state: _Shard, step: _Step, command: Any, now_ms: float
    ) -> SubmitProposal:
        """Return a proposal and remember when it was sent."""
        self._number += 1
        state.step, state.sent_ms = step, now_ms
        state.proposal_id = f"{self.own}/{self.life}/lease/{self._number}"
        self._proposals[state.proposal_id] = shard
        return SubmitProposal(state.proposal_id, command, PROPOSAL_TIMEOUT_MS)

    # Results.

    def _done(self, proposal_id: str, result: Any, now_ms: float) -> list[Any]:
        """Take the result of a proposal."""
        shard = self._proposals.pop(proposal_id, None)
        state = self._shards.get(shard) if shard is not None else None
        if shard is None or state is None or state.proposal_id != proposal_id:
            return []
        step, state.step = state.step, None
        if step is _Step.RELEASE:
            state.next_try_ms = now_ms
            return []
        if not isinstance(result, LeaseResult):
            state.next_try_ms = now_ms + FIRST_RETRY_MS
            return [Count("lease_proposals_without_answer")]
        if result.granted:
            return self._granted(shard, state, result.fencing, now_ms)
        return self._denied(shard, state, result, now_ms)

    def _granted(self, shard: ShardId, state: _Shard, epoch: int, now_ms: float) -> list[Any]:
        """Extend or begin the ownership, or hand back a grant that must not be used."""
        until_ms = state.sent_ms + LEASE_MS - GUARD_MS
        state.denials = 0
        if state.held == epoch:
            state.until_ms = until_ms
            state.next_try_ms = state.sent_ms + RENEW_MS
            return self._announce(shard, state)
        effects = self._lose(shard, state, "replaced") if state.held else []
        usable = state.last_epoch is not None and epoch > state.last_epoch and now_ms < until_ms
        state.last_epoch = max(epoch, state.last_epoch or 0)
        if self._released or not usable:
            return [*effects, self._release(shard, state, epoch, now_ms)]
        state.held, state.until_ms = epoch, until_ms
        state.next_try_ms = state.sent_ms + RENEW_MS
        state.rounds = ANNOUNCE_ROUNDS
        detail = (("shard", shard), ("epoch", epoch))
        gained = [OwnershipGained(shard, epoch), Emit("ownership_gained", detail=detail)]
        learnt = self._learn(shard, self.own, epoch, now_ms)
        return [*effects, *gained, *learnt, *self._announce(shard, state)]

    def _denied(
        self, shard: ShardId, state: _Shard, result: LeaseResult, now_ms: float
    ) -> list[Any]:
        """Stop owning, learn the owner, and claim the shard from a holder that ranks behind."""
        effects = self._lose(shard, state, "denied") if state.held else []
        if result.holder == self.own:
            state.last_epoch = max(result.fencing, state.last_epoch or 0)
            return [*effects, self._release(shard, state, result.fencing, now_ms)]
        delay_ms = min(FIRST_RETRY_MS * 2**state.denials, MAX_RETRY_MS)
        state.denials = min(state.denials + 1, 8)
        state.next_try_ms = now_ms + delay_ms
        state.heard_ms = now_ms
        # A denial by a former or own grant says nothing about a later one of this node.
        state.last_epoch = max(result.fencing, state.last_epoch or 0)
        if result.holder is None:
            return effects
        effects += self._learn(shard, result.holder, result.fencing, now_ms)
        return [*effects, Send(result.holder, OwnerClaim(shard))]

    def _release(self, shard: ShardId, state: _Shard, epoch: int, now_ms: float) -> Any:
        """Return the proposal that hands a lease back."""
        command = ReleaseLease(lease_resource(shard), self.own, epoch)
        return self._submit(shard, state, _Step.RELEASE, command, now_ms)

    def _give_up(self, shard: ShardId, state: _Shard, now_ms: float) -> list[Any]:
        """Stop owning a shard and hand its lease back."""
        epoch = state.held
        lost = self._lose(shard, state, "released")
        return [*lost, self._release(shard, state, epoch, now_ms)]

    def _lose(self, shard: ShardId, state: _Shard, reason: str) -> list[Any]:
        """Stop owning a shard."""
        detail = (("shard", shard), ("epoch", state.held), ("reason", reason))
        state.held = 0
        return [OwnershipLost(shard), Emit("ownership_lost", detail=detail)]

    # What others say.

    def _announce(self, shard: ShardId, state: _Shard) -> list[Any]:
        """Tell everyone after a change, and later the standbys and one random node."""
        others = [node for node in self._nodes if node != self.own]
        if state.rounds:
            state.rounds -= 1
            receivers = others
        else:
            standbys = [n for n in state.ranking.first(STANDBYS + 1) if n != self.own]
            receivers = list(dict.fromkeys([*standbys, *self.rng.sample(others, bool(others))]))
        return [Send(node, OwnerAnnounce(shard, self.own, state.held)) for node in receivers]

    def _learn(self, shard: ShardId, owner: NodeId, epoch: int, now_ms: float) -> list[Any]:
        """Take over a newer owner; the higher epoch wins, also over this node."""
        state = self._shards.get(shard)
        if state is None:
            self._keep_early(shard, owner, epoch)
            return []
        if epoch < state.epoch:
            return []
        state.heard_ms = now_ms
        if epoch == state.epoch:
            return []
        state.owner, state.epoch = owner, epoch
        overruled = state.held and epoch > state.held
        lost = self._lose(shard, state, "overruled") if overruled else []
        return [*lost, OwnerChanged(shard, owner, epoch)]

    def _keep_early(self, shard: ShardId, owner: NodeId, epoch: int) -> None:
        """Keep what is said of a shard that the configuration here does not have yet.

        A holder announces itself to a node that starts, before that node has a configuration.
        """
        known = self._early.get(shard)
        if known is None and len(self._early) >= MAX_EARLY:
            return
        if known is None or epoch > known[1]:
            self._early[shard] = (owner, epoch)

    def _claimed(self, sender: NodeId, shard: ShardId, now_ms: float) -> list[Any]:
        """Hand a shard over to a node that ranks before this one."""
        state = self._shards.get(shard)
        if state is None or not state.held:
            return []
        theirs, mine = state.ranking.rank(sender), state.ranking.rank(self.own)
        if theirs is None or (mine is not None and theirs > mine):
            return []
        return self._give_up(shard, state, now_ms)
