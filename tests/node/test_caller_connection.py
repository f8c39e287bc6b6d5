"""Tests of what the connection of a caller reads, holds and waits for."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestridge_core.connection_ledger import Phase
from goldcrestridge_core.process_limits import process_limits
from goldcrestridge_core.types import RequestId
from goldcrestridge_node.caller_connection import (
    MAX_AHEAD_BYTES,
    READ_HEAD_BYTES,
    CallerConnection,
    ServerOptions,
)
from goldcrestridge_node.caller_table import CallerTable
from goldcrestridge_node.exchange import MAX_WRITE_BYTES, EdgeOptions, Exchange, Page
from goldcrestridge_node.server import listen, serve

pytestmark = pytest.mark.anyio

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT_S = 20.0
# More than the buffers of the kernel hold between a client and a server.
LARGE_BYTES = 40_000_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@define(eq=False)
class Running:
    """A server of a simple application; ``handle`` returns the body for a target and a body."""

    port: int
    table: CallerTable
    handle: Callable[[str, bytes], Awaitable[bytes]]
    connections: list[CallerConnection] = field(factory=list)
    targets: list[str] = field(factory=list)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, RequestId("r"), EdgeOptions())
        if exchange.conn not in self.connections:
            self.connections.append(exchange.conn)
        self.targets.append(scope["path"])
        try:
            body = await exchange.read_body()
            if isinstance(body, bytes):
                await exchange.send_page(Page(await self.handle(scope["path"], body)))
            elif body is not None:
                await exchange.send_refusal(body)
        finally:
            exchange.release()

    async def connect(self) -> anyio.abc.SocketStream:
        """Open a connection with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(("127.0.0.1", self.port))
        return await anyio.abc.SocketStream.from_socket(sock)


@asynccontextmanager
async def running(
    handle: Callable[[str, bytes], Awaitable[bytes]], **options: Any
) -> AsyncIterator[Running]:
    sock = listen("127.0.0.1", 0)
    table = CallerTable(process_limits(), sweep_interval_ms=20.0, **options)
    server = Running(sock.getsockname()[1], table, handle)
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve, server, [sock], anyio.Event(), ServerOptions(), table)
        try:
            yield server
        finally:
            tasks.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110 - what it looks at has no event.
            await anyio.sleep(0.005)


async def read_responses(stream: anyio.abc.SocketStream, count: int) -> list[bytes]:
    """Return the bodies of responses with a length."""
    buffer = b""
    bodies: list[bytes] = []
    with anyio.fail_after(WAIT_S):
        while len(bodies) < count:
            head, found, rest = buffer.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or 0)
            if found and len(rest) >= length:
                bodies.append(rest[:length])
                buffer = rest[length:]
            else:
                buffer += await stream.receive()
    return bodies


async def echo(target: str, body: bytes) -> bytes:
    return target.encode() + b" " + body


async def test_little_is_read_beyond_the_request_in_progress() -> None:
    # Guards against a parser that takes in a further packet for each request that is answered.
    answer = anyio.Event()

    async def wait(target: str, _body: bytes) -> bytes:
        if target == "/20":
            await answer.wait()
        return b""

    async with running(wait) as server, await server.connect() as stream:
        requests = b"".join(GET % number for number in range(200_000))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stream.send, requests)
            await wait_until(lambda: "/20" in server.targets)
            await anyio.sleep(0.1)
            unread = len(server.connections[0].conn.trailing_data[0])
            tasks.cancel_scope.cancel()
        assert unread <= MAX_AHEAD_BYTES + READ_HEAD_BYTES


async def test_one_request_that_was_sent_ahead_begins_in_each_iteration_of_the_loop() -> None:
    # Guards against connections with many cheap requests that delay all other callers.
    begun: Counter[int] = Counter()
    iteration = 0
    loop = asyncio.get_running_loop()

    def count_iteration() -> None:
        nonlocal iteration
        iteration += 1
        loop.call_soon(count_iteration)

    async def count(_target: str, _body: bytes) -> bytes:
        begun[iteration] += 1
        return b""

    connections, requests = 20, 50
    async with running(count) as server:
        streams = [await server.connect() for _ in range(connections)]
        count_iteration()
        for stream in streams:
            await stream.send(GET % 0 * requests)
        await wait_until(lambda: len(server.targets) == connections * requests)
        for stream in streams:
            await stream.aclose()
    assert len(begun) >= connections * (requests - 1)


async def test_a_caller_that_reads_one_byte_at_a_time_is_disconnected() -> None:
    # Guards against a time limit that each byte or each part of a response starts anew.
    async def large(_target: str, _body: bytes) -> bytes:
        return bytes(LARGE_BYTES)

    async with (
        running(large, send_timeout_ms=300.0, linger_ms=100.0) as server,
        await server.connect() as stream,
    ):
        await stream.send(GET % 0)
        with anyio.fail_after(WAIT_S):
            while server.table.ledger.connections or not server.targets:
                await stream.receive(1)
                await anyio.sleep(0.01)


async def test_a_caller_that_goes_on_reading_slowly_gets_the_whole_response() -> None:
    # Guards against a time limit on the whole response.
    size = LARGE_BYTES // 40

    async def large(_target: str, _body: bytes) -> bytes:
        return bytes(size)

    async with (
        running(large, send_timeout_ms=1_000.0, linger_ms=100.0) as server,
        await server.connect() as stream,
    ):
        await stream.send(GET % 0)
        received = 0
        with anyio.fail_after(WAIT_S):
            while received < size:
                received += len(await stream.receive(1_000_000))
                await anyio.sleep(0.02)


