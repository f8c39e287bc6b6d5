"""Tests of a gateway that stops while callers go on sending requests."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from tests.node.gateway_helpers import (
    KEY,
    RunningGateway,
    UpstreamExchange,
    ok,
    running_gateway,
    scripted,
)

pytestmark = pytest.mark.anyio

TIMEOUT_S = 10.0
# Requests on the callers' connections before the stop, two for each of them.
MIN_SENT = 80


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def request(number: int, body: bytes = b"x") -> bytes:
    head = (
        f"POST /charge/{number} HTTP/1.1\r\nhost: h\r\nx-api-key: {KEY}\r\n"
        f"x-goldcrestridge-request-id: r{number}\r\nx-goldcrestridge-deadline-ms: 2500\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def slow_ok(exchange: UpstreamExchange) -> None:
    await anyio.sleep(0.3)
    await ok(exchange)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the status line of an answer, or nothing if the connection ends without one."""
    with anyio.fail_after(TIMEOUT_S):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
    return head.split(b"\r\n", 1)[0]


async def stop(running: RunningGateway) -> None:
    """Stop as an entry node does: drain first, then stop accepting, then wait for the rest."""
    running.gateway.draining = True
    running.stop.set()
    await running.gateway.wait_idle(300.0)


@pytest.mark.parametrize("part", ["head", "body", "none", "waiting"])
async def test_a_request_that_was_begun_before_a_planned_stop_is_answered(part: str) -> None:
    # Guards against a request that is cut because its connection looks idle: its head or body is
    # half read, or the kernel still holds it.
    async with running_gateway(scripted("a", slow_ok)) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        data = request(1, b"body of the request")
        cut = {"head": 40, "body": len(data) - 5, "none": 0, "waiting": len(data)}[part]
        writer.write(data[:cut])
        await writer.drain()
        if cut:
            await anyio.sleep(0.05)
        async with anyio.create_task_group() as tasks:
            if part == "none":
                writer.write(data)
                cut = len(data)
            tasks.start_soon(stop, running)
            await anyio.sleep(0.05)
            writer.write(data[cut:])
            assert (await read_answer(reader)).startswith(b"HTTP/1.1 200")
        writer.close()


async def test_no_caller_whose_request_was_sent_before_a_planned_stop_gets_nothing() -> None:
    # Guards against connections that the kernel has accepted and the node has not, and against
    # requests on connections that were idle at the stop.
    answered: dict[int, bytes] = {}
    sent: list[int] = []
    stopping, under_way = anyio.Event(), anyio.Event()

    async with running_gateway(scripted("a", ok)) as running:

        async def caller(first: int) -> None:
            reader = writer = None
            for number in range(first, first + 1_000):
                if stopping.is_set():
                    return
                if writer is None or writer.is_closing():
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
                    except ConnectionError:
                        return
                if stopping.is_set():
                    return
                writer.write(request(number))
                sent.append(number)
                if len(sent) > MIN_SENT:
                    under_way.set()
                assert reader is not None
                answered[number] = await read_answer(reader)
                if not answered[number] or number % 3 == 0:
                    writer.close()
                    writer = None

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(caller, 10_000 * number)
            with anyio.fail_after(TIMEOUT_S):
                await under_way.wait()
            stopping.set()
            await stop(running)
    assert [number for number in sent if not answered[number]] == []
