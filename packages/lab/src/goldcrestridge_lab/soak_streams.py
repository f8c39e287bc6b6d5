"""Streams of the fault soak: the ids and the form of their events."""

from __future__ import annotations

import itertools
import random
from functools import lru_cache

from attrs import frozen

STREAM_EVENTS = 6
FIRST_IDS = (0, 0, 1, 2, 999, 2**53, 2**64)
# Differences between one id and the next.
ID_STEPS = (1, 1, 1, 2, 1_000)
LINE_ENDS = (b"\n", b"\r\n")
BLANKS = (b" ", b"")


@frozen
class StreamShape:
    """The ids of a stream's events, and the bytes between their fields."""

    ids: tuple[int, ...]
    line_end: bytes
    blank: bytes

    def encode(self, target: str, position: int, version: str) -> bytes:
        """Return the event at a position, from 0, as an upstream of a version sends it."""
        event_id = self.ids[position]
        fields = ((b"id", f"{event_id}"), (b"data", f"{target} {event_id} {version}"))
        lines = (b"%b:%b%b" % (name, self.blank, text.encode()) for name, text in fields)
        return b"".join(line + self.line_end for line in (*lines, b""))

    def next_position(self, last_event_id: str | None) -> int:
        """Return the position after the event with an id; it is 0 for a new stream."""
        return 0 if last_event_id is None else self.ids.index(int(last_event_id)) + 1


@lru_cache(maxsize=4_096)
def shape_of(target: str) -> StreamShape:
    """Return the shape of the stream of a target, the same at each upstream."""
    rng = random.Random(target)
    steps = (rng.choice(ID_STEPS) for _ in range(STREAM_EVENTS - 1))
    ids = tuple(itertools.accumulate(steps, initial=rng.choice(FIRST_IDS)))
    return StreamShape(ids, rng.choice(LINE_ENDS), rng.choice(BLANKS))
