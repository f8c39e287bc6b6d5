"""Permits of one forwarded request for upstreams that name a limit on their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import Decision, Forwarding
from goldcrestridge_core.permits import PermitDecided, SeekPermit
from goldcrestridge_node.gateway_parts import AdmittedRequest
from goldcrestridge_node.request_log import RequestRecord

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway

# Limited upstreams that one request asks for a permit. Each costs a round trip to its owner.
MAX_REFUSALS = 3
# A permit is used within this time, which covers the wait for a connection. The permits that a node
# held during a longer pause would exceed the limit together with those issued since.
PERMIT_VALID_MS = 1_000.0
# Priority of a request that may have run, ahead of all others, since it can't be refused.
RUN_PRIORITY = -1
# Minimum wait before such a request asks again, about two round trips.
MIN_WAIT_MS = 10.0
# Width of the jitter on the time after which refused callers return, as a share of it.
RETRY_JITTER_SHARE = 0.2


@define(eq=False)
class RequestPermits:
    """Ask for permits; ``refused`` holds the upstreams that had none for the current attempt."""

    gateway: Gateway
    admitted: AdmittedRequest
    forwarding: Forwarding
    record: RequestRecord
    refused: dict[str, PermitDecided] = field(factory=dict)
    _granted_ms: float | None = None  # When the permit for the next attempt was granted.

    async def has_permit(self, instance: UpstreamInstance) -> bool:
        """Tell whether a request may be sent; ask for a permit if the upstream names a limit."""
        deps = self.gateway.dependencies
        self._granted_ms = None
        limit = deps.placement.limits.per_second(instance.instance)
        if limit is None:
            return True
        started_ms = deps.clock.now_ms()
        ticket = self.gateway.next_ticket()
        priority = RUN_PRIORITY if self.forwarding.may_have_run else self.admitted.rank
        permit: PermitDecided = await deps.permits.ask(
            ticket, SeekPermit(ticket, instance.instance, priority)
        )
        if permit.granted:
            self._granted_ms = deps.clock.now_ms()
            return True
        self.refused[instance.instance] = permit
        reason = f"limit {limit:g}/s, next permit in {permit.next_ms:.0f} ms"
        took_ms = deps.clock.now_ms() - started_ms
        self.record.add_attempt(instance.instance, "no_permit", reason, took_ms)
        return False

    def denied(self) -> str:
        """Return that the permit of the attempt has run out, or an empty text."""
        now_ms = self.gateway.dependencies.clock.now_ms()
        if self._granted_ms is not None and now_ms - self._granted_ms > PERMIT_VALID_MS:
            return "the permit has run out"
        return ""

    def excluded(self) -> set[str]:
        """Return the upstreams that the current attempt must not use for want of a permit."""
        if len(self.refused) < MAX_REFUSALS:
            return set(self.refused)
        placement = self.gateway.dependencies.placement
        return self.refused.keys() | placement.limited_instances(self.admitted.service)

    def refusal(self) -> Decision:
        """Return the final decision for a request that no upstream has a permit for."""
        retry_ms = min(permit.retry_ms for permit in self.refused.values())
        spread = self.gateway.dependencies.placement.rng.random()
        return self.forwarding.after_permit_refusal(retry_ms * (1.0 + RETRY_JITTER_SHARE * spread))

    async def wait_for_next(self) -> bool:
        """Wait for the next permit of any upstream; return False if it comes too late."""
        next_ms = min(permit.next_ms for permit in self.refused.values())
        wait_ms = max(MIN_WAIT_MS, next_ms)
        if wait_ms >= self.forwarding.left_ms(self.gateway.dependencies.clock.now_ms()):
            return False
        self.refused.clear()
        await anyio.sleep(wait_ms / MS_PER_SECOND)
        return True
