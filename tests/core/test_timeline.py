"""Tests of the timeline: causal order, bounded size, filters and rendering."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import timeline
from goldcrestridge_core.timeline import Timeline
from goldcrestridge_core.types import Emit, NodeId, TimelineEvent

STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["local", "send", "receive"]),
        st.floats(-5_000.0, 5_000.0),
    ),
    max_size=60,
)


@given(STEPS)
def test_a_merged_timeline_never_shows_an_effect_before_its_cause(
    steps: list[tuple[int, str, float]],
) -> None:
    # Guards against an order that follows wall clocks alone, which step backwards and disagree.
    processes = [Timeline(NodeId(f"n{n}")) for n in range(3)]
    wall_clocks_ms = [10_000.0, 500_000.0, 0.0]
    in_flight: list[tuple[timeline.Stamp, frozenset[int]]] = []
    causes: list[frozenset[int]] = [frozenset()] * 3
    events: dict[int, frozenset[int]] = {}
    for number, (process, kind, step_ms) in enumerate(steps):
        wall_clocks_ms[process] += step_ms
        clock = processes[process].clock
        if kind == "receive" and in_flight:
            stamp, before = in_flight.pop(0)
            clock.observe(stamp, wall_clocks_ms[process])
            causes[process] |= before
        processes[process].record(Emit(str(number)), wall_clocks_ms[process])
        events[number] = causes[process]
        causes[process] |= {number}
        if kind == "send":
            in_flight.append((clock.stamp(wall_clocks_ms[process]), causes[process]))
    merged = [int(e.event.kind) for e in timeline.merge(p.events() for p in processes)]
    position = {number: index for index, number in enumerate(merged)}
    assert len(merged) == len(steps)
    assert all(position[cause] < position[n] for n, before in events.items() for cause in before)


def test_the_timeline_is_bounded_and_counts_dropped_events() -> None:
    # Guards against memory use that grows with the number of events.
    recorder = Timeline(NodeId("n"), limit=10)
    for number in range(25):
        recorder.record(Emit(str(number)), 1.0)
    assert [e.event.kind for e in recorder.events()] == [str(n) for n in range(15, 25)]
    assert recorder.dropped == 15


def test_filters_combine_and_empty_ones_match_everything() -> None:
    # Guards against a filter that shows another workspace's events.
    emits = [
        Emit("a", request_id="r1", workspace="w1"),
        Emit("b", request_id="r1", workspace="w2", upstream="u"),
        Emit("c", change_id="c1"),
    ]
    events = [TimelineEvent(1.0, n, NodeId("n"), emit) for n, emit in enumerate(emits)]

    def kinds(**wanted: str) -> str:
        return "".join(e.event.kind for e in filter(timeline.event_filter(**wanted), events))

    assert kinds() == "abc"
    assert kinds(request_id="r1") == "ab"
    assert kinds(request_id="r1", workspace="w2") == "b"
    assert kinds(upstream="u") == "b"
    assert kinds(change_id="c1") == "c"


def test_an_event_is_one_line_whatever_its_fields_hold() -> None:
    # Guards against lines that a caller forges with control characters in a field.
    emit = Emit("refused", request_id="r1", workspace="a\nb", detail=(("wait_ms", 3.5),))
    line = timeline.render(TimelineEvent(1_500.25, 2, NodeId("n1"), emit))
    assert line == "1970-01-01T00:00:01.500Z+2 n1 refused request=r1 workspace=a b wait_ms=3.5"
