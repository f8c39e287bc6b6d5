"""Drain: nothing is cut, old answers are honoured, deadline and second signal say what is cut."""

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
from goldcrestridge_core.drain import ANNOUNCE_MS, Drain, Phase
from goldcrestridge_core.member_types import DrainDone, ReleaseOwnership, StartDrain
from goldcrestridge_core.membership import Membership
from goldcrestridge_core.types import Outcome, Reason, RequestId, Tick
from goldcrestridge_lab.carrier_members import Carrier, Host, member, node_id

TTL_MS = 30_000.0
CALL = Call(CallKind.PLAIN, "w", "s", "c", "p", "GET", "/", b"", (), b"")
FAILURE = (Outcome.FAILED, Reason.UPSTREAM_LOST, "")


class DrainMachine(RuleBasedStateMachine):
    """Oracle: the set of accepted requests without an end, and the time of the last answer."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.drain = Drain(TTL_MS)
        self.open: list[RequestId] = []
        self.named_until_ms = float("inf")
        self.ends_ms = float("inf")
        self.done: DrainDone | None = None
        self.done_ms = 0.0
        self.count = 0

    def give(self, event: object) -> list[object]:
        effects = self.drain.handle(event, self.now_ms)
        done = [e for e in effects if isinstance(e, DrainDone)]
        if done:
            assert self.done is None
            self.done = done[0]
            self.done_ms = self.now_ms
        return effects

    @rule(ms=st.sampled_from([10.0, 3_000.0, 14_000.0, 40_000.0]))
    def wait(self, ms: float) -> None:
        end_ms = self.now_ms + ms
        while (deadline := self.drain.next_deadline_ms()) is not None and deadline <= end_ms:
            self.now_ms = max(self.now_ms, deadline)
            self.give(Tick())
        self.now_ms = end_ms

    @rule()
    def arrive(self) -> None:
        self.count += 1
        request_id = RequestId(f"r{self.count}")
        refused = self.give(CallerRequest(request_id, CALL))
        honoured = self.now_ms < min(self.named_until_ms + TTL_MS, self.ends_ms)
        if self.done is None and honoured:
            assert not refused
            self.open.append(request_id)
        elif refused:
            assert isinstance(refused[0], RespondFailure)
            assert refused[0].outcome is Outcome.NOT_RUN
        else:
            self.open.append(request_id)

    @rule(kind=st.sampled_from([CallerGone, RespondEnd, RespondFailure]), data=st.data())
    @precondition(lambda self: self.open and self.done is None)
    def end(self, kind: type, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(self.open))
        self.open.remove(request_id)
        self.give(kind(request_id, *FAILURE) if kind is RespondFailure else kind(request_id))

    @rule(deadline_ms=st.sampled_from([None, 1_000.0, 60_000.0]))
    def stop(self, deadline_ms: float | None) -> None:
        if self.done:
            return
        first = self.drain.phase is Phase.SERVING
        effects = self.give(StartDrain(deadline_ms))
        if first:
            assert ReleaseOwnership() in effects
            self.named_until_ms = self.now_ms + ANNOUNCE_MS
            if deadline_ms is not None:
                self.ends_ms = self.now_ms + deadline_ms
        else:
            assert self.done
            assert self.done.reason == "second signal"

    @invariant()
    def nothing_is_cut_unless_the_operator_says_so(self) -> None:
        if self.done and self.done.reason == "idle":
            assert self.done.cut == ()
            assert self.open == []
            assert self.done_ms >= self.named_until_ms + TTL_MS
        elif self.done:
            assert list(self.done.cut) == self.open
        else:
            assert self.now_ms <= self.ends_ms
        over = self.now_ms > self.named_until_ms + TTL_MS and not self.open
        assert self.done or not over


TestDrainMachine = DrainMachine.TestCase
TestDrainMachine.settings = settings(max_examples=80, stateful_step_count=20)


def test_answers_given_under_a_longer_lifetime_are_honoured() -> None:
    # Guards against refusing callers whose answer was given before the lifetime was lowered.
    drain = Drain(TTL_MS)
    drain.set_address_ttl(1_000.0, 500.0)
    drain.handle(StartDrain(), 600.0)
    assert drain.next_deadline_ms() == 500.0 + ANNOUNCE_MS + TTL_MS
    drain = Drain(1_000.0)
    drain.set_address_ttl(TTL_MS, 500.0)
    drain.handle(StartDrain(), 600.0)
    assert drain.next_deadline_ms() == 600.0 + ANNOUNCE_MS + TTL_MS


def test_no_node_names_a_draining_one_when_the_announcement_time_is_over() -> None:
    # Guards against callers that are sent to a node after it has stopped to accept them.
    for seed in range(5):
        carrier = Carrier(random.Random(seed), loss=0.1, delay_ms=(0.5, 60.0))
        books: list[Addresses] = []
        for number in range(24):
            own = evolve(member(number), caller_address=f"127.0.0.1:{number}")
            membership = Membership(
                own, (node_id(0), node_id(1)), random.Random(f"{seed}/{number}")
            )
            books.append(Addresses(own))
            carrier.add(Host(own.node, [membership, books[-1], Drain(TTL_MS)]))
        carrier.run(20_000.0)
        assert all(len(book.live()) == 24 for book in books)
        carrier.inject(node_id(5), StartDrain())
        carrier.run(ANNOUNCE_MS)
        assert not [book for book in books if node_id(5) in book.live()]
        carrier.run(TTL_MS + 1.0)
        assert DrainDone((), "idle") in [e for _, e in carrier.hosts[node_id(5)].effects]
