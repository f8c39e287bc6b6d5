"""Tests of streams that callers take up, by the id of the last event that they hold."""

from __future__ import annotations

import asyncio
import re
from collections.abc import MutableMapping
from typing import Any

import httpcore
import pytest
from attrs import define, evolve, field
from tests.node.gateway_helpers import (
    KEY,
    RunningGateway,
    UpstreamExchange,
    event,
    ok,
    running_gateway,
    scripted,
)

from goldcrestridge_core.follow_types import StreamVersion
from goldcrestridge_core.routes import EngineLimits
from goldcrestridge_lab.soak_net import CONNECTION_ERRORS, read_chunk, read_head

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def request_lines(running: RunningGateway) -> list[MutableMapping[str, Any]]:
    """Return the log lines of the requests that have ended."""
    return [line for line in running.log_lines if line["event"] == "request"]


async def break_off(exchange: UpstreamExchange) -> None:
    """Break a stream off after the event 1."""
    await exchange.stream(event(1), end=False)
    await asyncio.sleep(0.05)
    exchange.reset()


async def go_on(exchange: UpstreamExchange) -> None:
    """Send the event 2, the last one of the stream."""
    await exchange.stream(event(2))


async def test_the_log_names_the_stream_that_a_caller_takes_up() -> None:
    # Guards against a log that cannot tell a new stream from one that goes on, or where it does.
    upstreams = [scripted("a", break_off, go_on), scripted("b", go_on, version="v2")]
    async with running_gateway(*upstreams) as running:
        running.list_upstreams(upstreams[:1])
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="first")
        running.list_upstreams(upstreams)
        running.gateway.dependencies.placement.record_success(upstreams[0].instance(), 0.0)
        for resumed in ("first", "unheard"):
            await running.call("/resume/x", last_event_id="1", resumes=resumed)
        began, taken_up, refused = request_lines(running)
    assert (began["last_event_id"], began["origin"], began["sent_after"]) == (None, "", [None])
    assert (taken_up["last_event_id"], taken_up["resumed_request_id"]) == ("1", "first")
    assert (taken_up["origin"], taken_up["sent_after"]) == ("a v1", ["1"])
    assert (refused["resumed_request_id"], refused["origin"]) == ("unheard", "unknown")
    assert refused["sent_after"] == []


@define
class Series:
    """A stream as upstreams send it: a series of events with these ids.

    An upstream goes on after the event that Last-Event-Id names. It breaks the connection after as
    many events as ``breaks`` holds for the request, and ends the stream if it holds no more.
    """

    ids: tuple[int, ...]
    breaks: list[int] = field(factory=list)

    async def send(self, exchange: UpstreamExchange) -> None:
        """Send the events of one attempt."""
        after = exchange.headers.get("last-event-id")
        left = [event(number) for number in self.ids if after is None or number > int(after)]
        if not self.breaks:
            await exchange.stream(*left)
            return
        await exchange.stream(*left[: self.breaks.pop(0)], end=False)
        await asyncio.sleep(0.05)
        exchange.reset()


def request_head(path: str, request_id: str, *lines: str) -> bytes:
    """Return a request without a body, with more header lines."""
    first = (f"POST {path} HTTP/1.1", "Host: h", f"X-Api-Key: {KEY}", "Content-Length: 0")
    named = f"X-Goldcrestridge-Request-Id: {request_id}"
    return "\r\n".join((*first, named, *lines, "", "")).encode()


@define(eq=False)
class CallerOfStream:
    """A caller that takes its stream up with the last event that it holds, as callers do."""

    running: RunningGateway
    body: bytes = b""
    attempts: list[str] = field(factory=list)

    async def call(self, resumes: str = "") -> int:
        """Make the next attempt; return the status, or 0 if the connection broke."""
        self.attempts.append(f"attempt {len(self.attempts)}")
        held = re.findall(rb"id: (\d+)\n", self.body)
        lines = [f"Last-Event-Id: {held[-1].decode()}", f"Resumes: {resumes}"] if held else []
        reader, writer = await asyncio.open_connection("127.0.0.1", self.running.port)
        writer.write(request_head("/resume/x", self.attempts[-1], *lines))
        try:
            head = await read_head(reader)
            status = int(head.start_line[1])
            if status == 200:
                while chunk := await read_chunk(reader):
                    self.body += chunk
            return status
        except CONNECTION_ERRORS:
            return 0
        finally:
            writer.close()


