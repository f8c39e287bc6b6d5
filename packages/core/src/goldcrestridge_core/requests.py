"""Request role of an entry node: each request from its arrival to its single final response."""

from __future__ import annotations

import enum
import heapq
import random
from collections.abc import Callable
from typing import Any

from attrs import define, field
from returns.result import Failure

from goldcrestridge_core.attempts import Answer, Timing
from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    Call,
    CallerGone,
    CallerRequest,
    CallKind,
    CancelAttempt,
    CutRequests,
    OwnerChanged,
    RequestsCut,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.config import Configuration, RequestClass, Upstream
from goldcrestridge_core.idempotency import (
    MAX_RECORDED_BYTES,
    ClaimClient,
    check_key,
    claim_failure,
    needs_claim,
)
from goldcrestridge_core.member_types import StartDrain
from goldcrestridge_core.progress import is_progress, upstream_idle_timeout_ms
from goldcrestridge_core.request_events import (
    arrival_event,
    outcome_count,
    refuse_arrival,
    timeline_event,
)
from goldcrestridge_core.retries import RetryBudget
from goldcrestridge_core.shards import pool_shards
from goldcrestridge_core.slots import Accepted, PendingRequest, SlotClient
from goldcrestridge_core.store_types import ClaimResult, ClaimState
from goldcrestridge_core.types import (
    Count,
    GrantEnd,
    NodeId,
    NotOwner,
    Outcome,
    ProposalDone,
    Reason,
    Receive,
    RequestId,
    ShardId,
    ShardSummary,
    SlotGrant,
    SlotRefusal,
    Tick,
    UpstreamId,
    UpstreamLeaving,
    UpstreamResting,
)

# Limit of attempts that no upstream accepted. Each costs one more round trip to the shard owner.
MAX_REROUTES = 8
# Limit of retries and continuations of attempts that may have run, within the retry budget.
MAX_RETRIES = 3
DEFAULT_RETRY_AFTER_MS = 1_000.0

_NO_UPSTREAM = UpstreamId("")

AttemptEvent = AttemptHead | AttemptChunk | AttemptEnd | AttemptFailed


