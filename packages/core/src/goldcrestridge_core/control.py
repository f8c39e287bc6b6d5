"""Control node: its replica, proposals, queries and publisher, and the formation of a new log."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import Any

from attrs import define, evolve, field, frozen

from goldcrestridge_core import codec, duties, usage
from goldcrestridge_core.duty_roles import Duties, DutyOptions, PlatformAnswered
from goldcrestridge_core.follow_types import (
    ControlAddresses,
    ControlNotice,
    FollowRequest,
    FormationPlan,
    InstancesListed,
    StreamVersion,
)
from goldcrestridge_core.log_members import awaits_successor, is_fresh, is_responsive
from goldcrestridge_core.log_types import (
    JoinReplica,
    LeaveLog,
    Propose,
    ProposeReply,
    Query,
    QueryReply,
    ReplicasKnown,
    WallTime,
)
from goldcrestridge_core.proposals import Proposals
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.queries import Queries, QueryDone, SubmitQuery
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.replication import has_lease
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import QueryLease
from goldcrestridge_core.stream_versions import (
    HOLDER,
    StreamServices,
    StreamVersionLog,
    listed_versions,
    live_versions,
    resource_of,
)
from goldcrestridge_core.types import (
    Count,
    Emit,
    NodeId,
    ProposalDone,
    Receive,
    Send,
    SubmitProposal,
    Tick,
)
from goldcrestridge_core.versions import QueryDocument, VersionedDocument

# The processes of a new deployment start within 0.3 s and need about 0.5 s more to be ready. The
# formation plan waits this long for the target number of voters and then takes the nodes that have
# asked to join.
FORMATION_WAIT_MS = 4_000.0
# Proposals of the control node itself begin with one of these.
OWN_PROPOSALS = (duties.RESOURCE, usage.SERVICE, HOLDER)
# A control node without a replica learns of the leader within this time.
NOTICE_INTERVAL_MS = 1_000.0
# Bound on the nodes beyond the seeds that a node remembers as possible members of the log.
MAX_CONTACTS = 12
# A node outside the log that is not among the seeds of the leader asks for a notice at this
# interval, a fraction of the time between two changes of the replicas.
CONTACT_INTERVAL_MS = 2_000.0
CONTACT_QUERY = "contact "


@frozen
class ControlIdentity:
    """Identity of a control node and its part in the formation of the log.

    ``seeds`` are the control nodes named by the settings. ``bootstrap`` is true only at the first
    start of a deployment; the first seed then chooses the ``target_voters`` nodes that form the
    log.
    """

    node: NodeId
    seeds: tuple[NodeId, ...]
    bootstrap: bool
    target_voters: int


@frozen
class ReplicaOpened:
    """Event: the data folder was opened, at the start or again after a failed write."""

    replica: ControlReplica
    store: Store


@frozen
class ReplicaClosed:
    """Event: the data folder can no longer be used."""


@frozen
class HandoverDone:
    """Effect: the node stops, and no spare is about to take the place of its replica."""


def _no_stream_services(_document: bytes) -> frozenset[str]:
    return frozenset()


@define
class ControlNode:
    """Compose the roles of a control node; a node without a disk has no replica.

    ``stream_services`` returns the services that the resumable streams of a document may use.
    ``duty_options`` is None on a deployment without duties towards the platform.
    """

    identity: ControlIdentity
    seed: int
    stream_services: StreamServices = _no_stream_services
    duty_options: DutyOptions | None = None
    duties: Duties | None = field(init=False)
    publisher: Publisher = field(init=False)
    version_log: StreamVersionLog = field(init=False)
    proposals: Proposals = field(init=False)
    queries: Queries = field(init=False)
    replica: ControlReplica | None = None
    store: Store | None = None
    _known_replicas: tuple[NodeId, ...] = ()
    # Nodes that notices named, the latest last, and the leader of the latest notice.
    _noticed: dict[NodeId, None] = field(factory=dict)
    _noticed_leader: NodeId | None = None
    _next_contact_ms: float = -math.inf
    _joining_since_ms: dict[NodeId, float] = field(factory=dict)
    _plan: FormationPlan | None = None
    _was_leading: bool = False
    _leaving: bool = False  # The node stops, and HandoverDone has not been reported.
    _last_notice_ms: float = -math.inf
    # A list of upstreams whose versions are not all in the log yet.
    _unpublished: InstancesListed | None = None
    _published_versions: frozenset[StreamVersion] = frozenset()
    _inbox: deque[Any] = field(factory=deque)
    _effects: list[Any] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the roles, each with its own random generator."""
        seeds = self.identity.seeds
        options = self.duty_options
        self.duties = None if options is None else Duties(self.identity.node, options)
        usage_ledger = None if self.duties is None else self.duties.usage
        self.publisher = Publisher(self.leadership, self._live_versions, usage_ledger)
        self.version_log = StreamVersionLog(self.identity.node, self.stream_services)
        self.proposals = Proposals(seeds, random.Random(f"{self.seed} proposals"))
        self.queries = Queries(seeds, random.Random(f"{self.seed} queries"))

    def leadership(self, now_ms: float) -> Leadership:
        """Return the leader, the replicas and the document as far as this node knows them."""
        if self.replica is None or self.store is None or is_fresh(self.replica.log.state):
            return Leadership(
                False, self._known_leader(), self._known_replicas, VersionedDocument()
            )
        state = self.replica.log.state
        leads = not state.failed and self.replica.log.leads and has_lease(state, now_ms)
        nodes = tuple(voter.node for voter in state.membership.voters)
        return Leadership(leads, self._known_leader(), nodes, self.store.versions.current)

    def _is_in_log(self) -> bool:
        """Return whether this node holds a replica that has been in the log."""
        return self.replica is not None and not is_fresh(self.replica.log.state)

    def _followed_leader(self) -> NodeId | None:
        """Return the leader that the replica of this node follows, or None."""
        leader = None if self.replica is None else self.replica.log.state.leader
        return None if leader is None else leader.node

    def _known_leader(self) -> NodeId | None:
        """Return the leader that the replica follows, or the one that was last heard of."""
        heard_of = self._noticed_leader if self._is_in_log() else self.proposals.leader
        return self._followed_leader() or heard_of

    def contacts(self) -> tuple[NodeId, ...]:
        """Return the other nodes that may know the leader: seeds and those that notices named."""
        nodes = dict.fromkeys((*self.identity.seeds, *self._noticed))
        return tuple(node for node in nodes if node != self.identity.node)

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of all roles."""
        roles = (self.publisher, self.proposals, self.queries, self.replica)
        times = [role.next_deadline_ms() for role in roles if role is not None]
        if self._followed_leader() is None:
            times.append(self._next_contact_ms)
        return min((time for time in times if time is not None), default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` and all internal events that it causes."""
        self._inbox.append(event)
        while self._inbox:
            self._dispatch(self._inbox.popleft(), now_ms)
            if not self._inbox:
                self._record_versions(now_ms)
                self._advance_duties(now_ms)
        self._update_known_replicas(now_ms)
        self._report_leadership(now_ms)
        self._ask_for_notice(now_ms)
        self._report_handover()
        effects, self._effects = self._effects, []
        return effects

    def _dispatch(self, event: Any, now_ms: float) -> None:
        match event:
            case Tick():
                for role in (self.replica, self.proposals, self.queries, self.publisher):
                    self._run_role(role, event, now_ms)
            case Receive(sender=sender, message=message):
                self._receive(sender, message, event, now_ms)
            case SubmitProposal():
                self.proposals.leader = self._followed_leader() or self.proposals.leader
                self._run_role(self.proposals, event, now_ms)
            case ProposalDone():
                self._run_role(self.proposals, event, now_ms)
            case SubmitQuery():
                self.queries.leader = self._followed_leader() or self.queries.leader
                self._run_role(self.queries, event, now_ms)
            case ControlAddresses(nodes=nodes):
                self.identity = evolve(self.identity, seeds=nodes)
                self._update_contacts(now_ms)
            case InstancesListed():
                self._unpublished = event
            case PlatformAnswered():
                if self.duties is not None:
                    self._effects += self.duties.answered(event, now_ms)
            case ReplicaOpened(replica=replica, store=store):
                self.replica, self.store = replica, store
                self._update_contacts(now_ms)
            case ReplicaClosed():
                self.replica = self.store = None
            case LeaveLog():
                self._leaving = True
                self._run_role(self.replica, event, now_ms)
            case WallTime():
                self._run_role(self.replica, event, now_ms)
            case _:
                self._run_role(self.replica, event, now_ms)

    def _receive(self, sender: NodeId, message: Any, event: Receive, now_ms: float) -> None:
        match message:
            case FollowRequest():
                self._run_role(self.publisher, event, now_ms)
            case ProposeReply():
                self._run_role(self.proposals, event, now_ms)
            case QueryReply():
                self._run_role(self.queries, event, now_ms)
            case FormationPlan(nodes=nodes):
                self._adopt_plan(nodes, now_ms)
            case JoinReplica():
                self._plan_formation(message, now_ms)
                self._run_role(self.replica, event, now_ms)
                self._direct_announcement(sender, message)
            case ControlNotice():
                self._apply_notice(message, now_ms)
            case Propose(proposal_id=name) if not self._is_in_log():
                reply = ProposeReply(name, False, b"", self._known_leader())
                self._effects.append(Send(sender, reply))
            case Query(query_id=name) if not self._is_in_log():
                query_reply = QueryReply(name, False, b"", self._known_leader())
                self._effects.append(Send(sender, query_reply))
            case Query():
                self._run_role(self.replica, event, now_ms)
                self._notify_client(sender)
            case _ if self.replica is None:
                labels = (("kind", type(message).__name__),)
                self._effects.append(Count("control_messages_dropped", 1, labels))
            case _:
                self._run_role(self.replica, event, now_ms)

    def _run_role(self, role: Any, event: Any, now_ms: float) -> None:
        if role is None:
            return
        for effect in role.handle(event, now_ms):
            if isinstance(effect, Send) and effect.to == self.identity.node:
                self._inbox.append(Receive(effect.to, effect.message))
            elif isinstance(effect, QueryDone) and effect.query_id.startswith(CONTACT_QUERY):
                continue
            elif isinstance(effect, ProposalDone) and effect.proposal_id.startswith(OWN_PROPOSALS):
                if self.duties is not None:
                    self._effects += self.duties.confirm(effect)
            else:
                self._effects.append(effect)
        if role is self.replica:
            # The publisher sends hints of a commit without waiting for the next event.
            self._run_role(self.publisher, None, now_ms)

    # Versions of streams.

    def _live_versions(self) -> tuple[StreamVersion, ...] | None:
        """Return the versions at which live streams may have begun, or None if unknown."""
        if self.store is None:
            return None
        needed = self.version_log.needed(self.store.versions.current, self._published_versions)
        return live_versions(needed, self.store.leases.records)

    def _record_versions(self, now_ms: float) -> None:
        """Record the versions of the newest list in the log, and publish the list after that."""
        leads = self.publisher.leads(now_ms)
        if not leads or self.store is None:
            self._unpublished, self._published_versions = None, frozenset()
        listed = self._published_versions
        unpublished = self._unpublished
        if unpublished is not None:
            listed = listed_versions(unpublished.instances)
        store = self.store
        if store is None:
            return
        document, leases = store.versions.current, store.leases.records
        wanted = listed | self._published_versions
        for proposal in self.version_log.proposals(leads, document, wanted, leases, now_ms):
            self._run_role(self.proposals, proposal, now_ms)
        needed = self.version_log.needed(document, listed)
        if unpublished is not None and all(resource_of(item) in leases for item in needed):
            self._unpublished, self._published_versions = None, listed
            self._run_role(self.publisher, unpublished, now_ms)

    def _advance_duties(self, now_ms: float) -> None:
        """Propose and call what the duties towards the platform need now."""
        if self.duties is None or self.store is None:
            return
        leads = self.publisher.leads(now_ms)
        for effect in self.duties.advance(leads, self.store, self.publisher.instances, now_ms):
            if isinstance(effect, SubmitProposal):
                self._run_role(self.proposals, effect, now_ms)
            else:
                self._effects.append(effect)

    # Contacts outside the log.

    def _update_contacts(self, now_ms: float) -> None:
        """Pass the contacts to the replica, which announces itself to them, and to the clients."""
        if self.replica is not None:
            self.replica.log.state.contacts = self.contacts()
        nodes = ReplicasKnown(tuple(dict.fromkeys((*self._known_replicas, *self.identity.seeds))))
        self._run_role(self.proposals, nodes, now_ms)
        self._run_role(self.queries, nodes, now_ms)

    def _apply_notice(self, notice: ControlNotice, now_ms: float) -> None:
        """Remember the nodes of a notice; a node outside the log also asks them from now on."""
        self._noticed_leader = notice.leader
        self._next_contact_ms = now_ms + CONTACT_INTERVAL_MS
        for node in (*notice.replicas, notice.leader):
            self._noticed.pop(node, None)
            self._noticed[node] = None
        while len(self._noticed) > MAX_CONTACTS:
            del self._noticed[next(iter(self._noticed))]
        if not self._is_in_log():
            self.proposals.leader = self.queries.leader = notice.leader
            self._set_known_replicas(notice.replicas, now_ms)
        self._update_contacts(now_ms)

    def _notify_client(self, sender: NodeId) -> None:
        """Send a notice to a node outside the log that has sent a query."""
        leader = self._followed_leader()
        if leader is not None and sender not in self._known_replicas:
            self._effects.append(Send(sender, ControlNotice(leader, self._known_replicas)))

    def _ask_for_notice(self, now_ms: float) -> None:
        """Query a lease that does not exist, since the leader answers with a notice as well."""
        if self._followed_leader() is not None or now_ms < self._next_contact_ms:
            return
        self._next_contact_ms = now_ms + CONTACT_INTERVAL_MS
        request = codec.encode(QueryLease(""))
        query = SubmitQuery(CONTACT_QUERY + self.identity.node, request, CONTACT_INTERVAL_MS)
        self._run_role(self.queries, query, now_ms)

    def _direct_announcement(self, sender: NodeId, message: JoinReplica) -> None:
        """Tell a replica that wants to join where the log is, and pass its announcement on.

        The nodes that it knows may all be outside the log. A replica in the log passes an
        announcement on by itself. One that was passed on already goes no further.
        """
        joining, leader = message.replica.node, self._noticed_leader
        if self._is_in_log() or leader is None or leader in (self.identity.node, joining):
            return
        self._effects.append(Send(joining, ControlNotice(leader, self._known_replicas)))
        if sender == joining:
            self._effects.append(Send(leader, message))

    # Formation of the log and its replicas.

    def _plan_formation(self, message: JoinReplica, now_ms: float) -> None:
        """Choose the nodes that form the log if this node is the first seed of a new deployment."""
        identity = self.identity
        if (
            not identity.bootstrap
            or not identity.seeds
            or identity.node != identity.seeds[0]
            or not message.fresh
        ):
            return
        own = self.replica
        if own is not None and not is_fresh(own.log.state):
            return
        joining = message.replica.node
        self._joining_since_ms.setdefault(joining, now_ms)
        if own is not None:
            self._joining_since_ms.setdefault(identity.node, now_ms)
        if self._plan is None:
            waited_ms = now_ms - min(self._joining_since_ms.values())
            if (
                len(self._joining_since_ms) < identity.target_voters
                and waited_ms < FORMATION_WAIT_MS
            ):
                return
            first = [node for node in identity.seeds if node in self._joining_since_ms]
            rest = [node for node in sorted(self._joining_since_ms) if node not in first]
            size = min(identity.target_voters, len(self._joining_since_ms))
            self._plan = FormationPlan(tuple((first + rest)[: size - 1 + size % 2]))
            self._effects.append(
                Emit("log_planned", detail=(("nodes", " ".join(self._plan.nodes)),))
            )
        self._effects.append(Send(joining, self._plan))
        self._adopt_plan(self._plan.nodes, now_ms)

    def _adopt_plan(self, nodes: tuple[NodeId, ...], now_ms: float) -> None:
        """Form the log with the planned nodes unless this replica has a log or a plan already."""
        if self.replica is None or not self.identity.bootstrap:
            return
        state = self.replica.log.state
        if is_fresh(state) and not state.initial:
            state.initial = nodes
            state.join_at_ms = now_ms

    def _update_known_replicas(self, now_ms: float) -> None:
        """Pass the current voters to the clients of the log."""
        if self.replica is None:
            return
        voters = self.replica.log.state.membership.voters
        self._set_known_replicas(tuple(voter.node for voter in voters), now_ms)

    def _set_known_replicas(self, nodes: tuple[NodeId, ...], now_ms: float) -> None:
        if nodes and nodes != self._known_replicas:
            self._known_replicas = nodes
            self._update_contacts(now_ms)

    def _report_handover(self) -> None:
        """Report once that a node that stops may end without a loss to the log."""
        awaits = self.replica is not None and awaits_successor(self.replica.log.state)
        if self._leaving and not awaits:
            self._leaving = False
            self._effects.append(HandoverDone())

    def _report_leadership(self, now_ms: float) -> None:
        leads = self.leadership(now_ms).leads
        if leads != self._was_leading:
            self._was_leading = leads
            self._effects.append(Emit("leadership_gained" if leads else "leadership_lost"))
        if leads and now_ms >= self._last_notice_ms + NOTICE_INTERVAL_MS:
            self._last_notice_ms = now_ms
            notice = ControlNotice(self.identity.node, self._known_replicas)
            self._effects.extend(Send(node, notice) for node in self._nodes_to_notify(now_ms))

    def _nodes_to_notify(self, now_ms: float) -> list[NodeId]:
        """Return the seeds and the replicas that the log does not reach.

        A replica that does not answer may have lost its disk, and its seeds may all be gone.
        """
        assert self.replica is not None
        state = self.replica.log.state
        reached = {item.node for item in state.peers if is_responsive(state, item, now_ms)}
        nodes = dict.fromkeys((*self.identity.seeds, *self._known_replicas))
        return [node for node in nodes if node not in reached and node != self.identity.node]


def read_document(query_id: str, timeout_ms: float) -> SubmitQuery:
    """Return the event that reads the current document and its version."""
    return SubmitQuery(query_id, codec.encode(QueryDocument()), timeout_ms)
