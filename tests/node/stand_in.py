"""A stand-in server whose connections end with it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serving(serve: Serve) -> AsyncIterator[str]:
    """Serve connections at a free port; yield its URL.

    On leaving, handlers that still run are cancelled and all connections are closed. A connection
    that outlives its event loop fails any later test during which it is collected.
    """
    handlers: set[asyncio.Task[None]] = set()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        handlers.add(task)
        try:
            await serve(reader, writer)
        finally:
            handlers.discard(task)
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        left = list(handlers)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await asyncio.sleep(0)  # Lets the transports close.
