"""A small deployment on loopback: machines with the project's processes, and stand-ins around them.

Each machine has an address of its own in 127.0.0.0/8. The processes are started with the commands
of the deploy file and a settings file as DEPLOY.md specifies it. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RESTART_DELAY_S = 0.3
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_strict": True, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 64, "recover_s": 12, "pass_ms": 120,
    "retry_after_s": 6, "ttl_max_s": 5,
}


class Record:
    """Lines of what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():8.3f} {what} {text}".rstrip(), file=self._file, flush=True)


def free_network() -> str:
    """Return three octets in 127.0.0.0/8 at which nothing listens on the ports that are used."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (9464, 9465, 8220, 8223, 8227, 8229, 7340, 7341):
                with socket.socket() as sock:
                    sock.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise OSError("no free addresses")


class Process:
    """One process of a role on a machine; it is started again after it ends, like on the platform."""

    def __init__(self, fleet: Fleet, machine: int, role: str) -> None:
        self.fleet, self.machine, self.role = fleet, machine, role
        self.name = f"{role}-{machine}"
        self.bootstrap = True  # Only at the first start of the deployment.
        self.ends: list[tuple[float, int]] = []  # Those by itself: time and exit code.
        self.stopping = False
        self.process: asyncio.subprocess.Process | None = None

    @property
    def ip(self) -> str:
        return self.fleet.ip(self.machine)

    def write_settings(self) -> Path:
        """Write the settings file as the provider does at each start and change."""
        folder = self.fleet.folder / self.name
        folder.mkdir(exist_ok=True)
        settings, new = folder / "settings.json", folder / "settings.new"
        new.write_text(json.dumps(self.fleet.settings(self)), encoding="utf-8")
        new.rename(settings)
        return settings

    async def start(self) -> None:
        fleet, folder = self.fleet, self.fleet.folder / self.name
        settings = self.write_settings()
        command = fleet.deploy["roles"][self.role]["run"].split()
        log = (folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "GOLDCRESTRIDGE_NODE_FILE": str(settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.bootstrap = False
        fleet.record.add("process_started", name=self.name, pid=self.process.pid)

    async def supervise(self) -> None:
        while True:
            await self.start()
            assert self.process is not None
            code = await self.process.wait()
            if self.stopping:
                return
            self.ends.append((self.fleet.record.now(), code))
            self.fleet.record.add("process_ended_by_itself", name=self.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.add("signal", name=self.name, number=signal.Signals(number).name)

    def memory_mb(self) -> float:
        """Return the resident memory."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        sizes = [int(line.split()[1]) for line in status.splitlines() if "VmRSS" in line]
        return sizes[0] / 1024 if sizes else 0.0

    def log_text(self) -> str:
        path = self.fleet.folder / self.name / "log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


class Fleet:
    """Machines 1 to ``machines`` in three zones; the first ``core`` of them have a disk.

    The first two of each zone serve control, as the deploy file says.
    """

    def __init__(self, folder: Path, record: Record, machines: int, core: int = 3) -> None:
        self.folder, self.record = folder, record
        self.machines, self.core = machines, core
        self.seeds = tuple(range(1, core + 1))
        self.disks = set(self.seeds)
        self.network = free_network()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.processes = [
            Process(self, machine, role)
            for machine in range(1, machines + 1)
            for role in (("control", "entry") if machine <= 2 * core else ("entry",))
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def ip(self, machine: int) -> str:
        return f"{self.network}.{machine}"

    @property
    def provider(self) -> tuple[str, int]:
        return self.ip(200), 8223

    def control(self, machine: int) -> tuple[str, int]:
        return self.ip(machine), 8229

    def front(self, machine: int) -> tuple[str, int]:
        return self.ip(machine), 8227

    def get(self, role: str, machine: int) -> Process:
        return next(p for p in self.processes if (p.role, p.machine) == (role, machine))

    def settings(self, process: Process) -> dict[str, object]:
        zones = ("sve-a", "sve-b", "sve-c")
        ip, has_disk = process.ip, process.machine in self.disks
        listen = (
            {"control": f"{ip}:8229"}
            if process.role == "control"
            else {"front": f"{ip}:8227", "ready": f"{ip}:8220", "directory": f"{ip}:8224"}
        )
        data = self.folder / f"data-{process.machine}"
        if has_disk:
            data.mkdir(exist_ok=True)
        return {
            "node": f"edge-{process.machine}", "role": process.role, "class": "edge",
            "serves": self.deploy["roles"][process.role]["serves"], "ip": ip,
            "zone": zones[(process.machine - 1) % 3], "region": "sverige",
            "zones": dict.fromkeys(zones, "sverige"), "listen": listen,
            "port_range": [7340, 7355],
            "seeds": [f"{self.ip(number)}:8229" for number in self.seeds],
            "bootstrap": process.bootstrap, "in_tolerance": has_disk,
            "limits": {"cpu_share": 0.968, "cores": 2, "memory_mb": 150, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 64},
            "data_dir": str(data) if has_disk and process.role == "control" else None,
            "discovery": "cloud", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {"address": "{}:{}".format(*self.provider), "rate_per_s": 47.0, "duties": [],
                      "lag_ms": 800},
        }

    def start(self) -> None:
        self._tasks = [asyncio.ensure_future(p.supervise()) for p in self.processes]

    def add_core_machine(self, machine: int) -> None:
        """Add a machine with an empty disk that takes over the roles of a core machine."""
        self.disks.add(machine)
        self.record.add("machine_added", machine=machine, ip=self.ip(machine))
        for role in ("control", "entry"):
            process = Process(self, machine, role)
            process.bootstrap = False
            self.processes.append(process)
            self._tasks.append(asyncio.ensure_future(process.supervise()))

    async def remove_machine(self, machine: int) -> None:
        """Stop a machine for good: SIGTERM, and SIGKILL after grace_s."""
        self.record.add("machine_removed", machine=machine)
        gone = [process for process in self.processes if process.machine == machine]
        for process in gone:
            process.stopping = True
            process.signal(signal.SIGTERM)
        await asyncio.wait(
            [asyncio.ensure_future(process.process.wait()) for process in gone if process.process],
            timeout=BOUNDS["grace_s"],
        )
        for process in gone:
            process.signal(signal.SIGKILL)

    def exchange_seeds(self, machines: tuple[int, ...]) -> None:
        """Name other seeds in the settings of all processes and send them SIGHUP."""
        self.seeds = machines
        self.record.add("seeds_exchanged", machines=machines)
        for process in self.processes:
            process.write_settings()
            process.signal(signal.SIGHUP)

    async def stop(self) -> None:
        for process in self.processes:
            process.stopping = True
            if process.process is not None and process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            if process.process is not None:
                await process.process.wait()


def run_case(folder: Path, main) -> None:  # type: ignore[no-untyped-def]
    """Run a case in a temporary folder and exit with its result."""
    record = Record(folder)
    record.add("begin", trouble=int(TROUBLE))
    keep = os.environ.get("KEEP")
    with tempfile.TemporaryDirectory() as name:
        try:
            result = asyncio.run(main(Path(name), record))
        except Exception as exc:  # The case could not run to its end.
            record.add("could_not_run", error=repr(exc))
            print(f"could not run: {exc!r}")
            result = COULD_NOT_RUN
        if keep:
            import shutil

            shutil.copytree(name, keep, dirs_exist_ok=True)
    record.add("end", result=result)
    sys.exit(result)
