"""Processes of the fault soak: control and entry nodes, each with an address of its own."""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from attrs import define, field

CALLER_PORT, READY_PORT, OPERATOR_PORT, DIRECTORY_PORT = 18080, 18081, 18082, 18083
FIRST_PORT, LAST_PORT = 18100, 18120
# The platform's bounds as the nodes get them; a small budget of repeats is one that can be broken.
BOUNDS = {
    "grace_s": 5.0,
    "revoke_strict": True,
    "revoke_ms": 5_000.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10.0,
    "retry_extra": 30.0,
    "ttl_max_s": 2.0,
}
TERMINATE_MARGIN_S = 3.0
# Until the interpreter runs the program's first line, SIGHUP has its default action, which no
# program can change; that window is left out.
INTERPRETER_START_S = 0.5


@define(eq=False)
class Node:
    """One node: its settings file, its process and its output."""

    role: str
    ip: str
    folder: Path
    seeds: list[str]
    list_address: str
    process: subprocess.Popen[bytes] | None = None
    exit_expected: bool = True
    start_count: int = 0
    started_s: float = 0.0
    suspended: bool = False  # By SIGSTOP.
    protected: bool = False  # Signals are left out.

    def write_settings(self) -> None:
        """Write the settings file; only the first start of a deployment forms the log."""
        settings = {
            "ip": self.ip,
            "zone": "z1",
            "listen": {
                "front": f"{self.ip}:{CALLER_PORT}" if self.role == "entry" else "",
                "ready": f"{self.ip}:{READY_PORT}" if self.role == "entry" else "",
                "directory": f"{self.ip}:{DIRECTORY_PORT}" if self.role == "entry" else "",
                "control": f"{self.ip}:{OPERATOR_PORT}" if self.role == "control" else "",
            },
            "port_range": [FIRST_PORT, LAST_PORT],
            "seeds": self.seeds,
            "bootstrap": self.start_count == 0,
            "data_dir": str(self.folder / "data") if self.role == "control" else None,
            "bounds": BOUNDS,
            "tolerate": {"machines": 1},
            "cloud": {"address": self.list_address},
        }
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.role == "control":
            (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "settings.json"
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(settings), encoding="utf-8")
        temporary.replace(path)

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.start_count += 1
        self.started_s = time.monotonic()
        self.exit_expected = self.suspended = False
        settings = f"--settings={self.folder / 'settings.json'}"
        command = [sys.executable, "-m", "goldcrestridge_platform", self.role, settings]
        with (self.folder / "output.log").open("ab") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    @property
    def running(self) -> bool:
        """Tell whether the process runs or is stopped by a signal."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is None or not self.running or self.protected:
            return
        if signum == signal.SIGHUP and time.monotonic() - self.started_s < INTERPRETER_START_S:
            return
        if signum in (signal.SIGTERM, signal.SIGKILL):
            self.exit_expected = True
        self.suspended = signum == signal.SIGSTOP or (self.suspended and signum != signal.SIGCONT)
        self.process.send_signal(signum)

    def exited_unexpectedly(self) -> bool:
        """Tell whether the process has ended without having been told to."""
        return self.process is not None and not self.running and not self.exit_expected

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, or None while the process runs."""
        return None if self.process is None else self.process.poll()

    def wait(self, seconds: float) -> None:
        """Wait until the process has ended, for some seconds at most."""
        if self.process is not None:
            with suppress(subprocess.TimeoutExpired):
                self.process.wait(seconds)

    def remove_data(self) -> None:
        """Remove the data of a process that has ended."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)


@define(eq=False)
class Nodes:
    """All nodes of one run; they are ended by their ids."""

    control: list[Node]
    entries: list[Node]
    all: list[Node] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Join both roles."""
        self.all = [*self.control, *self.entries]

    def end(self) -> None:
        """End every process that still runs."""
        for node in self.all:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGTERM)
        end = time.monotonic() + TERMINATE_MARGIN_S + BOUNDS["grace_s"]
        while any(node.running for node in self.all) and time.monotonic() < end:
            time.sleep(0.05)
        for node in self.all:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
