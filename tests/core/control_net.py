"""Simulation of control nodes and followers: virtual time, delays, partitions and disks."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterable
from typing import Any

from attrs import define, field

from goldcrestridge_core import codec
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.control import (
    ControlIdentity,
    ControlNode,
    HandoverDone,
    ReplicaClosed,
    ReplicaOpened,
    read_document,
)
from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.entry import EntryNode
from goldcrestridge_core.follow_types import ControlAddresses, EntryStatus, UsageReplied
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_records import recover
from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.log_types import (
    LeaveLog,
    LogFailed,
    LogSynced,
    Replica,
    TruncateLog,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.permits import Permits
from goldcrestridge_core.queries import QueryDone
from goldcrestridge_core.rate_limits import RateLimits
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.stream_origins import StreamOrigins
from goldcrestridge_core.types import (
    NodeId,
    ProposalDone,
    Receive,
    Send,
    SubmitProposal,
    Tick,
)
from goldcrestridge_core.usage_counter import UsageCounter
from goldcrestridge_core.versions import ReplaceDocument, VersionedDocument

DELAY_MS = (0.5, 2.0)
SYNC_MS = 3.0
# A process that was told to stop hands its replica over within this time, and ends a little later.
HANDOVER_MS = 4_800.0
LINGER_MS = 100.0
OPTIONS = LogOptions(heartbeat_ms=200.0, election_timeout_ms=800.0, target_voters=3)


@define
class Disk:
    """Contents of one node's disk; a record is durable once its sync was reported.

    ``written_ms`` holds the time of the write of each record, and ``snapshots`` the last two
    snapshots with theirs.
    """

    replica: Replica
    records: list[Any] = field(factory=list)
    written_ms: list[float] = field(factory=list)
    snapshots: list[tuple[float, Any]] = field(factory=list)

    @property
    def snapshot(self) -> Any:
        """Return the last snapshot, or None."""
        return self.snapshots[-1][1] if self.snapshots else None

    def lose_power(self, now_ms: float) -> None:
        """Drop what was not synced."""
        kept = sum(written_ms + SYNC_MS <= now_ms for written_ms in self.written_ms)
        del self.records[kept:], self.written_ms[kept:]
        self.snapshots = [item for item in self.snapshots if item[0] + SYNC_MS <= now_ms]


@define
class Net:
    """Simulate the time, messages, timers and disks of a small deployment."""

    seed: int
    seeds: tuple[NodeId, ...]
    voters: int = 3
    stream_services: frozenset[str] = frozenset()
    now_ms: float = 0.0
    nodes: dict[NodeId, Any] = field(factory=dict)
    disks: dict[NodeId, Disk] = field(factory=dict)
    cut_links: set[frozenset[NodeId]] = field(factory=set)
    stopped: set[NodeId] = field(factory=set)
    # Nodes that stop, with the time at which they end whether they are replaced or not.
    stopping: dict[NodeId, float] = field(factory=dict)
    answers: dict[str, Any] = field(factory=dict)
    effects: list[tuple[NodeId, Any]] = field(factory=list)
    _queue: list[tuple[float, int, NodeId, int, Any]] = field(factory=list)
    _numbers: Any = field(factory=itertools.count)
    _incarnations: dict[NodeId, int] = field(factory=dict)
    _counters: dict[NodeId, UsageCounter] = field(factory=dict)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)

    def start_control(self, node: NodeId, bootstrap: bool, disk: bool = True) -> None:
        """Start a control node, with the contents of its disk if it has one."""
        identity = ControlIdentity(node, self.seeds, bootstrap, self.voters)
        role = ControlNode(
            identity, self._rng.getrandbits(32), lambda _document: self.stream_services
        )
        self._register(node, role)
        if disk:
            self._open_replica(node, role)

    def start_node(self, node: NodeId, role: ControlNode) -> None:
        """Start a control node that the test has made, with the contents of its disk."""
        self._register(node, role)
        self._open_replica(node, role)

    def start_follower(self, node: NodeId, control: tuple[NodeId, ...]) -> Follower:
        """Start an entry node that follows the leader."""
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        role = Follower(status, control, random.Random(self._rng.getrandbits(32)))
        self._register(node, role)
        self.post(node, Tick())
        return role

    def start_entry(
        self, node: NodeId, control: tuple[NodeId, ...], usage: UsageCounter | None = None
    ) -> EntryNode:
        """Start a complete entry node; ``usage`` counts what upstreams begin for it."""
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        follower = Follower(status, control, random.Random(self._rng.getrandbits(32)))
        if usage is not None:
            follower.usage = usage.report
            self._counters[node] = usage
        permits = Permits(node, RateLimits(), lambda: follower.confirmed_ms)
        role = EntryNode(follower, EngineAdmission(node), permits, StreamOrigins(node))
        self._register(node, role)
        self.post(node, Tick())
        return role

    def _register(self, node: NodeId, role: Any) -> None:
        self._incarnations[node] = self._incarnations.get(node, 0) + 1
        self.nodes[node] = role
        self.stopped.discard(node)

    def _open_replica(self, node: NodeId, role: ControlNode) -> None:
        disk = self.disks.get(node)
        if disk is None:
            name = f"{self._rng.getrandbits(64):x}"
            disk = self.disks[node] = Disk(Replica(node, name))
        store = Store(lambda _: ConfigCheck())
        log = open_log(
            disk.replica,
            recover(disk.snapshot, disk.records),
            store,
            random.Random(self._rng.getrandbits(32)),
            self.now_ms,
            options=OPTIONS,
            contacts=self.seeds,
        )
        self.post(node, ReplicaOpened(ControlReplica(log, store), store))
        del role

    def exchange_seeds(self, seeds: tuple[NodeId, ...], but: Iterable[NodeId] = ()) -> None:
        """Name other seeds to all nodes that run and are not in ``but``, and to later ones."""
        self.seeds = seeds
        for node in self.nodes.keys() - self.stopped - set(but):
            self.post(node, ControlAddresses(seeds))

    def terminate(self, node: NodeId) -> None:
        """Stop a node as SIGTERM does; it ends by itself."""
        self.stopping[node] = self.now_ms + HANDOVER_MS + LINGER_MS
        self.post(node, LeaveLog())

    def _end_stopping(self) -> None:
        for node, end_ms in list(self.stopping.items()):
            if self.now_ms >= end_ms:
                self.kill(node)

    def kill(self, node: NodeId, wipe: bool = False) -> None:
        """Crash a node; ``wipe`` also erases its disk."""
        self.stopping.pop(node, None)
        self.stopped.add(node)
        self._incarnations[node] += 1
        if wipe:
            self.disks.pop(node, None)

    def lose_power(self, wiped: Iterable[NodeId] = ()) -> None:
        """Stop all nodes at once; what was not synced is lost, and all of the ``wiped`` disks."""
        for node in self.nodes:
            self.kill(node, wipe=node in wiped)
        for disk in self.disks.values():
            disk.lose_power(self.now_ms)

    def fail_disk(self, node: NodeId) -> None:
        """Close a node's replica, as after a failed write."""
        self.post(node, ReplicaClosed())

    def fill_disk(self, node: NodeId) -> None:
        """Let the write in progress fail, after which the replica is closed until it is opened."""
        if node in self.disks:
            self.disks[node].lose_power(self.now_ms)
        self.post(node, LogFailed("the disk is full"))
        self.fail_disk(node)
        # What was being written is never reported as synced.
        self._queue = [
            item for item in self._queue if item[2] != node or not isinstance(item[4], LogSynced)
        ]
        heapq.heapify(self._queue)

    def open_again(self, node: NodeId) -> None:
        """Open the replica of a running node with the contents of its disk."""
        self._open_replica(node, self.nodes[node])

    def partition(self, group: Iterable[NodeId]) -> None:
        """Separate the group from all other nodes; an empty group heals the partition."""
        inside = set(group)
        outside = set(self.nodes) - inside
        self.cut_links = {frozenset((a, b)) for a in inside for b in outside}

    def replace(self, node: NodeId, version: int, document: bytes) -> str:
        """Propose a document at a node; return the id of the answer."""
        name = f"replace {next(self._numbers)}"
        command = ReplaceDocument(version, document)
        self.post(node, SubmitProposal(name, command, 3_000.0))
        return name

    def read(self, node: NodeId) -> str:
        """Query a node for the newest document; return the id of the answer."""
        name = f"read {next(self._numbers)}"
        self.post(node, read_document(name, 1_500.0))
        return name

    def document(self, name: str) -> VersionedDocument | None:
        """Return the answer to a read, or None if it was not confirmed."""
        result = self.answers[name]
        return None if result is None else codec.decode(result).unwrap()

    def document_at(self, node: NodeId) -> VersionedDocument:
        """Read the newest document at a node; fail if no quorum confirms it."""
        name = self.read(node)
        self.run(2_000.0)
        document = self.document(name)
        assert document is not None
        return document

    def post(self, node: NodeId, event: Any) -> None:
        """Deliver an event to a node now, unless it is stopped."""
        if node not in self.stopped:
            self._execute(node, self.nodes[node].handle(event, self.now_ms))

    def run(self, duration_ms: float) -> None:
        """Advance the virtual time and deliver all messages and timers that are due."""
        end_ms = self.now_ms + duration_ms
        while True:
            timer_ms, timer_node = self._next_timer()
            due_ms = self._queue[0][0] if self._queue else float("inf")
            if min(timer_ms, due_ms) > end_ms:
                break
            if due_ms <= timer_ms:
                self.now_ms, _, node, incarnation, event = heapq.heappop(self._queue)
                if self._incarnations.get(node) == incarnation:
                    self.post(node, event)
            else:
                self.now_ms = max(self.now_ms, timer_ms)
                self.post(timer_node, Tick())
            self._end_stopping()
        self.now_ms = end_ms
        self._end_stopping()

    def _next_timer(self) -> tuple[float, NodeId]:
        timers = [
            (time, node)
            for node, role in self.nodes.items()
            if node not in self.stopped and (time := role.next_deadline_ms()) is not None
        ]
        return min(timers, default=(float("inf"), NodeId("")))

    def _schedule(self, delay_ms: float, node: NodeId, event: Any) -> None:
        item = (
            self.now_ms + delay_ms,
            next(self._numbers),
            node,
            self._incarnations.get(node, 0),
            event,
        )
        heapq.heappush(self._queue, item)

    def _execute(self, node: NodeId, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    if frozenset((node, to)) not in self.cut_links and to in self.nodes:
                        event = Receive(node, codec.decode(codec.encode(message)).unwrap())
                        self._schedule(self._rng.uniform(*DELAY_MS), to, event)
                case WriteLog(records=records, token=token):
                    disk = self.disks[node]
                    disk.records.extend(records)
                    disk.written_ms.extend(self.now_ms for _ in records)
                    self._schedule(SYNC_MS, node, LogSynced(token))
                case WriteSnapshot(snapshot=snapshot, token=token):
                    disk = self.disks[node]
                    disk.snapshots = [*disk.snapshots[-1:], (self.now_ms, snapshot)]
                    self._schedule(SYNC_MS, node, LogSynced(token))
                case TruncateLog():
                    pass
                case HandoverDone():
                    self.stopping[node] = self.now_ms + LINGER_MS
                case UsageReplied(reply=reply, asked_ms=asked_ms) if node in self._counters:
                    self._counters[node].apply(reply, asked_ms, self.now_ms)
                case ProposalDone(proposal_id=name, result=result):
                    self.answers[name] = result
                case QueryDone(query_id=name, result=result):
                    self.answers[name] = result
                case _:
                    self.effects.append((node, effect))

    # State that tests check.

    def leaders(self) -> list[NodeId]:
        """Return the nodes that lead with a valid lease."""
        return [
            node
            for node, role in self.nodes.items()
            if node not in self.stopped
            and isinstance(role, ControlNode)
            and role.leadership(self.now_ms).leads
        ]

    def voters_of(self, node: NodeId) -> set[NodeId]:
        """Return the voters known to a node."""
        return set(self.nodes[node].leadership(self.now_ms).replicas)
