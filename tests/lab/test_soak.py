"""Short runs of the fault soak, with seeds that once exposed a fault."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from goldcrestridge_lab.soak import Soak

SECONDS = 8.0
ENTRIES = 3


@pytest.mark.parametrize(
    "seed",
    [
        # Exposed that SIGHUP ended a process that was still starting.
        1,
    ],
)
def test_the_guarantees_hold_under_overlapping_faults(seed: int, tmp_path: Path) -> None:
    soak = Soak(seed, SECONDS, ENTRIES, tmp_path)
    assert asyncio.run(soak.run()), soak.report()
