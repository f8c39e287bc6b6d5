"""Measurements of the replicated log: commits of claims, and restarts after many changes.

Three replicas run in one process with real files in a temporary folder and pass encoded messages
to each other in memory. Processor time therefore covers all three replicas and the claimants.
"""

from __future__ import annotations

import math
import tempfile
import time
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import Factory, define

from goldcrestridge_core import codec
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_state import LogOptions
from goldcrestridge_core.log_types import (
    LogSynced,
    Propose,
    ProposeReply,
    TruncateLog,
    WallTime,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import ApplyConfig, BeginClaim, ClaimState
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_node.disk import Folder, open_folder, perform_effects

CLAIMANT = NodeId("claimant")
NODES = (NodeId("n0"), NodeId("n1"), NodeId("n2"))
IN_FLIGHT = (1, 16, 256)
CHANGES = (100, 1_000, 100_000)
DOCUMENT_BYTES = 1024
ENDLESS = 10**9
TIMEOUT_S = 300.0
NO_TOKEN = 0  # The log never gives this token, and ignores its answer.

Figures = dict[str, float]


def now_ms() -> float:
    """Return monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def accept(_: bytes) -> ConfigCheck:
    """Accept every document."""
    return ConfigCheck()


@define
class Process:
    """One replica with its folder and queues."""

    role: ControlReplica
    folder: Folder
    inbox: MemoryObjectSendStream[Any]
    events: MemoryObjectReceiveStream[Any]
    disk: MemoryObjectSendStream[Any]
    effects: MemoryObjectReceiveStream[Any]
    peers: dict[NodeId, Process] = Factory(dict)
    waiting: dict[str, anyio.Event] = Factory(dict)
    leading: anyio.Event = Factory(anyio.Event)
    one_sync_each: bool = False
    sent_bytes: int = 0
    granted: int = 0

    async def run(self) -> None:
        """Handle events and deadlines until cancelled."""
        while True:
            deadline_ms = self.role.next_deadline_ms()
            wait_s = math.inf if deadline_ms is None else max(0.0, deadline_ms - now_ms()) / 1000.0
            event: Any = Tick()
            with anyio.move_on_after(wait_s):
                event = await self.events.receive()
            effects = self.role.handle(event, now_ms())
            if self.role.log.leads:
                self.leading.set()
            for effect in effects:
                if isinstance(effect, Send):
                    self.send(effect)
                elif isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                    self.write(effect)

    def write(self, effect: WriteLog | WriteSnapshot | TruncateLog) -> None:
        """Pass an effect to the disk; for the baseline as one sync for each record."""
        if self.one_sync_each and isinstance(effect, WriteLog):
            for record in effect.records[:-1]:
                self.disk.send_nowait(WriteLog((record,), NO_TOKEN))
            effect = WriteLog(effect.records[-1:], effect.token)
        self.disk.send_nowait(effect)

    def send(self, effect: Send) -> None:
        """Pass an encoded message on, or wake the claimant."""
        data = codec.encode(effect.message)
        self.sent_bytes += len(data)
        message = codec.decode(data).unwrap()
        if effect.to in self.peers:
            self.peers[effect.to].inbox.send_nowait(Receive(self.role.log.state.me.node, message))
        elif isinstance(message, ProposeReply) and message.proposal_id in self.waiting:
            state = codec.decode(message.result).unwrap().state
            self.granted += int(state is ClaimState.GRANTED)
            self.waiting.pop(message.proposal_id).set()


def new_process(path: Path, node: NodeId, seed: int) -> Process:
    """Start a replica in an empty folder."""
    folder = open_folder(path / node, node)
    store = Store(accept)
    log = open_log(folder.replica, folder.load(), store, Random(seed), now_ms(), NODES)
    inbox, events = anyio.create_memory_object_stream[Any](math.inf)
    disk, effects = anyio.create_memory_object_stream[Any](math.inf)
    inbox.send_nowait(WallTime(time.time() * 1000.0))
    return Process(ControlReplica(log, store), folder, inbox, events, disk, effects)


async def _claim(leader: Process, names: list[str], latencies_ms: list[float]) -> None:
    """Make claims one after the other until all names are taken."""
    while names:
        name = names.pop()
        command = BeginClaim("workspace", "orders", name, "digest" * 10, time.time() * 1000, name)
        done = anyio.Event()
        leader.waiting[name] = done
        begun_ms = now_ms()
        data = codec.encode(Propose(name, codec.encode(command)))
        leader.sent_bytes += len(data)
        leader.inbox.send_nowait(Receive(CLAIMANT, codec.decode(data).unwrap()))
        await done.wait()
        latencies_ms.append(now_ms() - begun_ms)


async def _measure_commits(
    path: Path, in_flight: int, count: int, seed: int, one_sync_each: bool
) -> Figures:
    """Make ``count`` claims with a number of them in flight on three replicas."""
    processes = [new_process(path, node, seed + index) for index, node in enumerate(NODES)]
    for process in processes:
        process.peers = dict(zip(NODES, processes, strict=True))
        process.one_sync_each = one_sync_each
    with anyio.fail_after(TIMEOUT_S):
        return await _claim_all(processes, in_flight, count)


async def _claim_all(processes: list[Process], in_flight: int, count: int) -> Figures:
    """Run the replicas, make the claims and collect the figures."""
    leading = anyio.Event()
    for process in processes:
        process.leading = leading
    async with anyio.create_task_group() as group:
        _start(group, processes)
        await leading.wait()
        leader = next(process for process in processes if process.role.log.leads)
        syncs = sum(process.folder.syncs for process in processes)
        sent = sum(process.sent_bytes for process in processes)
        written = sum(process.folder.synced_bytes for process in processes)
        names = [f"key-{number}" for number in range(count)]
        latencies_ms: list[float] = []
        begun_ms, cpu_s = now_ms(), time.process_time()
        async with anyio.create_task_group() as claimants:
            for _ in range(in_flight):
                claimants.start_soon(_claim, leader, names, latencies_ms)
        elapsed_ms, cpu_s = now_ms() - begun_ms, time.process_time() - cpu_s
        latencies_ms.sort()
        figures = {
            "claims_per_second": count * 1000.0 / elapsed_ms,
            "granted_count": float(leader.granted),
            "syncs_per_claim_all_replicas": (sum(p.folder.syncs for p in processes) - syncs)
            / count,
            "latency_p50_ms": latencies_ms[count // 2],
            "latency_p99_ms": latencies_ms[count * 99 // 100],
            "processor_ms_per_claim": cpu_s * 1000.0 / count,
            "sent_bytes_per_claim": (sum(p.sent_bytes for p in processes) - sent) / count,
            "written_bytes_per_claim": (sum(p.folder.synced_bytes for p in processes) - written)
            / count,
        }
        group.cancel_scope.cancel()
    for process in processes:
        process.folder.close()
    return figures


def _start(group: TaskGroup, processes: list[Process]) -> None:
    """Start the role and the disk of each replica."""
    for process in processes:
        group.start_soon(process.run)
        group.start_soon(perform_effects, process.folder, process.effects, process.inbox.send)


def _commits(in_flight: int, count: int, seed: int, one_sync_each: bool) -> Figures:
    """Measure commits in a new temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        return anyio.run(
            partial(_measure_commits, Path(name), in_flight, count, seed, one_sync_each)
        )


def _commit_records(seed: int, long: bool) -> list[dict[str, Any]]:
    """Measure log.commit for each number of claims in flight."""
    records = []
    for in_flight in IN_FLIGHT:
        count = max(400, in_flight * 16) * (8 if long else 1)
        baseline, figures = (_commits(in_flight, count, seed, each) for each in (True, False))
        ratio = figures["claims_per_second"] / baseline["claims_per_second"]
        figures["claims_rate_to_baseline_ratio"] = ratio
        # Three replicas write each claim; with many in flight they share syncs.
        target = {"syncs_per_claim_all_replicas_at_most": 3.5 if in_flight == 1 else 1.0}
        met = (
            figures["syncs_per_claim_all_replicas"]
            <= (target["syncs_per_claim_all_replicas_at_most"])
        )
        complete = figures["granted_count"] == count
        records.append(
            {
                "name": "log.commit",
                "seed": seed,
                "params": {"in_flight": in_flight, "claims": count, "replicas": 3},
                "figures": figures,
                "baseline": baseline,
                "target": target,
                "met": met and complete,
            }
        )
    return records


def _fill(path: Path, count: int, options: LogOptions, seed: int) -> None:
    """Make ``count`` changes in one replica's folder, without syncs to save time."""
    folder = open_folder(path, NODES[0])
    folder.sync = lambda fd: None
    store = Store(accept)
    log = open_log(folder.replica, folder.load(), store, Random(seed), 0.0, NODES[:1], options)
    rng = Random(seed)
    pending: list[Any] = [Tick()]
    time_ms = 0.0
    version = 0
    while version < count or pending:
        if not pending and log.leads:
            document = rng.randbytes(DOCUMENT_BYTES)
            command = ApplyConfig(f"change-{version}", version, "operator", document)
            pending.append(Receive(CLAIMANT, Propose(f"p{version}", codec.encode(command))))
            version += 1
        elif not pending:
            time_ms += 100.0
            pending.append(Tick())
        for effect in log.handle(pending.pop(0), time_ms):
            if isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                folder.perform(effect)
            if isinstance(effect, WriteLog | WriteSnapshot):
                pending.append(LogSynced(effect.token))
    folder.close()


def _measure_restart(path: Path, count: int, seed: int) -> Figures:
    """Open a filled folder and bring the store up to date, as the only voter."""
    read_bytes = sum(file.stat().st_size for file in path.iterdir())
    begun_ms = now_ms()
    folder = open_folder(path, NODES[0])
    store = Store(accept)
    recovered = folder.load()
    loaded_ms = now_ms() - begun_ms
    replayed = len(recovered.entries.items)  # The log compacts this list once it is open.
    log = open_log(folder.replica, recovered, store, Random(seed), 0.0, NODES[:1])
    time_ms = 0.0
    pending: list[Any] = []
    while not (log.leads and store.changes.version == count):
        time_ms += 100.0
        pending.append(Tick())
        while pending:
            for effect in log.handle(pending.pop(0), time_ms):
                if isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                    folder.perform(effect)
                if isinstance(effect, WriteLog | WriteSnapshot):
                    pending.append(LogSynced(effect.token))
    elapsed_ms = now_ms() - begun_ms
    folder.close()
    return {
        "restart_ms": elapsed_ms,
        "load_ms": loaded_ms,
        "folder_bytes": float(read_bytes),
        "loaded_entries_count": float(replayed),
    }


def _restart_records(seed: int) -> list[dict[str, Any]]:
    """Measure log.restart for each number of changes, compacted and not."""
    records = []
    for count in CHANGES:
        figures = {}
        for label, options in (
            ("compacted", LogOptions()),
            ("not_compacted", LogOptions(snapshot_entries=ENDLESS, snapshot_bytes=ENDLESS)),
        ):
            with tempfile.TemporaryDirectory() as name:
                _fill(Path(name) / "data", count, options, seed)
                figures[label] = _measure_restart(Path(name) / "data", count, seed)
        compacted = figures["compacted"]
        target = {"restart_ms_at_most": 3000.0}
        records.append(
            {
                "name": "log.restart",
                "seed": seed,
                "params": {"changes": count, "document_bytes": DOCUMENT_BYTES},
                "figures": compacted,
                "baseline": figures["not_compacted"],
                "target": target,
                "met": compacted["restart_ms"] <= target["restart_ms_at_most"],
            }
        )
    return records


def run(seed: int, long: bool) -> list[dict[str, Any]]:
    """Measure log.commit and log.restart; ``long`` makes eight times as many claims."""
    return _commit_records(seed, long) + _restart_records(seed)
