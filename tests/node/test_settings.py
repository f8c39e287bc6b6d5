"""Tests of node settings: which ones are rejected, and with which message."""

from __future__ import annotations

from typing import Any

import pytest

from goldcrestridge_node.settings import parse_settings


def table(**changes: Any) -> dict[str, Any]:
    """Return valid settings of an entry node with some keys replaced."""
    base: dict[str, Any] = {
        "format": 1,
        "node": "n1",
        "data_centre": "east",
        "roles": ["entry"],
        "peer_address": "127.0.0.1:7000",
        "caller_address": "127.0.0.1:8000",
        "peers": {"r1": {"address": "127.0.0.1:7001", "replica": True}},
    }
    return {**base, **changes}


def test_valid_settings_give_the_replicas() -> None:
    # Guards against a replica set without the node itself.
    assert parse_settings(table(), "n.toml").unwrap().replicas == ("r1",)
    own = table(roles=["replica"], data_folder="data", peers={})
    assert parse_settings(own, "n.toml").unwrap().replicas == ("n1",)


@pytest.mark.parametrize(
    ("changes", "key", "reason"),
    [
        ({"roles": ["entry", "judge"]}, "roles", "'judge' is not a role"),
        ({"format": 9}, "format", "not supported"),
        ({"peer_address": "localhost:1"}, "peer_address", "not an IP address"),
        ({"peer_address": "127.0.0.1:x"}, "peer_address", "not an IP address"),
        ({"caller_address": ""}, "caller_address", "must be a string"),
        ({"roles": ["replica"], "peers": {}}, "data_folder", "needs a data folder"),
        ({"peers": {"n1": {"address": "127.0.0.1:1"}}}, "peers.n1", "own peers"),
        ({"peers": {}}, "peers", "odd number"),
        ({"curve": {"public_key": "k"}}, "curve", "Both"),
        ({"extra": 1}, "extra", "unknown"),
        ({"drain_deadline_s": 1}, "drain_deadline_s", "drain_deadline_ms"),
    ],
)
def test_invalid_settings_give_an_error_with_their_key(
    changes: dict[str, Any], key: str, reason: str
) -> None:
    # Guards against a node that starts with settings that it does not support.
    errors = parse_settings(table(**changes), "n.toml").failure()
    assert any(error.key == key and reason in error.reason for error in errors), errors
