"""Tasks that all kinds of nodes run beside their core."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Emit

# A settings file that changed without a signal is noticed after this time.
SETTINGS_POLL_MS = 2_000.0


def log_event(log: Any, event: Emit) -> None:
    """Write an event of the core to the log."""
    names = {
        "request_id": event.request_id,
        "workspace": event.workspace,
        "upstream": event.upstream,
        "change_id": event.change_id,
    }
    detail = dict(event.detail)
    log.info(event.kind, **detail, **{key: value for key, value in names.items() if value})


async def handle_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call ``stop`` on SIGTERM or SIGINT and ``reload`` on SIGHUP."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                stop()


async def watch_file(path: Path, reload: Callable[[], None]) -> None:
    """Call ``reload`` when a file has changed."""
    seen = _stamp(path)
    while True:
        await anyio.sleep(SETTINGS_POLL_MS / MS_PER_SECOND)
        now = _stamp(path)
        if now != seen:
            seen = now
            reload()


def _stamp(path: Path) -> tuple[int, int, int]:
    """Return what changes with the content of a file; zeros while it is being replaced."""
    try:
        stat = path.stat()
    except FileNotFoundError:
        return (0, 0, 0)
    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)