async def test_a_connection_that_is_closed_with_unread_bytes_ends() -> None:
    # Guards against closed connections that wait for their callers for ever.
    async def large(_target: str, _body: bytes) -> bytes:
        return bytes(LARGE_BYTES)

    async with running(large, linger_ms=100.0) as server:
        # Unlike a stream of anyio, a plain socket reads nothing by itself.
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.connect(("127.0.0.1", server.port))
            sock.sendall(GET % 0)
            await wait_until(
                lambda: bool(server.connections) and server.connections[0].write_paused
            )
            server.connections[0].transport.close()
            await anyio.sleep(0.05)
            assert server.table.ledger.connections == 1
            await wait_until(lambda: server.table.ledger.connections == 0)


async def test_a_response_that_is_not_read_is_copied_piece_by_piece() -> None:
    # Guards against a copy of the whole response for each caller that does not read.
    async def large(_target: str, _body: bytes) -> bytes:
        return bytes(LARGE_BYTES)

    async with running(large) as server, await server.connect() as stream:
        await stream.send(GET % 0)
        await wait_until(lambda: bool(server.connections) and server.connections[0].write_paused)
        await anyio.sleep(0.1)
        unsent = server.connections[0].transport.get_write_buffer_size()
        assert 0 < unsent <= MAX_WRITE_BYTES
        assert server.table.ledger.held_bytes >= unsent


async def test_the_close_of_a_caller_with_a_request_ahead_is_seen() -> None:
    # Guards against requests that run on after their caller has left.
    left = anyio.Event()

    async def wait(target: str, _body: bytes) -> bytes:
        server.connections[0].on_lost = left.set
        await left.wait()
        return b""

    async with running(wait) as server:
        stream = await server.connect()
        await stream.send(GET % 0)
        await wait_until(lambda: bool(server.targets))
        # It comes after the application has asked for the rest of the request in progress.
        await stream.send(GET % 1)
        await wait_until(lambda: bool(server.connections[0].conn.trailing_data[0]))
        await stream.aclose()
        with anyio.fail_after(WAIT_S):
            await left.wait()


async def test_memory_is_counted_until_the_connection_ends() -> None:
    # Guards against memory that is counted twice or never released.
    async with running(echo) as server:
        async with await server.connect() as stream:
            await stream.send(b"POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n")
            await stream.send(bytes(60_000))
            await wait_until(lambda: server.table.ledger.held_bytes > 60_000)
            await stream.send(bytes(30_000))
            assert len((await read_responses(stream, 1))[0]) == 90_003
            await wait_until(lambda: server.connections[0]._reserved_bytes == 0)
        await wait_until(lambda: server.table.ledger.connections == 0)
        assert server.table.ledger.held_bytes == 0


async def test_a_connection_that_has_ended_holds_no_memory_until_a_garbage_collection() -> None:
    # Guards against thousands of ended connections whose buffers are still held.
    async with running(echo) as server:
        references = []
        gc.collect()
        gc.disable()
        try:
            for sent in (b"", GET % 0, b"GET / HTTP/1.1\r\nX: 1"):
                async with await server.connect() as stream:
                    await stream.send(sent)
                    await wait_until(lambda: server.table.ledger.connections == 1)
                    if sent == GET % 0:
                        await read_responses(stream, 1)
                    (conn,) = server.table._connections.values()
                    references.append(weakref.ref(conn))
                    del conn
                    server.connections.clear()
                await wait_until(lambda: server.table.ledger.connections == 0)
                await anyio.sleep(0.05)
            assert [reference() for reference in references] == [None] * 3
        finally:
            gc.enable()


async def test_bodies_are_refused_once_the_memory_of_the_process_is_used() -> None:
    # Guards against a limit for each connection where the promise is about the process.
    async with running(echo) as server:
        limit = server.table.limits.held_bytes
        async with await server.connect() as first, await server.connect() as second:
            await first.send(GET % 0)
            await read_responses(first, 1)
            conn = server.connections[0]
            await wait_until(lambda: conn.cycle.response_complete)
            server.table.ledger.update(conn._key, Phase.RUNNING, limit - 50_000, 0.0)
            await second.send(b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n")
            await second.send(bytes(90_000))
            assert b" 503 " in await second.receive()


@settings(max_examples=30)
@given(
    bodies=st.lists(st.binary(max_size=200), min_size=1, max_size=8),
    chunked=st.lists(st.booleans(), min_size=8, max_size=8),
    cuts=st.lists(st.integers(1, 400), max_size=30),
)
def test_requests_that_were_sent_ahead_are_answered_in_order(
    bodies: list[bytes], chunked: list[bool], cuts: list[int]
) -> None:
    # Guards against a request that is lost, joined to another one or answered out of order,
    # however its bytes are split.
    sent = b""
    for number, body in enumerate(bodies):
        head = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
        if chunked[number] and body:
            framed = b"%x;ext=1\r\n%b\r\n0\r\nTrailer: t\r\n\r\n" % (len(body), body)
            sent += head + b"Transfer-Encoding: chunked\r\n\r\n" + framed
        else:
            sent += head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)

    async def scenario() -> None:
        async with running(echo) as server, await server.connect() as stream:
            rest = sent
            for cut in cuts:
                await stream.send(rest[:cut])
                rest = rest[cut:]
                await asyncio.sleep(0)
                if not rest:
                    break
            if rest:
                await stream.send(rest)
            expected = [b"/%d %b" % (number, body) for number, body in enumerate(bodies)]
            assert await read_responses(stream, len(bodies)) == expected

    anyio.run(scenario)
