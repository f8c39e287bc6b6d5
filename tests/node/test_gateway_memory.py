"""Tests of a gateway whose process has no memory left for a response."""

from __future__ import annotations

import anyio
import pytest
from tests.node.gateway_helpers import UpstreamExchange, running_gateway, scripted

from goldcrestridge_node.caller_connection import CallerConnection

pytestmark = pytest.mark.anyio

RESPONSE_BYTES = 60_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def large(exchange: UpstreamExchange) -> None:
    """Answer with more than the process may hold."""
    await exchange.respond(200, bytes(RESPONSE_BYTES))


async def test_a_response_that_does_not_fit_is_neither_repeated_nor_held_against_its_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against work that is run again where it fits no better, against "not run" for a request
    # that has run, and against sound upstreams that are avoided.
    with monkeypatch.context() as patch:
        patch.setattr(CallerConnection, "reserve_response", lambda _conn, _size: False)
        async with running_gateway(scripted("a", large), scripted("b", large)) as running:
            refused = await running.call("/read/x")
            assert refused.status == 502
            assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 1
            line = running.log_lines[-1]
            assert line["reason"] == "this node has no memory left for the response"
            patch.undo()
            asked: set[str] = set()
            while len(asked) < 2:
                before = [len(upstream.exchanges) for upstream in running.upstreams]
                assert len((await running.call("/read/x")).content) == RESPONSE_BYTES
                asked |= {
                    upstream.name
                    for upstream, count in zip(running.upstreams, before, strict=True)
                    if len(upstream.exchanges) > count
                }


@pytest.mark.parametrize("path", ["/read/x", "/nowhere/x"])
async def test_a_request_without_a_key_or_route_is_refused_before_its_body_is_read(
    path: str,
) -> None:
    # Guards against memory that callers without a key take with bodies that do not end.
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
    async with (
        running_gateway(scripted("a", large)) as running,
        await anyio.connect_tcp("127.0.0.1", running.port) as stream,
    ):
        await stream.send(head.encode() + bytes(1_000))
        with anyio.fail_after(5):
            answer = await stream.receive()
        assert answer.startswith(b"HTTP/1.1 401 " if path == "/read/x" else b"HTTP/1.1 404 ")
        assert running.upstreams[0].exchanges == []
