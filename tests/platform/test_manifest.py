"""Tests of the decoding and validation of the platform's manifest."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from returns.result import Failure, Success
from tests.core.test_control import SEEDS, formed_net

from goldcrestridge_core import codec
from goldcrestridge_core.follow_types import InstancesListed, UpstreamInstance
from goldcrestridge_core.routes import RouteKind
from goldcrestridge_core.versions import ReplaceDocument
from goldcrestridge_platform.manifest import read_manifest, scale_bounds, stream_services

MANIFEST: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 1500,
            "priority": 2,
            "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "max_gap_ms": 600,
        },
        {
            "name": "r2",
            "host": "H.example",
            "path_prefix": "/b/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "service": "s2",
            "attempts": 1,
        },
    ],
    "services": [
        {"name": "s1", "max_conns": 520, "engine": {"slots": 96, "kv_capacity": 221158}},
        {"name": "s2", "max_conns": 130},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
    "something_new": {"ignored": True},
}


def encode_manifest(**changes: Any) -> bytes:
    document = copy.deepcopy(MANIFEST)
    document.update(changes)
    return json.dumps(document).encode()


def encode_with_route(**changes: Any) -> bytes:
    document = copy.deepcopy(MANIFEST)
    document["routes"][1].update(changes)
    return json.dumps(document).encode()


def test_a_valid_document_becomes_a_route_table() -> None:
    # Guards against a field that is decoded into the wrong attribute.
    table = read_manifest(encode_manifest()).unwrap()
    assert table.version == 7
    first, second = table.routes
    assert (first.host, first.kind, first.resumable) == ("h.example", RouteKind.STREAM, True)
    assert (first.timeout_ms, first.target_latency_ms, first.max_gap_ms) == (5000, 1500, 600)
    assert second.kind is RouteKind.NON_IDEMPOTENT
    assert table.services["s1"].engine is not None
    assert table.services["s1"].engine.memory_tokens == 221158
    assert table.workspace_for_key("k2") is table.workspaces[0]
    assert table.limits.idle_timeout_ms == 15000


def test_an_unknown_kind_is_treated_as_non_idempotent() -> None:
    # Guards against running a request twice if a later platform adds a kind of route.
    table = read_manifest(encode_with_route(kind="new_kind")).unwrap()
    assert table.routes[1].kind is RouteKind.NON_IDEMPOTENT


INVALID = {
    "cut short": encode_manifest()[:-40],
    "not an object": b"[]",
    "unknown service": encode_with_route(service="nowhere"),
    "no service": encode_with_route(service=None),
    "same place": encode_with_route(path_prefix="/a/"),
    "no weight": encode_with_route(service=None, backends=[{"service": "s1", "weight": 0}]),
    "no timeout": encode_with_route(timeout_ms=0),
    "wrong type": encode_with_route(timeout_ms="long"),
    "no version": encode_manifest(version=None),
    "shared key": encode_manifest(
        tenants=[{"name": "t1", "api_keys": ["k"]}, {"name": "t2", "api_keys": ["k"]}]
    ),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_document_is_refused(name: str) -> None:
    # Guards against accepting an invalid version, which entry nodes would then use.
    checked = read_manifest(INVALID[name])
    assert isinstance(checked, Failure)
    assert checked.failure().endswith(".")


def test_all_errors_are_reported_together() -> None:
    # Guards against a failure that reports only the first error.
    failure = read_manifest(encode_with_route(service="nowhere", timeout_ms=0)).failure()
    assert "nowhere" in failure
    assert "timeout" in failure


def test_one_workspace_may_list_a_key_twice() -> None:
    # Guards against rejecting a valid document because of a repeated key.
    tenants = [{"name": "t1", "api_keys": ["k", "k"]}]
    assert isinstance(read_manifest(encode_manifest(tenants=tenants)), Success)


def test_the_cost_of_a_transfer_between_engines_is_read_from_the_settings() -> None:
    # Guards against transfers at a service whose engines don't offer them.
    engine = {"slots": 64, "kv_capacity": 600_000, "kv_token_bytes": 18_432, "link_mbps": 370_000.0}
    services = [{**MANIFEST["services"][0], "engine": engine}, *MANIFEST["services"][1:]]
    for changes, expected_ms in (
        ({}, 0.0004),
        ({"link_mbps": 0}, None),
        ({"kv_token_bytes": 0}, None),
    ):
        services[0]["engine"] = {**engine, **changes}
        limits = read_manifest(encode_manifest(services=services)).unwrap().services
        read = limits[services[0]["name"]].engine
        assert read is not None
        assert read.transfer_ms_per_token == pytest.approx(expected_ms, abs=1e-5)


def numbers_in(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all integers in a document."""
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        return [found for key, item in items for found in numbers_in(item, (*path, key))]
    return [path] if isinstance(value, int) and not isinstance(value, bool) else []


@pytest.mark.parametrize("path", numbers_in(MANIFEST), ids=str)
@pytest.mark.parametrize("number", [10**20, -(10**20), 2**63, 2**64])
def test_a_number_of_any_size_is_refused_or_can_be_used(path: tuple[Any, ...], number: int) -> None:
    # Guards against a version that ends the control nodes that store it, or the entry nodes that
    # use it, since messages between nodes hold 64 bits.
    document = copy.deepcopy(MANIFEST)
    place: Any = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = number
    read = read_manifest(json.dumps(document).encode())
    assert isinstance(read, Failure) or path[-1] in (
        "timeout_ms",
        "target_latency_ms",
        "max_gap_ms",
        "weight",
        "header_timeout_ms",
        "idle_timeout_ms",
    )
    codec.encode(ReplaceDocument(read.map(lambda table: table.version).value_or(0), b""))


@pytest.mark.parametrize("document", [b"", b"rubbish", encode_manifest(version=10**30)])
def test_a_document_of_another_release_has_no_streams_and_nothing_to_scale(document: bytes) -> None:
    # Guards against control nodes that end with the store still empty, or with a document that a
    # node of another release accepted.
    assert stream_services(document) == frozenset()
    assert scale_bounds(document) == ()


@pytest.mark.parametrize("seed", range(4))
def test_a_control_node_goes_on_when_its_replica_is_opened_again(seed: int) -> None:
    # Guards against a process that ends each time its replica is opened after a failed write: the
    # store is empty then, though the node has known a version.
    net = formed_net(seed)
    for node in SEEDS:
        net.nodes[node].version_log.stream_services = stream_services
    name = net.replace(SEEDS[0], 7, encode_manifest())
    net.run(3_000.0)
    assert net.answers[name].version == 7
    leader = net.leaders()[0]
    net.post(leader, InstancesListed((UpstreamInstance("i", "s1", "10.0.0.1:80", "z", 4, False),)))
    net.run(500.0)
    for node in (leader, *SEEDS):
        net.fail_disk(node)
        net.run(100.0)
        net.open_again(node)
        net.run(3_000.0)
    assert net.document_at(SEEDS[seed % 3]).version == 7
