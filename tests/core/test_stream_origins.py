"""Tests of the origins of resumable streams, which entry nodes hold for each other."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import pytest
from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestridge_core.engine_types import EntriesChanged
from goldcrestridge_core.follow_types import StreamVersion, StreamVersionsReceived
from goldcrestridge_core.stream_origins import (
    BATCH_MS,
    KEPT_MS,
    MAX_KEPT,
    REPLY_TIMEOUT_MS,
    VERSIONS_INTERVAL_MS,
    VERSIONS_TIMEOUT_MS,
    FindOrigin,
    OriginFound,
    RecordOrigins,
    SeekStreamVersions,
    StreamBegan,
    StreamOrigin,
    StreamOrigins,
)
from goldcrestridge_core.types import NodeId, Receive, Send, Tick


def origin(request_id: str, version: str = "v1") -> StreamOrigin:
    return StreamOrigin(request_id, "s", "i", version)


def find(ticket: str, request_id: str) -> FindOrigin:
    return FindOrigin(ticket, request_id, "s")


@define(eq=False)
class Net:
    """Entry nodes with delayed messages; nodes in ``down`` receive and send nothing.

    ``versions`` is what the control leader knows; it does not answer nodes in ``cut_off``.
    """

    count: int
    seed: int = 1
    now_ms: float = 0.0
    down: set[NodeId] = field(factory=set)
    versions: tuple[StreamVersion, ...] | None = None
    cut_off: set[NodeId] = field(factory=set)
    found: dict[str, OriginFound] = field(factory=dict)
    sent: int = 0
    roles: dict[NodeId, StreamOrigins] = field(factory=dict)
    _events: list[tuple[float, int, NodeId, Any]] = field(factory=list)
    _order: Any = field(factory=itertools.count)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for node in self.nodes:
            self.restart(node)

    @property
    def nodes(self) -> tuple[NodeId, ...]:
        return tuple(NodeId(f"e{number}") for number in range(self.count))

    def restart(self, node: NodeId) -> None:
        """Start a node anew, with the list of all nodes and without any origin."""
        self.roles[node] = StreamOrigins(node)
        self.post(node, EntriesChanged(self.nodes))

    def post(self, node: NodeId, event: Any) -> None:
        if node in self.down:
            return
        role = self.roles[node]
        for effect in role.handle(event, self.now_ms):
            if isinstance(effect, OriginFound):
                self.found[effect.ticket] = effect
            elif isinstance(effect, Send):
                self.sent += 1
                at_ms = self.now_ms + self._rng.uniform(0.5, 3.0)
                self._push(at_ms, effect.to, Receive(node, effect.message))
            elif isinstance(effect, SeekStreamVersions) and node not in self.cut_off:
                answer = StreamVersionsReceived(self.versions, self.now_ms)
                self._push(self.now_ms + self._rng.uniform(1.0, 6.0), node, answer)
        deadline_ms = role.next_deadline_ms()
        if deadline_ms is not None:
            self._push(max(self.now_ms, deadline_ms), node, Tick())

    def _push(self, at_ms: float, node: NodeId, event: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), node, event))

    def run(self, lasts_ms: float) -> None:
        until_ms = self.now_ms + lasts_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, node, event = heapq.heappop(self._events)
            self.post(node, event)
        self.now_ms = until_ms

    def find(self, node: NodeId, request_id: str) -> OriginFound:
        """Find an origin at a node; the answer must come within the timeouts."""
        ticket = f"t{next(self._order)}"
        self.post(node, find(ticket, request_id))
        until_ms = self.now_ms + REPLY_TIMEOUT_MS + VERSIONS_TIMEOUT_MS
        while ticket not in self.found and self.now_ms < until_ms:
            self.run(1.0)
        return self.found[ticket]


def test_every_node_finds_the_origin_of_a_stream_that_began_at_a_lost_node() -> None:
    # Guards against a caller that can't take its stream up since the node that began it is gone.
    net = Net(12)
    first = net.nodes[0]
    net.post(first, StreamBegan(origin("r")))
    net.run(BATCH_MS + 5.0)
    net.down.add(first)
    for node in net.nodes[1:]:
        assert net.find(node, "r").origin == origin("r")


def test_most_origins_are_found_after_half_of_the_nodes_were_killed_at_once() -> None:
    # Guards against copies that are lost together, so that most streams can't be taken up.
    net = Net(12)
    rng = random.Random(5)
    for number in range(400):
        net.post(rng.choice(net.nodes), StreamBegan(origin(f"r{number}")))
    net.run(BATCH_MS + 5.0)
    for node in net.nodes[::2]:
        net.restart(node)
    found = [net.find(net.nodes[1], f"r{number}").origin for number in range(400)]
    assert sum(item is not None for item in found) >= 0.8 * 400
    assert all(item is None or item == origin(f"r{number}") for number, item in enumerate(found))


def test_an_origin_is_found_after_new_nodes_changed_the_order() -> None:
    # Guards against a search among the new nodes alone.
    net = Net(6)
    for number in range(200):
        net.post(net.nodes[0], StreamBegan(origin(f"r{number}")))
    net.run(BATCH_MS + 5.0)
    net.count = 8
    for node in net.nodes:
        if node not in net.roles:
            net.restart(node)
        net.post(node, EntriesChanged(net.nodes))
    net.down.add(net.nodes[0])
    found = [net.find(net.nodes[7], f"r{number}").origin for number in range(200)]
    assert sum(item is not None for item in found) >= 0.95 * 200


def test_an_unknown_origin_is_told_apart_from_one_that_a_silent_node_may_hold() -> None:
    # Guards against a caller that is told to begin anew although it may take its stream up soon,
    # and against one that is told to try again for nothing.
    net = Net(12)
    assert net.find(net.nodes[0], "unheard") == OriginFound("t0", None, complete=True)
    net.down.update(net.nodes[1:])
    answer = net.find(net.nodes[0], "unheard")
    assert (answer.origin, answer.complete) == (None, False)
    net.down.clear()
    net.cut_off.add(net.nodes[0])
    assert not net.find(net.nodes[0], "unheard").complete


def test_origins_are_dropped_after_their_time_and_beyond_a_number() -> None:
    # Guards against memory that grows with each stream.
    role = StreamOrigins(NodeId("e"))
    many = tuple(origin(f"r{number}") for number in range(MAX_KEPT + 10))
    role.handle(Receive(NodeId("x"), RecordOrigins(many)), 0.0)
    assert role.handle(find("t", "r0"), 1.0) == [SeekStreamVersions()]
    newest = f"r{MAX_KEPT}"
    assert role.handle(find("n", newest), 1.0) == [OriginFound("n", origin(newest), True)]
    assert role.handle(find("late", newest), KEPT_MS) == [
        OriginFound("t", None, complete=False),
        SeekStreamVersions(),
    ]
    role.handle(Receive(NodeId("x"), RecordOrigins((origin("r"),))), KEPT_MS)
    assert len(role._held) == 1


def test_the_origins_of_many_streams_share_their_messages() -> None:
    # Guards against three messages for each stream under load.
    net = Net(12)
    for number in range(100):
        net.post(net.nodes[0], StreamBegan(origin(f"r{number}")))
    net.run(BATCH_MS + 5.0)
    assert net.sent <= len(net.nodes)


@settings(max_examples=30)
@given(
    st.integers(0, 1_000),
    st.lists(
        st.tuples(
            st.sampled_from(["begin", "find", "down", "up", "restart"]),
            st.integers(0, 5),
            st.integers(0, 8),
        ),
        max_size=40,
    ),
)
def test_no_node_ever_finds_another_origin_than_the_one_recorded(
    seed: int, steps: list[tuple[str, int, int]]
) -> None:
    # Guards against events of two versions in one stream after lost, late or repeated messages.
    net = Net(6, seed)
    recorded: dict[str, StreamOrigin] = {}
    for action, node_number, stream in steps:
        node, name = net.nodes[node_number], f"r{stream}"
        if action == "begin" and name not in recorded and node not in net.down:
            recorded[name] = origin(name, f"v{stream % 3}")
            net.post(node, StreamBegan(recorded[name]))
        elif action == "find" and node not in net.down:
            assert net.find(node, name).origin in (None, recorded.get(name))
        elif action == "down":
            net.down.add(node)
        elif action == "up":
            net.down.discard(node)
        elif action == "restart":
            net.restart(node)
        net.run(4.0)


@pytest.mark.parametrize("request_id", ["", "r"])
def test_a_search_without_an_attempt_or_without_other_nodes_asks_the_leader_at_once(
    request_id: str,
) -> None:
    # Guards against a caller that waits for nodes that can't know its stream.
    role = StreamOrigins(NodeId("e"))
    role.handle(EntriesChanged((NodeId("e"),)), 0.0)
    assert role.handle(find("t", request_id), 0.0) == [SeekStreamVersions()]
    answer = StreamVersionsReceived(None, 0.0)
    assert role.handle(answer, 3.0) == [OriginFound("t", None, complete=True)]


@pytest.mark.parametrize("request_id", ["", "lost"])
def test_a_stream_goes_on_at_the_only_version_that_live_streams_began_at(request_id: str) -> None:
    # Guards against a caller that names no attempt, or whose origin was lost with all entry nodes,
    # and can't take its stream up although all upstreams have always run one version.
    net = Net(6)
    net.versions = (StreamVersion("s", "v1", "m:3"),)
    expected = StreamOrigin(request_id, "s", "", "v1", "m:3")
    assert net.find(net.nodes[0], request_id).origin == expected


@pytest.mark.parametrize(
    "versions",
    [
        None,
        (),
        (StreamVersion("s", ""),),
        (StreamVersion("s", "v1"), StreamVersion("s", "v2")),
        (StreamVersion("s", "v1", "m:1"), StreamVersion("s", "v1", "m:2")),
        (StreamVersion("other", "v1"), StreamVersion("s", "v1")),
    ],
    ids=["unknown", "none", "no name", "software", "weights", "service"],
)
def test_nothing_is_inferred_if_streams_may_have_begun_at_several_versions(
    versions: tuple[StreamVersion, ...] | None,
) -> None:
    # Guards against a stream that goes on at other software, at other weights, or at the service
    # to which its route was moved.
    net = Net(6)
    net.versions = versions
    assert net.find(net.nodes[0], "lost") == OriginFound("t0", None, complete=True)


def test_nothing_is_inferred_from_what_the_leader_knew_before_the_caller_came() -> None:
    # Guards against a stream that began at a version that came into use since.
    role = StreamOrigins(NodeId("e"))
    only = (StreamVersion("s", "v1"),)
    role.handle(StreamVersionsReceived(only, 5.0), 8.0)
    assert role.handle(find("t", "lost"), 10.0) == [SeekStreamVersions()]
    assert role.handle(StreamVersionsReceived(only, 9.0), 12.0) == []
    both = (*only, StreamVersion("s", "v2"))
    assert role.handle(StreamVersionsReceived(both, 10.0), 14.0) == [
        OriginFound("t", None, complete=True)
    ]


@pytest.mark.parametrize("seed", range(5))
def test_a_node_that_is_cut_off_infers_nothing(seed: int) -> None:
    # Guards against a node with an old list that takes silence for agreement.
    net = Net(6, seed)
    net.versions = (StreamVersion("s", "v1"),)
    net.down.update(net.nodes[1:])
    net.cut_off.update(net.nodes)
    for request_id in ("", "lost"):
        found = net.find(net.nodes[0], request_id)
        assert (found.origin, found.complete) == (None, False)


def test_many_callers_that_come_back_at_once_share_requests_to_the_leader() -> None:
    # Guards against a request to the leader for each stream after a restart of all entry nodes.
    role = StreamOrigins(NodeId("e"))
    asked = [
        effect
        for number in range(200)
        for effect in role.handle(find(f"t{number}", ""), number * VERSIONS_INTERVAL_MS / 100)
    ]
    assert asked == [SeekStreamVersions()] * 2
    assert role.next_deadline_ms() is not None


def test_the_stream_of_a_caller_without_a_request_id_is_not_that_of_one_that_names_no_attempt() -> (
    None
):
    # Guards against a caller that names no attempt, and gets the origin of another stream, whose
    # caller sent no id.
    net = Net(4)
    net.post(net.nodes[0], StreamBegan(origin("")))
    net.post(net.nodes[1], Receive(net.nodes[0], RecordOrigins((origin(""),))))
    net.run(1_000.0)
    assert [net.find(node, "").origin for node in net.nodes] == [None] * 4
