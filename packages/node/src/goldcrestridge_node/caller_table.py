"""What all connections of callers of a process share."""

from __future__ import annotations

from attrs import define, field

# Bytes that are read at once. The buffer is shared, since its bytes are copied out at once.
READ_BYTES = 65_536


@define(eq=False)
class CallerTable:
    """What the connections of all listeners of a process share."""

    read_buffer: memoryview = field(factory=lambda: memoryview(bytearray(READ_BYTES)))
