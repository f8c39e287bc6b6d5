"""Tests of the bound on retries that all entry nodes keep together."""

from __future__ import annotations

import itertools

import pytest
from tests.core.budget_fleet import EXTRA, SHARE, WINDOW_MS, BudgetFleet, excess

from goldcrestridge_core.types import NodeId
from goldcrestridge_core.window_budget import WindowBudget

# Long enough that every node has its part of the fixed amount.
SETTLED_MS = 30_000.0


def settled_fleet(seed: int, size: int = 11) -> BudgetFleet:
    """Return a fleet that has used its budget for a while; its start is not counted."""
    fleet = BudgetFleet(seed, size)
    fleet.run(SETTLED_MS - WINDOW_MS)
    fleet.retries.clear()
    fleet.run(WINDOW_MS)
    return fleet


def test_the_windows_of_all_entry_nodes_add_up_wherever_a_burst_lies() -> None:
    # Guards against entry nodes that each compare their retries with the requests of a window that
    # ends at another time, so that together they allow more than any single window does.
    step_ms = WINDOW_MS / 4.0
    extra = 4.0
    for spend_steps in itertools.product(range(2, 13), repeat=2):
        for length, shift in itertools.product((1, 2, 4), (0, 2)):
            budgets = [WindowBudget(SHARE, extra, WINDOW_MS, lambda _now_ms: 0.5) for _ in range(2)]
            requests: list[float] = []
            retries: list[float] = []
            for number in range(int(13 * step_ms / 100.0)):
                now_ms = number * 100.0 + 1.0
                for node, budget in enumerate(budgets):
                    if shift * node <= (now_ms // step_ms) - 1 < length + shift * node:
                        budget.record_request("s", now_ms)
                        requests.append(now_ms)
                    if now_ms // step_ms == spend_steps[node] - 1 and now_ms % step_ms > 2_400.0:
                        while budget.spend("s", now_ms):
                            budget.settle("s", True, now_ms)
                            retries.append(now_ms)
            found = excess(requests, retries, SHARE, extra, WINDOW_MS)
            assert found <= 1e-9, (spend_steps, length, shift)


def test_a_retry_that_waits_for_its_upstream_counts_in_the_window_in_which_it_arrives() -> None:
    # Guards against a retry that is counted when it is decided and arrives in a later window.
    budget = WindowBudget(SHARE, 4.0, WINDOW_MS)
    assert all(budget.spend("s", 0.0) for _ in range(4))
    budget.settle("s", True, 9_000.0)
    assert not budget.spend("s", 11_000.0)
    for _ in range(3):
        budget.settle("s", True, 12_000.0)
    assert budget.spend("s", 9_000.0 + WINDOW_MS + 200.0)
    assert not budget.spend("s", 9_000.0 + WINDOW_MS + 200.0)


def test_a_retry_that_was_not_sent_costs_nothing() -> None:
    # Guards against retries that are owed and denied, since others found no connection.
    budget = WindowBudget(SHARE, 1.0, WINDOW_MS)
    for _ in range(10):
        assert budget.spend("s", 0.0)
        budget.settle("s", False, 10.0)
    assert budget.spend("s", 10.0)


def test_two_entry_nodes_that_are_cut_off_do_not_keep_parts_that_others_use() -> None:
    # Guards against a node that is cut off and spends its part, while those that remain divide
    # the fixed amount among fewer nodes.
    fleet = settled_fleet(1)
    for number in range(4):
        fleet.cut_off(NodeId(f"e{number}"), 20_000.0)
    fleet.run(40_000.0)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("down_ms", [300.0, 2_000.0, 6_000.0])
def test_a_restarted_entry_node_does_not_spend_its_part_again(down_ms: float) -> None:
    # Guards against a restarted process with an empty window, although the service has received
    # what the former process sent.
    fleet = settled_fleet(2)
    for number in range(0, 11, 2):
        fleet.kill(NodeId(f"e{number}"), down_ms)
    fleet.run(40_000.0)
    assert fleet.excess() <= 0.0


def test_a_fleet_that_loses_power_does_not_spend_the_fixed_amount_again() -> None:
    # Guards against a restart of all nodes at once, each with an empty window.
    fleet = settled_fleet(3)
    for number in range(11):
        fleet.kill(NodeId(f"e{number}"), 1_000.0)
    fleet.run(40_000.0)
    assert fleet.excess() <= 0.0


def test_added_and_replaced_entry_nodes_get_a_part_only_after_the_others_gave_it_up() -> None:
    # Guards against a new node that spends a part which the others have spent in this window.
    fleet = settled_fleet(4, size=4)
    for number in range(4, 8):
        fleet.start(NodeId(f"e{number}"))
    fleet.run(15_000.0)
    fleet.remove(NodeId("e0"), grace_ms=8_000.0)
    fleet.start(NodeId("e8"))
    fleet.run(40_000.0)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize("seed", range(12))
def test_the_retry_bound_holds_through_any_series_of_faults(seed: int) -> None:
    # Guards against any of these faults together, and changes of the leader.
    fleet = settled_fleet(seed, size=(6, 11, 40)[seed % 3])
    fleet.eagerness = (1.0, 0.3)[seed % 2]
    added = itertools.count(fleet.size)
    for _ in range(25):
        nodes = sorted(fleet.entries)
        chosen = fleet.rng.sample(nodes, max(1, len(nodes) // 4))
        match fleet.rng.randrange(6):
            case 0:
                for node in chosen:
                    fleet.cut_off(node, fleet.rng.choice([500.0, 3_000.0, 12_000.0, 30_000.0]))
            case 1:
                for node in chosen:
                    fleet.kill(node, fleet.rng.choice([300.0, 2_000.0, 8_000.0]))
            case 2:
                fleet.start(NodeId(f"e{next(added)}"))
            case 3:
                if len(nodes) > fleet.size // 2:
                    fleet.remove(chosen[0], grace_ms=8_000.0)
            case 4:
                fleet.net.change_leader()
            case _:
                fleet.eagerness = fleet.rng.choice([0.0, 0.05, 1.0])
        fleet.run(fleet.rng.choice([200.0, 1_500.0, 4_000.0, 11_000.0]))
    fleet.run(20_000.0)
    assert fleet.excess() <= 0.0


def test_a_calm_fleet_can_use_nearly_all_of_the_bound() -> None:
    # Guards against a bound that is kept by denying retries that the service owes its callers.
    fleet = settled_fleet(5)
    fleet.retries.clear()
    fleet.run(30_000.0)
    allowed = EXTRA + SHARE * fleet.size * fleet.rate_per_s * WINDOW_MS / 1_000.0
    assert fleet.largest_window() >= 0.75 * allowed
