"""Compressed documents, as differences from a document that the receiver holds."""

from __future__ import annotations

import zlib
from collections import OrderedDict

from attrs import define, field

# zlib looks back this far, so a longer base helps only with its end.
WINDOW_BYTES = 32_768
# An asker is seldom further behind; older ones get the document without a base.
KEPT_VERSIONS = 8
COMPRESSION_LEVEL = 6


def pack(document: bytes, base: bytes = b"") -> bytes:
    """Return a document compressed with ``base`` as a dictionary."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zdict=base[-WINDOW_BYTES:])
    return compressor.compress(document) + compressor.flush()


def unpack(data: bytes, base: bytes = b"") -> bytes:
    """Return the document; raise zlib.error if ``base`` is not the one it was packed with."""
    decompressor = zlib.decompressobj(zdict=base[-WINDOW_BYTES:])
    return decompressor.decompress(data) + decompressor.flush()


@define
class Deltas:
    """The newest versions of a document, packed for receivers that hold an earlier one."""

    _documents: OrderedDict[int, bytes] = field(factory=OrderedDict)
    _packed: dict[int, bytes] = field(factory=dict)

    def add(self, version: int, document: bytes) -> None:
        """Take a newer version; it is the one that is packed from now on."""
        if version in self._documents:
            return
        self._documents[version] = document
        self._packed = {}
        while len(self._documents) > KEPT_VERSIONS:
            self._documents.popitem(last=False)

    def pack_newest(self, have_version: int) -> tuple[int, bytes]:
        """Return the newest version packed, with the version that it builds on, or 0."""
        base = have_version if have_version in self._documents else 0
        if base not in self._packed:
            newest = next(reversed(self._documents.values()))
            self._packed[base] = pack(newest, self._documents.get(base, b""))
        return base, self._packed[base]
