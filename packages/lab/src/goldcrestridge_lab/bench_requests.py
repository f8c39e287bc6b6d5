"""Measure complete nodes while an engine, an entry node and a shard owner crash."""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptHead,
    CallKind,
    RespondEnd,
)
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.types import LoadReport, NodeId, UpstreamId
from goldcrestridge_lab import measure, traffic
from goldcrestridge_lab.engine import Engine, EngineSpec, Finished, FirstToken, Job, Lost
from goldcrestridge_lab.keys import uuid7
from goldcrestridge_lab.node_config import (
    CLASSES,
    ENGINES,
    WALL_START_MS,
    WORKSPACES,
    completion_call,
    service_call,
)
from goldcrestridge_lab.node_fleet import ENGINE_SHARD, Fleet, new_fleet
from goldcrestridge_lab.node_machine import check_settled
from goldcrestridge_lab.node_oracle import Caller, Run
from goldcrestridge_lab.node_upstreams import Upstreams

SEEDS = 5
LONG_SEEDS = 20
SLOTS = 8
LOAD_MS = 40_000.0
CRASH_AT_MS = 15_000.0  # Time of the first crash; the others follow at intervals of CRASH_GAP_MS.
CRASH_GAP_MS = 2_000.0
ARRIVALS_PER_S = 8.0
ORDER_SHARE = 0.2  # Share of plain requests with an idempotency key.
OUTPUT = traffic.Lengths(60.0, 0.6, 4, 600)
CHUNK_INTERVAL_MS = 100.0  # The entry node receives the tokens of this time as one chunk.


@define
class EngineUpstreams(Upstreams):
    """Upstreams that run the engine model for engines and the script for plain services.

    ``jobs`` holds the run of each engine job and the number of tokens sent so far.
    ``output_tokens`` counts the tokens of all jobs that have ended, lost ones included.
    """

    engines: dict[UpstreamId, Engine] = field(factory=dict)
    jobs: dict[str, tuple[Run, int]] = field(factory=dict)
    output_tokens: int = 0
    next_chunk_ms: float = 0.0

    def next_ms(self) -> float | None:
        """Return the time of the next event."""
        times = [engine.next_ms() for engine in self.engines.values()]
        times += [self.scheduled[0][0]] if self.scheduled else []
        times += [self.next_chunk_ms] if self.jobs else []
        return min(times)

    def pop_event(self, now_ms: float) -> tuple[Run, Any] | None:
        """Advance the engines and return the next event that an entry node receives now, if any."""
        for engine in self.engines.values():
            for event in engine.advance(now_ms):
                if isinstance(event, FirstToken):
                    self._send(event.job_id, 1, now_ms)
                elif isinstance(event, Finished):
                    self._finish(event, now_ms)
        if now_ms >= self.next_chunk_ms:
            self.next_chunk_ms = now_ms + CHUNK_INTERVAL_MS
            for job_id, (run, _) in list(self.jobs.items()):
                self._send(
                    job_id, self.engines[run.start.upstream].job_output_tokens(job_id), now_ms
                )
        return Upstreams.pop_event(self, now_ms)

    def cancel_inactive(self, now_ms: float) -> None:
        """Cancel the engine jobs that their entry node has cancelled or lost in a crash."""
        for job_id, (run, _) in list(self.jobs.items()):
            if not run.active:
                del self.jobs[job_id]
                engine = self.engines[run.start.upstream]
                engine.advance(now_ms)
                self.output_tokens += engine.cancel(job_id, now_ms)

    def crash(self, name: UpstreamId, now_ms: float) -> None:
        """Fail all jobs of an engine and refuse new connections to it."""
        self.down.add(name)
        engine = self.engines[name]
        engine.advance(now_ms)
        for event in engine.crash(now_ms):
            if isinstance(event, Lost):
                self.output_tokens += event.output_tokens
                run, _ = self.jobs.pop(event.job_id)
                self._fail(run, now_ms, "reset")

    def report(self, name: UpstreamId) -> LoadReport:
        """Return the load report of an upstream."""
        engine = self.engines.get(name)
        if engine is None:
            return Upstreams.report(self, name)
        return LoadReport(name, 0.0, engine.running, engine.waiting, SLOTS)

    def _serve(self, run: Run, now_ms: float) -> None:
        start = run.start
        if start.call.kind is CallKind.PLAIN:
            Upstreams._serve(self, run, now_ms)
            return
        job_id = f"{run.host}/{run.boot_number}/{start.request_id}/{start.attempt}"
        job = Job(
            job_id,
            start.call.prompt_tokens,
            run.caller.output_tokens,
            priority=start.priority,
            delivered_tokens=start.delivered_tokens,
        )
        engine = self.engines[start.upstream]
        engine.advance(now_ms)
        self.jobs[job_id] = (run, 0)
        engine.submit(job, now_ms)

    def _send(self, job_id: str, tokens: int, now_ms: float) -> None:
        """Send the tokens that were produced since the last chunk, up to ``tokens`` in total."""
        run, sent = self.jobs.get(job_id, (None, 0))
        if run is None or tokens <= sent:
            return
        ids = (run.start.request_id, run.start.attempt)
        if not sent:
            self._schedule(now_ms, run, AttemptHead(*ids, 200, ()))
            self._schedule(now_ms, run, AttemptChunk(*ids, b"R", opening=True))
        first = run.start.delivered_tokens
        text = "".join(run.caller.token_texts()[first + sent : first + tokens])
        chunk = AttemptChunk(*ids, text.encode(), text, tokens - sent)
        self._schedule(now_ms, run, chunk)
        self.jobs[job_id] = (run, tokens)

    def _finish(self, event: Finished, now_ms: float) -> None:
        self.output_tokens += event.output_tokens
        if event.job_id in self.jobs:
            self._send(event.job_id, event.output_tokens, now_ms)
            run, _ = self.jobs.pop(event.job_id)
            ids = (run.start.request_id, run.start.attempt)
            self._schedule(now_ms, run, AttemptChunk(*ids, b"F"))
            self._schedule(now_ms, run, AttemptEnd(*ids))


