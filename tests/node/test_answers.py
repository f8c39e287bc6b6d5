"""Tests of the response buffer: order, capacity, end and early close."""

from __future__ import annotations

import anyio
import anyio.lowlevel
from tests.node.path_helpers import run, wait_until

from goldcrestridge_core.call_types import RespondChunk, RespondEnd, RespondFailure
from goldcrestridge_core.types import Outcome, Reason, RequestId
from goldcrestridge_node.answers import ResponseBuffer

ID = RequestId("r")
FAILURE = RespondFailure(ID, Outcome.FAILED, Reason.UPSTREAM_LOST, "")


def chunks(count: int) -> list[RespondChunk]:
    return [RespondChunk(ID, b"%d" % number) for number in range(count)]


def test_blocked_chunks_are_delivered_in_order_before_the_end() -> None:
    # Guards against an end that overtakes or drops the chunks before it.
    async def scenario() -> None:
        buffer = ResponseBuffer(2)
        async with anyio.create_task_group() as group:

            async def produce() -> None:
                for chunk in chunks(5):
                    await buffer.put(chunk)
                assert buffer.offer(RespondEnd(ID))

            group.start_soon(produce)
            await wait_until(lambda: buffer._receiver.statistics().tasks_waiting_send == 1)
            taken = []
            while items := await buffer.take():
                taken += items
        assert taken == chunks(5)
        assert buffer.end == RespondEnd(ID)

    run(scenario)


def test_an_end_is_accepted_while_a_chunk_is_blocked() -> None:
    # Guards against a timer that blocks on a slow caller, and against loss of the blocked chunk.
    async def scenario() -> None:
        buffer = ResponseBuffer(1)
        async with anyio.create_task_group() as group:
            first, second = chunks(2)
            assert buffer.offer(first)
            assert not buffer.offer(second)
            group.start_soon(buffer.put, second)
            await wait_until(lambda: buffer._receiver.statistics().tasks_waiting_send == 1)
            assert buffer.offer(FAILURE)
            assert buffer.offer(RespondEnd(ID))
            taken = []
            while items := await buffer.take():
                taken += items
        assert taken == [first, second]
        assert buffer.end is FAILURE  # Later ends are ignored.

    run(scenario)


def test_a_waiting_reader_is_woken_by_a_chunk_that_was_blocked() -> None:
    # Guards against a stream that stalls after its caller was slow once.
    async def scenario() -> None:
        buffer = ResponseBuffer(1)
        first, second = chunks(2)
        async with anyio.create_task_group() as group:
            buffer.offer(first)
            group.start_soon(buffer.put, second)
            await anyio.lowlevel.checkpoint()  # The chunk finds the buffer full.
            assert await buffer.take() == [first]
            assert await buffer.take() == [second]

    run(scenario)


def test_close_wakes_the_reader_and_the_writer() -> None:
    # Guards against tasks that wait forever after the caller has disconnected.
    async def scenario() -> None:
        empty, full = ResponseBuffer(1), ResponseBuffer(1)
        first, second = chunks(2)
        full.offer(first)
        async with anyio.create_task_group() as group:
            group.start_soon(empty.take)
            group.start_soon(full.put, second)
            await wait_until(lambda: full._receiver.statistics().tasks_waiting_send == 1)
            empty.close()
            full.close()
        assert await empty.take() == []
        assert full.offer(second)  # The effect is dropped.

    run(scenario)
