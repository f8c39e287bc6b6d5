"""Bounded hand-over of one answer from the request's role to the caller's connection."""

from __future__ import annotations

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field

from goldcrestridge_core.types import RespondChunk, RespondEnd, RespondFailure, RespondHead

Effect = RespondHead | RespondChunk | RespondEnd | RespondFailure
Item = RespondHead | RespondChunk
BATCH_ITEMS = 64


@define(eq=False)
class Answer:
    """The effects of one request on their way to its caller.

    The head and the chunks pass through a bounded stream. The end never waits: it closes the
    stream, and the chunks in it are still sent before the end takes effect.
    """

    capacity: int
    end: RespondEnd | RespondFailure | None = None
    _sender: MemoryObjectSendStream[Item] = field(init=False)
    _receiver: MemoryObjectReceiveStream[Item] = field(init=False)
    _wake: anyio.Event = field(init=False, factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Open the stream."""
        self._sender, self._receiver = anyio.create_memory_object_stream[Item](self.capacity)

    def offer(self, effect: Effect) -> bool:
        """Take an effect without waiting; return False if the stream is full."""
        if isinstance(effect, (RespondEnd, RespondFailure)):
            self.end = self.end or effect
            self._sender.close()
            self._wake.set()
            return True
        try:
            self._sender.send_nowait(effect)
        except anyio.WouldBlock:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return True  # The caller has gone or the answer has ended.
        self._wake.set()
        return True

    async def put(self, effect: Effect) -> None:
        """Take an effect; wait while the caller is slower than the upstream."""
        if self.offer(effect):
            return
        assert isinstance(effect, (RespondHead, RespondChunk))
        try:
            await self._sender.send(effect)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def take(self) -> list[Item]:
        """Return the waiting items, at least one; return none after the end or ``close``.

        Waits for an event of its own, because ``receive`` of the stream gives way to all other
        tasks first, which costs one more round of the event loop for every chunk.
        """
        items: list[Item] = []
        while True:
            try:
                while len(items) < BATCH_ITEMS:
                    items.append(self._receiver.receive_nowait())
                return items
            except anyio.WouldBlock:
                if items:
                    return items
            except (anyio.EndOfStream, anyio.ClosedResourceError):
                return items
            self._wake = anyio.Event()
            await self._wake.wait()

    def close(self) -> None:
        """Drop what is waiting and wake both sides."""
        self._sender.close()
        self._receiver.close()
        self._wake.set()
