"""Tests of the decisions on which connections of callers a process keeps."""

from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from goldcrestridge_core.connection_ledger import (
    FREED_SHARE,
    MIN_HELD_UP_MS,
    MIN_IDLE_MS,
    MIN_SILENT_MS,
    MIN_STALLED_MS,
    OWNER_RESPONSE_SHARE,
    OWNER_SHARE,
    ConnectionLedger,
    Phase,
)
from goldcrestridge_core.process_limits import (
    ACCEPT_BATCH,
    CONNECTION_BYTES,
    MAX_LISTENERS,
    ProcessLimits,
    process_limits,
)

LISTENERS = ("callers", "ready", "directory")
LIMITS = ProcessLimits(
    connections=12, listener_connections=2, upstream_connections=4, held_bytes=10_000
)
LEAST_MS = {Phase.SILENT: MIN_SILENT_MS, Phase.AHEAD: 0.0, Phase.IDLE: MIN_IDLE_MS}
PHASES = st.sampled_from([phase for phase in Phase if phase is not Phase.CLOSING])


def full_ledger(phase: Phase) -> ConnectionLedger:
    """Return a ledger whose callers' listener takes no further connection."""
    ledger = ConnectionLedger(LIMITS)
    for listener in LISTENERS:
        ledger.add_listener(listener)
    for key in range(LIMITS.connections - 2 * LIMITS.listener_connections):
        assert ledger.open(key, "callers", key).accepted
        ledger.update(key, phase, 100, key)
    return ledger


class Ledger(RuleBasedStateMachine):
    """Compare the ledger with a plain record of what each connection waits for and holds."""

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.ledger = ConnectionLedger(LIMITS)
        for listener in LISTENERS:
            self.ledger.add_listener(listener)
        self.now_ms = 0.0
        self.next_key = 0
        self.open: dict[int, tuple[str, Phase, float, int]] = {}
        self.chosen: set[int] = set()
        self.owners: dict[int, str] = {}
        self.ahead: dict[int, float] = {}  # Since when requests have been sent ahead.

    @rule(target=keys, listener=st.sampled_from(LISTENERS), wait_ms=st.integers(0, 2_000))
    def accept(self, listener: str, wait_ms: int) -> int:
        self.now_ms += wait_ms
        key, self.next_key = self.next_key, self.next_key + 1
        counts = Counter(row[0] for row in self.open.values())
        guaranteed = counts[listener] < LIMITS.listener_connections
        admission = self.ledger.open(key, listener, self.now_ms)
        # A crowd at one listener never takes what another one is guaranteed.
        assert admission.accepted or not guaranteed
        if admission.closed is not None:
            self.check_gives_way(admission.closed, listener)
            self.chosen.add(admission.closed)
        self.open[key] = (listener, Phase.SILENT, self.now_ms, 0)
        return key

    def check_gives_way(self, key: int, listener: str) -> None:
        own, phase, since_ms, _ = self.open[key]
        least_ms = LEAST_MS.get(phase, MIN_HELD_UP_MS)
        assert phase is not Phase.RUNNING
        assert own == listener
        assert self.now_ms - since_ms >= least_ms
        assert key not in self.chosen

    @rule(key=keys, phase=PHASES, held=st.integers(0, 4_000), wait_ms=st.integers(0, 1_000))
    def change(self, key: int, phase: Phase, held: int, wait_ms: int) -> None:
        self.now_ms += wait_ms
        self.ledger.update(key, phase, held, self.now_ms)
        listener, before, since_ms, _ = self.open[key]
        if key not in self.chosen:
            since_ms = since_ms if phase is before else self.now_ms
            self.open[key] = (listener, phase, since_ms, held)
            if phase is Phase.AHEAD:
                self.ahead.setdefault(key, self.now_ms)
            elif phase is Phase.IDLE and before is not Phase.IDLE:
                self.ahead.pop(key, None)
                self.owners.pop(key, None)

    @rule(key=keys, owner=st.sampled_from(("", "a", "b")))
    def assign(self, key: int, owner: str) -> None:
        self.ledger.assign(key, owner)
        self.owners[key] = owner

    @rule(key=keys, size=st.integers(0, 5_000))
    def ask_for_owner(self, key: int, size: int) -> None:
        owner = self.owners.get(key, "")
        owned = sum(
            row[3]
            for other, row in self.open.items()
            if self.owners.get(other, "") == owner and not self._freed(other)
        )
        fits = not owner or owned + size <= OWNER_SHARE * LIMITS.held_bytes
        assert self.ledger.owner_fits(key, size) == fits

    @rule(size=st.integers(0, 5_000))
    def make_room(self, size: int) -> None:
        free = {
            key: row
            for key, row in self.open.items()
            if key not in self.chosen
            and row[1] is not Phase.RUNNING
            and (row[1] is Phase.AHEAD or self.now_ms - row[2] >= MIN_STALLED_MS)
        }
        fitted = self.ledger.fits(size)
        held = self.ledger.held_bytes
        victims = self.ledger.victims(size, self.now_ms)
        assert not (fitted and victims)
        assert set(victims) <= set(free)
        if not fitted and held + size - sum(row[3] for row in free.values()) <= LIMITS.held_bytes:
            assert self.ledger.fits(size)
        # One that is kept has not held more for longer than one that is closed.
        weights = {
            key: row[3] * (self.now_ms - self.ahead.get(key, row[2]))
            if row[1] is Phase.AHEAD
            else row[3] * (self.now_ms - row[2])
            for key, row in free.items()
        }
        kept = [weights[key] for key in free if key not in victims]
        assert not victims or not kept or max(kept) <= min(weights[key] for key in victims)
        self.chosen.update(victims)

    @rule(key=consumes(keys))
    def end(self, key: int) -> None:
        self.ledger.close(key)
        del self.open[key]
        self.chosen.discard(key)
        self.ahead.pop(key, None)
        self.owners.pop(key, None)

    @invariant()
    def sums_agree(self) -> None:
        held = sum(row[3] for key, row in self.open.items() if not self._freed(key))
        assert self.ledger.held_bytes == held
        assert self.ledger.connections == len(self.open)

    def _freed(self, key: int) -> bool:
        return key in self.chosen


