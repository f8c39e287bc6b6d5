"""Decoding of JSON that other programs wrote: one set of errors and bounds for all readers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

T = TypeVar("T")

# What decoders of msgspec raise for malformed input; deep nesting ends in a RecursionError.
MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

# Integers that every JSON reader keeps exact (RFC 8259). They and sums of a thousand of them fit
# into the 64 bits of the messages between nodes.
MAX_INTEGER = 2**53 - 1
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Names end up in logs, metric labels, log leases and headers.
MAX_NAME_CHARS = 256
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]


def decode_json(data: bytes | msgspec.Raw, kind: type[T]) -> Result[T, str]:
    """Decode JSON as a type; the failure is a reason without a period."""
    return decode_with(lambda: msgspec.json.decode(data, type=kind))


def decode_with(decode: Callable[[], T]) -> Result[T, str]:
    """Call a decoder of msgspec; the failure is a reason without a period."""
    try:
        return Success(decode())
    except MALFORMED as exc:
        return Failure(str(exc))
