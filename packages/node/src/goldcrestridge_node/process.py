"""Node process: opens the sockets and files of a node, builds its core and runs until drained."""

from __future__ import annotations

import random
import secrets
import signal
from typing import Any

import anyio
import anyio.abc
import msgspec
from anyio.abc import TaskStatus
from attrs import define, field
from returns.result import Failure

from goldcrestridge_core.call_types import (
    RESPONSE_EFFECTS,
    CallerGone,
    CallerRequest,
    CancelAttempt,
    StartAttempt,
)
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.classes import classify
from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.config import Configuration, Upstream
from goldcrestridge_core.documents import Document, encode_document
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_types import STORAGE_EFFECTS, WallTime
from goldcrestridge_core.member_types import (
    ConfigurationChanged,
    DrainDone,
    Member,
    MemberDown,
    MemberState,
    MemberUp,
    PlatformList,
    StartDrain,
)
from goldcrestridge_core.node import OPERATOR_PROPOSAL_PREFIX, Identity, Node
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import ApplyConfig, ApplyResult
from goldcrestridge_core.timeline import Timeline, event_filter
from goldcrestridge_core.types import (
    Emit,
    NodeId,
    ProposalDone,
    Receive,
    Send,
    SubmitProposal,
    TimelineEvent,
    UpstreamId,
    UpstreamLeaving,
)
from goldcrestridge_core.validation import validate_bytes
from goldcrestridge_node import disk
from goldcrestridge_node.admin import Admin, AdminHooks, CurrentConfig
from goldcrestridge_node.caller_table import CallerTable
from goldcrestridge_node.edge import Edge, EdgeHooks
from goldcrestridge_node.exchange import EdgeOptions, Page
from goldcrestridge_node.logs import logger
from goldcrestridge_node.metrics import Metrics
from goldcrestridge_node.platform import PlatformPoller
from goldcrestridge_node.reports import ReportPoller
from goldcrestridge_node.runtime import Driver, Outputs
from goldcrestridge_node.server import listen_at, serve
from goldcrestridge_node.settings import ENTRY, Settings
from goldcrestridge_node.transport import CurveKeys, Transport
from goldcrestridge_node.upstream import UpstreamClient, UpstreamOptions

APPLY_TIMEOUT_MS = 10_000.0
WALL_CLOCK_INTERVAL_MS = 1_000.0
WRITE_QUEUE_BATCHES = 1_024  # Never filled: the log has at most one batch in flight.
# Time for the last messages (leave, release of leases) to be sent before the process ends.
LINGER_MS = 200.0
# Time for callers to send the rest of a request head and to read the answer.
CLOSE_TIMEOUT_MS = 2_000.0


