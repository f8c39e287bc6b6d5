"""Versions at which live streams may have begun, kept in the log (a role of the control leader).

Entry nodes hold the origins of streams in memory, so all of them are lost with all entry nodes.
The leader therefore records each version of each service that resumable streams may use as a lease
in the replicated log, before entry nodes get a list with it, and renews the lease while the version
is listed. The lease lapses once no stream that began at the version can be alive. If the log holds
a single version, every live stream began at it.

Leases are commands of the store that all releases know, and need no clock that outlives a restart:
a new leader restarts their full duration.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

import msgspec
from attrs import define, field

from goldcrestridge_core.follow_types import StreamVersion, UpstreamInstance
from goldcrestridge_core.store_types import AcquireLease, LeaseRecord
from goldcrestridge_core.types import NodeId, SubmitProposal
from goldcrestridge_core.versions import VersionedDocument

# Longer than callers wait for a stream and all their attempts to take it up, beginning with a list
# that an entry node may use for some seconds after it was cut off.
STREAM_LIFE_MS = 60_000.0
RENEWAL_INTERVAL_MS = 20_000.0
# A version that is no longer listed was recorded up to one interval before.
LEASE_MS = STREAM_LIFE_MS + RENEWAL_INTERVAL_MS
PROPOSAL_TIMEOUT_MS = 1_000.0
# All leaders renew the same leases.
HOLDER = NodeId("stream versions")
SESSION = "stream versions"
# Held once the log has the versions of all streams that may be alive.
COMPLETE = "stream versions complete"
# Names that the platform gives are not trusted to be short.
MAX_NAME_LENGTH = 200

StreamServices = Callable[[bytes], frozenset[str]]


def resource_of(version: StreamVersion) -> str:
    """Return the name of the lease that records a version."""
    names = [version.service, version.version, version.weights]
    return f"{HOLDER} {msgspec.json.encode(names).decode()}"


def listed_versions(instances: Iterable[UpstreamInstance]) -> frozenset[StreamVersion]:
    """Return the versions of all services in a list of upstreams; overlong ones are unknown."""
    return frozenset(
        StreamVersion(item.service, item.version, item.weights)
        if len(item.version) + len(item.weights) <= MAX_NAME_LENGTH
        else StreamVersion(item.service, "")
        for item in instances
    )


def recorded_versions(leases: Iterable[str]) -> tuple[StreamVersion, ...]:
    """Return the versions that the names of leases stand for, in order."""
    names = (name.removeprefix(HOLDER) for name in leases if name.startswith(f"{HOLDER} ["))
    return tuple(sorted(StreamVersion(*msgspec.json.decode(name)) for name in names))


@define
class StreamVersionLog:
    """Record the versions of a list of upstreams before the list is published.

    ``stream_services`` returns the services that the resumable streams of a document may use.
    """

    node: NodeId
    stream_services: StreamServices
    _leads_since_ms: float = math.inf
    # When this leader last proposed each lease.
    _proposed_ms: dict[str, float] = field(factory=dict)
    _proposals: int = 0
    _services: tuple[int, frozenset[str]] = (0, frozenset())

    def _services_of(self, document: VersionedDocument) -> frozenset[str]:
        if self._services[0] != document.version:
            self._services = document.version, self.stream_services(document.document)
        return self._services[1]

    def needed(
        self, document: VersionedDocument, listed: Iterable[StreamVersion]
    ) -> set[StreamVersion]:
        """Return the listed versions at which streams may begin with a document."""
        services = self._services_of(document)
        return {version for version in listed if version.service in services}

    def proposals(
        self,
        leads: bool,
        document: VersionedDocument,
        listed: Iterable[StreamVersion],
        leases: Mapping[str, LeaseRecord],
        now_ms: float,
    ) -> list[SubmitProposal]:
        """Return the proposals of the leases that are missing or due for renewal."""
        if not leads:
            self._leads_since_ms = math.inf
            self._proposed_ms.clear()
            return []
        self._leads_since_ms = min(self._leads_since_ms, now_ms)
        wanted = {resource_of(version) for version in self.needed(document, listed)}
        # Without a document no stream has begun yet. Otherwise former leaders of another release
        # may have recorded nothing.
        if (
            not document.version
            or COMPLETE in leases
            or now_ms - self._leads_since_ms >= STREAM_LIFE_MS
        ):
            wanted.add(COMPLETE)
        return [
            self._propose(resource, now_ms)
            for resource in sorted(wanted)
            if self._is_due(resource, leases, now_ms)
        ]

    def _is_due(self, resource: str, leases: Mapping[str, LeaseRecord], now_ms: float) -> bool:
        interval_ms = RENEWAL_INTERVAL_MS if resource in leases else PROPOSAL_TIMEOUT_MS
        return now_ms - self._proposed_ms.get(resource, -math.inf) >= interval_ms

    def _propose(self, resource: str, now_ms: float) -> SubmitProposal:
        self._proposed_ms[resource] = now_ms
        self._proposals += 1
        command = AcquireLease(resource, HOLDER, LEASE_MS, session=SESSION)
        name = f"{HOLDER} {self.node} {self._proposals}"
        return SubmitProposal(name, command, PROPOSAL_TIMEOUT_MS)


def live_versions(
    needed: set[StreamVersion], leases: Mapping[str, LeaseRecord]
) -> tuple[StreamVersion, ...] | None:
    """Return the versions at which live streams may have begun, or None if they are not known."""
    if COMPLETE not in leases or not all(resource_of(version) in leases for version in needed):
        return None
    return recorded_versions(leases)
