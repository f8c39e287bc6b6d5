"""Three VMs on loopback addresses, each with a control and an entry process, and their platform."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import httpcore
from attrs import define, field, frozen

CALLERS, READY, DIRECTORY, OPERATORS = 8227, 8220, 8224, 8229
ENTRY_METRICS, CONTROL_METRICS, FIRST_PEER_PORT, PLATFORM, UPSTREAM = 9464, 9465, 7340, 8223, 8100
PORTS = (
    CALLERS,
    READY,
    DIRECTORY,
    OPERATORS,
    ENTRY_METRICS,
    CONTROL_METRICS,
    FIRST_PEER_PORT,
    FIRST_PEER_PORT + 1,
)
ENTRY, CONTROL = "entry", "control"
# The smallest VM of the users' sites has this much memory. A process may use all descriptors but
# those that the platform reserves.
MEMORY_MB = 88
MAX_DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 200
DESCRIPTORS_FOR_THOUSANDS = 4_100
HOST, KEY = "crowds.example", "a-key-of-the-workspace"
# A service with one upstream that the test starts, which may send bytes without end.
FAULTY = "faulty"
FAULTY_TIMEOUT_MS = 4_000
WAIT_S = 60.0
POLL_S = 0.1
REQUEST_TIMEOUT_S = 20.0
LARGEST_BODY_BYTES = 4_194_304
REQUEST_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


def manifest(version: int, workspaces: int) -> bytes:
    """Return a document with one route, one service and a number of workspaces."""
    names = [f"workspace-{number:05d}" for number in range(workspaces)]
    tenants = [
        {"name": name, "api_keys": [f"key-{name}-{'x' * 24}"], "priority": 1} for name in names
    ]
    tenants[0]["api_keys"] = [KEY]
    route = {
        "name": "data",
        "host": HOST,
        "path_prefix": "/data/",
        "kind": "idempotent",
        "timeout_ms": 20_000,
        "target_latency_ms": 1_000,
        "priority": 1,
        "service": "app",
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    faulty = {
        "name": "faulty",
        "path_prefix": "/faulty/",
        "service": FAULTY,
        "timeout_ms": FAULTY_TIMEOUT_MS,
    }
    stream = {"name": "stream", "path_prefix": "/stream/", "kind": "streaming"}
    services = [
        {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}
        for name in ("app", FAULTY)
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": LARGEST_BODY_BYTES,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    value = {
        "version": version,
        "routes": [route, {**route, **faulty}, {**route, **faulty, **stream}],
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }
    return json.dumps(value).encode()


@define(eq=False)
class Platform:
    """The list of upstreams and one upstream, whose answers have the size that the query names.

    ``faulty`` returns the bytes with which the upstream of the other service begins an answer to a
    request id, and those that it sends after them without end. ``endless_list`` are the same for
    the list, once it is set.
    """

    ip: str
    faulty: Callable[[bytes], tuple[bytes, bytes]] = lambda _request_id: (b"", b"")
    endless_list: tuple[bytes, bytes] | None = None
    _loop: asyncio.AbstractEventLoop = field(factory=asyncio.new_event_loop)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Serve in a thread of its own."""
        started = threading.Event()

        async def serve() -> None:
            await asyncio.start_server(self._serve_list, self.ip, PLATFORM)
            await asyncio.start_server(self._serve_upstream, self.ip, UPSTREAM)
            await asyncio.start_server(self._serve_faulty, self.ip, UPSTREAM + 1)
            started.set()

        def run() -> None:
            self._loop.run_until_complete(serve())
            self._loop.run_forever()

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()
        assert started.wait(WAIT_S)

    def stop(self) -> None:
        """Stop the thread."""

        def end_tasks() -> None:
            for task in asyncio.all_tasks(self._loop):
                task.cancel()
            self._loop.call_soon(self._loop.stop)

        self._loop.call_soon_threadsafe(end_tasks)
        if self._thread is not None:
            self._thread.join()
        self._loop.close()

    async def _serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        entry = {
            "id": "i-1",
            "service": "app",
            "address": f"{self.ip}:{UPSTREAM}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "born": 1,
        }
        other = {"id": "i-2", "service": FAULTY, "address": f"{self.ip}:{UPSTREAM + 1}"}
        body = json.dumps({"instances": [entry, {**entry, **other}], "next": None}).encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self.endless_list is not None:
                    await _write_endless(writer, *self.endless_list)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _serve_faulty(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            named = re.search(rb"(?i)x-goldcrestridge-request-id: (\S+)", head)
            await _write_endless(writer, *self.faulty(named[1] if named else b""))
        writer.close()

    async def _serve_upstream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                if headers.get("transfer-encoding") == "chunked":
                    while size := int(await reader.readline(), 16):
                        await reader.readexactly(size + 2)
                    await reader.readline()
                else:
                    await reader.readexactly(int(headers.get("content-length", "0")))
                size = int(lines[0].split()[1].partition("bytes=")[2] or "20")
                request_id = headers.get("x-goldcrestridge-request-id", "")
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n"
                    b"x-goldcrestridge-server-stamp: signed\r\n"
                    b"x-goldcrestridge-request-id: %b\r\n\r\n"
                    % (size, request_id.encode())
                    + b"x" * size
                )
                await writer.drain()
        writer.close()


