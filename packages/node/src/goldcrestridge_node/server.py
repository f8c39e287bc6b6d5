"""The uvicorn server towards callers, run as a task of the process's event loop."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable, Generator, Sequence
from contextlib import contextmanager
from typing import Any

import anyio
import h11
import uvicorn
from anyio.abc import TaskStatus
from attrs import define
from uvicorn.protocols.http.h11_impl import H11Protocol

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_node.refusals import Refusal, error_body, error_headers
from goldcrestridge_node.settings import split_address

BAD_REQUEST = Refusal(400, "invalid_http", "The request is not valid HTTP/1.1.", close=True)
HEAD_TOO_LARGE = Refusal(431, "head_too_large", "The request head is too large.", close=True)
HEAD_TOO_SLOW = Refusal(408, "head_timeout", "The request head took too long.", close=True)
TOO_MANY_CONNECTIONS = Refusal(
    503, "overloaded", "Too many connections are open.", retry_after_ms=1000.0, close=True
)


@define
class ServerOptions:
    """Limits of the server towards callers; changes hold for open connections too."""

    max_head_bytes: int = 32_768
    head_timeout_ms: float = 10_000.0
    keep_alive_ms: float = 75_000.0
    max_connections: int = 4_096
    backlog: int = 1_024


class CallerConnection(H11Protocol):
    """One caller's connection; uvicorn's protocol with a head timeout and errors as JSON.

    The application finds it in the request's state as ``connection``. ``on_lost`` is called once
    if the connection is lost while a request is being answered, which costs no second task per
    request, unlike waiting for the disconnect message.
    """

    options = ServerOptions()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.app_state = {"connection": self}
        self.on_lost: Callable[[], None] | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def on_response_complete(self) -> None:
        """Wait for the next request as long as the limits say now."""
        self.timeout_keep_alive = math.ceil(self.options.keep_alive_ms / MS_PER_SECOND)
        super().on_response_complete()

    @property
    def write_paused(self) -> bool:
        """Return whether the caller does not read as fast as it is sent to."""
        return self.flow.write_paused

    def abort(self) -> None:
        """Close at once and drop what was not yet sent."""
        self.transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to wait for a request head."""
        super().connection_made(transport)
        if len(self.connections) > self.options.max_connections:
            self._refuse(TOO_MANY_CONNECTIONS)
            return
        self._watch_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the application that its caller has gone."""
        super().connection_lost(exc)
        self._unwatch_head()
        if self.on_lost is not None:
            on_lost, self.on_lost = self.on_lost, None
            on_lost()

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser; watch the time while a head is incomplete."""
        super().data_received(data)
        if self.conn.their_state is h11.IDLE:
            self._watch_head()
        else:
            self._unwatch_head()

    def send_400_response(self, msg: str) -> None:
        """Answer a request that the parser refused; break off an answer that has begun."""
        unread, _ = self.conn.trailing_data
        too_large = len(unread) > self.options.max_head_bytes
        self._refuse(HEAD_TOO_LARGE if too_large else BAD_REQUEST)

    def _watch_head(self) -> None:
        if self._head_timer is None:
            delay = self.options.head_timeout_ms / MS_PER_SECOND
            self._head_timer = self.loop.call_later(delay, self._head_expired)

    def _unwatch_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_expired(self) -> None:
        self._head_timer = None
        if self.conn.their_state is h11.IDLE and not self.transport.is_closing():
            self._refuse(HEAD_TOO_SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        """Send an error without the application and close the connection."""
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = error_body(refusal, "")
            head = h11.Response(
                status_code=refusal.status, headers=list(error_headers(refusal, "", body))
            )
            events: list[h11.Event] = [head, h11.Data(data=body), h11.EndOfMessage()]
            self.transport.write(b"".join(self.conn.send(event) or b"" for event in events))
        self.transport.close()


class _Server(uvicorn.Server):
    """uvicorn's server that leaves signals to the process and tells when it listens."""

    def __init__(self, config: uvicorn.Config, on_started: Callable[[], None]) -> None:
        super().__init__(config)
        self.on_started = on_started

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave the signal handlers alone."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the listeners and report it."""
        await super().startup(sockets=sockets)
        self.on_started()


def listen(host: str, port: int) -> socket.socket:
    """Return a bound socket; port 0 lets the kernel choose one."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def listen_at(address: str) -> socket.socket:
    """Return a socket bound to ``ip:port``, as checked settings give it."""
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

    Every request in flight is then served to its end. Meant for ``TaskGroup.start``; it returns to
    the starter once the sockets listen. Cancelling breaks all connections off.
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


def _config(app: Any, protocol: type, options: ServerOptions) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",  # The application reports its own faults, without request data.
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=options.backlog,
        h11_max_incomplete_event_size=options.max_head_bytes,
        timeout_keep_alive=int(options.keep_alive_ms / MS_PER_SECOND),
        timeout_graceful_shutdown=None,
    )


async def _stop_server(server: uvicorn.Server, stop: anyio.Event) -> None:
    await stop.wait()
    server.should_exit = True


def _close(server: _Server, socks: Sequence[socket.socket]) -> None:
    for listener in getattr(server, "servers", []):
        listener.close()
    for conn in list(server.server_state.connections):
        conn.transport.abort()
    for sock in socks:
        sock.close()
