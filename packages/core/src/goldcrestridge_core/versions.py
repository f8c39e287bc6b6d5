"""Versioned document in the store; the highest version replaces lower ones."""

from __future__ import annotations

import enum

from attrs import Factory, define, frozen

from goldcrestridge_core.codec import message


@message
@frozen
class ReplaceDocument:
    """Replace the document if ``version`` is higher than the stored one; idempotent."""

    version: int
    document: bytes


class ReplaceStatus(enum.Enum):
    """Result of a ReplaceDocument command."""

    STORED = "stored"  # Stored now, or already stored with the same content.
    SUPERSEDED = "superseded"  # A higher version is stored; nothing was changed.
    CONFLICT = "conflict"  # The version is stored with different content.


@message
@frozen
class ReplaceResult:
    """Result of ReplaceDocument; ``version`` is the stored version after it."""

    status: ReplaceStatus
    version: int


@message
@frozen
class QueryDocument:
    """Read the document; answered by VersionedDocument."""


@message
@frozen
class VersionedDocument:
    """Document with its version; version 0 means that no document has been stored."""

    version: int = 0
    document: bytes = b""


@define
class Versions:
    """Versioned document of the store."""

    current: VersionedDocument = Factory(VersionedDocument)

    def replace(self, command: ReplaceDocument) -> ReplaceResult:
        """Apply a ReplaceDocument command and return its result."""
        current = self.current
        if command.version > current.version:
            self.current = VersionedDocument(command.version, command.document)
            return ReplaceResult(ReplaceStatus.STORED, command.version)
        if command.version < current.version:
            return ReplaceResult(ReplaceStatus.SUPERSEDED, current.version)
        same_content = command.document == current.document
        status = ReplaceStatus.STORED if same_content else ReplaceStatus.CONFLICT
        return ReplaceResult(status, current.version)
