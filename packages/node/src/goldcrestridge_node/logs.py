"""Structured log lines for changes of state, as JSON on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure_logs(node: str, level: str) -> None:
    """Write JSON lines with time, level, node and event from the given level upwards."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def logger() -> Any:
    """Return the process's logger."""
    return structlog.get_logger()
