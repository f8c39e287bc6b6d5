"""Tests of differences: apply, verify and render."""

from __future__ import annotations

import copy
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from goldcrestridge_core import differences
from goldcrestridge_core.differences import ListPatch, TablePatch

KEYS = st.sampled_from(["a", "b", "c", "name", "å"])
SCALARS = st.one_of(
    st.booleans(),
    st.integers(-1, 2),
    st.integers(-(2**63), 2**63 - 1),
    st.floats(),
    st.sampled_from([0.0, -0.0, 1.0]),
    st.text(max_size=4),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=14,
)
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=5)


@given(DOCUMENTS, DOCUMENTS)
def test_an_applied_difference_gives_the_new_document_byte_for_byte(old: Any, new: Any) -> None:
    # Guards against changes that == does not detect but the encoding shows: 1, 1.0, true, -0.0.
    # NaN is the reverse: unequal to itself, but with one encoding.
    before = copy.deepcopy(old)
    data = differences.encode_patch(differences.compare(old, new))
    result = differences.apply_verified(old, data, differences.digest(new)).unwrap()
    assert differences.encode_tables(result) == differences.encode_tables(new)
    assert differences.encode_tables(old) == differences.encode_tables(before)


@given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_a_difference_for_another_document_never_verifies_wrongly(
    old: Any, new: Any, other: Any
) -> None:
    # Guards against a wrongly patched document that is accepted as the new version.
    data = differences.encode_patch(differences.compare(old, new))
    result = differences.apply_verified(other, data, differences.digest(new))
    if is_successful(result):
        assert differences.digest(result.unwrap()) == differences.digest(new)


@given(DOCUMENTS, st.binary(max_size=60))
def test_malformed_data_never_raises(document: Any, data: bytes) -> None:
    # Guards against an exception in the receiving task because of bytes from a faulty peer.
    assert not is_successful(differences.apply_verified(document, data, "no digest"))
    differences.decode_tables(data)


@given(DOCUMENTS)
def test_equal_documents_have_an_empty_difference(document: Any) -> None:
    # Guards against differences between equal documents.
    patch = differences.compare(document, copy.deepcopy(document))
    assert patch == TablePatch([], {}, {})
    assert differences.render(document, patch) == []


def test_a_small_change_in_a_large_document_is_small() -> None:
    # Guards against differences that carry whole tables or lists.
    old: dict[str, Any] = {
        "workspaces": {f"w{n}": {"class": "fast", "share": 1.0} for n in range(1_500)},
        "upstreams": [f"10.0.0.{n}:80" for n in range(2_100)],
    }
    new = copy.deepcopy(old)
    new["workspaces"]["w7"]["share"] = 2.0
    new["upstreams"].insert(900, "10.9.9.9:80")
    patch = differences.compare(old, new)
    assert len(differences.encode_patch(patch)) < 100
    assert patch.inner["upstreams"] == ListPatch(900, 0, ["10.9.9.9:80"])


def test_the_readable_form_names_path_old_and_new_value() -> None:
    # Guards against an operator who cannot see what a conflicting change did.
    old = {"a": {"x": 1, "y": [1, 2]}, "gone": "v"}
    new = {"a": {"x": 2, "y": [1, 3], "z": True}}
    assert differences.render(old, differences.compare(old, new)) == [
        "~ a.x = 1 -> 2",
        "- a.y[1] = 2",
        "+ a.y[1] = 3",
        "+ a.z = true",
        '- gone = "v"',
    ]
