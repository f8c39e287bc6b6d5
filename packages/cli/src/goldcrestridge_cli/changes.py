"""Compare two configuration documents key by key."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from attrs import frozen


@frozen
class Change:
    """A key path whose values differ; ``old`` or ``new`` is None if the key is missing there."""

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        """Format as one line that starts with + (added), - (removed) or ~ (changed)."""
        if self.old is None:
            return f"+ {self.key} = {self.new!r}"
        if self.new is None:
            return f"- {self.key} = {self.old!r}"
        return f"~ {self.key} = {self.old!r} -> {self.new!r}"


def iter_changes(old: Any, new: Any, key: str = "") -> Iterator[Change]:
    """Yield the leaves that differ between two nested tables, in the order of their keys."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            path = f"{key}.{name}" if key else name
            yield from iter_changes(old.get(name), new.get(name), path)
    elif old is None and isinstance(new, dict) and new:
        yield from iter_changes({}, new, key)
    elif new is None and isinstance(old, dict) and old:
        yield from iter_changes(old, {}, key)
    elif old != new:
        yield Change(key, old, new)