TestLedger = Ledger.TestCase


@pytest.mark.parametrize(
    "phase", [Phase.SILENT, Phase.AHEAD, Phase.IDLE, Phase.UNREAD, Phase.RECEIVING]
)
def test_the_connection_that_waits_longest_gives_way_to_a_new_one(phase: Phase) -> None:
    # Guards against silent connections that keep ordinary callers out.
    ledger = full_ledger(phase)
    if phase is not Phase.AHEAD:
        assert not ledger.open(100, "callers", 10.0).accepted
        ledger.close(100)
    first = ledger.open(101, "callers", 3_000.0)
    second = ledger.open(102, "callers", 3_000.0)
    assert (first.accepted, first.closed, second.closed) == (True, 0, 1)


def test_a_connection_whose_request_runs_gives_way_to_no_new_one() -> None:
    # Guards against a request that is cut for somebody who has not sent one.
    ledger = full_ledger(Phase.RUNNING)
    assert not ledger.open(100, "callers", 60_000.0).accepted


def test_a_connection_without_a_request_gives_way_before_one_with_a_part_of_it() -> None:
    # Guards against a slow caller who is cut while idle connections are kept.
    ledger = full_ledger(Phase.RECEIVING)
    ledger.update(3, Phase.IDLE, 0, 5_000.0)
    assert ledger.open(100, "callers", 7_000.0).closed == 3


def test_a_full_listener_leaves_the_others_their_connections() -> None:
    # Guards against callers who shut out operators, readiness and address answers.
    ledger = full_ledger(Phase.RUNNING)
    for number, listener in enumerate(("ready", "directory") * LIMITS.listener_connections):
        assert ledger.open(200 + number, listener, 0.0).accepted


def test_the_caller_who_holds_most_for_longest_is_closed_first() -> None:
    # Guards against ordinary callers who are closed for the memory that others hold.
    ledger = ConnectionLedger(LIMITS)
    rows = {1: (Phase.UNREAD, 4_000), 2: (Phase.RECEIVING, 3_000), 3: (Phase.RUNNING, 3_000)}
    for key, (phase, held) in rows.items():
        ledger.open(key, "callers", 0.0)
        ledger.update(key, phase, held, 0.0)
    assert ledger.victims(100, MIN_STALLED_MS - 1) == ()
    assert ledger.victims(100, MIN_STALLED_MS) == (1,)
    assert ledger.held_bytes <= FREED_SHARE * LIMITS.held_bytes


