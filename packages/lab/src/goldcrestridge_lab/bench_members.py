"""Measure the cost of control traffic and the time until a configuration is in force."""

from __future__ import annotations

import functools
import itertools
import random
import statistics
import time
from collections.abc import Callable
from typing import Any

from goldcrestridge_core.member_types import ConfigCommitted, ConfigConfirmed
from goldcrestridge_core.spread import ConfigDistributor
from goldcrestridge_core.types import NodeId
from goldcrestridge_lab.carrier_members import SimulatedNetwork, node_id, start_distributor

SIZES = (12, 24, 48, 96, 192)
DESIGN_NODES = 340
RESTARTS_PER_DAY = 440
CHANGES_PER_DAY = 12_000
MS_PER_DAY = 86_400_000.0
REPLICAS = 3
WORKSPACES = 1_500
HEADER_BYTES = 52  # IPv4 and TCP headers with the timestamp option, per message.
DOWN_MS = 20_000.0  # Exceeds the suspicion time-out, so that the death is disseminated too.
CONFIRM_INTERVAL_MS = 500.0  # Interval at which a replica confirms its version with the leader.
MAX_PROCESSOR_SHARE = 0.017
MAX_BYTES_PER_S = 8_192
MAX_SPREAD_MS = 4_000.0
Record = dict[str, Any]
# Name, share of lost messages, and whether the replica that commits first is stopped.
CASES = (("plain", 0.0, False), ("loss", 0.1, False), ("replica_stopped", 0.1, True))


def run(seed: int, long: bool) -> list[Record]:
    """Return the records control.cost and config.spread; ``long`` measures ten times as long."""
    costs = [_cost_record(seed, nodes, 600_000.0 if long else 60_000.0) for nodes in SIZES]
    spreads = [_spread_record(seed, name, loss, stop, 200) for name, loss, stop in CASES]
    traffic = _config_traffic(seed, 12, 1_200_000.0 if long else 120_000.0)
    return [*costs, _fit_record(seed, costs), *spreads, traffic]


def document(version: int) -> dict[str, Any]:
    """Return a document with WORKSPACES workspaces, of which each version changes one."""
    workspaces = {
        f"workspace-{n:04d}": {
            "class": "interactive",
            "keys_sha256": [f"{n:064x}"],
            "sites": [f"site-{n % 97}"],
            "models": ["catalogue-large", "assistant-small"],
            "limit": {"max_concurrent": 64, "tokens_per_second": 20_000.0},
            "share": 1.0 + (version - n + WORKSPACES - 1) // WORKSPACES,
        }
        for n in range(WORKSPACES)
    }
    return {"name": "measured", "version": version, "workspaces": workspaces}


def _start_network(
    rng: random.Random, nodes: int, initial_document: dict[str, Any]
) -> SimulatedNetwork:
    """Return a network whose nodes have had time to put version 1 in force."""
    network = SimulatedNetwork(rng, delay_ms=(0.5, 20.0))
    for number in range(nodes):
        start_distributor(network, number, 1, REPLICAS)
    _commit(network, 1, initial_document)
    network.run(100.0)
    _call_periodically(network, CONFIRM_INTERVAL_MS, lambda: _confirm(network))
    network.run(20_000.0)
    return network


def _call_periodically(
    network: SimulatedNetwork, period_ms: float, call: Callable[[], None]
) -> None:
    """Call a function every ``period_ms``, first after one period."""

    def call_and_reschedule() -> None:
        call()
        network.call_at(network.now_ms + period_ms, call_and_reschedule)

    network.call_at(network.now_ms + period_ms, call_and_reschedule)


def _confirm(network: SimulatedNetwork) -> None:
    """Confirm to the running replicas that their version is current."""
    for number in range(REPLICAS):
        host = network.hosts.get(node_id(number))
        if host is not None:
            spread: ConfigDistributor = host.roles[1]
            network.inject(host.node, ConfigConfirmed(spread.hint().version or 1, 0.0))


