"""A request that a server has run is refused as not run by a node that stops."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from small import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Deployment,
    Record,
    call,
    client_headers,
    manifest,
    new_id,
    route,
    run,
    service,
)

REQUESTS = 8
LIMIT_MS = 10_000
WORK_S = 9.0
# The crash comes in the last 0.2 s before the node answers what is left, 7.2 s after SIGTERM.
CRASH_AFTER_S = 7.1
PROMISES = (408, 421, 429, 503)


def go_dark(address: str) -> list[socket.socket]:
    """Fill the queue of new connections at an address, so that none is answered from now on."""
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    held = [listener]
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((host, int(port)))
        held.append(sock)
    return held


async def case(deployment: Deployment, record: Record) -> int:
    server = deployment.server("orders", "i-order-1", slots=16)
    await deployment.start()
    table = manifest(
        7, [route("r-order", "/order/", "non_idempotent", "orders", LIMIT_MS)], [service("orders")]
    )
    if not await deployment.replace(table) or not await deployment.ready(deployment.entries):
        raise CannotRunError("the manifest is not in force")
    await asyncio.sleep(2.0)
    server.work_s = WORK_S
    entry = deployment.entries[2]
    names = [new_id() for _ in range(REQUESTS)]

    async def ask(name: str) -> int:
        headers = client_headers(name, LIMIT_MS)
        answer = await call(entry.address("front"), "POST", "/order/1", headers, b"x", 11.0)
        text = answer.body[:110].decode("latin-1")
        record.write(f"client sent {name}, got {answer.status or answer.reason} {text}")
        return answer.status

    asked = [asyncio.create_task(ask(name)) for name in names]
    await asyncio.sleep(0.5)
    entry.send(signal.SIGTERM)
    stopped_s = time.monotonic()
    held: list[socket.socket] = []
    await asyncio.sleep(max(0.0, stopped_s + CRASH_AFTER_S - time.monotonic()))
    if TROUBLE:
        record.write(f"server {server.name} crashes: resets its connections and goes dark")
        server.stop()
        held = go_dark(server.address)
    answers = await asyncio.gather(*asked)
    for sock in held:
        sock.close()
    false = [
        name
        for name, status in zip(names, answers, strict=True)
        if status in PROMISES and name in server.ran
    ]
    record.write(f"answers {answers}; promised as not run, but run: {false}")
    if len(server.ran) < REQUESTS:
        raise CannotRunError("the server has not begun all requests")
    return BROKEN if false else HELD


run(case, Path(__file__).resolve().parent)
