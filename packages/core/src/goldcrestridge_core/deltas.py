"""Documents compressed with a base document that the receiver already holds."""

from __future__ import annotations

import zlib
from collections import OrderedDict

from attrs import define, field

# Size of the zlib window; of a longer base only the last bytes are useful.
WINDOW_BYTES = 32_768
# Receivers are seldom further behind; those that are get the document without a base.
MAX_RETAINED_VERSIONS = 8
COMPRESSION_LEVEL = 6


def pack(document: bytes, base: bytes = b"") -> bytes:
    """Return a document compressed with ``base`` as a dictionary."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zdict=base[-WINDOW_BYTES:])
    return compressor.compress(document) + compressor.flush()


def unpack(data: bytes, base: bytes = b"") -> bytes:
    """Return the document; raise zlib.error if ``base`` differs from that given to pack()."""
    decompressor = zlib.decompressobj(zdict=base[-WINDOW_BYTES:])
    return decompressor.decompress(data) + decompressor.flush()


@define
class Deltas:
    """Keep recent versions of a document and compress the newest one against earlier ones."""

    _documents: OrderedDict[int, bytes] = field(factory=OrderedDict)
    _packed: dict[int, bytes] = field(factory=dict)

    def add(self, version: int, document: bytes) -> None:
        """Add a newer version, which replaces the one returned by pack_newest()."""
        if version in self._documents:
            return
        self._documents[version] = document
        self._packed = {}
        while len(self._documents) > MAX_RETAINED_VERSIONS:
            self._documents.popitem(last=False)

    def pack_newest(self, have_version: int) -> tuple[int, bytes]:
        """Return the base version, or 0 for none, and the newest document compressed with it."""
        base = have_version if have_version in self._documents else 0
        if base not in self._packed:
            newest = next(reversed(self._documents.values()))
            self._packed[base] = pack(newest, self._documents.get(base, b""))
        return base, self._packed[base]
