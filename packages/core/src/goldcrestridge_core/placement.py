"""Placement of forwarded requests on the instances of a service.

Traffic patterns that the placement handles:
- Prompts with a shared prefix: requests with the same prefix go to the same engine, which holds it
  in its prefix cache.
- Long prompts next to streams that allow only short gaps: the prefill of a long prompt lengthens
  the gaps between the tokens of the engine's running streams. Long prompts therefore run on
  engines of their own, as many as their share of the work requires.
- A hot prefix: it spills over to the next engine in its rendezvous order once the first one has
  clearly more load than the mean.
- Prompts whose engine is too busy: the next engine in the order of their prefix is asked, the same
  one from every entry node, so that not every engine computes every prefix.
- Many entry nodes that learn each other's load late: each chooses among a random sample of the
  engines, so that they do not all send their requests to the same one.
- Instances that name a limit on their requests: others are preferred while they have no permit.
- Instances that say that they leave or ask for a rest: they are left out, see `upstream_notices`.
- Instances that fail, hang or crash while they are still listed: they get no requests during a
  backoff that doubles with each consecutive failure, and then a single probe request.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Collection, Iterable

from attrs import define, field

from goldcrestridge_core.demand import Demand
from goldcrestridge_core.engine_types import EngineFound
from goldcrestridge_core.follow_types import (
    InstanceLoad,
    ServiceWork,
    UpstreamInstance,
    Workload,
)
from goldcrestridge_core.instance_health import InstanceHealth
from goldcrestridge_core.rate_limits import RateLimits
from goldcrestridge_core.recent_work import RecentWork
from goldcrestridge_core.rendezvous import weight
from goldcrestridge_core.run_proofs import RunProofs
from goldcrestridge_core.stream_origins import StreamOrigin
from goldcrestridge_core.upstream_notices import Avoidance, UpstreamNotices, Usability

# A request spills over to the next engine if the load of the preferred one exceeds the mean load
# times this factor plus this many requests.
SPILL_FACTOR = 1.25
SPILL_REQUESTS = 4.0
# Instances whose failure share exceeds the lowest one by more than this margin are not used.
FAILURE_MARGIN = 0.2
# Highest slot utilisation of the engines for short prompts, which are the more urgent ones, before
# they take over engines from the long prompts.
SHORT_MAX_UTILISATION = 0.8
# With at least this many engines for short prompts, some are reserved for tight streams. Tight
# streams are long-lived, so their engines are filled to a high slot utilisation before further ones
# are reserved.
MIN_SHORT_ENGINES = 2
TIGHT_MAX_UTILISATION = 0.9
# Number of engines of its own partition at which a request asks for admission, one after the other.
CANDIDATES_PER_PARTITION = 2
# Number of engines of the first fallback partition that it asks after these.
FALLBACK_CANDIDATES = 2
# Entry nodes know the load of the others only as of their last poll. If all of them chose the least
# loaded engine, it would get the requests of a whole poll interval, so each chooses among a sample.
LOAD_SAMPLE = 2
# An instance that refused a connection may come back under its id with another version, which the
# list of instances shows within this time.
RESTART_DOUBT_MS = 3_000.0
# Bounds the memory of the orders of prefixes, which are computed once for each list of instances.
MAX_ORDERS = 1_024
# With fewer usable engines the engines of a service are not partitioned.
MIN_ENGINES_TO_PARTITION = 3


@define
class Placement:
    """Choose an instance for each request from the health and load of all instances.

    ``listed`` tells whether the list of instances has been received. ``limits`` holds the request
    rates that instances name, ``notices`` what they say of their leaving and of rests, ``proofs``
    whether they may have been started again.
    """

    data_centre: str
    rng: random.Random
    listed: bool = False
    limits: RateLimits = field(factory=RateLimits)
    notices: UpstreamNotices = field(init=False)
    proofs: RunProofs = field(factory=RunProofs)
    _services: dict[str, tuple[UpstreamInstance, ...]] = field(factory=dict)
    _health: dict[str, InstanceHealth] = field(factory=dict)
    _recent_work: dict[str, RecentWork] = field(factory=dict)
    _partition_weights: dict[str, int] = field(factory=dict)  # By instance.
    _orders: dict[tuple[str, str], list[str]] = field(factory=dict)  # By service and prefix.

    def __attrs_post_init__(self) -> None:
        """Create the notices with the random generator of the placement."""
        self.notices = UpstreamNotices(self.rng)

    def set_instances(self, instances: Iterable[UpstreamInstance], now_ms: float = 0.0) -> None:
        """Replace the list of instances and drop the state of those that are no longer listed."""
        self.listed = True
        services: dict[str, list[UpstreamInstance]] = {}
        for item in instances:
            services.setdefault(item.service, []).append(item)
        before = {item.instance: item.life for items in self._services.values() for item in items}
        self._services = {name: tuple(items) for name, items in services.items()}
        self._orders.clear()
        listed = {item.instance for items in services.values() for item in items}
        self._partition_weights = {name: weight("long prompts", name) for name in listed}
        self._health = {
            name: health
            for name, health in self._health.items()
            if name in listed or health.in_flight
        }
        for item in itertools.chain.from_iterable(self._services.values()):
            if before.get(item.instance, item.life) != item.life and item.instance in self._health:
                # A later run under the same name has not failed yet.
                in_flight = self._health[item.instance].in_flight
                self._health[item.instance] = InstanceHealth(in_flight=in_flight)
        self.limits.retain(listed)
        self.proofs.set_listed(itertools.chain.from_iterable(self._services.values()), now_ms)
        self.notices.set_listed(itertools.chain.from_iterable(self._services.values()), now_ms)

    def choose(
        self, service: str, demand: Demand, excluded: Collection[str], now_ms: float
    ) -> UpstreamInstance | None:
        """Return an instance for a request, or None if no instance is usable."""
        usable = self._usable(service, excluded, now_ms, demand.origin)
        if not usable:
            return None
        loads = self._loads(usable, now_ms)
        if demand.partitioned:
            usable = self._partitions(service, usable, demand, loads)[0]
        if demand.prefix:
            return self._by_prefix(service, usable, demand.prefix, loads)
        return min(usable, key=lambda item: self._rank(item, loads))

    def candidates(
        self, service: str, demand: Demand, excluded: Collection[str], now_ms: float
    ) -> list[UpstreamInstance]:
        """Return the engines to ask for admission of a request, in order of preference."""
        usable = self._usable(service, excluded, now_ms, demand.origin)
        if not usable:
            return []
        loads = self._loads(usable, now_ms)
        own, *fallbacks = (
            self._partitions(service, usable, demand, loads) if demand.partitioned else [usable]
        )
        chosen = self._by_prefix_order(service, own, demand.prefix, loads) if demand.prefix else []
        self._add_sampled(chosen, own, CANDIDATES_PER_PARTITION, loads)
        if fallbacks:
            # Other requests are more urgent than long prompts and have a fallback, so that they are
            # not refused while long prompts are served.
            count = len(chosen) + FALLBACK_CANDIDATES
            self._add_sampled(chosen, fallbacks[0], count, loads)
        return chosen

    def _add_sampled(
        self,
        chosen: list[UpstreamInstance],
        engines: list[UpstreamInstance],
        count: int,
        loads: dict[str, float],
    ) -> None:
        """Add engines up to ``count`` in total, each the least loaded one of a random sample."""
        names = {item.instance for item in chosen}
        left = [item for item in engines if item.instance not in names]
        while left and len(chosen) < count:
            sample = self.rng.sample(left, min(len(left), LOAD_SAMPLE))
            best = min(sample, key=lambda item: self._rank(item, loads))
            chosen.append(best)
            left = [item for item in left if item is not best]

    def _rank(self, item: UpstreamInstance, loads: dict[str, float]) -> tuple[float, bool, float]:
        """Return a sort key: load, then other data centre, then random.

        The load per slot is rounded to steps of a half, so that instances of similar load are equal
        and the local data centre wins.
        """
        slot_load = round(2.0 * loads[item.instance] / max(1, item.slots))
        return (slot_load, item.data_centre != self.data_centre, self.rng.random())

    def _usable(
        self,
        service: str,
        excluded: Collection[str],
        now_ms: float,
        origin: StreamOrigin | None = None,
    ) -> list[UpstreamInstance]:
        """Return the instances that may get a request.

        If all of them are in backoff, return the one whose backoff ends first.
        """
        allowed = [
            item
            for item in self._services.get(service, ())
            if item.instance not in excluded
            and not self._health_of(item).replaced
            and (origin is None or self._fits(item, origin, now_ms))
        ]
        listed = self.notices.preferred(allowed, now_ms)
        healthy = [item for item in listed if self._health_of(item).backoff_until_ms <= now_ms]
        if not healthy:
            first = sorted(listed, key=lambda item: self._health_of(item).backoff_until_ms)
            return first[:1]
        shares = [self._health_of(item).failure_share_at(now_ms) for item in healthy]
        limit = min(shares) + FAILURE_MARGIN
        usable = [item for item, share in zip(healthy, shares, strict=True) if share <= limit]
        if not self.limits.has_pauses:
            return usable
        # An instance without a permit left is used only if all others are in the same state.
        return [
            item for item in usable if not self.limits.is_paused(item.instance, now_ms)
        ] or usable

    def _fits(self, item: UpstreamInstance, origin: StreamOrigin, now_ms: float) -> bool:
        """Return whether a stream of this origin is known to fit an instance."""
        listed = self._services.get(origin.service, ())
        # The list may have been old when the origin was recorded.
        origin_in_doubt = any(
            other.instance == origin.instance and not _runs_versions_of(other, origin)
            for other in listed
        )
        unreachable_ms = self._health_of(item).unreachable_ms
        return (
            bool(origin.version)
            and item.service == origin.service
            and _runs_versions_of(item, origin)
            and not origin_in_doubt
            and now_ms - unreachable_ms >= RESTART_DOUBT_MS
            and self.proofs.runs(item.instance, now_ms)
        )

    def runs(self, item: UpstreamInstance, now_ms: float) -> bool:
        """Return whether a run is still listed and is taken to run now."""
        return self.proofs.lists(item) and self.proofs.runs(item.instance, now_ms)

    def answers(self, item: UpstreamInstance, opened_ms: float, now_ms: float) -> bool:
        """Return whether a listed run answers on a connection opened at ``opened_ms``."""
        return self.proofs.lists(item) and self.proofs.answers(item.instance, opened_ms, now_ms)

    def serves_version(self, origin: StreamOrigin) -> bool:
        """Return whether an instance of the version of a stream is listed and not leaving."""
        return any(
            _runs_versions_of(item, origin) and not item.leaving
            for item in self._services.get(origin.service, ())
        )

    def rest_left_ms(
        self, service: str, excluded: Collection[str], origin: StreamOrigin | None, now_ms: float
    ) -> float | None:
        """Return the time until the first rest of a service ends, or None if no instance rests.

        It is meant for a request for which no instance is usable.
        """
        rests = (
            self.notices.rest_left_ms(item, now_ms)
            for item in self._services.get(service, ())
            if item.instance not in excluded and not self._health_of(item).replaced
            if origin is None or self._fits(item, origin, now_ms)
        )
        return min((left_ms for left_ms in rests if left_ms is not None), default=None)

    def avoided(self, service: str, now_ms: float) -> list[Avoidance]:
        """Return the listed instances of a service that are avoided for what they said."""
        if self.notices.is_quiet(now_ms):
            return []
        items = (item for item in self._services.get(service, ()) if not item.leaving)
        reasons = (self.notices.avoidance(item, now_ms) for item in items)
        return [reason for reason in reasons if reason is not None]

    def withheld(self, item: UpstreamInstance, now_ms: float) -> str:
        """Return why an instance must not get a request that was placed before, or an empty text.

        A request can wait for a connection or a permit after it was placed.
        """
        if self.notices.usability(item, now_ms) < Usability.NONE:
            return ""
        reason = self.notices.avoidance(item, now_ms)
        # A request that was placed before the list showed the end of an instance is still served.
        return "" if reason is None else str(reason)

    def limited_instances(self, service: str) -> set[str]:
        """Return the instances of a service that name a limit on their requests."""
        return {
            item.instance
            for item in self._services.get(service, ())
            if self.limits.per_second(item.instance) is not None
        }

    def _partitions(
        self,
        service: str,
        usable: list[UpstreamInstance],
        demand: Demand,
        loads: dict[str, float],
    ) -> list[list[UpstreamInstance]]:
        """Return the partition of a request, then its fallback partitions in order of preference.

        Long prompts have no fallback. Tight streams prefer the engines of short prompts, where they
        meet their gap target more often than next to long prompts.
        """
        work = self._recent_work.get(service)
        if work is None or len(usable) < MIN_ENGINES_TO_PARTITION or not work.has_both_kinds:
            return [usable]
        order = sorted(usable, key=lambda item: self._partition_weights[item.instance])
        count = work.long_engines(
            len(usable),
            self._engines_needed(order[work.long_count :], SHORT_MAX_UTILISATION, loads),
        )
        long, short = order[:count], order[count:]
        if demand.long:
            return [long]
        if len(short) < MIN_SHORT_ENGINES or not (demand.tight or work.has_tight):
            return [short, long]
        # Tight streams use the end of the order. It changes partitions last, so that they stay on
        # the same engines.
        reserved = short[-work.tight_count :] if work.tight_count else []
        min_tight = self._engines_needed(reserved, TIGHT_MAX_UTILISATION, loads)
        work.tight_count = work.tight_engines(len(short), min_tight)
        tight, other = short[-work.tight_count :], short[: -work.tight_count]
        return [tight, other, long] if demand.tight else [other, long]

    def _engines_needed(
        self, engines: list[UpstreamInstance], utilisation: float, loads: dict[str, float]
    ) -> int:
        """Return how many engines carry the current load at the given slot utilisation."""
        slots = sum(item.slots for item in engines)
        if not slots:
            return 0
        load = sum(loads[item.instance] for item in engines)
        return math.ceil(load * len(engines) / (slots * utilisation))

    def record_arrival(self, service: str, demand: Demand, now_ms: float) -> None:
        """Add the work of a request that arrived at this node."""
        if not demand.partitioned:
            return
        work = self._recent_work.setdefault(service, RecentWork(updated_ms=now_ms))
        work.decay(now_ms)
        if demand.long:
            work.long += demand.work
        else:
            work.short += demand.work
            work.tight += demand.work if demand.tight else 0.0

    def set_peer_workload(self, workload: Workload) -> None:
        """Replace the load and the work of all other entry nodes."""
        loads = {load.instance: load.requests for load in workload.loads}
        for item in itertools.chain.from_iterable(self._services.values()):
            self._health_of(item).peer_requests = loads.get(item.instance, 0)
        for service_work in workload.works:
            work = self._recent_work.setdefault(service_work.service, RecentWork())
            work.peers = service_work

    def workload(self, now_ms: float) -> Workload:
        """Return the in-flight requests, the recent work and the known limits of this node."""
        for work in self._recent_work.values():
            work.decay(now_ms)
        return Workload(
            tuple(
                InstanceLoad(name, health.in_flight)
                for name, health in self._health.items()
                if health.in_flight
            ),
            tuple(
                ServiceWork(service, round(work.short), round(work.long), round(work.tight))
                for service, work in self._recent_work.items()
            ),
            self.limits.shared(now_ms),
            *self.notices.shared(now_ms),
        )

    def _by_prefix(
        self,
        service: str,
        usable: list[UpstreamInstance],
        prefix: str,
        loads: dict[str, float],
    ) -> UpstreamInstance:
        """Return the first instance in the rendezvous order of the prefix within the load bound."""
        by_name = {item.instance: item for item in usable}
        bound = sum(loads[name] for name in by_name) / len(by_name) * SPILL_FACTOR + SPILL_REQUESTS
        order = [name for name in self._prefix_order(service, prefix) if name in by_name]
        name = next((name for name in order if loads[name] <= bound), order[0])
        return by_name[name]

    def _by_prefix_order(
        self,
        service: str,
        usable: list[UpstreamInstance],
        prefix: str,
        loads: dict[str, float],
    ) -> list[UpstreamInstance]:
        """Return the engines of a prefix: the one to ask first, then the next in its order.

        Requests that the first engine is too busy for go to the same second engine from every
        entry node, so that few engines compute the prefix.
        """
        chosen = [self._by_prefix(service, usable, prefix, loads)]
        by_name = {item.instance: item for item in usable if item is not chosen[0]}
        names = (name for name in self._prefix_order(service, prefix) if name in by_name)
        left = CANDIDATES_PER_PARTITION - len(chosen)
        return chosen + [by_name[name] for name in itertools.islice(names, left)]

    def part_source(
        self, service: str, prefix: str, target: UpstreamInstance, found: EngineFound, now_ms: float
    ) -> UpstreamInstance | None:
        """Return the engine that most probably holds a prefix which ``target`` lacks, or None.

        It is the one that said so, or else the next one in the order of the prefix, which gets the
        requests that the first one is too busy for.
        """
        usable = {
            item.instance: item
            for item in self._usable(service, {target.instance, *found.empty}, now_ms)
            if item.weights == target.weights and self._health_of(item).backoff_until_ms <= now_ms
        }
        order = (name for name in self._prefix_order(service, prefix) if name in usable)
        name = found.holder if found.holder in usable else next(order, None)
        return None if name is None else usable[name]

    def _prefix_order(self, service: str, prefix: str) -> list[str]:
        """Return the listed instances of a service in the rendezvous order of a prefix."""
        order = self._orders.get((service, prefix))
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                self._orders.clear()
            names = [item.instance for item in self._services.get(service, ())]
            order = sorted(names, key=lambda name: weight(prefix, name), reverse=True)
            self._orders[service, prefix] = order
        return order

    def _loads(self, items: list[UpstreamInstance], now_ms: float) -> dict[str, float]:
        """Return the estimated load of each instance."""
        return {item.instance: self.load(item.instance, now_ms) for item in items}

    def load(self, instance: str, now_ms: float) -> float:
        """Return the estimated number of running and waiting requests of an instance."""
        health = self._health.get(instance)
        if health is None:
            return 0.0
        return health.load_at(now_ms)

    def _health_of(self, item: UpstreamInstance) -> InstanceHealth:
        health = self._health.get(item.instance)
        if health is None:
            health = self._health[item.instance] = InstanceHealth()
        return health

    # Outcomes of requests.

    def record_start(self, item: UpstreamInstance) -> None:
        """Count a request that is sent to an instance as in flight."""
        self._health_of(item).in_flight += 1

    def record_end(self, item: UpstreamInstance) -> None:
        """Count a request as no longer in flight."""
        self._health_of(item).in_flight -= 1

    def record_success(self, item: UpstreamInstance, now_ms: float) -> None:
        """Record an answer and end the backoff of the instance."""
        self._health_of(item).record_success(now_ms)

    def record_failure(self, item: UpstreamInstance, now_ms: float) -> None:
        """Record a failure of the instance, such as a cut connection, and start its backoff."""
        self.proofs.record_loss(item.instance, now_ms)
        self._health_of(item).record_failure(now_ms)

    def record_loss(self, address: str, now_ms: float) -> None:
        """Record that the instance at an address has closed an idle connection."""
        for item in itertools.chain.from_iterable(self._services.values()):
            if item.address == address:
                self.proofs.record_loss(item.instance, now_ms)

    def record_unreachable(self, item: UpstreamInstance, now_ms: float) -> None:
        """Record that the instance accepted no connection, and start its backoff."""
        self._health_of(item).unreachable_ms = now_ms
        self.record_failure(item, now_ms)

    def record_error_answer(self, item: UpstreamInstance, now_ms: float) -> None:
        """Record an error answer, which counts towards the failure share but starts no backoff.

        A single error answer may be caused by the request itself.
        """
        health = self._health_of(item)
        health.consecutive_failures = 0
        health.record(failed=True, now_ms=now_ms)

    def mark_replaced(self, item: UpstreamInstance) -> None:
        """Exclude an instance whose address is now used by another one."""
        self._health_of(item).replaced = True

    def set_reported_load(self, item: UpstreamInstance, requests: int, now_ms: float) -> None:
        """Store the number of running and waiting requests that an instance reported."""
        self._health_of(item).set_reported_load(requests, now_ms)


def _runs_versions_of(item: UpstreamInstance, origin: StreamOrigin) -> bool:
    """Return whether an instance runs the software and the weights that began a stream."""
    return item.version == origin.version and origin.weights in ("", item.weights)
