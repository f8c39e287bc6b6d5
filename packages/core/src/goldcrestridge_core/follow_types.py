"""Messages between entry nodes and the control leader, and events and effects around them."""

from __future__ import annotations

from attrs import Factory, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId


@message
@frozen
class UpstreamInstance:
    """One start of an upstream; its address may later belong to another service."""

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool


@message
@frozen
class EntryStatus:
    """What an entry node tells of itself; callers are sent to it while ``accepting`` is true."""

    node: NodeId
    caller_address: str
    data_centre: str
    accepting: bool


@message
@frozen
class InstanceLoad:
    """Requests in flight at one upstream instance."""

    instance: str
    requests: int


@message
@frozen
class ServiceWork:
    """Work that came for an engine service of late, for short and for long prompts.

    The unit is the time that an engine needs to read one prompt token. Of ``short``, ``tight`` is
    that of streams that bear only short pauses.
    """

    service: str
    short: float
    long: float
    tight: float = 0.0


@message
@frozen
class Workload:
    """What entry nodes tell each other of the load that they put on upstreams."""

    loads: tuple[InstanceLoad, ...] = ()
    works: tuple[ServiceWork, ...] = ()


@message
@frozen
class FollowRequest:
    """Ask the leader for what changed; ``have_...`` name what the asker holds already.

    ``sequence`` returns in the reply, so that the asker knows when it asked. ``workload`` is the
    asker's own.
    """

    sequence: int
    status: EntryStatus
    have_version: int
    have_instances: str
    have_entries: str
    workload: Workload = Factory(Workload)


@message
@frozen
class FollowReply:
    """Answer to FollowRequest; empty or None where the asker holds the current state.

    ``document`` is packed with the document of ``base_version``, or with none if that is 0.
    Only a reply with ``leads`` says what was current when the request arrived. The digests are
    empty while the leader does not know the lists yet. ``workload`` sums up what all
    other entry nodes told when they last asked.
    """

    sequence: int
    leads: bool
    leader: NodeId | None = None
    version: int = 0
    base_version: int = 0
    document: bytes = b""
    instances_digest: str = ""
    instances: tuple[UpstreamInstance, ...] | None = None
    entries_digest: str = ""
    entries: tuple[EntryStatus, ...] | None = None
    replicas: tuple[NodeId, ...] = ()
    workload: Workload = Factory(Workload)


@message
@frozen
class FollowHint:
    """Tell an entry node that the leader holds something new."""

    version: int
    instances_digest: str
    entries_digest: str


@message
@frozen
class ControlNotice:
    """Tell control nodes without a replica who leads and which replicas there are."""

    leader: NodeId
    replicas: tuple[NodeId, ...]


@message
@frozen
class FormationPlan:
    """Name the replicas that form the log of a new deployment."""

    nodes: tuple[NodeId, ...]


@frozen
class InstancesListed:
    """Event: the platform's list of upstreams was read."""

    instances: tuple[UpstreamInstance, ...]


@frozen
class RoutesReceived:
    """Effect: a newer version of the routes arrived."""

    version: int
    document: bytes


@frozen
class InstancesReceived:
    """Effect: the list of upstreams changed."""

    instances: tuple[UpstreamInstance, ...]


@frozen
class EntriesReceived:
    """Effect: the list of entry nodes changed."""

    entries: tuple[EntryStatus, ...]


@frozen
class WorkloadReceived:
    """Effect: the load that all other entry nodes put on upstreams."""

    workload: Workload


@frozen
class StatusChanged:
    """Event: this entry node starts or stops to accept callers."""

    accepting: bool


@frozen
class ControlAddresses:
    """Event: the settings name these control nodes from now on."""

    nodes: tuple[NodeId, ...]
