"""Measure the CPU time per request and per streamed chunk from caller to upstream."""

from __future__ import annotations

import contextlib
import hashlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from statistics import median
from typing import Any

import anyio
import httpcore
import msgspec
import uvicorn
from attrs import frozen

from goldcrestridge_core.clock import Clock
from goldcrestridge_core.documents import Document, encode_document
from goldcrestridge_core.owner import REBUILD_MS
from goldcrestridge_core.store_types import ApplyConfig
from goldcrestridge_lab.asgi import Receive, Scope, Send, read_body
from goldcrestridge_node.disk import open_folder
from goldcrestridge_node.logs import configure_logs
from goldcrestridge_node.process import Process
from goldcrestridge_node.server import listen
from goldcrestridge_node.settings import Settings, parse_settings

KEY = "bench"
TARGET_RATIO = 1.5
WORKSPACES = 1_500  # The design size, at which the look-up of API keys is measured.
US_PER_S = 1e6
POLL_S = 0.05
SETTLE_S = 2 * REBUILD_MS / 1_000.0  # A new owner grants slots only after REBUILD_MS.


@frozen
class Load:
    """One kind of load; the CPU time is reported per ``unit``, a request or a chunk."""

    name: str
    unit: str
    requests: int
    tokens: int
    stream: bool
    parallel: int = 8
    token_ms: float = 0.0


@frozen
class Sample:
    """CPU time of one round and the number of units that it processed."""

    cpu_us: float
    units: int


def loads(long: bool) -> list[Load]:
    """Return the measured loads.

    Each of 8 streams sends a token every 5 ms, so that most chunks are read singly, as in
    production. A faster engine would let both servers read many chunks at once.
    """
    factor = 4 if long else 1
    return [
        Load("path.overhead.request", "request", 600 * factor, 1, stream=False),
        Load("path.overhead.chunk", "chunk", 24 * factor, 100, stream=True, token_ms=5.0),
    ]


def run(seed: int, long: bool) -> list[dict[str, Any]]:
    """Measure the CPU time of a node per request and per chunk against a pass-through proxy."""
    return [anyio.run(measure, load, seed, 7 if long else 5) for load in loads(long)]


async def measure(load: Load, seed: int, rounds: int) -> dict[str, Any]:
    """Measure one load in rounds that alternate between the servers; the first pair is warm-up."""
    with engine_process(load) as address:
        async with node_server(address) as node_url, passthrough_server(address) as passthrough_url:
            pairs = []
            for number in range(rounds + 1):
                passthrough = await sample(passthrough_url, load, seed + number)
                node = await sample(node_url, load, seed + number)
                pairs.append((node, passthrough))
    return record(load, seed, pairs[1:])


def record(load: Load, seed: int, pairs: list[tuple[Sample, Sample]]) -> dict[str, Any]:
    """Return the measurement record of one load."""
    node = [pair[0].cpu_us / pair[0].units for pair in pairs]
    passthrough = [pair[1].cpu_us / pair[1].units for pair in pairs]
    ratios = sorted(
        node_us / passthrough_us for node_us, passthrough_us in zip(node, passthrough, strict=True)
    )
    unit = f"cpu_per_{load.unit}_us"
    figures = {
        unit: round(median(node), 1),
        "ratio_min": round(ratios[0], 3),
        "ratio_median": round(median(ratios), 3),
        "ratio_max": round(ratios[-1], 3),
    }
    return {
        "name": load.name,
        "seed": seed,
        "params": {
            "rounds": len(pairs),
            "requests": load.requests,
            "tokens": load.tokens,
            "parallel": load.parallel,
            "token_ms": load.token_ms,
            "workspaces": WORKSPACES,
            "path": "whole node",
        },
        "figures": figures,
        "baseline": {
            unit: round(median(passthrough), 1),
            "kind": "uvicorn and httpcore pass-through",
        },
        "target": {"ratio_median": TARGET_RATIO},
        "met": figures["ratio_median"] <= TARGET_RATIO,
    }


async def sample(url: str, load: Load, seed: int) -> Sample:
    """Run the load from another process and return the CPU time that this process spent.

    Raise RuntimeError if a request does not complete.
    """
    command = [
        *(sys.executable, "-m", "goldcrestridge_lab.callers", url),
        f"--requests={load.requests}",
        f"--parallel={load.parallel}",
        f"--tokens={load.tokens}",
        f"--seed={seed}",
        f"--key={KEY}",
        *(["--stream"] if load.stream else []),
    ]
    async with await anyio.open_process(command, stderr=None) as process:
        assert process.stdout is not None
        start_s = time.process_time()
        output = b"".join([piece async for piece in process.stdout])
        cpu_us = (time.process_time() - start_s) * US_PER_S
    tally = msgspec.json.decode(output)
    if tally["completed"] != load.requests:
        raise RuntimeError(
            f"{load.name}: only {tally['completed']} of {load.requests} requests completed."
        )
    return Sample(cpu_us, tally["events"] if load.stream else load.requests)


