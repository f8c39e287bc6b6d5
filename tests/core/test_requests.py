"""State machine test of entry nodes with message loss, upstream faults and claim store faults."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from tests.core.fleet import Fleet, make_call, uuid7

from goldcrestridge_core.types import NodeId

INDEX = st.integers(0, 1_000)
KINDS = ["stream", "stream", "stream", "whole", "charge", "charge", "charge", "lookup", "no_key"]
PROPOSAL_RESULTS = ["done"] * 6 + ["reply_lost", "late", "unsent"]
ATTEMPT_FAULTS = ["cut", "connect", "leaving", "headless"]
FAULTS = ["gone", "gone", "gone", "refuse", "change_owner", "old_grant", "silence", "commit_late"]
ENTRY_FAULTS = ["crash", "crash", "drain", "end_drain"]


class Entries(RuleBasedStateMachine):
    """Guards against two outcomes, mixed responses, wrong "not run", second runs, lost slots."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.start_entries()

    def entry(self, index: int) -> NodeId:
        names = list(self.fleet.entries)
        return names[index % len(names)]

    @rule(kinds=st.lists(st.sampled_from(KINDS), min_size=1, max_size=6), index=INDEX)
    def send_requests(self, kinds: list[str], index: int) -> None:
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

    @rule(seed=INDEX, steps=st.integers(1, 60), fault_rate=st.sampled_from([0.0, 0.05, 0.3]))
    def run_steps(self, seed: int, steps: int, fault_rate: float) -> None:
        """Deliver, lose, duplicate and reorder messages while upstreams and the store progress."""
        rng = random.Random(seed)
        for _ in range(steps):
            faulty = rng.random() < fault_rate
            [
                self.deliver_message,
                self.deliver_message,
                self.step_upstream,
                self.step_upstream,
                self.resolve_proposal,
            ][rng.randrange(5)](rng, faulty)
            self.fleet.advance(rng.choice([0.0, 1.0, 20.0]))

    def deliver_message(self, rng: random.Random, faulty: bool) -> None:
        if not self.fleet.network:
            return
        index = rng.randrange(len(self.fleet.network)) if faulty else 0
        if faulty and rng.random() < 0.5:
            del self.fleet.network[index]
        else:
            self.fleet.deliver(index, keep=faulty and rng.random() < 0.5)

    def step_upstream(self, rng: random.Random, faulty: bool) -> None:
        active = [run for run in self.fleet.runs if run.active]
        ended = [
            run for run in self.fleet.runs if not run.active and not run.caller.final_responses
        ]
        if ended and rng.random() < 0.2:
            self.fleet.step(rng.choice(ended), "next")
        elif active:
            run = rng.choice(active)
            for _ in range(1 if faulty else rng.randrange(1, 7)):
                if run.active:
                    self.fleet.step(run, rng.choice(ATTEMPT_FAULTS) if faulty else "next")

    def resolve_proposal(self, rng: random.Random, faulty: bool) -> None:
        if self.fleet.proposals:
            index = rng.randrange(len(self.fleet.proposals))
            self.fleet.resolve_proposal(index, rng.choice(PROPOSAL_RESULTS) if faulty else "done")

    @rule(delta_ms=st.sampled_from([100.0, 400.0, 1_600.0, 5_000.0, 61_000.0]))
    def advance(self, delta_ms: float) -> None:
        self.fleet.advance(delta_ms)

    @rule(fault=st.sampled_from(FAULTS), index=INDEX)
    def inject_fault(self, fault: str, index: int) -> None:
        fleet = self.fleet
        match fault:
            case "gone":
                open_callers = [item for item in fleet.callers.values() if not item.final_responses]
                for caller in open_callers[index % 3 :: 3][:1]:
                    fleet.disconnect(caller)
            case "refuse":
                fleet.refuse_first_request()
            case "change_owner":
                fleet.replace_owner(announce=index % 2 == 0)
            case "old_grant":
                fleet.grant_by_former_owner()
            case "silence":
                fleet.network.clear()
                fleet.advance(2_000.0)
            case "commit_late":
                while fleet.delayed_commands:
                    fleet.store.apply(fleet.delayed_commands.pop(0))

    @rule(fault=st.sampled_from(ENTRY_FAULTS), index=INDEX)
    def inject_entry_fault(self, fault: str, index: int) -> None:
        entry = self.entry(index)
        match fault:
            case "crash":
                self.fleet.crash(entry)
            case "drain":
                self.fleet.drain(entry)
            case "end_drain":
                self.fleet.end_drain(entry)

    def teardown(self) -> None:
        self.fleet.run_to_completion()
        self.fleet.check_complete()


TestEntries = Entries.TestCase
TestEntries.settings = settings(
    settings.get_profile("ci"),
    max_examples=120,
    stateful_step_count=40,
    report_multiple_bugs=False,
)