def _crash_next(fleet: Fleet, upstreams: EngineUpstreams, crash_index: int) -> None:
    """Crash an engine (index 0), an entry node (1) or the owner of the engine shard (2)."""
    cores = {name: host.core for name, host in fleet.hosts.items() if host.core is not None}
    owners = [name for name, core in cores.items() if ENGINE_SHARD in core.owners]
    if crash_index == 0:
        upstreams.crash(ENGINES[0], fleet.now_ms)
    elif crash_index == 1:
        fleet.crash(next(name for name in reversed(cores) if name not in owners))
    elif owners:
        fleet.crash(owners[0])


def _request(fleet: Fleet, rng: Random, number: int) -> None:
    hosts = [name for name, host in fleet.hosts.items() if host.core is not None]
    # Every choice draws from the generator once, whatever the number of running nodes, so that the
    # arrivals are the same with and without crashes.
    entry: NodeId = hosts[int(rng.random() * len(hosts))]
    workspace, tier = rng.choice(WORKSPACES), rng.randrange(len(CLASSES))
    tokens = OUTPUT.draw(rng)
    if rng.random() < ORDER_SHARE:
        key = uuid7(number, WALL_START_MS)
        fleet.request(entry, service_call(tier, workspace, key, repeatable=False))
    else:
        fleet.request(entry, completion_call(tier, workspace), tokens)


