"""Tests of the shard owner: message faults, floors, shedding, limits and leases."""

from __future__ import annotations

import random
from typing import Any

import pytest
from attrs import define, evolve, field

from goldcrestridge_core import config, member_types, types
from goldcrestridge_core.choice import PrefixChooser
from goldcrestridge_core.choice_simple import LeastLoaded
from goldcrestridge_core.owner import REBUILD_MS, Owner

SHARD = types.ShardId("p/0")
ENTRY = types.NodeId("e")
TARGET = config.LatencyTarget(1_000.0, 30.0)
TOP = config.RequestClass("top", 0, 4.0, 0.05, TARGET, 800.0)
LOW = config.RequestClass("low", 1, 1.0, 0.05, TARGET, 60_000.0)


def configuration(
    *classes: config.RequestClass, attainment_weight: float = 0.5, **limits: config.Limit
) -> config.Configuration:
    return config.Configuration(
        "t",
        objective=config.Objective(attainment_weight),
        classes={cls.name: cls for cls in classes or (TOP, LOW)},
        workspaces={name: config.Workspace(name, "", (), limit=v) for name, v in limits.items()},
    )


@define
class Harness:
    """An owner with a simulated clock and one entry node."""

    cfg: config.Configuration = field(factory=configuration)
    slots: int = 1
    epoch: int = 1
    now_ms: float = 0.0
    started_ms: float = -REBUILD_MS
    lease_until_ms: float = float("inf")
    request_count: int = 0
    chooser: Any = field(factory=LeastLoaded)
    owner: Owner = field(init=False)

    def __attrs_post_init__(self) -> None:
        upstream = config.Upstream(types.UpstreamId("u"), "a", "dc", self.slots)
        self.owner = Owner(
            self.cfg,
            SHARD,
            types.NodeId("o"),
            (upstream,),
            self.epoch,
            self.chooser,
            random.Random(1),
            self.started_ms,
            self.lease_until_ms,
        )

    def handle(self, event: Any) -> list[Any]:
        effects = self.owner.handle(event, self.now_ms)
        sent = [effect.message for effect in effects if isinstance(effect, types.Send)]
        return [message for message in sent if not isinstance(message, types.ShardSummary)]

    def send(self, message: Any) -> list[Any]:
        return self.handle(types.Receive(ENTRY, message))

    def advance(self, delta_ms: float) -> list[Any]:
        """Advance the clock, run the ticks that are due, and return the messages sent."""
        until_ms = self.now_ms + delta_ms
        sent = []
        while (due_ms := self.owner.next_deadline_ms()) is not None and due_ms <= until_ms:
            self.now_ms = max(self.now_ms, due_ms)
            sent += self.handle(types.Tick())
        self.now_ms = until_ms
        return sent

    def request(
        self, class_name: str = "top", workspace: str = "w", **changes: Any
    ) -> types.SlotRequest:
        self.request_count += 1
        base = types.SlotRequest(
            types.RequestId(f"r{self.request_count}"),
            1,
            ENTRY,
            SHARD,
            workspace,
            "",
            class_name,
            "m",
            100,
            1_000,
            (),
            0.0,
            self.cfg.classes[class_name].queue_timeout_ms,
        )
        return evolve(base, **changes)

    def grant(self, class_name: str = "top", workspace: str = "w") -> types.SlotGrant:
        (answer,) = self.send(self.request(class_name, workspace))
        assert isinstance(answer, types.SlotGrant)
        return answer


def cancel(request_id: types.RequestId) -> types.SlotCancel:
    return types.SlotCancel(request_id, 1, ENTRY, SHARD)


def release(
    grant: types.SlotGrant, end: types.GrantEnd = types.GrantEnd.COMPLETED
) -> types.SlotRelease:
    return types.SlotRelease(
        grant.request_id, 1, ENTRY, SHARD, grant.epoch, grant.grant_id, grant.upstream, end, 50
    )


