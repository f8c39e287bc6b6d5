"""Hypothesis state machines of log, disk, proposals and store."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis.stateful import run_state_machine_as_test

from goldcrestridge_lab.fuzz import MACHINES


# The machine of complete nodes takes longer; test_node_machine runs it with its own example count.
@pytest.mark.parametrize("name", [name for name in MACHINES if name != "node"])
def test_state_machine_finds_no_fault(name: str) -> None:
    # Guards against lost or changed commits, two leaders in one term, stale reads, a second run of
    # a claimed key, configurations that revert, and reused fencing numbers.
    settings = hypothesis.settings(stateful_step_count=30)
    run_state_machine_as_test(MACHINES[name], settings=settings)
