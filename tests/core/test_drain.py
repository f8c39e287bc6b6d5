"""Tests of the drain: accepted callers, the end when idle, deadline and second signal."""

from __future__ import annotations

import random

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from goldcrestridge_core.addresses import Addresses
from goldcrestridge_core.call_types import (
    Call,
    CallerGone,
    CallerRequest,
    CallKind,
    RespondEnd,
    RespondFailure,
)
from goldcrestridge_core.drain import ANNOUNCE_MS, Drain, DrainPhase
from goldcrestridge_core.member_types import DrainDone, ReleaseOwnership, StartDrain
from goldcrestridge_core.membership import Membership
from goldcrestridge_core.types import Outcome, Reason, RequestId, Tick
from goldcrestridge_lab.carrier_members import Host, SimulatedNetwork, member, node_id

TTL_MS = 30_000.0
CALL = Call(CallKind.PLAIN, "w", "s", "c", "p", "GET", "/", b"", (), b"")
FAILURE = (Outcome.FAILED, Reason.UPSTREAM_LOST, "")


class DrainMachine(RuleBasedStateMachine):
    """Compare the drain with a model: requests in flight, and until when answers name the node."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.drain = Drain(TTL_MS)
        self.in_flight: list[RequestId] = []
        self.advertised_until_ms = float("inf")
        self.ends_ms = float("inf")
        self.done: DrainDone | None = None
        self.done_ms = 0.0
        self.requests = 0

    def handle(self, event: object) -> list[object]:
        effects = self.drain.handle(event, self.now_ms)
        done = [e for e in effects if isinstance(e, DrainDone)]
        if done:
            assert self.done is None
            self.done = done[0]
            self.done_ms = self.now_ms
        return effects

    @rule(ms=st.sampled_from([10.0, 3_000.0, 14_000.0, 40_000.0]))
    def advance(self, ms: float) -> None:
        end_ms = self.now_ms + ms
        while (deadline := self.drain.next_deadline_ms()) is not None and deadline <= end_ms:
            self.now_ms = max(self.now_ms, deadline)
            self.handle(Tick())
        self.now_ms = end_ms

    @rule()
    def arrive(self) -> None:
        self.requests += 1
        request_id = RequestId(f"r{self.requests}")
        refused = self.handle(CallerRequest(request_id, CALL))
        must_accept = self.now_ms < min(self.advertised_until_ms + TTL_MS, self.ends_ms)
        if self.done is None and must_accept:
            assert not refused
            self.in_flight.append(request_id)
        elif refused:
            assert isinstance(refused[0], RespondFailure)
            assert refused[0].outcome is Outcome.NOT_RUN
        else:
            self.in_flight.append(request_id)

    @rule(kind=st.sampled_from([CallerGone, RespondEnd, RespondFailure]), data=st.data())
    @precondition(lambda self: self.in_flight and self.done is None)
    def end(self, kind: type, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.in_flight))
        self.in_flight.remove(request_id)
        self.handle(kind(request_id, *FAILURE) if kind is RespondFailure else kind(request_id))

    @rule(deadline_ms=st.sampled_from([None, 1_000.0, 60_000.0]))
    def start_drain(self, deadline_ms: float | None) -> None:
        if self.done:
            return
        first = self.drain.phase is DrainPhase.SERVING
        effects = self.handle(StartDrain(deadline_ms))
        if first:
            assert ReleaseOwnership() in effects
            self.advertised_until_ms = self.now_ms + ANNOUNCE_MS
            if deadline_ms is not None:
                self.ends_ms = self.now_ms + deadline_ms
        else:
            assert self.done
            assert self.done.reason == "second signal"

    @invariant()
    def only_the_operator_interrupts_requests(self) -> None:
        if self.done and self.done.reason == "idle":
            assert self.done.cut == ()
            assert self.in_flight == []
            assert self.done_ms >= self.advertised_until_ms + TTL_MS
        elif self.done:
            assert list(self.done.cut) == self.in_flight
        else:
            assert self.now_ms <= self.ends_ms
        must_be_done = self.now_ms > self.advertised_until_ms + TTL_MS and not self.in_flight
        assert self.done or not must_be_done


TestDrainMachine = DrainMachine.TestCase
TestDrainMachine.settings = settings(max_examples=80, stateful_step_count=20)


def test_callers_with_answers_of_a_longer_lifetime_are_accepted() -> None:
    # Guards against refusing callers whose answer is from before the lifetime was lowered.
    drain = Drain(TTL_MS)
    drain.set_address_ttl(1_000.0, 500.0)
    drain.handle(StartDrain(), 600.0)
    assert drain.next_deadline_ms() == 500.0 + ANNOUNCE_MS + TTL_MS
    drain = Drain(1_000.0)
    drain.set_address_ttl(TTL_MS, 500.0)
    drain.handle(StartDrain(), 600.0)
    assert drain.next_deadline_ms() == 600.0 + ANNOUNCE_MS + TTL_MS


def test_no_node_answers_with_a_draining_one_after_the_announcement_time() -> None:
    # Guards against callers that are sent to a node after it has stopped accepting them.
    for seed in range(5):
        network = SimulatedNetwork(random.Random(seed), loss=0.1, delay_ms=(0.5, 60.0))
        address_roles: list[Addresses] = []
        for number in range(24):
            own = evolve(member(number), caller_address=f"127.0.0.1:{number}")
            membership = Membership(
                own, (node_id(0), node_id(1)), random.Random(f"{seed}/{number}")
            )
            address_roles.append(Addresses(own))
            network.add(Host(own.node, [membership, address_roles[-1], Drain(TTL_MS)]))
        network.run(20_000.0)
        assert all(len(addresses.live()) == 24 for addresses in address_roles)
        network.inject(node_id(5), StartDrain())
        network.run(ANNOUNCE_MS)
        assert not [addresses for addresses in address_roles if node_id(5) in addresses.live()]
        network.run(TTL_MS + 1.0)
        assert DrainDone((), "idle") in [e for _, e in network.hosts[node_id(5)].effects]
