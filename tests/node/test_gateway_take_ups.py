"""Tests of streams that callers take up, by the id of the last event that they hold."""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from typing import Any

import httpcore
import pytest
from tests.node.gateway_helpers import (
    RunningGateway,
    UpstreamExchange,
    event,
    running_gateway,
    scripted,
)

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
