"""Rendezvous hashing: assigns a key to one of several names, alike on every node."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar("Name", bound=str)


def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names by descending rendezvous weight for ``key``."""
    return sorted(names, key=lambda name: (-weight(key, name), name))
