"""Run the state machines of all parts with a seed.

Usage:
  fuzz [--seed=<n>] [--steps=<n>] [--only=<name>]

Options:
  --seed=<n>     Seed of the run [default: 1].
  --steps=<n>    Steps of each state machine [default: 2000].
  --only=<name>  Run one state machine only.
"""

from __future__ import annotations

import sys
import traceback

import docopt
import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from goldcrestridge_lab.disk_machine import DiskMachine
from goldcrestridge_lab.log_machine import LogMachine
from goldcrestridge_lab.node_machine import NodeMachine
from goldcrestridge_lab.proposals_machine import ProposalsMachine
from goldcrestridge_lab.store_machine import ClaimsMachine, ConfigMachine, LeasesMachine

MACHINES: dict[str, type[RuleBasedStateMachine]] = {
    "log": LogMachine,
    "disk": DiskMachine,
    "proposals": ProposalsMachine,
    "store.claims": ClaimsMachine,
    "store.config": ConfigMachine,
    "store.leases": LeasesMachine,
    "node": NodeMachine,
}
STEPS_EACH = 50


def run(name: str, seed: int, steps: int) -> str:
    """Run one state machine for about ``steps`` steps; return what it found, or ''."""
    settings = hypothesis.settings(
        max_examples=max(1, steps // STEPS_EACH),
        stateful_step_count=STEPS_EACH,
        deadline=None,
        database=None,
        derandomize=False,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = type(MACHINES[name].__name__, (MACHINES[name],), {})
    try:
        run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=settings)
    except Exception:  # Every failure of a machine is a find; it is printed with its seed.
        return traceback.format_exc()
    return ""


def main(argv: list[str] | None = None) -> int:
    """Run all machines; return 1 if one of them found a fault."""
    arguments = docopt.docopt(__doc__ or "", argv)
    seed, steps = int(arguments["--seed"]), int(arguments["--steps"])
    names = [arguments["--only"]] if arguments["--only"] else list(MACHINES)
    found = 0
    for name in names:
        report = run(name, seed, steps)
        print(f"{name}: seed {seed}, {steps} steps: {'FOUND' if report else 'nothing found'}")
        if report:
            found = 1
            print(report)
    return found


if __name__ == "__main__":
    sys.exit(main())
