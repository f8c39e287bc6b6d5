"""Header rules shared by the two sides of the router."""

from __future__ import annotations

from collections.abc import Iterable

from goldcrestridge_core.types import Headers

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1; content-length and host are set anew for every connection.
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
_OWN_PREFIX = b"x-goldcrestridge-"
# The bearer key belongs to the router and must not reach an upstream.
_REQUEST_ONLY = HOP_BY_HOP | {b"host", b"content-length", b"authorization", b"expect"}
# The server towards callers writes its own date.
_RESPONSE_ONLY = HOP_BY_HOP | {b"date", b"server"}


def header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header; names are lower case."""
    return [value for key, value in headers if key == name]


def request_headers(headers: Iterable[Header]) -> Headers:
    """Return the caller's headers that are passed to a plain service."""
    return _without(list(headers), _REQUEST_ONLY)


def response_headers(headers: Iterable[Header]) -> Headers:
    """Return the upstream's headers, in lower case, that are passed to the caller."""
    return _without([(name.lower(), value) for name, value in headers], _RESPONSE_ONLY)


def listed_by_connection(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return the headers that Connection lists as concerning one connection only."""
    return frozenset(
        token.strip().lower()
        for value in header_values(headers, b"connection")
        for token in value.split(b",")
    )


def _without(headers: list[Header], dropped: frozenset[bytes]) -> Headers:
    """Drop the named headers, those that Connection lists, and the router's own."""
    listed = listed_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and name not in listed and not name.startswith(_OWN_PREFIX)
    )
