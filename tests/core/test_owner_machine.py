"""State machine test of the shard owner with lost, duplicated and reordered messages."""

from __future__ import annotations

import itertools
import random
from typing import Any

from attrs import Factory, define, evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from goldcrestridge_core import config, member_types, types
from goldcrestridge_core.choice_simple import LeastLoaded
from goldcrestridge_core.owner import REBUILD_MS, Owner

SHARD = types.ShardId("p/0")
SLOTS = {types.UpstreamId("u0"): 2, types.UpstreamId("u1"): 1}
UPSTREAMS = tuple(config.Upstream(name, "a", "dc", slots) for name, slots in SLOTS.items())
TIERS = {"top": 0, "mid": 1, "low": 2}
WORKSPACE_LIMITS = {"ws-0": 1, "ws-1": 2}  # Concurrency limits; ws-2 has none.
SITE_LIMIT = 2

Attempt = tuple[types.RequestId, int]


def configuration() -> config.Configuration:
    target = config.LatencyTarget(1_000.0, 30.0)
    classes = {
        name: config.RequestClass(name, tier, 1.0, 0.1, target, 4_000.0)
        for name, tier in TIERS.items()
    }
    workspaces = {
        name: config.Workspace(name, "top", (), limit=config.Limit(WORKSPACE_LIMITS.get(name)))
        for name in ("ws-0", "ws-1", "ws-2")
    }
    sites = {"s": config.Site("s", "dc", limit=config.Limit(SITE_LIMIT))}
    return config.Configuration("t", classes=classes, workspaces=workspaces, sites=sites)


@define
class EntryStub:
    """Model of an entry node: its waiting requests, grants in use and answers."""

    node: types.NodeId
    epoch: int = 0
    sequence: int = 0
    waiting: dict[Attempt, types.SlotRequest] = Factory(dict)
    running: dict[Attempt, types.SlotGrant] = Factory(dict)
    requests: dict[Attempt, types.SlotRequest] = Factory(dict)
    answers: dict[Attempt, Any] = Factory(dict)

    def receive(self, message: Any) -> list[Any]:
        """Process an answer of the owner and return the messages sent in reply."""
        attempt = (message.request_id, message.attempt)
        current = message.epoch >= self.epoch
        self.epoch = max(self.epoch, message.epoch)
        if isinstance(message, types.SlotRefusal):
            if current and self.waiting.pop(attempt, None):
                self.answers[attempt] = message
            return []
        if self.running.get(attempt) == message:
            return []
        if current and self.waiting.pop(attempt, None):
            self.running[attempt] = message
            self.answers[attempt] = message
            return []
        return [self.release(message, types.GrantEnd.UNUSED)]

    def release(self, grant: types.SlotGrant, end: types.GrantEnd) -> types.SlotRelease:
        return types.SlotRelease(
            grant.request_id,
            grant.attempt,
            self.node,
            SHARD,
            grant.epoch,
            grant.grant_id,
            grant.upstream,
            end,
            output_tokens=0 if end is types.GrantEnd.UNUSED else 50,
        )

    def report(self) -> types.GrantReport:
        self.sequence += 1
        held = tuple(self.held(attempt, grant) for attempt, grant in self.running.items())
        return types.GrantReport(self.node, SHARD, held, tuple(self.waiting), self.sequence)

    def held(self, attempt: Attempt, grant: types.SlotGrant) -> types.HeldGrant:
        request = self.requests[attempt]
        return types.HeldGrant(
            *attempt,
            grant.epoch,
            grant.grant_id,
            grant.upstream,
            request.workspace,
            request.site,
            request.class_name,
            request.model,
            request.prompt_tokens,
            10,
        )


