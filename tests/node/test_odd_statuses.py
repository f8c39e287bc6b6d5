"""Tests of answers with a status that HTTP does not have, and of resets during an upload."""

from __future__ import annotations

import asyncio

import anyio
import anyio.abc
import pytest
from tests.node.gateway_helpers import (
    UpstreamExchange,
    event,
    ok,
    running_gateway,
    scripted,
)
from tests.node.path_helpers import chat, read_until, run, running_stack

ODD_STATUSES = ["000", "001", "099", "101", "600", "999", "1000", "-20", "20", "2x0", ""]
PATHS = ["/read/x", "/charge/x", "/stream/x", "/resume/x"]
# More than the buffers of both ends hold, so that the upload is under way when it is reset.
UPLOAD_BYTES = 4_000_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("path", PATHS)
async def test_an_answer_with_a_status_that_does_not_exist_is_a_failure_of_the_upstream(
    path: str, status: str
) -> None:
    # Guards against a connection that is closed without an answer, and a refusal as not run: such
    # an answer may have run its request, whatever its headers say.
    async def answer(exchange: UpstreamExchange) -> None:
        head = exchange.head(200, content_length="2", x_goldcrestridge_not_executed="1")
        await exchange.write(head.replace(b" 200 ", b" %b " % status.encode(), 1) + b"ok")

    async with running_gateway(scripted("i-1", answer)) as running:
        assert (await running.call(path)).status == 502
        (line,) = [line for line in running.log_lines if line["event"] == "request"]
        assert line["outcome"] == "failed"


@pytest.mark.anyio
@pytest.mark.parametrize("status", ["600", "999", "101"])
async def test_a_sound_upstream_answers_after_one_with_a_status_that_does_not_exist(
    status: str,
) -> None:
    # Guards against a repeatable request that fails though another upstream would serve it, and
    # against an upstream that stays in use as if its answers were sound.
    async def answer(exchange: UpstreamExchange) -> None:
        head = exchange.head(200, content_length="0")
        await exchange.write(head.replace(b" 200 ", b" %b " % status.encode(), 1))

    faulty = scripted("i-1", answer)
    async with running_gateway(faulty, scripted("i-2", ok)) as running:
        answers = [(await running.call("/read/x")).status for _ in range(20)]
    assert answers == [200] * 20
    assert len(faulty.exchanges) < 10


@pytest.mark.anyio
@pytest.mark.parametrize("wait_s", [0.0, 0.05])
@pytest.mark.parametrize("framing", ["close", "chunked"])
@pytest.mark.parametrize("path", PATHS)
async def test_an_answer_that_is_reset_while_the_upload_is_written_is_not_whole(
    path: str, framing: str, wait_s: float
) -> None:
    # Guards against the part of an answer that an upstream sends before it has read the request,
    # passed on as a whole one after the reset.
    async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()  # The node has asked whether the upstream still listens.
            return
        name = next(
            line.split(b": ")[1]
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-goldcrestridge-request-id")
        )
        part = event(1) + event(2)
        end = b"\r\n"
        if framing == "chunked":
            part, end = b"%x\r\n%b\r\n" % (len(part), part), b"\r\ntransfer-encoding: chunked\r\n"
        writer.write(
            b"HTTP/1.1 200 OK\r\nx-goldcrestridge-server-stamp: signed\r\n"
            b"content-type: text/event-stream\r\nx-goldcrestridge-request-id: %b%b\r\n%b"
            % (name, end, part)
        )
        await anyio.sleep(wait_s)
        writer.transport.abort()

    upstream = scripted("i-1", ok)
    async with running_gateway(upstream) as running:
        running.servers["i-1"].close()
        server = await asyncio.start_server(reset_early, "127.0.0.1", upstream.port)
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(
            f"POST {path} HTTP/1.1\r\nhost: h\r\nx-goldcrestridge-request-id: r1\r\n"
            "x-goldcrestridge-deadline-ms: 2000\r\nx-api-key: k1\r\nconnection: close\r\n"
            f"content-length: {UPLOAD_BYTES}\r\n\r\n".encode()
        )
        writer.write(b"x" * UPLOAD_BYTES)
        try:
            raw = await asyncio.wait_for(reader.read(), 10.0)
        except ConnectionResetError:
            raw = b""
        writer.close()
        server.close()
    # Events that have arrived may reach the caller, but not as a whole stream.
    assert raw.startswith(b"HTTP/1.1 502") or not raw.endswith(b"0\r\n\r\n")
    if path in ("/read/x", "/charge/x"):
        assert raw.startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("status", ["599", "600", "999"])
def test_a_call_of_the_own_interface_is_answered_whatever_the_status_of_its_engine(
    status: str,
) -> None:
    # Guards against the same closed connection there, and against a bound that is off by one.
    async def serve_one(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await read_until(stream, b'"priority":3}')
            head = b"HTTP/1.1 %b X\r\ncontent-length: 2\r\n\r\n{}" % status.encode()
            await stream.send(head)

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_one)
            async with running_stack(engine_address=f"127.0.0.1:{port}") as stack:
                reply = await chat(stack)
                assert reply.status == (599 if status == "599" else 502)
            group.cancel_scope.cancel()

    run(scenario)