def versions_used(running: RunningGateway) -> list[str]:
    """Return the version of the upstream of each attempt that was sent, in order."""
    return [version for line in request_lines(running) for version in line["versions"]]


# The first ids that a series can begin with.
FIRST_IDS = (0, 1, 7, 2**53, 2**64, 10**24)


@pytest.mark.parametrize("first", FIRST_IDS)
@pytest.mark.parametrize("engine", [None, EngineLimits(24, 100_000)])
async def test_a_stream_is_taken_up_at_its_version_whatever_the_id_of_its_first_event(
    first: int, engine: EngineLimits | None
) -> None:
    # Guards against the id 0 that counts as none: the stream goes on at any software version.
    series = Series((first, first + 1, first + 5))
    old = scripted("a", series.send, version="v1")
    others = [scripted(f"b{number}", series.send, version="v2") for number in range(4)]
    async with running_gateway(old, *others, engine=engine) as running:
        for _ in range(4):
            running.list_upstreams([old])
            series.breaks = [1]
            caller = CallerOfStream(running)
            assert await caller.call() == 0
            running.list_upstreams([old, *others])
            running.gateway.dependencies.placement.record_success(old.instance(), 0.0)
            assert await caller.call(resumes=caller.attempts[0]) == 200
            assert caller.body == b"".join(map(event, series.ids))
        assert versions_used(running) == ["v1"] * 8


@pytest.mark.parametrize("first", FIRST_IDS)
@pytest.mark.parametrize("named", [0, 1])
async def test_a_stream_is_taken_up_again_after_an_attempt_that_brought_no_event(
    first: int, named: int
) -> None:
    # Guards against a third attempt whose origin is not found under the first or the last attempt,
    # so that it goes on at any software version.
    series = Series((first, first + 1))
    old = scripted("a", series.send, version="v1")
    others = [scripted(f"b{number}", series.send, version="v2") for number in range(4)]
    async with running_gateway(old, *others) as running:
        running.list_upstreams([old])
        caller = CallerOfStream(running)
        series.breaks = [1, 0]
        assert await caller.call() == 0
        assert await caller.call(resumes=caller.attempts[0]) != 200
        running.list_upstreams([old, *others])
        running.gateway.dependencies.placement.record_success(old.instance(), 0.0)
        assert await caller.call(resumes=caller.attempts[named]) == 200
        assert caller.body == b"".join(map(event, series.ids))
        assert versions_used(running) == ["v1"] * 3


@pytest.mark.parametrize("first", FIRST_IDS)
@pytest.mark.parametrize("taken_up", [False, True])
@pytest.mark.parametrize("breaks", [(1,), (0,), (0, 1), (1, 0), (1, 1)])
async def test_a_stream_that_breaks_within_an_answer_goes_on_after_its_last_event(
    first: int, taken_up: bool, breaks: tuple[int, ...]
) -> None:
    # Guards against an attempt after the event 0 that begins the stream anew, or at another
    # software version than the one that sent the event.
    series = Series((first, first + 1, first + 4, first + 5))
    fitting = [scripted(f"a{number}", series.send, version="v1") for number in range(4)]
    others = [scripted(f"b{number}", series.send, version="v2") for number in range(4)]
    async with running_gateway(*fitting, *others) as running:
        deps = running.gateway.dependencies
        table = deps.routes.table
        assert table is not None
        routes = tuple(evolve(route, attempts=4) for route in table.routes)
        deps.routes.table = evolve(table, routes=routes)
        caller = CallerOfStream(running)
        if taken_up:
            running.list_upstreams(fitting)
            series.breaks = [1, 0, 0, 0]
            assert await caller.call() == 0
            for upstream in fitting:
                deps.placement.record_success(upstream.instance(), 0.0)
            running.list_upstreams([*fitting, *others])
        series.breaks = list(breaks)
        assert await caller.call(resumes=caller.attempts[0] if taken_up else "") == 200
        assert caller.body == b"".join(map(event, series.ids))
        last = request_lines(running)[-1]
        begun = (1 if taken_up else 0) + sum(breaks)
        assert last["sent_after"][-1] == (str(series.ids[begun - 1]) if begun else None)
        # The first attempt that brings an event decides on the version.
        began = (
            0 if taken_up else next(number for number, count in enumerate((*breaks, 1)) if count)
        )
        assert len(set(last["versions"][began:])) == 1
        assert not taken_up or last["versions"][0] == "v1"


