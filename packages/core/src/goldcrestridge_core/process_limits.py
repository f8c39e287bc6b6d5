"""Limits of one process that follow from the memory and the descriptors of its VM."""

from __future__ import annotations

from attrs import frozen

BYTES_PER_MB = 1_000_000
# Memory and descriptors of a process whose settings name none.
DEFAULT_MEMORY_BYTES = 256_000_000
DEFAULT_DESCRIPTORS = 4_096
# Memory of a process without callers: the interpreter, the modules, and the state of a large
# deployment.
PROCESS_BYTES = 56_000_000
# Share of the rest that is held for callers. The remainder covers copies and fragmentation.
HELD_SHARE = 0.7
# At least one request with the largest body of the platform is served, however small the VM is.
MIN_HELD_BYTES = 12_000_000
# Share of the held memory that responses of upstreams leave to further requests.
MARGIN_SHARE = 0.04
# Memory of the objects of one open connection.
CONNECTION_BYTES = 12_288
# Share of the held memory that connections without a request may take.
CONNECTIONS_SHARE = 0.5
# Memory of the objects of a request in progress.
REQUEST_BYTES = 49_152
# Connections that each listener takes at once, before it is decided which of them are kept.
ACCEPT_BATCH = 16
MAX_LISTENERS = 4
# Descriptors of the process itself: files, the event loop, listeners and the nearest nodes.
PROCESS_DESCRIPTORS = 40
# Share of the other descriptors that is left for connections to upstreams.
UPSTREAM_SHARE = 0.25
# Share of the connections that each listener gets even if another one is crowded.
LISTENER_SHARE = 0.08


@frozen
class ProcessLimits:
    """Limits of one process over all its listeners.

    ``connections`` bounds the connections of callers, of which ``listener_connections`` are
    guaranteed to each listener. ``upstream_connections`` bounds those to upstreams. ``held_bytes``
    bounds the memory that is held for callers, of which responses leave ``margin_bytes`` to further
    requests.
    """

    connections: int
    listener_connections: int
    upstream_connections: int
    held_bytes: int

    @property
    def margin_bytes(self) -> int:
        """Return the memory that responses leave to further requests."""
        return int(MARGIN_SHARE * self.held_bytes)


def process_limits(
    memory_bytes: int | None = None, descriptors: int | None = None
) -> ProcessLimits:
    """Return the limits of a process with this memory that may open so many descriptors."""
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    descriptors = descriptors or DEFAULT_DESCRIPTORS
    held = max(MIN_HELD_BYTES, int(HELD_SHARE * (memory_bytes - PROCESS_BYTES)))
    free = max(0, descriptors - PROCESS_DESCRIPTORS - MAX_LISTENERS * ACCEPT_BATCH)
    upstreams = max(1, int(UPSTREAM_SHARE * free))
    by_memory = int(CONNECTIONS_SHARE * held / CONNECTION_BYTES)
    connections = max(1, min(free - upstreams, by_memory))
    return ProcessLimits(connections, max(1, int(LISTENER_SHARE * connections)), upstreams, held)
