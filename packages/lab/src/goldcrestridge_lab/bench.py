"""Run the measurements and write their records as one JSON object per line.

Usage:
  bench [--only NAME] [--seed N] [--long] [--output FILE]

Options:
  --only NAME    Write only the records whose name begins with NAME; empty writes all.
  --seed N       First seed [default: 1].
  --long         Use more seeds or a longer run.
  --output FILE  File to write [default: bench/results.jsonl].
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from goldcrestridge_lab import (
    bench_choice,
    bench_drain,
    bench_log,
    bench_members,
    bench_path,
    bench_policy,
    bench_requests,
    bench_scale,
)

MeasureFunction = Callable[[int, bool], list[dict[str, Any]]]

# Each entry holds the blank-separated prefixes of the record names that a function returns, and
# the function. ``collect`` filters the returned records by name, so one entry may cover a group.
# These run in virtual time, so that parallel processes do not affect their figures.
VIRTUAL_TIME_RUNS: tuple[tuple[str, MeasureFunction], ...] = (
    *((name, run) for name, run in bench_policy.MEASUREMENTS if name != "cost.decision"),
    ("policy.straggler policy.stale-load policy.prefix", bench_choice.run),
    ("policy.crash", bench_requests.run),
    ("drain.cut", bench_drain.run),
    ("control.cost config.spread", bench_members.run),
    ("scale.policy", bench_scale.run),
)
# These measure processor time or use real files, so they run one after the other.
SEQUENTIAL_RUNS: tuple[tuple[str, MeasureFunction], ...] = (
    *((name, run) for name, run in bench_policy.MEASUREMENTS if name == "cost.decision"),
    ("path.overhead", bench_path.run),
    ("log.commit log.restart log.claim", bench_log.run),
)
WORKERS = 8


def matching_indices(table: tuple[tuple[str, MeasureFunction], ...], name_prefix: str) -> list[int]:
    """Return the indices of the entries that may return records with a name prefix."""
    return [
        index
        for index, (names, _) in enumerate(table)
        if any(
            name.startswith(name_prefix) or name_prefix.startswith(name) for name in names.split()
        )
    ]


def run_virtual(index: int, seed: int, long: bool) -> list[dict[str, Any]]:
    """Run one entry of VIRTUAL_TIME_RUNS, given by index, as closures cannot be pickled."""
    return VIRTUAL_TIME_RUNS[index][1](seed, long)


def collect(name_prefix: str, seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the records whose name begins with ``name_prefix``, in the order of the tables.

    Print the result of each record to standard error.
    """
    produced: list[dict[str, Any]] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        futures = [
            pool.submit(run_virtual, index, seed, long)
            for index in matching_indices(VIRTUAL_TIME_RUNS, name_prefix)
        ]
        for future in futures:
            produced += future.result()
    for index in matching_indices(SEQUENTIAL_RUNS, name_prefix):
        produced += SEQUENTIAL_RUNS[index][1](seed, long)
    records = [record for record in produced if record["name"].startswith(name_prefix)]
    for record in records:
        state = "met" if record["met"] else "NOT MET"
        print(f"{record['name']}: {state}", record["params"], file=sys.stderr)
    return records


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit status, 2 if no record name has the prefix."""
    options = docopt(__doc__, arguments)
    records = collect(options["--only"] or "", int(options["--seed"]), options["--long"])
    if not records:
        print(f"No record name begins with {options['--only']!r}.", file=sys.stderr)
        return 2
    output = Path(options["--output"])
    output.parent.mkdir(parents=True, exist_ok=True)
    lines = [msgspec.json.encode(record) + b"\n" for record in records]
    output.write_bytes(b"".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
