"""Exceptions and error values."""

from __future__ import annotations

from attrs import frozen


class GoldcrestridgeError(Exception):
    """Base of all exceptions raised by goldcrestridge."""


class InvariantError(GoldcrestridgeError):
    """Raised when an invariant is violated; the process stops."""


class StorageError(GoldcrestridgeError):
    """Raised when a write or sync fails; the replica stops and does not retry it."""


@frozen
class CodecError:
    """Decoding error of a message; ``reason`` is a full sentence."""

    reason: str


@frozen
class ConfigError:
    """One error in a configuration file.

    ``file`` is the path as given by the operator, ``key`` the dotted key path or empty for the
    whole file, and ``reason`` a full sentence that says what to change.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return ``file: key: reason`` without the empty parts."""
        return ": ".join(part for part in (self.file, self.key, self.reason) if part)


@frozen
class PatchError:
    """Error for a patch that does not apply to its document; ``reason`` is a full sentence."""

    reason: str
