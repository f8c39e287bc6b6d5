"""Bounded buffer between the requests role and the connection of a caller."""

from __future__ import annotations

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field

from goldcrestridge_core.call_types import RespondChunk, RespondEnd, RespondFailure, RespondHead

ResponseEffect = RespondHead | RespondChunk | RespondEnd | RespondFailure
Item = RespondHead | RespondChunk
BATCH_ITEMS = 64


@define(eq=False)
class ResponseBuffer:
    """Buffer of the effects of one request that are sent to its caller.

    The head and the chunks pass through a bounded memory stream. The end is stored without waiting
    and takes effect after all chunks that were offered before it.
    """

    capacity: int
    end: RespondEnd | RespondFailure | None = None
    _sender: MemoryObjectSendStream[Item] = field(init=False)
    _receiver: MemoryObjectReceiveStream[Item] = field(init=False)
    _wake: anyio.Event = field(init=False, factory=anyio.Event)
    _blocked_puts: int = field(init=False, default=0)  # Number of ``put`` calls that are blocked.

    def __attrs_post_init__(self) -> None:
        """Create the memory stream."""
        self._sender, self._receiver = anyio.create_memory_object_stream[Item](self.capacity)

    def offer(self, effect: ResponseEffect) -> bool:
        """Add an effect without waiting; return False if the buffer is full."""
        if self.end is not None:
            return True
        if isinstance(effect, (RespondEnd, RespondFailure)):
            self.end = effect
            self._wake.set()
            return True
        try:
            self._sender.send_nowait(effect)
        except anyio.WouldBlock:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return True  # The caller has disconnected.
        self._wake.set()
        return True

    async def put(self, effect: ResponseEffect) -> None:
        """Add an effect; wait while the buffer is full because the caller reads slowly."""
        if self.offer(effect):
            return
        assert isinstance(effect, (RespondHead, RespondChunk))
        self._blocked_puts += 1
        try:
            await self._sender.send(effect)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            self._blocked_puts -= 1
            self._wake.set()

    async def take(self) -> list[Item]:
        """Wait for items and return them; return an empty list after the end or ``close``.

        This waits for a separate event, because ``receive`` of the memory stream yields to all
        other tasks first, which costs one more iteration of the event loop for every chunk.
        """
        items: list[Item] = []
        while True:
            try:
                while len(items) < BATCH_ITEMS:
                    items.append(self._receiver.receive_nowait())
                return items
            except anyio.WouldBlock:
                if items or (self.end is not None and not self._blocked_puts):
                    return items
            except (anyio.EndOfStream, anyio.ClosedResourceError):
                return items
            self._wake = anyio.Event()
            await self._wake.wait()

    def close(self) -> None:
        """Drop the buffered items, and wake the reader and the blocked writers."""
        self._sender.close()
        self._receiver.close()
        self._wake.set()
