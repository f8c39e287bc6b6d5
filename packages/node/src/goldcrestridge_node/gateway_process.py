"""Entry node process: the core of an entry node with its sockets and timers."""

from __future__ import annotations

import random
import secrets
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskStatus
from attrs import define, evolve, field, frozen
from returns.result import Failure, Result

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import EngineDenied, EngineFound
from goldcrestridge_core.entry import EntryNode
from goldcrestridge_core.even_part import EvenPart
from goldcrestridge_core.follow_types import (
    ControlAddresses,
    EntriesReceived,
    EntryStatus,
    InstancesConfirmed,
    InstancesReceived,
    ReportDue,
    RoutesReceived,
    StatusChanged,
    UpstreamInstance,
    UsageReplied,
    Workload,
    WorkloadReceived,
)
from goldcrestridge_core.follower import Follower, poll_interval_ms
from goldcrestridge_core.permits import PermitDecided, Permits
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.prompt_crashes import PromptCrashes
from goldcrestridge_core.routes import RouteTable
from goldcrestridge_core.run_proofs import MAX_REPLY_DELAY_MS
from goldcrestridge_core.stream_origins import OriginFound, StreamOrigins
from goldcrestridge_core.types import Count, Emit, Send
from goldcrestridge_core.upstream_notices import NoticeChange
from goldcrestridge_core.usage_counter import UsageCounter
from goldcrestridge_core.usage_types import UsageReport
from goldcrestridge_core.window_budget import WindowBudget
from goldcrestridge_node.caller_connection import ServerOptions
from goldcrestridge_node.caller_table import CallerTable
from goldcrestridge_node.dialect import Dialect, UpstreamResponseHead
from goldcrestridge_node.dispatch import Dispatcher, DispatchOptions
from goldcrestridge_node.engines import EngineAdmissionClient
from goldcrestridge_node.gateway import Gateway
from goldcrestridge_node.gateway_parts import ActiveRoutes, GatewayDependencies
from goldcrestridge_node.logs import logger
from goldcrestridge_node.metrics import Metrics
from goldcrestridge_node.pending import PendingRequests
from goldcrestridge_node.request_log import RequestLog
from goldcrestridge_node.role_settings import GatewaySettings
from goldcrestridge_node.runtime import Driver, Outputs
from goldcrestridge_node.server import listen_at, serve
from goldcrestridge_node.tasks import handle_signals, log_event, watch_file
from goldcrestridge_node.transport import Transport, addressed_transport

IDLE_CLOSE_INTERVAL_MS = 2_000.0
# Callers cache addresses for some seconds, so a draining node still accepts requests for this time,
# and at most for this share of the grace time. The rest is left for the requests in flight.
DRAIN_ACCEPT_MS = 2_800.0
DRAIN_ACCEPT_SHARE = 0.4
# Requests that are still in flight are answered this long before the end of the grace time, when
# the process would be killed, and the process ends half of it before.
DRAIN_MARGIN_MS = 800.0
DRAIN_MARGIN_SHARE = 0.2
# Callers reuse a connection up to the idle limit. The node closes it this much later, so that no
# request meets a closing connection.
KEEP_ALIVE_MARGIN_MS = 2_000.0
# With this many entry nodes in its own data centre, a caller can lose one and still use another.
MIN_LOCAL_ADDRESSES = 2
# A node is drained once no request was in flight for this time. A request that was sent before
# the node stopped accepting is read within this time, and the last messages to peers are sent.
QUIET_MS = 300.0


@frozen
class StopSchedule:
    """Times since SIGTERM: the last new connection, the answers to all requests, the end."""

    accept_ms: float
    answer_ms: float
    end_ms: float


def stop_schedule(grace_ms: float) -> StopSchedule:
    """Return the schedule of a planned stop that ends within ``grace_ms``."""
    margin_ms = min(DRAIN_MARGIN_MS, DRAIN_MARGIN_SHARE * grace_ms)
    return StopSchedule(
        min(DRAIN_ACCEPT_MS, DRAIN_ACCEPT_SHARE * grace_ms),
        grace_ms - margin_ms,
        grace_ms - margin_ms / 2,
    )


@frozen
class GatewayHooks:
    """Functions of one deployment that an entry node calls.

    ``dialect`` translates the heads of requests and responses. ``read_routes`` decodes a version
    that the control nodes accepted. ``management_app`` returns the ASGI application for readiness,
    addresses and metrics. ``reload`` reads the settings again and returns None if they are not
    usable.
    """

    dialect: Dialect
    read_routes: Callable[[bytes], Result[RouteTable, str]]
    management_app: Callable[[GatewayProcess], Any]
    reload: Callable[[], GatewaySettings | None]
    settings_path: Path | None = None