def _run_once(seed: int, crashes: bool) -> dict[str, float]:
    """Return the figures of one run.

    Raise InvariantError if an outcome violates an invariant of the oracle.
    """
    rng = Random(f"crash {seed}")
    specs = [EngineSpec(name, slots=SLOTS) for name in ENGINES]
    engines = {spec.name: Engine(spec, Random(f"{seed} {spec.name}")) for spec in specs}
    upstreams = EngineUpstreams(Random(seed), engines=engines)
    fleet = new_fleet(Random(seed), 2, upstreams, SLOTS)
    start_ms, crash_index, number = fleet.now_ms, 0, 0
    while fleet.now_ms < start_ms + LOAD_MS:
        fleet.run(rng.expovariate(ARRIVALS_PER_S) * MS_PER_SECOND)
        due_ms = start_ms + CRASH_AT_MS + crash_index * CRASH_GAP_MS
        if crashes and crash_index < 3 and fleet.now_ms >= due_ms:
            _crash_next(fleet, upstreams, crash_index)
            crash_index += 1
        upstreams.cancel_inactive(fleet.now_ms)
        number += 1
        _request(fleet, rng, number)
    check_settled(fleet)
    upstreams.cancel_inactive(fleet.now_ms)
    return _figures(fleet, upstreams)


def _figures(fleet: Fleet, upstreams: EngineUpstreams) -> dict[str, float]:
    callers = list(fleet.oracle.callers.values())
    completions = [caller for caller in callers if caller.call.kind is CallKind.COMPLETION]
    completed = [
        c for c in completions if c.final_responses and isinstance(c.final_responses[0], RespondEnd)
    ]
    core = next(host.core for host in fleet.hosts.values() if host.core is not None)
    figures: dict[str, float] = {}
    for name, cls in core.cfg.classes.items():
        in_class = [c for c in completions if c.call.class_name == name]
        met = [c for c in in_class if c in completed and _meets_target(c, cls.target)]
        figures[f"attainment_{name}_share"] = len(met) / max(1, len(in_class))
    useful_tokens = sum(c.output_tokens for c in completed)
    prompt_tokens = sum(c.call.prompt_tokens for c in completed)
    processed_tokens = upstreams.output_tokens + sum(
        engine.prefilled_tokens for engine in upstreams.engines.values()
    )
    figures["goodput_tokens_per_s"] = useful_tokens * MS_PER_SECOND / LOAD_MS
    figures["wasted_tokens"] = processed_tokens - useful_tokens - prompt_tokens
    figures["broken_connections"] = sum(c.disconnected for c in callers)
    figures["runs_per_key_max"] = _max_runs_per_key(fleet)
    return figures


def _meets_target(caller: Caller, target: Any) -> bool:
    inter_ms = (caller.ended_ms - caller.first_ms) / max(1, caller.output_tokens - 1)
    in_time = caller.first_ms - caller.arrived_ms <= target.first_token_ms
    return bool(in_time and inter_ms <= target.inter_token_ms)


def _max_runs_per_key(fleet: Fleet) -> int:
    counts: dict[str, int] = {}
    for run in fleet.oracle.runs:
        key = run.caller.call.key
        if key and run.may_have_reached():
            counts[key] = counts.get(key, 0) + 1
    return max(counts.values(), default=0)


def run(seed: int, long: bool) -> list[dict[str, Any]]:
    """Return the record policy.crash; its baseline is the same runs without crashes."""
    seeds = range(seed, seed + (LONG_SEEDS if long else SEEDS))
    params = {"seeds": len(seeds), "arrivals_per_s": ARRIVALS_PER_S, "load_ms": LOAD_MS}
    target = {"runs_per_key_max": 1, "false_outcomes": 0}
    baseline = [_run_once(run_seed, crashes=False) for run_seed in seeds]
    try:
        measured = [_run_once(run_seed, crashes=True) for run_seed in seeds]
    except InvariantError as exc:
        figures = {"broken_promise": str(exc)}
        return [
            measure.record(
                "policy.crash", seed, params, figures, measure.spreads(baseline), target, False
            )
        ]
    met = all(figures["runs_per_key_max"] <= 1 for figures in measured)
    return [
        measure.record(
            "policy.crash",
            seed,
            params,
            measure.spreads(measured),
            measure.spreads(baseline),
            target,
            met,
        )
    ]
