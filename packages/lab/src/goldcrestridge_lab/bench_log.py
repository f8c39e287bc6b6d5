"""Measure the replicated log: commits of claims, and restarts after many changes.

For commits, three replicas run in one process with real files in a temporary folder and pass
encoded messages to each other in memory. Processor time therefore covers all three replicas and
the claimants.
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
IN_FLIGHT_COUNTS = (1, 16, 256)
CHANGE_COUNTS = (100, 1_000, 100_000)
DOCUMENT_BYTES = 1024
UNLIMITED = 10**9
TIMEOUT_S = 300.0
IGNORED_TOKEN = 0  # The log never assigns this token and ignores its LogSynced.

Figures = dict[str, float]


def now_ms() -> float:
    """Return monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def accept_document(_: bytes) -> ConfigCheck:
    """Accept every document."""
    return ConfigCheck()


@define
class Process:
    """One replica with its folder and queues.

    ``inbox`` and ``events`` are the two ends of the event queue, ``disk`` and ``effects`` those of
    the disk queue. ``sync_each_record`` selects the baseline, which syncs every record separately.
    """

    role: ControlReplica
    folder: Folder
    inbox: MemoryObjectSendStream[Any]
    events: MemoryObjectReceiveStream[Any]
    disk: MemoryObjectSendStream[Any]
    effects: MemoryObjectReceiveStream[Any]
    peers: dict[NodeId, Process] = Factory(dict)
    pending_claims: dict[str, anyio.Event] = Factory(dict)
    elected: anyio.Event = Factory(anyio.Event)
    sync_each_record: bool = False
    sent_bytes: int = 0
    granted: int = 0

    async def run(self) -> None:
        """Process events and deadlines until cancelled."""
        while True:
            deadline_ms = self.role.next_deadline_ms()
            wait_s = math.inf if deadline_ms is None else max(0.0, deadline_ms - now_ms()) / 1000.0
            event: Any = Tick()
            with anyio.move_on_after(wait_s):
                event = await self.events.receive()
            effects = self.role.handle(event, now_ms())
            if self.role.log.leads:
                self.elected.set()
            for effect in effects:
                if isinstance(effect, Send):
                    self.send(effect)
                elif isinstance(effect, WriteLog | WriteSnapshot | TruncateLog):
                    self.write(effect)

    def write(self, effect: WriteLog | WriteSnapshot | TruncateLog) -> None:
        """Queue an effect for the disk; the baseline splits a write into one per record."""
        if self.sync_each_record and isinstance(effect, WriteLog):
            for record in effect.records[:-1]:
                self.disk.send_nowait(WriteLog((record,), IGNORED_TOKEN))
            effect = WriteLog(effect.records[-1:], effect.token)
        self.disk.send_nowait(effect)

    def send(self, effect: Send) -> None:
        """Encode a message and deliver it to a peer, or complete the claim that it answers."""
        data = codec.encode(effect.message)
        self.sent_bytes += len(data)
        message = codec.decode(data).unwrap()
        if effect.to in self.peers:
            self.peers[effect.to].inbox.send_nowait(Receive(self.role.log.state.own.node, message))
        elif isinstance(message, ProposeReply) and message.proposal_id in self.pending_claims:
            state = codec.decode(message.result).unwrap().state
            self.granted += int(state is ClaimState.GRANTED)
            self.pending_claims.pop(message.proposal_id).set()


def new_process(path: Path, node: NodeId, seed: int) -> Process:
    """Return a replica with an empty folder."""
    folder = open_folder(path / node, node)
    store = Store(accept_document)
    log = open_log(folder.replica, folder.load(), store, Random(seed), now_ms(), NODES)
    inbox, events = anyio.create_memory_object_stream[Any](math.inf)
    disk, effects = anyio.create_memory_object_stream[Any](math.inf)
    inbox.send_nowait(WallTime(time.time() * 1000.0))
    return Process(ControlReplica(log, store), folder, inbox, events, disk, effects)


async def _claim(leader: Process, keys: list[str], latencies_ms: list[float]) -> None:
    """Make claims one at a time until no keys are left, and record their latencies."""
    while keys:
        key = keys.pop()
        command = BeginClaim("workspace", "orders", key, "digest" * 10, time.time() * 1000, key)
        done = anyio.Event()
        leader.pending_claims[key] = done
        start_ms = now_ms()
        data = codec.encode(Propose(key, codec.encode(command)))
        leader.sent_bytes += len(data)
        leader.inbox.send_nowait(Receive(CLAIMANT, codec.decode(data).unwrap()))
        await done.wait()
        latencies_ms.append(now_ms() - start_ms)


