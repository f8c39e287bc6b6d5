"""One node process: opens sockets and files, builds the core and runs until it has drained."""

from __future__ import annotations

import random
import secrets
import signal
from typing import Any

import anyio
import anyio.abc
import msgspec
from attrs import define, field
from returns.result import Failure

from goldcrestridge_core.call_types import CallerGone, CallerRequest
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.classes import classify
from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.config import Configuration, Upstream
from goldcrestridge_core.documents import Document, encode_document
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_types import WallTime
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
from goldcrestridge_node.edge import Edge, EdgeHooks
from goldcrestridge_node.exchange import EdgeOptions, Page
from goldcrestridge_node.logs import logger
from goldcrestridge_node.metrics import Metrics
from goldcrestridge_node.platform import Platform
from goldcrestridge_node.reports import Reports
from goldcrestridge_node.runtime import Driver, Outputs
from goldcrestridge_node.server import listen_at, serve
from goldcrestridge_node.settings import ENTRY, Settings
from goldcrestridge_node.transport import CurveKeys, Transport
from goldcrestridge_node.upstream import UpstreamClient

APPLY_TIMEOUT_MS = 10_000.0
WALL_INTERVAL_MS = 1_000.0
WRITE_QUEUE = 1_024  # Batches; the log has one in flight, so this is never reached.
# Last messages (leave, release of leases) get this long to reach the network.
LINGER_MS = 200.0


