"""Tests of address answers: several live nodes, evenly spread, the caller's data centre first."""

from __future__ import annotations

import math

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core.addresses import ANSWER_LENGTH, Addresses
from goldcrestridge_core.member_types import MemberDown, MemberLeaving, MemberState, MemberUp
from goldcrestridge_lab.carrier_members import member, node_id

CENTRES = ("dc0", "dc1", "dc2")


def record(number: int, centres: int) -> MemberUp:
    own = member(number, data_centre=CENTRES[number % centres])
    return MemberUp(evolve(own, caller_address=f"127.0.0.1:{number}"))


@given(
    st.lists(st.tuples(st.integers(1, 9), st.sampled_from(["up", "leaving", "down"])), max_size=40),
    st.text(max_size=8),
    st.sampled_from([*CENTRES, "", "elsewhere"]),
    st.integers(1, 3),
)
def test_answers_hold_only_live_nodes_and_prefer_the_data_centre_of_the_caller(
    steps: list[tuple[int, str]], caller: str, centre: str, centres: int
) -> None:
    # Guards against an answer with a leaving node, and against one with a single point of failure.
    addresses = Addresses(record(0, centres).member)
    live = {0}
    for number, step in steps:
        event = {"leaving": MemberLeaving(node_id(number)), "down": MemberDown(node_id(number))}
        addresses.handle(event.get(step, record(number, centres)), 0.0)
        live = live | {number} if step == "up" else live - {number}
    answer = addresses.answer(caller, centre, 30_000.0)
    named = [int(address.split(":")[1]) for address in answer.addresses]
    assert answer == addresses.answer(caller, centre, 30_000.0)
    assert len(set(named)) == len(named) == min(ANSWER_LENGTH, len(live))
    assert set(named) <= live
    known = {CENTRES[number % centres] for number in live}
    preferred = centre if centre in known else CENTRES[0]
    assert [CENTRES[number % centres] == preferred for number in named[:2]] == sorted(
        (CENTRES[number % centres] == preferred for number in named[:2]), reverse=True
    )
    assert any(CENTRES[number % centres] == preferred for number in named) == (preferred in known)
    if len(known) > 1 and len(named) == ANSWER_LENGTH:
        assert len({CENTRES[number % centres] for number in named}) > 1


@given(st.integers(2, 24), st.integers(0, 10**6))
def test_first_addresses_are_spread_within_the_stated_bound(nodes: int, salt: int) -> None:
    # Guards against a hash that favours some nodes, and against callers that change their first
    # address although its node still lives.
    addresses = Addresses(record(0, 1).member)
    for number in range(1, nodes):
        addresses.handle(record(number, 1), 0.0)
    callers = [f"caller-{salt}-{n}" for n in range(40 * nodes)]
    first = {c: addresses.answer(c, "dc0", 1.0).addresses[0] for c in callers}
    loads = [list(first.values()).count(address) for address in set(first.values())]
    assert max(loads) <= 40 + 5 * math.sqrt(40)
    leaving = record(nodes - 1, 1).member
    addresses.handle(MemberLeaving(leaving.node), 0.0)
    moved = [c for c in callers if addresses.answer(c, "dc0", 1.0).addresses[0] != first[c]]
    assert moved == [c for c in callers if first[c] == leaving.caller_address]


def test_a_member_that_is_not_a_live_entry_node_is_not_in_answers() -> None:
    # Guards against answers with control replicas, or with members that were already leaving when
    # they became known.
    addresses = Addresses(record(0, 1).member)
    other = record(1, 1).member
    addresses.handle(MemberUp(evolve(other, roles=("replica",))), 0.0)
    assert addresses.live() == [node_id(0)]
    addresses.handle(MemberUp(evolve(other, state=MemberState.LEAVING)), 0.0)
    assert addresses.live() == [node_id(0)]
