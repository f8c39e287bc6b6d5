"""One node: its roles and the routing of events and messages between them."""

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
    CutRequests,
    OwnerChanged,
    RequestsCut,
    RespondEnd,
    RespondFailure,
)
from goldcrestridge_core.choice import PrefixChooser
from goldcrestridge_core.config import Configuration, PoolKind, Upstream
from goldcrestridge_core.documents import Document, decode_document
from goldcrestridge_core.drain import Drain, DrainPhase
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
    UpstreamResting,
)
from goldcrestridge_core.validation import validate

CONFIRM_INTERVAL_MS = 100.0
# Results of proposals whose id has this prefix go to the driver and not to a role.
OPERATOR_PROPOSAL_PREFIX = "apply "

MEMBERSHIP = "membership"
CONFIG_DISTRIBUTION = "spread"
OWNERSHIP = "ownership"
PROPOSALS = "proposals"
REQUESTS = "requests"
REPLICA = "replica"
DRAIN = "drain"

# Roles that handle each type of event or message. Shard owners are addressed by shard instead.
_GOSSIP_ROLES = (MEMBERSHIP, CONFIG_DISTRIBUTION)
_ROLES_BY_TYPE: dict[type, tuple[str, ...]] = {
    **dict.fromkeys((Ping, PingReq, Ack, MemberGossip), _GOSSIP_ROLES),
    **dict.fromkeys((MemberDigest, MemberSummary, MemberRecords, PlatformList), (MEMBERSHIP,)),
    **dict.fromkeys((ConfigHint, ConfigPull, ConfigDelta), (CONFIG_DISTRIBUTION,)),
    **dict.fromkeys((ConfigCommitted, ConfigConfirmed), (CONFIG_DISTRIBUTION,)),
    **dict.fromkeys((OwnerAnnounce, OwnerClaim, ShardsChanged), (OWNERSHIP,)),
    **dict.fromkeys((SlotGrant, SlotRefusal, NotOwner), (REQUESTS,)),
    **dict.fromkeys((AttemptHead, AttemptChunk, AttemptEnd, AttemptFailed), (REQUESTS,)),
    **dict.fromkeys((LogSynced, LogFailed, WallTime), (REPLICA,)),
    ShardSummary: (REQUESTS, OWNERSHIP),
    OwnerChanged: (REQUESTS,),
    CutRequests: (REQUESTS,),
    ReleaseOwnership: (OWNERSHIP,),
    Leave: (MEMBERSHIP,),
    StartDrain: (DRAIN, MEMBERSHIP),
    MemberUp: (CONFIG_DISTRIBUTION, OWNERSHIP),
    MemberDown: (CONFIG_DISTRIBUTION, OWNERSHIP),
    MemberLeaving: (OWNERSHIP,),
    ProposalDone: (REQUESTS, OWNERSHIP),
    ProposeReply: (PROPOSALS,),
    SubmitProposal: (PROPOSALS,),
    CallerGone: (DRAIN, REQUESTS),
}
_OWNER_MESSAGES = (SlotRequest, SlotCancel, SlotRelease, GrantReport)
_UPSTREAM_MESSAGES = (LoadReport, CacheEvents, UpstreamLeaving, UpstreamResting)
ROUTED_TYPES = frozenset((*_ROLES_BY_TYPE, *_OWNER_MESSAGES, *_UPSTREAM_MESSAGES))
_MEMBER_EVENTS = (MemberUp, MemberLeaving, MemberDown)


@frozen
class Identity:
    """Identity of a node process.

    ``boot_id`` is unique for each start of the process and identifies it in the leases of shards.
    ``seed`` seeds the random generators of all roles.
    """

    member: Member
    replicas: tuple[NodeId, ...]
    seeds: tuple[NodeId, ...]
    boot_id: str
    seed: int


