"""Simulated fleet of nodes with disks, network, upstreams, callers and operators."""

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
    LOAD_REPORT,
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
    UpstreamResting,
)
from goldcrestridge_lab.carrier import SimulatedNetwork
from goldcrestridge_lab.log_group import FakeDisk
from goldcrestridge_lab.node_config import (
    ENGINE_POOL,
    SLOTS,
    WALL_START_MS,
    check_document,
    config_document,
)
from goldcrestridge_lab.node_oracle import OUTPUT_TOKENS, Caller, Oracle, Run, require
from goldcrestridge_lab.node_upstreams import Upstreams

REPLICAS = tuple(NodeId(f"r{number}") for number in range(3))
ENGINE_SHARD = ShardId(f"{ENGINE_POOL}/0")
REPORT_MS = 500.0
WALL_INTERVAL_MS = 1_000.0
APPLY_TIMEOUT_MS = 10_000.0
MIN_TICK_MS = 1.0  # Limits the tick rate of a role that leaves a deadline in the past.
QUORUM = 2
# How long a drain honours address answers given under the default configuration, which is in
# force first.
ADDRESS_TTL_MS = 35_000.0
MESSAGE_DELAY_MS = 1.0


@define(eq=False)
class Host:
    """Host of one node, with its disk if it has one; ``core`` is None while the node is down.

    ``boot_number`` counts starts. ``version`` is the configuration version in force, 0 after a
    start, and ``highest_version`` is the highest with which the node has ever served. ``tick_ms``,
    ``report_ms`` and ``wall_ms`` are the earliest times of the next Tick, load report and wall
    clock event. ``held`` holds the events that came while the host was suspended, or is None.
    """

    name: NodeId
    disk: FakeDisk | None
    core: Node | None = None
    boot_number: int = 0
    started_ms: float = 0.0
    tick_ms: float = 0.0
    report_ms: float = 0.0
    wall_ms: float = 0.0
    version: int = 0
    highest_version: int = 0
    draining: bool = False
    held: list[Any] | None = None


