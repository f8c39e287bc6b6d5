"""Run the hypothesis state machines with a seed.

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
STEPS_PER_EXAMPLE = 50


def run(name: str, seed: int, steps: int) -> str:
    """Run one state machine for about ``steps`` steps; return the traceback of a fault, or ''."""
    settings = hypothesis.settings(
        max_examples=max(1, steps // STEPS_PER_EXAMPLE),
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        derandomize=False,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = type(MACHINES[name].__name__, (MACHINES[name],), {})
    try:
        run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=settings)
    except Exception:  # Every failure of a state machine is reported as a fault.
        return traceback.format_exc()
    return ""


def main(argv: list[str] | None = None) -> int:
    """Run the state machines; return 1 if one of them found a fault, else 0."""
    arguments = docopt.docopt(__doc__ or "", argv)
    seed, steps = int(arguments["--seed"]), int(arguments["--steps"])
    names = [arguments["--only"]] if arguments["--only"] else list(MACHINES)
    exit_code = 0
    for name in names:
        report = run(name, seed, steps)
        print(f"{name}: seed {seed}, {steps} steps: {'FOUND' if report else 'nothing found'}")
        if report:
            exit_code = 1
            print(report)
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
