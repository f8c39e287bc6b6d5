"""Sums of what all entry nodes report to the control leader.

A fleet polls the leader about a hundred times a second, so the work for a poll may not grow with
the number of entry nodes times what each of them reports.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from attrs import define, evolve, field

from goldcrestridge_core.follow_types import (
    InstanceLoad,
    LeavingNotice,
    RestNotice,
    ServiceWork,
    Workload,
)
from goldcrestridge_core.prompt_crashes import PromptCrashes
from goldcrestridge_core.rate_limits import RateLimits
from goldcrestridge_core.types import NodeId
from goldcrestridge_core.upstream_notices import merge_notices

# Adds little to the polling interval after which the other nodes learn of a notice.
NOTICES_INTERVAL_MS = 100.0


@define
class WorkloadSums:
    """The last report of each entry node, with running sums; times are monotonic milliseconds.

    ``crashes`` holds the evidence of all nodes on prompts that crash upstreams.
    """

    crashes: PromptCrashes = field(factory=PromptCrashes)
    _reports: dict[NodeId, tuple[Workload, float]] = field(factory=dict)
    _loads: dict[str, int] = field(factory=dict)
    _works: dict[str, ServiceWork] = field(factory=dict)
    _limits: RateLimits = field(factory=RateLimits)
    _notices: tuple[tuple[LeavingNotice, ...], tuple[RestNotice, ...]] = ((), ())
    _notices_ms: float = -math.inf  # When they were merged.

    def report(self, node: NodeId, workload: Workload, now_ms: float) -> None:
        """Replace the report of a node by one that arrived now."""
        self.remove(node)
        self._reports[node] = workload, now_ms
        self._add(workload, 1)
        for limit in workload.limits:
            self._limits.merge(limit, now_ms)
        self.crashes.merge_report(workload, now_ms)

    def remove(self, node: NodeId) -> None:
        """Drop the report of a node; a limit that it observed stays until it is replaced."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._add(report[0], -1)

    def retain_limits(self, instances: Collection[str]) -> None:
        """Forget the limits of instances that are not among ``instances``."""
        self._limits.retain(instances)

    def forget_shared(self) -> None:
        """Forget all limits and crashes; the entry nodes report what is in force again."""
        self._limits = RateLimits()
        self.crashes = PromptCrashes()

    def of_others(self, node: NodeId, now_ms: float) -> Workload:
        """Return the load and work of all other nodes, and what all nodes know of upstreams."""
        own = self._reports[node][0] if node in self._reports else Workload()
        own_loads = {load.instance: load.requests for load in own.loads}
        own_works = {work.service: work for work in own.works}
        loads = (
            InstanceLoad(name, count - own_loads.get(name, 0))
            for name, count in sorted(self._loads.items())
        )
        works = (
            _sum(work, own_works[name], -1) if name in own_works else work
            for name, work in sorted(self._works.items())
        )
        others = Workload(
            tuple(load for load in loads if load.requests),
            tuple(works),
            self._limits.shared(now_ms),
            *self._merged_notices(now_ms),
        )
        return self.crashes.add_reply(others, now_ms)

    def _add(self, workload: Workload, sign: int) -> None:
        for load in workload.loads:
            count = self._loads.get(load.instance, 0) + sign * load.requests
            if count:
                self._loads[load.instance] = count
            else:
                self._loads.pop(load.instance, None)
        for work in workload.works:
            known = self._works.get(work.service, ServiceWork(work.service, 0.0, 0.0))
            self._works[work.service] = _sum(known, work, sign)

    def _merged_notices(
        self, now_ms: float
    ) -> tuple[tuple[LeavingNotice, ...], tuple[RestNotice, ...]]:
        """Return the notices of all entry nodes, merged at most once in NOTICES_INTERVAL_MS."""
        if now_ms - self._notices_ms >= NOTICES_INTERVAL_MS:
            self._notices_ms = now_ms
            self._notices = merge_notices(
                (workload, now_ms - reported_ms) for workload, reported_ms in self._reports.values()
            )
        return self._notices


def _sum(first: ServiceWork, second: ServiceWork, sign: int) -> ServiceWork:
    return evolve(
        first,
        short=first.short + sign * second.short,
        long=first.long + sign * second.long,
        tight=first.tight + sign * second.tight,
    )
