"""Tests of compressed documents."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core.deltas import MAX_RETAINED_VERSIONS, Deltas, pack, unpack


@given(st.binary(max_size=2_000), st.binary(max_size=2_000))
def test_a_packed_document_is_restored_with_its_base(document: bytes, base: bytes) -> None:
    # Guards against a document that is altered by compression and decompression.
    assert unpack(pack(document, base), base) == document


def test_a_small_change_of_a_large_document_is_small() -> None:
    # Guards against whole documents sent between data centres for every change. The load is a
    # manifest of many routes that changes often and goes to every entry node.
    routes = [f"route-{number * 7919 % 10_007}" for number in range(2_000)]
    before = ",".join(routes).encode()
    after = before.replace(b"route-7919,", b"route-changed,")
    assert len(pack(after, before)) < len(after) / 50


def test_a_receiver_gets_a_difference_only_from_what_it_holds() -> None:
    # Guards against a delta whose base the receiver does not hold.
    deltas = Deltas()
    documents = {version: b"document %d" % version * 20 for version in range(1, 20)}
    for version, document in documents.items():
        deltas.add(version, document)
    for have_version in range(25):
        base, packed = deltas.pack_newest(have_version)
        assert base in (0, have_version)
        assert unpack(packed, documents.get(base, b"")) == documents[19]
    assert deltas.pack_newest(19 - MAX_RETAINED_VERSIONS)[0] == 0
    assert deltas.pack_newest(18)[0] == 18


def test_a_wrong_base_raises() -> None:
    # Guards against a document that is silently decompressed with the wrong base.
    with pytest.raises(zlib.error):
        unpack(pack(b"text" * 50, b"base" * 50), b"other" * 50)
