"""Structured logging: JSON lines on standard output, rate-limited and non-blocking."""

from __future__ import annotations

import logging
import os
import select
import time
from typing import Any

import structlog
from attrs import define, field

# Token bucket: one line per second for each of a hundred requests, and a burst of 5 s.
LINES_PER_S = 100.0
BURST_LINES = 500.0
# A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4_096


@define(eq=False)
class LineWriter:
    """Write lines to a file descriptor; drop and count those over the rate or for a full pipe."""

    fd: int
    dropped_lines: int = 0
    _tokens: float = BURST_LINES
    _refilled_s: float = field(factory=time.monotonic)
    _poll: Any = field(factory=select.poll)

    def __attrs_post_init__(self) -> None:
        """Register the descriptor for writability."""
        self._poll.register(self.fd, select.POLLOUT)

    def msg(self, line: str) -> None:
        """Write a line, or count it as dropped if the rate or the pipe does not allow it now."""
        data = line.encode("utf-8", "replace") + b"\n"
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        if not self._take_token() or not self._writable():
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            data = b'{"event":"log_lines_left_out","count":%d}\n' % self.dropped_lines + data
            self.dropped_lines = 0
        try:
            os.write(self.fd, data[:MAX_LINE_BYTES])
        except OSError:
            self.dropped_lines += 1  # A closed reader must not stop the process.

    log = debug = info = warn = warning = error = critical = exception = msg

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


def configure_logs(node: str, level: str, fd: int = 1) -> LineWriter:
    """Log JSON lines with time, level, node and event, from the given level upwards."""
    writer = LineWriter(fd)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=lambda *_args: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
    return writer


def logger() -> Any:
    """Return the logger of the process."""
    return structlog.get_logger()
