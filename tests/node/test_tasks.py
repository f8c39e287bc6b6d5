"""Tests of the tasks that entry and control nodes share."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from goldcrestridge_core.types import Count
from goldcrestridge_node.tasks import call_or_log

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Log:
    """Record what is logged as an error."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def error(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


async def test_a_fault_in_a_call_is_logged_and_ends_no_process() -> None:
    # Guards against a process that ends because a reader of foreign input has a fault, and against
    # such a fault that nobody sees.
    log = Log()
    counts: list[Count] = []

    async def fail() -> int:
        raise OverflowError("too large")

    async def answer() -> int:
        return 7

    assert await call_or_log(fail, "read", log, counts.append) is None
    assert await call_or_log(answer, "read", log, counts.append) == 7
    assert counts == [Count("calls_failed_unexpectedly", 1, (("call", "read"),))]
    (line,) = log.lines
    assert line[0] == "call_failed_unexpectedly"
    assert (line[1]["reason"], line[1]["exc_info"]) == ("OverflowError('too large')", True)


async def test_a_cancelled_call_ends() -> None:
    # Guards against a process that cannot be stopped while it waits for the platform.
    with anyio.move_on_after(0.01) as scope:
        await call_or_log(anyio.sleep_forever, "read", Log(), lambda _count: None)
    assert scope.cancelled_caught