def _commit(network: SimulatedNetwork, version: int, new_document: dict[str, Any]) -> None:
    """Commit a version on the replicas, on each 10 ms after the one before."""

    def apply(node: NodeId) -> None:
        if node in network.hosts:
            network.inject(node, ConfigCommitted(version, new_document))

    for number in range(REPLICAS):
        at_ms = network.now_ms + 10.0 * number
        network.call_at(at_ms, functools.partial(apply, node_id(number)))


def _commit_periodically(network: SimulatedNetwork) -> None:
    """Commit changes of the large document from now on, at the design rate."""
    versions = itertools.count(2)

    def change() -> None:
        version = next(versions)
        _commit(network, version, document(version))

    _call_periodically(network, MS_PER_DAY / CHANGES_PER_DAY, change)


def _sent_totals(network: SimulatedNetwork) -> tuple[int, int]:
    """Return the payload bytes and the messages that all nodes have sent so far."""
    return sum(network.sent_bytes.values()), sum(network.sent.values())


def _measure_phase(network: SimulatedNetwork, duration_ms: float) -> tuple[float, int, float]:
    """Run for a time; return bytes with headers, messages and processor time in seconds."""
    bytes_before, messages_before = _sent_totals(network)
    start_s = time.process_time()
    network.run(duration_ms)
    busy_s = time.process_time() - start_s
    bytes_after, messages_after = _sent_totals(network)
    messages = messages_after - messages_before
    return bytes_after - bytes_before + messages * HEADER_BYTES, messages, busy_s


def _cost_record(seed: int, nodes: int, duration_ms: float) -> Record:
    """Measure traffic and processor time under changes, first without and then with restarts.

    The additional cost of the restarts is scaled to the design rate of restarts per node. The
    processor time covers the roles, the codec and the network, but no sockets.
    """
    rng = random.Random(f"{seed}/{nodes}")
    network = _start_network(rng, nodes, document(1))
    network.loss = 0.001
    _commit_periodically(network)
    quiet_bytes, messages, quiet_s = _measure_phase(network, duration_ms)
    restarts = max(1, round((duration_ms - DOWN_MS) / 20_000.0))
    for number in range(restarts):
        at_ms = network.now_ms + (duration_ms - 2 * DOWN_MS) * number / restarts
        node_number = REPLICAS + (number * 7 + seed) % (nodes - REPLICAS)
        network.call_at(at_ms, functools.partial(network.remove, node_id(node_number)))
        restart = functools.partial(_restart, network, node_number, number + 2)
        network.call_at(at_ms + DOWN_MS, restart)
    busy_bytes, _, busy_s = _measure_phase(network, duration_ms)
    node_seconds = duration_ms / 1_000.0 * nodes
    restarts_per_node_s = RESTARTS_PER_DAY / DESIGN_NODES / (MS_PER_DAY / 1_000.0)
    restart_bytes = (busy_bytes - quiet_bytes) / restarts
    restart_s = max(0.0, busy_s - quiet_s) / restarts
    figures = {
        "bytes_per_s": round(quiet_bytes / node_seconds + restart_bytes * restarts_per_node_s, 1),
        "quiet_bytes_per_s": round(quiet_bytes / node_seconds, 1),
        "restart_bytes": round(restart_bytes),
        "messages_per_s": round(messages / node_seconds, 2),
        "processor_share": round(quiet_s / node_seconds + restart_s * restarts_per_node_s, 5),
    }
    params = {"nodes": nodes, "duration_ms": duration_ms, "restarts": restarts}
    return _record("control.cost", seed, params, figures, _cost_target())


def _restart(network: SimulatedNetwork, number: int, incarnation: int) -> None:
    """Start a node again, with a new incarnation."""
    start_distributor(network, number, incarnation, REPLICAS)


def _cost_target() -> dict[str, float]:
    """Return the cost limits of a node at the design size."""
    return {"bytes_per_s": MAX_BYTES_PER_S, "processor_share": MAX_PROCESSOR_SHARE}


