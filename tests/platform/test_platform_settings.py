"""Tests of the platform's settings file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure

from goldcrestridge_platform.cmdline import EXIT_SETTINGS, EXIT_USAGE, main
from goldcrestridge_platform.settings import control_settings, gateway_settings, load_settings

SETTINGS: dict[str, Any] = {
    "node": "edge-1",
    "ip": "10.1.0.19",
    "zone": "a",
    "listen": {"front": "10.1.0.19:8227", "ready": "10.1.0.19:8220", "control": "10.1.0.19:8229"},
    "port_range": [7340, 7355],
    "seeds": ["10.1.0.19:8229", "10.2.0.36:8229"],
    "bootstrap": True,
    "data_dir": None,
    "tolerate": {"machines": 2},
    "bounds": {"grace_s": 8, "revoke_strict": True, "revoke_ms": 5000, "retry_ratio": 0.2},
    "cloud": {"address": "10.200.0.61:8223", "rate_per_s": 47.0},
    "new_field": [1, 2],
}


def write(path: Path, **changes: Any) -> Path:
    file = path / "settings.json"
    file.write_text(json.dumps({**SETTINGS, **changes}))
    return file


def test_control_nodes_are_identified_by_their_address_for_messages(tmp_path: Path) -> None:
    # Guards against nodes that contact each other at the port for operators.
    file = load_settings(write(tmp_path)).unwrap()
    control = control_settings(file, None)
    assert control.seeds == ("10.1.0.19:7340", "10.2.0.36:7340")
    assert control.node == "10.1.0.19:7340"
    assert (control.target_voters, control.data_folder, control.bootstrap) == (5, None, True)
    assert gateway_settings(file, None).node == "10.1.0.19:7341"


def test_the_key_lease_is_shorter_than_the_bound_on_revoked_keys(tmp_path: Path) -> None:
    # Guards against a request with a revoked key that runs after the bound.
    file = load_settings(write(tmp_path)).unwrap()
    assert 2_500 <= gateway_settings(file, None).key_lease_ms <= 4_500
    assert 1_000 <= gateway_settings(file, None).max_route_lag_ms <= 1_500
    short = {"revoke_strict": True, "revoke_ms": 800}
    file = load_settings(write(tmp_path, bounds=short)).unwrap()
    assert gateway_settings(file, None).key_lease_ms < 800


@pytest.mark.parametrize("content", [b"", b"node: yaml", b'{"ip": 3}', b"\xff"])
def test_an_invalid_file_is_reported(tmp_path: Path, content: bytes) -> None:
    # Guards against a process that starts with default settings if its file is invalid.
    file = tmp_path / "settings.json"
    file.write_bytes(content)
    assert isinstance(load_settings(file), Failure)
    assert main(["entry", f"--settings={file}"]) == EXIT_SETTINGS


def test_the_command_line_checks_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    # Guards against a check that starts a node, and against an error with exit code 0.
    assert main(["check", f"--settings={write(tmp_path)}"]) == 0
    assert "10.2.0.36" in capsys.readouterr().out
    assert main(["nonsense"]) == EXIT_USAGE
    assert main(["check", f"--settings={tmp_path / 'missing'}"]) == EXIT_SETTINGS


def test_the_time_for_which_a_leaving_upstream_serves_is_read(tmp_path: Path) -> None:
    # Guards against a last resort that is used for longer than upstreams go on serving.
    file = load_settings(write(tmp_path, bounds={"drain_ms": 4_000})).unwrap()
    assert gateway_settings(file, None).upstream_drain_ms == 4_000.0


def test_duties_are_held_only_where_the_platform_names_them(tmp_path: Path) -> None:
    # Guards against calls that the platform does not expect.
    plain = control_settings(load_settings(write(tmp_path)).unwrap(), None)
    assert (plain.usage_window_ms, plain.orders_upstreams) == (0.0, False)
    bounds = {"usage_window_s": 5, "lease_ms": 3000}
    cloud = {"address": "10.200.0.61:8223", "duties": ["usage", "autoscale", "unheard"]}
    file = load_settings(write(tmp_path, bounds=bounds, cloud=cloud)).unwrap()
    control = control_settings(file, None)
    assert (control.holder, control.duty_lease_ms) == ("edge-1", 3_000.0)
    assert (control.usage_window_ms, control.orders_upstreams) == (5_000.0, True)
    assert gateway_settings(file, None).usage_window_ms == 5_000.0


@pytest.mark.parametrize(
    "changes",
    [
        {"seeds": ["10.1.0.19:8229", ""]},
        {"seeds": ["10.1.0.19:99999"]},
        {"seeds": ["name:8229"]},
        {"seeds": ["10.1.0.19:0"]},
        {"port_range": [7340, 70_000]},
        {"port_range": [10**30, 1]},
        {"ip": "10.1.0"},
    ],
    ids=str,
)
def test_addresses_that_no_message_can_be_sent_to_are_refused(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    # Guards against a process that ends at its next message after such a file was read again.
    assert isinstance(load_settings(write(tmp_path, **changes)), Failure)


def test_a_file_with_deep_nesting_is_refused(tmp_path: Path) -> None:
    # Guards against a process that ends while it reads its settings again.
    file = tmp_path / "settings.json"
    file.write_text('{"new_field":' + "[" * 100_000)
    assert isinstance(load_settings(file), Failure)
