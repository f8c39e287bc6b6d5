"""Versioned document: the highest version replaces lower ones."""

from __future__ import annotations

import random

from goldcrestridge_core import codec
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.store import Store
from goldcrestridge_core.versions import (
    QueryDocument,
    ReplaceDocument,
    ReplaceResult,
    ReplaceStatus,
    VersionedDocument,
    Versions,
)


def test_the_highest_version_is_kept_in_any_order_of_the_changes() -> None:
    # Guards against a late change with a lower version that reverts a newer one.
    changes = [ReplaceDocument(version, b"%d" % version) for version in (3, 9, 4, 7)]
    for seed in range(24):
        random.Random(seed).shuffle(changes)
        versions = Versions()
        for change in changes:
            versions.replace(change)
        assert versions.current == VersionedDocument(9, b"9")


def test_a_repeated_change_is_acknowledged_again() -> None:
    # Guards against the refusal of a retried change whose first reply was lost.
    versions = Versions()
    first = ReplaceDocument(5, b"five")
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.STORED, 5)
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.STORED, 5)
    versions.replace(ReplaceDocument(6, b"six"))
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.SUPERSEDED, 6)


def test_different_content_for_the_stored_version_is_refused() -> None:
    # Guards against two operators whose different documents are both accepted as version 5.
    versions = Versions()
    versions.replace(ReplaceDocument(5, b"one"))
    assert versions.replace(ReplaceDocument(5, b"two")).status is ReplaceStatus.CONFLICT
    assert versions.current.document == b"one"


def test_the_document_is_restored_from_a_snapshot() -> None:
    # Guards against an accepted version that is lost when a replica is restored.
    store = Store(lambda _: ConfigCheck())
    store.apply(codec.encode(ReplaceDocument(8, b"doc")), 1, 0.0)
    restored = Store(lambda _: ConfigCheck())
    restored.restore(store.snapshot())
    answer = restored.query(codec.encode(QueryDocument()))
    assert codec.decode(answer).unwrap() == VersionedDocument(8, b"doc")