def _fit_record(seed: int, costs: list[Record]) -> Record:
    """Fit cost = a + b * nodes to the measured sizes and extrapolate to the design size."""
    sizes = [record["params"]["nodes"] for record in costs]
    figures: dict[str, float] = {}
    for key in ("bytes_per_s", "processor_share"):
        line = statistics.linear_regression(sizes, [r["figures"][key] for r in costs])
        figures[key] = round(line.intercept + line.slope * DESIGN_NODES, 5)
        figures[f"fixed_{key}"] = round(line.intercept, 5)
        figures[f"per_node_{key}"] = round(line.slope, 7)
    params = {"nodes": DESIGN_NODES, "fit": "linear"}
    return _record("control.cost.fit", seed, params, figures, _cost_target())


def _spread_record(seed: int, name: str, loss: float, stop: bool, changes: int) -> Record:
    """Measure the time from the commit until every running node has the version in force."""
    times = [_spread_time_ms(f"{seed}/{n}", loss, stop) for n in range(changes)]
    figures = {
        "minimum_ms": round(min(times), 1),
        "median_ms": round(statistics.median(times), 1),
        "maximum_ms": round(max(times), 1),
    }
    params = {"nodes": 12, "loss_share": loss, "replica_stopped": stop, "changes": changes}
    return _record(f"config.spread.{name}", seed, params, figures, {"maximum_ms": MAX_SPREAD_MS})


def _spread_time_ms(seed: str, loss: float, stop: bool) -> float:
    """Return the time until one change is in force on every running node, at most 60 s.

    With ``stop``, the replica that commits first is removed 5 to 30 ms after the commit.
    """
    network = _start_network(random.Random(seed), 12, {"version": 1, "share": 1.0})
    network.run(network.rng.uniform(0.0, 1_000.0))
    network.loss = loss
    new_document = {"version": 2, "share": 2.0}
    start_ms = network.now_ms
    network.inject(node_id(0), ConfigCommitted(2, new_document))
    if stop:
        network.run(network.rng.uniform(5.0, 30.0))
        network.remove(node_id(0))
        # The next leader commits the version after its election.
        apply_on_next_leader = functools.partial(
            network.inject, node_id(1), ConfigCommitted(2, new_document)
        )
        network.call_at(start_ms + 1_500.0, apply_on_next_leader)
    spreads: list[ConfigDistributor] = [host.roles[1] for host in network.hosts.values()]
    network.run(60_000.0, lambda: all(spread.hint().version == 2 for spread in spreads))
    return network.now_ms - start_ms


def _config_traffic(seed: int, nodes: int, duration_ms: float) -> Record:
    """Measure the additional traffic of a node under changes at the design rate."""
    rates: list[float] = []
    for changing in (False, True):
        network = _start_network(random.Random(seed), nodes, document(1))
        if changing:
            _commit_periodically(network)
        bytes_before, messages_before = _sent_totals(network)
        network.run(duration_ms)
        bytes_after, messages_after = _sent_totals(network)
        total = bytes_after - bytes_before + HEADER_BYTES * (messages_after - messages_before)
        rates.append(total / nodes / (duration_ms / 1_000.0))
    figures = {
        "added_bytes_per_s": round(rates[1] - rates[0], 1),
        "bytes_per_s": round(rates[1], 1),
    }
    params = {"nodes": nodes, "changes_per_day": CHANGES_PER_DAY, "workspaces": WORKSPACES}
    target = {"bytes_per_s": float(MAX_BYTES_PER_S)}
    return _record("config.spread.traffic", seed, params, figures, target)


def _record(
    name: str,
    seed: int,
    params: dict[str, Any],
    figures: dict[str, Any],
    target: dict[str, float],
) -> Record:
    """Return one measurement record; it is met if no figure exceeds its target."""
    return {
        "name": name,
        "seed": seed,
        "params": params,
        "figures": figures,
        "baseline": None,
        "target": target,
        "met": all(figures[key] <= bound for key, bound in target.items()),
    }
