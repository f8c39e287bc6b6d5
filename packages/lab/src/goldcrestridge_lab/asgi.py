"""Small helpers of the HTTP stand-ins."""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskStatus

from goldcrestridge_node.server import CallerConnection, ServerOptions, serve

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = tuple[tuple[bytes, bytes], ...]

SERVER_OPTIONS = ServerOptions(max_head_bytes=262_144)


def connection(scope: Scope) -> CallerConnection:
    """Return the connection that a request came by."""
    conn: CallerConnection = scope["state"]["connection"]
    return conn


def header(scope: Scope, name: bytes) -> str:
    """Return the first value of a request header, or an empty string."""
    found = (value for key, value in scope["headers"] if key == name)
    return next(found, b"").decode("latin-1")


async def read_body(receive: Receive) -> bytes:
    """Return the request body."""
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


async def send_head(send: Send, status: int, headers: Headers) -> None:
    """Send the response head."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_body(send: Send, data: bytes, more: bool = True) -> None:
    """Send a part of the response body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def send_json(send: Send, value: Any, status: int = 200, extra: Headers = ()) -> None:
    """Send a JSON answer."""
    body = msgspec.json.encode(value)
    length = (b"content-length", b"%d" % len(body))
    await send_head(send, status, ((b"content-type", b"application/json"), length, *extra))
    await send_body(send, body, more=False)


async def serve_until(
    app: App,
    sock: socket.socket,
    stop: anyio.Event,
    crash: anyio.Event,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``stop`` is set, or break all connections off once ``crash`` is set."""
    async with anyio.create_task_group() as group:

        async def end_on_crash() -> None:
            await crash.wait()
            group.cancel_scope.cancel()

        group.start_soon(end_on_crash)
        await serve(app, [sock], stop, SERVER_OPTIONS, task_status=task_status)
        group.cancel_scope.cancel()


class _AddressPrinter(TaskStatus[None]):
    """Print the address once the server listens, for the process that started this one."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def started(self, value: None = None) -> None:
        """Print ``host:port``."""
        host, port = self.sock.getsockname()[:2]
        print(f"{host}:{port}", flush=True)


async def run_command(app: App, sock: socket.socket, crash: anyio.Event) -> None:
    """Serve as a process until SIGTERM or SIGINT; exit with status 70 on a crash."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, stop)
        await serve_until(app, sock, stop, crash, task_status=_AddressPrinter(sock))
        group.cancel_scope.cancel()
    if crash.is_set():
        sys.exit(70)


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return