class Phase(enum.Enum):
    """Phase of a request: waiting for its claim, for a slot, or for the upstream."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    RUNNING = "running"


@define
class InFlight:
    """A request between its arrival and its final response."""

    request_id: RequestId
    call: Call
    request_class: RequestClass
    shard: ShardId
    arrived_ms: float
    deadline_ms: float
    answer: Answer
    phase: Phase = Phase.WAITING
    attempt: int = 0
    upstream: UpstreamId = _NO_UPSTREAM
    excluded: tuple[UpstreamId, ...] = ()
    may_have_run: bool = False  # An earlier attempt may have sent data upstream.
    reroutes: int = 0
    retries: int = 0
    timing: Timing = field(factory=lambda: Timing(0.0))
    last_received_ms: float = 0.0
    recorded_chunks: list[bytes] = field(factory=list)
    recorded_bytes: int = 0
    discarded_tokens: int = 0

    def timeout_at_ms(self) -> float:
        """Return the monotonic time at which the current phase times out."""
        if self.phase is Phase.RUNNING:
            return self.last_received_ms + upstream_idle_timeout_ms(self.call)
        return self.deadline_ms

    def outcome(self) -> Outcome:
        """Return the outcome to report if the request ends now without a complete response."""
        if not self.may_have_run and self.phase is not Phase.RUNNING:
            return Outcome.NOT_RUN
        if self.call.kind is CallKind.PLAIN and not self.call.repeatable:
            return Outcome.UNKNOWN
        return Outcome.FAILED


@define
class Requests:
    """Process the requests of one entry node.

    ``live_entries`` returns the number of live entry nodes, this one included.
    ``first_report_sequence`` numbers the first grant report of this process; it must exceed the
    numbers that an earlier process of the node used.
    """

    node: NodeId
    cfg: Configuration
    rng: random.Random
    live_entries: Callable[[], int] = lambda: 1
    first_report_sequence: int = 1
    _slots: SlotClient = field(init=False)
    _claims: ClaimClient = field(init=False)
    _retry_budget: RetryBudget = field(init=False)
    _in_flight: dict[RequestId, InFlight] = field(factory=dict)
    _timers: list[tuple[float, RequestId]] = field(factory=list)
    _upstreams: dict[ShardId, tuple[Upstream, ...]] = field(init=False)
    _shards: dict[str, tuple[ShardId, ...]] = field(init=False)
    _draining: bool = False

    def __attrs_post_init__(self) -> None:
        """Build slots, claims and retry budget and load the configuration into them."""
        self._slots = SlotClient(
            self.node, self.rng, self._upstreams_of, self.live_entries, self.first_report_sequence
        )
        self._claims = ClaimClient(self.node)
        self._retry_budget = RetryBudget(self.cfg.retry_share)
        self.set_config(self.cfg)

    def set_config(self, cfg: Configuration) -> None:
        """Apply a new configuration to new requests and to local admission."""
        self.cfg = cfg
        self._retry_budget.share = cfg.retry_share
        by_pool = {name: pool_shards(pool) for name, pool in cfg.pools.items()}
        self._shards = {name: tuple(shards) for name, shards in by_pool.items()}
        self._upstreams = {
            shard: upstreams for shards in by_pool.values() for shard, upstreams in shards.items()
        }

    def in_flight(self) -> int:
        """Return the number of open requests plus that of unresolved claim proposals."""
        return len(self._in_flight) + len(self._claims.unrecorded())

    def next_deadline_ms(self) -> float | None:
        """Return the monotonic time at which the role needs a Tick, or None."""
        timers = [self._timers[0][0]] if self._timers else []
        deadline_ms = min([*timers, self._slots.next_deadline_ms()])
        return deadline_ms if deadline_ms != float("inf") else None

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` and return the effects in order."""
        match event:
            case AttemptChunk() | AttemptHead():
                return self._handle_attempt_event(event, now_ms)
            case AttemptEnd() | AttemptFailed():
                effects = self._handle_attempt_event(event, now_ms)
            case CallerRequest():
                effects = self._handle_caller_request(event, now_ms)
            case CallerGone():
                effects = self._handle_caller_gone(event, now_ms)
            case Receive():
                effects = self._handle_message(event.sender, event.message, now_ms)
            case ProposalDone():
                effects = self._handle_proposal_done(event, now_ms)
            case OwnerChanged():
                effects = [*self._slots.set_owner(event.shard, event.owner, event.epoch, now_ms)]
            case Tick():
                effects = self._handle_tick(now_ms)
            case StartDrain():
                self._draining = True
                effects = []
            case CutRequests():
                effects = self._cut_requests(now_ms)
            case _:
                return []
        admitted = [
            self._start_attempt(accepted, now_ms) for accepted in self._slots.admit_locally(now_ms)
        ]
        return [*effects, *(effect for start in admitted for effect in start)]

    # Arrival, cancellation and failure of requests.

    def _handle_caller_request(self, event: CallerRequest, now_ms: float) -> list[Any]:
        """Accept a request; a duplicate of the event has no effect."""
        if event.request_id in self._in_flight:
            return []
        return [arrival_event(event), *self._accept(event, now_ms)]

    def _accept(self, event: CallerRequest, now_ms: float) -> list[Any]:
        """Claim the idempotency key or request a slot, or refuse the request."""
        request_id, call = event.request_id, event.call
        request_class = self.cfg.classes.get(call.class_name)
        shards = self._shards.get(call.pool, ())
        if self._draining:
            return refuse_arrival(
                event, Reason.DRAINING, "The node is shutting down.", DEFAULT_RETRY_AFTER_MS
            )
        if request_class is None or not shards:
            detail = f"Class {call.class_name!r} or pool {call.pool!r} is not configured."
            return refuse_arrival(event, Reason.NO_UPSTREAM, detail)
        req = InFlight(
            request_id=request_id,
            call=call,
            request_class=request_class,
            shard=self._slots.pick_shard(shards, now_ms),
            arrived_ms=now_ms,
            deadline_ms=now_ms + request_class.queue_timeout_ms,
            answer=Answer(request_id, call),
        )
        if not needs_claim(call):
            self._in_flight[request_id] = req
            return self._request_slot(req, now_ms)
        key = check_key(call.key, event.wall_ms, self.cfg.claim_retention_ms)
        if isinstance(key, Failure):
            refusal = key.failure()
            return refuse_arrival(event, refusal.reason, refusal.detail)
        self._in_flight[request_id] = req
        req.phase = Phase.CLAIMING
        self._schedule_timeout(req)
        return [self._claims.begin(request_id, call, key.unwrap(), request_class.queue_timeout_ms)]

    def _handle_caller_gone(self, event: CallerGone, now_ms: float) -> list[Any]:
        """Abort the request of a caller that closed its connection."""
        req = self._in_flight.get(event.request_id)
        if req is None:
            return []
        return [
            *self._abort(req, now_ms),
            *self._count_wasted_tokens(req, "caller_gone"),
            timeline_event(req, "caller_gone", ()),
            outcome_count(req, "caller_gone"),
        ]

    def _abort(self, req: InFlight, now_ms: float) -> list[Any]:
        """Remove an incomplete request: cancel its attempt, free its slot, finish its claim."""
        del self._in_flight[req.request_id]
        effects: list[Any] = []
        if req.phase is Phase.CLAIMING:
            self._claims.abandon(req.request_id)
            return effects
        if req.phase is Phase.RUNNING:
            effects.append(CancelAttempt(req.request_id, req.attempt))
            effects += self._release(req, GrantEnd.CANCELLED, now_ms)
        effects += self._slots.cancel(req.request_id, now_ms)
        return effects + self._claims.finish(req.request_id, req.outcome())

    def _fail(
        self,
        req: InFlight,
        now_ms: float,
        reason: Reason,
        detail: str,
        retry_after_ms: float = -1.0,
    ) -> list[Any]:
        """End a request that did not complete with a failure response."""
        outcome = req.outcome()
        if outcome is Outcome.UNKNOWN:
            # A retry with the same key gets the same response; without a key it may run twice.
            retry_after_ms = -1.0
        effects = self._abort(req, now_ms)
        emit = timeline_event(
            req, "request_failed", (("outcome", outcome.value), ("reason", reason.value))
        )
        return [
            RespondFailure(req.request_id, outcome, reason, detail, retry_after_ms),
            *effects,
            *self._count_wasted_tokens(req, "failed"),
            outcome_count(req, outcome.value),
            emit,
        ]

    # Claims of idempotency keys.

    def _handle_proposal_done(self, event: ProposalDone, now_ms: float) -> list[Any]:
        """Continue with a granted claim, or respond from the result of the claim."""
        proposals, resolved = self._claims.handle_result(event)
        if resolved is None:
            return list(proposals)
        request_id, result = resolved
        req = self._in_flight.get(request_id)
        if req is None or req.phase is not Phase.CLAIMING:
            return list(proposals)
        if not isinstance(result, ClaimResult):
            req.phase = Phase.WAITING
            detail = "The claim store could not be reached, so the call was not run."
            failure = self._fail(req, now_ms, Reason.CLAIM_STORE, detail, DEFAULT_RETRY_AFTER_MS)
            return [*proposals, *failure]
        if result.state is ClaimState.GRANTED:
            return [*proposals, *self._request_slot(req, now_ms)]
        del self._in_flight[request_id]
        if result.state is not ClaimState.RECORDED:
            failed = claim_failure(request_id, result.state)
            return [*proposals, failed, outcome_count(req, failed.outcome.value)]
        return [
            *proposals,
            RespondHead(request_id, result.status, result.headers),
            RespondChunk(request_id, result.body),
            RespondEnd(request_id),
            outcome_count(req, "replayed"),
        ]

    # Slot requests and grants.

    def _request_slot(self, req: InFlight, now_ms: float) -> list[Any]:
        """Request a slot for the current attempt from the shard owner."""
        req.phase = Phase.WAITING
        if now_ms >= req.deadline_ms:
            return self._expire(req, now_ms)
        self._schedule_timeout(req)
        waiting = PendingRequest(
            request_id=req.request_id,
            attempt=req.attempt,
            shard=req.shard,
            call=req.call,
            tier=req.request_class.tier,
            arrived_ms=req.arrived_ms,
            requested_ms=now_ms,
            deadline_ms=req.deadline_ms,
            excluded=req.excluded,
            delivered_tokens=req.answer.delivered_tokens,
            version=req.answer.version,
        )
        return [*self._slots.request_slot(waiting, now_ms)]

    def _handle_message(self, sender: NodeId, message: Any, now_ms: float) -> list[Any]:
        """Process a message from another node."""
        match message:
            case SlotGrant():
                sends, accepted = self._slots.handle_grant(sender, message, now_ms)
                started = self._start_attempt(accepted, now_ms) if accepted is not None else []
                return [*sends, *started]
            case SlotRefusal():
                sends, refused = self._slots.handle_refusal(sender, message, now_ms)
                req = self._in_flight.get(message.request_id)
                if refused is None or req is None:
                    return [*sends]
                detail = "No slot for the request."
                retry_after_ms = message.retry_after_ms
                return [*sends, *self._fail(req, now_ms, message.reason, detail, retry_after_ms)]
            case NotOwner():
                return [*self._slots.handle_not_owner(sender, message, now_ms)]
            case ShardSummary():
                return [*self._slots.handle_summary(sender, message, now_ms)]
            case UpstreamLeaving():
                self._slots.mark_leaving(message.upstream)
            case UpstreamResting():
                self._slots.rest(message, now_ms)
        return []

    def is_withheld(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream must get no request, as it leaves or asked for a rest."""
        return self._slots.notices.is_withheld(upstream, now_ms)

    def _start_attempt(self, accepted: Accepted, now_ms: float) -> list[Any]:
        """Start the attempt to which a slot was granted."""
        grant = accepted.grant
        req = self._in_flight[grant.request_id]
        req.phase = Phase.RUNNING
        req.upstream = grant.upstream
        req.timing = Timing(now_ms)
        req.last_received_ms = now_ms
        if self.is_withheld(grant.upstream, now_ms):
            return self._reroute(req, now_ms, GrantEnd.UNUSED, "it leaves or asked for a rest")
        self._schedule_timeout(req)
        text = req.answer.delivered_text
        start = StartAttempt(
            request_id=req.request_id,
            attempt=req.attempt,
            upstream=grant.upstream,
            call=req.call,
            priority=grant.priority,
            delivered_text=text,
            # Delivered text without a token count must be continued, not generated again.
            delivered_tokens=max(req.answer.delivered_tokens, 1 if text else 0),
            version=req.answer.version or "",
        )
        wait = Count("slot_wait_ms", now_ms - req.arrived_ms, (("class", req.request_class.name),))
        started = timeline_event(req, "attempt_started", (("attempt", req.attempt),))
        return [start, started, wait] if req.attempt == 0 else [start, started]

    def _release(self, req: InFlight, end: GrantEnd, now_ms: float) -> list[Any]:
        """Release the slot of the running attempt and report its measured latencies."""
        timing = req.timing
        # A completion that is not streamed sends its first chunk after the last token, so the
        # time to that chunk is no first-token latency.
        measured = req.call.stream or req.call.kind is CallKind.PLAIN
        first_ms = timing.first_token_ms() if measured else -1.0
        inter_ms = timing.inter_token_ms() if req.call.stream else -1.0
        return [*self._slots.release(req.request_id, end, now_ms, first_ms, inter_ms)]

    # Events of attempts.

    def _handle_attempt_event(self, event: AttemptEvent, now_ms: float) -> list[Any]:
        """Apply an event of the running attempt; events of earlier attempts are ignored."""
        req = self._in_flight.get(event.request_id)
        if req is None or req.phase is not Phase.RUNNING or req.attempt != event.attempt:
            return []
        if is_progress(event, req.call):
            req.last_received_ms = now_ms
        match event:
            case AttemptHead():
                return self._handle_head(req, event, now_ms)
            case AttemptChunk():
                return self._handle_chunk(req, event, now_ms)
            case AttemptEnd():
                return self._handle_end(req, now_ms)
            case AttemptFailed():
                not_accepted = event.leaving or not event.sent
                if not_accepted and not req.answer.has_head:
                    end = GrantEnd.LEAVING if event.leaving else GrantEnd.CONNECT_FAILED
                    return self._reroute(req, now_ms, end, event.reason)
                return self._handle_failure(req, event, now_ms)

    def _handle_failure(self, req: InFlight, event: AttemptFailed, now_ms: float) -> list[Any]:
        """Retry a request whose attempt may have run it, or report its failure."""
        heard = self._slots.hear_answer(req.shard, req.upstream, False, event.rest_ms, now_ms)
        end = GrantEnd.LEAVING if event.leaving else GrantEnd.FAILED
        # An upstream that asks for a rest is busy, which says nothing about its health.
        end = GrantEnd.CANCELLED if event.rest_ms else end
        return [*heard, *self._retry_or_fail(req, now_ms, event.reason, end)]

    def _handle_head(self, req: InFlight, event: AttemptHead, now_ms: float) -> list[Any]:
        """Apply a response head; a server error is retried on another upstream if allowed."""
        if req.call.kind is CallKind.PLAIN:
            req.timing.observe(0, now_ms)
        notices = self._slots.hear_answer(
            req.shard, req.upstream, event.leaving, event.rest_ms, now_ms
        )
        matches = req.answer.accepts(event)
        if matches and (event.status < 500 or not self._may_retry(req, now_ms)):
            req.answer.receive_head(event)
            return [*notices]
        cancel = CancelAttempt(req.request_id, req.attempt)
        detail = (
            f"The upstream answered {event.status}."
            if matches or event.status != req.answer.status
            else "The upstream runs another software version."
        )
        # An upstream that asks for a rest is busy, which says nothing about its health.
        end = GrantEnd.CANCELLED if event.rest_ms else GrantEnd.FAILED
        return [*notices, cancel, *self._retry_or_fail(req, now_ms, detail, end)]

    def _handle_chunk(self, req: InFlight, event: AttemptChunk, now_ms: float) -> list[Any]:
        """Deliver or buffer a chunk of the response."""
        if event.tokens:
            req.timing.observe(event.tokens, now_ms)
            self._slots.record_progress(req.request_id, req.timing.tokens)
        if needs_claim(req.call):
            req.recorded_bytes += len(event.data)
            if req.recorded_bytes <= MAX_RECORDED_BYTES:
                req.recorded_chunks.append(event.data)
        return [*req.answer.receive_chunk(event)]

    def _handle_end(self, req: InFlight, now_ms: float) -> list[Any]:
        """Complete the request after the last chunk of its response."""
        if not req.answer.has_head:
            return self._retry_or_fail(req, now_ms, "The upstream ended without a response head.")
        responses = req.answer.end()
        answer = req.answer
        succeeded = answer.status < 500
        if answer.status < 400:
            self._retry_budget.record_completion(req.request_class.name, now_ms)
        released = self._release(req, GrantEnd.COMPLETED if succeeded else GrantEnd.FAILED, now_ms)
        del self._in_flight[req.request_id]
        recorded: list[Any] = []
        if req.recorded_bytes <= MAX_RECORDED_BYTES:
            body = b"".join(req.recorded_chunks)
            recorded += self._claims.finish(
                req.request_id, Outcome.COMPLETED, answer.status, answer.headers, body
            )
        else:
            recorded += self._claims.finish(req.request_id, Outcome.UNKNOWN)
        first_ms = req.timing.first_ms - req.arrived_ms
        latencies = [Count("first_token_ms", first_ms, (("class", req.request_class.name),))]
        measured = req.call.stream and req.timing.first_ms >= 0.0 and req.attempt == 0
        completed = timeline_event(
            req, "request_completed", (("tokens", req.answer.delivered_tokens),)
        )
        counted = outcome_count(req, Outcome.COMPLETED.value)
        events = [completed, counted, *(latencies if measured else [])]
        return [*responses, *released, *recorded, *events]

    def _reroute(self, req: InFlight, now_ms: float, end: GrantEnd, reason: str) -> list[Any]:
        """Try another upstream after an attempt that was not sent or not accepted."""
        if end is GrantEnd.CONNECT_FAILED and self.is_withheld(req.upstream, now_ms):
            end = GrantEnd.UNUSED
        released = self._prepare_next_attempt(req, end, now_ms)
        req.reroutes += 1
        configured = {upstream.name for upstream in self._upstreams_of(req.shard)}
        if req.reroutes > MAX_REROUTES or configured <= set(req.excluded):
            detail = f"No upstream took the request; the last one: {reason}"
            failed = self._fail(req, now_ms, Reason.NO_UPSTREAM, detail, DEFAULT_RETRY_AFTER_MS)
            return [*released, *failed]
        return [*released, Count("attempts_moved"), *self._request_slot(req, now_ms)]

    def _retry_or_fail(
        self, req: InFlight, now_ms: float, detail: str, end: GrantEnd = GrantEnd.FAILED
    ) -> list[Any]:
        """Retry or continue after an attempt that may have run, or fail the request."""
        may_retry = self._may_retry(req, now_ms)
        req.may_have_run = True
        undelivered_tokens = req.answer.buffered_tokens
        released = self._prepare_next_attempt(req, end, now_ms)
        if not may_retry:
            failed = self._fail(
                req, now_ms, Reason.UPSTREAM_LOST, detail, self._retry_after_ms(req)
            )
            return [*released, *failed]
        self._retry_budget.spend(req.request_class.name, now_ms)
        req.retries += 1
        req.discarded_tokens -= undelivered_tokens
        req.deadline_ms = now_ms + req.request_class.queue_timeout_ms
        configured = {upstream.name for upstream in self._upstreams_of(req.shard)}
        if configured <= set(req.excluded):
            req.excluded = ()
        labels = (("class", req.request_class.name),)
        return [
            *released,
            Count("attempts_repeated", 1.0, labels),
            Count("wasted_tokens", undelivered_tokens, (*labels, ("cause", "dropped"))),
            Count(
                "wasted_prefill_tokens",
                req.call.prompt_tokens + req.answer.delivered_tokens,
                (*labels, ("cause", "repeated")),
            ),
            *self._request_slot(req, now_ms),
        ]

    def _prepare_next_attempt(self, req: InFlight, end: GrantEnd, now_ms: float) -> list[Any]:
        """Discard the running attempt and exclude its upstream from the next one."""
        released = self._release(req, end, now_ms)
        req.answer.discard()
        req.recorded_chunks.clear()
        req.recorded_bytes = 0
        req.discarded_tokens += req.timing.tokens
        req.timing = Timing(now_ms)
        req.excluded = (*req.excluded, req.upstream)
        req.attempt += 1
        req.phase = Phase.WAITING
        return released

    def _may_retry(self, req: InFlight, now_ms: float) -> bool:
        """Return whether an attempt that may have run can be retried or continued."""
        return (
            req.call.repeatable
            and req.answer.restartable
            and req.retries < MAX_RETRIES
            and self._retry_budget.can_spend(req.request_class.name, now_ms)
        )

    def _retry_after_ms(self, req: InFlight) -> float:
        """Return the delay before a retry, or -1 for a call that must not be repeated."""
        return self._slots.retry_after_ms(req.shard) if req.call.repeatable else -1.0

    # Timeouts and drain.

    def _handle_tick(self, now_ms: float) -> list[Any]:
        """Run the timers of the slot client and expire requests that timed out."""
        effects: list[Any] = [*self._slots.tick(now_ms)]
        while self._timers and self._timers[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._timers)
            req = self._in_flight.get(request_id)
            if req is None:
                continue
            if req.timeout_at_ms() > now_ms:
                self._schedule_timeout(req)
            else:
                effects += self._expire(req, now_ms)
        return effects

    def _expire(self, req: InFlight, now_ms: float) -> list[Any]:
        """Time out a wait for a claim or a slot, or an attempt on an idle upstream."""
        if req.phase is Phase.RUNNING:
            cancel = CancelAttempt(req.request_id, req.attempt)
            return [
                cancel,
                *self._retry_or_fail(req, now_ms, "The upstream sent nothing for too long."),
            ]
        if req.phase is Phase.CLAIMING:
            detail = "The claim store did not answer in time, so the call was not run."
            return self._fail(req, now_ms, Reason.CLAIM_STORE, detail, DEFAULT_RETRY_AFTER_MS)
        retry_after_ms = self._slots.retry_after_ms(req.shard)
        return self._fail(req, now_ms, Reason.DEADLINE, "No slot in time.", retry_after_ms)

    def _schedule_timeout(self, req: InFlight) -> None:
        """Schedule the timeout of the current phase of a request."""
        heapq.heappush(self._timers, (req.timeout_at_ms(), req.request_id))

    def _cut_requests(self, now_ms: float) -> list[Any]:
        """Fail the requests that are still in flight and report which were cut."""
        cut = list(self._in_flight.values())
        detail = "The node shut down before the answer was complete."
        failures = [
            self._fail(req, now_ms, Reason.DRAINING, detail, DEFAULT_RETRY_AFTER_MS) for req in cut
        ]
        cut_effect = RequestsCut(tuple(req.request_id for req in cut), self._claims.unrecorded())
        return [*(effect for failure in failures for effect in failure), cut_effect]

    def _upstreams_of(self, shard: ShardId) -> tuple[Upstream, ...]:
        """Return the configured upstreams of a shard, or none for an unknown shard."""
        return self._upstreams.get(shard, ())

    def _count_wasted_tokens(self, req: InFlight, cause: str) -> list[Any]:
        """Count the generated tokens of a request that did not complete."""
        tokens = req.discarded_tokens + req.timing.tokens
        labels = (("class", req.request_class.name), ("cause", cause))
        return [Count("wasted_tokens", tokens, labels)] if tokens else []
