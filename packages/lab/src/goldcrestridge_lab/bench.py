"""Run measurements and write them as one JSON object per line.

Usage:
  bench [--only NAME] [--seed N] [--long] [--output FILE]

Options:
  --only NAME    Run only the records whose name begins with NAME; empty runs all.
  --seed N       First seed [default: 1].
  --long         Take more seeds.
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
)

Run = Callable[[int, bool], list[dict[str, Any]]]

# Beginning of the record names, and the ``run`` function of the module that makes them. Its
# records are filtered by name, so one entry can stand for a whole group.
VIRTUAL: tuple[tuple[str, Run], ...] = (
    *((name, run) for name, run in bench_policy.MEASUREMENTS if name != "cost.decision"),
    ("policy.straggler policy.stale-load policy.prefix", bench_choice.run),
    ("policy.crash", bench_requests.run),
    ("drain.cut", bench_drain.run),
    ("control.cost config.spread", bench_members.run),
)
# Records that measure processor time or real files run one after the other.
ALONE: tuple[tuple[str, Run], ...] = (
    *((name, run) for name, run in bench_policy.MEASUREMENTS if name == "cost.decision"),
    ("path.overhead", bench_path.run),
    ("log.commit log.restart log.claim", bench_log.run),
)
WORKERS = 8


def chosen(table: tuple[tuple[str, Run], ...], only: str) -> list[int]:
    """Return the places in a table that may make records whose name begins with ``only``."""
    return [
        place
        for place, (names, _) in enumerate(table)
        if any(name.startswith(only) or only.startswith(name) for name in names.split())
    ]


def run_virtual(place: int, seed: int, long: bool) -> list[dict[str, Any]]:
    """Run one measurement in virtual time, in a process of its own."""
    return VIRTUAL[place][1](seed, long)


def collect(only: str, seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the records whose name begins with ``only``, in the order of the tables."""
    found: list[dict[str, Any]] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        futures = [pool.submit(run_virtual, place, seed, long) for place in chosen(VIRTUAL, only)]
        for future in futures:
            found += future.result()
    for place in chosen(ALONE, only):
        found += ALONE[place][1](seed, long)
    records = [record for record in found if record["name"].startswith(only)]
    for record in records:
        state = "met" if record["met"] else "NOT MET"
        print(f"{record['name']}: {state}", record["params"], file=sys.stderr)
    return records


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit status, 2 if no record has the name."""
    options = docopt(__doc__, arguments)
    records = collect(options["--only"] or "", int(options["--seed"]), options["--long"])
    if not records:
        print("No measurement has this name.", file=sys.stderr)
        return 2
    output = Path(options["--output"])
    output.parent.mkdir(parents=True, exist_ok=True)
    lines = [msgspec.json.encode(record) + b"\n" for record in records]
    output.write_bytes(b"".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
