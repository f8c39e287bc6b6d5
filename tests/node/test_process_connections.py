"""Tests of the bound on the connections of a process to all its upstreams."""

from __future__ import annotations

import socket

import anyio
import pytest

from goldcrestridge_core.clock import Clock
from goldcrestridge_node.connections import (
    ConnectFailedError,
    ConnectionPool,
    ProcessConnections,
    UpstreamConnection,
)
from goldcrestridge_node.network import NetworkBackend

pytestmark = pytest.mark.anyio

TIMEOUT_MS = 100.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def pools(process: ProcessConnections, listeners: list[socket.socket]) -> list[ConnectionPool]:
    """Return a pool for each listener, all within the bound of the process."""
    addresses = [sock.getsockname() for sock in listeners]
    return [
        ConnectionPool(host, port, 8, 10_000.0, Clock(), NetworkBackend(), process=process)
        for host, port in addresses
    ]


async def test_idle_connections_give_way_to_those_to_other_upstreams() -> None:
    # Guards against idle connections to many upstreams that use up the descriptors.
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(6)]
    process = ProcessConnections(4)
    try:
        for pool in pools(process, listeners):
            conn = await pool.acquire(True, TIMEOUT_MS)
            pool._idle.append((0.0, conn))
            pool._release_permits()
            assert process.open <= 4
    finally:
        for pool in process._pools:
            await pool.aclose()
        for sock in listeners:
            sock.close()
    assert process.open == 0


async def test_requests_wait_in_order_for_a_connection_of_the_process() -> None:
    # Guards against more connections in use than the process may open, and against requests that
    # overtake others.
    listener = socket.create_server(("127.0.0.1", 0))
    process = ProcessConnections(1)
    first, second = pools(process, [listener, listener])
    served: list[int] = []
    conn = await first.acquire(False, TIMEOUT_MS)
    with pytest.raises(ConnectFailedError, match="of this node"):
        await second.acquire(False, TIMEOUT_MS)

    async def use(number: int, pool: ConnectionPool) -> None:
        taken: UpstreamConnection = await pool.acquire(False, 5_000.0)
        served.append(number)
        await pool.release(taken)

    async with anyio.create_task_group() as tasks:
        for number, pool in enumerate((second, first, second)):
            tasks.start_soon(use, number, pool)
            await anyio.sleep(0.01)
        assert served == []
        await first.release(conn)
    assert served == [0, 1, 2]
    assert process.open == 0
    listener.close()
