"""ASGI helpers of the HTTP stand-ins."""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskStatus
from attrs import define

from goldcrestridge_node.caller_connection import CallerConnection, ServerOptions
from goldcrestridge_node.server import serve

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = tuple[tuple[bytes, bytes], ...]

SERVER_OPTIONS = ServerOptions(max_head_bytes=262_144)


def connection(scope: Scope) -> CallerConnection:
    """Return the connection on which a request arrived."""
    conn: CallerConnection = scope["state"]["connection"]
    return conn


def header(scope: Scope, name: bytes) -> str:
    """Return the first value of a request header, or an empty string."""
    found = (value for key, value in scope["headers"] if key == name)
    return next(found, b"").decode("latin-1")


@define
class Notices:
    """What a stand-in says of itself: that it leaves, and for how long it wants no calls.

    A stand-in that only announces that it leaves still serves. It rejects the next ``rejections``
    calls with ``rest_s``.
    """

    announces: bool = False
    rest_s: float = 0.0
    rejections: int = 0

    def take_rejection(self) -> Headers | None:
        """Return the headers of a rejection that is due, or None."""
        if not self.rejections:
            return None
        self.rejections -= 1
        return ((b"retry-after", b"%g" % self.rest_s),)


def identified(scope: Scope, send: Send, notices: Notices) -> Send:
    """Return ``send`` with the id of the request, and with a notice, in the response head."""
    request_id = header(scope, b"x-request-id").encode("latin-1")
    extra: Headers = ((b"x-request-id", request_id),) if request_id else ()
    if notices.announces:
        extra += ((b"x-upstream-leaving", b"1"),)

    async def send_with_id(message: Message) -> None:
        if message["type"] == "http.response.start":
            message = {**message, "headers": (*message["headers"], *extra)}
        await send(message)

    return send_with_id


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
    """Send a chunk of the response body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def send_json(send: Send, value: Any, status: int = 200, extra: Headers = ()) -> None:
    """Send a JSON response."""
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
    """Serve until ``stop`` is set, or until ``crash`` is set, which aborts all connections."""
    async with anyio.create_task_group() as group:

        async def end_on_crash() -> None:
            await crash.wait()
            group.cancel_scope.cancel()

        group.start_soon(end_on_crash)
        await serve(app, [sock], stop, SERVER_OPTIONS, task_status=task_status)
        group.cancel_scope.cancel()


class _AddressPrinter(TaskStatus[None]):
    """Prints the bound address once the server listens, for the parent process."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def started(self, value: None = None) -> None:
        """Print the address as ``host:port``."""
        host, port = self.sock.getsockname()[:2]
        print(f"{host}:{port}", flush=True)


async def run_command(app: App, sock: socket.socket, crash: anyio.Event) -> None:
    """Serve until SIGTERM or SIGINT; exit with status 70 once ``crash`` is set."""
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
