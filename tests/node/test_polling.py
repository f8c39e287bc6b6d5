"""Tests of bounded requests to the platform and to load reports."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import anyio
import httpcore
import pytest
from tests.node.stand_in import serving

from goldcrestridge_core import codec
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.types import CacheEvents, Count, LoadReport, UpstreamId, UpstreamResting
from goldcrestridge_lab.soak_net import CONNECTION_ERRORS, read_head
from goldcrestridge_node import reports
from goldcrestridge_node.polling import get
from goldcrestridge_node.reports import ReportPoller

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


ODD_REPORTS = [
    b"[" * 100_000,
    b'{"running":%s,"waiting":0,"slots":4}' % (b"9" * 30),
    b'{"running":-1,"waiting":0,"slots":4}',
    b'{"running":0,"waiting":0,"slots":4,"version":"\xff"}',
    b'{"running":0,"waiting":0,"slots":4,"version":"%s"}' % (b"x" * 100_000),
    b'{"running":0,"waiting":0,"slots":4,"limit_per_second":1e999}',
    b"",
]
ODD_PAGES = [
    b"[" * 100_000,
    b'{"events":[{"sequence":1,"kind":"added","block":%s}]}' % (b"9" * 30),
    b'{"events":[{"sequence":%s,"kind":"added","block":1}]}' % (b"9" * 30),
    b'{"events":[{"sequence":1,"kind":"\xff","block":1}]}',
]


@pytest.mark.parametrize("path", ["/load", "/cache_events?after=0"])
async def test_no_report_of_an_engine_ends_the_node_that_polls_it(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an entry node that ends, or sends what no message can hold, because one engine
    # reports odd values.
    monkeypatch.setattr(reports, "POLL_INTERVAL_MS", 1.0)
    sound = {
        "/load": b'{"running":1,"waiting":2,"slots":4}',
        "/cache_events?after=0": b'{"events":[{"sequence":5,"kind":"added","block":7}]}',
    }
    odd = list(ODD_REPORTS if path == "/load" else ODD_PAGES)
    failures = len(odd)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(*CONNECTION_ERRORS):
            while True:
                target = (await read_head(reader)).start_line[1]
                body = odd.pop(0) if odd and target == path else sound.get(target, b'{"events":[]}')
                head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                await writer.drain()

    delivered: list[LoadReport | CacheEvents | UpstreamResting] = []
    counts: list[Count] = []
    done = anyio.Event()

    def deliver(event: LoadReport | CacheEvents | UpstreamResting) -> None:
        codec.encode(event)
        delivered.append(event)
        if isinstance(event, CacheEvents):
            done.set()

    async with serving(serve) as url:
        name = UpstreamId("u")
        upstreams = {name: Upstream(name, url.removeprefix("http://"), "dc", 4)}
        poller = ReportPoller(lambda: upstreams, lambda _name: True, deliver, counts.append)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            with anyio.fail_after(20):
                await done.wait()
            tasks.cancel_scope.cancel()
    assert [count.name for count in counts] == ["upstream_reports_failed"] * failures
    assert CacheEvents(name, 5, (7,), ()) in delivered
