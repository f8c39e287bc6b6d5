"""Tests of answers that a faulty upstream repeats, breaks off or stops within their head."""

from __future__ import annotations

import asyncio
from collections import Counter

import httpcore
import pytest
from tests.node.gateway_helpers import (
    RunningGateway,
    ScriptedUpstream,
    UpstreamExchange,
    event,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.routes import EngineLimits

pytestmark = pytest.mark.anyio

ENGINE = EngineLimits(24, 100_000)
REFUSALS = {
    "named": {},
    "without a name": {"x_goldcrestridge_request_id": ""},
    "without a signature": {"x_goldcrestridge_server_stamp": ""},
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def runs_by_request(upstreams: list[ScriptedUpstream]) -> Counter[str]:
    """Return how many requests of each id the upstreams have received."""
    return Counter(
        exchange.headers["x-goldcrestridge-request-id"]
        for upstream in upstreams
        for exchange in upstream.exchanges
    )


@pytest.mark.parametrize("names", REFUSALS)
@pytest.mark.parametrize("moment", ["at once", "while idle", "after the next request"])
@pytest.mark.parametrize("path", ["/read/x", "/charge/x", "/stream/x", "/resume/x"])
async def test_a_refusal_that_is_written_once_more_is_not_the_answer_to_the_next_request(
    path: str, moment: str, names: str
) -> None:
    # Guards against "not run" for a request that ran, and against a second run of it elsewhere.
    ran: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    copies: list[tuple[asyncio.StreamWriter, bytes]] = []

    async def refuse(exchange: UpstreamExchange) -> None:
        refusal = exchange.head(
            503, content_length="0", x_goldcrestridge_not_executed="1", **REFUSALS[names]
        )
        if moment == "after the next request":
            copies.append((exchange.writer, refusal))
        await exchange.write(refusal)
        if moment == "at once":
            await exchange.write(refusal)
        elif moment == "while idle":

            async def repeat() -> None:
                await asyncio.sleep(0.05)
                await exchange.write(refusal)

            tasks.append(asyncio.create_task(repeat()))

    async def run(exchange: UpstreamExchange) -> None:
        ran.append(exchange.headers["x-goldcrestridge-request-id"])
        for writer, refusal in copies:
            if writer is exchange.writer:
                await exchange.write(refusal)
        await asyncio.sleep(0.02)
        await exchange.respond(200, b"ran")

    faulty = scripted("i-1", refuse, run)
    async with running_gateway(faulty) as running:
        await running.call(path, x_goldcrestridge_request_id="first")
        await asyncio.sleep(0.1)
        answer = await running.call(path, x_goldcrestridge_request_id="second")
        await asyncio.gather(*tasks, return_exceptions=True)
    if "second" in ran:
        assert answer.status not in (429, 503, 408, 421)
    assert ran.count("second") <= (1 if path in ("/charge/x", "/stream/x") else 2)


def error_answer(status: int, framing: str) -> bytes:
    """Return an error with a body as an upstream frames it."""
    head = b"HTTP/1.1 %d X\r\nx-goldcrestridge-server-stamp: signed\r\n" % status
    match framing:
        case "length":
            return head + b"content-length: 5\r\n\r\nERROR"
        case "chunked":
            return head + b"transfer-encoding: chunked\r\n\r\n5\r\nERROR\r\n0\r\n\r\n"
        case "close":
            return head + b"connection: close\r\n\r\nERROR"
    return head + b"content-length: 0\r\n\r\n"


async def read_raw(running: RunningGateway, path: str) -> bytes:
    """Send a request and return all bytes up to the end of the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    writer.write(
        f"POST {path} HTTP/1.1\r\nhost: h\r\nx-goldcrestridge-request-id: r1\r\n"
        "x-goldcrestridge-deadline-ms: 2000\r\nx-api-key: k1\r\nconnection: close\r\n"
        "content-length: 1\r\n\r\nx".encode()
    )
    try:
        return await asyncio.wait_for(reader.read(), 5.0)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()
        await writer.wait_closed()


@pytest.mark.parametrize("engine", [None, ENGINE])
@pytest.mark.parametrize("begun", [True, False], ids=["after an event", "before an event"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close", "empty"])
@pytest.mark.parametrize("status", [400, 429, 500, 502, 503])
async def test_an_error_after_a_broken_stream_does_not_get_into_the_stream(
    status: int, framing: str, begun: bool, engine: EngineLimits | None
) -> None:
    # Guards against the text of an error within a stream, and a cut stream that looks complete.
    async def break_off(exchange: UpstreamExchange) -> None:
        await exchange.stream(*([event(1)] if begun else []), end=False)
        exchange.close()

    async def fail(exchange: UpstreamExchange) -> None:
        request_id = exchange.headers["x-goldcrestridge-request-id"].encode()
        answer = error_answer(status, framing)
        await exchange.write(
            answer.replace(b" X\r\n", b" X\r\nx-goldcrestridge-request-id: %b\r\n" % request_id, 1)
        )
        exchange.close()

    first = [True]

    async def serve(exchange: UpstreamExchange) -> None:
        handler, first[0] = (break_off if first[0] else fail), False
        await handler(exchange)

    async with running_gateway(
        *(scripted(f"i-{number}", serve) for number in range(3)), engine=engine
    ) as running:
        raw = await read_raw(running, "/resume/x")
    if begun:
        assert raw.startswith(b"HTTP/1.1 200")
        assert b"ERROR" not in raw
        assert raw.count(b"HTTP/1.1") == 1
        assert not raw.endswith(b"0\r\n\r\n")
    else:
        assert not raw.startswith(b"HTTP/1.1 200")
        assert raw.count(b"HTTP/1.1") == 1


STOPS = {
    "after the status line": b"HTTP/1.1 200 X\r\n",
    "within a header": b"HTTP/1.1 200 X\r\nx-goldcrestridge-server-st",
    "before the empty line": (
        b"HTTP/1.1 200 X\r\nx-goldcrestridge-server-stamp: signed\r\ncontent-length: 0\r\n"
    ),
    "within the empty line": b"HTTP/1.1 200 X\r\nx-goldcrestridge-server-stamp: signed\r\n\r",
    "short of its length": (
        b"HTTP/1.1 200 X\r\nx-goldcrestridge-server-stamp: signed\r\ncontent-length: 9\r\n\r\n1234"
    ),
    "HTTP/1.0 within a header": b"HTTP/1.0 200 X\r\nx-goldcrestridge-server-stamp: sig",
    "HTTP/1.0 short of its length": (
        b"HTTP/1.0 200 X\r\nx-goldcrestridge-server-stamp: signed\r\ncontent-length: 9\r\n\r\n1234"
    ),
}


@pytest.mark.parametrize("repeat", [False, True], ids=["first attempt", "repeat"])
@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("path", ["/read/x", "/charge/x", "/stream/x", "/resume/x"])
async def test_an_answer_that_stops_within_its_head_is_not_a_success(
    path: str, stop: str, repeat: bool
) -> None:
    # Guards against a 200 with an empty or short body that is framed as whole.
    async def cut(exchange: UpstreamExchange) -> None:
        await exchange.write(STOPS[stop])
        exchange.close()

    async def close(exchange: UpstreamExchange) -> None:
        exchange.close()

    first = [repeat]

    async def serve(exchange: UpstreamExchange) -> None:
        handler, first[0] = (close if first[0] else cut), False
        await handler(exchange)

    upstreams = [scripted(f"i-{number}", serve) for number in range(3)]
    async with running_gateway(*upstreams) as running:
        answer = await running.call(path, x_goldcrestridge_request_id="r")
    assert answer.status == 502
    assert runs_by_request(upstreams)["r"] <= (1 if path in ("/charge/x", "/stream/x") else 2)


async def test_a_sound_upstream_answers_after_one_that_stopped_within_its_head() -> None:
    # Guards against a repeatable request that fails though another upstream would serve it.
    async def cut(exchange: UpstreamExchange) -> None:
        await exchange.write(STOPS["within a header"])
        exchange.close()

    async with running_gateway(scripted("i-1", cut), scripted("i-2", ok)) as running:
        answers: list[httpcore.Response] = [await running.call("/read/x") for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6
