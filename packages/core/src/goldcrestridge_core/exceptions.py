"""Exceptions and error values of the project."""

from __future__ import annotations

from attrs import frozen


class GoldcrestridgeError(Exception):
    """Base of all exceptions raised by goldcrestridge."""


class InvariantError(GoldcrestridgeError):
    """Report a broken invariant; the process stops."""


class StorageError(GoldcrestridgeError):
    """Report a failed write or sync; the replica stops and the operation is not retried."""


@frozen
class CodecError:
    """Describe bytes that are not a valid message; ``reason`` is a full sentence."""

    reason: str


@frozen
class ConfigError:
    """Describe one mistake in a configuration file.

    ``file`` is the path as given by the operator, ``key`` the dotted key path (empty for the
    whole file), ``reason`` a full sentence that says what to change.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return ``file: key: reason`` for a terminal."""
        return ": ".join(part for part in (self.file, self.key, self.reason) if part)


@frozen
class PatchError:
    """Describe a difference that does not fit its document; ``reason`` is a full sentence."""

    reason: str
