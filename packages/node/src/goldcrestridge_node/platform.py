"""Polling of the platform's list of live and leaving VMs, which may be stale."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
import httpcore
import msgspec
from attrs import frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.member_types import Member, PlatformList, PlatformVm
from goldcrestridge_core.types import Count, UpstreamLeaving
from goldcrestridge_node.polling import get

POLL_INTERVAL_MS = 2_000.0
POLL_TIMEOUT_MS = 2_000.0
LEAVING = "leaving"


class ListedVm(msgspec.Struct):
    """Listed VM: its IP address, or ``ip:port`` if several processes share an address."""

    address: str
    state: str


class Listing(msgspec.Struct):
    """Response of the platform; ``lag_ms`` is the maximum age of the list."""

    vms: list[ListedVm]
    lag_ms: float = 0.0


@frozen
class PlatformPoller:
    """Poll the list at ``url``.

    ``members`` and ``upstreams`` return the known nodes and upstreams; ``deliver`` is called with
    the events of each list.
    """

    url: str
    members: Callable[[], Iterable[Member]]
    upstreams: Callable[[], Iterable[Upstream]]
    deliver: Callable[[PlatformList | UpstreamLeaving], None]
    count: Callable[[Count], None]

    async def run(self) -> None:
        """Poll until cancelled; count and skip a list that cannot be read."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                try:
                    response = await get(pool, self.url, POLL_TIMEOUT_MS)
                    self._deliver(msgspec.json.decode(response.content, type=Listing))
                except (
                    httpcore.NetworkError,
                    httpcore.TimeoutException,
                    httpcore.ProtocolError,
                    msgspec.DecodeError,
                    msgspec.ValidationError,
                ):
                    self.count(Count("platform_lists_failed"))
                await anyio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)

    def _deliver(self, listing: Listing) -> None:
        """Map the listed addresses to nodes and upstreams and deliver the events."""
        states = {vm.address: vm.state for vm in listing.vms}
        members = [(member, state_of(member.peer_address, states)) for member in self.members()]
        vms = tuple(
            PlatformVm(member.node, state == LEAVING)
            for member, state in members
            if state is not None
        )
        self.deliver(PlatformList(vms, listing.lag_ms))
        for upstream in list(self.upstreams()):
            if state_of(upstream.address, states) == LEAVING:
                self.deliver(UpstreamLeaving(upstream.name, "platform_list"))


def state_of(address: str, states: dict[str, str]) -> str | None:
    """Return the listed state of ``ip:port``: by the full address, otherwise by its IP."""
    host = address.rpartition(":")[0]
    return states.get(address, states.get(host))
