"""Requests to the platform and to load reports, bounded in time and size."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore
from attrs import frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers
from goldcrestridge_node.headers import lower_names

# A page of the platform's list has up to some hundred entries of some hundred bytes.
MAX_REPLY_BYTES = 4 * 1_048_576


@frozen
class Reply:
    """A whole response; header names are in lower case."""

    status: int
    headers: Headers
    content: bytes


async def get(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    timeout_ms: float,
    max_bytes: int = MAX_REPLY_BYTES,
) -> Reply:
    """Request a URL; raise an exception of httpcore if no whole reply comes within the bounds."""
    return await _request(pool, "GET", url, [], b"", timeout_ms, max_bytes, {})


async def post(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_ms: float,
    trace: Callable[[str, Any], Awaitable[None]],
) -> Reply:
    """Send a body like ``get``; ``trace`` is called before each step and may raise."""
    extensions = {"trace": trace}
    return await _request(pool, "POST", url, headers, body, timeout_ms, MAX_REPLY_BYTES, extensions)


async def _request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_ms: float,
    max_bytes: int,
    extensions: dict[str, Any],
) -> Reply:
    timeout: dict[str, Any] = dict.fromkeys(
        ("connect", "read", "write", "pool"), timeout_ms / MS_PER_SECOND
    )
    parts: list[bytes] = []
    size = 0
    try:
        # The timeouts of httpcore hold for each read, so that slow bytes could come for ever.
        with anyio.fail_after(timeout_ms / MS_PER_SECOND):
            async with pool.stream(
                method,
                url,
                headers=headers,
                content=body,
                extensions={"timeout": timeout, **extensions},
            ) as response:
                async for chunk in response.aiter_stream():
                    parts.append(chunk)
                    size += len(chunk)
                    if size > max_bytes:
                        raise httpcore.RemoteProtocolError("The reply is too long.")
    except TimeoutError as exc:
        raise httpcore.ReadTimeout(f"No whole reply within {timeout_ms:.0f} ms.") from exc
    return Reply(response.status, lower_names(response.headers), b"".join(parts))