def padded(number: int) -> bytes:
    """Return an event whose id is written with leading zeros."""
    return b"id: %06d\ndata: piece %d\n\n" % (number, number)


async def test_an_upstream_gets_the_id_in_the_digits_that_the_stream_has() -> None:
    # Guards against an upstream that does not find the event, since its id lost leading zeros.
    async def broken(exchange: UpstreamExchange) -> None:
        await exchange.stream(padded(0), end=False)
        await asyncio.sleep(0.05)
        exchange.reset()

    async def rest(exchange: UpstreamExchange) -> None:
        await exchange.stream(padded(1))

    upstreams = [scripted("a", broken, rest), scripted("b", broken, rest)]
    async with running_gateway(*upstreams) as running:
        caller = CallerOfStream(running)
        # The first upstream breaks the stream off, and the second one its attempt to go on.
        assert await caller.call() == 0
        for upstream in upstreams:
            running.gateway.dependencies.placement.record_success(upstream.instance(), 0.0)
        assert await caller.call(resumes=caller.attempts[0]) == 200
        assert caller.body == padded(0) + padded(1)
        sent = [
            exchange.headers.get("last-event-id")
            for upstream in upstreams
            for exchange in upstream.exchanges
        ]
        assert sorted(sent, key=str) == ["000000", "000000", None]


async def test_an_id_of_thousands_of_digits_ends_no_answer() -> None:
    # Guards against an upstream whose id of an event breaks off the stream of its caller.
    events = [b"id: %b\ndata: piece\n\n" % (b"1" * 5_000), event(1)]

    async def odd(exchange: UpstreamExchange) -> None:
        await exchange.stream(*events)

    async with running_gateway(scripted("a", odd)) as running:
        response = await running.call("/stream/x")
        assert response.content == b"".join(events)


MALFORMED_POSITIONS = (
    "Last-Event-Id: +1",
    "Last-Event-Id: -1",
    "Last-Event-Id: abc",
    "Last-Event-Id: 1.0",
    "Last-Event-Id: 0x1",
    "Last-Event-Id: 1 2",
    "Last-Event-Id: 1, 2",
    "Last-Event-Id:",
    f"Last-Event-Id: {'1' * 1_001}",
    "Last-Event-Id: 1\r\nLast-Event-Id: 1",
    "Last-Event-Id: 1\r\nLast-Event-Id: 2",
    "Last-Event-Id: 1\r\nResumes: attempt 0\r\nResumes: other",
    "Resumes: attempt 0",
)


