"""Messages, events and effects of configuration distribution, membership and ownership."""

from __future__ import annotations

import enum
from typing import Any

from attrs import frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId, RequestId, ShardId

# Configuration distribution.


@message
@frozen
class ConfigHint:
    """Announce the version and digest of the configuration in force at the sender."""

    version: int
    digest: str


@message
@frozen
class ConfigPull:
    """Ask for the difference from ``have_version`` to the current version.

    ``sequence`` is echoed in the answer, so that the answer is not matched to a later pull.
    """

    have_version: int
    have_digest: str
    sequence: int = 0


@message
@frozen
class ConfigDelta:
    """Carry a version as a difference from ``base_version``, or in full if that is 0.

    ``digest`` covers the whole document of ``version``. ``age_ms`` is an upper bound of the time
    since ``version`` was known to be current; a negative value means that no bound is known.
    """

    base_version: int
    version: int
    digest: str
    patch: bytes
    age_ms: float = -1.0
    sequence: int = 0


@frozen
class ConfigCommitted:
    """Event: the local replica applied a configuration version from the log."""

    version: int
    document: dict[str, Any]


@frozen
class ConfigConfirmed:
    """Event: a quorum-backed source confirms that ``version`` was current at most ``age_ms`` ago.

    The source is the lease of the log leader, a replica that applied everything the leader had
    committed when it last heard from it, or the answer to a Query.
    """

    version: int
    age_ms: float


@frozen
class ConfigInForce:
    """Effect and event: a configuration version came into force on this node."""

    version: int
    document: dict[str, Any]


@frozen
class ConfigurationChanged:
    """Effect: the validated configuration that comes into force."""

    cfg: Any


# Membership: records, probes, gossip and full-state exchange.


class MemberState(enum.Enum):
    """State of a member as seen by the sender."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@frozen
class Member:
    """One node of the system; a higher incarnation overrides any state of a lower one."""

    node: NodeId
    incarnation: int
    state: MemberState
    data_centre: str
    peer_address: str
    caller_address: str = ""
    roles: tuple[str, ...] = ()
    admin_address: str = ""


@message
@frozen
class Ping:
    """Probe a member; carries member updates and the configuration hint."""

    sequence: int
    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class PingReq:
    """Ask another member to probe ``target`` on the sender's behalf."""

    sequence: int
    target: NodeId
    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class Ack:
    """Answer a probe; ``target`` is the member that answered."""

    sequence: int
    target: NodeId
    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class MemberGossip:
    """Carry member updates without asking for an answer; sent while updates are pending."""

    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class MemberDigest:
    """Start a full-state exchange; ``digest`` covers all members that are not dead or left."""

    digest: int
    updates: tuple[Member, ...]


@message
@frozen
class MemberSummary:
    """List (node, incarnation, state rank) of every member, after a digest that differs."""

    entries: tuple[tuple[NodeId, int, int], ...]


@message
@frozen
class MemberRecords:
    """Carry the records that the receiver lacks, and the nodes whose records the sender wants."""

    updates: tuple[Member, ...]
    wanted: tuple[NodeId, ...] = ()


@frozen
class PlatformVm:
    """One VM of the platform's list."""

    node: NodeId
    leaving: bool = False


@frozen
class PlatformList:
    """Event: the platform's list of live and leaving VMs, which may lag by ``lag_ms``."""

    vms: tuple[PlatformVm, ...]
    lag_ms: float


@frozen
class StartDrain:
    """Event: drain this node; a second one ends the drain at once.

    ``deadline_ms`` is the longest duration of the drain; None means no limit.
    """

    deadline_ms: float | None = None


@frozen
class Leave:
    """Event: the drain of this node has ended, and it leaves the membership now."""


@frozen
class ReleaseOwnership:
    """Effect and event: release every shard that this node owns, and acquire none from now on."""


@frozen
class DrainDone:
    """Effect: the drain has ended; ``cut`` lists the requests that it interrupted."""

    cut: tuple[RequestId, ...]
    reason: str


@frozen
class MemberUp:
    """Effect and event: a member joined, came back, or has a new incarnation."""

    member: Member


@frozen
class MemberLeaving:
    """Effect and event: a member is draining and takes no new requests."""

    node: NodeId


@frozen
class MemberDown:
    """Effect and event: a member left or is dead."""

    node: NodeId


# Ownership of shards.


@message
@frozen
class OwnerAnnounce:
    """Announce the owner of a shard; the higher epoch wins."""

    shard: ShardId
    owner: NodeId
    epoch: int


@message
@frozen
class OwnerClaim:
    """Ask the holder of a lease to release it to the sender if the sender ranks before it."""

    shard: ShardId


@frozen
class ShardsChanged:
    """Event: the shards of all pools of the configuration in force."""

    shards: tuple[ShardId, ...]


@frozen
class OwnershipGained:
    """Effect: this node owns the shard under fencing number ``epoch``."""

    shard: ShardId
    epoch: int


@frozen
class OwnershipLost:
    """Effect: this node no longer owns the shard and must stop granting at once."""

    shard: ShardId