async def _write_endless(writer: asyncio.StreamWriter, first: bytes, endless: bytes) -> None:
    """Write bytes without end; raise OSError once the connection is closed."""
    writer.write(first)
    while endless:
        writer.write(endless)
        await writer.drain()


@frozen
class Usage:
    """Highest resident memory in megabytes, and highest number of descriptors seen."""

    memory_mb: float
    descriptors: int


@define(eq=False)
class Observed:
    """A process of the VM under observation."""

    process: subprocess.Popen[bytes]
    log: Path
    descriptors: int = 0

    def sample(self) -> None:
        """Record the number of open descriptors."""
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.descriptors = max(self.descriptors, count)

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.process.poll() is None

    def usage(self) -> Usage:
        """Return what the process has used so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        peak_kib = next(int(ln.split()[1]) for ln in status.splitlines() if ln.startswith("VmHWM"))
        return Usage(peak_kib * 1024 / 1e6, self.descriptors)


def wait_until(state: str, condition: Callable[[], Any]) -> Any:
    """Poll a condition until it holds, and return its result."""
    deadline_s = time.monotonic() + WAIT_S
    last: Any = None
    while time.monotonic() < deadline_s:
        try:
            last = condition()
            if last:
                return last
        except REQUEST_ERRORS as exc:
            last = exc
        time.sleep(POLL_S)
    raise AssertionError(f"Not reached within {WAIT_S} s: {state}; last result {last!r}")


@define(eq=False)
class Vm:
    """One VM with both processes; ``descriptors`` is the limit that its settings name.

    The log needs three replicas, so two more VMs run beside it.
    """

    folder: Path
    ips: tuple[str, ...]
    platform_ip: str
    number: int = 0
    descriptors: int = MAX_DESCRIPTORS
    memory_mb: int = MEMORY_MB
    platform: Platform | None = None
    processes: dict[str, Observed] = field(factory=dict)

    @property
    def ip(self) -> str:
        """Return the address of the VM."""
        return self.ips[self.number]

    def settings(self, role: str) -> dict[str, Any]:
        """Return the settings of a process as the platform writes them."""
        ip = self.ip
        listen = (
            {"control": f"{ip}:{OPERATORS}"}
            if role == CONTROL
            else {
                "front": f"{ip}:{CALLERS}",
                "ready": f"{ip}:{READY}",
                "directory": f"{ip}:{DIRECTORY}",
            }
        )
        return {
            "node": f"vm-{self.number}",
            "ip": ip,
            "zone": "z1",
            "listen": listen,
            "port_range": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            "seeds": [f"{seed}:{OPERATORS}" for seed in self.ips],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": self.memory_mb,
                "max_fds": self.descriptors,
            },
            "data_dir": str(self.folder) if role == CONTROL else None,
            "bounds": {"grace_s": 8, "revoke_strict": True, "revoke_ms": 5_000},
            "tolerate": {"machines": 1},
            "cloud": {"address": f"{self.platform_ip}:{PLATFORM}", "lag_ms": 100},
        }

    def start(self, role: str) -> None:
        """Start the process of a role."""
        port = ENTRY_METRICS if role == ENTRY else CONTROL_METRICS
        path = self.folder.with_name(f"{self.folder.name}-{role}.json")
        path.write_text(json.dumps(self.settings(role)), encoding="utf-8")
        log = path.with_suffix(".log")
        command = (sys.executable, "-m", "goldcrestridge_platform", role)
        with log.open("ab") as output:
            process = subprocess.Popen(
                [*command, f"--settings={path}", f"--metrics-port={port}"],
                stdout=output,
                stderr=output,
            )
        self.processes[role] = Observed(process, log)

    def stop(self) -> None:
        """Kill the processes."""
        for observed in self.processes.values():
            observed.process.kill()
            observed.process.wait()

    def sample(self) -> None:
        """Record the descriptors of the processes."""
        for observed in self.processes.values():
            observed.sample()

    def request(
        self, method: str, port: int, target: str, body: bytes = b"", key: str = ""
    ) -> httpcore.Response:
        """Send one request on a connection of its own."""
        headers: list[tuple[bytes | str, bytes | str]] = [
            ("host", HOST),
            ("connection", "close"),
            ("x-goldcrestridge-request-id", f"{random.getrandbits(64):016x}"),
        ]
        if key:
            headers.append(("x-api-key", key))
        timeout = dict.fromkeys(("connect", "read", "write"), REQUEST_TIMEOUT_S)
        url = f"http://{self.ip}:{port}{target}"
        return httpcore.request(
            method, url, headers=headers, content=body, extensions={"timeout": timeout}
        )

    def replace(self, version: int, workspaces: int) -> None:
        """Put a version in force."""
        body = manifest(version, workspaces)

        def accepted() -> bool:
            return self.request("POST", OPERATORS, "/v1/Config.Replace", body).status == 200

        wait_until(f"version {version} is accepted", accepted)

    def serves(self, body: bytes = b"", size: int = 20) -> bool:
        """Tell whether an ordinary request is answered."""
        response = self.request("POST", CALLERS, f"/data/x?bytes={size}", body, KEY)
        return response.status == 200 and len(response.content) == size

    def wait_serving(self) -> None:
        """Wait until callers, operators, readiness, addresses and metrics are answered.

        One ordinary request after the other is sent, as a caller that comes back does.
        """
        wait_until("an ordinary request is answered", self.serves)
        for port, target in (
            (OPERATORS, "/v1/Config.Read"),
            (READY, "/v1/ready"),
            (DIRECTORY, f"/v1/resolve?name={HOST}&zone=z1"),
            (ENTRY_METRICS, "/metrics"),
            (CONTROL_METRICS, "/metrics"),
        ):

            def answered(port: int = port, target: str = target) -> bool:
                return self.request("GET", port, target).status == 200

            wait_until(f"{target} is answered at port {port}", answered)

    def check(self) -> None:
        """Check that both processes live within the memory and descriptors of the VM."""
        self.sample()
        for role, observed in self.processes.items():
            assert observed.alive, f"the {role} process ended: {observed.process.poll()}"
        used = {role: observed.usage() for role, observed in self.processes.items()}
        print(used)
        allowed = self.descriptors - RESERVED_DESCRIPTORS
        for role, usage in used.items():
            assert usage.memory_mb <= self.memory_mb, f"{role}: {used}"
            assert usage.descriptors <= allowed, f"{role}: {used}"


def free_ips(count: int) -> tuple[str, ...]:
    """Return addresses in 127.0.0.0/8 at which nothing listens on the ports that are used."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ips = tuple(f"{network}.{number}" for number in range(1, count + 1))
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for ip, port in itertools.product(ips, (*PORTS, PLATFORM, UPSTREAM, UPSTREAM + 1)):
                stack.enter_context(socket.socket()).bind((ip, port))
            return ips
    raise OSError("no free addresses")


@contextlib.contextmanager
def running_vm(
    folder: Path,
    workspaces: int = 1,
    descriptors: int = MAX_DESCRIPTORS,
    faulty: Callable[[bytes], tuple[bytes, bytes]] = lambda _request_id: (b"", b""),
) -> Iterator[Vm]:
    """Run a VM and its two neighbours with their first version in force."""
    *ips, platform_ip = free_ips(4)
    platform = Platform(platform_ip, faulty)
    platform.start()
    vms = [
        Vm(
            folder / f"vm-{number}",
            tuple(ips),
            platform_ip,
            number,
            descriptors,
            platform=platform,
        )
        for number in range(len(ips))
    ]
    try:
        for vm in vms:
            vm.folder.mkdir()
            for role in (CONTROL, ENTRY):
                vm.start(role)
        vms[0].replace(1, workspaces)
        vms[0].wait_serving()
        yield vms[0]
        for vm in vms[1:]:
            vm.check()
    finally:
        for vm in vms:
            vm.stop()
        platform.stop()
