"""Simulated group of log replicas in virtual time, with a faulty network and faulty disks.

The replicated state machine is a register with compare-and-set. Its versions are totally ordered,
so a history is linearizable if no operation returns a version below one that was returned before
the operation began, and if each version has one value on all replicas.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any

import msgspec
from attrs import Factory, define, frozen

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log import Log, open_log
from goldcrestridge_core.log_members import may_change_membership
from goldcrestridge_core.log_records import Record, recover
from goldcrestridge_core.log_state import LogOptions, Position
from goldcrestridge_core.log_types import (
    HardState,
    LogEntry,
    LogFailed,
    LogSynced,
    Propose,
    ProposeReply,
    Query,
    QueryReply,
    Replica,
    Snapshot,
    TruncateLog,
    WallTime,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_lab.carrier import SimulatedNetwork

CLIENT = NodeId("client")


@frozen
class Write:
    """Compare-and-set: write ``value`` as the next version if ``expected`` is the current one."""

    operation: str
    expected: int
    value: int


@define
class Register:
    """Replicated state machine of the replicas under test."""

    values: list[int] = Factory(list)
    results: dict[str, tuple[bool, int]] = Factory(dict)
    stamps_ms: list[float] = Factory(list)

    def refuse(self, command: bytes) -> bytes | None:
        """Accept every command."""
        return None

    def apply(self, command: bytes, index: int, stamp_ms: float) -> bytes:
        """Write if the expected version is current; a repeated write gets its first result."""
        write = msgspec.msgpack.decode(command, type=Write)
        self.stamps_ms = [*self.stamps_ms[-1:], stamp_ms]
        if write.operation not in self.results:
            succeeded = write.expected == len(self.values)
            if succeeded:
                self.values.append(write.value)
            self.results[write.operation] = (succeeded, len(self.values))
        return msgspec.msgpack.encode(self.results[write.operation])

    def query(self, request: bytes) -> bytes:
        """Return the current version and its value, encoded."""
        value = self.values[-1] if self.values else 0
        return msgspec.msgpack.encode((len(self.values), value))

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return msgspec.msgpack.encode((self.values, self.results))

    def restore(self, state: bytes) -> None:
        """Replace the complete state."""
        state_type = tuple[list[int], dict[str, tuple[bool, int]]]
        self.values, self.results = msgspec.msgpack.decode(state, type=state_type)


@define
class FakeDisk:
    """Simulated disk of one replica.

    ``frames`` and ``snapshot`` are durable. ``pending`` holds the writes that are not synced yet as
    (completion time in ms, effect).
    """

    replica: Replica
    frames: list[tuple[Record, ...]] = Factory(list)
    snapshot: Snapshot | None = None
    pending: list[tuple[float, Any]] = Factory(list)
    delay_ms: float = 1.0
    failing: bool = False

    def write(self, effect: Any, now_ms: float) -> None:
        """Queue a write; it takes ``delay_ms`` after the earlier ones."""
        start = self.pending[-1][0] if self.pending else now_ms
        self.pending.append((start + self.delay_ms, effect))

    def finish(self, effect: Any) -> None:
        """Make a write durable."""
        match effect:
            case WriteLog():
                self.frames.append(effect.records)
            case WriteSnapshot():
                if self.snapshot is None or effect.snapshot.index > self.snapshot.index:
                    self.snapshot = effect.snapshot
            case TruncateLog():
                self._truncate(effect.first_index)

    def _truncate(self, first_index: int) -> None:
        """Remove leading frames as the data folder does, but keep the last term and vote."""
        hard_state: HardState | None = None
        while len(self.frames) > 1 and _last_index(self.frames[0]) < first_index:
            for record in self.frames.pop(0):
                hard_state = record if isinstance(record, HardState) else hard_state
        if hard_state is not None:
            self.frames.insert(0, (hard_state,))

    def crash(self, synced: int) -> None:
        """Make the first ``synced`` pending writes durable and lose the rest, torn or complete."""
        for _, effect in self.pending[:synced]:
            self.finish(effect)
        self.pending.clear()


def _last_index(records: tuple[Record, ...]) -> int:
    """Return the highest entry index in a frame, 0 if it has no entries."""
    return max((record.index for record in records if isinstance(record, LogEntry)), default=0)


@define
class Member:
    """One node of the group; ``log`` is None while it is down.

    The monotonic clock of the node runs at ``clock_rate`` times virtual time.
    """

    node: NodeId
    disk: FakeDisk
    log: Log | None = None
    register: Register = Factory(Register)
    clock_rate: float = 1.0
    wall_ms: float = 1e9
    restart_at_ms: float = math.inf


@define
class Operation:
    """A client operation, a read if ``write`` is None.

    ``min_version`` is the highest version that had been returned when the operation began.
    ``result`` is (value or success, version), None until the operation is answered.
    """

    min_version: int
    write: Write | None = None
    result: tuple[Any, int] | None = None


@define
class Group:
    """Replicas, network and clients; ``run`` advances virtual time.

    ``highest_version`` is the highest one returned to a client. ``leaders`` holds the leader of
    each term, ``committed`` the (term, data) of each entry and ``versions`` the value of each
    version.
    """

    rng: Random
    network: SimulatedNetwork
    options: LogOptions
    members: dict[NodeId, Member] = Factory(dict)
    now_ms: float = 0.0
    operations: dict[str, Operation] = Factory(dict)
    highest_version: int = 0
    leaders: dict[int, Replica] = Factory(dict)
    committed: dict[int, tuple[int, bytes]] = Factory(dict)
    versions: dict[int, int] = Factory(dict)
    load_interval_ms: float = math.inf  # Interval of client operations; none if infinite.
    next_load_ms: float = 0.0

    def local_ms(self, member: Member) -> float:
        """Return the monotonic time of a member in ms."""
        return self.now_ms * member.clock_rate

    def start(self, node: NodeId) -> None:
        """Start a member, which recovers from its disk."""
        member = self.members[node]
        member.restart_at_ms = math.inf
        member.register = Register()
        recovered = recover(member.disk.snapshot, (r for f in member.disk.frames for r in f))
        member.log = open_log(
            member.disk.replica,
            recovered,
            member.register,
            Random(self.rng.random()),
            self.local_ms(member),
            tuple(self.members),
            self.options,
        )
        self.handle(member, WallTime(member.wall_ms))

    def crash(self, node: NodeId, synced: int = 0, down_ms: float = math.inf) -> None:
        """Crash a member for ``down_ms``; its first ``synced`` pending writes are durable."""
        member = self.members[node]
        member.log = None
        member.restart_at_ms = self.now_ms + down_ms
        member.disk.crash(synced)

    def lose_disk(self, node: NodeId) -> None:
        """Stop a member and replace its disk by an empty one with a new incarnation."""
        member = self.members[node]
        member.log = None
        member.disk = FakeDisk(Replica(node, f"{self.rng.random()}"))

    def is_repaired(self) -> bool:
        """Return whether a leader has committed that the voters are the current incarnations."""
        current = {member.disk.replica for member in self.members.values()}
        return any(
            member.log is not None
            and member.log.leads
            and set(member.log.state.membership.voters) == current
            and may_change_membership(member.log.state)
            for member in self.members.values()
        )

    def handle(self, member: Member, event: Any) -> None:
        """Pass an event to a member, apply its effects and check the invariants."""
        log = member.log
        if log is None:
            return
        for effect in log.handle(event, self.local_ms(member)):
            if isinstance(effect, Send):
                self.network.send(member.node, effect.to, effect.message, self.now_ms)
            elif isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                member.disk.write(effect, self.now_ms)
        self._check(member, log)

    def _check(self, member: Member, log: Log) -> None:
        """Check for one leader per term, equal committed entries, equal versions, rising stamps."""
        state = log.state
        if state.position is Position.LEADER:
            leader = self.leaders.setdefault(state.term, state.own)
            if leader != state.own:
                raise InvariantError(
                    f"Term {state.term} has two leaders, {leader} and {state.own}."
                )
        for index in range(max(state.entries.base_index, state.applied - 8) + 1, state.applied + 1):
            entry = state.entries.at(index)
            known = self.committed.setdefault(index, (entry.term, entry.data))
            if known != (entry.term, entry.data):
                raise InvariantError(f"Committed entry {index} differs on {member.node}.")
        version = len(member.register.values)
        if (
            version
            and self.versions.setdefault(version, member.register.values[-1])
            != (member.register.values[-1])
        ):
            raise InvariantError(f"Version {version} has another value on {member.node}.")
        if member.register.stamps_ms != sorted(member.register.stamps_ms):
            raise InvariantError(f"The entry stamps decrease on {member.node}.")

    def write(self, expected: int, target: NodeId) -> str:
        """Start a compare-and-set at a member and return the name of the operation."""
        name = f"w{len(self.operations)}"
        write = Write(name, expected, len(self.operations) + 1)
        self.operations[name] = Operation(self.highest_version, write)
        self.send_write(name, target)
        return name

    def send_write(self, name: str, target: NodeId) -> None:
        """Send a write for the first time, or again."""
        command = msgspec.msgpack.encode(self.operations[name].write)
        self.network.send(CLIENT, target, Propose(name, command), self.now_ms)

    def read(self, target: NodeId) -> str:
        """Start a read at a member and return the name of the operation."""
        name = f"r{len(self.operations)}"
        self.operations[name] = Operation(self.highest_version)
        self.network.send(CLIENT, target, Query(name, b""), self.now_ms)
        return name

    def _handle_reply(self, message: Any) -> None:
        """Handle a message to the client: check and record the result of an operation."""
        if isinstance(message, ProposeReply) and message.committed:
            result_type: Any = tuple[bool, int]
            self._complete(
                message.proposal_id, msgspec.msgpack.decode(message.result, type=result_type)
            )
        elif isinstance(message, QueryReply) and message.answered:
            result_type = tuple[int, int]
            version, value = msgspec.msgpack.decode(message.result, type=result_type)
            if version and self.versions.get(version) != value:
                raise InvariantError(
                    f"A read returned {value}, which is not the value of version {version}."
                )
            self._complete(message.query_id, (value, version))

    def _complete(self, name: str, result: tuple[Any, int]) -> None:
        """Record the first result of an operation; a repeated write must get the same result."""
        operation = self.operations[name]
        if operation.result is not None:
            if operation.write is not None and operation.result != result:
                raise InvariantError(
                    f"Operation {name} got the results {operation.result} and {result}."
                )
            return
        operation.result = result
        version = result[1]
        if version < operation.min_version and not (operation.write and not result[0]):
            raise InvariantError(
                f"{name} returned version {version}, but {operation.min_version} was known."
            )
        if operation.write and result[0] and self.versions.get(version) != operation.write.value:
            raise InvariantError(f"Write {name} was acknowledged, but is not version {version}.")
        self.highest_version = max(self.highest_version, version)

    def run(self, duration_ms: float) -> None:
        """Advance virtual time, handling messages, disk writes and deadlines in order."""
        end_ms = self.now_ms + duration_ms
        while True:
            at_ms = max(self.now_ms, self._next_ms())
            if at_ms > end_ms:
                break
            self.now_ms = at_ms
            self._step()
        self.now_ms = end_ms

    def current_leaders(self) -> list[NodeId]:
        """Return the members in the leader position, perhaps of different terms."""
        return [
            member.node
            for member in self.members.values()
            if member.log is not None and member.log.state.position is Position.LEADER
        ]

    def _start_operation(self) -> None:
        """Start a read or a write, or repeat a write, mostly at a member in the leader position."""
        leaders = self.current_leaders()
        nodes = leaders if leaders and self.rng.random() < 0.9 else list(self.members)
        target = self.rng.choice(nodes)
        kind = self.rng.random()
        if kind < 0.6:
            self.write(self.highest_version - int(self.rng.random() < 0.1), target)
        elif kind < 0.9:
            self.read(target)
        else:
            writes = [name for name in list(self.operations)[-20:] if name.startswith("w")]
            if writes:
                self.send_write(self.rng.choice(writes), target)

    def _next_ms(self) -> float:
        """Return the time of the next event in ms, infinity if there is none."""
        times = [self.network.next_arrival_ms()]
        if self.load_interval_ms < math.inf:
            times.append(self.next_load_ms)
        for member in self.members.values():
            times.append(member.disk.pending[0][0] if member.disk.pending else None)
            deadline = member.log.next_deadline_ms() if member.log else None
            times.append(None if deadline is None else deadline / member.clock_rate + 1e-6)
            times.append(member.restart_at_ms)
        return min((time for time in times if time is not None), default=math.inf)

    def _step(self) -> None:
        """Handle all client operations, messages, disk writes, restarts and deadlines due."""
        if self.next_load_ms <= self.now_ms and self.load_interval_ms < math.inf:
            self.next_load_ms = self.now_ms + self.load_interval_ms
            self._start_operation()
        while (arrival := self.network.receive(self.now_ms)) is not None:
            source, target, message = arrival
            if target == CLIENT:
                self._handle_reply(message)
            elif target in self.members:
                self.handle(self.members[NodeId(target)], Receive(NodeId(source), message))
        for member in self.members.values():
            while member.disk.pending and member.disk.pending[0][0] <= self.now_ms:
                self._finish_write(member)
            if member.restart_at_ms <= self.now_ms:
                self.start(member.node)
            deadline = member.log.next_deadline_ms() if member.log else None
            if deadline is not None and deadline <= self.local_ms(member):
                self.handle(member, Tick())

    def _finish_write(self, member: Member) -> None:
        """Complete the oldest pending write of a member, or fail it if the disk fails."""
        _, effect = member.disk.pending.pop(0)
        if member.disk.failing:
            member.disk.pending.clear()
            self.handle(member, LogFailed("The disk is full."))
            return
        member.disk.finish(effect)
        if not isinstance(effect, TruncateLog):
            self.handle(member, LogSynced(effect.token))


def new_group(
    rng: Random,
    size: int = 3,
    options: LogOptions | None = None,
    rates: tuple[float, ...] = (1.0,),
) -> Group:
    """Start ``size`` replicas with empty disks; their clocks take the ``rates`` in turn."""
    default = LogOptions(snapshot_entries=20, retained_entries=5, chunk_bytes=64)
    group = Group(rng, SimulatedNetwork(rng), options or default)
    for number in range(size):
        node = NodeId(f"n{number}")
        disk = FakeDisk(Replica(node, f"first-{number}"))
        group.members[node] = Member(node, disk, clock_rate=rates[number % len(rates)])
    for node in group.members:
        group.start(node)
    return group


def sent_messages(effects: list[Any], kind: type) -> list[Any]:
    """Return the messages of a type among the effects."""
    messages = [effect.message for effect in effects if isinstance(effect, Send)]
    return [message for message in messages if isinstance(message, kind)]


def log_writes(effects: list[Any]) -> list[WriteLog]:
    """Return the log writes among the effects."""
    return [effect for effect in effects if isinstance(effect, WriteLog)]
