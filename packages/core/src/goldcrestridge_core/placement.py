"""Placement of forwarded requests on the instances of a service.

Load patterns that it answers:
- prompts with shared parts: requests with the same part go to the same engine, which has read it;
- long prompts beside streams with short pauses: while an engine reads a long prompt, the pauses of
  its streams grow beyond what tight ones bear, so a few engines take the tight streams alone;
- a part that gets much of the traffic: it spills over to the next engine in its order once the
  first is clearly busier than the others;
- upstreams that fail, hang or crash while they are still listed: they get no request for a time
  that grows with each failure in a row, then one as a probe.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import xxhash
from attrs import define, field, frozen

from goldcrestridge_core.follow_types import InstanceLoad, UpstreamInstance

# An instance that failed gets no request for this time, doubled with each further failure.
FIRST_BLOCK_MS = 400.0
LONGEST_BLOCK_MS = 6_000.0
# Load told in an answer is used for this time; then only what this node knows itself.
REPORT_VALID_MS = 1_500.0
# An engine keeps the requests of its prompt parts up to this multiple of the mean load.
SPILL_FACTOR = 1.25
SPILL_REQUESTS = 4.0
# The share of failed requests is a moving average over about ten of them, and loses half of its
# weight in this time, so that an upstream that gets no request is tried again.
FAILURE_WEIGHT = 0.1
FAILURE_HALF_LIFE_MS = 4_000.0
# An upstream that fails this much more often than its peers is avoided while they have room.
FAILURE_MARGIN = 0.2


# Engines that take tight streams alone hold this share of their slots with them, which leaves room
# for a burst of twice the load.
TIGHT_FILL = 0.4
# At most this share of the engines is kept for tight streams, and none of fewer engines than this.
TIGHT_SHARE = 1 / 2
LEAST_ENGINES = 3
# The number of such engines follows a mean over about this time, so that it does not alternate.
TIGHT_MEAN_MS = 3_000.0


@frozen
class Demand:
    """What placement needs to know of a request.

    ``part`` names the part of the prompt that other requests share, or is empty. ``engine`` tells
    whether the service is a model engine, ``tight`` whether the stream bears only short pauses.
    """

    part: str = ""
    engine: bool = False
    tight: bool = False


@define
class _Health:
    """What this node knows of one instance."""

    in_flight: int = 0
    tight: int = 0
    failures_in_row: int = 0
    blocked_until_ms: float = 0.0
    failure_share: float = 0.0
    failure_ms: float = 0.0
    reported: int = 0  # Running and waiting requests by the last report.
    in_flight_then: int = 0
    reported_ms: float = float("-inf")
    others: int = 0  # Requests of all other entry nodes when they last told.
    refused: bool = False  # It said that it takes no more work.

    def failing(self, now_ms: float) -> float:
        """Return the share of failed requests, which fades with time."""
        age_ms = max(0.0, now_ms - self.failure_ms)
        return self.failure_share * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)

    def note(self, failed: bool, now_ms: float) -> None:
        """Take the outcome of one request into the share of failed ones."""
        share = self.failing(now_ms)
        self.failure_share = share + (float(failed) - share) * FAILURE_WEIGHT
        self.failure_ms = now_ms


@define
class Placement:
    """Choose an instance for each request; holds what this node saw of every instance."""

    data_centre: str
    rng: random.Random
    entries: int = 1
    _services: dict[str, tuple[UpstreamInstance, ...]] = field(factory=dict)
    _health: dict[str, _Health] = field(factory=dict)
    _tight_mean: dict[str, float] = field(factory=dict)
    _tight_ms: float = 0.0

    def set_instances(self, instances: Iterable[UpstreamInstance]) -> None:
        """Take over the list of instances; forget those that are not listed any more."""
        services: dict[str, list[UpstreamInstance]] = {}
        for item in instances:
            services.setdefault(item.service, []).append(item)
        self._services = {name: tuple(items) for name, items in services.items()}
        listed = {item.instance for items in services.values() for item in items}
        self._health = {
            name: health
            for name, health in self._health.items()
            if name in listed or health.in_flight
        }

    def choose(
        self, service: str, demand: Demand, excluded: Collection[str], now_ms: float
    ) -> UpstreamInstance | None:
        """Return an instance for a request, or None if no instance may get one."""
        usable = self._usable(service, excluded, now_ms)
        if not usable:
            return None
        if demand.engine:
            usable = self._kept_for(service, usable, demand.tight)
        if demand.part and not demand.tight:
            return self._by_part(usable, demand.part, now_ms)
        return min(
            usable,
            key=lambda item: (
                self._pressure(item, now_ms),
                item.data_centre != self.data_centre,
                self.rng.random(),
            ),
        )

    def _usable(
        self, service: str, excluded: Collection[str], now_ms: float
    ) -> list[UpstreamInstance]:
        """Return the instances that may get a request; blocked ones only if there are no others."""
        listed = [
            item
            for item in self._services.get(service, ())
            if not item.leaving and not self._of(item).refused and item.instance not in excluded
        ]
        sound = [item for item in listed if self._of(item).blocked_until_ms <= now_ms]
        if not sound:
            return sorted(listed, key=lambda item: self._of(item).blocked_until_ms)[:1]
        shares = {item.instance: self._of(item).failing(now_ms) for item in sound}
        worst = min(shares.values()) + FAILURE_MARGIN
        return [item for item in sound if shares[item.instance] <= worst]

    def _kept_for(
        self, service: str, usable: list[UpstreamInstance], tight: bool
    ) -> list[UpstreamInstance]:
        """Return the engines that are kept for tight streams, or those for all others."""
        mean = self._tight_mean.get(service, 0.0)
        if len(usable) < LEAST_ENGINES or (not mean and not tight):
            return usable
        slots = sum(item.slots for item in usable) / len(usable)
        wanted = math.ceil(mean / (slots * TIGHT_FILL))
        count = max(1, min(wanted, int(len(usable) * TIGHT_SHARE)))
        order = sorted(usable, key=lambda item: _weight("tight", item.instance))
        return order[:count] if tight else order[count:]

    def told_others(self, loads: Iterable[InstanceLoad], now_ms: float) -> None:
        """Take over the requests in flight of all other entry nodes."""
        known = {load.instance: load for load in loads}
        weight = 1.0 - math.exp(-max(0.0, now_ms - self._tight_ms) / TIGHT_MEAN_MS)
        self._tight_ms = now_ms
        for service, items in self._services.items():
            total = 0
            for item in items:
                health, load = self._of(item), known.get(item.instance)
                health.others = load.requests if load else 0
                total += health.tight + (load.tight if load else 0)
            mean = self._tight_mean.get(service, 0.0)
            self._tight_mean[service] = mean + (total - mean) * weight

    def loads(self) -> tuple[InstanceLoad, ...]:
        """Return this node's requests in flight."""
        return tuple(
            InstanceLoad(name, health.in_flight, health.tight)
            for name, health in self._health.items()
            if health.in_flight
        )

    def _by_part(
        self, usable: list[UpstreamInstance], part: str, now_ms: float
    ) -> UpstreamInstance:
        """Return the first instance in the order of the part that is not clearly the busiest."""
        order = sorted(usable, key=lambda item: _weight(part, item.instance), reverse=True)
        loads = {item.instance: self.load(item.instance, now_ms) for item in usable}
        mean = sum(loads.values()) / len(loads)
        bound = mean * SPILL_FACTOR + SPILL_REQUESTS
        return next((item for item in order if loads[item.instance] <= bound), order[0])

    def _pressure(self, item: UpstreamInstance, now_ms: float) -> float:
        """Return the load by slot, in steps, so that a near instance is preferred to a far one."""
        return round(2.0 * self.load(item.instance, now_ms) / max(1, item.slots))

    def load(self, instance: str, now_ms: float) -> float:
        """Return the estimated number of running and waiting requests of an instance."""
        health = self._health.get(instance)
        if health is None:
            return 0.0
        known = health.in_flight + health.others
        if now_ms - health.reported_ms > REPORT_VALID_MS:
            return float(known)
        since = health.in_flight - health.in_flight_then
        return float(max(known, health.reported + since))

    def _of(self, item: UpstreamInstance) -> _Health:
        return self._health.setdefault(item.instance, _Health())

    # What became of requests.

    def started(self, item: UpstreamInstance, demand: Demand) -> None:
        """Note that a request was sent to an instance."""
        health = self._of(item)
        health.in_flight += 1
        health.tight += demand.tight

    def ended(self, item: UpstreamInstance, demand: Demand) -> None:
        """Note that a request has left an instance."""
        health = self._of(item)
        health.in_flight -= 1
        health.tight -= demand.tight

    def succeeded(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note an answer."""
        health = self._of(item)
        health.failures_in_row = 0
        health.blocked_until_ms = 0.0
        health.note(failed=False, now_ms=now_ms)

    def failed(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note a failure that says something of the instance: no connection, no sound answer."""
        health = self._of(item)
        block_ms = min(LONGEST_BLOCK_MS, FIRST_BLOCK_MS * 2.0**health.failures_in_row)
        health.failures_in_row += 1
        health.blocked_until_ms = now_ms + block_ms
        health.note(failed=True, now_ms=now_ms)

    def answered_error(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note an error answer; one alone says little, a higher share than that of peers does."""
        health = self._of(item)
        health.failures_in_row = 0
        health.note(failed=True, now_ms=now_ms)

    def gone(self, item: UpstreamInstance) -> None:
        """Note that another instance answers at the address."""
        self._of(item).refused = True

    def told_load(self, item: UpstreamInstance, requests: int, now_ms: float) -> None:
        """Take over the number of running and waiting requests that an instance reported."""
        health = self._of(item)
        health.reported = requests
        health.reported_ms = now_ms
        health.in_flight_then = health.in_flight


def _weight(part: str, instance: str) -> int:
    """Return the rendezvous weight of an instance for a part of a prompt."""
    return xxhash.xxh3_64_intdigest(f"{part}\0{instance}".encode())
