"""Exit codes of the command-line program, and the exception that carries one."""

from __future__ import annotations

EXIT_OK = 0
EXIT_INVALID = 1  # The configuration is invalid, or diff found a difference.
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_REFUSED = 5
EXIT_TIMEOUT = 6


class CommandError(Exception):
    """A command failed; carries a message for the operator and the exit code ``code``."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code
