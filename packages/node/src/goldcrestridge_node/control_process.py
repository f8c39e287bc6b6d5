"""One control node: sockets, files and timers around its core."""

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
    ReplicaClosed,
    ReplicaOpened,
    read_document,
)
from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_core.follow_types import InstancesListed, UpstreamInstance
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.log_types import LogFailed, WallTime
from goldcrestridge_core.queries import QueryDone
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.types import (
    Emit,
    ProposalDone,
    Send,
    SubmitProposal,
)
from goldcrestridge_core.versions import ReplaceDocument, ReplaceResult, VersionedDocument
from goldcrestridge_node import disk
from goldcrestridge_node.logs import logger
from goldcrestridge_node.metrics import Metrics
from goldcrestridge_node.pending import PendingRequests
from goldcrestridge_node.role_settings import ControlSettings
from goldcrestridge_node.runtime import Driver, Outputs
from goldcrestridge_node.server import listen_at, serve
from goldcrestridge_node.tasks import handle_signals, log_event, watch_file
from goldcrestridge_node.transport import Transport, addressed_transport

# A change that was not committed in this time is left open; the operator sends it again.
APPLY_TIMEOUT_MS = 3_000.0
READ_TIMEOUT_MS = 1_500.0
# The list of upstreams is read at this interval by the leader alone: a leaving upstream must be
# known on all entry nodes within 3 s of its appearance on the list.
LIST_INTERVAL_MS = 1_000.0
LIST_RETRY_MS = 300.0
LEADER_CHECK_MS = 50.0
WALL_INTERVAL_MS = 1_000.0
REOPEN_INTERVAL_MS = 500.0
LINGER_MS = 100.0
WRITE_QUEUE = 1_024  # Batches; the log has one in flight, so this is never reached.

# A little slower than the defaults, since each heartbeat costs processor time on small VMs. A
# leader is replaced within 1.5 s, also after all control nodes have restarted.
HEARTBEAT_MS = 150.0
ELECTION_TIMEOUT_MS = 600.0

ListUpstreams = Callable[[], Awaitable[tuple[UpstreamInstance, ...] | None]]


@frozen
class ControlHooks:
    """What a deployment's protocol brings: the operators' pages, the list, the settings.

    ``list_upstreams`` returns the current list, or None if it cannot be read now.
    """

    operator_app: Callable[[ControlProcess], Any]
    list_upstreams: ListUpstreams
    reload: Callable[[], ControlSettings | None]
    settings_path: Path | None = None