@define
class Fleet:
    """Nodes with their simulated environment; ``run`` advances virtual time."""

    rng: Random
    network: SimulatedNetwork
    upstreams: Upstreams
    oracle: Oracle = field(factory=Oracle)
    hosts: dict[NodeId, Host] = field(factory=dict)
    now_ms: float = 0.0
    change_count: int = 0
    slots: int = SLOTS

    def start(self, name: NodeId) -> None:
        """Start a node; a replica recovers from its disk."""
        host = self.hosts[name]
        host.boot_number += 1
        host.started_ms = self.now_ms
        host.version, host.draining = 0, False
        host.tick_ms = host.report_ms = host.wall_ms = self.now_ms
        roles = ("entry", "replica") if host.disk else ("entry",)
        member = Member(
            name,
            int(WALL_START_MS + self.now_ms) + host.boot_number,
            MemberState.ALIVE,
            "dc",
            f"peer {name}",
            f"caller {name}",
            roles,
        )
        seeds = tuple(other for other in self.hosts if other != name)
        boot_id = f"{name} {host.boot_number}"
        identity = Identity(member, REPLICAS, seeds, boot_id, self.rng.randrange(2**32))
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
        """Crash a node, which breaks the connections of its callers.

        Of the pending disk writes, the first ``synced`` are durable and the rest are lost.
        """
        host = self.hosts[name]
        host.core = host.held = None
        if host.disk is not None:
            host.disk.crash(synced)
        for caller in self.oracle.callers.values():
            caller.disconnected = caller.disconnected or (caller.entry == name and caller.open)
        for run in self.oracle.runs:
            run.active = run.active and run.host != name
        self._update_healthy_since()

    def suspend(self, name: NodeId) -> None:
        """Suspend a host: it handles no event, and its clock goes on."""
        self.hosts[name].held = []
        self._update_healthy_since()

    def resume(self, name: NodeId, tick_after: int) -> None:
        """Let a suspended host go on with the events that came, and a Tick after some of them."""
        self._update_healthy_since()
        host = self.hosts[name]
        held, host.held = host.held or [], None
        for event in [*held[:tick_after], Tick(), *held[tick_after:]]:
            self.handle(host, event)

    def drain(self, name: NodeId) -> None:
        """Start to drain a node, unless it is down or already draining."""
        host = self.hosts[name]
        if host.core is not None and not host.draining:
            host.draining = True
            self.handle(host, StartDrain())

    def request(
        self, name: NodeId, call: Call, output_tokens: int = OUTPUT_TOKENS
    ) -> Caller | None:
        """Send a request to a node; return None if the node does not serve."""
        host = self.hosts[name]
        if host.core is None or not host.core.serving:
            return None
        request_id = RequestId(f"q{len(self.oracle.callers)}")
        caller = Caller(
            request_id, call, name, self.now_ms, host.draining, output_tokens=output_tokens
        )
        self.oracle.callers[request_id] = caller
        self.handle(host, CallerRequest(request_id, call, WALL_START_MS + self.now_ms))
        return caller

    def disconnect(self, caller: Caller) -> None:
        """Close the connection of a caller."""
        host = self.hosts[caller.entry]
        if caller.open:
            caller.disconnected = True
            self.handle(host, CallerGone(caller.request_id))

    def apply(self, name: NodeId, base_version: int) -> None:
        """Submit a configuration change through a node, as an operator does."""
        host = self.hosts[name]
        if host.core is not None:
            self.change_count += 1
            change_id = f"change-{self.change_count}"
            command = ApplyConfig(
                change_id, base_version, "ada", config_document(self.change_count, self.slots)
            )
            proposal_id = f"{OPERATOR_PROPOSAL_PREFIX}{change_id}"
            self.handle(host, SubmitProposal(proposal_id, command, APPLY_TIMEOUT_MS))

    def handle(self, host: Host, event: Any) -> None:
        """Pass an event to a node, apply its effects and check the guarantees."""
        core = host.core
        if host.held is not None:
            host.held.append(event)
            return
        if core is None:
            return
        effects = core.handle(event, self.now_ms)
        self._check_owner(host, core, event, effects)
        for effect in effects:
            self._apply(host, effect)
        self.oracle.check_cancelled(host.name)
        self._check_version(host, core)

    def _check_owner(self, host: Host, core: Node, event: Any, effects: list[Any]) -> None:
        """Check the admissions of the owner of the engine shard, if this node owns it."""
        owner = core.owners.get(ENGINE_SHARD)
        if owner is None:
            return
        key = (host.name, owner.epoch, owner.started_ms)
        if isinstance(event, Receive) and isinstance(event.message, SlotRequest):
            self.oracle.arrivals_ms.setdefault((key, event.message.request_id), self.now_ms)
        granted = [
            RequestId(effect.request_id)
            for effect in effects
            if isinstance(effect, Emit)
            and effect.kind == "slot_granted"
            and ("floor", 0) in effect.detail
        ]
        refused = [name for effect in effects for name in _shed_request(effect)]
        engine_requests = [
            [name for name in names if self.oracle.callers[name].call.pool == ENGINE_POOL]
            for names in (granted, refused)
        ]
        self.oracle.check_admission(key, engine_requests[0], engine_requests[1], self.now_ms)

    def _apply(self, host: Host, effect: Any) -> None:
        match effect:
            case Send():
                self.network.send(host.name, effect.to, effect.message, self.now_ms)
            case WriteLog() | WriteSnapshot() | TruncateLog():
                assert host.disk is not None
                host.disk.write(effect, self.now_ms)
            case RespondHead() | RespondChunk() | RespondEnd() | RespondFailure():
                self.oracle.check_response(effect, self.now_ms)
            case StartAttempt():
                run = Run(
                    effect, self.oracle.callers[effect.request_id], host.name, host.boot_number
                )
                self.oracle.add_attempt(run, self.now_ms)
                self.upstreams.start(run, self.now_ms)
            case CancelAttempt():
                self.upstreams.cancel(effect.request_id, effect.attempt, host.name)
            case ProposalDone(proposal_id=proposal_id, result=ApplyResult() as result):
                if result.status is ApplyStatus.ACCEPTED:
                    change_id = proposal_id.removeprefix(OPERATOR_PROPOSAL_PREFIX)
                    self.oracle.add_accepted_version(result.version, change_id, self.now_ms)
            case DrainDone():
                self._check_drain(host, effect)

    def _check_drain(self, host: Host, done: DrainDone) -> None:
        """Check P7: a drain without a deadline cuts no request."""
        require(not done.cut, "P7", f"The drain of {host.name} cut the requests {done.cut}.")
        callers = self.oracle.callers.values()
        open_requests = [c.request_id for c in callers if c.entry == host.name and c.open]
        require(
            not open_requests,
            "P7",
            f"{host.name} completed its drain before {open_requests} ended.",
        )
        host.tick_ms = math.inf  # Ends the process, see _step_host.

    def _check_version(self, host: Host, core: Node) -> None:
        """Check P8: the version in force never decreases, even after a restart."""
        version = core.cfg.version
        require(
            version >= host.version,
            "P8",
            f"{host.name} went from version {host.version} back to {version}.",
        )
        host.version = version
        if core.serving and version:
            text = f"{host.name} serves version {version} after version {host.highest_version}."
            require(version >= host.highest_version, "P8", text)
            host.highest_version = version

    def run(self, duration_ms: float) -> None:
        """Advance virtual time, handling all events in order."""
        end_ms = self.now_ms + duration_ms
        while True:
            at_ms = max(self.now_ms, self._next_ms())
            if at_ms > end_ms:
                break
            self.now_ms = at_ms
            self._step()
        self.now_ms = end_ms

    def _next_ms(self) -> float:
        times = [self.network.next_arrival_ms(), self.upstreams.next_ms()]
        for host in self._running_hosts():
            if host.disk is not None and host.disk.pending:
                times.append(host.disk.pending[0][0])
            if host.core is not None:
                times += [self._next_tick_ms(host), host.report_ms]
        return min((time for time in times if time is not None), default=math.inf)

    def _running_hosts(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.held is None]

    def _next_tick_ms(self, host: Host) -> float:
        deadline = host.core.next_deadline_ms() if host.core else None
        return math.inf if deadline is None else max(deadline, host.tick_ms)

    def _step(self) -> None:
        """Handle all messages, upstream events and host events that are due."""
        while (arrival := self.network.receive(self.now_ms)) is not None:
            source, target, message = arrival
            self.handle(self.hosts[NodeId(target)], Receive(NodeId(source), message))
        while (due := self.upstreams.pop_event(self.now_ms)) is not None:
            run, event = due
            if self.hosts[run.host].boot_number == run.boot_number:
                self.handle(self.hosts[run.host], event)
        for host in self._running_hosts():
            self._step_host(host)

    def _step_host(self, host: Host) -> None:
        while host.disk is not None and host.disk.pending:
            if host.disk.pending[0][0] > self.now_ms:
                break
            _, effect = host.disk.pending.pop(0)
            host.disk.finish(effect)
            if not isinstance(effect, TruncateLog):
                self.handle(host, LogSynced(effect.token))
        if host.core is not None and self._next_tick_ms(host) <= self.now_ms:
            host.tick_ms = self.now_ms + MIN_TICK_MS
            self.handle(host, Tick())
        if host.core is not None and host.report_ms <= self.now_ms:
            host.report_ms = self.now_ms + REPORT_MS
            self._report(host, host.core)
        if host.core is not None and host.tick_ms == math.inf:
            self.crash(host.name, QUORUM)

    def _report(self, host: Host, core: Node) -> None:
        """Poll the upstreams of the shards that a node owns, and check its version in force.

        Also passes the wall clock time to a replica, at most once per ``WALL_INTERVAL_MS``.
        """
        self._update_healthy_since()
        if host.disk is not None and self.now_ms >= host.wall_ms:
            host.wall_ms = self.now_ms + WALL_INTERVAL_MS
            self.handle(host, WallTime(WALL_START_MS + self.now_ms))
        for name in core.polled_upstreams(self.now_ms):
            if name not in self.upstreams.down:
                machine = (host.name, host.boot_number)
                rest_ms = self.upstreams.rests.arrive(name, machine, self.now_ms)
                rest = UpstreamResting(name, rest_ms, LOAD_REPORT)
                report = rest if rest_ms else self.upstreams.report(name)
                self.handle(host, Receive(host.name, report))
        self.oracle.check_in_force(host.name, core.cfg.version, host.started_ms, self.now_ms)

    def _update_healthy_since(self) -> None:
        """Restart the healthy period if messages may be lost or late, or if no quorum runs."""
        network = self.network
        running = sum(self.hosts[name].core is not None for name in REPLICAS)
        late = network.blocked or network.loss or network.jitter_ms
        if late or running < QUORUM or len(self._running_hosts()) < len(self.hosts):
            self.oracle.healthy_since_ms = self.now_ms

    def set_message_faults(self, loss: float, jitter_ms: float) -> None:
        """Set the probability of loss and duplication, and the jitter that reorders messages."""
        self.network.loss = self.network.duplication = loss
        self.network.jitter_ms = jitter_ms
        self._update_healthy_since()

    def block(self, source: NodeId, target: NodeId, both: bool) -> None:
        """Block the link between two nodes, in both directions if ``both``."""
        self.network.block(source, target, both)
        self._update_healthy_since()

    def heal(self) -> None:
        """Clear the network faults; the healthy period starts once messages in flight arrived."""
        self._update_healthy_since()
        arrivals = [item[0] for item in self.network.in_flight]
        self.network.heal()
        self.oracle.healthy_since_ms = max([self.oracle.healthy_since_ms, *arrivals])

    def unsettled(self) -> list[str]:
        """Describe the requests, attempts and slots that have not ended yet."""
        waiting = [c.request_id for c in self.oracle.callers.values() if c.open]
        active_runs = [
            f"{run.start.request_id} has an active attempt"
            for run in self.oracle.runs
            if run.active
        ]
        cores = [(host.name, host.core) for host in self.hosts.values() if host.core is not None]
        in_flight = [
            f"{name} has requests in flight" for name, core in cores if core.requests.in_flight()
        ]
        held = [
            f"{name} holds {len(owner.grants)} slots of {shard}"
            for name, core in cores
            for shard, owner in core.owners.items()
            if len(owner.grants)
        ]
        return [*waiting, *active_runs, *in_flight, *held]


def _shed_request(effect: Any) -> list[RequestId]:
    """Return the request whose first attempt an owner refused as overloaded, if any."""
    match effect:
        case Send(message=SlotRefusal(attempt=0, reason=Reason.OVERLOADED) as refusal):
            return [refusal.request_id]
        case RespondFailure(reason=Reason.OVERLOADED, request_id=request_id):
            return [request_id]
    return []


def new_fleet(
    rng: Random, diskless: int, upstreams: Upstreams | None = None, slots: int = SLOTS
) -> Fleet:
    """Start three replicas and ``diskless`` entry nodes, with a configuration in force."""
    network = SimulatedNetwork(rng, delay_ms=MESSAGE_DELAY_MS)
    fleet = Fleet(rng, network, upstreams or Upstreams(rng), slots=slots)
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
