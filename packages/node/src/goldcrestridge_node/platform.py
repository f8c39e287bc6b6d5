"""Polling of the platform's list of live and leaving VMs, which may be stale."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
import httpcore
import msgspec
from attrs import frozen
from returns.result import Failure, Result, Success

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.decoding import decode_json
from goldcrestridge_core.json_items import split_items
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


@frozen
class Listing:
    """Response of the platform; ``lag_ms`` is the maximum age of the list."""

    vms: tuple[ListedVm, ...]
    lag_ms: float = 0.0


def read_listing(body: bytes) -> Result[Listing, str]:
    """Decode a response entry by entry; skip those that are not valid."""
    split = split_items(body, "vms")
    if isinstance(split, Failure):
        return Failure(split.failure())
    listing = split.unwrap()
    lag_ms = decode_json(listing.members.get("lag_ms", b"0"), float)
    if isinstance(lag_ms, Failure):
        return Failure(lag_ms.failure())
    vms = (decode_json(item, ListedVm).value_or(None) for item in listing.items)
    return Success(Listing(tuple(vm for vm in vms if vm is not None), lag_ms.unwrap()))


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
                    listing = read_listing(response.content)
                except (
                    httpcore.NetworkError,
                    httpcore.TimeoutException,
                    httpcore.ProtocolError,
                ) as exc:
                    listing = Failure(type(exc).__name__)
                if isinstance(listing, Failure):
                    self.count(Count("platform_lists_failed"))
                else:
                    self._deliver(listing.unwrap())
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
