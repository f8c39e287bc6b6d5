"""Bounded hand-over of one answer from the request's role to the caller's connection."""

from __future__ import annotations

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field

from goldcrestridge_core.call_types import RespondChunk, RespondEnd, RespondFailure, RespondHead

Effect = RespondHead | RespondChunk | RespondEnd | RespondFailure
Item = RespondHead | RespondChunk
BATCH_ITEMS = 64


@define(eq=False)
class AnswerBuffer:
    """The effects of one request on their way to its caller.

    The head and the chunks pass through a bounded stream. The end never waits, and takes effect
    once all chunks that were offered before it are sent.
    """

    capacity: int
    end: RespondEnd | RespondFailure | None = None
    _sender: MemoryObjectSendStream[Item] = field(init=False)
    _receiver: MemoryObjectReceiveStream[Item] = field(init=False)
    _wake: anyio.Event = field(init=False, factory=anyio.Event)
    _waiting: int = field(init=False, default=0)  # Chunks in ``put``.

    def __attrs_post_init__(self) -> None:
        """Open the stream."""
        self._sender, self._receiver = anyio.create_memory_object_stream[Item](self.capacity)

    def offer(self, effect: Effect) -> bool:
        """Take an effect without waiting; return False if the stream is full."""
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
            return True  # The caller has gone.
        self._wake.set()
        return True

    async def put(self, effect: Effect) -> None:
        """Take an effect; wait while the caller is slower than the upstream."""
        if self.offer(effect):
            return
        assert isinstance(effect, (RespondHead, RespondChunk))
        self._waiting += 1
        try:
            await self._sender.send(effect)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            self._waiting -= 1
            self._wake.set()

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
                if items or (self.end is not None and not self._waiting):
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
