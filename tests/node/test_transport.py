"""Tests of the transport between nodes: delivery, rejected peers and bounded queues."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
import zmq
import zmq.asyncio
import zmq.utils.monitor

from goldcrestridge_core.types import (
    Count,
    LoadReport,
    NodeId,
    NotOwner,
    Receive,
    ShardId,
    UpstreamId,
)
from goldcrestridge_node import transport
from goldcrestridge_node.transport import CurveKeys, Transport

TIMEOUT_S = 20.0
MESSAGE = NotOwner(ShardId("p/0"), NodeId("b"), 3)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def free_address() -> str:
    """Return an unused loopback address."""
    with zmq.Context() as context, context.socket(zmq.ROUTER) as socket:
        port = socket.bind_to_random_port("tcp://127.0.0.1")
    return f"127.0.0.1:{port}"


class Probe:
    """Transport that records the messages it delivered and the counters it incremented."""

    def __init__(self, node: str, address: str, curve: CurveKeys | None = None) -> None:
        self.address = address
        self.received: list[Receive] = []
        self.counts: Counter[str] = Counter()
        self.changed = anyio.Event()
        self.transport = Transport(
            NodeId(node),
            address,
            self._deliver,
            self._count,
            lambda: (1.0, 2),
            lambda _wall, _counter: None,
            curve,
        )

    def _deliver(self, event: Receive) -> None:
        self.received.append(event)
        self.changed.set()

    def _count(self, count: Count) -> None:
        self.counts[":".join([count.name, *(value for _, value in count.labels)])] += 1
        self.changed.set()

    async def wait_for(self, name: str) -> None:
        """Wait until a counter is above zero."""
        with anyio.fail_after(TIMEOUT_S):
            while not self.counts[name]:
                self.changed = anyio.Event()
                await self.changed.wait()

    async def wait_received(self, count: int = 1) -> None:
        """Wait until some messages were delivered."""
        with anyio.fail_after(TIMEOUT_S):
            while len(self.received) < count:
                self.changed = anyio.Event()
                await self.changed.wait()


@asynccontextmanager
async def running(*probes: Probe) -> AsyncIterator[None]:
    """Run transports until the context ends."""
    async with anyio.create_task_group() as tasks:
        for probe in probes:
            await tasks.start(probe.transport.run)
        yield
        tasks.cancel_scope.cancel()


async def test_a_message_reaches_a_peer_that_starts_later() -> None:
    # Guards against messages that are lost because the peer was not running at connect time.
    first, second = Probe("a", free_address()), Probe("b", free_address())
    async with running(first):
        first.transport.connect(NodeId("b"), second.address)
        first.transport.send(NodeId("b"), MESSAGE)
        async with running(second):
            await second.wait_received()
    assert second.received == [Receive(NodeId("a"), MESSAGE)]


@pytest.mark.parametrize(
    ("frames", "reason"),
    [
        ([b"junk"], "framing"),
        ([b"\x09", b"\0" * 12, b"x"], "version"),
        ([transport.PROTOCOL_VERSION, b"\0" * 12, b"\xff\x00rubbish"], "codec"),
        ([transport.PROTOCOL_VERSION, b"\0" * 3, b"x"], "framing"),
    ],
)
async def test_malformed_messages_are_counted_and_discarded(
    frames: list[bytes], reason: str
) -> None:
    # Guards against a faulty or newer peer that stops the receiving task.
    first, second = Probe("a", free_address()), Probe("b", free_address())
    async with running(first, second):
        context = zmq.asyncio.Context()
        socket = context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, b"stranger")
        socket.connect(f"tcp://{second.address}")
        await socket.send_multipart(frames)
        await second.wait_for(f"peer_messages_rejected:{reason}")
        context.destroy(linger=0)
        first.transport.connect(NodeId("b"), second.address)
        first.transport.send(NodeId("b"), MESSAGE)
        await second.wait_received()


async def test_a_full_queue_drops_and_counts_by_kind() -> None:
    # Guards against unbounded memory use while a peer is unreachable, and against reports that
    # displace other messages.
    probe = Probe("a", free_address())
    report = LoadReport(UpstreamId("u"), 0.0, 1, 0, 8)
    async with running(probe):
        probe.transport.connect(NodeId("b"), free_address())
        probe.transport.send(NodeId("b"), MESSAGE)
        # The socket takes some messages before the queue of the link fills.
        taken = transport.SOCKET_QUEUE_MESSAGES
        for _ in range(transport.MAX_QUEUED_MESSAGES + taken + 5):
            probe.transport.send(NodeId("b"), report)
    assert probe.counts["peer_messages_dropped:LoadReport:queue_full"] >= 5
    assert probe.counts["peer_messages_dropped:NotOwner:queue_full"] == 0


async def test_messages_beyond_the_queue_of_a_socket_arrive_in_order() -> None:
    # Guards against messages that are left in the queue of a link once its socket was full.
    first, second = Probe("a", free_address()), Probe("b", free_address())
    count = 4 * transport.SOCKET_QUEUE_MESSAGES
    async with running(first):
        first.transport.connect(NodeId("b"), second.address)
        for number in range(count):
            first.transport.send(NodeId("b"), NotOwner(ShardId("p/0"), None, number))
        async with running(second):
            await second.wait_received(count)
    assert [item.message.epoch for item in second.received] == list(range(count))


async def test_an_error_of_the_core_ends_the_transport() -> None:
    # Guards against a process that runs on without its messages after a broken invariant.
    first, second = Probe("a", free_address()), Probe("b", free_address())

    def fail(_event: Receive) -> None:
        raise ZeroDivisionError

    second.transport._deliver = fail

    async def run() -> None:
        async with running(first, second):
            first.transport.connect(NodeId("b"), second.address)
            first.transport.send(NodeId("b"), MESSAGE)
            with anyio.fail_after(TIMEOUT_S):
                await anyio.sleep_forever()

    with pytest.raises(ExceptionGroup) as info:
        await run()
    assert info.group_contains(ZeroDivisionError)


async def test_a_peer_without_a_known_key_or_under_another_name_is_rejected() -> None:
    # Guards against a process without a key, and a node that uses the name of another.
    keys = {name: zmq.curve_keypair() for name in "abc"}
    public = {NodeId(name): key for name, (key, _) in keys.items()}

    def probe(name: str, key: str) -> Probe:
        return Probe(name, free_address(), CurveKeys(keys[key][0], keys[key][1], public))

    server, impostor = probe("a", "a"), probe("b", "c")
    async with running(server, impostor):
        impostor.transport.connect(NodeId("a"), server.address)
        impostor.transport.send(NodeId("a"), MESSAGE)
        await server.wait_for("peer_messages_rejected:identity")
        await wait_for_failed_handshake(server.address)
        assert server.received == []


async def wait_for_failed_handshake(address: str) -> None:
    """Connect without CURVE and wait until the handshake is refused."""
    failures = (zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL, zmq.EVENT_DISCONNECTED)
    context = zmq.asyncio.Context()
    socket = context.socket(zmq.DEALER)
    monitor = socket.get_monitor_socket()
    socket.connect(f"tcp://{address}")
    with anyio.fail_after(TIMEOUT_S):
        event = await zmq.utils.monitor.recv_monitor_message(monitor)
        while event["event"] not in failures:
            event = await zmq.utils.monitor.recv_monitor_message(monitor)
    socket.disable_monitor()
    context.destroy(linger=0)


async def test_a_peer_with_its_own_key_is_accepted() -> None:
    # Guards against an authentication that rejects every peer.
    keys = {name: zmq.curve_keypair() for name in "ab"}
    public = {NodeId(name): key for name, (key, _) in keys.items()}
    first = Probe("a", free_address(), CurveKeys(*keys["a"], public))
    second = Probe("b", free_address(), CurveKeys(*keys["b"], public))
    async with running(first, second):
        first.transport.connect(NodeId("b"), second.address)
        first.transport.send(NodeId("b"), MESSAGE)
        await second.wait_received()
    assert second.received == [Receive(NodeId("a"), MESSAGE)]
