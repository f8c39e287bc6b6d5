"""Readable difference of two configuration documents, key by key."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from attrs import frozen


@frozen
class Change:
    """One key path whose value differs; a missing value is None."""

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        """Return one line: + for added, - for removed, ~ for changed."""
        if self.old is None:
            return f"+ {self.key} = {self.new!r}"
        if self.new is None:
            return f"- {self.key} = {self.old!r}"
        return f"~ {self.key} = {self.old!r} -> {self.new!r}"


def changes(old: Any, new: Any, key: str = "") -> Iterator[Change]:
    """Yield the changed leaves of two nested tables in key order."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            path = f"{key}.{name}" if key else name
            yield from changes(old.get(name), new.get(name), path)
    elif old is None and isinstance(new, dict) and new:
        yield from changes({}, new, key)
    elif new is None and isinstance(old, dict) and old:
        yield from changes(old, {}, key)
    elif old != new:
        yield Change(key, old, new)
