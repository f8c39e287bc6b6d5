"""Number of descriptors that the system allows the process to open."""

from __future__ import annotations

import resource


def allowed_descriptors(configured: int = 0) -> int | None:
    """Return the smaller of the configured number and that of the system, or None for neither."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (configured, soft) if limit > 0]
    return min(limits, default=None)
