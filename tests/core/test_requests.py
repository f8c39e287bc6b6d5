"""State machine of entries with lossy messages, failing upstreams and an unreliable claim store."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from tests.core.fleet import Fleet, make_call, uuid7

from goldcrestridge_core.types import NodeId

INDEX = st.integers(0, 1_000)
KINDS = ["stream", "stream", "stream", "whole", "charge", "charge", "charge", "lookup", "no_key"]
FATES = ["done"] * 6 + ["reply_lost", "late", "unsent"]
ENDINGS = ["cut", "connect", "leaving", "headless"]
FAULTS = ["gone", "gone", "gone", "refuse", "change_owner", "old_grant", "silence", "commit_late"]
NODE_FAULTS = ["crash", "crash", "drain", "end_drain"]


class Entries(RuleBasedStateMachine):
    """Guards against double outcomes, mixed answers, false "not run", second runs, lost slots."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.boot()

    def entry(self, index: int) -> NodeId:
        names = list(self.fleet.entries)
        return names[index % len(names)]

    @rule(kinds=st.lists(st.sampled_from(KINDS), min_size=1, max_size=6), index=INDEX)
    def arrive(self, kinds: list[str], index: int) -> None:
        for number, kind in enumerate(kinds):
            plain = kind in ("charge", "lookup", "no_key")
            key = uuid7(index % 3) if kind == "charge" else ""
            call = make_call(
                stream=kind == "stream",
                plain=plain,
                repeatable=kind not in ("charge", "no_key"),
                key=key,
                ws="ab"[index // 7 % 2],
            )
            self.fleet.request(self.entry(index + number), call)

    @rule(seed=INDEX, steps=st.integers(1, 60), trouble=st.sampled_from([0.0, 0.05, 0.3]))
    def go_on(self, seed: int, steps: int, trouble: float) -> None:
        """Deliver, lose, repeat and reorder messages while upstreams and the store work."""
        rng = random.Random(seed)
        for _ in range(steps):
            bad = rng.random() < trouble
            [self.carry, self.carry, self.work, self.work, self.decide][rng.randrange(5)](rng, bad)
            self.fleet.advance(rng.choice([0.0, 1.0, 20.0]))

    def carry(self, rng: random.Random, bad: bool) -> None:
        if not self.fleet.carrier:
            return
        index = rng.randrange(len(self.fleet.carrier)) if bad else 0
        if bad and rng.random() < 0.5:
            del self.fleet.carrier[index]
        else:
            self.fleet.deliver(index, keep=bad and rng.random() < 0.5)

    def work(self, rng: random.Random, bad: bool) -> None:
        active = [run for run in self.fleet.runs if run.active]
        old = [run for run in self.fleet.runs if not run.active and not run.caller.finals]
        if old and rng.random() < 0.2:
            self.fleet.step(rng.choice(old), "next")
        elif active:
            run = rng.choice(active)
            for _ in range(1 if bad else rng.randrange(1, 7)):
                if run.active:
                    self.fleet.step(run, rng.choice(ENDINGS) if bad else "next")

    def decide(self, rng: random.Random, bad: bool) -> None:
        if self.fleet.proposals:
            index = rng.randrange(len(self.fleet.proposals))
            self.fleet.propose(index, rng.choice(FATES) if bad else "done")

    @rule(delta_ms=st.sampled_from([100.0, 400.0, 1_600.0, 5_000.0, 61_000.0]))
    def advance(self, delta_ms: float) -> None:
        self.fleet.advance(delta_ms)

    @rule(fault=st.sampled_from(FAULTS), index=INDEX)
    def fault(self, fault: str, index: int) -> None:
        fleet = self.fleet
        match fault:
            case "gone":
                open_callers = [item for item in fleet.callers.values() if not item.finals]
                for caller in open_callers[index % 3 :: 3][:1]:
                    fleet.caller_gone(caller)
            case "refuse":
                fleet.refuse()
            case "change_owner":
                fleet.change_owner(announce=index % 2 == 0)
            case "old_grant":
                fleet.grant_from_old_owner()
            case "silence":
                fleet.carrier.clear()
                fleet.advance(2_000.0)
            case "commit_late":
                while fleet.late_commands:
                    fleet.store.apply(fleet.late_commands.pop(0))

    @rule(fault=st.sampled_from(NODE_FAULTS), index=INDEX)
    def node_fault(self, fault: str, index: int) -> None:
        entry = self.entry(index)
        match fault:
            case "crash":
                self.fleet.crash(entry)
            case "drain":
                self.fleet.drain(entry)
            case "end_drain":
                self.fleet.end_drain(entry)

    def teardown(self) -> None:
        self.fleet.settle()
        self.fleet.check_settled()


TestEntries = Entries.TestCase
TestEntries.settings = settings(
    settings.get_profile("ci"),
    max_examples=120,
    stateful_step_count=40,
    report_multiple_bugs=False,
)
