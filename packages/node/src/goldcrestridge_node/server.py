"""HTTP server for callers: uvicorn as a task in the event loop of the process."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable, Generator, Sequence
from contextlib import contextmanager
from typing import Any

import anyio
import h11
from anyio.abc import TaskStatus
from attrs import define
from uvicorn.config import Config
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.server import Server

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.endpoints import split_address
from goldcrestridge_node.refusals import Refusal, error_body, error_headers

BAD_REQUEST = Refusal(400, "invalid_http", "The request is not valid HTTP/1.1.", close=True)
HEAD_TOO_LARGE = Refusal(431, "head_too_large", "The request head is too large.", close=True)
HEAD_TOO_SLOW = Refusal(408, "head_timeout", "The request head took too long.", close=True)
TOO_MANY_CONNECTIONS = Refusal(
    503, "overloaded", "Too many connections are open.", retry_after_ms=1000.0, close=True
)

# What the kernel receives for a connection that is not read, and sends for one that does not read.
# The send buffer is small enough that a slow caller is seen to go on reading.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536


@define
class ServerOptions:
    """Limits of the server for callers; changes also apply to open connections."""

    max_head_bytes: int = 32_768
    head_timeout_ms: float = 10_000.0
    keep_alive_ms: float = 75_000.0
    max_connections: int = 4_096
    backlog: int = 1_024


class CallerConnection(H11Protocol):
    """Connection of one caller: uvicorn's protocol with a head timeout and errors as JSON.

    The application finds it in the state of the request as ``connection``. ``on_lost`` is called
    once if the connection is lost while a request is in progress. Unlike waiting for the disconnect
    message, this needs no second task per request.
    """

    options = ServerOptions()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.app_state = {"connection": self}
        self.on_lost: Callable[[], None] | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._stopping = False

    def shutdown(self) -> None:
        """Close an idle connection; a request of which a part was received is still served."""
        self._stopping = True
        idle = self.cycle is None or self.cycle.response_complete
        if idle and self.conn.trailing_data[0]:
            return
        super().shutdown()

    def on_response_complete(self) -> None:
        """Apply the current keep-alive limit to the wait for the next request."""
        self.timeout_keep_alive = math.ceil(self.options.keep_alive_ms / MS_PER_SECOND)
        super().on_response_complete()

    @property
    def write_paused(self) -> bool:
        """Return whether the caller has not read all that was sent."""
        return self.flow.write_paused

    def abort(self) -> None:
        """Close immediately and discard unsent data."""
        self.transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout of the first request head; refuse a connection over the limit."""
        super().connection_made(transport)
        # A writer goes on once all was sent, so that no more than one part of a response waits.
        transport.set_write_buffer_limits(high=0)
        if len(self.connections) > self.options.max_connections:
            self._refuse(TOO_MANY_CONNECTIONS)
            return
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the application that its caller has disconnected."""
        super().connection_lost(exc)
        self._cancel_head_timer()
        if self.on_lost is not None:
            on_lost, self.on_lost = self.on_lost, None
            on_lost()

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser; run the head timeout while a head is incomplete."""
        super().data_received(data)
        if self._stopping and self.cycle is not None:
            self.cycle.keep_alive = False
        if self.conn.their_state is h11.IDLE:
            self._start_head_timer()
        else:
            self._cancel_head_timer()

    def send_400_response(self, msg: str) -> None:
        """Respond to a request that the parser rejected; abort a response in progress."""
        unread, _ = self.conn.trailing_data
        too_large = len(unread) > self.options.max_head_bytes
        self._refuse(HEAD_TOO_LARGE if too_large else BAD_REQUEST)

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            delay = self.options.head_timeout_ms / MS_PER_SECOND
            self._head_timer = self.loop.call_later(delay, self._on_head_timeout)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.conn.their_state is h11.IDLE and not self.transport.is_closing():
            self._refuse(HEAD_TOO_SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        """Send an error, bypassing the application, and close the connection."""
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = error_body(refusal, "")
            head = h11.Response(
                status_code=refusal.status, headers=list(error_headers(refusal, "", body))
            )
            events: list[h11.Event] = [head, h11.Data(data=body), h11.EndOfMessage()]
            self.transport.write(b"".join(self.conn.send(event) or b"" for event in events))
        self.transport.close()


class _Server(Server):
    """Server that leaves signals to the process and calls ``on_started`` once it listens."""

    def __init__(self, config: Config, on_started: Callable[[], None]) -> None:
        super().__init__(config)
        self.on_started = on_started

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the listeners and call ``on_started``."""
        await super().startup(sockets=sockets)
        self.on_started()


def listen(host: str, port: int) -> socket.socket:
    """Return a bound socket; with port 0 the kernel chooses a free port."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # The connections that it accepts inherit the sizes.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def listen_at(address: str) -> socket.socket:
    """Return a socket bound to an ``ip:port`` that was already validated."""
    return listen(*(split_address(address) or ("", 0)))


async def serve(
    app: Any,
    socks: Sequence[socket.socket],
    stop: anyio.Event,
    options: ServerOptions | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the ASGI application on bound sockets until ``stop`` is set.

    Requests in flight are then completed. Use ``TaskGroup.start``, which returns once the sockets
    listen. Cancellation aborts all connections.
    """
    options = options or ServerOptions()
    protocol = type("Connection", (CallerConnection,), {"options": options})
    server = _Server(_config(app, protocol, options), task_status.started)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_server, server, stop)
        try:
            await server.serve(sockets=list(socks))
        finally:
            _close(server, socks)
        group.cancel_scope.cancel()


def _config(app: Any, protocol: type, options: ServerOptions) -> Config:
    return Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",  # The application logs its own errors, without request data.
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=options.backlog,
        h11_max_incomplete_event_size=options.max_head_bytes,
        timeout_keep_alive=int(options.keep_alive_ms / MS_PER_SECOND),
        timeout_graceful_shutdown=None,
    )


async def _stop_server(server: Server, stop: anyio.Event) -> None:
    await stop.wait()
    server.should_exit = True


def _close(server: _Server, socks: Sequence[socket.socket]) -> None:
    for listener in getattr(server, "servers", []):
        listener.close()
    for conn in list(server.server_state.connections):
        conn.transport.abort()
    for sock in socks:
        sock.close()
