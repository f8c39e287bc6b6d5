"""Replicas of the log in virtual time, on a faulty carrier and disks that lose what is not synced.

The state machine is a register with compare-and-set. Its versions are totally ordered, so a
history is linearizable if no operation returns a version below one that was returned before the
operation began, and each version has one value on all replicas.
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
from goldcrestridge_lab.carrier import Carrier

CLIENT = NodeId("client")


@frozen
class Write:
    """Compare-and-set: the next version gets ``value`` if ``expected`` is the current one."""

    operation: str
    expected: int
    value: int


@define
class Register:
    """State machine of the replicas under test."""

    values: list[int] = Factory(list)
    answers: dict[str, tuple[bool, int]] = Factory(dict)
    stamps_ms: list[float] = Factory(list)

    def refuse(self, command: bytes) -> bytes | None:
        """Accept every command."""
        return None

    def apply(self, command: bytes, index: int, stamp_ms: float) -> bytes:
        """Write if the expected version is current; an operation sent again gets its answer."""
        write = msgspec.msgpack.decode(command, type=Write)
        self.stamps_ms = [*self.stamps_ms[-1:], stamp_ms]
        if write.operation not in self.answers:
            done = write.expected == len(self.values)
            if done:
                self.values.append(write.value)
            self.answers[write.operation] = (done, len(self.values))
        return msgspec.msgpack.encode(self.answers[write.operation])

    def query(self, request: bytes) -> bytes:
        """Return the current version and its value."""
        value = self.values[-1] if self.values else 0
        return msgspec.msgpack.encode((len(self.values), value))

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode((self.values, self.answers))

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        kind = tuple[list[int], dict[str, tuple[bool, int]]]
        self.values, self.answers = msgspec.msgpack.decode(state, type=kind)


@define
class FakeDisk:
    """Durable frames and snapshot of one replica, and the writes that are not synced yet."""

    replica: Replica
    frames: list[tuple[Record, ...]] = Factory(list)
    snapshot: Snapshot | None = None
    pending: list[tuple[float, Any]] = Factory(list)
    delay_ms: float = 1.0
    fails: bool = False

    def write(self, effect: Any, now_ms: float) -> None:
        """Queue an effect behind the earlier ones."""
        start = self.pending[-1][0] if self.pending else now_ms
        self.pending.append((start + self.delay_ms, effect))

    def finish(self, effect: Any) -> None:
        """Make an effect durable."""
        match effect:
            case WriteLog():
                self.frames.append(effect.records)
            case WriteSnapshot():
                if self.snapshot is None or effect.snapshot.index > self.snapshot.index:
                    self.snapshot = effect.snapshot
            case TruncateLog():
                self._truncate(effect.first_index)

    def _truncate(self, first_index: int) -> None:
        """Remove leading frames as the files do, but keep the last term and vote."""
        hard: HardState | None = None
        while len(self.frames) > 1 and _last_index(self.frames[0]) < first_index:
            for record in self.frames.pop(0):
                hard = record if isinstance(record, HardState) else hard
        if hard is not None:
            self.frames.insert(0, (hard,))

    def crash(self, synced: int) -> None:
        """Keep the first ``synced`` pending writes and lose the rest, torn or whole."""
        for _, effect in self.pending[:synced]:
            self.finish(effect)
        self.pending.clear()


def _last_index(records: tuple[Record, ...]) -> int:
    """Return the highest entry index of a frame."""
    return max((record.index for record in records if isinstance(record, LogEntry)), default=0)


@define
class Member:
    """One node: its disk, its log while it runs, and its clock."""

    node: NodeId
    disk: FakeDisk
    log: Log | None = None
    register: Register = Factory(Register)
    rate: float = 1.0
    wall_ms: float = 1e9
    restart_at_ms: float = math.inf


@define
class Operation:
    """A client operation; ``floor`` is the highest version known when it began."""

    floor: int
    write: Write | None = None
    result: tuple[Any, int] | None = None


@define
class Group:
    """Replicas, carrier and clients; ``run`` advances virtual time."""

    rng: Random
    carrier: Carrier
    options: LogOptions
    members: dict[NodeId, Member] = Factory(dict)
    now_ms: float = 0.0
    operations: dict[str, Operation] = Factory(dict)
    highest: int = 0
    leaders: dict[int, Replica] = Factory(dict)
    committed: dict[int, tuple[int, bytes]] = Factory(dict)
    versions: dict[int, int] = Factory(dict)
    load_ms: float = math.inf  # Interval of the client operations that ``run`` begins.
    load_at_ms: float = 0.0

    def local_ms(self, member: Member) -> float:
        """Return the monotonic time of a member."""
        return self.now_ms * member.rate

    def start(self, node: NodeId) -> None:
        """Start a member from its disk."""
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
        """Stop a member for a time; of its pending writes the first ``synced`` survive."""
        member = self.members[node]
        member.log = None
        member.restart_at_ms = self.now_ms + down_ms
        member.disk.crash(synced)

    def lose_disk(self, node: NodeId) -> None:
        """Stop a member and give it an empty disk, which has another incarnation."""
        member = self.members[node]
        member.log = None
        member.disk = FakeDisk(Replica(node, f"{self.rng.random()}"))

    def repaired(self) -> bool:
        """Tell whether a leader has committed that all present incarnations are voters."""
        present = {member.disk.replica for member in self.members.values()}
        return any(
            member.log is not None
            and member.log.leads
            and set(member.log.state.membership.voters) == present
            and may_change_membership(member.log.state)
            for member in self.members.values()
        )

    def handle(self, member: Member, event: Any) -> None:
        """Give a member an event, pass on its effects and check what it did."""
        log = member.log
        if log is None:
            return
        for effect in log.handle(event, self.local_ms(member)):
            if isinstance(effect, Send):
                self.carrier.send(member.node, effect.to, effect.message, self.now_ms)
            elif isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                member.disk.write(effect, self.now_ms)
        self._check(member, log)

    def _check(self, member: Member, log: Log) -> None:
        """Check one leader a term, equal committed entries and equal versions."""
        state = log.state
        if state.position is Position.LEADER:
            leader = self.leaders.setdefault(state.term, state.own)
            if leader != state.own:
                raise InvariantError(f"Term {state.term} has two leaders.")
        for index in range(max(state.entries.base_index, state.applied - 8) + 1, state.applied + 1):
            entry = state.entries.at(index)
            kept = self.committed.setdefault(index, (entry.term, entry.data))
            if kept != (entry.term, entry.data):
                raise InvariantError(f"Committed entry {index} changed on {member.node}.")
        version = len(member.register.values)
        if (
            version
            and self.versions.setdefault(version, member.register.values[-1])
            != (member.register.values[-1])
        ):
            raise InvariantError(f"Version {version} has two values.")
        if member.register.stamps_ms != sorted(member.register.stamps_ms):
            raise InvariantError("A stamp went back.")

    def write(self, expected: int, target: NodeId) -> str:
        """Begin a compare-and-set at one member and return the operation's name."""
        name = f"w{len(self.operations)}"
        write = Write(name, expected, len(self.operations) + 1)
        self.operations[name] = Operation(self.highest, write)
        self.send_write(name, target)
        return name

    def send_write(self, name: str, target: NodeId) -> None:
        """Send a write, for the first time or again."""
        command = msgspec.msgpack.encode(self.operations[name].write)
        self.carrier.send(CLIENT, target, Propose(name, command), self.now_ms)

    def read(self, target: NodeId) -> str:
        """Begin a read at one member and return the operation's name."""
        name = f"r{len(self.operations)}"
        self.operations[name] = Operation(self.highest)
        self.carrier.send(CLIENT, target, Query(name, b""), self.now_ms)
        return name

    def _client(self, message: Any) -> None:
        """Check the answer to an operation against the versions known when it began."""
        if isinstance(message, ProposeReply) and message.committed:
            kind: Any = tuple[bool, int]
            self._complete(message.proposal_id, msgspec.msgpack.decode(message.result, type=kind))
        elif isinstance(message, QueryReply) and message.answered:
            kind = tuple[int, int]
            version, value = msgspec.msgpack.decode(message.result, type=kind)
            if version and self.versions.get(version) != value:
                raise InvariantError(f"A read returned a value that version {version} never had.")
            self._complete(message.query_id, (value, version))

    def _complete(self, name: str, result: tuple[Any, int]) -> None:
        """Note the first answer; a later one must be the same for a write."""
        operation = self.operations[name]
        if operation.result is not None:
            if operation.write is not None and operation.result != result:
                raise InvariantError(f"Operation {name} got two different answers.")
            return
        operation.result = result
        version = result[1]
        if version < operation.floor and not (operation.write and not result[0]):
            raise InvariantError(f"{name} returned {version}, but {operation.floor} was known.")
        if operation.write and result[0] and self.versions.get(version) != operation.write.value:
            raise InvariantError(f"Write {name} was acknowledged but is not version {version}.")
        self.highest = max(self.highest, version)

    def run(self, duration_ms: float) -> None:
        """Advance virtual time, handling messages, disks and deadlines in order."""
        end_ms = self.now_ms + duration_ms
        while True:
            at_ms = max(self.now_ms, self._next_ms())
            if at_ms > end_ms:
                break
            self.now_ms = at_ms
            self._step()
        self.now_ms = end_ms

    def leaders_now(self) -> list[NodeId]:
        """Return the members that believe they lead."""
        return [
            member.node
            for member in self.members.values()
            if member.log is not None and member.log.state.position is Position.LEADER
        ]

    def _begin_operation(self) -> None:
        """Begin a write or read, or repeat one, mostly at a member that believes it leads."""
        leaders = self.leaders_now()
        nodes = leaders if leaders and self.rng.random() < 0.9 else list(self.members)
        target = self.rng.choice(nodes)
        kind = self.rng.random()
        if kind < 0.6:
            self.write(self.highest - int(self.rng.random() < 0.1), target)
        elif kind < 0.9:
            self.read(target)
        else:
            writes = [name for name in list(self.operations)[-20:] if name.startswith("w")]
            if writes:
                self.send_write(self.rng.choice(writes), target)

    def _next_ms(self) -> float:
        """Return the time of the next thing to happen."""
        times = [self.carrier.next_arrival_ms()]
        if self.load_ms < math.inf:
            times.append(self.load_at_ms)
        for member in self.members.values():
            times.append(member.disk.pending[0][0] if member.disk.pending else None)
            deadline = member.log.next_deadline_ms() if member.log else None
            times.append(None if deadline is None else deadline / member.rate + 1e-6)
            times.append(member.restart_at_ms)
        return min((time for time in times if time is not None), default=math.inf)

    def _step(self) -> None:
        """Handle everything that is due now."""
        if self.load_at_ms <= self.now_ms and self.load_ms < math.inf:
            self.load_at_ms = self.now_ms + self.load_ms
            self._begin_operation()
        while (arrived := self.carrier.receive(self.now_ms)) is not None:
            source, target, message = arrived
            if target == CLIENT:
                self._client(message)
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
        """Complete or fail the oldest write of a member."""
        _, effect = member.disk.pending.pop(0)
        if member.disk.fails:
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
    """Return running replicas with empty disks; ``rates`` are those of their clocks in turn."""
    default = LogOptions(snapshot_entries=20, retained_entries=5, chunk_bytes=64)
    group = Group(rng, Carrier(rng), options or default)
    for number in range(size):
        node = NodeId(f"n{number}")
        disk = FakeDisk(Replica(node, f"first-{number}"))
        group.members[node] = Member(node, disk, rate=rates[number % len(rates)])
    for node in group.members:
        group.start(node)
    return group


def sent(effects: list[Any], kind: type) -> list[Any]:
    """Return the messages of a kind among the effects."""
    messages = [effect.message for effect in effects if isinstance(effect, Send)]
    return [message for message in messages if isinstance(message, kind)]


def written(effects: list[Any]) -> list[WriteLog]:
    """Return the log writes among the effects."""
    return [effect for effect in effects if isinstance(effect, WriteLog)]
