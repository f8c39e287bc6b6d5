"""Publisher role of a control node: serves routes, upstreams and entry nodes to followers.

Only the leader answers with content, and only while its lease proves that no other node leads.
The registry of entry nodes is soft state: each node registers with its requests, so a new leader
knows all of them after one polling interval.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import xxhash
from attrs import define, evolve, field, frozen

from goldcrestridge_core import codec
from goldcrestridge_core.deltas import Deltas
from goldcrestridge_core.follow_types import (
    EntryStatus,
    FollowHint,
    FollowReply,
    FollowRequest,
    InstancesListed,
    RestNotice,
    StreamVersion,
    UpstreamInstance,
)
from goldcrestridge_core.follower import poll_interval_ms
from goldcrestridge_core.types import Emit, NodeId, Receive, Send
from goldcrestridge_core.usage import UsageLedger
from goldcrestridge_core.usage_types import UsageReply
from goldcrestridge_core.versions import VersionedDocument
from goldcrestridge_core.workload_sums import WorkloadSums

# An entry node that missed two polls, each with a retry, is removed from the list.
MAX_MISSED_POLLS = 2.0
EXPIRY_MARGIN_MS = 1_500.0
# A new leader publishes the list of entry nodes only after all of them had time to register.
REGISTRATION_PERIOD_MS = 2_000.0
SWEEP_INTERVAL_MS = 500.0


@frozen
class Leadership:
    """Current state of the log; ``leads`` requires a valid leader lease."""

    leads: bool
    leader: NodeId | None
    replicas: tuple[NodeId, ...]
    document: VersionedDocument


@define
class _Entry:
    status: EntryStatus
    last_request_ms: float


@define
class Publisher:
    """Answer FollowRequest and send hints of changes; ``leadership`` reads the state of the log.

    ``stream_versions`` returns the versions at which live streams may have begun, or None.
    ``usage`` sums what upstreams began, if that has to be reported.
    Events: Tick; Receive of FollowRequest; InstancesListed. Effects: Send, Emit.
    """

    leadership: Callable[[float], Leadership]
    stream_versions: Callable[[], tuple[StreamVersion, ...] | None] = lambda: None
    usage: UsageLedger | None = None
    _entries: dict[NodeId, _Entry] = field(factory=dict)
    _instances: tuple[UpstreamInstance, ...] | None = None
    _instances_digest: str = ""
    _listed_ms: float = -math.inf  # When the platform was asked for the list.
    _accepting_entries: tuple[EntryStatus, ...] = ()
    _entries_digest: str = ""
    _leads_since_ms: float = math.inf
    _deltas: Deltas = field(factory=Deltas)
    _last_hint: tuple[int, str, str, str] = (0, "", "", "")
    _version_since_ms: float = -math.inf  # When this leader first had the version.
    _last_sweep_ms: float = -math.inf
    _workloads: WorkloadSums = field(factory=WorkloadSums)
    # Until when each run of an instance rests for each entry node, also while that node is down.
    _rests: dict[NodeId, dict[str, float]] = field(factory=dict)

    def next_deadline_ms(self) -> float | None:
        """Return when the leader next checks for lost entry nodes, or None if it does not lead.

        The leader starts these checks at the first event after its election.
        """
        return None if self._leads_since_ms == math.inf else self._last_sweep_ms + SWEEP_INTERVAL_MS

    @property
    def instances(self) -> tuple[UpstreamInstance, ...]:
        """Return the list of upstreams that entry nodes get."""
        return self._instances or ()

    def leads(self, now_ms: float) -> bool:
        """Return whether this node is the leader with a valid lease."""
        return self.leadership(now_ms).leads

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        current = self.leadership(now_ms)
        effects: list[Any] = []
        match event:
            case Receive(sender=sender, message=FollowRequest() as request):
                effects += self._register(request, current.leads, now_ms)
                self._sweep(current, now_ms)
                effects.append(Send(sender, self._answer(request, current, now_ms)))
            case InstancesListed(instances=instances, asked_ms=asked_ms):
                self._listed_ms = now_ms if asked_ms is None else asked_ms
                effects += self._apply_instances(instances)
        self._sweep(current, now_ms)
        return effects + self._hint_changes(current, now_ms)

    def _register(self, request: FollowRequest, leads: bool, now_ms: float) -> list[Any]:
        status = request.status
        known = self._entries.get(status.node)
        self._entries[status.node] = _Entry(status, now_ms)
        if leads:
            self._workloads.report(status.node, request.workload, now_ms)
            if self.usage is not None:
                self.usage.add(status.node, request.usage, now_ms)
        self._record_rests(status.node, request.workload.rests, now_ms)
        if known is not None and known.status == status:
            return []
        self._last_sweep_ms = -math.inf
        detail = (("node", status.node), ("accepting", int(status.accepting)))
        return [Emit("entry_registered", detail=detail)]

    def _record_rests(self, node: NodeId, rests: tuple[RestNotice, ...], now_ms: float) -> None:
        """Record the rests that a node was asked for, and drop those that have ended."""
        known = self._rests.pop(node, {})
        ends = {life: end_ms for life, end_ms in known.items() if end_ms > now_ms}
        for rest in rests:
            ends[rest.life] = max(ends.get(rest.life, 0.0), now_ms + rest.left_ms)
        if ends:
            self._rests[node] = ends

    def _forgotten_rests(self, request: FollowRequest, now_ms: float) -> tuple[RestNotice, ...]:
        """Return the rests that the sender reported before it was restarted."""
        reported = {rest.life for rest in request.workload.rests}
        ends = self._rests.get(request.status.node, {})
        return tuple(
            RestNotice(life, math.ceil(end_ms - now_ms))
            for life, end_ms in ends.items()
            if life not in reported and end_ms > now_ms
        )

    def _apply_instances(self, instances: tuple[UpstreamInstance, ...]) -> list[Any]:
        if instances == self._instances:
            return []
        before = {item.instance: item for item in self._instances or ()}
        after = {item.instance: item for item in instances}
        self._instances = instances
        self._instances_digest = _digest(instances)
        self._workloads.retain_limits(after)
        detail = (
            ("added", " ".join(sorted(after.keys() - before.keys()))),
            ("removed", " ".join(sorted(before.keys() - after.keys()))),
            ("leaving", " ".join(name for name, item in sorted(after.items()) if item.leaving)),
            ("versions", _count_versions(instances)),
        )
        return [Emit("upstreams_listed", detail=detail)]

    def _sweep(self, current: Leadership, now_ms: float) -> None:
        """Remove entry nodes that stopped polling, and rebuild the list of accepting ones."""
        if not current.leads:
            if self._leads_since_ms < math.inf:
                self._workloads.forget_shared()
            self._leads_since_ms = math.inf
            self._entries_digest = ""
            # Another leader may publish newer lists meanwhile.
            self._instances, self._instances_digest = None, ""
            return
        if self._leads_since_ms == math.inf:
            self._leads_since_ms = now_ms
        if now_ms < self._last_sweep_ms + SWEEP_INTERVAL_MS:
            return
        self._last_sweep_ms = now_ms
        oldest_ms = (
            now_ms - MAX_MISSED_POLLS * poll_interval_ms(len(self._entries)) - EXPIRY_MARGIN_MS
        )
        lost = [node for node, item in self._entries.items() if item.last_request_ms < oldest_ms]
        for node in lost:
            del self._entries[node]
            self._workloads.remove(node)
        if now_ms < self._leads_since_ms + REGISTRATION_PERIOD_MS:
            return
        statuses = (entry.status for _, entry in sorted(self._entries.items()))
        self._accepting_entries = tuple(status for status in statuses if status.accepting)
        self._entries_digest = _digest(self._accepting_entries)

    def _answer(self, request: FollowRequest, current: Leadership, now_ms: float) -> FollowReply:
        if not current.leads:
            return FollowReply(
                request.sequence, False, leader=current.leader, replicas=current.replicas
            )
        newest = current.document
        reply = {
            "version": newest.version,
            "instances_digest": self._instances_digest,
            "entries_digest": self._entries_digest,
            "blocked_digest": self._workloads.crashes.digest(now_ms),
            "replicas": current.replicas,
            "version_age_ms": max(0.0, now_ms - self._version_since_ms)
            if newest.version == self._last_hint[0]
            else 0.0,
            "workload": evolve(
                self._workloads.of_others(request.status.node, now_ms),
                own_rests=self._forgotten_rests(request, now_ms),
            ),
            "stream_versions": self.stream_versions(),
            "instances_age_ms": now_ms - self._listed_ms if self._instances is not None else None,
            "usage": UsageReply() if self.usage is None else self.usage.reply(now_ms),
        }
        if newest.version > request.have_version:
            self._deltas.add(newest.version, newest.document)
            packed = self._deltas.pack_newest(request.have_version)
            reply["base_version"], reply["document"] = packed
        if self._instances is not None and request.have_instances != self._instances_digest:
            reply["instances"] = self._instances
        if self._entries_digest and request.have_entries != self._entries_digest:
            reply["entries"] = self._accepting_entries
        return FollowReply(request.sequence, True, **reply)  # type: ignore[arg-type]

    def _hint_changes(self, current: Leadership, now_ms: float) -> list[Any]:
        """Send one hint of each change to all entry nodes."""
        if not current.leads:
            return []
        state = (
            current.document.version,
            self._instances_digest,
            self._entries_digest,
            self._workloads.crashes.digest(now_ms),
        )
        if state == self._last_hint:
            return []
        if state[0] != self._last_hint[0]:
            self._version_since_ms = now_ms
        effects: list[Any] = []
        if state[3] != self._last_hint[3]:
            effects.append(Emit("prompt_parts_blocked", detail=(("parts", state[3]),)))
        self._last_hint = state
        return effects + [Send(node, FollowHint(*state)) for node in sorted(self._entries)]


def _count_versions(instances: tuple[UpstreamInstance, ...]) -> str:
    """Return how many instances of each service run each version."""
    counts = Counter((item.service, item.version or "unknown") for item in instances)
    return ", ".join(
        f"{service} {version}: {count}" for (service, version), count in sorted(counts.items())
    )


def _digest(items: tuple[Any, ...]) -> str:
    return xxhash.xxh3_64_hexdigest(b"".join(codec.encode(item) for item in items))
