"""Tests of the start of a process on the platform."""

from __future__ import annotations

import runpy
import signal
import sys
import types
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def sighup_handler() -> Iterator[None]:
    previous = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, previous)


def test_a_reload_is_ignored_before_the_imports_begin(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a SIGHUP during the imports, whose default action terminates the process. The
    # fault soak with seed 1 showed it: a node that had just been restarted exited.
    name = "goldcrestridge_platform.cmdline"
    stand_in = types.ModuleType(name)
    stand_in.main = lambda: signal.getsignal(signal.SIGHUP)  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, name, stand_in)
    with pytest.raises(SystemExit) as exit_info:
        runpy.run_module("goldcrestridge_platform", run_name="__main__")
    assert exit_info.value.code is signal.SIG_IGN
