"""Tests of the report on requests from the logs of entry nodes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from goldcrestridge_cli import cmdline
from goldcrestridge_cli.request_report import Fate, read_requests


def line(outcome: str = "passed_on", **fields: Any) -> str:
    record = {
        "event": "request",
        "timestamp": "2026-12-04T10:00:01.250000Z",
        "route": "digest",
        "outcome": outcome,
        "first_ms": 150.0,
        "took_ms": 900.0,
        "longest_gap_ms": 80.0,
        "target_ms": 400,
        "max_gap_ms": 200,
        "attempts": ["i-1 answered 900ms"],
        **fields,
    }
    return json.dumps(record)


def denied(wait_ms: int, cause: str = "prefill") -> str:
    reason = f"none of 2 engines can start in 1200 ms, {cause}, asked i-1 i-2"
    return line("refused", first_ms=None, attempts=[f"i-1 denied {wait_ms}ms {reason}"])


def fates(*lines: str) -> dict[Fate, int]:
    summaries, _ = read_requests(lines)
    return dict(summaries["digest"].total)


def test_each_request_has_the_fate_that_its_caller_saw() -> None:
    # Guards against late answers that count as on time, above all those that are late for a gap.
    found = fates(
        line(),
        line(first_ms=401.0),
        line(longest_gap_ms=201.0),
        line(first_ms=None, took_ms=399.0),
        line(first_ms=None, took_ms=401.0),
        line("refused"),
        line("failed"),
        line("broken_off"),
        line("caller_gone"),
        line(first_ms=9_000.0, longest_gap_ms=9_000.0, target_ms=0, max_gap_ms=0),
    )
    assert found == {
        Fate.ON_TIME: 3,
        Fate.LATE_FIRST_EVENT: 2,
        Fate.LATE_GAP: 1,
        Fate.REFUSED: 1,
        Fate.FAILED: 2,
        Fate.CALLER_GONE: 1,
    }


def test_refusals_are_told_apart_by_cause_and_forecast() -> None:
    # Guards against refusals with room in the forecast that can't be told from an overload.
    lines = [denied(1_500), denied(192), denied(900, "oldest"), line("refused", reason="not_ready")]
    summaries, _ = read_requests(lines)
    assert summaries["digest"].refusals == {
        "engines busy (prefill, forecast over the longest wait)": 1,
        "engines busy (prefill, forecast within the longest wait)": 1,
        "engines busy (oldest, forecast within the longest wait)": 1,
        "not_ready": 1,
    }


def test_retries_transfers_and_the_upstreams_of_late_answers_are_counted() -> None:
    # Guards against refused searches that count as retries.
    summaries, _ = read_requests(
        [
            line(attempts=["i-1 unknown 20ms reset", "i-2 answered 90ms"], first_ms=500.0),
            line(attempts=["i-1 denied 90ms none of 2", "i-2 answered 90ms"], fetches=["i-3 6000"]),
        ]
    )
    summary = summaries["digest"]
    assert (summary.retried, summary.fetched) == (1, 1)
    assert summary.late_by_engine == {"late_first_event i-2": 1}


def test_the_command_reports_by_second_and_skips_what_is_no_log_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a log of which one bad line hides the rest.
    log = tmp_path / "entry.log"
    later = line(timestamp="2026-12-04T10:00:02.000000Z")
    other = json.dumps({"event": "node_started", "timestamp": "2026-12-04T10:00:00Z"})
    log.write_text("\n".join(["12.5 vm-1 " + line(), later, other, "cut {", '{"event": 7}']))
    assert cmdline.main(["requests", "--json", str(log)]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["skipped_lines"] == 2
    seconds = report["routes"]["digest"]["seconds"]
    assert seconds == {"10:00:01": {"on_time": 1}, "10:00:02": {"on_time": 1}}
    assert cmdline.main(["requests", "--by-second", str(log)]) == 0
    assert "10:00:02" in capsys.readouterr().out


def test_a_log_that_is_missing_or_empty_is_a_clear_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against an empty report that reads as "no requests failed".
    assert cmdline.main(["requests", str(tmp_path / "nowhere.log")]) == 2
    assert "can't be read" in capsys.readouterr().err
    (tmp_path / "empty.log").write_text("")
    assert cmdline.main(["requests", str(tmp_path / "empty.log")]) == 1
    assert "no requests" in capsys.readouterr().err
