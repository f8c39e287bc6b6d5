"""Control node process: the core of a control node with its sockets, files and timers."""

from __future__ import annotations

import random
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
from attrs import define, evolve, field, frozen
from returns.result import Success

from goldcrestridge_core import codec
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.control import (
    ControlIdentity,
    ControlNode,
    HandoverDone,
    ReplicaClosed,
    ReplicaOpened,
    read_document,
)
from goldcrestridge_core.duties import MIN_LEASE_MS
from goldcrestridge_core.duty_roles import CallPlatform, DutyOptions, PlatformAnswered
from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.follow_types import (
    ControlAddresses,
    InstancesListed,
    UpstreamInstance,
)
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.log_types import STORAGE_EFFECTS, LeaveLog, LogFailed, WallTime
from goldcrestridge_core.queries import QueryDone
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.scale_types import ScaleBounds
from goldcrestridge_core.store import Store
from goldcrestridge_core.stream_versions import StreamServices
from goldcrestridge_core.types import (
    Emit,
    ProposalDone,
    Send,
    SubmitProposal,
)
from goldcrestridge_core.versions import ReplaceDocument, ReplaceResult, VersionedDocument
from goldcrestridge_node import disk
from goldcrestridge_node.caller_table import CallerTable
from goldcrestridge_node.logs import logger
from goldcrestridge_node.metrics import Metrics
from goldcrestridge_node.pending import PendingRequests
from goldcrestridge_node.role_settings import ControlSettings
from goldcrestridge_node.runtime import Driver, Outputs
from goldcrestridge_node.server import listen_at, serve
from goldcrestridge_node.shared_call import SharedCall
from goldcrestridge_node.tasks import call_or_log, handle_signals, log_event, watch_file
from goldcrestridge_node.transport import Transport, addressed_transport

# The outcome of a change that is not committed within this time is unknown; the operator sends
# the change again.
APPLY_TIMEOUT_MS = 3_000.0
READ_TIMEOUT_MS = 1_500.0
# Only the leader polls the list of upstreams. All entry nodes must know a leaving upstream within
# 3 s of its appearance on the list.
LIST_INTERVAL_MS = 1_000.0
LIST_RETRY_MS = 300.0
LEADER_CHECK_MS = 50.0
WALL_CLOCK_INTERVAL_MS = 1_000.0
REOPEN_INTERVAL_MS = 500.0
# Share of the grace time in which a spare replica may take the place of this one. It covers an
# election, in case the leader is lost at the same time.
HANDOVER_SHARE = 0.6
# Time for the last messages and responses to be sent before the process ends.
LINGER_MS = 100.0
WRITE_QUEUE_BATCHES = 1_024  # Never filled: the log has at most one batch in flight.

# Slightly longer than the defaults, because each heartbeat costs CPU time on small VMs. A leader is
# still replaced within 1.5 s, even after a restart of all control nodes.
HEARTBEAT_MS = 150.0
ELECTION_TIMEOUT_MS = 600.0

ListUpstreams = Callable[[], Awaitable[tuple[UpstreamInstance, ...] | None]]


@frozen
class ControlHooks:
    """Functions of one deployment that a control node calls.

    ``operator_app`` returns the ASGI application for operators. ``list_upstreams`` returns the
    current list of upstreams, or None if it cannot be read now. ``reload`` reads the settings
    again, or returns None if they are not usable now. ``stream_services`` returns the services that
    the resumable streams of an accepted document may use, ``scale_bounds`` the bounds within which
    it lets the router order upstreams. ``call_platform`` sends a call and returns the status of its
    answer, or 0 if there was none or the call was no longer allowed.
    """

    operator_app: Callable[[ControlProcess], Any]
    list_upstreams: ListUpstreams
    reload: Callable[[], ControlSettings | None]
    stream_services: StreamServices
    scale_bounds: Callable[[bytes], tuple[ScaleBounds, ...]]
    call_platform: Callable[[CallPlatform], Awaitable[int]]
    settings_path: Path | None = None


