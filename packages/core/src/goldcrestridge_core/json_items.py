"""Reading of a JSON list item by item, so that a malformed item does not hide the others.

Several programs may write the items of one list. Each item is returned as raw bytes, which its
reader decodes on its own. Most lists are split by msgspec. Only one that msgspec refuses as a whole
is split here, by its quotes and brackets alone: it may hold invalid characters or nest deeply.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec
from attrs import define, frozen
from returns.result import Failure, Result, Success

from goldcrestridge_core.decoding import decode_json

# Bounds on the work for one list: the rest of a longer one counts as unreadable. Bytes are scanned
# again after a damaged item.
MAX_TOKENS = 50_000
MAX_SCANS = 4
MIN_SCANNED_BYTES = 262_144

_SPACE = re.compile(rb"[ \t\r\n]*")
# A run of equal brackets, or strings and anything else up to the next bracket.
_TOKEN = re.compile(rb'\[+|\]+|\{+|\}+|(?:"(?:[^"\\]|\\.)*+"|[^"\[\]{}])++', re.DOTALL)
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)
_SCALAR = re.compile(rb"[^\s\"\[\]{},:]+")
_OPENING = {ord("["): ord("]"), ord("{"): ord("}")}


@frozen
class Items:
    """The items of a list and the other members of the object that holds it, all undecoded.

    ``complete`` is false if the list is damaged in such a way that items may be missing.
    """

    items: tuple[bytes | msgspec.Raw, ...]
    members: dict[str, bytes | msgspec.Raw]
    complete: bool = True


def split_items(body: bytes, name: str) -> Result[Items, str]:
    """Split the list ``name`` of a JSON object; the failure is a reason without a period."""
    members: dict[str, Any] = decode_json(body, dict[str, msgspec.Raw]).value_or({})
    if name in members:
        items = decode_json(members.pop(name), list[msgspec.Raw])
        if isinstance(items, Success):
            return Success(Items(tuple(items.unwrap()), members))
    return _Scanner(body).read_object(name)


@define
class _Scanner:
    """Position in a text whose strings and brackets are matched, and nothing else."""

    body: bytes
    at: int = 0
    tokens: int = 0
    scanned_bytes: int = 0

    def read_object(self, name: str) -> Result[Items, str]:
        """Read the whole text as an object that holds the list."""
        if not self._skip(b"{"):
            return Failure("it is not a JSON object")
        items: tuple[bytes, ...] | None = None
        members: dict[str, bytes | msgspec.Raw] = {}
        complete = True
        while not self._skip(b"}"):
            key = decode_json(self._value() or b"", str).value_or(None)
            if key is None or not self._skip(b":"):
                complete = False
                break
            if key == name and self._skip(b"["):
                items, complete = self._list()
            else:
                value = self._value()
                if value is None:
                    complete = False
                    break
                members[key] = value
            self._skip(b",")
        if items is None:
            return Failure(f"it has no readable list {name!r}")
        return Success(Items(items, members, complete))

    def _list(self) -> tuple[tuple[bytes, ...], bool]:
        """Read items up to the end of the list; go on at the next object after a damaged one."""
        items: list[bytes] = []
        complete = True
        while not self._skip(b"]"):
            start = self.at
            value = self._value()
            if value is not None and (self._skip(b",") or self._peek(b"]")):
                items.append(value)
                continue
            complete = False
            self.at = self.body.find(b"{", start + 1)
            if self.at < 0 or self._is_exhausted():
                self.at = len(self.body)
                break
        return tuple(items), complete

    def _is_exhausted(self) -> bool:
        """Return whether reading on would take too long."""
        max_bytes = max(MIN_SCANNED_BYTES, MAX_SCANS * len(self.body))
        return self.tokens > MAX_TOKENS or self.scanned_bytes > max_bytes

    def _value(self) -> bytes | None:
        """Return the next value undecoded, or None if its end is not found."""
        self._skip(b"")
        start = self.at
        simple = _SCALAR.match(self.body, start) or _STRING.match(self.body, start)
        if simple is not None:
            self.at = simple.end()
            return simple.group()
        closing: list[tuple[int, int]] = []  # Brackets that are due, innermost last: byte, number.
        for token in _TOKEN.finditer(self.body, start):
            first, size = token.group()[0], token.end() - token.start()
            self.tokens += 1
            self.scanned_bytes += size
            # A quote without its end belongs to no token.
            if token.start() != self.at or self._is_exhausted():
                return None
            self.at = token.end()
            if first in _OPENING:
                closing.append((_OPENING[first], size))
                continue
            if first in _OPENING.values():
                size = _close(closing, first, size)
                if size and closing:
                    return None
            if not closing:
                self.at -= size
                return self.body[start : self.at] or None
        return None

    def _peek(self, text: bytes) -> bool:
        return self.body.startswith(text, self.at)

    def _skip(self, text: bytes) -> bool:
        """Skip blanks and then a text; return whether it was there."""
        blanks = _SPACE.match(self.body, self.at)
        self.at = blanks.end() if blanks is not None else self.at
        if not self._peek(text):
            return False
        self.at += len(text)
        return True


def _close(closing: list[tuple[int, int]], bracket: int, size: int) -> int:
    """Take a run of closing brackets off those that are due; return how many were too many."""
    while size and closing and closing[-1][0] == bracket:
        due = closing.pop()[1]
        if due > size:
            closing.append((bracket, due - size))
        size = max(0, size - due)
    return size