async def _measure_commits(
    path: Path, in_flight: int, count: int, seed: int, sync_each_record: bool
) -> Figures:
    """Make ``count`` claims on three replicas, ``in_flight`` of them at a time."""
    processes = [new_process(path, node, seed + index) for index, node in enumerate(NODES)]
    for process in processes:
        process.peers = dict(zip(NODES, processes, strict=True))
        process.sync_each_record = sync_each_record
    with anyio.fail_after(TIMEOUT_S):
        return await _claim_all(processes, in_flight, count)


async def _claim_all(processes: list[Process], in_flight: int, count: int) -> Figures:
    """Run the replicas until one leads, make the claims and return the figures."""
    elected = anyio.Event()
    for process in processes:
        process.elected = elected
    async with anyio.create_task_group() as group:
        _start_processes(group, processes)
        await elected.wait()
        leader = next(process for process in processes if process.role.log.leads)
        syncs_before = sum(process.folder.syncs for process in processes)
        sent_before = sum(process.sent_bytes for process in processes)
        written_before = sum(process.folder.synced_bytes for process in processes)
        keys = [f"key-{number}" for number in range(count)]
        latencies_ms: list[float] = []
        start_ms, cpu_s = now_ms(), time.process_time()
        async with anyio.create_task_group() as claimants:
            for _ in range(in_flight):
                claimants.start_soon(_claim, leader, keys, latencies_ms)
        elapsed_ms, cpu_s = now_ms() - start_ms, time.process_time() - cpu_s
        latencies_ms.sort()
        figures = {
            "claims_per_second": count * 1000.0 / elapsed_ms,
            "granted_count": float(leader.granted),
            "syncs_per_claim_all_replicas": (sum(p.folder.syncs for p in processes) - syncs_before)
            / count,
            "latency_p50_ms": latencies_ms[count // 2],
            "latency_p99_ms": latencies_ms[count * 99 // 100],
            "processor_ms_per_claim": cpu_s * 1000.0 / count,
            "sent_bytes_per_claim": (sum(p.sent_bytes for p in processes) - sent_before) / count,
            "written_bytes_per_claim": (
                sum(p.folder.synced_bytes for p in processes) - written_before
            )
            / count,
        }
        group.cancel_scope.cancel()
    for process in processes:
        process.folder.close()
    return figures


def _start_processes(group: TaskGroup, processes: list[Process]) -> None:
    """Start the role and the disk task of each replica."""
    for process in processes:
        group.start_soon(process.run)
        group.start_soon(perform_effects, process.folder, process.effects, process.inbox.send)


def _run_commits(in_flight: int, count: int, seed: int, sync_each_record: bool) -> Figures:
    """Measure commits in a new temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        return anyio.run(
            partial(_measure_commits, Path(name), in_flight, count, seed, sync_each_record)
        )


def _commit_records(seed: int, long: bool) -> list[dict[str, Any]]:
    """Return a log.commit record for each number of claims in flight."""
    records = []
    for in_flight in IN_FLIGHT_COUNTS:
        count = max(400, in_flight * 16) * (8 if long else 1)
        baseline, figures = (
            _run_commits(in_flight, count, seed, sync_each) for sync_each in (True, False)
        )
        ratio = figures["claims_per_second"] / baseline["claims_per_second"]
        figures["claims_rate_to_baseline_ratio"] = ratio
        # All three replicas write each claim; claims in flight at the same time share syncs.
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


def _fill_folder(path: Path, count: int, options: LogOptions, seed: int) -> None:
    """Make ``count`` changes in the folder of one replica; syncs are off to save time."""
    folder = open_folder(path, NODES[0])
    folder.sync = lambda fd: None
    store = Store(accept_document)
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
    """Measure a restart of the only voter: open its folder and replay until all changes apply."""
    folder_bytes = sum(file.stat().st_size for file in path.iterdir())
    start_ms = now_ms()
    folder = open_folder(path, NODES[0])
    store = Store(accept_document)
    recovered = folder.load()
    loaded_ms = now_ms() - start_ms
    loaded_entries = len(recovered.entries.items)  # Once open, the log compacts this list.
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
    elapsed_ms = now_ms() - start_ms
    folder.close()
    return {
        "restart_ms": elapsed_ms,
        "load_ms": loaded_ms,
        "folder_bytes": float(folder_bytes),
        "loaded_entries_count": float(loaded_entries),
    }


def _restart_records(seed: int) -> list[dict[str, Any]]:
    """Return a log.restart record for each number of changes, with and without compaction."""
    records = []
    for count in CHANGE_COUNTS:
        figures = {}
        for label, options in (
            ("compacted", LogOptions()),
            ("not_compacted", LogOptions(snapshot_entries=UNLIMITED, snapshot_bytes=UNLIMITED)),
        ):
            with tempfile.TemporaryDirectory() as name:
                _fill_folder(Path(name) / "data", count, options, seed)
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