def held(grant: types.SlotGrant) -> types.HeldGrant:
    return types.HeldGrant(
        grant.request_id, 1, grant.epoch, grant.grant_id, grant.upstream, "w", "", "top", "m", 9, 5
    )


def report(
    *grants: types.SlotGrant, waiting: tuple[types.RequestId, ...] = (), sequence: int = 0
) -> types.GrantReport:
    return types.GrantReport(
        ENTRY, SHARD, tuple(map(held, grants)), tuple((r, 1) for r in waiting), sequence
    )


def test_a_cancel_that_overtakes_its_request_keeps_it_from_running() -> None:
    # Guards against a slot granted to a request that its entry node has cancelled.
    harness = Harness()
    request = harness.request()
    harness.send(cancel(request.request_id))
    assert harness.send(request) == []
    assert len(harness.owner.grants) == 0


def test_a_cancelled_grant_frees_its_slot_at_once() -> None:
    # Guards against a slot that stays in use until its grant is reclaimed.
    harness = Harness()
    first = harness.grant()
    harness.send(harness.request())
    (answer,) = harness.send(cancel(first.request_id))
    assert isinstance(answer, types.SlotGrant)
    assert harness.send(release(first, types.GrantEnd.UNUSED)) == []
    assert len(harness.owner.grants) == 1


def test_a_lost_grant_message_is_sent_again() -> None:
    # Guards against a request that never runs while the owner counts its grant as held.
    harness = Harness()
    grant = harness.grant()
    assert harness.send(report(waiting=(grant.request_id,))) == [grant]


def test_reports_sent_before_the_grant_arrived_do_not_count_it_as_missing() -> None:
    # Guards against reclaiming a grant that is still in flight to the entry node.
    harness = Harness()
    harness.grant()
    harness.advance(400.0)
    harness.send(report())
    harness.send(report())
    harness.advance(10_000.0)
    assert len(harness.owner.grants) == 1


def test_an_outdated_report_does_not_count_a_grant_as_missing() -> None:
    # Guards against reports that are reordered and delivered after newer ones.
    harness = Harness()
    grant = harness.grant()
    harness.advance(2_000.0)
    harness.send(report(grant, sequence=5))
    harness.send(report(sequence=3))
    harness.send(report(sequence=4))
    harness.advance(10_000.0)
    assert len(harness.owner.grants) == 1


def test_a_missing_grant_is_reclaimed_after_two_reports_and_the_grant_timeout() -> None:
    # Guards against reclaiming too early, while the request may still run, and against never
    # reclaiming.
    harness = Harness()
    harness.grant()
    harness.advance(2_000.0)
    harness.send(report())
    harness.advance(1_999.0)
    harness.send(report())
    harness.advance(1_999.0)
    assert len(harness.owner.grants) == 1
    harness.advance(2.0)
    assert len(harness.owner.grants) == 0


def test_a_lost_grant_that_is_reported_again_is_not_reclaimed() -> None:
    # Guards against a grant that stays marked as lost although its entry node reports it.
    harness = Harness()
    grant = harness.grant()
    harness.handle(member_types.MemberDown(ENTRY))
    harness.send(report(grant))
    harness.advance(10_000.0)
    assert len(harness.owner.grants) == 1


def test_a_new_owner_grants_nothing_until_the_entry_nodes_had_time_to_report() -> None:
    # Guards against granting slots that are still held by grants of the previous owner.
    harness = Harness(epoch=2, started_ms=0.0)
    request = harness.request()
    assert harness.send(request) == []
    old = types.SlotGrant(types.RequestId("x"), 1, SHARD, 1, 7, types.UpstreamId("u"))
    assert harness.advance(REBUILD_MS / 2) == []
    harness.send(report(old))
    assert harness.advance(REBUILD_MS / 2 + 100.0) == []
    (answer,) = harness.send(release(old))
    assert answer.request_id == request.request_id
    assert answer.epoch == 2


