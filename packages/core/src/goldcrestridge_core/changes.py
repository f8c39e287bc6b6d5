"""Configuration versions in the store: compare-and-set, idempotent by change id.

The results of the latest accepted changes are kept. Dropping an old one is safe: if its change is
sent again, its base version is outdated, so it gets a conflict and is not applied again.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from attrs import Factory, define, frozen

from goldcrestridge_core.store_types import (
    ApplyConfig,
    ApplyResult,
    ApplyStatus,
    ChangeRecord,
    VersionRecord,
)

# 50,000 results cover four days at 12,000 changes a day and take about 10 MB.
MAX_ACCEPTED = 50_000
# Refused changes have a separate bound, so that they cannot evict accepted ones.
MAX_REFUSED = 5_000
MAX_VERSIONS = 1_000  # Entries of the version history.
MAX_LISTED = 20  # Versions named in the detail of a conflict.


@frozen
class ConfigCheck:
    """Result of validating a document; an empty ``reason`` means that it is valid."""

    reason: str = ""
    claim_retention_ms: float | None = None


Validate = Callable[[bytes], ConfigCheck]


@define
class Changes:
    """Current configuration, its version history and the results of changes."""

    version: int = 0
    digest: str = ""
    document: bytes = b""
    versions: list[VersionRecord] = Factory(list)
    accepted: dict[str, ChangeRecord] = Factory(dict)
    refused: dict[str, ChangeRecord] = Factory(dict)


def apply_config(
    changes: Changes, command: ApplyConfig, validate: Validate
) -> tuple[ApplyResult, ConfigCheck | None]:
    """Apply a change at most once.

    Return its result and, if this call accepted it, the check of the document.
    """
    request = _request_digest(command)
    known = changes.accepted.get(command.change_id) or changes.refused.get(command.change_id)
    if known is not None:
        if known.request == request:
            return known.result, None
        detail = "The change id was used for another change."
        return _refusal(changes, ApplyStatus.INVALID, detail), None
    if command.base_version != changes.version:
        detail = _describe_since(changes, command.base_version)
        result = _refusal(changes, ApplyStatus.CONFLICT, detail)
        _store_result(changes.refused, MAX_REFUSED, command.change_id, request, result)
        return result, None
    check = validate(command.document)
    if check.reason:
        result = _refusal(changes, ApplyStatus.INVALID, check.reason)
        _store_result(changes.refused, MAX_REFUSED, command.change_id, request, result)
        return result, None
    changes.version += 1
    changes.digest = hashlib.sha256(command.document).hexdigest()
    changes.document = command.document
    changes.versions.append(VersionRecord(changes.version, command.change_id, command.operator))
    del changes.versions[:-MAX_VERSIONS]
    result = ApplyResult(ApplyStatus.ACCEPTED, changes.version, changes.digest)
    _store_result(changes.accepted, MAX_ACCEPTED, command.change_id, request, result)
    return result, check


def _request_digest(command: ApplyConfig) -> str:
    """Return a digest of all fields except the change id."""
    head = f"{command.base_version} {command.operator}\n".encode()
    return hashlib.sha256(head + command.document).hexdigest()


def _refusal(changes: Changes, status: ApplyStatus, detail: str) -> ApplyResult:
    """Return a refusal with the current version."""
    return ApplyResult(status, changes.version, changes.digest, detail)


def _store_result(
    records: dict[str, ChangeRecord], limit: int, change_id: str, request: str, result: ApplyResult
) -> None:
    """Store a result and drop the oldest one above the limit."""
    records[change_id] = ChangeRecord(change_id, request, result)
    if len(records) > limit:
        del records[next(iter(records))]


def _describe_since(changes: Changes, base: int) -> str:
    """Describe the versions accepted since ``base``."""
    if base > changes.version:
        return f"Version {base} does not exist; the current version is {changes.version}."
    since = [version for version in changes.versions if version.version > base]
    listed = ", ".join(
        f"{version.version} by {version.operator} (change {version.change_id})"
        for version in since[-MAX_LISTED:]
    )
    omitted = changes.version - base - len(since[-MAX_LISTED:])
    earlier = f"{omitted} earlier, " if omitted else ""
    return f"Versions made since {base}: {earlier}{listed}."
