"""State machines of log, disk, proposals and store, with a fixed number of examples."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis.stateful import run_state_machine_as_test

from goldcrestridge_lab.fuzz import MACHINES


# The machine of complete nodes takes longer and has its own example count in test_node_machine.
@pytest.mark.parametrize("name", [name for name in MACHINES if name != "node"])
def test_state_machine_finds_no_fault(name: str) -> None:
    # Guards against lost or changed commits, two leaders in a term, stale reads, second runs of a
    # claimed key, configurations that revert, and fencing numbers that are used twice.
    settings = hypothesis.settings(stateful_step_count=30)
    run_state_machine_as_test(MACHINES[name], settings=settings)
