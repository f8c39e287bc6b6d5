"""Compact differences of two nested documents, with digest, verification and rendering.

A document consists of tables (``dict`` with string keys), lists, strings, booleans, floats and
64-bit integers. Dates are not allowed, because MessagePack has no encoding of local dates.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from goldcrestridge_core.decoding import MALFORMED
from goldcrestridge_core.exceptions import PatchError

Tables = dict[str, Any]


class ListPatch(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Replace ``removed`` items, starting at index ``start``, by ``put``."""

    start: int
    removed: int
    put: list[Any]


class TablePatch(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Remove keys, set the values in ``put``, and patch the values of the keys in ``inner``."""

    removed: list[str]
    put: dict[str, Any]
    inner: dict[str, TablePatch | ListPatch]


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DOCUMENT: msgspec.msgpack.Decoder[Tables] = msgspec.msgpack.Decoder(Tables)
_PATCH: msgspec.msgpack.Decoder[TablePatch] = msgspec.msgpack.Decoder(TablePatch)


def encode_tables(document: Tables) -> bytes:
    """Return the canonical encoding of a document; equal documents give equal bytes."""
    return _ENCODER.encode(document)


def decode_tables(data: bytes) -> Result[Tables, PatchError]:
    """Decode a document; fail with PatchError if ``data`` is malformed."""
    try:
        return Success(_DOCUMENT.decode(data))
    except MALFORMED as exc:
        return Failure(PatchError(f"The document cannot be decoded: {exc}."))


def digest(document: Tables) -> str:
    """Return the XXH3 digest of a document, 128 bits as 32 hexadecimal digits."""
    return digest_encoded(encode_tables(document))


def digest_encoded(encoded: bytes) -> str:
    """Return the digest of a document in its canonical encoding."""
    return xxhash.xxh3_128_hexdigest(encoded)


def compare(old: Tables, new: Tables) -> TablePatch:
    """Return the difference that turns ``old`` into ``new``."""
    removed = [key for key in old if key not in new]
    put: dict[str, Any] = {}
    inner: dict[str, TablePatch | ListPatch] = {}
    for key, value in new.items():
        before = old.get(key)
        if key in old and same_encoding(before, value):
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            inner[key] = compare(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            inner[key] = _compare_lists(before, value)
        else:
            put[key] = value
    return TablePatch(sorted(removed), put, inner)


def same_encoding(one: Any, other: Any) -> bool:
    """Return whether two values have the same encoding; 1, 1.0 and true all differ."""
    if one is other:
        return True
    if type(one) is not type(other):
        return False
    if isinstance(one, dict):
        return one.keys() == other.keys() and all(
            same_encoding(one[key], other[key]) for key in one
        )
    if isinstance(one, list):
        return len(one) == len(other) and all(map(same_encoding, one, other))
    if isinstance(one, float):
        # 0.0 and -0.0 are equal but encoded differently; NaN values are unequal but encoded alike.
        equal = one == other and math.copysign(1.0, one) == math.copysign(1.0, other)
        return equal or bool(math.isnan(one) and math.isnan(other))
    return bool(one == other)


def _compare_lists(old: list[Any], new: list[Any]) -> ListPatch:
    """Return the difference of two lists as one replaced range."""
    shorter = min(len(old), len(new))
    start = next((i for i in range(shorter) if not same_encoding(old[i], new[i])), shorter)
    remaining = shorter - start
    tail = next(
        (i for i in range(remaining) if not same_encoding(old[-1 - i], new[-1 - i])), remaining
    )
    return ListPatch(start, len(old) - start - tail, new[start : len(new) - tail])


def encode_patch(patch: TablePatch) -> bytes:
    """Return the MessagePack encoding of a difference."""
    return _ENCODER.encode(patch)


def decode_patch(data: bytes) -> Result[TablePatch, PatchError]:
    """Decode a difference; fail with PatchError if ``data`` is malformed."""
    try:
        return Success(_PATCH.decode(data))
    except MALFORMED as exc:
        return Failure(PatchError(f"The difference cannot be decoded: {exc}."))


def apply(document: Tables, patch: TablePatch) -> Result[Tables, PatchError]:
    """Return the patched document, which shares its unchanged parts with ``document``."""
    try:
        return Success(_apply_table(document, patch))
    except _PatchMismatchError as exc:
        return Failure(PatchError(str(exc)))


def apply_verified(document: Tables, data: bytes, expected: str) -> Result[Tables, PatchError]:
    """Apply an encoded difference; fail unless the digest of the result is ``expected``."""
    return (
        decode_patch(data)
        .bind(lambda patch: apply(document, patch))
        .bind(lambda changed: verify(changed, expected))
    )


def verify(document: Tables, expected: str) -> Result[Tables, PatchError]:
    """Return the document if its digest is ``expected``, or else a PatchError."""
    actual = digest(document)
    if actual == expected:
        return Success(document)
    return Failure(PatchError(f"The digest of the document is {actual}, expected {expected}."))


class _PatchMismatchError(Exception):
    """A difference does not match the document; never raised out of this module."""


def _apply_table(table: Tables, patch: TablePatch) -> Tables:
    """Return the patched table."""
    missing = [key for key in (*patch.removed, *patch.inner) if key not in table]
    if missing:
        raise _PatchMismatchError(f"The table has no key {missing[0]!r}, which the patch changes.")
    kept = {key: value for key, value in table.items() if key not in patch.removed}
    changed = {key: _apply_inner(table[key], inner) for key, inner in patch.inner.items()}
    return kept | changed | patch.put


def _apply_inner(value: Any, patch: TablePatch | ListPatch) -> Any:
    """Return the patched table or list."""
    if isinstance(patch, TablePatch) and isinstance(value, dict):
        return _apply_table(value, patch)
    if isinstance(patch, ListPatch) and isinstance(value, list):
        end = patch.start + patch.removed
        if 0 <= patch.start <= end <= len(value):
            return value[: patch.start] + patch.put + value[end:]
    raise _PatchMismatchError("The patch does not match the type or length of the value.")


def render(old: Tables, patch: TablePatch) -> list[str]:
    """Return one line per change, marked ``+`` (added), ``-`` (removed) or ``~`` (changed)."""
    return list(_lines(old, patch, ""))


def _lines(old: Tables, patch: TablePatch, path: str) -> Iterator[str]:
    """Yield the lines of a changed table in the order of its keys."""
    for key in sorted({*patch.removed, *patch.put, *patch.inner}):
        key_path = f"{path}.{key}" if path else key
        if key in patch.removed:
            yield f"- {key_path} = {_to_json(old.get(key))}"
        elif key in patch.put and key in old:
            yield f"~ {key_path} = {_to_json(old[key])} -> {_to_json(patch.put[key])}"
        elif key in patch.put:
            yield f"+ {key_path} = {_to_json(patch.put[key])}"
        else:
            yield from _inner_lines(old.get(key), patch.inner[key], key_path)


def _inner_lines(value: Any, patch: TablePatch | ListPatch, path: str) -> Iterator[str]:
    """Yield the lines of a changed table or list."""
    if isinstance(patch, TablePatch):
        yield from _lines(value if isinstance(value, dict) else {}, patch, path)
        return
    before = value[patch.start : patch.start + patch.removed] if isinstance(value, list) else []
    yield from (f"- {path}[{patch.start + i}] = {_to_json(v)}" for i, v in enumerate(before))
    yield from (f"+ {path}[{patch.start + i}] = {_to_json(v)}" for i, v in enumerate(patch.put))


def _to_json(value: Any) -> str:
    """Return a value as one line of JSON."""
    return msgspec.json.encode(value, order="deterministic").decode()