@define(eq=False)
class Process:
    """Run one node: its core with the sockets, files and timers that it uses."""

    settings: Settings
    clock: Clock
    folder: disk.Folder | None = None
    metrics: Metrics = field(factory=Metrics)
    timeline: Timeline = field(init=False)
    node: Node = field(init=False)
    driver: Driver = field(init=False)
    edge: Edge = field(init=False)
    client: UpstreamClient = field(init=False)
    transport: Transport = field(init=False)
    reports: ReportPoller = field(init=False)
    stop: anyio.Event = field(factory=anyio.Event)
    _callers: CallerTable = field(init=False)
    _callers_gone: anyio.Event = field(factory=anyio.Event)
    _cfg: Configuration = field(factory=lambda: Configuration(""))
    _upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    _pending_changes: dict[str, tuple[anyio.Event, list[ApplyResult | None]]] = field(factory=dict)
    _write_sender: Any = field(init=False)
    _write_receiver: Any = field(init=False)
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Build the core, the driver and the components that perform its effects."""
        cfg = self.settings
        self.timeline = Timeline(cfg.node, cfg.timeline_events)
        self.node = self._build_node()
        self._write_sender, self._write_receiver = anyio.create_memory_object_stream[Any](
            WRITE_QUEUE_BATCHES
        )
        outputs = Outputs(
            send=self._send,
            respond=lambda effect: self.edge.deliver_nowait(effect),
            respond_when_ready=lambda effect: self.edge.deliver(effect),
            responses=RESPONSE_EFFECTS,
            handlers={
                StartAttempt: lambda effect: self.client.start(effect),
                CancelAttempt: lambda effect: self.client.cancel(effect),
                **dict.fromkeys(STORAGE_EFFECTS, self._write),
            },
            emit=self._emit,
            count=self.metrics.record,
            handle_other=self._handle_effect,
        )
        self.driver = Driver(self.node, self.clock, outputs)
        self.client = UpstreamClient(
            self._upstreams.get,
            self.driver.post_and_wait,
            UpstreamOptions(max_process_open=cfg.limits.upstream_connections),
            withheld=lambda name: self.node.requests.is_withheld(name, self.clock.now_ms()),
        )
        self.edge = Edge(
            self._edge_hooks(),
            cfg.site,
            EdgeOptions(cfg.max_body_bytes, max_reserved_bytes=cfg.limits.held_bytes),
        )
        self.reports = ReportPoller(
            lambda: self.node.polled_upstreams(self.clock.now_ms()),
            self.node.is_engine,
            lambda report: self.driver.post(Receive(cfg.node, report)),
            self.metrics.record,
        )
        self.transport = Transport(
            cfg.node,
            cfg.peer_bind_address,
            self.driver.post,
            self.metrics.record,
            lambda: self.timeline.clock.stamp(self.clock.wall_ms()),
            self._observe,
            _curve_keys(cfg),
        )
        self._callers = CallerTable(
            cfg.limits, self.clock, self.metrics.record, self.transport.descriptors
        )
        for peer in cfg.peers.values():
            self.transport.connect(peer.node, peer.address)

    def _build_node(self) -> Node:
        cfg = self.settings
        member = Member(
            node=cfg.node,
            incarnation=int(self.clock.wall_ms()),
            state=MemberState.ALIVE,
            data_centre=cfg.data_centre,
            peer_address=cfg.peer_address,
            caller_address=cfg.caller_address,
            roles=cfg.roles,
            admin_address=cfg.admin_address,
        )
        identity = Identity(
            member=member,
            replicas=cfg.replicas,
            seeds=tuple(cfg.peers),
            boot_id=secrets.token_hex(8),
            seed=secrets.randbits(64),
        )
        if self.folder is None:
            return Node(identity)
        store = Store(_check_document)
        log = open_log(
            self.folder.replica,
            self.folder.load(),
            store,
            random.Random(secrets.randbits(64)),
            self.clock.now_ms(),
            cfg.replicas,
        )
        return Node(identity, ControlReplica(log, store), store)

    # Handlers for the effects of the core.

    def _send(self, effect: Send) -> None:
        self.transport.send(effect.to, effect.message)

    def _write(self, effect: Any) -> None:
        self._write_sender.send_nowait(effect)

    def _emit(self, event: Emit) -> None:
        self.timeline.record(event, self.clock.wall_ms())
        if not event.request_id:
            detail = {key: value for key, value in event.detail if key != "event"}
            identifiers = {"upstream": event.upstream, "change_id": event.change_id}
            present = {key: value for key, value in identifiers.items() if value}
            self._log.info(event.kind, **{**detail, **present})

    def _handle_effect(self, effect: Any) -> None:
        match effect:
            case MemberUp(member=member):
                self.transport.connect(member.node, member.peer_address)
            case MemberDown(node=node):
                # Peers named in the settings stay connected, so that the end of a partition is
                # detected.
                if node not in self.settings.peers:
                    self.transport.disconnect(node)
            case ConfigurationChanged(cfg=cfg):
                self._set_config(cfg)
            case ProposalDone(proposal_id=proposal_id, result=result):
                self._complete_change(proposal_id, result)
            case DrainDone():
                self.stop.set()

    def _set_config(self, cfg: Configuration) -> None:
        self._cfg = cfg
        self._upstreams.clear()
        self._upstreams.update(
            (upstream.name, upstream) for pool in cfg.pools.values() for upstream in pool.upstreams
        )
        self.edge.set_config(cfg, lambda *fields: classify(cfg, *fields))

    def _observe(self, wall_ms: float, counter: int) -> None:
        self.timeline.clock.observe((wall_ms, counter), self.clock.wall_ms())

    # Hooks of the applications for callers and operators.

    def _edge_hooks(self) -> EdgeHooks:
        return EdgeHooks(
            submit=self._submit,
            addresses=self._addresses,
            health=lambda: Page(b'{"status":"ok"}'),
            ready=self._ready,
            metrics=lambda: Page(self.metrics.render(), content_type=b"text/plain; version=0.0.4"),
        )

    def _submit(self, event: CallerRequest | CallerGone) -> None:
        if isinstance(event, CallerRequest):
            event = CallerRequest(event.request_id, event.call, self.clock.wall_ms())
        self.driver.post(event)

    def _ready(self) -> Page:
        if self.node.serving and not self.stop.is_set():
            return Page(b'{"status":"ready"}')
        return Page(b'{"status":"not ready"}', status=503)

    def _addresses(self, workspace: str, site: str) -> Page:
        site_config = self._cfg.sites.get(site)
        data_centre = site_config.data_centre if site_config else self.settings.data_centre
        result = self.node.addresses.answer(
            f"{workspace}/{site}", data_centre, self._cfg.address_ttl_ms
        )
        body = {"addresses": list(result.addresses), "ttl_ms": result.ttl_ms}
        return Page(msgspec.json.encode(body))

    def _admin_hooks(self) -> AdminHooks:
        return AdminHooks(
            operators=lambda: self._cfg.operators_sha256 or self.settings.operators_sha256,
            status=lambda: {**self.node.status(), "counters": self.metrics.totals()},
            events=self._filtered_events,
            current_config=self._current_config,
            apply=self.apply,
            drain=self._drain,
            metrics=self.metrics.render,
        )

    def _filtered_events(self, filters: dict[str, str]) -> list[TimelineEvent]:
        matches = event_filter(
            filters.get("request", ""),
            filters.get("workspace", ""),
            filters.get("upstream", ""),
            filters.get("change", ""),
        )
        return [event for event in self.timeline.events() if matches(event)]

    def _current_config(self) -> CurrentConfig:
        document = self.node.document
        data = (
            encode_document(Document(document["base"], document["sites"], {})) if document else b""
        )
        return CurrentConfig(self._cfg.version, self.node.config_distributor.hint().digest, data)

    async def apply(self, command: ApplyConfig) -> ApplyResult | None:
        """Propose a change and wait for its result; None if no quorum answered in time.

        A call whose change id is already in flight waits for the result of that proposal.
        """
        proposal_id = f"{OPERATOR_PROPOSAL_PREFIX}{command.change_id}"
        done, results = self._pending_changes.setdefault(proposal_id, (anyio.Event(), []))
        proposed = (("base_version", command.base_version), ("operator", command.operator))
        self._emit(Emit("config_proposed", change_id=command.change_id, detail=proposed))
        self.driver.post(SubmitProposal(proposal_id, command, APPLY_TIMEOUT_MS))
        await done.wait()
        result = results[0]
        status = result.status.value if result is not None else "unanswered"
        version = result.version if result is not None else 0
        answered = (("status", status), ("version", version))
        self._emit(Emit("config_answered", change_id=command.change_id, detail=answered))
        return result

    def _complete_change(self, proposal_id: str, result: Any) -> None:
        pending = self._pending_changes.pop(proposal_id, None)
        if pending is not None:
            done, results = pending
            results.append(result if isinstance(result, ApplyResult) else None)
            done.set()

    def _drain(self, deadline_ms: float | None) -> dict[str, Any]:
        limit_ms = self.settings.drain_deadline_ms if deadline_ms is None else deadline_ms
        self.driver.post(StartDrain(limit_ms))
        return {"node": self.settings.node, "in_flight": self.node.drain.in_flight}

    # Background tasks.

    async def run(self) -> None:
        """Run until drained; raise OSError if an address is in use."""
        cfg = self.settings
        async with anyio.create_task_group() as tasks:
            if self.folder is not None:
                tasks.start_soon(
                    disk.perform_effects, self.folder, self._write_receiver, self._post_disk_result
                )
                tasks.start_soon(self._post_wall_time)
            await tasks.start(self.transport.run)
            await tasks.start(self.client.run)
            await tasks.start(self.driver.run)
            stop_serving = anyio.Event()
            if ENTRY in cfg.roles:
                await tasks.start(self._serve_callers, stop_serving)
            else:
                self._callers_gone.set()
            if cfg.admin_address:
                admin = Admin(self._admin_hooks())
                sockets = [listen_at(cfg.admin_address)]
                await tasks.start(serve, admin, sockets, stop_serving, None, self._callers)
            tasks.start_soon(self.reports.run)
            if cfg.platform_url:
                tasks.start_soon(self._platform_poller().run)
            tasks.start_soon(self._handle_signals)
            self._log.info("node_started", peer=cfg.peer_address, caller=cfg.caller_address)
            await self.stop.wait()
            stop_serving.set()
            # A request whose head is half received is answered before the node ends.
            with anyio.move_on_after(CLOSE_TIMEOUT_MS / MS_PER_SECOND):
                await self._callers_gone.wait()
            await anyio.sleep(LINGER_MS / MS_PER_SECOND)
            self._log.info("node_stopped")
            tasks.cancel_scope.cancel()

    async def _serve_callers(
        self, stop_serving: anyio.Event, *, task_status: TaskStatus[None]
    ) -> None:
        """Serve callers until ``stop_serving`` is set and their connections have ended."""
        sockets = [listen_at(self.settings.caller_address)]
        await serve(self.edge, sockets, stop_serving, None, self._callers, task_status=task_status)
        self._callers_gone.set()

    def _platform_poller(self) -> PlatformPoller:
        def deliver(event: PlatformList | UpstreamLeaving) -> None:
            node = self.settings.node
            self.driver.post(event if isinstance(event, PlatformList) else Receive(node, event))

        return PlatformPoller(
            self.settings.platform_url,
            self.node.members,
            self._upstreams.values,
            deliver,
            self.metrics.record,
        )

    async def _post_disk_result(self, event: Any) -> None:
        self.driver.post(event)

    async def _post_wall_time(self) -> None:
        while True:
            self.driver.post(WallTime(self.clock.wall_ms()))
            await anyio.sleep(WALL_CLOCK_INTERVAL_MS / MS_PER_SECOND)

    async def _handle_signals(self) -> None:
        """Start a drain at the first signal; a second signal ends the drain immediately."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.driver.post(StartDrain(self.settings.drain_deadline_ms))


def _check_document(data: bytes) -> ConfigCheck:
    """Validate a configuration document for the store."""
    checked = validate_bytes(data)
    if isinstance(checked, Failure):
        return ConfigCheck(" ".join(str(error) for error in checked.failure()))
    return ConfigCheck("", checked.unwrap().claim_retention_ms)


def _curve_keys(cfg: Settings) -> CurveKeys | None:
    if not cfg.curve_public_key or cfg.curve_secret_key_file is None:
        return None
    secret = cfg.curve_secret_key_file.read_text(encoding="ascii").strip()
    peers = {NodeId(peer.node): peer.public_key.encode() for peer in cfg.peers.values()}
    return CurveKeys(cfg.curve_public_key.encode(), secret.encode(), peers)
