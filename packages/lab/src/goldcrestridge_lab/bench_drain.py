"""Measure drains of complete nodes under load."""

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
# A draining node still serves callers that use an earlier address answer, while the drain is
# announced and for the lifetime of the answer after that.
DRAIN_MS = ADDRESS_TTL_MS + 10_000.0
BETWEEN_DRAINS_MS = 5_000.0


def _run_load(fleet: Fleet, rng: Random, duration_ms: float) -> None:
    """Run the fleet with arrivals at random nodes, draining ones included."""
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        fleet.run(rng.expovariate(ARRIVALS_PER_S) * MS_PER_SECOND)
        entry = rng.choice(list(fleet.hosts))
        tier = rng.randrange(len(CLASSES))
        fleet.request(entry, completion_call(tier, rng.choice(WORKSPACES)))


def _drain_all(seed: int, drains: int) -> dict[str, float]:
    """Drain and restart the nodes in turn and return the counts of request outcomes."""
    rng = Random(f"drain {seed}")
    fleet = new_fleet(Random(seed), 2)
    in_flight = 0
    nodes_left = 0
    for number in range(drains):
        _run_load(fleet, rng, BETWEEN_DRAINS_MS)
        name: NodeId = list(fleet.hosts)[number % len(fleet.hosts)]
        host = fleet.hosts[name]
        in_flight += host.core.drain.in_flight if host.core is not None else 0
        fleet.drain(name)
        _run_load(fleet, rng, DRAIN_MS)
        if host.core is None:
            nodes_left += 1
            fleet.start(name)
    check_settled(fleet)
    finals = [
        caller.final_responses[0]
        for caller in fleet.oracle.callers.values()
        if caller.final_responses
    ]
    refused = [
        final
        for final in finals
        if isinstance(final, RespondFailure) and final.reason is Reason.DRAINING
    ]
    return {
        "cut_requests": float(sum(caller.disconnected for caller in fleet.oracle.callers.values())),
        "failed_requests": float(
            sum(isinstance(final, RespondFailure) for final in finals) - len(refused)
        ),
        "refused_as_draining_requests": float(len(refused)),
        "completed_requests": float(sum(isinstance(final, RespondEnd) for final in finals)),
        "in_flight_at_drain_requests": float(in_flight),
        "nodes_left": float(nodes_left),
    }


def run(seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the record drain.cut; its figure is the error text if the oracle raises."""
    drains = LONG_DRAINS if long else DRAINS
    params = {"drains": drains, "arrivals_per_s": ARRIVALS_PER_S}
    target = {"cut_requests": 0, "nodes_left": drains}
    try:
        figures: dict[str, Any] = dict(_drain_all(seed, drains))
    except InvariantError as exc:
        figures = {"broken_promise": str(exc)}
    met = figures.get("cut_requests") == 0 and figures.get("nodes_left") == drains
    return [measure.record("drain.cut", seed, params, figures, {}, target, met)]
