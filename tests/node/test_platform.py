"""Tests of the platform's VM list: mapping of addresses to nodes and upstreams."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
from returns.result import Failure

from goldcrestridge_core.config import Upstream
from goldcrestridge_core.member_types import Member, MemberState, PlatformList, PlatformVm
from goldcrestridge_core.types import NodeId, UpstreamId, UpstreamLeaving
from goldcrestridge_node.platform import PlatformPoller, read_listing


def member(name: str, address: str) -> Member:
    return Member(NodeId(name), 1, MemberState.ALIVE, "dc", address)


def upstream(name: str, address: str) -> Upstream:
    return Upstream(UpstreamId(name), address, "dc", 4)


def delivered_events(listing: dict[str, Any]) -> list[Any]:
    """Return the events that a list produces."""
    events: list[Any] = []
    ignore: Callable[[Any], None] = lambda _count: None  # noqa: E731
    platform = PlatformPoller(
        "http://127.0.0.1:1",
        lambda: [member("a", "10.0.0.1:7000"), member("b", "10.0.0.2:7000")],
        lambda: [upstream("u", "10.0.0.8:8000"), upstream("v", "10.0.0.9:8000")],
        events.append,
        ignore,
    )
    platform._deliver(read_listing(json.dumps(listing).encode()).unwrap())
    return events


def test_leaving_vms_are_reported_as_leaving_nodes_and_upstreams() -> None:
    # Guards against new requests for an upstream whose VM is listed as leaving.
    listing = {
        "lag_ms": 5_000,
        "vms": [
            {"address": "10.0.0.1", "state": "live"},
            {"address": "10.0.0.2:7000", "state": "leaving"},
            {"address": "10.0.0.9", "state": "leaving"},
        ],
    }
    assert delivered_events(listing) == [
        PlatformList((PlatformVm(NodeId("a")), PlatformVm(NodeId("b"), True)), 5_000),
        UpstreamLeaving(UpstreamId("v"), "platform_list"),
    ]


def test_an_empty_list_marks_no_node_or_upstream_as_leaving() -> None:
    # Guards against a platform fault that empties the deployment.
    assert delivered_events({"vms": []}) == [PlatformList((), 0.0)]


@pytest.mark.parametrize(
    "odd",
    [
        b'{"address":7,"state":"leaving"}',
        b"null",
        b'{"a":"\x01"}',
        b"\xff",
        b"[" * 9_000 + b"]" * 9_000,
    ],
    ids=lambda odd: str(odd[:8]),
)
def test_an_odd_entry_hides_no_other(odd: bytes) -> None:
    # Guards against a leaving VM that is not noticed because of an entry of another writer.
    sound = b'{"address":"10.0.0.9","state":"leaving"}'
    listing = read_listing(b'{"vms":[%s,%s],"lag_ms":7}' % (odd, sound)).unwrap()
    assert [(vm.address, vm.state) for vm in listing.vms] == [("10.0.0.9", "leaving")]
    assert listing.lag_ms == 7.0


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"vms":[],"lag_ms":"x"}', b'{"vms":[],"lag_ms":1e999}']
)
def test_a_list_that_cannot_be_read_is_a_failure(body: bytes) -> None:
    # Guards against treating an unreadable list as an empty one.
    assert isinstance(read_listing(body), Failure)
