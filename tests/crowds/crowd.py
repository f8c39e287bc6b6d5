"""A crowd of clients that send as much as a server takes and never read an answer."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Callable

from attrs import define, field

# A connection that takes no byte for this long is taken to be held up by the server.
STALL_S = 3.0
# Bounds the time of a crowd whose every connection goes on.
LONGEST_S = 15.0
SAMPLE_S = 0.1
# Small, so that answers that are not read soon fill the buffers of the server.
RECEIVE_BUFFER_BYTES = 4_096
SEND_BYTES = 65_536
# Marks a connection that waits for the server to answer or close it.
_ANSWERED = object()


@define(eq=False)
class _Client:
    """One connection: what it still has to send of its payload, and when it last sent some."""

    sock: socket.socket
    sent: int = 0
    moved_s: float = field(factory=time.monotonic)


@define(eq=False)
class Crowd:
    """``size`` connections that send ``payload`` over and over, up to ``each_bytes`` each.

    ``first`` is sent once before; without ``payload`` nothing else is sent. A connection that the
    server closes, or a silent one that it answers, is replaced until ``connects`` were made.
    """

    address: tuple[str, int]
    size: int
    payload: bytes = b""
    first: bytes = b""
    each_bytes: int = 0
    connects: int = 0
    _clients: dict[socket.socket, _Client] = field(factory=dict)
    _selector: selectors.BaseSelector = field(factory=selectors.DefaultSelector)
    _connected: int = 0

    def run(self, sample: Callable[[], None]) -> None:
        """Send until no connection gets on; the connections stay open."""
        for _ in range(self.size):
            self._connect()
        began_s = sampled_s = time.monotonic()
        while self._is_moving(began_s):
            for key, _events in self._selector.select(SAMPLE_S):
                assert isinstance(key.fileobj, socket.socket)
                client = self._clients[key.fileobj]
                if key.data is _ANSWERED:
                    self._replace(client)
                else:
                    self._send(client)
            if time.monotonic() - sampled_s > SAMPLE_S:
                sampled_s = time.monotonic()
                sample()
        sample()

    def close(self) -> None:
        """Close all connections."""
        for sock in self._clients:
            sock.close()
        self._selector.close()

    def _is_moving(self, began_s: float) -> bool:
        now_s = time.monotonic()
        recent = any(now_s - client.moved_s < STALL_S for client in self._clients.values())
        return recent and now_s - began_s < LONGEST_S

    def _connect(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.address)
        self._connected += 1
        self._clients[sock] = _Client(sock)
        self._selector.register(sock, selectors.EVENT_WRITE)

    def _send(self, client: _Client) -> None:
        data = self._data(client)
        try:
            if data:
                client.sent += client.sock.send(data)
                client.moved_s = time.monotonic()
            elif self.first or self.payload:
                self._selector.unregister(client.sock)  # All is sent.
            elif client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._replace(client)
            else:
                self._selector.modify(client.sock, selectors.EVENT_READ, _ANSWERED)
        except BlockingIOError:
            pass
        except OSError:
            self._replace(client)

    def _data(self, client: _Client) -> bytes:
        if client.sent < len(self.first):
            return self.first[client.sent :]
        if not self.payload or client.sent >= self.each_bytes:
            return b""
        offset = (client.sent - len(self.first)) % len(self.payload)
        repeats = SEND_BYTES // len(self.payload) + 2
        return (self.payload * repeats)[offset : offset + SEND_BYTES]

    def _replace(self, client: _Client) -> None:
        """Close a connection that has ended, and open another one in its place."""
        self._selector.unregister(client.sock)
        del self._clients[client.sock]
        client.sock.close()
        if self._connected < self.connects:
            self._connect()
