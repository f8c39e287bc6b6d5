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
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from goldcrestridge_lab import bench_policy, bench_requests

Run = Callable[[int, bool], list[dict[str, Any]]]

# Beginning of the record names, and the ``run`` function of the module that makes them. Its
# records are filtered by name, so one entry can stand for a whole group.
MEASUREMENTS: tuple[tuple[str, Run], ...] = (
    *bench_policy.MEASUREMENTS,
    ("policy.crash", bench_requests.run),
)


def collect(only: str, seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the records whose name begins with ``only``."""
    records: list[dict[str, Any]] = []
    for name, run in MEASUREMENTS:
        if not (name.startswith(only) or only.startswith(name)):
            continue
        started = time.monotonic()
        found = [r for r in run(seed, long) if r["name"].startswith(only)]
        for record in found:
            state = "met" if record["met"] else "NOT MET"
            print(f"{record['name']}: {state}", record["params"], file=sys.stderr)
        print(f"{name}: {time.monotonic() - started:.1f} s", file=sys.stderr)
        records += found
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