@define(eq=False)
class ControlProcess:
    """Sockets, files and timers of one control node."""

    settings: ControlSettings
    hooks: ControlHooks
    clock: Clock
    metrics: Metrics = field(factory=Metrics)
    node: ControlNode = field(init=False)
    driver: Driver = field(init=False)
    transport: Transport = field(init=False)
    draining: bool = False
    _pending: PendingRequests = field(init=False)
    _writes: Any = None
    _stop: anyio.Event = field(factory=anyio.Event)
    _life: str = field(factory=lambda: secrets.token_hex(4))
    _asked: int = 0
    _log: Any = field(factory=logger)

    def __attrs_post_init__(self) -> None:
        """Build the core and connect it with its surroundings."""
        cfg = self.settings
        identity = ControlIdentity(cfg.node, cfg.control, cfg.forms, cfg.voters)
        self.node = ControlNode(identity, secrets.randbits(64))
        outputs = Outputs(
            send=self._send,
            emit=self._emit,
            count=self.metrics.record,
            other=self._other,
            write=self._write,
        )
        self.driver = Driver(self.node, self.clock, outputs)
        self._pending = PendingRequests(self.driver.post)
        self.transport = addressed_transport(cfg.node, self.driver.post, self.metrics.record)

    # Effects of the core.

    def _send(self, effect: Send) -> None:
        self.transport.send(effect.to, effect.message)

    def _emit(self, event: Emit) -> None:
        log_event(self._log, event)

    def _write(self, effect: Any) -> None:
        if self._writes is not None:
            self._writes.send_nowait(effect)

    def _other(self, effect: Any) -> None:
        match effect:
            case ProposalDone(proposal_id=name, result=result):
                self._pending.resolve(name, result)
            case QueryDone(query_id=name, result=result):
                self._pending.resolve(name, result)

    # Operators.

    async def replace(self, version: int, document: bytes) -> ReplaceResult | None:
        """Have a document committed; None means that its fate is open."""
        name = self._name("replace")
        command = ReplaceDocument(version, document)
        self._log.info("change_proposed", change_id=name, version=version, size=len(document))
        result = await self._pending.ask(name, SubmitProposal(name, command, APPLY_TIMEOUT_MS))
        status = result.status.value if isinstance(result, ReplaceResult) else "unanswered"
        self._log.info("change_answered", change_id=name, version=version, status=status)
        return result if isinstance(result, ReplaceResult) else None

    def refused(self, reason: str) -> None:
        """Note that a change was refused before it was proposed."""
        self._log.info("change_refused", reason=reason)

    async def read(self) -> VersionedDocument | None:
        """Return the newest document as confirmed by a quorum; None if none was confirmed."""
        name = self._name("read")
        result = await self._pending.ask(name, read_document(name, READ_TIMEOUT_MS))
        if result is None:
            self._log.info("read_unconfirmed", change_id=name)
            return None
        decoded = codec.decode(result)
        held = decoded.unwrap() if isinstance(decoded, Success) else None
        return held if isinstance(held, VersionedDocument) else None

    def _name(self, kind: str) -> str:
        self._asked += 1
        return f"{kind} {self.settings.node} {self._life} {self._asked}"

    # Signals.

    def _terminate(self) -> None:
        self.draining = True
        self._stop.set()

    def _reload(self) -> None:
        settings = self.hooks.reload()
        self._log.info("settings_reloaded", usable=settings is not None)
        if settings is not None:
            self.settings = evolve(self.settings, control=settings.control)
            self.node.set_seeds(settings.control)

    # Tasks.

    async def run(self) -> None:
        """Serve until stopped; raises OSError if an address is taken."""
        cfg = self.settings
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(handle_signals, self._terminate, self._reload)
            await tasks.start(self.transport.run)
            await tasks.start(self.driver.run)
            if cfg.data_folder is not None:
                tasks.start_soon(self._keep_replica, cfg.data_folder)
                tasks.start_soon(self._tell_wall_time)
            stop_serving = anyio.Event()
            socks = [listen_at(address) for address in cfg.operator_addresses]
            await tasks.start(serve, self.hooks.operator_app(self), socks, stop_serving)
            tasks.start_soon(self._poll_list)
            if self.hooks.settings_path is not None:
                tasks.start_soon(watch_file, self.hooks.settings_path, self._reload)
            self._log.info("node_started", control=list(cfg.control))
            await self._stop.wait()
            self._log.info("node_stopping")
            stop_serving.set()
            await anyio.sleep(LINGER_MS / MS_PER_SECOND)
            self._log.info("node_stopped")
            tasks.cancel_scope.cancel()

    async def _keep_replica(self, path: Path) -> None:
        """Run the replica, and open its folder again after a failed write."""
        while True:
            try:
                folder = disk.open_folder(path, self.settings.node)
            except (OSError, StorageError) as exc:
                self._log.info("folder_unusable", reason=str(exc))
            else:
                try:
                    await self._run_replica(folder)
                finally:
                    folder.close()
            await anyio.sleep(REOPEN_INTERVAL_MS / MS_PER_SECOND)

    async def _run_replica(self, folder: disk.Folder) -> None:
        """Run a replica until a write fails."""
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
                target_voters=cfg.voters,
            ),
            contacts=self.settings.control,
        )
        self._writes, written = anyio.create_memory_object_stream[Any](WRITE_QUEUE)
        self.driver.post(ReplicaOpened(ControlReplica(log, store), store))
        self._log.info("replica_opened", incarnation=folder.replica.incarnation)
        try:
            await disk.serve(folder, written, self._disk_answered)
        finally:
            self._writes = None
            self.driver.post(ReplicaClosed())
            self._log.info("replica_closed", reason=folder.failure)

    async def _disk_answered(self, event: Any) -> None:
        if isinstance(event, LogFailed):
            self._writes = None
        self.driver.post(event)

    async def _tell_wall_time(self) -> None:
        while True:
            self.driver.post(WallTime(self.clock.wall_ms()))
            await anyio.sleep(WALL_INTERVAL_MS / MS_PER_SECOND)

    async def _poll_list(self) -> None:
        """Read the list of upstreams while this node leads."""
        while True:
            wait_ms = LEADER_CHECK_MS
            if self.node.publisher.leads(self.clock.now_ms()):
                instances = await self.hooks.list_upstreams()
                if instances is not None:
                    self.driver.post(InstancesListed(instances))
                wait_ms = LIST_RETRY_MS if instances is None else LIST_INTERVAL_MS
            await anyio.sleep(wait_ms / MS_PER_SECOND)


def _refuse_documents(_document: bytes) -> ConfigCheck:
    """Refuse documents of the product's own format, which this node does not serve."""
    return ConfigCheck("This deployment takes versioned routes only.")
