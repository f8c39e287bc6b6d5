"""Configuration versions in the store: compare-and-set, idempotent by change id.

The answers of the last accepted changes are remembered. Forgetting one is safe: a change sent
again after that names a base version that has passed, so it gets a conflict and never runs again.
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

# 50,000 answers are four days at 12,000 changes a day and take about 10 MB.
MAX_ACCEPTED = 50_000
# Refused changes have their own memory, so that they cannot push out accepted ones.
MAX_REFUSED = 5_000
MAX_VERSIONS = 1_000
MAX_LISTED = 20


@frozen
class ConfigCheck:
    """Result of the validation of a document; an empty ``reason`` means valid."""

    reason: str = ""
    claim_retention_ms: float | None = None


Validate = Callable[[bytes], ConfigCheck]


@define
class Changes:
    """Current configuration, its history and the answers to changes."""

    version: int = 0
    digest: str = ""
    document: bytes = b""
    versions: list[VersionRecord] = Factory(list)
    accepted: dict[str, ChangeRecord] = Factory(dict)
    refused: dict[str, ChangeRecord] = Factory(dict)


def apply_config(
    changes: Changes, command: ApplyConfig, validate: Validate
) -> tuple[ApplyResult, ConfigCheck | None]:
    """Apply a change once; return its answer and, if accepted now, the check of the document."""
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
        _remember(changes.refused, MAX_REFUSED, command.change_id, request, result)
        return result, None
    check = validate(command.document)
    if check.reason:
        result = _refusal(changes, ApplyStatus.INVALID, check.reason)
        _remember(changes.refused, MAX_REFUSED, command.change_id, request, result)
        return result, None
    changes.version += 1
    changes.digest = hashlib.sha256(command.document).hexdigest()
    changes.document = command.document
    changes.versions.append(VersionRecord(changes.version, command.change_id, command.operator))
    del changes.versions[:-MAX_VERSIONS]
    result = ApplyResult(ApplyStatus.ACCEPTED, changes.version, changes.digest)
    _remember(changes.accepted, MAX_ACCEPTED, command.change_id, request, result)
    return result, check


def _request_digest(command: ApplyConfig) -> str:
    """Return a digest of everything but the change id."""
    head = f"{command.base_version} {command.operator}\n".encode()
    return hashlib.sha256(head + command.document).hexdigest()


def _refusal(changes: Changes, status: ApplyStatus, detail: str) -> ApplyResult:
    """Return a refusal that names the current version."""
    return ApplyResult(status, changes.version, changes.digest, detail)


def _remember(
    memory: dict[str, ChangeRecord], limit: int, change_id: str, request: str, result: ApplyResult
) -> None:
    """Remember an answer and forget the oldest one beyond the limit."""
    memory[change_id] = ChangeRecord(change_id, request, result)
    if len(memory) > limit:
        del memory[next(iter(memory))]


def _describe_since(changes: Changes, base: int) -> str:
    """Describe the versions made since ``base``."""
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
