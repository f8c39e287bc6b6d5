"""Tests of documents that are replaced by the highest version."""

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


def test_the_highest_version_stays_whatever_the_order_of_the_changes() -> None:
    # Guards against a late older change that takes a newer one back.
    changes = [ReplaceDocument(version, b"%d" % version) for version in (3, 9, 4, 7)]
    for seed in range(24):
        random.Random(seed).shuffle(changes)
        versions = Versions()
        for change in changes:
            versions.replace(change)
        assert versions.current == VersionedDocument(9, b"9")


def test_an_accepted_change_is_acknowledged_again_and_never_refused() -> None:
    # Guards against the refusal of a repeated change whose first answer was lost.
    versions = Versions()
    first = ReplaceDocument(5, b"five")
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.STORED, 5)
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.STORED, 5)
    versions.replace(ReplaceDocument(6, b"six"))
    assert versions.replace(first) == ReplaceResult(ReplaceStatus.SUPERSEDED, 6)


def test_other_content_under_the_version_held_is_refused_and_not_kept() -> None:
    # Guards against two operators who both believe that their version 5 is in force.
    versions = Versions()
    versions.replace(ReplaceDocument(5, b"one"))
    assert versions.replace(ReplaceDocument(5, b"two")).status is ReplaceStatus.CONFLICT
    assert versions.current.document == b"one"


def test_the_store_keeps_the_document_through_a_snapshot() -> None:
    # Guards against an accepted version that is gone after a replica was restored.
    store = Store(lambda _: ConfigCheck())
    store.apply(codec.encode(ReplaceDocument(8, b"doc")), 1, 0.0)
    restored = Store(lambda _: ConfigCheck())
    restored.restore(store.snapshot())
    answer = restored.query(codec.encode(QueryDocument()))
    assert codec.decode(answer).unwrap() == VersionedDocument(8, b"doc")
