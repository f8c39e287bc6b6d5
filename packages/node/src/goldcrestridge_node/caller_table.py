"""What all connections of callers of a process share: a buffer, and who goes next."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from goldcrestridge_node.caller_connection import CallerConnection

# Bytes that are read at once. The buffer is shared, since its bytes are copied out at once.
READ_BYTES = 65_536


@define(eq=False)
class CallerTable:
    """The connections of all listeners of a process."""

    read_buffer: memoryview = field(factory=lambda: memoryview(bytearray(READ_BYTES)))
    _ahead: deque[CallerConnection] = field(factory=deque)

    def queue(self, conn: CallerConnection) -> None:
        """Let a connection go on with a request that was sent ahead, after those before it.

        One of them begins in each iteration of the event loop, so that callers who wait for their
        answers are served beside any number of requests that were sent ahead.
        """
        self._ahead.append(conn)
        if len(self._ahead) == 1:
            asyncio.get_running_loop().call_soon(self._proceed)

    def _proceed(self) -> None:
        conn = self._ahead.popleft()
        if self._ahead:
            asyncio.get_running_loop().call_soon(self._proceed)
        conn.proceed()