def test_a_caller_who_goes_on_reading_is_not_the_one_who_has_waited_longest() -> None:
    # Guards against slow callers who are taken for callers who read nothing.
    ledger = ConnectionLedger(LIMITS)
    for key in (1, 2):
        ledger.open(key, "callers", 0.0)
        ledger.update(key, Phase.UNREAD, 5_000, 0.0)
    ledger.progressed(1, 9_000.0)
    assert list(ledger.stalled(5_000.0, 10_000.0)) == [2]
    assert ledger.victims(1, 10_000.0) == (2,)


def test_one_workspace_leaves_memory_for_the_others() -> None:
    # Guards against a workspace whose large requests make those of all others be refused.
    ledger = ConnectionLedger(LIMITS)
    for key, owner in enumerate("aaab"):
        ledger.open(key, "callers", 0.0)
        ledger.assign(key, owner)
    for key in range(3):
        if ledger.owner_fits(key, 2_500):
            ledger.update(key, Phase.RUNNING, 2_500, 0.0)
    assert ledger.held_bytes == OWNER_SHARE * LIMITS.held_bytes
    assert not ledger.owner_fits(0, 1)
    assert ledger.owner_fits(3, 2_500)
    ledger.update(0, Phase.IDLE, 100, 0.0)
    assert ledger.owner_fits(1, 2_400)


@given(
    memory_mb=st.integers(1, 4_000),
    descriptors=st.integers(1, 100_000),
)
def test_the_limits_of_a_process_add_up(memory_mb: int, descriptors: int) -> None:
    # Guards against limits of listeners and upstreams that together exceed the descriptors.
    limits = process_limits(memory_mb * 1_000_000, descriptors)
    assert min(evolve(limits).connections, limits.listener_connections) >= 1
    used = limits.connections + limits.upstream_connections + MAX_LISTENERS * ACCEPT_BATCH
    assert used <= max(descriptors, MAX_LISTENERS * ACCEPT_BATCH + 2)
    assert MAX_LISTENERS * limits.listener_connections <= max(MAX_LISTENERS, limits.connections)
    assert limits.connections * CONNECTION_BYTES <= max(CONNECTION_BYTES, limits.held_bytes)


@pytest.mark.parametrize("memory_mb", [88, 128, 150, 200, 300])
def test_the_limits_leave_room_for_the_callers_of_the_sites(memory_mb: int) -> None:
    # Guards against defaults that a caller within the limits of the platform can meet.
    limits = process_limits(memory_mb * 1_000_000, 3_900)
    assert limits.connections >= 500
    assert limits.held_bytes >= 2 * 4_194_304


def test_responses_leave_the_requests_of_their_workspace_their_share() -> None:
    # Guards against refused requests of a workspace while responses of a faulty upstream fill the
    # memory that it may hold.
    ledger = ConnectionLedger(LIMITS)
    for key in (1, 2):
        assert ledger.open(key, "callers", 0.0).accepted
        ledger.assign(key, "w")
    limit = int(OWNER_RESPONSE_SHARE * LIMITS.held_bytes)
    assert ledger.response_fits(1, limit)
    ledger.update(1, Phase.RUNNING, 100 + limit, 0.0, limit)
    assert not ledger.response_fits(2, 1)
    assert ledger.owner_fits(2, int(OWNER_SHARE * LIMITS.held_bytes) - 100)
    assert not ledger.owner_fits(2, int(OWNER_SHARE * LIMITS.held_bytes) - 99)
    ledger.update(1, Phase.IDLE, 100, 0.0)
    assert ledger.response_fits(2, limit)
    ledger.assign(2, "other")
    ledger.update(2, Phase.RUNNING, limit, 0.0, limit)
    ledger.assign(1, "w")
    assert ledger.response_fits(1, limit)
    ledger.close(2)
    assert ledger.held_bytes == 100
