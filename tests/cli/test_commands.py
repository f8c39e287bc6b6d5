"""Tests of the operator commands against a server with scripted responses."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from goldcrestridge_cli import cmdline
from goldcrestridge_cli.changes import iter_changes

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "ebube")

Responses = dict[str, tuple[int, Any]]


@pytest.fixture
def serve() -> Iterator[Callable[[Responses], tuple[str, list[dict[str, Any]]]]]:
    """Start servers that respond by "METHOD path" and record the bodies of POST requests."""
    servers: list[ThreadingHTTPServer] = []

    def start(responses: Responses) -> tuple[str, list[dict[str, Any]]]:
        posted: list[dict[str, Any]] = []

        class Handler(BaseHTTPRequestHandler):
            def _respond(self) -> None:
                size = int(self.headers.get("content-length", 0))
                if size:
                    posted.append(json.loads(self.rfile.read(size)))
                status, body = responses[f"{self.command} {self.path.split('?')[0]}"]
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("content-length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _respond  # noqa: N815

            def log_message(self, *_args: object) -> None:
                """Suppress the access log."""

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        servers.append(server)
        Thread(target=server.serve_forever, daemon=True).start()
        return f"http://127.0.0.1:{server.server_port}", posted

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def member(node: str, url: str, state: str = "alive") -> dict[str, Any]:
    return {"node": node, "state": state, "admin_address": url.removeprefix("http://")}


def test_a_conflict_has_its_own_exit_code_and_names_the_version(
    serve: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against exit code 0 for a change that lost a race against another one.
    responses = {
        "GET /v1/config": (200, {"version": 4, "document": None}),
        "POST /v1/config": (200, {"status": "conflict", "version": 5, "digest": "", "detail": "x"}),
    }
    url, posted = serve(responses)
    assert cmdline.main(["apply", EXAMPLE, f"--node={url}"]) == 3
    assert posted[0]["base_version"] == 4
    assert "version 5 is in force" in capsys.readouterr().out


def test_a_lost_response_reports_how_to_send_the_same_change_again(
    serve: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a second change that is created because the first response was lost.
    url, _ = serve({"POST /v1/config": (503, {"error": "No quorum."})})
    arguments = ["apply", EXAMPLE, f"--node={url}", "--change-id=c-1", "--base-version=2"]
    assert cmdline.main(arguments) == 4
    assert "--change-id c-1 --base-version 2" in capsys.readouterr().err


def test_apply_with_wait_names_the_nodes_that_are_behind(
    serve: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a report that the version is in force while a live node has an older version
    # or is unreachable.
    current, _ = serve({"GET /v1/version": (200, {"version": 6})})
    older, _ = serve({"GET /v1/version": (200, {"version": 5})})
    members = [
        member("a", current),
        member("b", older),
        member("c", "http://127.0.0.1:1"),
        member("d", older, "dead"),
    ]
    responses = {
        "POST /v1/config": (200, {"status": "accepted", "version": 6, "digest": "", "detail": ""}),
        "GET /v1/status": (200, {"members": members}),
    }
    url, _ = serve(responses)
    arguments = ["apply", EXAMPLE, f"--node={url}", "--base-version=5", "--wait=0"]
    assert cmdline.main(arguments) == 6
    assert "not in force on b, c after" in capsys.readouterr().out


def test_a_refused_key_has_its_own_exit_code(serve: Any) -> None:
    # Guards against a refused key that is reported as an unreachable node.
    url, _ = serve({"GET /v1/status": (401, {"error": "The operator key is unknown."})})
    assert cmdline.main(["status", f"--node={url}"]) == 5


def test_every_command_accepts_its_options() -> None:
    # Guards against a usage pattern that rejects a documented option. Exit code 4 means that the
    # command line was parsed and the node was unreachable.
    common = ["--node=http://127.0.0.1:1", "--json"]
    for command in (["diff", EXAMPLE], ["apply", EXAMPLE, "--wait=1"], ["status"], ["drain"]):
        assert cmdline.main([*command, *common]) == 4
    assert cmdline.main(["timeline", "--request=r", "--limit=5", *common]) == 4
    assert cmdline.main(["check", EXAMPLE, "--json"]) == 0


@pytest.mark.parametrize("limit", [0, 1, 2, 3])
def test_the_timeline_shows_at_most_as_many_events_as_asked_for(
    serve: Any, capsys: pytest.CaptureFixture[str], limit: int
) -> None:
    # Guards against a limit of 0 that shows all events.
    names = ("request_id", "workspace", "upstream", "change_id")
    events = [
        {"wall_ms": number, "counter": 0, "node": "a", "kind": f"kind-{number}", "detail": {}}
        | dict.fromkeys(names, "")
        for number in range(2)
    ]
    responses = {"GET /v1/timeline": (200, {"events": events}), "GET /v1/status": (200, {})}
    url, _ = serve(responses)
    responses["GET /v1/status"] = (200, {"members": [member("a", url)]})
    assert cmdline.main(["timeline", f"--limit={limit}", f"--node={url}", "--json"]) == 0
    shown = json.loads(capsys.readouterr().out)["events"]
    assert [event["kind"] for event in shown] == ["kind-0", "kind-1"][max(0, 2 - limit) :]


def test_an_unreachable_node_and_a_usage_error_have_their_own_exit_codes() -> None:
    # Guards against exit codes by which a script cannot distinguish the two.
    assert cmdline.main(["status", "--node=http://127.0.0.1:1"]) == 4
    assert cmdline.main(["frobnicate"]) == 2
    assert cmdline.main(["timeline", "--limit=x"]) == 2


def test_iter_changes_lists_added_removed_and_changed_leaves() -> None:
    # Guards against a difference that omits a removed section.
    old = {"a": {"x": 1, "y": 2}, "gone": {"k": 1}}
    new = {"a": {"x": 1, "y": 3}, "added": {"k": [1]}}
    assert [str(change) for change in iter_changes(old, new)] == [
        "~ a.y = 2 -> 3",
        "+ added.k = [1]",
        "- gone.k = 1",
    ]
