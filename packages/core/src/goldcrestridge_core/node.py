"""One node: its roles, and the events and messages that pass between them."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from attrs import define, evolve, field, frozen
from returns.result import Failure

from goldcrestridge_core.addresses import Addresses
from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    CallerGone,
    CallerRequest,
    DrainEnded,
    EndDrain,
    OwnerChanged,
    RespondEnd,
    RespondFailure,
)
from goldcrestridge_core.choice import Chooser
from goldcrestridge_core.config import Configuration, PoolKind, Upstream
from goldcrestridge_core.documents import Document, decode_document
from goldcrestridge_core.drain import Drain, Phase
from goldcrestridge_core.log_types import LogFailed, LogSynced, ProposeReply, WallTime
from goldcrestridge_core.member_types import (
    Ack,
    ConfigCommitted,
    ConfigConfirmed,
    ConfigDelta,
    ConfigHint,
    ConfigInForce,
    ConfigPull,
    ConfigurationChanged,
    DrainDone,
    Leave,
    Member,
    MemberDigest,
    MemberDown,
    MemberGossip,
    MemberLeaving,
    MemberRecords,
    MemberSummary,
    MemberUp,
    OwnerAnnounce,
    OwnerClaim,
    OwnershipGained,
    OwnershipLost,
    Ping,
    PingReq,
    PlatformList,
    ReleaseOwnership,
    ShardsChanged,
    StartDrain,
)
from goldcrestridge_core.membership import Membership
from goldcrestridge_core.owner import Owner
from goldcrestridge_core.ownership import Ownership
from goldcrestridge_core.proposals import Proposals
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.replication import has_lease
from goldcrestridge_core.requests import Requests
from goldcrestridge_core.shards import pool_shards
from goldcrestridge_core.spread import ConfigDistributor
from goldcrestridge_core.store import Store
from goldcrestridge_core.types import (
    CacheEvents,
    Emit,
    GrantReport,
    LoadReport,
    NodeId,
    NotOwner,
    ProposalDone,
    Receive,
    Send,
    ShardId,
    ShardSummary,
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SubmitProposal,
    Tick,
    UpstreamId,
    UpstreamLeaving,
)
from goldcrestridge_core.validation import validate

CONFIRM_INTERVAL_MS = 100.0
OPERATOR_PROPOSAL = "apply "  # Proposals with this prefix are answered to the driver.

MEMBERSHIP = "membership"
SPREAD = "spread"
OWNERSHIP = "ownership"
PROPOSALS = "proposals"
REQUESTS = "requests"
REPLICA = "replica"
DRAIN = "drain"

# Roles that take each kind of event or message; owners of shards are addressed by shard.
_GOSSIP = (MEMBERSHIP, SPREAD)
_ROUTES: dict[type, tuple[str, ...]] = {
    **dict.fromkeys((Ping, PingReq, Ack, MemberGossip), _GOSSIP),
    **dict.fromkeys((MemberDigest, MemberSummary, MemberRecords, PlatformList), (MEMBERSHIP,)),
    **dict.fromkeys((ConfigHint, ConfigPull, ConfigDelta), (SPREAD,)),
    **dict.fromkeys((ConfigCommitted, ConfigConfirmed), (SPREAD,)),
    **dict.fromkeys((OwnerAnnounce, OwnerClaim, ShardsChanged), (OWNERSHIP,)),
    **dict.fromkeys((SlotGrant, SlotRefusal, NotOwner), (REQUESTS,)),
    **dict.fromkeys((AttemptHead, AttemptChunk, AttemptEnd, AttemptFailed), (REQUESTS,)),
    **dict.fromkeys((LogSynced, LogFailed, WallTime), (REPLICA,)),
    ShardSummary: (REQUESTS, OWNERSHIP),
    OwnerChanged: (REQUESTS,),
    EndDrain: (REQUESTS,),
    ReleaseOwnership: (OWNERSHIP,),
    Leave: (MEMBERSHIP,),
    StartDrain: (DRAIN, MEMBERSHIP),
    MemberUp: (SPREAD, OWNERSHIP),
    MemberDown: (SPREAD, OWNERSHIP),
    MemberLeaving: (OWNERSHIP,),
    ProposalDone: (REQUESTS, OWNERSHIP),
    ProposeReply: (PROPOSALS,),
    SubmitProposal: (PROPOSALS,),
    CallerGone: (DRAIN, REQUESTS),
}
_OWNER_MESSAGES = (SlotRequest, SlotCancel, SlotRelease, GrantReport)
_UPSTREAM_MESSAGES = (LoadReport, CacheEvents, UpstreamLeaving)
_MEMBER_EVENTS = (MemberUp, MemberLeaving, MemberDown)


@frozen
class Identity:
    """Who this node is; ``life`` differs at every start, ``seed`` seeds its decisions."""

    member: Member
    replicas: tuple[NodeId, ...]
    seeds: tuple[NodeId, ...]
    life: str
    seed: int


@define
class Node:
    """Compose the roles of one node (a role itself).

    ``replica`` and ``store`` are given on nodes that hold the log. Effects for the driver are
    those of the roles that leave the node, and ConfigurationChanged.
    """

    identity: Identity
    replica: ControlReplica | None = None
    store: Store | None = None
    cfg: Configuration = field(factory=lambda: Configuration(""))
    document: dict[str, Any] = field(factory=dict)
    addresses: Addresses = field(init=False)
    membership: Membership = field(init=False)
    ownership: Ownership = field(init=False)
    spread: ConfigDistributor = field(init=False)
    requests: Requests = field(init=False)
    drain: Drain = field(init=False)
    owners: dict[ShardId, Owner] = field(factory=dict)
    _roles: dict[str, Any] = field(init=False)
    _deadlines: dict[str, float | None] = field(factory=dict)
    _shards: dict[ShardId, tuple[Upstream, ...]] = field(factory=dict)
    _committed: int = 0
    _confirm_at_ms: float = 0.0
    _inbox: deque[Any] = field(factory=deque)
    _out: list[Any] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Build the roles, each with its own random generator."""
        who = self.identity
        own = who.member.node
        self.addresses = Addresses(who.member)
        self.spread = ConfigDistributor(own, who.replicas, self._rng(SPREAD))
        self.membership = Membership(who.member, who.seeds, self._rng(MEMBERSHIP), self.spread.hint)
        self.ownership = Ownership(own, who.life, self._rng(OWNERSHIP))
        self.requests = Requests(
            own,
            self.cfg,
            self._rng(REQUESTS),
            lambda: max(1, len(self.addresses.live())),
            # The incarnation is wall time in milliseconds, which passes faster than reports.
            who.member.incarnation,
        )
        self.drain = Drain(self.cfg.address_ttl_ms)
        self._roles = {
            MEMBERSHIP: self.membership,
            SPREAD: self.spread,
            OWNERSHIP: self.ownership,
            PROPOSALS: Proposals(who.replicas, self._rng(PROPOSALS)),
            REQUESTS: self.requests,
            DRAIN: self.drain,
        }
        if self.replica is not None:
            self._roles[REPLICA] = self.replica
        self._deadlines = dict.fromkeys(self._roles, 0.0)
        self._inbox.append(MemberUp(who.member))

    def _rng(self, role: str) -> random.Random:
        return random.Random(f"{self.identity.seed} {role}")

    @property
    def serving(self) -> bool:
        """Tell whether a configuration is in force, so that callers can be served."""
        return self.spread.serving

    @property
    def leader(self) -> NodeId | None:
        """Return the leader of the log as far as this node knows."""
        if self.replica is not None:
            known = self.replica.log.state.leader
            return known.node if known is not None else None
        proposals: Proposals = self._roles[PROPOSALS]
        return proposals.leader

    def owner_of(self, shard: ShardId) -> tuple[NodeId, int] | None:
        """Return the owner of a shard and its epoch as known here."""
        return self.ownership.owner(shard)

    def shards(self) -> tuple[ShardId, ...]:
        """Return all shards of the configuration in force."""
        return tuple(self._shards)

    def owned_upstreams(self) -> dict[UpstreamId, Upstream]:
        """Return the upstreams in the shards that this node owns."""
        return {
            upstream.name: upstream
            for shard in self.owners
            for upstream in self._shards.get(shard, ())
        }

    def is_engine(self, name: UpstreamId) -> bool:
        """Tell whether an upstream is a model engine."""
        return any(
            pool.kind is PoolKind.ENGINE and any(u.name == name for u in pool.upstreams)
            for pool in self.cfg.pools.values()
        )

    def members(self) -> list[Member]:
        """Return all members by name, this node included."""
        known = (self.membership.own, *self.membership.view.members())
        return sorted(known, key=lambda member: member.node)

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of all roles."""
        return min((time for time in self._deadlines.values() if time is not None), default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event and all internal events that it causes."""
        lease_ms = self._deadlines[OWNERSHIP]
        if lease_ms is not None and lease_ms <= now_ms:
            # A lease that ran out while the process was stopped must not give one more grant.
            self._inbox.append(Tick())
        self._inbox.append(event)
        while self._inbox:
            self._dispatch(self._inbox.popleft(), now_ms)
        out, self._out = self._out, []
        return out

    # Events.

    def _dispatch(self, event: Any, now_ms: float) -> None:
        if isinstance(event, Receive):
            self._receive(event, now_ms)
        elif isinstance(event, Tick):
            self._tick(now_ms)
        elif isinstance(event, CallerRequest):
            self._caller_request(event, now_ms)
        else:
            for name in _ROUTES.get(type(event), ()):
                self._run(name, event, now_ms)
        if isinstance(event, _MEMBER_EVENTS):
            self.addresses.handle(event, now_ms)
            for shard in list(self.owners):
                self._run_owner(shard, event, now_ms)

    def _tick(self, now_ms: float) -> None:
        """Run the roles that are due."""
        due = [
            name for name, time in self._deadlines.items() if time is not None and time <= now_ms
        ]
        for name in due:
            if name in self._roles:
                self._run(name, Tick(), now_ms)
            else:
                self._run_owner(ShardId(name), Tick(), now_ms)

    def _caller_request(self, event: CallerRequest, now_ms: float) -> None:
        """Ask the drain first; what it refuses never reaches the requests role."""
        refusals = self.drain.handle(event, now_ms)
        if refusals:
            self._out.extend(refusals)
        else:
            self._run(REQUESTS, event, now_ms)

    def _receive(self, event: Receive, now_ms: float) -> None:
        message = event.message
        if isinstance(message, _OWNER_MESSAGES):
            self._for_owner(event, message.shard, now_ms)
            return
        if isinstance(message, _UPSTREAM_MESSAGES):
            for shard, upstreams in self._shards.items():
                if shard in self.owners and any(u.name == message.upstream for u in upstreams):
                    self._run_owner(shard, event, now_ms)
            if isinstance(message, UpstreamLeaving):
                self._run(REQUESTS, event, now_ms)
            return
        # Messages of the log are known to the replica alone, so it takes all other kinds.
        for name in _ROUTES.get(type(message), (REPLICA,)):
            self._run(name, event, now_ms)

    def _for_owner(self, event: Receive, shard: ShardId, now_ms: float) -> None:
        """Give a slot message to the owner, or tell the sender who the owner is."""
        if shard in self.owners:
            self._run_owner(shard, event, now_ms)
        elif isinstance(event.message, SlotRequest | GrantReport):
            owner, epoch = self.ownership.owner(shard) or (None, 0)
            if owner == self.identity.member.node:
                owner = None
            self._effect(Send(event.sender, NotOwner(shard, owner, epoch)), now_ms)

    def _run(self, name: str, event: Any, now_ms: float) -> None:
        role = self._roles.get(name)
        if role is None:
            return
        effects = role.handle(event, now_ms)
        self._deadlines[name] = role.next_deadline_ms()
        for effect in effects:
            self._effect(effect, now_ms)
        if name == REPLICA:
            self._follow_log(now_ms)

    def _run_owner(self, shard: ShardId, event: Any, now_ms: float) -> None:
        owner = self.owners[shard]
        effects = owner.handle(event, now_ms)
        self._deadlines[shard] = owner.next_deadline_ms()
        for effect in effects:
            self._effect(effect, now_ms)

    # Effects.

    def _effect(self, effect: Any, now_ms: float) -> None:
        """Turn an effect into an internal event, or pass it to the driver."""
        own = self.identity.member.node
        match effect:
            case Send(to=to, message=message) if to == own:
                self._inbox.append(Receive(own, message))
            case ProposalDone(proposal_id=name) if name.startswith(OPERATOR_PROPOSAL):
                self._out.append(effect)
            case SubmitProposal() | ProposalDone() | OwnerChanged() | ReleaseOwnership():
                self._inbox.append(effect)
            case MemberUp() | MemberLeaving() | MemberDown():
                self._inbox.append(effect)
                self._out.append(effect)
            case ConfigInForce():
                self._set_config(effect, now_ms)
            case OwnershipGained(shard=shard, epoch=epoch):
                self._gain(shard, epoch, now_ms)
            case OwnershipLost(shard=shard):
                self.owners.pop(shard, None)
                self._deadlines.pop(shard, None)
            case DrainDone():
                self._inbox.extend((EndDrain(), Leave()))
                self._out.append(effect)
            case DrainEnded():
                pass
            case Emit(kind="upstream_leaving", upstream=upstream):
                self._out.append(effect)
                self._spread_leaving(UpstreamId(upstream), now_ms)
            case RespondEnd() | RespondFailure():
                self._out.append(effect)
                self._run(DRAIN, effect, now_ms)
            case _:
                self._out.append(effect)

    def _spread_leaving(self, upstream: UpstreamId, now_ms: float) -> None:
        """Tell every entry node, also those that have not asked this owner for a slot yet.

        An entry that admits locally after the loss of the owner must know it.
        """
        notice = UpstreamLeaving(upstream, self.identity.member.node)
        for node in self.addresses.live():
            if node != self.identity.member.node:
                self._effect(Send(node, notice), now_ms)

    def _set_config(self, effect: ConfigInForce, now_ms: float) -> None:
        """Put a whole configuration version in force in all roles."""
        document = Document(effect.document["base"], effect.document["sites"], {})
        checked = validate(document)
        if isinstance(checked, Failure):
            # A replica of another release accepted it; the last valid version stays in force.
            reason = " ".join(str(error) for error in checked.failure())[:500]
            detail = (("version", effect.version), ("reason", reason))
            self._out.append(Emit("config_invalid_here", detail=detail))
            return
        self.cfg = evolve(checked.unwrap(), version=effect.version)
        self.document = effect.document
        self._shards = {
            shard: upstreams
            for pool in self.cfg.pools.values()
            for shard, upstreams in pool_shards(pool).items()
        }
        self.requests.set_config(self.cfg)
        self.drain.set_address_ttl(self.cfg.address_ttl_ms, now_ms)
        for shard, owner in list(self.owners.items()):
            if shard in self._shards:
                for item in owner.reconfigure(self.cfg, self._shards[shard], now_ms):
                    self._effect(item, now_ms)
                self._deadlines[shard] = owner.next_deadline_ms()
        self._inbox.append(ShardsChanged(tuple(self._shards)))
        self._out.append(ConfigurationChanged(self.cfg))

    def _gain(self, shard: ShardId, epoch: int, now_ms: float) -> None:
        """Begin to own a shard."""
        upstreams = self._shards.get(shard)
        if upstreams is None:
            return
        rng = self._rng(f"owner {shard} {epoch}")
        chooser = Chooser()
        own = self.identity.member.node
        self.owners[shard] = Owner(
            self.cfg, shard, own, upstreams, epoch, chooser, rng, started_ms=now_ms
        )
        self._deadlines[shard] = self.owners[shard].next_deadline_ms()

    def _follow_log(self, now_ms: float) -> None:
        """Pass on configuration versions that the local replica applied, and what is current."""
        if self.replica is None or self.store is None:
            return
        changes = self.store.changes
        if changes.version > self._committed:
            self._committed = changes.version
            document = decode_document(changes.document).unwrap()
            value = {"base": document.base, "sites": document.sites}
            self._run(SPREAD, ConfigCommitted(changes.version, value), now_ms)
        state = self.replica.log.state
        if self.replica.log.leads and now_ms >= self._confirm_at_ms and has_lease(state, now_ms):
            self._confirm_at_ms = now_ms + CONFIRM_INTERVAL_MS
            if changes.version:
                self._run(SPREAD, ConfigConfirmed(changes.version, 0.0), now_ms)

    # What operators see.

    def status(self) -> dict[str, Any]:
        """Return the state of this node for operators."""
        own = self.identity.member
        return {
            "node": own.node,
            "data_centre": own.data_centre,
            "roles": list(own.roles),
            "state": self.drain.phase.value,
            "ready": self.serving and self.drain.phase in (Phase.SERVING, Phase.ADVERTISED),
            "config_version": self.cfg.version,
            "config_digest": self.spread.hint().digest,
            "leader": self.leader,
            "in_flight": self.drain.in_flight,
            "log": self._log_status(),
            "members": [
                {
                    "node": member.node,
                    "state": member.state.value,
                    "incarnation": member.incarnation,
                    "data_centre": member.data_centre,
                    "roles": list(member.roles),
                    "peer_address": member.peer_address,
                    "caller_address": member.caller_address,
                    "admin_address": member.admin_address,
                }
                for member in self.members()
            ],
            "shards": [
                {"shard": shard, "owner": owner, "epoch": epoch}
                for shard in self._shards
                for owner, epoch in [self.ownership.owner(shard) or (None, 0)]
            ],
        }

    def _log_status(self) -> dict[str, Any]:
        """Return the state of the local replica; empty on nodes without one."""
        if self.replica is None:
            return {}
        state = self.replica.log.state
        return {
            "term": state.term,
            "applied": state.applied,
            "incarnation": state.me.incarnation,
            "voters": {item.node: item.incarnation for item in state.membership.voters},
            "learners": {item.node: item.incarnation for item in state.membership.learners},
            "failed": state.failed,
        }