class OwnerMachine(RuleBasedStateMachine):
    """Entry stubs and an owner on a network that drops, duplicates and reorders messages."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.epoch = 0
        self.counter = itertools.count()
        self.stubs = {n: EntryStub(n) for n in (types.NodeId("e0"), types.NodeId("e1"))}
        self.network: list[tuple[types.NodeId | None, Any]] = []  # None is the owner.
        self.queued: dict[Attempt, tuple[types.SlotRequest, float]] = {}
        self.answered: dict[Attempt, Any] = {}
        self.cancelled: set[Attempt] = set()
        self.start_owner()
        self.advance(REBUILD_MS)

    def start_owner(self) -> None:
        self.epoch += 1
        self.owner = Owner(
            configuration(),
            SHARD,
            types.NodeId("o"),
            UPSTREAMS,
            self.epoch,
            LeastLoaded(),
            random.Random(self.epoch),
            started_ms=self.now_ms,
        )
        self.queued.clear()
        self.answered.clear()
        self.cancelled.clear()

    def advance(self, delta_ms: float) -> None:
        """Advance the clock and deliver the ticks that the owner requests."""
        until_ms = self.now_ms + delta_ms
        for _ in range(10_000):
            due_ms = self.owner.next_deadline_ms()
            if due_ms is None or due_ms > until_ms:
                self.now_ms = until_ms
                return
            self.now_ms = max(self.now_ms, due_ms)
            self.handle(types.Tick())
        raise AssertionError(
            f"the owner requested 10000 ticks until {until_ms} ms, now {self.now_ms} ms"
        )

    def handle(self, event: Any) -> None:
        """Pass an event to the owner and check its answers."""
        effects = self.owner.handle(event, self.now_ms)
        floors = {
            e.request_id: dict(e.detail)["floor"]
            for e in effects
            if isinstance(e, types.Emit) and e.kind == "slot_granted"
        }
        for effect in effects:
            if isinstance(effect, types.Send) and not isinstance(
                effect.message, types.ShardSummary
            ):
                self.check_answer(effect.message, bool(floors.get(effect.message.request_id)))
                self.network.append((effect.to, effect.message))

    def check_answer(self, message: Any, floor: bool) -> None:
        attempt = (message.request_id, message.attempt)
        previous = self.answered.get(attempt)
        assert previous is None or previous == message, (
            f"{attempt} got two answers: {previous}, {message}"
        )
        self.answered[attempt] = message
        assert attempt not in self.cancelled, f"cancelled {attempt} was answered: {message}"
        request, _ = self.queued.pop(attempt, (None, 0.0))
        if request is None or floor or isinstance(message, types.SlotRefusal):
            return
        tier = TIERS[request.class_name]
        for other, deadline_ms in self.queued.values():
            higher = TIERS[other.class_name] < tier
            unblocked = (
                self.owner.limits.find_blocking_limit(other.workspace, other.site, self.now_ms)
                is None
            )
            assert not (higher and unblocked and deadline_ms > self.now_ms), (
                f"{request.class_name} request was granted before a {other.class_name} request"
            )

    @rule(
        entry=st.integers(0, 1),
        workspace=st.integers(0, 2),
        class_name=st.sampled_from(sorted(TIERS)),
        site=st.sampled_from(["", "s"]),
        deadline_ms=st.sampled_from([300.0, 4_000.0]),
    )
    def request(
        self, entry: int, workspace: int, class_name: str, site: str, deadline_ms: float
    ) -> None:
        stub = list(self.stubs.values())[entry]
        request = types.SlotRequest(
            types.RequestId(f"r{next(self.counter)}"),
            1,
            stub.node,
            SHARD,
            f"ws-{workspace}",
            site,
            class_name,
            "m",
            100,
            1_000,
            (),
            0.0,
            deadline_ms,
        )
        stub.waiting[(request.request_id, 1)] = request
        stub.requests[(request.request_id, 1)] = request
        self.network.append((None, request))

    @rule(entry=st.integers(0, 1), index=st.integers(0, 20))
    def resend(self, entry: int, index: int) -> None:
        waiting = list(list(self.stubs.values())[entry].waiting.values())
        if waiting:
            request = waiting[index % len(waiting)]
            self.network.append((None, evolve(request, waited_ms=50.0)))

    @rule(entry=st.integers(0, 1), index=st.integers(0, 20))
    def cancel(self, entry: int, index: int) -> None:
        stub = list(self.stubs.values())[entry]
        if stub.waiting:
            attempt = list(stub.waiting)[index % len(stub.waiting)]
            del stub.waiting[attempt]
            self.network.append((None, types.SlotCancel(*attempt, stub.node, SHARD)))

    @rule(entry=st.integers(0, 1), index=st.integers(0, 20))
    def finish(self, entry: int, index: int) -> None:
        stub = list(self.stubs.values())[entry]
        if stub.running:
            attempt = list(stub.running)[index % len(stub.running)]
            grant = stub.running.pop(attempt)
            self.network.append((None, stub.release(grant, types.GrantEnd.COMPLETED)))

    @rule(entry=st.integers(0, 1))
    def report(self, entry: int) -> None:
        self.network.append((None, list(self.stubs.values())[entry].report()))

    @precondition(lambda self: self.network)
    @rule(index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        position = index % len(self.network)
        to, message = self.network[position]
        if not keep:
            del self.network[position]
        self.deliver_message(to, message)

    @precondition(lambda self: self.network)
    @rule(index=st.integers(0, 50))
    def drop_message(self, index: int) -> None:
        del self.network[index % len(self.network)]

    @rule()
    def deliver_all(self) -> None:
        while self.network:
            self.deliver_message(*self.network.pop(0))

    @rule(delta_ms=st.sampled_from([10.0, 400.0, 1_500.0]))
    def pass_time(self, delta_ms: float) -> None:
        self.advance(delta_ms)

    @rule()
    def change_owner(self) -> None:
        """Start a new owner; entry nodes receive messages in flight before they report."""
        in_flight = [item for item in self.network if item[0] is not None]
        self.network = [item for item in self.network if item[0] is None]
        for to, message in in_flight:
            self.deliver_message(to, message)
        self.start_owner()
        for stub in self.stubs.values():
            self.deliver_message(None, stub.report())
            for request in stub.waiting.values():
                self.deliver_message(None, request)
        held = {grant.attempt for grant in self.owner.grants}
        running = {attempt for stub in self.stubs.values() for attempt in stub.running}
        assert running <= held, f"the new owner lacks held grants: {running - held}"
        self.advance(REBUILD_MS)

    @rule(entry=st.integers(0, 1))
    def fail_entry(self, entry: int) -> None:
        stub = list(self.stubs.values())[entry]
        del self.stubs[stub.node]
        replacement = EntryStub(types.NodeId(f"x{next(self.counter)}"))
        self.stubs[replacement.node] = replacement
        # Messages to and from the failed node are discarded.
        self.network = [
            item
            for item in self.network
            if item[0] != stub.node and getattr(item[1], "entry", None) != stub.node
        ]
        self.queued = {a: k for a, k in self.queued.items() if k[0].entry != stub.node}
        self.handle(member_types.MemberDown(stub.node))

    def deliver_message(self, to: types.NodeId | None, message: Any) -> None:
        if to is not None:
            stub = self.stubs.get(to)
            if stub is not None:
                self.network += [(None, reply) for reply in stub.receive(message)]
            return
        attempt = (getattr(message, "request_id", types.RequestId("")), 1)
        if isinstance(message, types.SlotCancel):
            self.queued.pop(attempt, None)
            self.cancelled.add(attempt)
        elif isinstance(message, types.SlotRequest):
            is_new = attempt not in self.answered and attempt not in self.cancelled
            has_slot = self.owner.grants.find_by_attempt(attempt) is not None
            if is_new and not has_slot and not self.owner.grants.has_answer(attempt):
                self.queued.setdefault(attempt, (message, self.now_ms + message.deadline_in_ms))
        elif isinstance(message, types.GrantReport):
            for held in message.held:
                self.queued.pop((held.request_id, held.attempt), None)
        self.handle(types.Receive(getattr(message, "entry", types.NodeId("")), message))

    @invariant()
    def slots_are_never_exceeded(self) -> None:
        running = [grant for stub in self.stubs.values() for grant in stub.running.values()]
        for upstream, slots in SLOTS.items():
            assert sum(grant.upstream == upstream for grant in running) <= slots
            assert sum(g.held.upstream == upstream for g in self.owner.grants) <= slots

    @invariant()
    def limits_are_never_exceeded(self) -> None:
        running = [s.requests[a] for s in self.stubs.values() for a in s.running]
        for workspace, limit in WORKSPACE_LIMITS.items():
            assert sum(request.workspace == workspace for request in running) <= limit
        assert sum(request.site == "s" for request in running) <= SITE_LIMIT

    @invariant()
    def refused_and_cancelled_requests_hold_no_slot(self) -> None:
        held = {grant.attempt for grant in self.owner.grants}
        refused = {a for a, m in self.answered.items() if isinstance(m, types.SlotRefusal)}
        assert not held & refused
        assert not held & self.cancelled

    @invariant()
    def the_chooser_counts_the_held_grants(self) -> None:
        free = self.owner.chooser.free_slots(self.now_ms)
        assert free == sum(SLOTS.values()) - len(self.owner.grants)

    def teardown(self) -> None:
        """Check that all requests are answered and all grants released once no message is lost."""
        for _ in range(30):
            for stub in self.stubs.values():
                self.network += [(None, request) for request in stub.waiting.values()]
                self.network.append((None, stub.report()))
                for attempt in list(stub.running):
                    grant = stub.running.pop(attempt)
                    self.network.append((None, stub.release(grant, types.GrantEnd.COMPLETED)))
            self.deliver_all()
            self.advance(500.0)
        assert not any(stub.waiting or stub.running for stub in self.stubs.values())
        assert len(self.owner.grants) == 0
        assert self.owner.queue.count == 0
        assert all(
            self.owner.limits.running_count(workspace) == 0 for workspace in WORKSPACE_LIMITS
        )
        self.slots_are_never_exceeded()


OwnerMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestOwnerMachine = OwnerMachine.TestCase
