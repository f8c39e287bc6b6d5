"""Tests of the log writer and of the metrics endpoint."""

from __future__ import annotations

import fcntl
import os
from types import SimpleNamespace

import pytest

from goldcrestridge_core.types import Count
from goldcrestridge_node.logs import BURST_LINES, MAX_LINE_BYTES, LineWriter
from goldcrestridge_node.metrics import Metrics


def test_a_full_pipe_does_not_block_the_writer_and_dropped_lines_are_counted() -> None:
    # Guards against a process that blocks because nothing reads its log.
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4_096)
    lines = LineWriter(writer)
    for _ in range(100):
        lines.msg("x" * 500)
    dropped = lines.dropped_lines
    assert 0 < dropped < 100
    first = os.read(reader, 65_536)
    lines.msg("after")
    summary = os.read(reader, 65_536)
    assert first.count(b"\n") == 100 - dropped
    assert summary == b'{"event":"log_lines_left_out","count":%d}\nafter\n' % dropped
    os.close(reader)
    lines.msg("reader closed")
    os.close(writer)


def test_lines_over_the_rate_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a log whose volume grows without bound with the load. The clock is fixed, since
    # the bucket refills with time.
    monkeypatch.setattr("goldcrestridge_node.logs.time", SimpleNamespace(monotonic=lambda: 0.0))
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 1 << 20)
    lines = LineWriter(writer, refilled_s=0.0)
    for _ in range(int(BURST_LINES) * 2):
        lines.msg("x")
    assert lines.dropped_lines >= BURST_LINES * 0.9
    lines.msg("y" * 2 * MAX_LINE_BYTES)
    os.close(writer)
    with os.fdopen(reader, "rb") as stream:
        assert all(len(line) <= MAX_LINE_BYTES for line in stream)


def test_counters_and_durations_are_exported_at_every_scrape() -> None:
    # Guards against losing values that were recorded before OpenTelemetry was imported.
    metrics = Metrics()
    labels = (("route", "r1"),)
    metrics.record(Count("log_test_requests", 2, labels))
    metrics.record(Count("log_test_duration_ms", 30, labels))
    assert metrics.total("log_test_requests") == 2
    page = metrics.render().decode()
    assert 'log_test_requests_total{otel_scope_name="goldcrestridge"' in page
    metrics.record(Count("log_test_duration_ms", 50, labels))
    page = metrics.render().decode()
    count = next(
        line for line in page.splitlines() if "log_test_duration_ms" in line and "_count" in line
    )
    assert count.endswith(" 2.0")
