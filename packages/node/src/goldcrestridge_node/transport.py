"""Message transport between nodes over ZeroMQ: one receiving socket, one sending socket per peer.

The sockets are used without blocking from the event loop. The asynchronous sockets of pyzmq create
a future for each message, which costs more than the message itself.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import zmq
import zmq.utils.z85
from attrs import define, field, frozen
from returns.result import Failure

from goldcrestridge_core import codec
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import (
    CacheEvents,
    Count,
    GrantReport,
    LoadReport,
    NodeId,
    Receive,
    ShardSummary,
)

# A message has three frames: protocol version, hybrid logical clock timestamp, encoded message.
PROTOCOL_VERSION = b"\x01"
STAMP = struct.Struct("!dI")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Bound of each of the two queues of a peer, so that an unresponsive peer takes bounded memory.
MAX_QUEUED_MESSAGES = 2_000
# Small, so that messages wait in the queues of the link, where they are ordered by priority.
SOCKET_QUEUE_MESSAGES = 64
# Nodes that can reach each other again must work together within 3 s, so a connection that became
# silent without a reset must be replaced within that time. TCP keep-alive is used instead of the
# heartbeats of libzmq 4.3.5, which abort the process ("Assertion failed: !_io_error") when a broken
# connection times out.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
MAX_RETRANSMIT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000  # After a lost SYN packet, a new attempt sends another one.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
# Interval at which messages are offered again to a socket whose queue is full, because its peer
# does not read.
FULL_QUEUE_RETRY_MS = 10.0
# A socket to a peer with its wake-up descriptor, and the connection from that peer.
DESCRIPTORS_PER_PEER = 3
# Messages that are received before other tasks run.
MAX_RECEIVED_AT_ONCE = 64

# Reports are repeated periodically, so they are sent after and dropped before other messages.
LOW_PRIORITY_MESSAGES = (LoadReport, CacheEvents, ShardSummary, GrantReport)

ZAP_ADDRESS = "inproc://zeromq.zap.01"


@frozen
class CurveKeys:
    """CURVE key pair of this node and the public keys of all known peers."""

    public: bytes
    secret: bytes
    peers: dict[NodeId, bytes]


@define(eq=False)
class _Link:
    """Address, socket and outbound queues of one peer; ``urgent`` is sent before ``reports``."""

    address: str
    urgent: deque[list[bytes]] = field(factory=deque)
    reports: deque[list[bytes]] = field(factory=deque)
    socket: zmq.Socket[bytes] | None = None
    retry: asyncio.TimerHandle | None = None

    def flush(self) -> None:
        """Send the queued messages; try again later while the socket takes none."""
        self.retry = None
        while self.socket is not None and (queue := self.urgent or self.reports):
            try:
                self.socket.send_multipart(queue[0], zmq.NOBLOCK)
            except zmq.Again:
                delay_s = FULL_QUEUE_RETRY_MS / MS_PER_SECOND
                self.retry = asyncio.get_running_loop().call_later(delay_s, self.flush)
                return
            queue.popleft()

    def close(self) -> None:
        """Close the socket and discard the queued messages."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class Transport:
    """Send and receive messages between this node and its peers.

    ``deliver`` is called with each received message, ``count`` with each counter increment.
    ``stamp`` returns the clock timestamp to send, ``observe`` is called with a received one. All
    are called in the event loop. ``resolve`` returns the address of a peer without a connection.
    """

    def __init__(
        self,
        node: NodeId,
        address: str,
        deliver: Callable[[Receive], None],
        count: Callable[[Count], None],
        stamp: Callable[[], tuple[float, int]],
        observe: Callable[[float, int], None],
        curve: CurveKeys | None = None,
        resolve: Callable[[NodeId], str] | None = None,
    ) -> None:
        self._node = node
        self._address = address
        self._deliver = deliver
        self._count = count
        self._stamp = stamp
        self._observe = observe
        self._curve = curve
        self._resolve = resolve
        self._links: dict[NodeId, _Link] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._running = False

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Receive messages until cancelled; raise OSError if the address is in use."""
        readers: list[zmq.Socket[bytes]] = []
        failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        try:
            if self._curve is not None:
                readers.append(self._start_authentication(self._curve, failed))
            socket = self._socket(zmq.ROUTER)
            try:
                socket.bind(f"tcp://{self._address}")
            except zmq.ZMQError as exc:
                raise OSError(f"Can't listen on {self._address}: {exc.strerror}") from exc
            readers.append(socket)
            _watch(
                socket,
                lambda: self._receive(socket.recv_multipart(zmq.NOBLOCK, copy=False)),
                failed,
            )
            self._running = True
            for peer, link in self._links.items():
                self._open(peer, link)
            task_status.started()
            await failed
        finally:
            self._running = False
            for link in self._links.values():
                link.close()
            for reader in readers:
                _unwatch(reader)
            self._context.destroy(linger=0)

    def descriptors(self) -> int:
        """Return about how many descriptors the connections to and from the peers use."""
        return DESCRIPTORS_PER_PEER * len(self._links)

    def connect(self, peer: NodeId, address: str) -> None:
        """Connect to a peer, or reconnect if its address changed."""
        link = self._links.get(peer)
        if peer == self._node or (link is not None and link.address == address):
            return
        if link is not None:
            link.close()
        self._links[peer] = link = _Link(address)
        if self._running:
            self._open(peer, link)

    def disconnect(self, peer: NodeId) -> None:
        """Close the connection to a peer and discard its queued messages."""
        link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    def send(self, peer: NodeId, message: Any) -> None:
        """Queue a message; if the queue is full, drop its oldest message and count the drop."""
        kind = type(message).__name__
        if peer == self._node:
            self._deliver(Receive(peer, message))
            return
        link = self._links.get(peer)
        if link is None and self._resolve is not None:
            self.connect(peer, self._resolve(peer))
            link = self._links.get(peer)
        if link is None:
            self._count_drop(kind, "unknown_peer")
            return
        queue = link.reports if isinstance(message, LOW_PRIORITY_MESSAGES) else link.urgent
        if len(queue) >= MAX_QUEUED_MESSAGES:
            queue.popleft()
            self._count_drop(kind, "queue_full")
        body = codec.encode(message)
        self._count(Count("peer_sent_bytes", len(body), (("kind", kind),)))
        queue.append([PROTOCOL_VERSION, STAMP.pack(*self._stamp()), body])
        if link.retry is None:
            link.flush()

    def _count_drop(self, kind: str, reason: str) -> None:
        self._count(Count("peer_messages_dropped", 1, (("kind", kind), ("reason", reason))))

    def _socket(self, kind: int) -> zmq.Socket[bytes]:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.SNDHWM, SOCKET_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
        socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_S)
        socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_S)
        socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        socket.setsockopt(zmq.TCP_MAXRT, MAX_RETRANSMIT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if kind == zmq.ROUTER:
            # A restarted peer takes over its identity from its stale connection.
            socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._curve is not None:
            socket.curve_publickey = self._curve.public
            socket.curve_secretkey = self._curve.secret
            socket.curve_server = kind == zmq.ROUTER
        return socket

    def _receive(self, frames: list[zmq.Frame]) -> None:
        """Deliver a message; count and discard one that is malformed or not authenticated."""
        if len(frames) != 4 or len(frames[2].buffer) != STAMP.size:
            self._count(Count("peer_messages_rejected", 1, (("reason", "framing"),)))
            return
        if frames[1].bytes != PROTOCOL_VERSION:
            self._count(Count("peer_messages_rejected", 1, (("reason", "version"),)))
            return
        try:
            sender = NodeId(frames[0].bytes.decode("ascii"))
        except UnicodeDecodeError:
            self._count(Count("peer_messages_rejected", 1, (("reason", "sender"),)))
            return
        if self._curve is not None and frames[3].get("User-Id") != sender:
            self._count(Count("peer_messages_rejected", 1, (("reason", "identity"),)))
            return
        decoded = codec.decode(frames[3].bytes)
        if isinstance(decoded, Failure):
            self._count(Count("peer_messages_rejected", 1, (("reason", "codec"),)))
            return
        wall_ms, counter = STAMP.unpack(frames[2].bytes)
        self._observe(wall_ms, counter)
        message = decoded.unwrap()
        self._deliver(Receive(sender, message))

    def _open(self, peer: NodeId, link: _Link) -> None:
        """Open the socket of a link and send what is queued."""
        if self._curve is not None and peer not in self._curve.peers:
            self._count(Count("peer_messages_rejected", 1, (("reason", "unknown_key"),)))
            return
        socket = self._socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, self._node.encode("ascii"))
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if self._curve is not None:
            socket.curve_serverkey = self._curve.peers[peer]
        try:
            socket.connect(f"tcp://{link.address}")
        except zmq.ZMQError:
            # Another node named a peer whose address is none.
            socket.close()
            self._count(Count("peer_messages_rejected", 1, (("reason", "address"),)))
            return
        link.socket = socket
        link.flush()

    def _start_authentication(
        self, curve: CurveKeys, failed: asyncio.Future[None]
    ) -> zmq.Socket[bytes]:
        """Answer ZAP requests: accept a known CURVE key as the node that it belongs to."""
        names = {key: node for node, key in curve.peers.items()}
        socket = self._context.socket(zmq.REP)
        socket.setsockopt(zmq.LINGER, 0)
        socket.bind(ZAP_ADDRESS)

        def answer() -> None:
            request = socket.recv_multipart(zmq.NOBLOCK)
            key = zmq.utils.z85.encode(request[6]) if len(request) > 6 else b""
            node = names.get(key)
            if node is None:
                self._count(Count("peer_connections_refused"))
            status, name = (b"200", node.encode("ascii")) if node else (b"400", b"")
            socket.send_multipart([request[0], request[1], status, b"", name, b""])

        _watch(socket, answer, failed)
        return socket


def _watch(
    socket: zmq.Socket[bytes], receive: Callable[[], None], failed: asyncio.Future[None]
) -> None:
    """Call ``receive`` for each message of a socket; it raises zmq.Again if there is none.

    The descriptor of a socket signals changes of its state only, so all messages are received at
    each signal. Any other exception ends the transport through ``failed``.
    """
    loop = asyncio.get_running_loop()

    def drain() -> None:
        if socket.closed or failed.done():
            return
        try:
            for _ in range(MAX_RECEIVED_AT_ONCE):
                receive()
        except zmq.Again:
            return
        except Exception as exc:
            failed.set_exception(exc)
            return
        loop.call_soon(drain)

    loop.add_reader(_descriptor(socket), drain)
    loop.call_soon(drain)


def _descriptor(socket: zmq.Socket[bytes]) -> int:
    """Return the descriptor that becomes readable when the state of a socket changes."""
    descriptor = socket.getsockopt(zmq.FD)
    assert isinstance(descriptor, int)
    return descriptor


def _unwatch(socket: zmq.Socket[bytes]) -> None:
    """Stop receiving messages of a socket and close it."""
    asyncio.get_running_loop().remove_reader(_descriptor(socket))
    socket.close()


def addressed_transport(
    node: NodeId, deliver: Callable[[Receive], None], count: Callable[[Count], None]
) -> Transport:
    """Return the transport of a node in a deployment whose nodes are named by their addresses.

    The clock timestamps are zero, since these nodes record no timeline.
    """
    return Transport(
        node,
        node,
        deliver,
        count,
        lambda: (0.0, 0),
        lambda _wall_ms, _counter: None,
        resolve=lambda peer: peer,
    )
