"""Complete nodes with disks, carrier, upstreams, callers and operators in virtual time."""

from __future__ import annotations

import math
from random import Random
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import (
    Call,
    CallerGone,
    CallerRequest,
    CancelAttempt,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_records import recover
from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.log_types import (
    LogSynced,
    Replica,
    TruncateLog,
    WallTime,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.member_types import DrainDone, Member, MemberState, StartDrain
from goldcrestridge_core.node import OPERATOR_PROPOSAL_PREFIX, Identity, Node
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import ApplyConfig, ApplyResult, ApplyStatus
from goldcrestridge_core.types import (
    Emit,
    NodeId,
    ProposalDone,
    Reason,
    Receive,
    RequestId,
    Send,
    ShardId,
    SlotRefusal,
    SlotRequest,
    SubmitProposal,
    Tick,
)
from goldcrestridge_lab.carrier import Carrier
from goldcrestridge_lab.log_group import FakeDisk
from goldcrestridge_lab.node_config import ENGINE_POOL, SLOTS, WALL_MS, check_document, document
from goldcrestridge_lab.node_oracle import TOKENS, Caller, Oracle, Run, require
from goldcrestridge_lab.node_upstreams import Upstreams

REPLICAS = tuple(NodeId(f"r{number}") for number in range(3))
ENGINE_SHARD = ShardId(f"{ENGINE_POOL}/0")
REPORT_MS = 500.0
WALL_INTERVAL_MS = 1_000.0
APPLY_TIMEOUT_MS = 10_000.0
MIN_TICK_MS = 1.0  # Bounds the steps of a role whose deadline has passed.
QUORUM = 2
# A drain honours the lifetime of answers under the first, default configuration for so long.
ADDRESS_TTL_MS = 35_000.0
MESSAGE_DELAY_MS = 1.0


@define(eq=False)
class Host:
    """A place for a node; ``best`` is the highest version that was ever in force here."""

    name: NodeId
    disk: FakeDisk | None
    core: Node | None = None
    life: int = 0
    up_ms: float = 0.0
    tick_ms: float = 0.0
    report_ms: float = 0.0
    wall_ms: float = 0.0
    version: int = 0
    best: int = 0
    draining: bool = False


@define
class Fleet:
    """Nodes and their surroundings; ``run`` advances virtual time."""

    rng: Random
    carrier: Carrier
    upstreams: Upstreams
    oracle: Oracle = field(factory=Oracle)
    hosts: dict[NodeId, Host] = field(factory=dict)
    now_ms: float = 0.0
    changes: int = 0
    slots: int = SLOTS

    # Nodes.

    def start(self, name: NodeId) -> None:
        """Start a node, a replica from what its disk holds."""
        host = self.hosts[name]
        host.life += 1
        host.up_ms = self.now_ms
        host.version, host.draining = 0, False
        host.tick_ms = host.report_ms = host.wall_ms = self.now_ms
        roles = ("entry", "replica") if host.disk else ("entry",)
        member = Member(
            name,
            int(WALL_MS + self.now_ms) + host.life,
            MemberState.ALIVE,
            "dc",
            f"peer {name}",
            f"caller {name}",
            roles,
        )
        seeds = tuple(other for other in self.hosts if other != name)
        life = f"{name} {host.life}"
        identity = Identity(member, REPLICAS, seeds, life, self.rng.randrange(2**32))
        if host.disk is None:
            host.core = Node(identity)
            return
        store = Store(check_document)
        recovered = recover(host.disk.snapshot, (r for f in host.disk.frames for r in f))
        log = open_log(
            host.disk.replica,
            recovered,
            store,
            Random(self.rng.random()),
            self.now_ms,
            REPLICAS,
            LogOptions(snapshot_entries=200, retained_entries=50),
        )
        host.core = Node(identity, ControlReplica(log, store), store)

    def crash(self, name: NodeId, synced: int = 0) -> None:
        """Stop a node at once; its callers' connections break, unsynced records are lost."""
        host = self.hosts[name]
        host.core = None
        if host.disk is not None:
            host.disk.crash(synced)
        for caller in self.oracle.callers.values():
            caller.gone = caller.gone or (caller.entry == name and caller.open)
        for run in self.oracle.runs:
            run.active = run.active and run.host != name
        self._note_calm()

    def drain(self, name: NodeId) -> None:
        """Tell a node to stop."""
        host = self.hosts[name]
        if host.core is not None and not host.draining:
            host.draining = True
            self.handle(host, StartDrain())

    # Callers and operators.

    def request(self, name: NodeId, call: Call, tokens: int = TOKENS) -> Caller | None:
        """Let a caller send a request to a node that serves."""
        host = self.hosts[name]
        if host.core is None or not host.core.serving:
            return None
        request_id = RequestId(f"q{len(self.oracle.callers)}")
        caller = Caller(request_id, call, name, self.now_ms, host.draining, tokens=tokens)
        self.oracle.callers[request_id] = caller
        self.handle(host, CallerRequest(request_id, call, WALL_MS + self.now_ms))
        return caller

    def caller_gone(self, caller: Caller) -> None:
        """Let a caller close its connection."""
        host = self.hosts[caller.entry]
        if caller.open:
            caller.gone = True
            self.handle(host, CallerGone(caller.request_id))

    def apply(self, name: NodeId, base_version: int) -> None:
        """Let an operator change the configuration through a node."""
        host = self.hosts[name]
        if host.core is not None:
            self.changes += 1
            change_id = f"change-{self.changes}"
            command = ApplyConfig(
                change_id, base_version, "ada", document(self.changes, self.slots)
            )
            proposal_id = f"{OPERATOR_PROPOSAL_PREFIX}{change_id}"
            self.handle(host, SubmitProposal(proposal_id, command, APPLY_TIMEOUT_MS))

    # Events and effects.

    def handle(self, host: Host, event: Any) -> None:
        """Give a node an event, apply its effects and check what it did."""
        core = host.core
        if core is None:
            return
        effects = core.handle(event, self.now_ms)
        self._check_owner(host, core, event, effects)
        for effect in effects:
            self._apply(host, effect)
        self.oracle.check_cancelled(host.name)
        self._check_version(host, core)

    def _check_owner(self, host: Host, core: Node, event: Any, effects: list[Any]) -> None:
        """Check what the owner of the engines decided, if it is here."""
        owner = core.owners.get(ENGINE_SHARD)
        if owner is None:
            return
        key = (host.name, owner.epoch, owner.started_ms)
        if isinstance(event, Receive) and isinstance(event.message, SlotRequest):
            self.oracle.arrived.setdefault((key, event.message.request_id), self.now_ms)
        granted = [
            RequestId(effect.request_id)
            for effect in effects
            if isinstance(effect, Emit)
            and effect.kind == "slot_granted"
            and ("floor", 0) in effect.detail
        ]
        refused = [name for effect in effects for name in _shed(effect)]
        mine = [
            [name for name in names if self.oracle.callers[name].call.pool == ENGINE_POOL]
            for names in (granted, refused)
        ]
        self.oracle.decided(key, mine[0], mine[1], self.now_ms)

    def _apply(self, host: Host, effect: Any) -> None:
        match effect:
            case Send():
                self.carrier.send(host.name, effect.to, effect.message, self.now_ms)
            case WriteLog() | WriteSnapshot() | TruncateLog():
                assert host.disk is not None
                host.disk.write(effect, self.now_ms)
            case RespondHead() | RespondChunk() | RespondEnd() | RespondFailure():
                self.oracle.respond(effect, self.now_ms)
            case StartAttempt():
                run = Run(effect, self.oracle.callers[effect.request_id], host.name, host.life)
                self.oracle.start(run, self.now_ms)
                self.upstreams.start(run, self.now_ms)
            case CancelAttempt():
                self.upstreams.cancel(effect.request_id, effect.attempt, host.name)
            case ProposalDone(proposal_id=proposal_id, result=ApplyResult() as result):
                if result.status is ApplyStatus.ACCEPTED:
                    change_id = proposal_id.removeprefix(OPERATOR_PROPOSAL_PREFIX)
                    self.oracle.accept(result.version, change_id, self.now_ms)
            case DrainDone():
                self._drained(host, effect)

    def _drained(self, host: Host, done: DrainDone) -> None:
        """Check that a drain without a deadline cut nothing."""
        require(not done.cut, "P7", f"The drain of {host.name} cut {done.cut}.")
        callers = self.oracle.callers.values()
        left = [c.request_id for c in callers if c.entry == host.name and c.open]
        require(not left, "P7", f"{host.name} stopped before {left} ended.")
        host.tick_ms = math.inf  # The driver ends the process.

    def _check_version(self, host: Host, core: Node) -> None:
        """Check that the version in force never goes back, also over restarts."""
        version = core.cfg.version
        require(version >= host.version, "P8", f"{host.name} went back to version {version}.")
        host.version = version
        if core.serving and version:
            text = f"{host.name} serves version {version} after {host.best}."
            require(version >= host.best, "P8", text)
            host.best = version

    # Time.

    def run(self, duration_ms: float) -> None:
        """Advance virtual time."""
        end_ms = self.now_ms + duration_ms
        while True:
            at_ms = max(self.now_ms, self._next_ms())
            if at_ms > end_ms:
                break
            self.now_ms = at_ms
            self._step()
        self.now_ms = end_ms

    def _next_ms(self) -> float:
        times = [self.carrier.next_arrival_ms(), self.upstreams.next_ms()]
        for host in self.hosts.values():
            if host.disk is not None and host.disk.pending:
                times.append(host.disk.pending[0][0])
            if host.core is not None:
                times += [self._tick_at(host), host.report_ms]
        return min((time for time in times if time is not None), default=math.inf)

    def _tick_at(self, host: Host) -> float:
        deadline = host.core.next_deadline_ms() if host.core else None
        return math.inf if deadline is None else max(deadline, host.tick_ms)

    def _step(self) -> None:
        """Handle everything that is due now."""
        while (arrived := self.carrier.receive(self.now_ms)) is not None:
            source, target, message = arrived
            self.handle(self.hosts[NodeId(target)], Receive(NodeId(source), message))
        while (happened := self.upstreams.take(self.now_ms)) is not None:
            run, event = happened
            if self.hosts[run.host].life == run.life:
                self.handle(self.hosts[run.host], event)
        for host in self.hosts.values():
            self._step_host(host)

    def _step_host(self, host: Host) -> None:
        while host.disk is not None and host.disk.pending:
            if host.disk.pending[0][0] > self.now_ms:
                break
            _, effect = host.disk.pending.pop(0)
            host.disk.finish(effect)
            if not isinstance(effect, TruncateLog):
                self.handle(host, LogSynced(effect.token))
        if host.core is not None and self._tick_at(host) <= self.now_ms:
            host.tick_ms = self.now_ms + MIN_TICK_MS
            self.handle(host, Tick())
        if host.core is not None and host.report_ms <= self.now_ms:
            host.report_ms = self.now_ms + REPORT_MS
            self._report(host, host.core)
        if host.core is not None and host.tick_ms == math.inf:
            self.crash(host.name, QUORUM)

    def _report(self, host: Host, core: Node) -> None:
        """Poll the upstreams of the shards that a node owns, and check its version."""
        self._note_calm()
        if host.disk is not None and self.now_ms >= host.wall_ms:
            host.wall_ms = self.now_ms + WALL_INTERVAL_MS
            self.handle(host, WallTime(WALL_MS + self.now_ms))
        for name in core.owned_upstreams():
            if name not in self.upstreams.down:
                self.handle(host, Receive(host.name, self.upstreams.report(name)))
        self.oracle.check_in_force(host.name, core.cfg.version, host.up_ms, self.now_ms)

    def _note_calm(self) -> None:
        """Note that messages are lost or late, or that no quorum runs."""
        carrier = self.carrier
        running = sum(self.hosts[name].core is not None for name in REPLICAS)
        if carrier.blocked or carrier.loss or carrier.jitter_ms or running < QUORUM:
            self.oracle.calm_ms = self.now_ms

    def disturb(self, loss: float, jitter_ms: float) -> None:
        """Lose, duplicate and reorder messages."""
        self.carrier.loss = self.carrier.duplication = loss
        self.carrier.jitter_ms = jitter_ms
        self._note_calm()

    def block(self, source: NodeId, target: NodeId, both: bool) -> None:
        """Cut the way between two nodes."""
        self.carrier.block(source, target, both)
        self._note_calm()

    def heal(self) -> None:
        """Let the carrier deliver again; what is in flight still arrives."""
        self._note_calm()
        arrivals = [item[0] for item in self.carrier.in_flight]
        self.carrier.heal()
        self.oracle.calm_ms = max([self.oracle.calm_ms, *arrivals])

    # The end of an example.

    def unsettled(self) -> list[str]:
        """Name what has not come to its end."""
        waiting = [c.request_id for c in self.oracle.callers.values() if c.open]
        active = [f"{run.start.request_id} runs" for run in self.oracle.runs if run.active]
        cores = [(host.name, host.core) for host in self.hosts.values() if host.core is not None]
        busy = [f"{name} busy" for name, core in cores if core.requests.in_flight()]
        held = [
            f"{name} holds {len(owner.grants)} slots of {shard}"
            for name, core in cores
            for shard, owner in core.owners.items()
            if len(owner.grants)
        ]
        return [*waiting, *active, *busy, *held]


def _shed(effect: Any) -> list[RequestId]:
    """Return the request that an owner refused as overloaded in its first attempt."""
    match effect:
        case Send(message=SlotRefusal(attempt=0, reason=Reason.OVERLOADED) as refusal):
            return [refusal.request_id]
        case RespondFailure(reason=Reason.OVERLOADED, request_id=request_id):
            return [request_id]
    return []


def new_fleet(
    rng: Random, diskless: int, upstreams: Upstreams | None = None, slots: int = SLOTS
) -> Fleet:
    """Return three replicas and some entry nodes without a disk, with a configuration in force."""
    carrier = Carrier(rng, delay_ms=MESSAGE_DELAY_MS)
    fleet = Fleet(rng, carrier, upstreams or Upstreams(rng), slots=slots)
    for name in REPLICAS:
        fleet.hosts[name] = Host(name, FakeDisk(Replica(name, f"disk of {name}")))
    for number in range(diskless):
        fleet.hosts[NodeId(f"e{number}")] = Host(NodeId(f"e{number}"), None)
    for name in fleet.hosts:
        fleet.start(name)
    fleet.run(2_500.0)
    fleet.apply(REPLICAS[0], 0)
    fleet.run(ADDRESS_TTL_MS)
    return fleet
