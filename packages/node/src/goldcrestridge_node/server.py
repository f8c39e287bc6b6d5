"""HTTP server for callers: uvicorn as a task in the event loop of the process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator, Sequence
from contextlib import contextmanager
from typing import Any

import anyio
from anyio.abc import TaskStatus
from uvicorn.config import Config
from uvicorn.server import Server

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.endpoints import split_address
from goldcrestridge_core.process_limits import ACCEPT_BATCH
from goldcrestridge_node.caller_connection import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    CallerConnection,
    ServerOptions,
)
from goldcrestridge_node.caller_table import CallerTable


class _Server(Server):
    """Server that leaves signals to the process and calls ``on_started`` once it listens."""

    def __init__(self, config: Config, on_started: Callable[[], None], backlog: int) -> None:
        super().__init__(config)
        self.on_started = on_started
        self.backlog = backlog

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the listeners and call ``on_started``."""
        await super().startup(sockets=sockets)
        for sock in sockets or ():
            # The event loop uses one number for the queue of the kernel and for the connections
            # that it accepts at once. The queue is longer.
            sock.listen(self.backlog)
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
    table: CallerTable | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the ASGI application on bound sockets until ``stop`` is set.

    Requests in flight are then completed. Use ``TaskGroup.start``, which returns once the sockets
    listen. Cancellation aborts all connections. ``table`` holds the connections of all servers of
    the process; without it, this server has one of its own.
    """
    options, table = options or ServerOptions(), table or CallerTable()
    protocol = type("Connection", (CallerConnection,), {"options": options, "table": table})
    for sock in socks:
        table.ledger.add_listener(str(sock.getsockname()))
    server = _Server(_config(app, protocol), task_status.started, options.backlog)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_server, server, stop)
        try:
            await server.serve(sockets=list(socks))
        finally:
            _close(server, socks)
        group.cancel_scope.cancel()


def _config(app: Any, protocol: type[CallerConnection]) -> Config:
    options = protocol.options
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
        backlog=ACCEPT_BATCH,
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