def test_a_report_that_arrives_after_the_release_does_not_revive_a_grant() -> None:
    # Guards against a slot that is never released.
    harness = Harness(epoch=2)
    old = types.SlotGrant(types.RequestId("x"), 1, SHARD, 1, 7, types.UpstreamId("u"))
    harness.send(release(old))
    harness.send(report(old))
    assert len(harness.owner.grants) == 0


def test_an_owner_whose_lease_expired_grants_nothing_until_it_is_extended() -> None:
    # Guards against two owners that grant the same slots.
    harness = Harness(lease_until_ms=100.0, now_ms=100.0)
    request = harness.request()
    assert harness.send(request) == []
    assert harness.handle(types.LeaseExtended(2, 5_000.0)) == []
    (answer,) = harness.handle(types.LeaseExtended(1, 5_000.0))
    assert answer.request_id == request.request_id


def test_a_repeated_request_gets_the_same_refusal() -> None:
    # Guards against a different answer to a request that was refused before.
    harness = Harness()
    harness.grant()
    request = harness.request()
    harness.send(request)
    (refusal,) = harness.advance(900.0)
    assert refusal.reason is types.Reason.DEADLINE
    assert harness.send(request) == [refusal]


def test_a_late_copy_of_a_cancelled_request_gets_no_refusal() -> None:
    # Guards against an answer to a request that its entry node cancelled after a refusal.
    harness = Harness()
    harness.grant()
    request = harness.request()
    harness.send(request)
    harness.advance(900.0)
    harness.send(cancel(request.request_id))
    assert harness.send(request) == []


def reconfigure(harness: Harness, cfg: config.Configuration, slots: int) -> list[Any]:
    """Apply a configuration with one upstream and return the messages sent."""
    upstream = config.Upstream(types.UpstreamId("u"), "a", "dc", slots)
    effects = harness.owner.reconfigure(cfg, (upstream,), harness.now_ms)
    return [effect.message for effect in effects if isinstance(effect, types.Send)]


def test_a_configuration_change_keeps_waiting_requests_and_held_grants() -> None:
    # Guards against losing the queue or granting slots twice at a configuration change. There are
    # thousands of changes per day.
    harness = Harness()
    harness.grant()
    waiting = harness.request()
    harness.send(waiting)
    assert reconfigure(harness, configuration(), 1) == []
    (grant,) = reconfigure(harness, configuration(), 2)
    assert grant.request_id == waiting.request_id
    assert len(harness.owner.grants) == 2


def test_a_new_limit_counts_requests_that_are_already_running() -> None:
    # Guards against a limit that counts from zero while its workspace holds slots.
    harness = Harness(slots=3)
    first = harness.grant()
    reconfigure(harness, configuration(w=config.Limit(max_concurrent=1)), 3)
    assert harness.send(harness.request()) == []
    (grant,) = harness.send(release(first))
    assert isinstance(grant, types.SlotGrant)


def test_the_lowest_class_runs_while_a_higher_tier_always_waits() -> None:
    # Guards against starvation (P2). The floor of 0.05 gives the class one grant in twenty.
    harness = Harness()
    current = harness.grant()
    low = harness.request("low")
    harness.send(low)
    for _ in range(60):
        harness.send(harness.request())
        harness.send(harness.request())
        harness.advance(20.0)
        (current,) = [m for m in harness.send(release(current)) if isinstance(m, types.SlotGrant)]
        if current.request_id == low.request_id:
            return
    pytest.fail("the lowest class got no slot within 60 releases, at a floor of one in 20")


