"""Tests of the sums of what entry nodes report to the leader."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core.follow_types import (
    BlockedParts,
    EntryStatus,
    FollowReply,
    FollowRequest,
    InstanceLoad,
    NamedLimit,
    ServiceWork,
    Workload,
)
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.types import NodeId, Receive, Send
from goldcrestridge_core.versions import VersionedDocument
from goldcrestridge_core.workload_sums import WorkloadSums

NODES = [NodeId(f"e{number}") for number in range(4)]
INSTANCES = ["i-1", "i-2", "i-3"]
reports = st.builds(
    lambda loads, works: Workload(
        tuple(InstanceLoad(name, count) for name, count in loads.items()),
        tuple(ServiceWork(name, *work) for name, work in works.items()),
    ),
    st.dictionaries(st.sampled_from(INSTANCES), st.integers(1, 9)),
    st.dictionaries(st.sampled_from(["s", "t"]), st.tuples(*[st.integers(0, 99)] * 3)),
)
steps = st.lists(st.tuples(st.sampled_from(NODES), st.none() | reports), max_size=20)


@given(steps, st.sampled_from(NODES))
def test_a_node_gets_the_sum_of_the_last_reports_of_all_others(
    changes: list[tuple[NodeId, Workload | None]], asker: NodeId
) -> None:
    # Guards against running sums that drift from the reports they stand for.
    sums, last = WorkloadSums(), dict[NodeId, Workload]()
    for node, workload in changes:
        if workload is None:
            sums.remove(node)
            last.pop(node, None)
        else:
            sums.report(node, workload, 0.0)
            last[node] = workload
    others = [workload for node, workload in last.items() if node != asker]
    got = sums.of_others(asker, 0.0)
    expected = {
        name: sum(load.requests for item in others for load in item.loads if load.instance == name)
        for name in INSTANCES
    }
    assert {load.instance: load.requests for load in got.loads} == {
        name: count for name, count in expected.items() if count
    }
    for service in ("s", "t"):
        works = [work for item in others for work in item.works if work.service == service]
        total = [sum(getattr(work, kind) for work in works) for kind in ("short", "long", "tight")]
        (found,) = [work for work in got.works if work.service == service] or [
            ServiceWork(service, 0, 0)
        ]
        assert [found.short, found.long, found.tight] == total


def test_a_control_node_that_does_not_lead_keeps_no_reports() -> None:
    # Guards against a new leader that returns limits and blocked parts of an earlier time.
    leads = [False]
    publisher = Publisher(
        lambda _now_ms: Leadership(leads[0], None, (), VersionedDocument(1, b"1"))
    )

    def poll(node: NodeId, workload: Workload, now_ms: float) -> Workload:
        status = EntryStatus(node, "x:80", "dc", True)
        request = FollowRequest(1, status, 1, "", "", workload)
        effects = publisher.handle(Receive(node, request), now_ms)
        sent = [item.message for item in effects if isinstance(item, Send)]
        (reply,) = [message for message in sent if isinstance(message, FollowReply)]
        return reply.workload

    blocked = (BlockedParts(("bad",), 10.0),)
    poll(NODES[0], Workload(limits=(NamedLimit("i", 1.0, 2.0, 1.0),), blocked=blocked), 0.0)
    leads[0] = True
    answer = poll(NODES[1], Workload(), 9_000.0)
    assert (answer.limits, answer.blocked) == ((), ())
