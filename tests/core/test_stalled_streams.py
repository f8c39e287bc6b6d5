"""Tests of slow and of stalled streams of pools, at the limits of an attempt."""

from __future__ import annotations

from attrs import evolve
from tests.core.fleet import make_call
from tests.core.test_request_cases import first_entry, run_until_started, start_fleet

from goldcrestridge_core.call_types import AttemptChunk
from goldcrestridge_core.progress import UPSTREAM_IDLE_TIMEOUT_MS
from goldcrestridge_node.upstream import UpstreamOptions


def test_a_slow_stream_with_output_is_not_cut() -> None:
    # Guards against a sound stream that is cut because it is slow, by the core or by the client of
    # the upstream, which must wait for longer.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), make_call())
    run = run_until_started(fleet, caller)
    while run.active:
        event = run.script[0]
        fleet.step(run, "next")
        with_output = isinstance(event, AttemptChunk) and event.text
        fleet.advance(UPSTREAM_IDLE_TIMEOUT_MS - 1_000.0 if with_output else 10.0)
    assert b"".join(caller.chunks) == caller.expected()
    assert UpstreamOptions().idle_timeout_ms > UPSTREAM_IDLE_TIMEOUT_MS
    assert UpstreamOptions().head_timeout_ms > UPSTREAM_IDLE_TIMEOUT_MS


def test_a_stalled_stream_that_sends_signs_of_life_ends() -> None:
    # Guards against a stream without output that never ends, since each chunk counted as progress.
    fleet = start_fleet(0)
    run = run_until_started(fleet, fleet.request(first_entry(fleet), make_call()))
    for _ in range(2):
        fleet.step(run, "next")
    ids = run.start.request_id, run.start.attempt
    ended_ms = fleet.now_ms + UPSTREAM_IDLE_TIMEOUT_MS
    while run.active and fleet.now_ms < 2.0 * ended_ms:
        fleet.event(run.entry, AttemptChunk(*ids, b"data: {}"))
        fleet.advance(5_000.0)
    assert not run.active
    assert fleet.now_ms <= ended_ms + 10_000.0


def test_a_plain_call_goes_on_while_bytes_arrive() -> None:
    # Guards against an answer of a plain service that is cut although it has no text to count.
    fleet = start_fleet(0)
    caller = fleet.request(first_entry(fleet), evolve(make_call(plain=True)))
    run = run_until_started(fleet, caller)
    while run.active:
        fleet.step(run, "next")
        fleet.advance(UPSTREAM_IDLE_TIMEOUT_MS - 1_000.0)
    assert len(caller.final_responses) == 1