@contextlib.contextmanager
def engine_process(load: Load) -> Iterator[str]:
    """Run the engine stand-in as a process and yield its address."""
    command = [
        *(sys.executable, "-m", "goldcrestridge_lab.engine_http"),
        f"--slots={load.parallel}",
        f"--token-ms={load.token_ms}",
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield process.stdout.readline().strip()
    finally:
        process.terminate()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


@contextlib.asynccontextmanager
async def node_server(engine: str) -> AsyncIterator[str]:
    """Run a complete node (entry, shard owner and the only replica) and yield its URL."""
    with tempfile.TemporaryDirectory() as name:
        settings = node_settings(Path(name))
        folder = open_folder(Path(name) / "data", settings.node)
        configure_logs(settings.node, settings.log_level)
        process = Process(settings, Clock(), folder)
        async with anyio.create_task_group() as group:
            group.start_soon(process.run)
            await apply_and_wait_for_owner(process, engine)
            yield f"http://{settings.caller_address}"
            group.cancel_scope.cancel()
        folder.close()


def node_settings(folder: Path) -> Settings:
    """Return the settings of a single node, with two ports that were free when checked."""
    addresses = []
    for _ in range(2):
        with listen("127.0.0.1", 0) as sock:
            addresses.append("{}:{}".format(*sock.getsockname()[:2]))
    table = {
        "format": 1,
        "node": "bench",
        "data_centre": "dc1",
        "roles": ["entry", "replica"],
        "peer_address": addresses[0],
        "caller_address": addresses[1],
        "data_folder": str(folder / "data"),
    }
    return parse_settings(table, "bench").unwrap()


async def apply_and_wait_for_owner(process: Process, engine: str) -> None:
    """Apply the configuration and wait until the node owns the engine shard and grants slots."""
    document = encode_document(Document(base_configuration(engine), {}, {}))
    result = None
    while result is None:
        result = await process.apply(ApplyConfig("bench", 0, "bench", document))
    while not process.node.owners:  # noqa: ASYNC110 - the core signals no event for a new owner
        await anyio.sleep(POLL_S)
    await anyio.sleep(SETTLE_S)


@contextlib.asynccontextmanager
async def passthrough_server(engine: str) -> AsyncIterator[str]:
    """Run a minimal pass-through proxy and yield its URL."""
    sock = listen("127.0.0.1", 0)
    async with (
        httpcore.AsyncConnectionPool(retries=0, max_connections=64) as pool,
        anyio.create_task_group() as group,
    ):

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            url = f"http://{engine}{scope['path']}"
            body = await read_body(receive)
            length = (b"content-length", b"%d" % len(body))
            headers = [(b"host", engine.encode()), length]
            async with pool.stream("POST", url, headers=headers, content=body) as response:
                forwarded = [
                    (name.lower(), value)
                    for name, value in response.headers
                    if name.lower() in (b"content-type", b"content-length")
                ]
                start = {"type": "http.response.start", "status": response.status}
                await send(start | {"headers": forwarded})
                async for piece in response.aiter_stream():
                    await send({"type": "http.response.body", "body": piece, "more_body": True})
                await send({"type": "http.response.body", "body": b"", "more_body": False})

        config = uvicorn.Config(
            app,
            http="h11",
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
        )
        server = uvicorn.Server(config)
        server.capture_signals = contextlib.nullcontext  # type: ignore[assignment, method-assign]
        group.start_soon(server.serve, [sock])
        yield url_of(sock)
        server.should_exit = True


def url_of(sock: socket.socket) -> str:
    """Return the URL of a listener."""
    host, port = sock.getsockname()[:2]
    return f"http://{host}:{port}"


def base_configuration(engine: str) -> dict[str, Any]:
    """Return a base configuration with the design number of workspaces and one engine."""
    keys = [KEY, *(f"other-{number}" for number in range(1, WORKSPACES))]
    upstream = {"name": "engine", "address": engine, "data_centre": "dc1", "slots": 64}
    return {
        "format": 1,
        "name": "bench",
        "data_centres": {"dc1": {"region": "r"}},
        "classes": {"fast": {"tier": 0, "first_token_ms": 520, "inter_token_ms": 28}},
        "workspaces": {
            key: {
                "class": "fast",
                "keys_sha256": [hashlib.sha256(key.encode()).hexdigest()],
                "models": ["m1"],
            }
            for key in keys
        },
        "pools": {"engines": {"kind": "engine", "upstreams": [upstream]}},
        "models": {"m1": {"pool": "engines"}},
    }