@define
class Node:
    """Compose the roles of one node (a role itself).

    ``replica`` and ``store`` are set on nodes that hold a replica of the log. The effects for the
    driver are ConfigurationChanged and those effects of the roles that no other role handles.
    """

    identity: Identity
    replica: ControlReplica | None = None
    store: Store | None = None
    cfg: Configuration = field(factory=lambda: Configuration(""))
    document: dict[str, Any] = field(factory=dict)
    addresses: Addresses = field(init=False)
    membership: Membership = field(init=False)
    ownership: Ownership = field(init=False)
    config_distributor: ConfigDistributor = field(init=False)
    requests: Requests = field(init=False)
    drain: Drain = field(init=False)
    owners: dict[ShardId, Owner] = field(factory=dict)
    _roles: dict[str, Any] = field(init=False)
    _deadlines: dict[str, float | None] = field(factory=dict)
    _shards: dict[ShardId, tuple[Upstream, ...]] = field(factory=dict)
    _committed_version: int = 0
    _next_confirm_ms: float = 0.0
    _inbox: deque[Any] = field(factory=deque)
    _effects: list[Any] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the roles, each with its own random generator."""
        identity = self.identity
        own = identity.member.node
        self.addresses = Addresses(identity.member)
        self.config_distributor = ConfigDistributor(
            own, identity.replicas, self._rng(CONFIG_DISTRIBUTION)
        )
        self.membership = Membership(
            identity.member, identity.seeds, self._rng(MEMBERSHIP), self.config_distributor.hint
        )
        self.ownership = Ownership(own, identity.boot_id, self._rng(OWNERSHIP))
        self.requests = Requests(
            own,
            self.cfg,
            self._rng(REQUESTS),
            lambda: max(1, len(self.addresses.live())),
            # The incarnation is the wall time of the start in milliseconds. It exceeds all report
            # numbers of an earlier process, which sends less than one report per millisecond.
            identity.member.incarnation,
        )
        self.drain = Drain(self.cfg.address_ttl_ms)
        self._roles = {
            MEMBERSHIP: self.membership,
            CONFIG_DISTRIBUTION: self.config_distributor,
            OWNERSHIP: self.ownership,
            PROPOSALS: Proposals(identity.replicas, self._rng(PROPOSALS)),
            REQUESTS: self.requests,
            DRAIN: self.drain,
        }
        if self.replica is not None:
            self._roles[REPLICA] = self.replica
        self._deadlines = dict.fromkeys(self._roles, 0.0)
        self._inbox.append(MemberUp(identity.member))

    def _rng(self, role: str) -> random.Random:
        return random.Random(f"{self.identity.seed} {role}")

    @property
    def serving(self) -> bool:
        """Return whether a configuration is in force, which is required to serve callers."""
        return self.config_distributor.serving

    @property
    def leader(self) -> NodeId | None:
        """Return the leader of the log known to this node, or None."""
        if self.replica is not None:
            replica = self.replica.log.state.leader
            return replica.node if replica is not None else None
        proposals: Proposals = self._roles[PROPOSALS]
        return proposals.leader

    def owner_of(self, shard: ShardId) -> tuple[NodeId, int] | None:
        """Return the owner and the epoch of a shard known to this node, or None."""
        return self.ownership.owner(shard)

    def shards(self) -> tuple[ShardId, ...]:
        """Return all shards of the configuration in force."""
        return tuple(self._shards)

    def polled_upstreams(self, now_ms: float) -> dict[UpstreamId, Upstream]:
        """Return the upstreams that this node owns and that want requests, by name."""
        owned = ((owner, item) for owner in self.owners.values() for item in owner.upstreams)
        return {
            item.name: item
            for owner, item in owned
            if not owner.chooser.is_resting(item.name, now_ms)
        }

    def is_engine(self, name: UpstreamId) -> bool:
        """Return whether an upstream belongs to a pool of model engines."""
        return any(
            pool.kind is PoolKind.ENGINE and any(u.name == name for u in pool.upstreams)
            for pool in self.cfg.pools.values()
        )

    def members(self) -> list[Member]:
        """Return all members sorted by node id, this node included."""
        known = (self.membership.own, *self.membership.view.members())
        return sorted(known, key=lambda member: member.node)

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of all roles and shard owners, or None."""
        return min(
            (deadline for deadline in self._deadlines.values() if deadline is not None),
            default=None,
        )

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event and the internal events that it causes; return the driver's effects."""
        lease_ms = self._deadlines[OWNERSHIP]
        if lease_ms is not None and lease_ms <= now_ms:
            # The process may have been suspended past the end of a lease. The lease must expire
            # before the event is handled, so that no slot is granted under it.
            self._inbox.append(Tick())
        self._inbox.append(event)
        while self._inbox:
            self._dispatch(self._inbox.popleft(), now_ms)
        effects, self._effects = self._effects, []
        return effects

    # Dispatch of events and messages.

    def _dispatch(self, event: Any, now_ms: float) -> None:
        if isinstance(event, Receive):
            self._handle_message(event, now_ms)
        elif isinstance(event, Tick):
            self._handle_tick(now_ms)
        elif isinstance(event, CallerRequest):
            self._handle_caller_request(event, now_ms)
        else:
            for name in _ROLES_BY_TYPE.get(type(event), ()):
                self._run_role(name, event, now_ms)
        if isinstance(event, _MEMBER_EVENTS):
            self.addresses.handle(event, now_ms)
            for shard in list(self.owners):
                self._run_owner(shard, event, now_ms)

    def _handle_tick(self, now_ms: float) -> None:
        """Give a Tick to each role and shard owner whose deadline has passed."""
        due = [
            name
            for name, deadline in self._deadlines.items()
            if deadline is not None and deadline <= now_ms
        ]
        for name in due:
            if name in self._roles:
                self._run_role(name, Tick(), now_ms)
            elif name in self.owners:  # Its lease has not expired with the Tick of ownership.
                self._run_owner(ShardId(name), Tick(), now_ms)

    def _handle_caller_request(self, event: CallerRequest, now_ms: float) -> None:
        """Pass the request to the drain role, and to the request role unless it is refused."""
        refusals = self.drain.handle(event, now_ms)
        if refusals:
            self._effects.extend(refusals)
        else:
            self._run_role(REQUESTS, event, now_ms)

    def _handle_message(self, event: Receive, now_ms: float) -> None:
        message = event.message
        if isinstance(message, _OWNER_MESSAGES):
            self._route_to_owner(event, message.shard, now_ms)
            return
        if isinstance(message, _UPSTREAM_MESSAGES):
            for shard, upstreams in self._shards.items():
                if shard in self.owners and any(u.name == message.upstream for u in upstreams):
                    self._run_owner(shard, event, now_ms)
            if isinstance(message, UpstreamLeaving | UpstreamResting):
                self._run_role(REQUESTS, event, now_ms)
            return
        # Message types without an entry in the table belong to the log.
        for name in _ROLES_BY_TYPE.get(type(message), (REPLICA,)):
            self._run_role(name, event, now_ms)

    def _route_to_owner(self, event: Receive, shard: ShardId, now_ms: float) -> None:
        """Give a slot message to the local owner, or answer with the owner known here."""
        if shard in self.owners:
            self._run_owner(shard, event, now_ms)
        elif isinstance(event.message, SlotRequest | GrantReport):
            owner, epoch = self.ownership.owner(shard) or (None, 0)
            if owner == self.identity.member.node:
                owner = None
            self._handle_effect(Send(event.sender, NotOwner(shard, owner, epoch)), now_ms)

    def _run_role(self, name: str, event: Any, now_ms: float) -> None:
        role = self._roles.get(name)
        if role is None:
            return
        effects = role.handle(event, now_ms)
        self._deadlines[name] = role.next_deadline_ms()
        for effect in effects:
            self._handle_effect(effect, now_ms)
        if name == REPLICA:
            self._report_committed_config(now_ms)

    def _run_owner(self, shard: ShardId, event: Any, now_ms: float) -> None:
        owner = self.owners[shard]
        effects = owner.handle(event, now_ms)
        self._deadlines[shard] = owner.next_deadline_ms()
        for effect in effects:
            self._handle_effect(effect, now_ms)

    # Handling of effects.

    def _handle_effect(self, effect: Any, now_ms: float) -> None:
        """Turn an effect into an internal event, or return it to the driver."""
        own = self.identity.member.node
        match effect:
            case Send(to=to, message=message) if to == own:
                self._inbox.append(Receive(own, message))
            case ProposalDone(proposal_id=proposal_id) if proposal_id.startswith(
                OPERATOR_PROPOSAL_PREFIX
            ):
                self._effects.append(effect)
            case SubmitProposal() | ProposalDone() | OwnerChanged() | ReleaseOwnership():
                self._inbox.append(effect)
            case MemberUp() | MemberLeaving() | MemberDown():
                self._inbox.append(effect)
                self._effects.append(effect)
            case ConfigInForce():
                self._set_config(effect, now_ms)
            case OwnershipGained(shard=shard, epoch=epoch):
                self._create_owner(shard, epoch, now_ms)
            case OwnershipLost(shard=shard):
                self.owners.pop(shard, None)
                self._deadlines.pop(shard, None)
            case DrainDone():
                self._inbox.extend((CutRequests(), Leave()))
                self._effects.append(effect)
            case RequestsCut():
                pass
            case Emit(kind="upstream_leaving", upstream=upstream):
                self._effects.append(effect)
                self._broadcast_leaving(UpstreamId(upstream), now_ms)
            case RespondEnd() | RespondFailure():
                self._effects.append(effect)
                self._run_role(DRAIN, effect, now_ms)
            case _:
                self._effects.append(effect)

    def _broadcast_leaving(self, upstream: UpstreamId, now_ms: float) -> None:
        """Notify all entry nodes, also those without a slot request at this owner.

        An entry node that admits locally after the loss of the owner must not use the upstream.
        """
        notice = UpstreamLeaving(upstream, self.identity.member.node)
        for node in self.addresses.live():
            if node != self.identity.member.node:
                self._handle_effect(Send(node, notice), now_ms)

    def _set_config(self, effect: ConfigInForce, now_ms: float) -> None:
        """Apply a complete configuration version to all roles, if it is valid here."""
        document = Document(effect.document["base"], effect.document["sites"], {})
        checked = validate(document)
        if isinstance(checked, Failure):
            # A replica of another release accepted it. The last valid version stays in force.
            reason = " ".join(str(error) for error in checked.failure())[:500]
            detail = (("version", effect.version), ("reason", reason))
            self._effects.append(Emit("config_invalid_here", detail=detail))
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
                    self._handle_effect(item, now_ms)
                self._deadlines[shard] = owner.next_deadline_ms()
        self._inbox.append(ShardsChanged(tuple(self._shards)))
        self._effects.append(ConfigurationChanged(self.cfg))

    def _create_owner(self, shard: ShardId, epoch: int, now_ms: float) -> None:
        """Create the owner role for a shard whose ownership this node gained."""
        upstreams = self._shards.get(shard)
        if upstreams is None:
            return
        rng = self._rng(f"owner {shard} {epoch}")
        chooser = PrefixChooser()
        own = self.identity.member.node
        self.owners[shard] = Owner(
            self.cfg, shard, own, upstreams, epoch, chooser, rng, started_ms=now_ms
        )
        self._deadlines[shard] = self.owners[shard].next_deadline_ms()

    def _report_committed_config(self, now_ms: float) -> None:
        """Report a version that the local replica applied, and confirm it while leading."""
        if self.replica is None or self.store is None:
            return
        changes = self.store.changes
        if changes.version > self._committed_version:
            self._committed_version = changes.version
            document = decode_document(changes.document).unwrap()
            tables = {"base": document.base, "sites": document.sites}
            self._run_role(CONFIG_DISTRIBUTION, ConfigCommitted(changes.version, tables), now_ms)
        state = self.replica.log.state
        if self.replica.log.leads and now_ms >= self._next_confirm_ms and has_lease(state, now_ms):
            self._next_confirm_ms = now_ms + CONFIRM_INTERVAL_MS
            if changes.version:
                self._run_role(CONFIG_DISTRIBUTION, ConfigConfirmed(changes.version, 0.0), now_ms)

    # Status for operators.

    def status(self) -> dict[str, Any]:
        """Return the state of this node for the status query of operators."""
        own = self.identity.member
        return {
            "node": own.node,
            "data_centre": own.data_centre,
            "roles": list(own.roles),
            "state": self.drain.phase.value,
            "ready": self.serving
            and self.drain.phase in (DrainPhase.SERVING, DrainPhase.ADVERTISED),
            "config_version": self.cfg.version,
            "config_digest": self.config_distributor.hint().digest,
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
        """Return the state of the local replica, or an empty table without one."""
        if self.replica is None:
            return {}
        state = self.replica.log.state
        return {
            "term": state.term,
            "applied": state.applied,
            "incarnation": state.own.incarnation,
            "voters": {item.node: item.incarnation for item in state.membership.voters},
            "learners": {item.node: item.incarnation for item in state.membership.learners},
            "failed": state.failed,
        }