@define(eq=False)
class Process:
    """Sockets, files and timers of one node around its core."""

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
    reports: Reports = field(init=False)
    stop: anyio.Event = field(factory=anyio.Event)
    _cfg: Configuration = field(factory=lambda: Configuration(""))
    _upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    _applying: dict[str, tuple[anyio.Event, list[ApplyResult | None]]] = field(factory=dict)
    _writes: Any = field(init=False)
    _written: Any = field(init=False)
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Build the core and connect it with its surroundings."""
        cfg = self.settings
        self.timeline = Timeline(cfg.node, cfg.timeline_events)
        self.node = self._build_node()
        self._writes, self._written = anyio.create_memory_object_stream[Any](WRITE_QUEUE)
        outputs = Outputs(
            send=self._send,
            respond=lambda effect: self.edge.deliver_nowait(effect),
            respond_when_ready=lambda effect: self.edge.deliver(effect),
            start=lambda effect: self.client.start(effect),
            cancel=lambda effect: self.client.cancel(effect),
            write=self._write,
            emit=self._emit,
            count=self.metrics.record,
            other=self._other,
        )
        self.driver = Driver(self.node, self.clock, outputs)
        self.client = UpstreamClient(self._upstreams.get, self.driver.post_and_wait)
        self.edge = Edge(self._edge_hooks(), cfg.site, EdgeOptions(cfg.max_body_bytes))
        self.reports = Reports(
            self.node.owned_upstreams,
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

    # Effects of the core.

    def _send(self, effect: Send) -> None:
        self.transport.send(effect.to, effect.message)

    def _write(self, effect: Any) -> None:
        self._writes.send_nowait(effect)

    def _emit(self, event: Emit) -> None:
        self.timeline.record(event, self.clock.wall_ms())
        if not event.request_id:
            detail = {key: value for key, value in event.detail if key != "event"}
            names = {"upstream": event.upstream, "change_id": event.change_id}
            given = {key: value for key, value in names.items() if value}
            self._log.info(event.kind, **{**detail, **given})

    def _other(self, effect: Any) -> None:
        match effect:
            case MemberUp(member=member):
                self.transport.connect(member.node, member.peer_address)
            case MemberDown(node=node):
                # Peers of the settings stay connected, so that a healed partition is noticed.
                if node not in self.settings.peers:
                    self.transport.forget(node)
            case ConfigurationChanged(cfg=cfg):
                self._set_config(cfg)
            case ProposalDone(proposal_id=proposal_id, result=result):
                self._applied(proposal_id, result)
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

    # Callers and operators.

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
        where = self._cfg.sites.get(site)
        data_centre = where.data_centre if where else self.settings.data_centre
        answer = self.node.addresses.answer(
            f"{workspace}/{site}", data_centre, self._cfg.address_ttl_ms
        )
        body = {"addresses": list(answer.addresses), "ttl_ms": answer.ttl_ms}
        return Page(msgspec.json.encode(body))

    def _admin_hooks(self) -> AdminHooks:
        return AdminHooks(
            operators=lambda: self._cfg.operators_sha256 or self.settings.operators_sha256,
            status=lambda: {**self.node.status(), "counters": self.metrics.totals()},
            events=self._events,
            current=self._current,
            apply=self.apply,
            drain=self._drain,
            metrics=self.metrics.render,
        )

    def _events(self, filters: dict[str, str]) -> list[TimelineEvent]:
        wanted = event_filter(
            filters.get("request", ""),
            filters.get("workspace", ""),
            filters.get("upstream", ""),
            filters.get("change", ""),
        )
        return [event for event in self.timeline.events() if wanted(event)]

    def _current(self) -> CurrentConfig:
        document = self.node.document
        data = (
            encode_document(Document(document["base"], document["sites"], {})) if document else b""
        )
        return CurrentConfig(self._cfg.version, self.node.spread.hint().digest, data)

    async def apply(self, command: ApplyConfig) -> ApplyResult | None:
        """Have a change committed; the same change id joins the proposal in flight."""
        proposal_id = f"{OPERATOR_PROPOSAL_PREFIX}{command.change_id}"
        done, results = self._applying.setdefault(proposal_id, (anyio.Event(), []))
        detail = (("base_version", command.base_version), ("operator", command.operator))
        self._emit(Emit("config_proposed", change_id=command.change_id, detail=detail))
        self.driver.post(SubmitProposal(proposal_id, command, APPLY_TIMEOUT_MS))
        await done.wait()
        result = results[0]
        status = result.status.value if result is not None else "unanswered"
        version = result.version if result is not None else 0
        answer = (("status", status), ("version", version))
        self._emit(Emit("config_answered", change_id=command.change_id, detail=answer))
        return result

    def _applied(self, proposal_id: str, result: Any) -> None:
        waiting = self._applying.pop(proposal_id, None)
        if waiting is not None:
            done, results = waiting
            results.append(result if isinstance(result, ApplyResult) else None)
            done.set()

    def _drain(self, deadline_ms: float | None) -> dict[str, Any]:
        limit = self.settings.drain_deadline_ms if deadline_ms is None else deadline_ms
        self.driver.post(StartDrain(limit))
        return {"node": self.settings.node, "in_flight": self.node.drain.in_flight}

    # Tasks.

    async def run(self) -> None:
        """Serve until drained; raises OSError if an address is taken."""
        cfg = self.settings
        async with anyio.create_task_group() as tasks:
            if self.folder is not None:
                tasks.start_soon(disk.serve, self.folder, self._written, self._disk_answered)
                tasks.start_soon(self._tell_wall_time)
            await tasks.start(self.transport.run)
            await tasks.start(self.client.run)
            await tasks.start(self.driver.run)
            stop_serving = anyio.Event()
            if ENTRY in cfg.roles:
                await tasks.start(serve, self.edge, [listen_at(cfg.caller_address)], stop_serving)
            if cfg.admin_address:
                admin = Admin(self._admin_hooks())
                await tasks.start(serve, admin, [listen_at(cfg.admin_address)], stop_serving)
            tasks.start_soon(self.reports.run)
            if cfg.platform_url:
                tasks.start_soon(self._platform().run)
            tasks.start_soon(self._take_signals)
            self._log.info("node_started", peer=cfg.peer_address, caller=cfg.caller_address)
            await self.stop.wait()
            stop_serving.set()
            await anyio.sleep(LINGER_MS / MS_PER_SECOND)
            self._log.info("node_stopped")
            tasks.cancel_scope.cancel()

    def _platform(self) -> Platform:
        def deliver(event: PlatformList | UpstreamLeaving) -> None:
            own = self.settings.node
            self.driver.post(event if isinstance(event, PlatformList) else Receive(own, event))

        return Platform(
            self.settings.platform_url,
            self.node.members,
            self._upstreams.values,
            deliver,
            self.metrics.record,
        )

    async def _disk_answered(self, event: Any) -> None:
        self.driver.post(event)

    async def _tell_wall_time(self) -> None:
        while True:
            self.driver.post(WallTime(self.clock.wall_ms()))
            await anyio.sleep(WALL_INTERVAL_MS / MS_PER_SECOND)

    async def _take_signals(self) -> None:
        """Drain at the first signal; a second one ends the drain at once."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.driver.post(StartDrain(self.settings.drain_deadline_ms))


def _check_document(data: bytes) -> ConfigCheck:
    """Validate a document for the store."""
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
