"""Tests of a gateway in front of upstreams that end their answers early or without framing."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import anyio
import httpcore
import pytest
from tests.node.gateway_helpers import (
    KEY,
    Handler,
    UpstreamExchange,
    event,
    running_gateway,
    scripted,
)

from goldcrestridge_node.connections import UpstreamConnection
from goldcrestridge_node.dispatch import drain_rejection

pytestmark = pytest.mark.anyio

HALF_EVENT = event(2)[:-4]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def stream_of(framing: str, body: bytes) -> Handler:
    """Return a handler that sends an event stream, complete as its framing tells."""

    async def handle(exchange: UpstreamExchange) -> None:
        headers = {"content_type": "text/event-stream"}
        if framing == "chunked":
            head = exchange.head(200, transfer_encoding="chunked", **headers)
            await exchange.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
        elif framing == "length":
            await exchange.respond(200, body, **headers)
        else:
            await exchange.write(exchange.head(200, **headers) + body)
            exchange.close()

    return handle


@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
async def test_a_stream_that_ends_inside_an_event_does_not_reach_its_caller_as_complete(
    framing: str,
) -> None:
    # Guards against an answer that its upstream broke off and that is framed as complete.
    upstream = scripted("a", stream_of(framing, event(1) + HALF_EVENT))
    async with running_gateway(upstream) as running:
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/stream/x")
        assert running.log_lines[-1]["outcome"] == "broken_off"


@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
async def test_a_stream_that_ends_inside_an_event_is_resumed_after_its_last_whole_event(
    framing: str,
) -> None:
    # Guards against a resumable stream that ends early, or that repeats the half event.
    broken = stream_of(framing, event(1) + HALF_EVENT)

    async def begin_or_resume(exchange: UpstreamExchange) -> None:
        if exchange.headers.get("last-event-id") == "1":
            await exchange.stream(event(2))
        else:
            await broken(exchange)

    upstreams = scripted("a", begin_or_resume), scripted("b", begin_or_resume)
    async with running_gateway(*upstreams) as running:
        assert (await running.call("/resume/x")).content == event(1) + event(2)


async def test_a_stream_that_ends_inside_its_first_event_is_not_a_success() -> None:
    # Guards against the half of an event in place of a stream whose upstream crashed as it began.
    async with running_gateway(scripted("a", stream_of("close", HALF_EVENT))) as running:
        assert (await running.call("/stream/x")).status == 502


async def test_a_stream_that_is_closed_without_framing_and_events_is_not_a_success() -> None:
    # Guards against an empty stream in place of one whose upstream crashed as it began.
    async with running_gateway(scripted("a", stream_of("close", b""))) as running:
        assert (await running.call("/stream/x")).status == 502


async def test_a_stream_that_is_framed_as_empty_is_complete() -> None:
    # Guards against failing a stream that its upstream itself ended without events.
    async with running_gateway(scripted("a", stream_of("chunked", b"\n"))) as running:
        assert (await running.call("/stream/x")).status == 200


@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
@pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n", b": the end\n"])
async def test_a_stream_that_ends_between_events_is_complete(framing: str, rest: bytes) -> None:
    # Guards against a sound stream that is reported as broken off.
    body = event(1) + event(2) + rest
    async with running_gateway(scripted("a", stream_of(framing, body))) as running:
        assert (await running.call("/stream/x")).content == body
        assert running.log_lines[-1]["outcome"] == "passed_on"


async def test_a_stream_without_framing_that_is_reset_between_events_is_broken_off() -> None:
    # Guards against a reset connection that counts as the end of its response.
    async def broken(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, content_type="text/event-stream") + event(1))
        exchange.reset()

    async with running_gateway(scripted("a", broken)) as running:
        try:
            response = await running.call("/stream/x")
        except httpcore.RemoteProtocolError:
            return
        assert response.status == 502


@pytest.mark.parametrize("path", ["/charge/x", "/read/x", "/stream/x"])
async def test_an_answer_without_framing_is_whole_once_its_connection_is_closed(path: str) -> None:
    # Guards against refusing sound answers that have neither a length nor chunks, and against
    # reading an answer on a streaming route as events that it does not hold.
    async def close_after(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, content_type="application/json") + b'{"a": 1}')
        exchange.close()

    async with running_gateway(scripted("a", close_after)) as running:
        response = await running.call(path)
        assert (response.status, response.content) == (200, b'{"a": 1}')


@pytest.mark.parametrize("path", ["/charge/x", "/read/x", "/stream/x"])
async def test_an_answer_without_framing_whose_connection_is_reset_is_not_whole(path: str) -> None:
    # Guards against passing on a part of an answer as all of it.
    async def reset_inside(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, content_type="application/json") + b'{"a"')
        exchange.reset()

    async with running_gateway(scripted("a", reset_inside)) as running:
        assert (await running.call(path)).status == 502


async def test_a_caller_whose_protocol_cannot_show_a_cut_gets_no_stream() -> None:
    # Guards against a stream that is broken off and looks complete to a caller of HTTP/1.0, where
    # the end of the connection is the end of the response.
    upstream = scripted("a", stream_of("close", event(1) + HALF_EVENT))
    async with running_gateway(upstream) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(
            b"POST /stream/x HTTP/1.0\r\nhost: h\r\nx-api-key: %b\r\n"
            b"x-goldcrestridge-request-id: r1\r\ncontent-length: 0\r\n\r\n" % KEY.encode()
        )
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 505 ")
        assert b"x-goldcrestridge-outcome: not_run" in answer
        assert upstream.exchanges == []


async def test_a_stream_that_never_ends_its_event_fails_at_once() -> None:
    # Guards against bytes without end that fill the memory of the node until the deadline.
    async def endless(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, content_type="text/event-stream"))
        while True:
            await exchange.write(b"x" * 65_536)

    async with running_gateway(scripted("a", endless)) as running:
        response = await running.call("/stream/x", x_goldcrestridge_deadline_ms="60000")
        assert response.status == 502
        assert "too long" in running.log_lines[-1]["attempts"][0]


@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 200 OK\r\nx: "])
@pytest.mark.parametrize("path", ["/charge/x", "/stream/x"])
async def test_bytes_without_end_in_place_of_a_head_fail_at_once(start: bytes, path: str) -> None:
    # Guards against an upstream in trouble that holds its callers until their time limit.
    async def endless(exchange: UpstreamExchange) -> None:
        await exchange.write(start)
        while True:
            await exchange.write(b"x" * 65_536)

    async with running_gateway(scripted("a", endless)) as running:
        assert (await running.call(path)).status == 502
        assert "RemoteProtocolError" in running.log_lines[-1]["attempts"][0]


@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
async def test_a_long_answer_is_passed_on_before_all_of_it_has_arrived(framing: str) -> None:
    # Guards against holding answers of any length in memory, also such that never end.
    part, count, passed_on = b"x" * 65_536, 64, anyio.Event()

    async def long(exchange: UpstreamExchange) -> None:
        headers: dict[str, str] = {
            "close": {},
            "chunked": {"transfer_encoding": "chunked"},
            "length": {"content_length": str(len(part) * count)},
        }[framing]
        await exchange.write(exchange.head(200, **headers))
        for number in range(count):
            chunked = framing == "chunked"
            await exchange.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            if number == count - 2:
                await passed_on.wait()
        await exchange.write(b"0\r\n\r\n" if framing == "chunked" else b"")
        exchange.close()

    async with running_gateway(scripted("a", long)) as running:
        pool = httpcore.AsyncConnectionPool()
        headers: dict[bytes | str, bytes | str] = {
            "host": "h",
            "x-api-key": KEY,
            "x-goldcrestridge-request-id": "r1",
        }
        url = f"http://127.0.0.1:{running.port}/read/x"
        async with pool, pool.stream("POST", url, headers=headers) as response:
            size = 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                passed_on.set()
        assert (response.status, size) == (200, len(part) * count)
        assert running.log_lines[-1]["outcome"] == "passed_on"


async def test_a_long_answer_that_breaks_off_is_neither_repeated_nor_complete() -> None:
    # Guards against a second answer behind the part of a first one.
    async def broken(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, transfer_encoding="chunked"))
        part = b"%x\r\n%b\r\n" % (65_536, b"x" * 65_536)
        for _ in range(32):
            await exchange.write(part)
        exchange.close()

    upstreams = scripted("a", broken), scripted("b", broken)
    async with running_gateway(*upstreams) as running:
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/read/x")
        assert sum(len(upstream.exchanges) for upstream in upstreams) == 1
        assert running.log_lines[-1]["outcome"] == "broken_off"


async def test_a_rejection_with_bytes_without_end_is_read_in_part_only() -> None:
    # Guards against a rejection whose body fills the memory of the node.
    read: list[int] = []

    class Connection:
        async def body(self) -> AsyncIterator[bytes]:
            while sum(read) < 100 * 65_536:
                read.append(65_536)
                yield b"x" * 65_536

    class Response:
        async def aread(self) -> bytes:
            return b"".join([chunk async for chunk in Connection().body()])

        async def aclose(self) -> None:
            pass

    await drain_rejection(
        cast(httpcore.Response, Response()), cast(UpstreamConnection, Connection())
    )
    assert sum(read) <= 3 * 65_536
