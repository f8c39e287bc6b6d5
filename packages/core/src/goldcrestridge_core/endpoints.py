"""Addresses of the form ip:port."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int] | None:
    """Return the host and port of ``ip:port``, or None if it is not valid."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return None
    return (host, int(port)) if int(port) <= MAX_PORT else None


def is_remote_address(address: str) -> bool:
    """Return whether one can connect to an address: it is valid and its port is not 0."""
    return (split_address(address) or ("", 0))[1] > 0
