"""Tests of calls whose results are shared."""

from __future__ import annotations

import anyio
import pytest

from goldcrestridge_node.shared_call import SharedCall

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_callers_that_wait_share_one_run_that_begins_after_them() -> None:
    # Guards against one run for each caller, and against a result that is older than its caller.
    state, runs = 0, 0

    async def read() -> int:
        nonlocal runs
        runs += 1
        seen = state
        await anyio.sleep(0.01)
        return seen

    shared, results = SharedCall(read), []

    async def ask() -> None:
        before = state
        results.append((before, await shared.get()))

    async with anyio.create_task_group() as tasks:
        for _ in range(100):
            tasks.start_soon(ask)
        await anyio.sleep(0.005)
        state = 1
        for _ in range(100):
            tasks.start_soon(ask)
    assert runs <= 3
    assert len(results) == 200
    assert all(seen >= before for before, seen in results)


async def test_a_run_that_is_cancelled_is_made_by_another_caller() -> None:
    # Guards against callers that wait for the result of a caller who has left.
    async def read() -> int:
        await anyio.sleep(0.02)
        return 7

    shared, results = SharedCall(read), []

    async def ask() -> None:
        results.append(await shared.get())

    async with anyio.create_task_group() as tasks:
        with anyio.move_on_after(0.005):
            async with anyio.create_task_group() as leaving:
                leaving.start_soon(ask)
                await anyio.sleep(0.001)
                tasks.start_soon(ask)
                tasks.start_soon(ask)
    assert results == [7, 7]
