"""MessagePack encoding of messages and durable records, with a format version."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from goldcrestridge_core.decoding import MALFORMED
from goldcrestridge_core.exceptions import CodecError

FORMAT_VERSION = 1

T = TypeVar("T")

_ENVELOPE_DECODER: msgspec.msgpack.Decoder[tuple[int, str, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, str, msgspec.Raw]
)
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_KINDS: dict[type, str] = {}


def message(cls: type[T]) -> type[T]:
    """Register an attrs class as a message or durable record under its class name.

    Raise ValueError if a class of that name is already registered.
    """
    kind = cls.__name__
    if kind in _KINDS.values():
        raise ValueError(f"A message class named {kind} is already registered.")
    _KINDS[cls] = kind
    return cls


def registered() -> frozenset[type]:
    """Return the classes of all messages and durable records that were imported."""
    return frozenset(_KINDS)


def encode(value: object) -> bytes:
    """Encode a registered message as the MessagePack envelope ``[version, kind, body]``."""
    return _ENCODER.encode((FORMAT_VERSION, _KINDS[type(value)], value))


def decode(data: bytes) -> Result[Any, CodecError]:
    """Decode a message; return a CodecError for malformed data or another format version."""
    try:
        version, kind, body = _ENVELOPE_DECODER.decode(data)
    except MALFORMED as exc:
        return Failure(CodecError(f"The data is not a message envelope: {exc}."))
    if version != FORMAT_VERSION:
        return Failure(
            CodecError(f"Format version {version} is not supported; expected {FORMAT_VERSION}.")
        )
    decoder = _decoder(kind)
    if decoder is None:
        return Failure(CodecError(f"The message kind {kind!r} is unknown."))
    try:
        return Success(decoder.decode(body))
    except MALFORMED as exc:
        return Failure(CodecError(f"The body of {kind} is malformed: {exc}."))


def _decoder(kind: str) -> msgspec.msgpack.Decoder[Any] | None:
    """Return the decoder of a message kind, or None if the kind is not registered.

    It is built on first use, because annotations may refer to classes that are defined later.
    """
    if kind not in _DECODERS:
        cls = next((cls for cls, name in _KINDS.items() if name == kind), None)
        if cls is None:
            return None
        _DECODERS[kind] = msgspec.msgpack.Decoder(cls)
    return _DECODERS[kind]
