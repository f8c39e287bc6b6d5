"""Tests of a gateway that was delayed, or out of contact, while requests were under way."""

from __future__ import annotations

import anyio
import pytest
from tests.node.gateway_helpers import UpstreamExchange, event, ok, running_gateway, scripted

from goldcrestridge_node.request_permits import PERMIT_VALID_MS

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_request_is_not_sent_after_its_key_is_no_longer_known_to_be_valid() -> None:
    # Guards against a request that was checked, waited for a connection while the node was delayed
    # or cut off, and is sent although its key may have been withdrawn meanwhile.
    first = scripted("a", ok)
    async with running_gateway(first) as running, anyio.create_task_group() as tasks:
        pool = running.gateway.dependencies.dispatcher._pool(first.instance())
        held = [await pool.acquire(False, 500.0) for _ in range(pool.max_open)]
        statuses: list[int] = []
        answered = anyio.Event()

        async def call() -> None:
            statuses.append((await running.call("/charge/x")).status)
            answered.set()

        tasks.start_soon(call)
        await anyio.sleep(0.1)
        running.confirmed_ms[0] -= 120_000.0
        for conn in held:
            await pool.release(conn)
        with anyio.fail_after(5):
            await running.gateway.wait_idle(10.0)
        await answered.wait()
        assert statuses == [503]
        assert first.exchanges == []


async def test_a_permit_is_not_used_after_a_pause() -> None:
    # Guards against requests that are sent on permits that were issued seconds ago, together with
    # those that the upstream has allowed since.
    async def limited(exchange: UpstreamExchange) -> None:
        await exchange.respond(200, b"ok", server_limit="20")

    first = scripted("a", limited)
    async with running_gateway(first) as running, anyio.create_task_group() as tasks:
        deps = running.gateway.dependencies
        # The first call learns the limit; the owner starts without permits.
        for _ in range(2):
            await running.call("/charge/x")
        await anyio.sleep(0.2)
        pool = deps.dispatcher._pool(first.instance())
        held = [await pool.acquire(False, 500.0) for _ in range(pool.max_open)]
        real, ahead = deps.clock.now_ms, [0.0]
        object.__setattr__(deps.clock, "now_ms", lambda: real() + ahead[0])
        running.confirmed_ms[0] += 60_000.0
        tasks.start_soon(running.call, "/charge/x")
        await anyio.sleep(0.1)
        ahead[0] = PERMIT_VALID_MS + 100.0
        for conn in held:
            await pool.release(conn)
        with anyio.fail_after(5):
            await running.gateway.wait_idle(10.0)
        attempts = [str(line.get("attempts")) for line in running.log_lines]
        assert any("permit has run out" in text for text in attempts)


async def test_a_stream_goes_on_while_its_entry_node_is_out_of_contact() -> None:
    # Guards against running work that is given up, or started again elsewhere, because a machine
    # was silent for a while.
    async def slow(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, transfer_encoding="chunked"))
        for number in range(1, 8):
            await exchange.write(b"%x\r\n%b\r\n" % (len(event(number)), event(number)))
            await anyio.sleep(0.1)
        await exchange.write(b"0\r\n\r\n")

    async with running_gateway(scripted("a", slow), scripted("b", slow)) as running:

        async def lose_contact() -> None:
            await anyio.sleep(0.2)
            running.confirmed_ms[0] -= 120_000.0
            running.gateway.dependencies.placement.set_instances([])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lose_contact)
            response = await running.call("/resume/x")
        assert response.content == b"".join(event(number) for number in range(1, 8))
        assert sum(len(upstream.exchanges) for upstream in running.upstreams) == 1