def test_overload_from_one_workspace_is_refused_early_and_only_there() -> None:
    # Guards against a burst from one workspace that causes refusals for other workspaces.
    harness = Harness(slots=4, cfg=configuration(evolve(TOP, queue_timeout_ms=5_000.0)))
    current = [harness.grant(workspace="steady") for _ in range(4)]
    refused: list[types.RequestId] = []
    reasons: list[types.Reason] = []
    steady: list[types.RequestId] = []
    for step in range(200):
        requests = [harness.request(workspace="flood") for _ in range(10)]
        if step % 4 == 0:
            requests.append(harness.request(workspace="steady"))
            steady.append(requests[-1].request_id)
        sent = [m for request in requests for m in harness.send(request)]
        sent += harness.advance(100.0)
        sent += harness.send(release(current.pop(0)))
        current += [m for m in sent if isinstance(m, types.SlotGrant)]
        refused += [m.request_id for m in sent if isinstance(m, types.SlotRefusal)]
        reasons += [m.reason for m in sent if isinstance(m, types.SlotRefusal)]
    assert len(refused) > 1_500
    # Only refusals as overloaded are early; the others come at the deadline.
    assert reasons.count(types.Reason.OVERLOADED) > 0.9 * len(reasons)
    assert not set(refused) & set(steady)


def test_a_request_over_a_limit_is_refused_early_with_a_retry_time() -> None:
    # Guards against queueing a request that the token rate admits only after its deadline.
    limit = config.Limit(tokens_per_second=10.0)
    harness = Harness(slots=4, cfg=configuration(w=limit))
    first = harness.grant()
    (refusal,) = harness.send(harness.request())
    assert refusal.reason is types.Reason.LIMIT
    harness.send(evolve(release(first), output_tokens=100))
    harness.advance(refusal.retry_after_ms)
    assert isinstance(harness.send(harness.request())[0], types.SlotGrant)


def test_a_leaving_upstream_gets_no_grant_and_the_entry_nodes_are_notified() -> None:
    # Guards against new work for an upstream that is leaving (P6).
    harness = Harness()
    harness.grant()
    notice = types.LoadReport(types.UpstreamId("u"), 0.0, 1, 0, 1, leaving=True)
    sent = harness.send(notice)
    assert sent == [types.UpstreamLeaving(types.UpstreamId("u"), "load_report")]
    (refusal,) = harness.send(harness.request())
    assert refusal.reason is types.Reason.NO_UPSTREAM


def test_a_node_that_starts_after_an_upstream_began_to_leave_is_notified() -> None:
    # Guards against a restarted node that admits requests locally on a leaving upstream (P6).
    harness = Harness()
    harness.grant()
    harness.send(types.LoadReport(types.UpstreamId("u"), 0.0, 1, 0, 1, leaving=True))
    sent = harness.handle(member_types.MemberUp(member(7)))
    notice = types.UpstreamLeaving(types.UpstreamId("u"), harness.owner.node)
    assert sent == [notice]
    assert not harness.handle(member_types.MemberUp(member(7)))


def test_a_leaving_notice_removes_the_free_slots_of_the_upstream() -> None:
    # Guards against a leaving notice that the owner forwards without applying it.
    harness = Harness(slots=4)
    harness.send(types.UpstreamLeaving(types.UpstreamId("u"), "platform"))
    assert harness.owner.chooser.free_slots(0.0) == 0


def test_a_long_answer_is_charged_to_its_workspace_while_it_runs() -> None:
    # Guards against a charge that stays at the estimate made when the request was granted.
    limit = config.Limit(tokens_per_second=400.0)
    harness = Harness(slots=2, cfg=configuration(w=limit))
    grant = harness.grant()
    harness.advance(1_000.0)
    assert harness.owner.limits.find_blocking_limit("w", "", harness.now_ms) is None
    harness.send(types.GrantReport(ENTRY, SHARD, (evolve(held(grant), output_tokens=5_000),)))
    assert harness.owner.limits.find_blocking_limit("w", "", harness.now_ms) == ("w", "")


def test_an_upstream_that_reports_without_the_leaving_flag_gets_work_again() -> None:
    # Guards against an upstream that gets no work after it was restarted.
    harness = Harness(chooser=PrefixChooser())
    harness.send(types.UpstreamLeaving(types.UpstreamId("u"), "list"))
    (refusal,) = harness.send(harness.request())
    assert refusal.reason is types.Reason.NO_UPSTREAM
    harness.advance(6_000.0)
    harness.send(types.LoadReport(types.UpstreamId("u"), 100.0, 0, 0, 1))
    (grant,) = harness.send(harness.request())
    assert isinstance(grant, types.SlotGrant)


