"""Exceptions of the operator's program, each with its exit code."""

from __future__ import annotations

EXIT_OK = 0
EXIT_INVALID = 1  # A configuration has mistakes, or differs (diff).
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_REFUSED = 5
EXIT_TIMEOUT = 6


class CommandError(Exception):
    """Stop a command with a message for the operator and an exit code."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code