@define(eq=False)
class ControlProcess:
    """Run one control node: its core with the sockets, files and timers that it uses."""

    settings: ControlSettings
    hooks: ControlHooks
    clock: Clock
    metrics: Metrics = field(factory=Metrics)
    node: ControlNode = field(init=False)
    driver: Driver = field(init=False)
    transport: Transport = field(init=False)
    draining: bool = False
    _pending: PendingRequests = field(init=False)
    _write_sender: Any = None
    _stop: anyio.Event = field(factory=anyio.Event)
    _handed_over: anyio.Event = field(factory=anyio.Event)
    _boot_id: str = field(factory=lambda: secrets.token_hex(4))
    _request_count: int = 0
    _reads: SharedCall[VersionedDocument | None] = field(init=False)
    _newest: VersionedDocument | None = None
    _calls: anyio.abc.TaskGroup = field(init=False)
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Build the core, the driver and the transport."""
        cfg = self.settings
        identity = ControlIdentity(cfg.node, cfg.seeds, cfg.bootstrap, cfg.target_voters)
        self.node = ControlNode(
            identity, secrets.randbits(64), self.hooks.stream_services, self._duty_options()
        )
        outputs = Outputs(
            send=self._send,
            emit=self._emit,
            count=self.metrics.record,
            handle_other=self._handle_effect,
            handlers=dict.fromkeys(STORAGE_EFFECTS, self._write),
        )
        self.driver = Driver(self.node, self.clock, outputs)
        self._pending = PendingRequests(self.driver.post)
        self._reads = SharedCall(self._read)
        self.transport = addressed_transport(cfg.node, self.driver.post, self.metrics.record)

    def _duty_options(self) -> DutyOptions | None:
        """Return the duties towards the platform, or None if the settings name none."""
        cfg = self.settings
        if not cfg.usage_window_ms and not cfg.orders_upstreams:
            return None
        options = DutyOptions(
            cfg.holder, self._boot_id, max(MIN_LEASE_MS, cfg.duty_lease_ms), cfg.usage_window_ms
        )
        if cfg.orders_upstreams:
            options = evolve(options, scale_bounds=self.hooks.scale_bounds)
        return options

    # Handlers for the effects of the core.

    def _send(self, effect: Send) -> None:
        self.transport.send(effect.to, effect.message)

    def _emit(self, event: Emit) -> None:
        log_event(self._log, event)

    def _write(self, effect: Any) -> None:
        if self._write_sender is not None:
            self._write_sender.send_nowait(effect)

    def _handle_effect(self, effect: Any) -> None:
        match effect:
            case ProposalDone(proposal_id=proposal_id, result=result):
                self._pending.resolve(proposal_id, result)
            case QueryDone(query_id=query_id, result=result):
                self._pending.resolve(query_id, result)
            case HandoverDone():
                self._handed_over.set()
            case CallPlatform():
                self._calls.start_soon(self._call_platform, effect)

    async def _call_platform(self, call: CallPlatform) -> None:
        status = await call_or_log(
            lambda: self.hooks.call_platform(call), "call_platform", self._log, self.metrics.record
        )
        self.driver.post(PlatformAnswered(call.ticket, status or 0))

    # Requests of operators.

    async def replace(self, version: int, document: bytes) -> ReplaceResult | None:
        """Propose a document and wait for the result; None if its outcome is unknown."""
        change_id = self._new_request_id("replace")
        command = ReplaceDocument(version, document)
        self._log.info("change_proposed", change_id=change_id, version=version, size=len(document))
        result = await self._pending.ask(
            change_id, SubmitProposal(change_id, command, APPLY_TIMEOUT_MS)
        )
        status = result.status.value if isinstance(result, ReplaceResult) else "unanswered"
        self._log.info("change_answered", change_id=change_id, version=version, status=status)
        return result if isinstance(result, ReplaceResult) else None

    def log_refusal(self, reason: str) -> None:
        """Log a change that was refused before it was proposed."""
        self._log.info("change_refused", reason=reason)

    async def read(self) -> VersionedDocument | None:
        """Return the newest document confirmed by a quorum; None if no quorum answered.

        Reads that wait for the one in progress share the next one, and all get the same object, so
        that any number of them holds one copy.
        """
        return await self._reads.get()

    async def _read(self) -> VersionedDocument | None:
        query_id = self._new_request_id("read")
        result = await self._pending.ask(query_id, read_document(query_id, READ_TIMEOUT_MS))
        if result is None:
            self._log.info("read_unconfirmed", change_id=query_id)
            return None
        decoded = codec.decode(result)
        newest = decoded.unwrap() if isinstance(decoded, Success) else None
        if not isinstance(newest, VersionedDocument):
            return None
        if newest != self._newest:
            self._newest = newest
        return self._newest

    def _new_request_id(self, kind: str) -> str:
        self._request_count += 1
        return f"{kind} {self.settings.node} {self._boot_id} {self._request_count}"

    # Handlers for signals and for changes of the settings file.

    def _terminate(self) -> None:
        if not self.draining:
            self.draining = True
            self.driver.post(LeaveLog())
            self._stop.set()

    def _reload(self) -> None:
        settings = self.hooks.reload()
        self._log.info("settings_reloaded", usable=settings is not None)
        if settings is not None:
            self.settings = evolve(self.settings, seeds=settings.seeds)
            self.driver.post(ControlAddresses(settings.seeds))

    # Background tasks.

    async def run(self) -> None:
        """Run until stopped; raise OSError if an address is in use."""
        cfg = self.settings
        async with anyio.create_task_group() as tasks:
            self._calls = tasks
            tasks.start_soon(handle_signals, self._terminate, self._reload)
            await tasks.start(self.transport.run)
            await tasks.start(self.driver.run)
            if cfg.data_folder is not None:
                tasks.start_soon(self._supervise_replica, cfg.data_folder)
                tasks.start_soon(self._post_wall_time)
            stop_serving = anyio.Event()
            operator_sockets = [listen_at(address) for address in cfg.operator_addresses]
            callers = CallerTable(
                cfg.limits, self.clock, self.metrics.record, self.transport.descriptors
            )
            app = self.hooks.operator_app(self)
            await tasks.start(serve, app, operator_sockets, stop_serving, None, callers)
            tasks.start_soon(self._poll_upstreams)
            if self.hooks.settings_path is not None:
                tasks.start_soon(watch_file, self.hooks.settings_path, self._reload)
            self._log.info("node_started", control=list(cfg.seeds))
            await self._stop.wait()
            self._log.info("node_stopping")
            stop_serving.set()
            await self._hand_over()
            await anyio.sleep(LINGER_MS / MS_PER_SECOND)
            self._log.info("node_stopped")
            tasks.cancel_scope.cancel()

    async def _hand_over(self) -> None:
        """Wait until a spare, if there is one, has taken the place of the replica."""
        began_ms = self.clock.now_ms()
        with anyio.move_on_after(HANDOVER_SHARE * self.settings.grace_ms / MS_PER_SECOND):
            await self._handed_over.wait()
        took_ms = round(self.clock.now_ms() - began_ms)
        self._log.info("handover_ended", complete=self._handed_over.is_set(), took_ms=took_ms)

    async def _supervise_replica(self, path: Path) -> None:
        """Run the replica; open its data folder again after a failure."""
        while True:
            try:
                folder = disk.open_folder(path, self.settings.node)
                try:
                    await self._run_replica(folder)
                finally:
                    folder.close()
            except (OSError, StorageError) as exc:
                self._log.info("folder_unusable", reason=str(exc))
            await anyio.sleep(REOPEN_INTERVAL_MS / MS_PER_SECOND)

    async def _run_replica(self, folder: disk.Folder) -> None:
        """Run the replica until a write to its data folder fails."""
        cfg = self.settings
        store = Store(_refuse_documents)
        try:
            recovered = folder.load()
        except (OSError, StorageError) as exc:
            self._log.info("folder_unreadable", reason=str(exc))
            return
        log = open_log(
            folder.replica,
            recovered,
            store,
            random.Random(secrets.randbits(64)),
            self.clock.now_ms(),
            options=LogOptions(
                heartbeat_ms=HEARTBEAT_MS,
                election_timeout_ms=ELECTION_TIMEOUT_MS,
                target_voters=cfg.target_voters,
            ),
            contacts=self.settings.seeds,
        )
        self._write_sender, effects = anyio.create_memory_object_stream[Any](WRITE_QUEUE_BATCHES)
        self.driver.post(ReplicaOpened(ControlReplica(log, store), store))
        self._log.info("replica_opened", incarnation=folder.replica.incarnation)
        try:
            await disk.perform_effects(folder, effects, self._handle_disk_result)
        finally:
            self._write_sender = None
            self.driver.post(ReplicaClosed())
            self._log.info("replica_closed", reason=folder.failure)

    async def _handle_disk_result(self, event: Any) -> None:
        if isinstance(event, LogFailed):
            self._write_sender = None
        self.driver.post(event)

    async def _post_wall_time(self) -> None:
        while True:
            self.driver.post(WallTime(self.clock.wall_ms()))
            await anyio.sleep(WALL_CLOCK_INTERVAL_MS / MS_PER_SECOND)

    async def _poll_upstreams(self) -> None:
        """Poll the list of upstreams while this node is the leader."""
        while True:
            wait_ms = LEADER_CHECK_MS
            if self.node.publisher.leads(self.clock.now_ms()):
                asked_ms = self.clock.now_ms()
                instances = await call_or_log(
                    self.hooks.list_upstreams, "list_upstreams", self._log, self.metrics.record
                )
                if instances is not None:
                    self.driver.post(InstancesListed(instances, asked_ms))
                wait_ms = LIST_RETRY_MS if instances is None else LIST_INTERVAL_MS
            await anyio.sleep(wait_ms / MS_PER_SECOND)


def _refuse_documents(_document: bytes) -> ConfigCheck:
    """Reject documents of the product's own format, which this node does not serve."""
    return ConfigCheck("This deployment takes versioned routes only.")