def test_lower_tiers_leave_headroom_while_a_higher_tier_shows_demand() -> None:
    # Guards against a lower tier that takes the last slot of a pool with long requests.
    harness = Harness(slots=10)
    for _ in range(10):
        grant = harness.grant()
        harness.advance(20_000.0)
        harness.send(release(grant))
    for _ in range(4):
        harness.send(release(harness.grant()))
    granted = [harness.send(harness.request("low", f"w{number}")) for number in range(12)]
    assert sum(bool(answers) for answers in granted) == 9
    assert isinstance(harness.send(harness.request("top", "other"))[0], types.SlotGrant)


def test_an_unused_grant_is_not_charged_to_its_workspace() -> None:
    # Guards against limits that count requests that never ran.
    limit = config.Limit(max_concurrent=1, tokens_per_second=100.0)
    harness = Harness(slots=2, cfg=configuration(w=limit))
    for _ in range(5):
        harness.send(release(harness.grant(), types.GrantEnd.UNUSED))
    assert isinstance(harness.send(harness.request())[0], types.SlotGrant)


def test_a_new_configuration_keeps_requests_and_applies_its_limits_to_held_grants() -> None:
    # Guards against losing requests, and against limits that ignore held grants, at a
    # configuration change (P8).
    harness = Harness(slots=1)
    harness.grant()
    kept, dropped = harness.request(), harness.request("low")
    harness.send(kept)
    harness.send(dropped)
    cfg = configuration(TOP, w=config.Limit(max_concurrent=2))
    upstream = config.Upstream(types.UpstreamId("u"), "a", "dc", 3)
    effects = harness.owner.reconfigure(cfg, (upstream,), harness.now_ms)
    answers = {e.message.request_id: e.message for e in effects if isinstance(e, types.Send)}
    assert isinstance(answers[kept.request_id], types.SlotGrant)
    assert isinstance(answers[dropped.request_id], types.SlotRefusal)
    assert harness.owner.limits.running_count("w") == 2
    assert harness.send(harness.request()) == []


def test_a_request_of_an_unknown_class_is_refused_at_once() -> None:
    # Guards against a request without an answer while nodes have different configurations.
    harness = Harness()
    (refusal,) = harness.send(evolve(harness.request(), class_name="new"))
    assert isinstance(refusal, types.SlotRefusal)


def test_slow_first_tokens_do_not_refuse_a_class_permanently() -> None:
    # Guards against an estimate above the target that causes all requests of the class to be
    # refused, so that no new measurement can correct it.
    harness = Harness(cfg=configuration(TOP, attainment_weight=0.0))
    for _ in range(20):
        grant = harness.grant()
        harness.send(evolve(release(grant), first_token_ms=5_000.0))
    waiting = harness.request()
    current = harness.grant()
    assert harness.send(waiting) == []
    (answer,) = harness.send(release(current))
    assert isinstance(answer, types.SlotGrant)


def test_grants_of_a_restarted_entry_that_sends_one_report_only_are_reclaimed() -> None:
    # Guards against slots that stay in use until a restarted entry node gets its next request.
    harness = Harness(slots=2)
    harness.handle(member_types.MemberUp(member(1)))
    harness.grant()
    harness.advance(2_000.0)
    harness.handle(member_types.MemberUp(member(7)))
    harness.send(report())
    harness.advance(2_001.0)
    assert len(harness.owner.grants) == 0


def test_a_node_that_only_refutes_a_suspicion_keeps_its_grants() -> None:
    # Guards against reclaiming the slot of a request that is still running.
    harness = Harness()
    harness.handle(member_types.MemberUp(member(1)))
    grant = harness.grant()
    harness.advance(2_000.0)
    harness.handle(member_types.MemberUp(member(2)))
    harness.send(report(grant))
    harness.advance(10_000.0)
    assert len(harness.owner.grants) == 1


