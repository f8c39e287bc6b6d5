"""Names of requests that are the same: those of one caller with one target and body."""

from __future__ import annotations

import hashlib

# Longer than any name of a part of a prompt, so that no caller can choose one.
KEY_PREFIX = "request "
DIGEST_BYTES = 15


def request_key(caller: str, method: str, host: bytes, target: bytes, body: bytes) -> str:
    """Return a name of a request that only the same request of the same caller has."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for item in (caller.encode(), method.encode(), host, target):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    digest.update(body)
    return KEY_PREFIX + digest.hexdigest()


def is_request_key(part: str) -> bool:
    """Tell whether a name is that of a request and not of a part of a prompt."""
    return part.startswith(KEY_PREFIX)
