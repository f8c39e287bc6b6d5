"""Tests of the table of the request rates that instances name as their limits."""

from __future__ import annotations

from goldcrestridge_core.follow_types import Workload
from goldcrestridge_core.rate_limits import SHARE_RELEASE_MS, RateLimits
from goldcrestridge_core.types import NodeId
from goldcrestridge_core.workload_sums import WorkloadSums


def test_an_answer_that_was_overtaken_does_not_replace_a_newer_limit() -> None:
    # Guards against a slow answer without a limit that ends the limit of a later answer.
    limits = RateLimits()
    limits.observe("i", 2.0, sent_ms=100.0, now_ms=110.0)
    limits.observe("i", None, sent_ms=50.0, now_ms=120.0)
    limits.observe("i", 5.0, sent_ms=105.0, now_ms=130.0)
    assert limits.per_second("i") == 2.0
    limits.observe("i", 1.0, sent_ms=106.0, now_ms=131.0)
    assert limits.per_second("i") == 1.0


def test_a_limit_holds_until_an_answer_to_a_later_request_names_none() -> None:
    # Guards against a limit that never ends, and against a limit for an instance that named none.
    limits = RateLimits()
    assert not limits.observe("i", None, sent_ms=0.0, now_ms=1.0)
    assert limits.observe("i", 2.0, sent_ms=10.0, now_ms=20.0)
    assert not limits.observe("i", 2.0, sent_ms=20.0, now_ms=30.0)
    assert limits.observe("i", None, sent_ms=30.0, now_ms=40.0)
    assert limits.per_second("i") is None


def test_nodes_agree_on_the_newest_limit_whatever_the_order_of_their_messages() -> None:
    # Guards against a node that applies an older limit because its message arrived last.
    first, second = RateLimits(), RateLimits()
    first.observe("i", 1.0, sent_ms=0.0, now_ms=10.0)
    second.observe("i", 4.0, sent_ms=20.0, now_ms=30.0)
    shared = (*first.shared(50.0), *second.shared(50.0))
    for order in (shared, shared[::-1]):
        leader = WorkloadSums()
        for number, named in enumerate(order):
            leader.report(NodeId(f"e{number}"), Workload(limits=(named,)), 50.0)
        (merged,) = leader.of_others(NodeId("e0"), 50.0).limits
        assert merged.per_second == 4.0
        assert (merged.sent_age_ms, merged.answered_age_ms) == (30.0, 20.0)
        node = RateLimits()
        for named in order:
            node.merge(named, 1_050.0)
        assert node.per_second("i") == 4.0


def test_the_end_of_a_limit_is_shared_and_then_forgotten() -> None:
    # Guards against peers that keep a limit which has ended, and against a table that only grows.
    limits = RateLimits()
    limits.observe("i", 1.0, sent_ms=0.0, now_ms=10.0)
    limits.observe("i", None, sent_ms=10.0, now_ms=20.0)
    assert [named.per_second for named in limits.shared(100.0)] == [None]
    assert limits.shared(20.0 + SHARE_RELEASE_MS) == ()
    limits.observe("j", 1.0, sent_ms=10.0, now_ms=20.0)
    limits.retain({"i"})
    assert limits.per_second("j") is None
