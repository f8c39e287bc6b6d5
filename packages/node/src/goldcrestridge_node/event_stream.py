"""Split a stream of server-sent events at the end of each event."""

from __future__ import annotations

import re

from attrs import define, field, frozen

# Python refuses to convert texts of more than some thousand digits.
MAX_ID_DIGITS = 1_000
# A line may end with CR LF, LF or CR.
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_DATA = re.compile(rb"(?:^|[\r\n])data[:\r\n]")
# Two line ends, as alternatives that each begin with a fixed byte, which is searched faster.
_END = re.compile(rb"\r\n(?:\r\n?|\n)|\n(?:\r\n?|\n)|\r\r\n?")
_END_BYTES = 4
# Blank lines and comments, which a stream may end with.
_BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")


@frozen(order=True)
class EventId:
    """The id of an event: a decimal number, with the digits that the upstream wrote."""

    number: int
    digits: bytes = field(eq=False)


def parse_event_id(text: bytes) -> EventId | None:
    """Return the id that a text holds, or None if it is no number of up to MAX_ID_DIGITS digits."""
    if not text.isdigit() or len(text) > MAX_ID_DIGITS:
        return None
    return EventId(int(text), text)


@define(eq=False)
class EventSplitter:
    """Return complete events only; ``last_id`` is the id of the last returned event.

    Events with an id up to ``last_id`` are dropped, so that a resumed stream repeats none. While
    ``ends_without_id``, a resumed stream would repeat the data that followed the last id.
    """

    last_id: EventId | None = None
    ends_without_id: bool = False
    has_events: bool = False  # Also dropped ones.
    _buffer: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, unchanged."""
        buffer = self._buffer + data if self._buffer else data
        events = []
        start = 0
        # What was searched before is not searched again, since a long event has many parts.
        for end in _END.finditer(buffer, max(0, len(self._buffer) - _END_BYTES + 1)):
            event = buffer[start : end.end()]
            start, self.has_events = end.end(), True
            if self._is_new(event):
                events.append(event)
        self._buffer = buffer[start:]
        return b"".join(events)

    def restart(self) -> None:
        """Prepare for the next attempt; drop the incomplete event of the one before."""
        self._buffer, self.has_events = b"", False

    @property
    def remainder(self) -> bytes:
        """Return the data after the last complete event."""
        return self._buffer

    @property
    def inside_event(self) -> bool:
        """Return whether the data received so far ends inside an event."""
        return _BETWEEN_EVENTS.fullmatch(self._buffer) is None

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        event_id = None if found is None else parse_event_id(found[1])
        if event_id is None:
            self.ends_without_id = self.ends_without_id or _DATA.search(event) is not None
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id, self.ends_without_id = event_id, False
        return True
