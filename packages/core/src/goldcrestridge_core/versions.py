"""Documents in the store that are replaced by the highest version."""

from __future__ import annotations

import enum

from attrs import Factory, define, frozen

from goldcrestridge_core.codec import message


@message
@frozen
class ReplaceDocument:
    """Replace the document if ``version`` is higher than the one held; idempotent."""

    version: int
    document: bytes


class ReplaceStatus(enum.Enum):
    """Result of a ReplaceDocument command."""

    STORED = "stored"  # Held now, or held already with the same content.
    SUPERSEDED = "superseded"  # A higher version is held; nothing was changed.
    CONFLICT = "conflict"  # The version is held with other content.


@message
@frozen
class ReplaceResult:
    """Answer to ReplaceDocument; ``version`` is the one held now."""

    status: ReplaceStatus
    version: int


@message
@frozen
class QueryDocument:
    """Read the document."""


@message
@frozen
class VersionedDocument:
    """A document and its version; version 0 means that none was stored yet."""

    version: int = 0
    document: bytes = b""


@define
class Versions:
    """The document held by the store."""

    current: VersionedDocument = Factory(VersionedDocument)

    def replace(self, command: ReplaceDocument) -> ReplaceResult:
        """Apply a command."""
        held = self.current
        if command.version > held.version:
            self.current = VersionedDocument(command.version, command.document)
            return ReplaceResult(ReplaceStatus.STORED, command.version)
        if command.version < held.version:
            return ReplaceResult(ReplaceStatus.SUPERSEDED, held.version)
        same = command.document == held.document
        status = ReplaceStatus.STORED if same else ReplaceStatus.CONFLICT
        return ReplaceResult(status, held.version)
