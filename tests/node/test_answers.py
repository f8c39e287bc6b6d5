"""Hand-over of an answer: order, bound, end and early close."""

from __future__ import annotations

import anyio
import anyio.lowlevel
from tests.node.path_helpers import run, wait_until

from goldcrestridge_core.call_types import RespondChunk, RespondEnd, RespondFailure
from goldcrestridge_core.types import Outcome, Reason, RequestId
from goldcrestridge_node.answers import AnswerBuffer

ID = RequestId("r")
FAILURE = RespondFailure(ID, Outcome.FAILED, Reason.UPSTREAM_LOST, "")


def chunks(count: int) -> list[RespondChunk]:
    return [RespondChunk(ID, b"%d" % number) for number in range(count)]


def test_chunks_that_wait_are_sent_in_order_before_the_end() -> None:
    # Guards against an end that overtakes or drops what came before it.
    async def scenario() -> None:
        answer = AnswerBuffer(2)
        async with anyio.create_task_group() as group:

            async def produce() -> None:
                for chunk in chunks(5):
                    await answer.put(chunk)
                assert answer.offer(RespondEnd(ID))

            group.start_soon(produce)
            await wait_until(lambda: answer._receiver.statistics().tasks_waiting_send == 1)
            taken = []
            while items := await answer.take():
                taken += items
        assert taken == chunks(5)
        assert answer.end == RespondEnd(ID)

    run(scenario)


def test_an_end_does_not_wait_while_a_chunk_does() -> None:
    # Guards against a timer that blocks on a slow caller, and against the lost chunk.
    async def scenario() -> None:
        answer = AnswerBuffer(1)
        async with anyio.create_task_group() as group:
            first, second = chunks(2)
            assert answer.offer(first)
            assert not answer.offer(second)
            group.start_soon(answer.put, second)
            await wait_until(lambda: answer._receiver.statistics().tasks_waiting_send == 1)
            assert answer.offer(FAILURE)
            assert answer.offer(RespondEnd(ID))
            taken = []
            while items := await answer.take():
                taken += items
        assert taken == [first, second]
        assert answer.end is FAILURE  # The first end counts.

    run(scenario)


def test_a_reader_that_waits_is_woken_by_a_chunk_that_had_to_wait() -> None:
    # Guards against a stream that stalls after its caller was slow once.
    async def scenario() -> None:
        answer = AnswerBuffer(1)
        first, second = chunks(2)
        async with anyio.create_task_group() as group:
            answer.offer(first)
            group.start_soon(answer.put, second)
            await anyio.lowlevel.checkpoint()  # The chunk finds the buffer full.
            assert await answer.take() == [first]
            assert await answer.take() == [second]

    run(scenario)


def test_a_close_wakes_both_sides() -> None:
    # Guards against tasks that wait for ever once the caller has gone.
    async def scenario() -> None:
        empty, full = AnswerBuffer(1), AnswerBuffer(1)
        first, second = chunks(2)
        full.offer(first)
        async with anyio.create_task_group() as group:
            group.start_soon(empty.take)
            group.start_soon(full.put, second)
            await wait_until(lambda: full._receiver.statistics().tasks_waiting_send == 1)
            empty.close()
            full.close()
        assert await empty.take() == []
        assert full.offer(second)  # Nobody reads it any more.

    run(scenario)
