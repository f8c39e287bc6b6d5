"""Test of the least-loaded choice against a linear search."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import config, types
from goldcrestridge_core.choice_simple import LeastLoaded

UPSTREAMS = tuple(
    config.Upstream(types.UpstreamId(f"u{n}"), "a", "dc", slots)
    for n, slots in enumerate((1, 2, 4))
)
REQUEST = types.SlotRequest(
    types.RequestId("r"),
    1,
    types.NodeId("e"),
    types.ShardId("p/0"),
    "w",
    "",
    "c",
    "m",
    1,
    1,
    (),
    0.0,
    1.0,
)


def grant(upstream: types.UpstreamId, number: int) -> types.HeldGrant:
    return types.HeldGrant(REQUEST.request_id, 1, 1, number, upstream, "w", "", "c", "m", 1, 0)


def release(upstream: types.UpstreamId, number: int) -> types.SlotRelease:
    return types.SlotRelease(
        REQUEST.request_id,
        1,
        REQUEST.entry,
        REQUEST.shard,
        1,
        number,
        upstream,
        types.GrantEnd.COMPLETED,
    )


@given(st.lists(st.tuples(st.sampled_from(["take", "end", "leave"]), st.integers(0, 6))))
def test_the_least_loaded_upstream_is_chosen_and_slots_are_never_exceeded(
    steps: list[tuple[str, int]],
) -> None:
    # Guards against outdated heap entries that hide a free upstream or offer a full one.
    chooser = LeastLoaded()
    chooser.set_upstreams(UPSTREAMS)
    held = {u.name: 0 for u in UPSTREAMS}
    slots = {u.name: u.slots for u in UPSTREAMS}
    leaving: set[types.UpstreamId] = set()
    for number, (action, index) in enumerate(steps):
        name = UPSTREAMS[index % 3].name
        if action == "leave" and index == 6:
            leaving.add(name)
            chooser.mark_leaving(name, 0.0)
        elif action == "end" and held[name]:
            held[name] -= 1
            chooser.record_end(release(name, number), 0.0)
        elif action == "take":
            usable = [n for n in held if n not in leaving and n != name and held[n] < slots[n]]
            chosen = chooser.choose(evolve(REQUEST, excluded=(name,)), 1, 0.0)
            best = min(usable, key=lambda n: held[n] / slots[n], default=None)
            assert chosen == best
            if chosen is not None:
                held[chosen] += 1
                chooser.record_grant(grant(chosen, number), (), 1, 0.0)
        free = sum(slots[n] - held[n] for n in held if n not in leaving)
        assert chooser.free_slots(0.0) == free
