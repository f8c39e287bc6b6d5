"""Addresses of the form ip:port."""

from __future__ import annotations

import ipaddress


def split_address(address: str) -> tuple[str, int] | None:
    """Return the host and port of ``ip:port``, or None if it is not valid."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not (port.isascii() and port.isdigit() and int(port) < 65_536):
        return None
    return host, int(port)
