"""Placement of forwarded requests on the instances of a service.

Load patterns that it answers:
- prompts with shared parts: requests with the same prefix go to the same engine, which has read it;
- long prompts beside streams that bear only short pauses: while an engine reads a long prompt, the
  pauses of its streams grow beyond that, so long prompts get engines of their own, as many as
  their share of the work asks for;
- a prefix that gets much of the traffic: it spills over to the next engine in its order once the
  first is clearly busier than the others;
- upstreams that fail, hang or crash while they are still listed: they get no request for a time
  that grows with each failure in a row, then one as a probe.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Collection, Iterable

from attrs import define, field, frozen

from goldcrestridge_core.follow_types import (
    InstanceLoad,
    ServiceWork,
    UpstreamInstance,
    Workload,
)
from goldcrestridge_core.rendezvous import weight

# An instance that failed gets no request for this time, doubled with each further failure.
INITIAL_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 6_000.0
# Load told in an answer is used for this time; then only what this node knows itself.
REPORT_VALID_MS = 1_500.0
# An engine keeps the requests of its prompt parts up to this multiple of the mean load.
SPILL_FACTOR = 1.25
SPILL_REQUESTS = 4.0
# The share of failed requests is a moving average over about ten of them, and loses half of its
# weight in this time, so that an upstream that gets no request is tried again.
FAILURE_EWMA_WEIGHT = 0.1
FAILURE_HALF_LIFE_MS = 4_000.0
# An upstream that fails this much more often than its peers is avoided while they have room.
FAILURE_MARGIN = 0.2


# A prompt of more tokens takes an engine more than four steps with a full chunk, which is longer
# than any pause that a tight stream bears.
LONG_PROMPT_TOKENS = 4_096
# Reading again a prefix that is shorter than a chunk costs less than an uneven load.
MIN_PREFIX_TOKENS = 1_024
# Share of the shared parts that is read again, since they were evicted or moved.
CACHE_MISS_SHARE = 0.15
# Reading one token takes this much longer for each token before it, which is attention.
ATTENTION_WORK_PER_TOKEN = 2.4e-5
# One output token takes about as much of an engine's time as reading this many: a step of 5 ms
# shared by some 40 running requests, at 41 tokens a ms.
OUTPUT_TOKEN_WORK = 3.0
# A long prompt waits for whole long prompts before it, so that at the same share of busy time its
# delay is longer than that of a short one. Engines for long prompts are kept a little less busy.
LONG_PROMPT_WEIGHT = 1.15
# Engines for short prompts, which are the more urgent ones, are not filled beyond this share of
# their slots while engines for long prompts could help out.
SHORT_MAX_UTILISATION = 0.8
# Of so many engines for short prompts, some take tight streams alone. These run for long, so the
# slots of their engines are filled nearly whole before more engines take them.
MIN_SHORT_ENGINES = 2
TIGHT_MAX_UTILISATION = 0.9
# Engines of its own kind that a request asks for admission, one after the other.
CANDIDATES_PER_PARTITION = 2
# Fewer engines than this are not partitioned.
MIN_ENGINES_TO_PARTITION = 3
# The division follows the work of about this time, and moves by one engine only once the share of
# the work is clearly that of another number.
WORK_TIME_CONSTANT_MS = 1_500.0
PARTITION_HYSTERESIS = 0.65


@frozen
class Demand:
    """What placement needs to know about a request.

    ``prefix`` identifies the shared prefix of the prompt, or is empty. ``partitioned`` tells
    whether the engines of the service are partitioned by kind of request, and ``long`` whether the
    request has a long prompt. ``tight`` tells whether its stream allows only short gaps between
    events. ``work`` is the engine time of the request in units of one prompt token of prefill,
    ``uncached_work`` the same on an engine that holds no prefix of it. ``memory`` is in tokens,
    without the shared prefix.
    """

    prefix: str = ""
    partitioned: bool = False
    long: bool = False
    work: float = 0.0
    tight: bool = False
    uncached_work: float = 0.0
    memory: float = 0.0


def demand_of(
    prefix: str, shared_tokens: int, prompt_tokens: int, output_tokens: int, tight: bool | None
) -> Demand:
    """Return the demand of a request for an engine.

    ``tight`` tells whether the stream bears only short pauses, or is None if the service has no
    such streams.
    """
    prefix_id = prefix if shared_tokens >= MIN_PREFIX_TOKENS else ""

    def work(unread: float) -> float:
        context = prompt_tokens - unread / 2
        return (
            unread * (1.0 + ATTENTION_WORK_PER_TOKEN * context) + OUTPUT_TOKEN_WORK * output_tokens
        )

    return Demand(
        prefix=prefix_id,
        partitioned=tight is not None,
        long=not tight and prompt_tokens > LONG_PROMPT_TOKENS,
        work=work(prompt_tokens - (1.0 - CACHE_MISS_SHARE) * shared_tokens),
        tight=bool(tight),
        uncached_work=work(prompt_tokens),
        memory=float(prompt_tokens - shared_tokens + output_tokens),
    )


@define
class _Health:
    """What this node knows of one instance."""

    in_flight: int = 0
    consecutive_failures: int = 0
    backoff_until_ms: float = 0.0
    failure_share: float = 0.0
    failure_updated_ms: float = 0.0
    reported_requests: int = 0  # Running and waiting requests by the last report.
    in_flight_at_report: int = 0
    reported_ms: float = float("-inf")
    peer_requests: int = 0  # Requests of all other entry nodes when they last told.
    refused: bool = False  # It said that it takes no more work.

    def failure_share_at(self, now_ms: float) -> float:
        """Return the share of failed requests, which fades with time."""
        age_ms = max(0.0, now_ms - self.failure_updated_ms)
        return self.failure_share * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)

    def record(self, failed: bool, now_ms: float) -> None:
        """Take the outcome of one request into the share of failed ones."""
        share = self.failure_share_at(now_ms)
        self.failure_share = share + (float(failed) - share) * FAILURE_EWMA_WEIGHT
        self.failure_updated_ms = now_ms


@define
class _RecentWork:
    """Work that came of late for short and long prompts of one service, here and elsewhere."""

    short: float = 0.0
    long: float = 0.0
    tight: float = 0.0
    updated_ms: float = 0.0
    peers: ServiceWork = field(factory=lambda: ServiceWork("", 0.0, 0.0))
    long_count: int = 0  # Engines for long prompts.
    tight_count: int = 0  # Engines for tight streams alone.

    def decay(self, now_ms: float) -> None:
        """Let older work weigh less."""
        weight = math.exp(-max(0.0, now_ms - self.updated_ms) / WORK_TIME_CONSTANT_MS)
        self.short *= weight
        self.long *= weight
        self.tight *= weight
        self.updated_ms = now_ms

    def long_engines(self, engines: int, least_short: int) -> int:
        """Return how many engines take long prompts; ``least_short`` are needed by others."""
        long = LONG_PROMPT_WEIGHT * (self.long + self.peers.long)
        total = long + self.short + self.peers.short
        wanted = engines * long / total if total else 0.0
        if (
            abs(wanted - self.long_count) > PARTITION_HYSTERESIS
            or not 0 < self.long_count < engines
        ):
            self.long_count = round(wanted)
        self.long_count = min(max(self.long_count, 1), engines - 1)
        return max(1, min(self.long_count, engines - least_short))

    def tight_engines(self, engines: int, least: int) -> int:
        """Return how many engines for short prompts take tight streams alone."""
        short = self.short + self.peers.short
        share = (self.tight + self.peers.tight) / short if short else 0.0
        return max(1, min(max(round(engines * share), least), engines - 1))


@define
class Placement:
    """Choose an instance for each request; holds what this node saw of every instance.

    ``listed`` tells whether the list of instances has been received.
    """

    data_centre: str
    rng: random.Random
    entries: int = 1
    listed: bool = False
    _services: dict[str, tuple[UpstreamInstance, ...]] = field(factory=dict)
    _health: dict[str, _Health] = field(factory=dict)
    _recent_work: dict[str, _RecentWork] = field(factory=dict)

    def set_instances(self, instances: Iterable[UpstreamInstance]) -> None:
        """Take over the list of instances; forget those that are not listed any more."""
        self.listed = True
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
        if demand.partitioned:
            usable = self._partitions(service, usable, demand, now_ms)[0]
        return self._best(usable, demand, now_ms)

    def candidates(
        self, service: str, demand: Demand, excluded: Collection[str], now_ms: float
    ) -> list[UpstreamInstance]:
        """Return the engines that a request may ask for admission, the best first."""
        usable = self._usable(service, excluded, now_ms)
        if not usable:
            return []
        side, *others = (
            self._partitions(service, usable, demand, now_ms) if demand.partitioned else [usable]
        )
        first = self._best(side, demand, now_ms)
        rest = sorted(
            (item for item in side if item is not first),
            key=lambda item: self._rank(item, now_ms),
        )
        chosen = [first, *rest[: CANDIDATES_PER_PARTITION - 1]]
        if others:
            # What is more urgent than long prompts must not fail while those are served.
            chosen.append(min(others[0], key=lambda item: self._rank(item, now_ms)))
        return chosen

    def _best(
        self, engines: list[UpstreamInstance], demand: Demand, now_ms: float
    ) -> UpstreamInstance:
        """Return the instance that has the prefix of a prompt, or the least busy one."""
        if demand.prefix:
            return self._by_prefix(engines, demand.prefix, now_ms)
        return min(engines, key=lambda item: self._rank(item, now_ms))

    def _rank(self, item: UpstreamInstance, now_ms: float) -> tuple[float, bool, float]:
        """Return what orders instances by load, then by distance, then at random."""
        far = item.data_centre != self.data_centre
        return (self._slot_load(item, now_ms), far, self.rng.random())

    def _usable(
        self, service: str, excluded: Collection[str], now_ms: float
    ) -> list[UpstreamInstance]:
        """Return the instances that may get a request; blocked ones only if there are no others."""
        listed = [
            item
            for item in self._services.get(service, ())
            if not item.leaving
            and not self._health_of(item).refused
            and item.instance not in excluded
        ]
        sound = [item for item in listed if self._health_of(item).backoff_until_ms <= now_ms]
        if not sound:
            return sorted(listed, key=lambda item: self._health_of(item).backoff_until_ms)[:1]
        shares = {item.instance: self._health_of(item).failure_share_at(now_ms) for item in sound}
        worst = min(shares.values()) + FAILURE_MARGIN
        return [item for item in sound if shares[item.instance] <= worst]

    def _partitions(
        self, service: str, usable: list[UpstreamInstance], demand: Demand, now_ms: float
    ) -> list[list[UpstreamInstance]]:
        """Return the engines for a request, and those that it may use instead, the best first.

        Long prompts have no others. Tight streams are on time more often beside short prompts than
        beside long ones.
        """
        work = self._recent_work.get(service)
        if (
            work is None
            or len(usable) < MIN_ENGINES_TO_PARTITION
            or not work.long + work.peers.long
        ):
            return [usable]
        order = sorted(usable, key=lambda item: weight("long prompts", item.instance))
        count = work.long_engines(
            len(usable),
            self._engines_needed(order[work.long_count :], SHORT_MAX_UTILISATION, now_ms),
        )
        long, short = order[:count], order[count:]
        if demand.long:
            return [long]
        if len(short) < MIN_SHORT_ENGINES:
            return [short, long]
        # The engines at the end change sides last, so that tight streams stay where they are.
        last = short[-work.tight_count :] if work.tight_count else []
        least = self._engines_needed(last, TIGHT_MAX_UTILISATION, now_ms)
        work.tight_count = work.tight_engines(len(short), least)
        tight, other = short[-work.tight_count :], short[: -work.tight_count]
        return [tight, other, long] if demand.tight else [other, long]

    def _engines_needed(self, engines: list[UpstreamInstance], fill: float, now_ms: float) -> int:
        """Return how many engines the requests in flight on some would fill to a share."""
        slots = sum(item.slots for item in engines)
        if not slots:
            return 0
        load = sum(self.load(item.instance, now_ms) for item in engines)
        return math.ceil(load * len(engines) / (slots * fill))

    def record_arrival(self, service: str, demand: Demand, now_ms: float) -> None:
        """Count the work of a request that came for an engine."""
        if not demand.partitioned:
            return
        work = self._recent_work.setdefault(service, _RecentWork(updated_ms=now_ms))
        work.decay(now_ms)
        if demand.long:
            work.long += demand.work
        else:
            work.short += demand.work
            work.tight += demand.work if demand.tight else 0.0

    def set_peer_workload(self, workload: Workload) -> None:
        """Take over the load that all other entry nodes put on upstreams."""
        loads = {load.instance: load.requests for load in workload.loads}
        for item in itertools.chain.from_iterable(self._services.values()):
            self._health_of(item).peer_requests = loads.get(item.instance, 0)
        for service_work in workload.works:
            work = self._recent_work.setdefault(service_work.service, _RecentWork())
            work.peers = service_work

    def workload(self, now_ms: float) -> Workload:
        """Return the load that this node puts on upstreams."""
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
        )

    def _by_prefix(
        self, usable: list[UpstreamInstance], prefix: str, now_ms: float
    ) -> UpstreamInstance:
        """Return the first instance in the order of the prefix that is not clearly the busiest."""
        order = sorted(usable, key=lambda item: weight(prefix, item.instance), reverse=True)
        loads = {item.instance: self.load(item.instance, now_ms) for item in usable}
        mean = sum(loads.values()) / len(loads)
        bound = mean * SPILL_FACTOR + SPILL_REQUESTS
        return next((item for item in order if loads[item.instance] <= bound), order[0])

    def _slot_load(self, item: UpstreamInstance, now_ms: float) -> float:
        """Return the load by slot, in steps, so that a near instance is preferred to a far one."""
        return round(2.0 * self.load(item.instance, now_ms) / max(1, item.slots))

    def load(self, instance: str, now_ms: float) -> float:
        """Return the estimated number of running and waiting requests of an instance."""
        health = self._health.get(instance)
        if health is None:
            return 0.0
        known = health.in_flight + health.peer_requests
        if now_ms - health.reported_ms > REPORT_VALID_MS:
            return float(known)
        since = health.in_flight - health.in_flight_at_report
        return float(max(known, health.reported_requests + since))

    def _health_of(self, item: UpstreamInstance) -> _Health:
        return self._health.setdefault(item.instance, _Health())

    # What became of requests.

    def record_start(self, item: UpstreamInstance) -> None:
        """Note that a request was sent to an instance."""
        self._health_of(item).in_flight += 1

    def record_end(self, item: UpstreamInstance) -> None:
        """Note that a request has left an instance."""
        self._health_of(item).in_flight -= 1

    def record_success(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note an answer."""
        health = self._health_of(item)
        health.consecutive_failures = 0
        health.backoff_until_ms = 0.0
        health.record(failed=False, now_ms=now_ms)

    def record_failure(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note a failure that says something of the instance: no connection, no sound answer."""
        health = self._health_of(item)
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**health.consecutive_failures)
        health.consecutive_failures += 1
        health.backoff_until_ms = now_ms + backoff_ms
        health.record(failed=True, now_ms=now_ms)

    def record_error_answer(self, item: UpstreamInstance, now_ms: float) -> None:
        """Note an error answer; one alone says little, a higher share than that of peers does."""
        health = self._health_of(item)
        health.consecutive_failures = 0
        health.record(failed=True, now_ms=now_ms)

    def mark_replaced(self, item: UpstreamInstance) -> None:
        """Note that another instance answers at the address."""
        self._health_of(item).refused = True

    def set_reported_load(self, item: UpstreamInstance, requests: int, now_ms: float) -> None:
        """Take over the number of running and waiting requests that an instance reported."""
        health = self._health_of(item)
        health.reported_requests = requests
        health.reported_ms = now_ms
        health.in_flight_at_report = health.in_flight
