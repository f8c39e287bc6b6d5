"""Idempotency keys of callers, which are UUIDs of version 7."""

from __future__ import annotations

import secrets
import time

from goldcrestridge_core.clock import MS_PER_SECOND

NUMBER_BITS = 60


def uuid7(number: int, issued_ms: float) -> str:
    """Return a UUID of version 7 for an issue time in Unix milliseconds.

    ``number`` has at most ``NUMBER_BITS`` bits.
    """
    text = f"{int(issued_ms):012x}7000a{number:015x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def new_key() -> str:
    """Return a random key with the current time as its issue time."""
    return uuid7(secrets.randbits(NUMBER_BITS), time.time() * MS_PER_SECOND)
