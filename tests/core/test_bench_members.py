"""Tests of the measurements of the control roles: units, targets and the linear fit."""

from __future__ import annotations

import pytest

from goldcrestridge_lab import bench_members

UNITS = ("_ms", "_bytes", "_share", "_per_s", "nodes", "restarts", "changes", "fit", "loss_share")


def test_a_cost_record_names_units_and_compares_with_the_target() -> None:
    # Guards against a record that claims its target without comparing, and against keys without a
    # unit.
    record = bench_members._cost_record(1, 6, 45_000.0)
    assert all(key.endswith(UNITS) for key in {**record["params"], **record["figures"]})
    assert record["figures"]["bytes_per_s"] > record["figures"]["quiet_bytes_per_s"] > 0.0
    bound = {"bytes_per_s": record["figures"]["bytes_per_s"] - 1.0}
    over_bound = bench_members._record("n", 1, {}, record["figures"], bound)
    assert record["met"]
    assert not over_bound["met"]


def test_the_fit_gives_the_figure_of_a_line_at_the_design_size() -> None:
    # Guards against a fit that uses the wrong sizes.
    costs = [
        bench_members._record(
            "control.cost",
            1,
            {"nodes": nodes},
            {"bytes_per_s": 100.0 + 2.0 * nodes, "processor_share": 0.001},
            {},
        )
        for nodes in bench_members.SIZES
    ]
    figures = bench_members._fit_record(1, costs)["figures"]
    assert figures["bytes_per_s"] == pytest.approx(780.0)
    assert figures["processor_share"] == pytest.approx(0.001)
