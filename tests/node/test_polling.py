"""Tests of bounded requests to the platform and to load reports."""

from __future__ import annotations

import asyncio

import anyio
import httpcore
import pytest
from tests.node.stand_in import serving

from goldcrestridge_lab.soak_net import read_head
from goldcrestridge_node.polling import get

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("where", ["head", "body"])
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_a_reply_without_end_fails_within_its_bounds(where: str, pause_s: float) -> None:
    # Guards against bytes without end, fast or slow, that fill the memory or stop all polls.
    closed = anyio.Event()

    async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + (b"\r\n" if where == "body" else b""))
            while True:
                writer.write(b"x: 1\r\n" * (10 if pause_s else 10_000))
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            closed.set()

    async with serving(endless) as url, httpcore.AsyncConnectionPool() as pool:
        with pytest.raises((httpcore.ProtocolError, httpcore.TimeoutException)):
            await get(pool, f"{url}/load", 500.0, 1_000_000)
        with anyio.fail_after(5):
            await closed.wait()


async def test_a_whole_reply_is_read(anyio_backend: str) -> None:
    # Guards against a bound that cuts sound replies.
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\ncontent-length: 5\r\n\r\nwhole")
        await writer.drain()

    async with serving(serve) as url, httpcore.AsyncConnectionPool() as pool:
        reply = await get(pool, f"{url}/load", 5_000.0)
    assert (reply.status, reply.content) == (200, b"whole")
    assert (b"server-leaving", b"1") in reply.headers