async def send_raw(running: RunningGateway, path: str, lines: str) -> tuple[int, str, bytes]:
    """Send a request with raw header lines; return the status, the outcome and the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    writer.write(request_head(path, "raw", lines))
    try:
        answer = await read_head(reader)
        body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        outcome = answer.headers.get("x-goldcrestridge-outcome", "")
        return int(answer.start_line[1]), outcome, body
    finally:
        writer.close()


@pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
@pytest.mark.parametrize("lines", MALFORMED_POSITIONS)
async def test_a_caller_whose_position_in_a_stream_is_unclear_gets_an_error(
    path: str, lines: str
) -> None:
    # Guards against a stream that begins anew, at any software version, for a caller that holds
    # events of it.
    async with running_gateway(scripted("a", break_off)) as running:
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="attempt 0")
        status, outcome, body = await send_raw(running, path, lines)
        assert (status, outcome) == (400, "not_run")
        assert b"invalid_stream_position" in body
        assert b"Last-Event-Id" in body
        assert len(running.upstreams[0].exchanges) == 1
        assert request_lines(running)[-1]["reason"] == "invalid_stream_position"


@pytest.mark.parametrize("lines", MALFORMED_POSITIONS)
async def test_routes_without_streams_pass_the_headers_of_streams_on_unchanged(lines: str) -> None:
    # Guards against headers that mean nothing on a route, and are lost or refused there.
    async with running_gateway(scripted("a", ok)) as running:
        status, _, body = await send_raw(running, "/read/x", lines)
        assert (status, body) == (200, b"/read/x")
        (exchange,) = running.upstreams[0].exchanges
        name, _, value = lines.rpartition("\r\n")[2].partition(":")
        assert exchange.headers[name.lower()] == value.strip()


async def test_blanks_round_the_id_of_an_event_do_not_matter() -> None:
    # Guards against refusing what the grammar of header fields allows.
    async with running_gateway(scripted("a", break_off, go_on)) as running:
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="attempt 0")
        running.gateway.dependencies.placement.record_success(running.upstreams[0].instance(), 0.0)
        lines = "Last-Event-Id: \t1 \t \r\nResumes: attempt 0"
        assert (await send_raw(running, "/resume/x", lines))[0] == 200
        assert running.upstreams[0].exchanges[1].headers["last-event-id"] == "1"


@pytest.mark.parametrize("first", FIRST_IDS)
async def test_a_stream_is_not_taken_up_on_a_route_that_does_not_allow_it(first: int) -> None:
    # Guards against a stream that runs twice, since one version served and its route is not asked.
    series = Series((first, first + 1))
    async with running_gateway(scripted("a", series.send)) as running:
        running.stream_versions[0] = (StreamVersion("s", "v1"),)
        response = await running.call("/stream/x", last_event_id=str(first), resumes="earlier")
        assert response.status == 503
        assert dict(response.headers)[b"x-goldcrestridge-outcome"] == b"not_run"
        assert b"retry-after" not in dict(response.headers)
        assert request_lines(running)[-1]["reason"] == "cannot_resume"
        assert running.upstreams[0].exchanges == []


@pytest.mark.parametrize(
    "brought", [[b"data: piece\n\n"], [b"id: x\ndata: piece\n\n"], [event(0), b"data: piece\n\n"]]
)
async def test_a_stream_does_not_go_on_after_data_without_an_id(brought: list[bytes]) -> None:
    # Guards against a stream that begins anew, or after an earlier event, for a caller that has
    # more of it.
    async def broken(exchange: UpstreamExchange) -> None:
        await exchange.stream(*brought, end=False)
        await asyncio.sleep(0.05)
        exchange.reset()

    async with running_gateway(scripted("a", broken), scripted("b", broken)) as running:
        caller = CallerOfStream(running)
        assert await caller.call() == 0
        assert caller.body == b"".join(brought)
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 1


async def test_a_stream_that_breaks_after_a_comment_begins_anew() -> None:
    # Guards against giving a stream up of which the caller has no data yet.
    async def broken(exchange: UpstreamExchange) -> None:
        await exchange.stream(b": hello\n\n", end=False)
        await asyncio.sleep(0.05)
        exchange.reset()

    async def whole(exchange: UpstreamExchange) -> None:
        await exchange.stream(event(0), event(1))

    async with running_gateway(*(scripted(name, broken, whole) for name in "ab")) as running:
        caller = CallerOfStream(running)
        # The second upstream breaks the stream off, too.
        assert await caller.call() == 0
        assert caller.body == b": hello\n\n" * 2
        assert await caller.call() == 200
        assert caller.body.endswith(b": hello\n\n" + event(0) + event(1))