def member(incarnation: int) -> member_types.Member:
    return member_types.Member(ENTRY, incarnation, member_types.MemberState.ALIVE, "dc", "peer")


def limited(per_second: float | None) -> types.LoadReport:
    return types.LoadReport(types.UpstreamId("u"), 0.0, 0, 0, 1_000, limit_per_second=per_second)


def grants_in(harness: Harness, seconds: float, rate: float) -> int:
    """Send ``rate`` requests a second, and return how many get a slot in the given time."""
    granted = 0
    for _ in range(round(seconds * rate)):
        sent = harness.send(harness.request("low")) + harness.advance(1_000.0 / rate)
        granted += sum(isinstance(message, types.SlotGrant) for message in sent)
    return granted


def test_an_upstream_that_names_a_limit_gets_no_more_slots_than_that() -> None:
    # Guards against an overloaded upstream of a pool that gets as many requests as it has slots.
    harness = Harness(slots=1_000, chooser=PrefixChooser())
    harness.send(limited(None))
    assert grants_in(harness, 1.0, 20.0) >= 18
    harness.send(limited(2.0))
    assert 6 <= grants_in(harness, 4.0, 20.0) <= 8 + 1
    harness.send(limited(None))
    assert grants_in(harness, 1.0, 20.0) >= 18


def test_a_new_owner_knows_a_limit_before_the_first_report_of_the_upstream() -> None:
    # Guards against an owner that grants slots freely until it has polled the upstream, and against
    # an entry node that overrides what the upstream reports.
    harness = Harness(slots=100, chooser=PrefixChooser())
    limits = ((types.UpstreamId("u"), 2.0),)
    harness.send(types.GrantReport(ENTRY, SHARD, (), limits=limits))
    assert harness.owner.chooser.limits() == limits
    assert grants_in(harness, 2.0, 20.0) <= 4 + 1
    harness.send(limited(None))
    harness.send(types.GrantReport(ENTRY, SHARD, (), limits=limits))
    assert harness.owner.chooser.limits() == ()


def versioned(version: str) -> types.LoadReport:
    return types.LoadReport(types.UpstreamId("u"), 0.0, 0, 0, 4, version=version)


def test_a_stream_gets_no_slot_at_an_upstream_that_reported_another_version() -> None:
    # Guards against a continuation whose work is lost, since its answer can't be joined, and
    # against a caller that waits for a version that no upstream of the pool runs.
    harness = Harness(slots=4, chooser=PrefixChooser())
    (grant,) = harness.send(harness.request(version="v1"))
    assert isinstance(grant, types.SlotGrant)
    harness.send(versioned("v2"))
    (refusal,) = harness.send(harness.request(version="v1"))
    assert refusal.reason is types.Reason.NO_UPSTREAM
    for version in ("v2", None):
        (grant,) = harness.send(harness.request(version=version))
        assert isinstance(grant, types.SlotGrant)


def test_a_stream_waits_for_an_upstream_of_its_version_instead_of_taking_another() -> None:
    # Guards against a choice by prefix, by load or for a probe that overrides the version.
    upstreams = tuple(
        config.Upstream(types.UpstreamId(name), name, "dc", 1) for name in ("old", "new")
    )
    chooser = PrefixChooser()
    chooser.set_upstreams(upstreams)
    for upstream, version in zip(upstreams, ("v1", "v2"), strict=True):
        report = types.LoadReport(upstream.name, 0.0, 0, 0, 1, version=version)
        chooser.apply_load_report(report, 1.0)
    request = Harness().request(version="v1")
    assert chooser.choose(request, 10, 2.0) == "old"
    assert chooser.choose(evolve(request, excluded=(upstreams[0].name,)), 10, 2.0) is None
    assert chooser.serves_version("v1")
    assert not chooser.serves_version("v3")