@define(eq=False)
class GatewayProcess:
    """Run one entry node: its core with the sockets and timers that it uses.

    ``entries`` are the entry nodes that accept callers, as the control nodes report them.
    """

    settings: GatewaySettings
    hooks: GatewayHooks
    clock: Clock
    metrics: Metrics = field(factory=Metrics)
    follower: Follower = field(init=False)
    placement: Placement = field(init=False)
    crashes: PromptCrashes = field(factory=PromptCrashes)
    routes: ActiveRoutes = field(init=False)
    gateway: Gateway = field(init=False)
    driver: Driver = field(init=False)
    transport: Transport = field(init=False)
    entries: tuple[EntryStatus, ...] = ()
    draining: bool = False
    _dispatcher: Dispatcher = field(init=False)
    _retry_part: EvenPart = field(init=False)
    _engines: EngineAdmissionClient = field(init=False)
    _permits: PendingRequests = field(init=False)
    _origins: PendingRequests = field(init=False)
    _usage: UsageCounter | None = None
    _server_options: ServerOptions = field(factory=ServerOptions)
    _callers: CallerTable = field(init=False)
    _stop: anyio.Event = field(factory=anyio.Event)
    _callers_gone: anyio.Event = field(factory=anyio.Event)
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Build the core, the gateway, the driver and the transport."""
        cfg = self.settings
        rng = random.Random(secrets.randbits(64))
        status = EntryStatus(cfg.node, cfg.caller_address, cfg.data_centre, accepting=False)
        self.placement = Placement(cfg.data_centre, rng)
        self.placement.notices.drain_ms = cfg.upstream_drain_ms
        if cfg.usage_window_ms:
            self._usage = UsageCounter(
                secrets.token_hex(8), cfg.usage_window_ms, self.clock.wall_ms
            )
        self.follower = Follower(status, cfg.seeds, rng, self._workload, self._usage_report)
        self.routes = ActiveRoutes(
            lease_ms=cfg.key_lease_ms,
            confirmed_ms=lambda: self.follower.confirmed_ms,
            max_lag_ms=cfg.max_route_lag_ms,
            outdated_since_ms=lambda: self.follower.outdated_since_ms,
        )
        self._dispatcher = Dispatcher(
            self.hooks.dialect,
            self.clock,
            DispatchOptions(max_process_open=cfg.limits.upstream_connections),
            observe=self._observe,
            observe_notice=self._observe_notice,
            withheld=lambda item: self.placement.withheld(item, self.clock.now_ms()),
            report_lost=lambda address: self.placement.record_loss(address, self.clock.now_ms()),
        )
        self._engines = EngineAdmissionClient(lambda event: self.driver.post(event))
        self._permits = PendingRequests(lambda event: self.driver.post(event))
        self._origins = PendingRequests(lambda event: self.driver.post(event))
        self._retry_part = EvenPart(cfg.retry_window_ms)
        budget = WindowBudget(
            cfg.retry_share, cfg.retry_extra, cfg.retry_window_ms, self._retry_part.share
        )
        dependencies = GatewayDependencies(
            self.hooks.dialect,
            self.clock,
            self.placement,
            self._dispatcher,
            budget,
            self.routes,
            RequestLog(self._log, self.metrics.record),
            self._engines,
            self._permits,
            self._origins,
            f"{cfg.node} {secrets.token_hex(4)}",
            self.crashes,
            report_crash=self._report_crash,
            count_begun=self._count_begun,
        )
        self.gateway = Gateway(dependencies)
        outputs = Outputs(
            send=self._send,
            emit=self._emit,
            count=self.metrics.record,
            handle_other=self._handle_effect,
        )
        permits = Permits(cfg.node, self.placement.limits, lambda: self.follower.confirmed_ms)
        entry_node = EntryNode(
            self.follower,
            EngineAdmission(cfg.node),
            permits,
            StreamOrigins(cfg.node),
        )
        self.driver = Driver(entry_node, self.clock, outputs)
        self.transport = addressed_transport(cfg.node, self.driver.post, self.metrics.record)
        self._callers = CallerTable(
            cfg.limits, self.clock, self.metrics.record, self.transport.descriptors
        )

    @property
    def ready(self) -> bool:
        """Tell whether this node can serve callers."""
        routes_current = self.routes.is_current(self.clock.now_ms())
        return routes_current and self.placement.listed and not self.draining

    def addresses(self, data_centre: str) -> list[str]:
        """Return the caller addresses of the entry nodes that accept callers.

        Callers pick one at random, so nodes of other data centres are omitted if the caller's own
        data centre has at least ``MIN_LOCAL_ADDRESSES``.
        """
        accepting_entries = [entry for entry in self.entries if entry.node != self.settings.node]
        if self.ready:
            status = self.follower.status
            accepting_entries.append(evolve(status, accepting=True))
        local = [entry for entry in accepting_entries if entry.data_centre == data_centre]
        selected = local if len(local) >= MIN_LOCAL_ADDRESSES else accepting_entries
        return sorted(entry.caller_address for entry in selected)

    def _observe(
        self, instance: UpstreamInstance, head: UpstreamResponseHead, sent_ms: float
    ) -> None:
        """Record the limit and the notices in an answer of an upstream."""
        name, limit, now_ms = instance.instance, head.limit_per_second, self.clock.now_ms()
        if self.placement.limits.observe(name, limit, sent_ms, now_ms):
            self._log.info("upstream_limit", instance=name, per_second=limit)
        self._observe_notice(instance, head, sent_ms)

    def _observe_notice(
        self, instance: UpstreamInstance, head: UpstreamResponseHead, sent_ms: float
    ) -> None:
        """Record the notices in an answer of an upstream."""
        now_ms = self.clock.now_ms()
        for change in self.placement.notices.observe(
            instance, head.leaving, head.rest_ms, sent_ms, now_ms
        ):
            self._log_notice(instance.life, change, "answer", rest_ms=head.rest_ms)

    def _log_notice(
        self, life: str, change: NoticeChange, source: str, rest_ms: float = 0.0
    ) -> None:
        """Log and count that an upstream leaves, no longer leaves or wants no requests."""
        self.metrics.record(
            Count("upstream_notices", 1, (("notice", change.value), ("source", source)))
        )
        self._log.info(
            "upstream_notice", upstream=life, notice=change.value, source=source, rest_ms=rest_ms
        )

    def _workload(self, now_ms: float) -> Workload:
        """Return what this node reports to the control leader."""
        return self.crashes.add_report(self.placement.workload(now_ms), now_ms)

    def _usage_report(self) -> UsageReport:
        """Return what upstreams began for this node, by window and workspace."""
        return UsageReport() if self._usage is None else self._usage.report()

    def _count_begun(self, workspace: str, began_ms: float) -> None:
        if self._usage is not None:
            self._usage.record(workspace, began_ms, self.clock.now_ms())

    def _report_crash(self) -> None:
        """Tell the control leader of a crash at once, and stop the attempts that it blocks."""
        self.gateway.cancel_blocked()
        self.driver.post(ReportDue())

    def _merge_crashes(self, workload: Workload, now_ms: float) -> None:
        """Apply what the control leader knows of prompts that crash upstreams."""
        before = self.crashes.fleet_blocked(now_ms)
        self.crashes.merge_reply(workload, now_ms)
        blocked = self.crashes.fleet_blocked(now_ms)
        if blocked != before:
            self._log.info("prompt_parts_in_force", blocked=[sorted(parts) for parts in blocked])
            self.gateway.cancel_blocked()

    def _merge_workload(self, workload: Workload) -> None:
        """Record the loads, limits and notices that other entry nodes know."""
        now_ms = self.clock.now_ms()
        self.placement.set_peer_workload(workload)
        self._merge_crashes(workload, now_ms)
        for limit in workload.limits:
            if self.placement.limits.merge(limit, now_ms):
                self._log.info(
                    "upstream_limit", instance=limit.instance, per_second=limit.per_second
                )
        for life, change in self.placement.notices.merge(workload, now_ms):
            self._log_notice(life, change, "peer")

    # Handlers for the effects of the core.

    def _send(self, effect: Send) -> None:
        self.transport.send(effect.to, effect.message)

    def _emit(self, event: Emit) -> None:
        log_event(self._log, event)

    def _handle_effect(self, effect: Any) -> None:
        match effect:
            case RoutesReceived():
                self._set_routes(effect)
                self.gateway.notify_news()
            case InstancesReceived(instances=instances):
                self.placement.set_instances(instances, self.clock.now_ms())
                self._log.info("upstreams_in_force", count=len(instances))
                self.gateway.notify_news()
            case InstancesConfirmed(listed_ms=listed_ms, asked_ms=asked_ms):
                shown_ms = listed_ms - self.settings.list_lag_ms
                max_gap_ms = poll_interval_ms(len(self.entries)) + MAX_REPLY_DELAY_MS
                self.placement.proofs.confirm(shown_ms, asked_ms, max_gap_ms)
            case EngineFound() | EngineDenied():
                self._engines.resolve(effect)
            case PermitDecided(ticket=ticket):
                self._permits.resolve(ticket, effect)
            case OriginFound(ticket=ticket):
                self._origins.resolve(ticket, effect)
            case UsageReplied(reply=reply, asked_ms=asked_ms):
                if self._usage is not None:
                    self._usage.apply(reply, asked_ms, self.clock.now_ms())
            case WorkloadReceived(workload=workload):
                self._retry_part.confirm(self.follower.confirmed_ms, self.clock.now_ms())
                self._merge_workload(workload)
            case EntriesReceived(entries=entries):
                self.entries = entries
                listed = any(entry.node == self.settings.node for entry in entries)
                self._retry_part.set_entries(len(entries), listed, self.clock.now_ms())

    def _set_routes(self, received: RoutesReceived) -> None:
        read = self.hooks.read_routes(received.document)
        if isinstance(read, Failure):
            # Control nodes of another release accepted it. The former version stays in force.
            self.metrics.record(Count("routes_invalid_here"))
            self._log.info("routes_invalid_here", version=received.version, reason=read.failure())
            return
        table = self.routes.table = read.unwrap()
        limits = table.limits
        self.gateway.options = evolve(self.gateway.options, max_body_bytes=limits.max_body_bytes)
        self._server_options.head_timeout_ms = limits.head_timeout_ms
        self._server_options.keep_alive_ms = limits.idle_timeout_ms + KEEP_ALIVE_MARGIN_MS
        self.metrics.record(Count("routes_lag_ms", received.age_ms))
        self._log.info(
            "routes_in_force",
            version=received.version,
            routes=len(table.routes),
            lag_ms=round(received.age_ms),
        )
        if not self.follower.status.accepting and not self.draining:
            self.driver.post(StatusChanged(accepting=True))

    # Handlers for signals and for changes of the settings file.

    def _terminate(self) -> None:
        if not self.draining:
            self.draining = True
            schedule = stop_schedule(self.settings.grace_ms)
            self.gateway.begin_drain(self.clock.now_ms() + schedule.answer_ms)
            self._log.info("drain_started", in_flight=self.gateway.in_flight)
            self.driver.post(StatusChanged(accepting=False))
            self._stop.set()

    def _reload(self) -> None:
        settings = self.hooks.reload()
        self._log.info("settings_reloaded", usable=settings is not None)
        if settings is not None:
            self.settings = evolve(self.settings, seeds=settings.seeds)
            self.driver.post(ControlAddresses(settings.seeds))

    # Background tasks.

    async def run(self) -> None:
        """Serve until drained; raise OSError if an address is in use."""
        cfg = self.settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(handle_signals, self._terminate, self._reload)
            await tasks.start(self.transport.run)
            await tasks.start(self.driver.run)
            stop_accepting, stop_management = anyio.Event(), anyio.Event()
            caller_sockets = [listen_at(cfg.caller_address)]
            await tasks.start(self._serve_callers, caller_sockets, stop_accepting)
            management_sockets = [listen_at(address) for address in cfg.management_addresses]
            await tasks.start(
                serve,
                self.hooks.management_app(self),
                management_sockets,
                stop_management,
                None,
                self._callers,
            )
            tasks.start_soon(self._close_idle)
            if self.hooks.settings_path is not None:
                tasks.start_soon(watch_file, self.hooks.settings_path, self._reload)
            self._log.info("node_started", caller=cfg.caller_address, control=list(cfg.seeds))
            await self._stop.wait()
            await self._drain(stop_accepting)
            self._log.info("node_stopped", cut=self.gateway.in_flight)
            tasks.cancel_scope.cancel()

    async def _drain(self, stop_accepting: anyio.Event) -> None:
        """Accept callers for some time, and answer the requests that are left before the end."""
        schedule = stop_schedule(self.settings.grace_ms)
        await anyio.sleep(schedule.accept_ms / MS_PER_SECOND)
        stop_accepting.set()
        left_ms = self.gateway.stop_ms - self.clock.now_ms()
        with anyio.move_on_after(max(0.0, left_ms) / MS_PER_SECOND):
            await self._wait_for_callers()
            return
        self._log.info("drain_ended_requests", in_flight=self.gateway.in_flight)
        self.gateway.end_requests()
        with anyio.move_on_after((schedule.end_ms - schedule.answer_ms) / MS_PER_SECOND):
            await self._wait_for_callers()

    async def _wait_for_callers(self) -> None:
        # A request whose head is half received is not in flight yet, but keeps its connection.
        await self._callers_gone.wait()
        await self.gateway.wait_idle(QUIET_MS)

    async def _serve_callers(
        self,
        sockets: list[socket.socket],
        stop_accepting: anyio.Event,
        *,
        task_status: TaskStatus[None],
    ) -> None:
        """Serve callers until ``stop_accepting`` is set and their connections have ended."""
        await serve(
            self.gateway,
            sockets,
            stop_accepting,
            self._server_options,
            self._callers,
            task_status=task_status,
        )
        self._callers_gone.set()

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_CLOSE_INTERVAL_MS / MS_PER_SECOND)
            await self._dispatcher.close_idle()
