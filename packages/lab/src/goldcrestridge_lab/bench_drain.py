"""Measurement of drains under load on complete nodes."""

from __future__ import annotations

from random import Random
from typing import Any

from goldcrestridge_core.call_types import RespondEnd, RespondFailure
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.types import NodeId, Reason
from goldcrestridge_lab import measure
from goldcrestridge_lab.node_config import CLASSES, WORKSPACES, completion_call
from goldcrestridge_lab.node_fleet import ADDRESS_TTL_MS, Fleet, new_fleet
from goldcrestridge_lab.node_machine import check_settled

DRAINS = 20
LONG_DRAINS = 100
ARRIVALS_PER_S = 4.0
# A drained node serves callers with an old answer for the announcement and the answer's lifetime.
DRAIN_MS = ADDRESS_TTL_MS + 10_000.0
BACK_MS = 5_000.0


def _load(fleet: Fleet, rng: Random, duration_ms: float) -> None:
    """Run the fleet with callers at every node that serves, also at a draining one."""
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        fleet.run(rng.expovariate(ARRIVALS_PER_S) * MS_PER_SECOND)
        entry = rng.choice(list(fleet.hosts))
        tier = rng.randrange(len(CLASSES))
        fleet.request(entry, completion_call(tier, rng.choice(WORKSPACES)))


def _drain_all(seed: int, drains: int) -> dict[str, float]:
    """Drain one node after the other and start it again; count what became of the requests."""
    rng = Random(f"drain {seed}")
    fleet = new_fleet(Random(seed), 2)
    in_flight = 0
    left = 0
    for number in range(drains):
        _load(fleet, rng, BACK_MS)
        name: NodeId = list(fleet.hosts)[number % len(fleet.hosts)]
        host = fleet.hosts[name]
        in_flight += host.core.drain.in_flight if host.core is not None else 0
        fleet.drain(name)
        _load(fleet, rng, DRAIN_MS)
        if host.core is None:
            left += 1
            fleet.start(name)
    check_settled(fleet)
    finals = [
        caller.final_responses[0]
        for caller in fleet.oracle.callers.values()
        if caller.final_responses
    ]
    refused = [f for f in finals if isinstance(f, RespondFailure) and f.reason is Reason.DRAINING]
    return {
        "cut_requests": float(sum(caller.disconnected for caller in fleet.oracle.callers.values())),
        "failed_requests": float(sum(isinstance(f, RespondFailure) for f in finals) - len(refused)),
        "refused_as_draining_requests": float(len(refused)),
        "completed_requests": float(sum(isinstance(f, RespondEnd) for f in finals)),
        "in_flight_at_drain_requests": float(in_flight),
        "nodes_left": float(left),
    }


def run(seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the record drain.cut; the oracle of the fleet raises if a drain cut a request."""
    drains = LONG_DRAINS if long else DRAINS
    params = {"drains": drains, "arrivals_per_s": ARRIVALS_PER_S}
    target = {"cut_requests": 0, "nodes_left": drains}
    try:
        figures: dict[str, Any] = dict(_drain_all(seed, drains))
    except InvariantError as exc:
        figures = {"broken_promise": str(exc)}
    met = figures.get("cut_requests") == 0 and figures.get("nodes_left") == drains
    return [measure.record("drain.cut", seed, params, figures, {}, target, met)]
