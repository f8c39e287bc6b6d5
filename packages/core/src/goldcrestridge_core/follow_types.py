"""Messages between entry nodes and the control leader, and the related events and effects."""

from __future__ import annotations

from attrs import Factory, frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId
from goldcrestridge_core.usage_types import UsageReply, UsageReport


@message
@frozen
class UpstreamInstance:
    """One run of an upstream process; a later run at its address may serve another service.

    ``version`` is that of its software, not of the weights of a model; it is empty if unknown.
    ``born`` is the Unix time of its start in milliseconds, or 0 if unknown; a later run can have
    the same name. ``weights`` names the weights of its models, or is empty if unknown. The platform
    may reclaim a ``spot`` instance at any time.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    version: str = ""
    born: int = 0
    weights: str = ""
    spot: bool = False

    @property
    def life(self) -> str:
        """Return a name of this run that no other run has, if ``born`` is known."""
        return f"{self.instance} {self.address} {self.born}"


@message
@frozen(order=True)
class StreamVersion:
    """A service with the versions of its software and of the weights of its models."""

    service: str
    version: str
    weights: str = ""


@message
@frozen
class EntryStatus:
    """Status of an entry node; callers are sent to it while ``accepting`` is true."""

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
    """Recent work for an engine service, separately for short and for long prompts.

    The unit is the engine time of one prompt token of prefill. ``tight`` is the share of ``short``
    that belongs to streams that allow only short gaps between events.
    """

    service: str
    short: float
    long: float
    tight: float = 0.0


@message
@frozen
class NamedLimit:
    """The limit in an answer of an instance: requests a second from all entry nodes together.

    ``per_second`` is None if the answer names no limit. ``sent_age_ms`` and ``answered_age_ms`` are
    the times since the request was sent and since its answer arrived, both at the sender of this
    message.
    """

    instance: str
    per_second: float | None
    sent_age_ms: float
    answered_age_ms: float


@message
@frozen
class LeavingNotice:
    """A run of an instance said in its answers that it leaves.

    The ages are the times since the first and the last of these answers arrived at an entry node.
    """

    life: str
    first_age_ms: float
    last_age_ms: float


@message
@frozen
class RestNotice:
    """A run of an instance wants no requests from an entry node for ``left_ms``."""

    life: str
    left_ms: float


@message
@frozen
class PromptCrash:
    """A run of an upstream ended before it answered a prompt with ``parts``.

    ``known`` are those of them that the reporting node had seen answered before. The request had
    been sent ``took_ms`` before; former builds don't say so.
    """

    run: str
    parts: tuple[str, ...]
    known: tuple[str, ...]
    age_ms: float
    took_ms: float = 0.0


@message
@frozen
class AnsweredPart:
    """The last time at which an upstream began to answer a prompt with a part."""

    part: str
    age_ms: float


@message
@frozen
class BlockedParts:
    """Prompts with all of these parts crash upstreams; ``age_ms`` is that of the last crash."""

    parts: tuple[str, ...]
    age_ms: float


@message
@frozen
class Workload:
    """Load, limits and notices of upstreams, exchanged between entry nodes through the leader.

    ``own_rests`` are those that the receiver itself reported and its last request did not hold,
    since it was restarted. The leader gets the ``crashes`` and returns the ``blocked`` parts of
    prompts; ``suspects`` are those of which it has to know whether they were answered.
    """

    loads: tuple[InstanceLoad, ...] = ()
    works: tuple[ServiceWork, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    rests: tuple[RestNotice, ...] = ()
    own_rests: tuple[RestNotice, ...] = ()
    crashes: tuple[PromptCrash, ...] = ()
    answers: tuple[AnsweredPart, ...] = ()
    blocked: tuple[BlockedParts, ...] = ()
    suspects: tuple[str, ...] = ()


@message
@frozen
class FollowRequest:
    """Ask the leader for changes; the ``have_...`` fields name what the sender holds already.

    ``sequence`` is echoed in the reply, so that the sender knows when it sent the request.
    ``workload`` and ``usage`` are those of the sender alone.
    """

    sequence: int
    status: EntryStatus
    have_version: int
    have_instances: str
    have_entries: str
    workload: Workload = Factory(Workload)
    usage: UsageReport = Factory(UsageReport)


@message
@frozen
class FollowReply:
    """Answer to FollowRequest; fields are empty or None where the sender is up to date.

    ``document`` is compressed with the document of ``base_version`` as its base, or without a
    base if that is 0. Only a reply with ``leads`` shows the state that was current when the
    request arrived. The digests are empty while the leader does not know the lists yet.
    ``workload`` is the sum of the last reports of all other entry nodes. ``version_age_ms`` tells
    for how long the leader has known the version. ``blocked_digest`` stands for the blocked parts
    of prompts in the workload. ``stream_versions`` are those at which streams that are still alive
    may have begun, or None if the leader doesn't know them all. ``instances_age_ms`` is the time
    since the platform was asked for the list with the digest, or None if it is not known.
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
    version_age_ms: float = 0.0
    blocked_digest: str = ""
    stream_versions: tuple[StreamVersion, ...] | None = None
    usage: UsageReply = Factory(UsageReply)
    instances_age_ms: float | None = None


@message
@frozen
class FollowHint:
    """Notify an entry node of the leader's current version and digests."""

    version: int
    instances_digest: str
    entries_digest: str
    blocked_digest: str = ""


@message
@frozen
class ControlNotice:
    """Notify control nodes without a replica of the leader and the replicas."""

    leader: NodeId
    replicas: tuple[NodeId, ...]


@message
@frozen
class FormationPlan:
    """Name the replicas that form the log of a new deployment."""

    nodes: tuple[NodeId, ...]


@frozen
class InstancesListed:
    """Event: the platform's list of upstreams was read, after it was asked at ``asked_ms``."""

    instances: tuple[UpstreamInstance, ...]
    asked_ms: float | None = None


@frozen
class RoutesReceived:
    """Effect: a newer version of the routes arrived, which the leader has known for ``age_ms``."""

    version: int
    document: bytes
    age_ms: float = 0.0


@frozen
class InstancesReceived:
    """Effect: the list of upstreams changed."""

    instances: tuple[UpstreamInstance, ...]


@frozen
class InstancesConfirmed:
    """Effect: the leader, asked at ``asked_ms``, had the same list of upstreams as this node.

    The platform had given it at ``listed_ms`` or later.
    """

    listed_ms: float
    asked_ms: float


@frozen
class EntriesReceived:
    """Effect: the list of entry nodes changed."""

    entries: tuple[EntryStatus, ...]


@frozen
class WorkloadReceived:
    """Effect: the load that all other entry nodes put on upstreams."""

    workload: Workload


@frozen
class StreamVersionsReceived:
    """Effect: the ``stream_versions`` of the leader's reply to a request sent at ``asked_ms``."""

    versions: tuple[StreamVersion, ...] | None
    asked_ms: float


@frozen
class UsageReplied:
    """Effect: the leader's reply to the usage that was sent at ``asked_ms``."""

    reply: UsageReply
    asked_ms: float


@frozen
class StatusChanged:
    """Event: this entry node starts or stops accepting callers."""

    accepting: bool


@frozen
class ReportDue:
    """Event: this entry node has something to report that the others should know at once."""


@frozen
class ControlAddresses:
    """Event: the settings changed; ``nodes`` are the control nodes that they name now."""

    nodes: tuple[NodeId, ...]
