"""Rules for headers that are forwarded between callers and upstreams."""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.types import Headers

Header = tuple[bytes, bytes]


class BodyFraming(enum.Enum):
    """What marks the end of a response body (RFC 9112, section 6.3)."""

    NONE = "none"  # There is no body.
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # The end of the connection.


BODILESS_STATUS = (204, 304)

# Connection-specific headers of RFC 9110, section 7.6.1. The request side also drops content-length
# and host, which are set for each connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# An upstream of a pool that leaves says so with the value 1 in its answers.
LEAVING_HEADER = b"x-upstream-leaving"
_SECONDS = re.compile(rb"\d{1,30}(\.\d{0,30})?")
_ROUTER_PREFIX = b"x-goldcrestridge-"
# The bearer key is for the router and must not reach an upstream.
_DROPPED_FROM_REQUEST = HOP_BY_HOP | {b"host", b"content-length", b"authorization", b"expect"}
# The server for callers writes its own date.
_DROPPED_FROM_RESPONSE = HOP_BY_HOP | {b"date", b"server"}


def lower_names(headers: Iterable[Header]) -> Headers:
    """Return the headers with their names in lower case."""
    return tuple((name.lower(), value) for name, value in headers)


def header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header; ``name`` and the names in ``headers`` are in lower case."""
    return [value for key, value in headers if key == name]


def body_framing(method: str, status: int, headers: Iterable[Header]) -> BodyFraming:
    """Return the framing of a response; the names in ``headers`` are in lower case."""
    names = {name for name, _ in headers}
    if method == "HEAD" or status in BODILESS_STATUS:
        return BodyFraming.NONE
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b"content-length" in names else BodyFraming.CLOSE


def may_be_event_stream(headers: Iterable[Header]) -> bool:
    """Return whether a response holds server-sent events, or does not say what it holds."""
    kinds = header_values(headers, b"content-type")
    return not kinds or kinds[0].lower().startswith(b"text/event-stream")


def rest_ms(status: int, headers: Iterable[Header]) -> float:
    """Return for how long an upstream that rejects a request wants no more, or 0.

    A date or any other text in Retry-After names no time.
    """
    values = header_values(headers, b"retry-after") if status == 503 else []
    text = values[0].strip() if values else b""
    return float(text) * MS_PER_SECOND if _SECONDS.fullmatch(text) else 0.0


def request_headers(headers: Iterable[Header]) -> Headers:
    """Return the caller's headers that are forwarded to a plain service."""
    return _without(list(headers), _DROPPED_FROM_REQUEST)


def response_headers(headers: Iterable[Header]) -> Headers:
    """Return the upstream's headers that are forwarded to the caller, with names in lower case."""
    return _without(list(lower_names(headers)), _DROPPED_FROM_RESPONSE)


def listed_by_connection(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return the names of the connection-specific headers that Connection lists."""
    return frozenset(
        token.strip().lower()
        for value in header_values(headers, b"connection")
        for token in value.split(b",")
    )


def _without(headers: list[Header], dropped: frozenset[bytes]) -> Headers:
    """Remove the ``dropped`` headers, those that Connection lists, and the router's own."""
    listed = listed_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and name not in listed and not name.startswith(_ROUTER_PREFIX)
    )
