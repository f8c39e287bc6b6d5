"""Logging, signal handling and file watching shared by entry and control nodes."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import anyio

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Count, Emit

T = TypeVar("T")

# Interval at which the settings file is checked for a change without a signal.
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


async def call_or_log(
    call: Callable[[], Awaitable[T]], name: str, log: Any, count: Callable[[Count], None]
) -> T | None:
    """Return the result of a call, or None if it raises an exception that nothing expected.

    It keeps a fault in the reading of foreign input from ending the process. Each exception is
    counted and logged with its traceback.
    """
    try:
        return await call()
    except Exception as exc:
        count(Count("calls_failed_unexpectedly", 1, (("call", name),)))
        log.error("call_failed_unexpectedly", call=name, reason=repr(exc), exc_info=True)
        return None


async def handle_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call ``stop`` on SIGTERM or SIGINT and ``reload`` on SIGHUP."""
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
            else:
                stop()


async def watch_file(path: Path, reload: Callable[[], None]) -> None:
    """Call ``reload`` each time a file has changed."""
    last = _fingerprint(path)
    while True:
        await anyio.sleep(SETTINGS_POLL_MS / MS_PER_SECOND)
        current = _fingerprint(path)
        if current != last:
            last = current
            reload()


def _fingerprint(path: Path) -> tuple[int, int, int]:
    """Return the modification time, size and inode of a file; zeros if it does not exist.

    A file can be missing for a moment while it is replaced.
    """
    try:
        stat = path.stat()
    except FileNotFoundError:
        return (0, 0, 0)
    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)
