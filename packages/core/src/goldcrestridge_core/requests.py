"""Role of an entry node: life cycle of each request from arrival to its single final answer."""

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
    DrainEnded,
    EndDrain,
    OwnerChanged,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.config import Configuration, RequestClass, Upstream
from goldcrestridge_core.idempotency import (
    MAX_RECORDED_BYTES,
    Claims,
    check_key,
    claim_failure,
    needs_claim,
)
from goldcrestridge_core.member_types import StartDrain
from goldcrestridge_core.retries import RetryBudget
from goldcrestridge_core.shards import pool_shards
from goldcrestridge_core.slots import Accepted, PendingRequest, Slots
from goldcrestridge_core.store_types import ClaimResult, ClaimState
from goldcrestridge_core.types import (
    Count,
    Emit,
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
)

# An upstream that sends nothing for this long is lost; prefill of the longest prompts takes less.
UPSTREAM_SILENCE_MS = 60_000.0
# An answer that is not streamed comes after its last token; this is a slow engine's time for one.
SLOW_TOKEN_MS = 100.0
UNKNOWN_MAX_TOKENS = 8_192
MAX_MOVES = 8  # Attempts that ended before the first byte; each costs a round to the owner.
MAX_REPEATS = 3  # Attempts after the first byte, within the retry budget.
RETRY_SOON_MS = 1_000.0

_NO_UPSTREAM = UpstreamId("")

AttemptEvent = AttemptHead | AttemptChunk | AttemptEnd | AttemptFailed


def silence_ms(call: Call) -> float:
    """Return how long an upstream may be silent before the attempt counts as lost."""
    if call.stream or call.kind is CallKind.PLAIN:
        return UPSTREAM_SILENCE_MS
    return UPSTREAM_SILENCE_MS + SLOW_TOKEN_MS * (call.max_tokens or UNKNOWN_MAX_TOKENS)


class Phase(enum.Enum):
    """What a request waits for."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    RUNNING = "running"


@define
class InFlight:
    """A request between its arrival and its final answer."""

    request_id: RequestId
    call: Call
    cls: RequestClass
    shard: ShardId
    arrived_ms: float
    deadline_ms: float
    answer: Answer
    phase: Phase = Phase.WAITING
    attempt: int = 0
    upstream: UpstreamId = _NO_UPSTREAM
    excluded: tuple[UpstreamId, ...] = ()
    ran: bool = False  # An earlier attempt may have sent a byte upstream.
    moves: int = 0
    repeats: int = 0
    timing: Timing = field(factory=lambda: Timing(0.0))
    heard_ms: float = 0.0
    record: list[bytes] = field(factory=list)
    record_bytes: int = 0
    lost_tokens: int = 0

    def due_ms(self) -> float:
        """Return when the request must be looked at without any event."""
        if self.phase is Phase.RUNNING:
            return self.heard_ms + silence_ms(self.call)
        return self.deadline_ms

    def outcome(self) -> Outcome:
        """Return what is certain about a request that ends now without its answer."""
        if not self.ran and self.phase is not Phase.RUNNING:
            return Outcome.NOT_RUN
        if self.call.kind is CallKind.PLAIN and not self.call.repeatable:
            return Outcome.UNKNOWN
        return Outcome.FAILED


@define
class Requests:
    """Carry the requests of one entry node; ``live_entries`` counts entry nodes including it."""

    node: NodeId
    cfg: Configuration
    rng: random.Random
    live_entries: Callable[[], int] = lambda: 1
    first_report: int = 1
    _slots: Slots = field(init=False)
    _claims: Claims = field(init=False)
    _budget: RetryBudget = field(init=False)
    _live: dict[RequestId, InFlight] = field(factory=dict)
    _timers: list[tuple[float, RequestId]] = field(factory=list)
    _upstreams: dict[ShardId, tuple[Upstream, ...]] = field(init=False)
    _shards: dict[str, tuple[ShardId, ...]] = field(init=False)
    _draining: bool = False

    def __attrs_post_init__(self) -> None:
        """Build the parts that share the configuration."""
        self._slots = Slots(
            self.node, self.rng, self._upstreams_of, self.live_entries, self.first_report
        )
        self._claims = Claims(self.node)
        self._budget = RetryBudget(self.cfg.retry_share)
        self.set_config(self.cfg)

    def set_config(self, cfg: Configuration) -> None:
        """Use a new configuration for new requests and for local admission."""
        self.cfg = cfg
        self._budget.share = cfg.retry_share
        by_pool = {name: pool_shards(pool) for name, pool in cfg.pools.items()}
        self._shards = {name: tuple(shards) for name, shards in by_pool.items()}
        self._upstreams = {
            shard: upstreams for shards in by_pool.values() for shard, upstreams in shards.items()
        }

    def in_flight(self) -> int:
        """Return the number of requests without a final answer and of unrecorded fates."""
        return len(self._live) + len(self._claims.unrecorded())

    def next_deadline_ms(self) -> float | None:
        """Return the monotonic time at which the role wants a Tick, or None."""
        timers = [self._timers[0][0]] if self._timers else []
        soonest = min([*timers, self._slots.next_deadline_ms()])
        return soonest if soonest != float("inf") else None

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` and return the effects in order."""
        match event:
            case AttemptChunk() | AttemptHead():
                return self._attempt(event, now_ms)
            case AttemptEnd() | AttemptFailed():
                effects = self._attempt(event, now_ms)
            case CallerRequest():
                effects = self._caller_request(event, now_ms)
            case CallerGone():
                effects = self._caller_gone(event, now_ms)
            case Receive():
                effects = self._receive(event.sender, event.message, now_ms)
            case ProposalDone():
                effects = self._proposal_done(event, now_ms)
            case OwnerChanged():
                effects = [*self._slots.set_owner(event.shard, event.owner, event.epoch, now_ms)]
            case Tick():
                effects = self._tick(now_ms)
            case StartDrain():
                self._draining = True
                effects = []
            case EndDrain():
                effects = self._end_drain(now_ms)
            case _:
                return []
        admitted = [self._start(item, now_ms) for item in self._slots.admit_locally(now_ms)]
        return [*effects, *(effect for start in admitted for effect in start)]

    # Arrival and departure of callers.

    def _caller_request(self, event: CallerRequest, now_ms: float) -> list[Any]:
        """Take a request in once; the event may come twice."""
        if event.request_id in self._live:
            return []
        return [_arrived(event), *self._take_in(event, now_ms)]

    def _take_in(self, event: CallerRequest, now_ms: float) -> list[Any]:
        """Claim the call or ask for a slot, or refuse it at once."""
        request_id, call = event.request_id, event.call
        cls = self.cfg.classes.get(call.class_name)
        shards = self._shards.get(call.pool, ())
        if self._draining:
            return _refuse(event, Reason.DRAINING, "The node is shutting down.", RETRY_SOON_MS)
        if cls is None or not shards:
            detail = f"Class {call.class_name!r} or pool {call.pool!r} is not configured."
            return _refuse(event, Reason.NO_UPSTREAM, detail)
        req = InFlight(
            request_id=request_id,
            call=call,
            cls=cls,
            shard=self._slots.pick_shard(shards, now_ms),
            arrived_ms=now_ms,
            deadline_ms=now_ms + cls.queue_timeout_ms,
            answer=Answer(request_id, call),
        )
        if not needs_claim(call):
            self._live[request_id] = req
            return self._ask(req, now_ms)
        key = check_key(call.key, event.wall_ms, self.cfg.claim_retention_ms)
        if isinstance(key, Failure):
            refusal = key.failure()
            return _refuse(event, refusal.code, refusal.reason)
        self._live[request_id] = req
        req.phase = Phase.CLAIMING
        self._arm(req)
        return [self._claims.begin(request_id, call, key.unwrap(), cls.queue_timeout_ms)]

    def _caller_gone(self, event: CallerGone, now_ms: float) -> list[Any]:
        """Stop all work for a caller that closed its connection."""
        req = self._live.get(event.request_id)
        if req is None:
            return []
        return [
            *self._stop(req, now_ms),
            *self._waste(req, "caller_gone"),
            _event(req, "caller_gone", ()),
            _counted(req, "caller_gone"),
        ]

    def _stop(self, req: InFlight, now_ms: float) -> list[Any]:
        """Remove a request without its answer: cancel, give back its slot, record its fate."""
        del self._live[req.request_id]
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
        self, req: InFlight, now_ms: float, reason: Reason, detail: str, retry_ms: float = -1.0
    ) -> list[Any]:
        """Give the final outcome of a request that does not complete."""
        outcome = req.outcome()
        if outcome is Outcome.UNKNOWN:
            retry_ms = -1.0  # A repeated key gets the same answer; without a key it may run twice.
        effects = self._stop(req, now_ms)
        emit = _event(req, "request_failed", (("outcome", outcome.value), ("reason", reason.value)))
        return [
            RespondFailure(req.request_id, outcome, reason, detail, retry_ms),
            *effects,
            *self._waste(req, "failed"),
            _counted(req, outcome.value),
            emit,
        ]

    # Claims.

    def _proposal_done(self, event: ProposalDone, now_ms: float) -> list[Any]:
        """Go on with a granted claim, or answer from the result."""
        proposals, done = self._claims.done(event)
        if done is None:
            return list(proposals)
        request_id, result = done
        req = self._live.get(request_id)
        if req is None or req.phase is not Phase.CLAIMING:
            return list(proposals)
        if not isinstance(result, ClaimResult):
            req.phase = Phase.WAITING
            detail = "The claim store could not be reached, so the call was not run."
            failure = self._fail(req, now_ms, Reason.CLAIM_STORE, detail, RETRY_SOON_MS)
            return [*proposals, *failure]
        if result.state is ClaimState.GRANTED:
            return [*proposals, *self._ask(req, now_ms)]
        del self._live[request_id]
        if result.state is not ClaimState.RECORDED:
            failed = claim_failure(request_id, result.state)
            return [*proposals, failed, _counted(req, failed.outcome.value)]
        return [
            *proposals,
            RespondHead(request_id, result.status, result.headers),
            RespondChunk(request_id, result.body),
            RespondEnd(request_id),
            _counted(req, "replayed"),
        ]

    # Slots.

    def _ask(self, req: InFlight, now_ms: float) -> list[Any]:
        """Ask the owner of the shard for a slot for the current attempt."""
        req.phase = Phase.WAITING
        if now_ms >= req.deadline_ms:
            return self._expire(req, now_ms)
        self._arm(req)
        waiting = PendingRequest(
            request_id=req.request_id,
            attempt=req.attempt,
            shard=req.shard,
            call=req.call,
            tier=req.cls.tier,
            arrived_ms=req.arrived_ms,
            requested_ms=now_ms,
            deadline_ms=req.deadline_ms,
            excluded=req.excluded,
            delivered_tokens=req.answer.delivered_tokens,
        )
        return [*self._slots.request_slot(waiting, now_ms)]

    def _receive(self, sender: NodeId, message: Any, now_ms: float) -> list[Any]:
        """Apply a message from another node."""
        match message:
            case SlotGrant():
                sends, accepted = self._slots.handle_grant(sender, message, now_ms)
                started = self._start(accepted, now_ms) if accepted is not None else []
                return [*sends, *started]
            case SlotRefusal():
                sends, refused = self._slots.handle_refusal(sender, message, now_ms)
                req = self._live.get(message.request_id)
                if refused is None or req is None:
                    return [*sends]
                detail = "No slot for the request."
                retry_ms = message.retry_after_ms
                return [*sends, *self._fail(req, now_ms, message.reason, detail, retry_ms)]
            case NotOwner():
                return [*self._slots.handle_not_owner(sender, message, now_ms)]
            case ShardSummary():
                return [*self._slots.handle_summary(sender, message, now_ms)]
            case UpstreamLeaving():
                self._slots.mark_leaving(message.upstream)
        return []

    def _start(self, accepted: Accepted, now_ms: float) -> list[Any]:
        """Start the attempt that a grant is for."""
        grant = accepted.grant
        req = self._live[grant.request_id]
        req.phase = Phase.RUNNING
        req.upstream = grant.upstream
        req.timing = Timing(now_ms)
        req.heard_ms = now_ms
        self._arm(req)
        text = req.answer.delivered_text
        start = StartAttempt(
            request_id=req.request_id,
            attempt=req.attempt,
            upstream=grant.upstream,
            call=req.call,
            priority=grant.priority,
            delivered_text=text,
            # Text without a token count must still be continued and not started afresh.
            delivered_tokens=max(req.answer.delivered_tokens, 1 if text else 0),
        )
        wait = Count("slot_wait_ms", now_ms - req.arrived_ms, (("class", req.cls.name),))
        started = _event(req, "attempt_started", (("attempt", req.attempt),))
        return [start, started, wait] if req.attempt == 0 else [start, started]

    def _release(self, req: InFlight, end: GrantEnd, now_ms: float) -> list[Any]:
        """Give back the slot of the running attempt with what was measured."""
        timing = req.timing
        # The first piece of an answer that is not streamed comes after all its tokens.
        measured = req.call.stream or req.call.kind is CallKind.PLAIN
        first_ms = timing.first_token_ms() if measured else -1.0
        inter_ms = timing.inter_token_ms() if req.call.stream else -1.0
        return [*self._slots.release(req.request_id, end, now_ms, first_ms, inter_ms)]

    # Attempts.

    def _attempt(self, event: AttemptEvent, now_ms: float) -> list[Any]:
        """Apply an event of the running attempt; those of older attempts are ignored."""
        req = self._live.get(event.request_id)
        if req is None or req.phase is not Phase.RUNNING or req.attempt != event.attempt:
            return []
        req.heard_ms = now_ms
        match event:
            case AttemptHead():
                return self._head(req, event, now_ms)
            case AttemptChunk():
                return self._chunk(req, event, now_ms)
            case AttemptEnd():
                return self._end(req, now_ms)
            case AttemptFailed():
                turned_away = event.leaving or not event.sent
                if turned_away and not req.answer.has_head:
                    return self._move(req, now_ms, event)
                end = GrantEnd.LEAVING if event.leaving else GrantEnd.FAILED
                return self._lost(req, now_ms, event.reason, end)

    def _head(self, req: InFlight, event: AttemptHead, now_ms: float) -> list[Any]:
        """Take the response head; an error may be repeated elsewhere instead of passed on."""
        if req.call.kind is CallKind.PLAIN:
            req.timing.observe(0, now_ms)
        fits = req.answer.fits(event)
        if fits and (event.status < 500 or not self._may_repeat(req, now_ms)):
            req.answer.head(event)
            return []
        cancel = CancelAttempt(req.request_id, req.attempt)
        return [cancel, *self._lost(req, now_ms, f"The upstream answered {event.status}.")]

    def _chunk(self, req: InFlight, event: AttemptChunk, now_ms: float) -> list[Any]:
        """Deliver or hold a piece of the answer."""
        if event.tokens:
            req.timing.observe(event.tokens, now_ms)
            self._slots.record_progress(req.request_id, req.timing.tokens)
        if needs_claim(req.call):
            req.record_bytes += len(event.data)
            if req.record_bytes <= MAX_RECORDED_BYTES:
                req.record.append(event.data)
        return [*req.answer.chunk(event)]

    def _end(self, req: InFlight, now_ms: float) -> list[Any]:
        """Finish a complete answer."""
        if not req.answer.has_head:
            return self._lost(req, now_ms, "The upstream ended without a response head.")
        responses = req.answer.end()
        answer = req.answer
        good = answer.status < 500
        if answer.status < 400:
            self._budget.completed(req.cls.name, now_ms)
        released = self._release(req, GrantEnd.COMPLETED if good else GrantEnd.FAILED, now_ms)
        del self._live[req.request_id]
        recorded: list[Any] = []
        if req.record_bytes <= MAX_RECORDED_BYTES:
            body = b"".join(req.record)
            recorded += self._claims.finish(
                req.request_id, Outcome.COMPLETED, answer.status, answer.headers, body
            )
        else:
            recorded += self._claims.finish(req.request_id, Outcome.UNKNOWN)
        first_ms = req.timing.first_ms - req.arrived_ms
        times = [Count("first_token_ms", first_ms, (("class", req.cls.name),))]
        measured = req.call.stream and req.timing.first_ms >= 0.0 and req.attempt == 0
        completed = _event(req, "request_completed", (("tokens", req.answer.delivered_tokens),))
        counted = _counted(req, Outcome.COMPLETED.value)
        news = [completed, counted, *(times if measured else [])]
        return [*responses, *released, *recorded, *news]

    def _move(self, req: InFlight, now_ms: float, event: AttemptFailed) -> list[Any]:
        """Try elsewhere after an attempt that did not reach an upstream or was turned away."""
        end = GrantEnd.LEAVING if event.leaving else GrantEnd.CONNECT_FAILED
        released = self._next_attempt(req, end, now_ms)
        req.moves += 1
        names = {upstream.name for upstream in self._upstreams_of(req.shard)}
        if req.moves > MAX_MOVES or names <= set(req.excluded):
            detail = f"No upstream took the request; the last one: {event.reason}"
            failed = self._fail(req, now_ms, Reason.NO_UPSTREAM, detail, RETRY_SOON_MS)
            return [*released, *failed]
        return [*released, Count("attempts_moved"), *self._ask(req, now_ms)]

    def _lost(
        self, req: InFlight, now_ms: float, detail: str, end: GrantEnd = GrantEnd.FAILED
    ) -> list[Any]:
        """Repeat or continue after an attempt that may have run, or give the final outcome."""
        may_repeat = self._may_repeat(req, now_ms)
        req.ran = True
        dropped = req.answer.held_tokens
        released = self._next_attempt(req, end, now_ms)
        if not may_repeat:
            failed = self._fail(req, now_ms, Reason.UPSTREAM_LOST, detail, self._retry_ms(req))
            return [*released, *failed]
        self._budget.spend(req.cls.name, now_ms)
        req.repeats += 1
        req.lost_tokens -= dropped
        req.deadline_ms = now_ms + req.cls.queue_timeout_ms
        names = {upstream.name for upstream in self._upstreams_of(req.shard)}
        if names <= set(req.excluded):
            req.excluded = ()
        labels = (("class", req.cls.name),)
        return [
            *released,
            Count("attempts_repeated", 1.0, labels),
            Count("wasted_tokens", dropped, (*labels, ("cause", "dropped"))),
            Count(
                "wasted_prefill_tokens",
                req.call.prompt_tokens + req.answer.delivered_tokens,
                (*labels, ("cause", "repeated")),
            ),
            *self._ask(req, now_ms),
        ]

    def _next_attempt(self, req: InFlight, end: GrantEnd, now_ms: float) -> list[Any]:
        """End the running attempt and count on; the next one goes to another upstream."""
        released = self._release(req, end, now_ms)
        req.answer.drop()
        req.record.clear()
        req.record_bytes = 0
        req.lost_tokens += req.timing.tokens
        req.timing = Timing(now_ms)
        req.excluded = (*req.excluded, req.upstream)
        req.attempt += 1
        req.phase = Phase.WAITING
        return released

    def _may_repeat(self, req: InFlight, now_ms: float) -> bool:
        """Return whether an attempt that may have run can be repeated or continued."""
        return (
            req.call.repeatable
            and req.answer.restartable
            and req.repeats < MAX_REPEATS
            and self._budget.affords(req.cls.name, now_ms)
        )

    def _retry_ms(self, req: InFlight) -> float:
        """Return when a caller may come back, or -1 for a call that must not be repeated."""
        return self._slots.retry_after_ms(req.shard) if req.call.repeatable else -1.0

    # Time and drain.

    def _tick(self, now_ms: float) -> list[Any]:
        """Send what is due and end what has waited too long."""
        effects: list[Any] = [*self._slots.tick(now_ms)]
        while self._timers and self._timers[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._timers)
            req = self._live.get(request_id)
            if req is None:
                continue
            if req.due_ms() > now_ms:
                self._arm(req)
            else:
                effects += self._expire(req, now_ms)
        return effects

    def _expire(self, req: InFlight, now_ms: float) -> list[Any]:
        """End a wait for a claim or a slot, or an attempt on a silent upstream."""
        if req.phase is Phase.RUNNING:
            cancel = CancelAttempt(req.request_id, req.attempt)
            return [cancel, *self._lost(req, now_ms, "The upstream sent nothing for too long.")]
        if req.phase is Phase.CLAIMING:
            detail = "The claim store did not answer in time, so the call was not run."
            return self._fail(req, now_ms, Reason.CLAIM_STORE, detail, RETRY_SOON_MS)
        retry_ms = self._slots.retry_after_ms(req.shard)
        return self._fail(req, now_ms, Reason.DEADLINE, "No slot in time.", retry_ms)

    def _arm(self, req: InFlight) -> None:
        """Schedule the next look at a request."""
        heapq.heappush(self._timers, (req.due_ms(), req.request_id))

    def _end_drain(self, now_ms: float) -> list[Any]:
        """Cut what is still in flight and say what was cut."""
        cut = list(self._live.values())
        detail = "The node shut down before the answer was complete."
        failures = [self._fail(req, now_ms, Reason.DRAINING, detail, RETRY_SOON_MS) for req in cut]
        ended = DrainEnded(tuple(req.request_id for req in cut), self._claims.unrecorded())
        return [*(effect for failure in failures for effect in failure), ended]

    def _upstreams_of(self, shard: ShardId) -> tuple[Upstream, ...]:
        """Return the configured upstreams of a shard."""
        return self._upstreams.get(shard, ())

    def _waste(self, req: InFlight, cause: str) -> list[Any]:
        """Count the tokens of a request that did not complete."""
        tokens = req.lost_tokens + req.timing.tokens
        labels = (("class", req.cls.name), ("cause", cause))
        return [Count("wasted_tokens", tokens, labels)] if tokens else []


def _arrived(event: CallerRequest) -> Emit:
    """Return the timeline event of an arrival."""
    call = event.call
    detail = (("class", call.class_name), ("site", call.site))
    return Emit("request_arrived", event.request_id, call.workspace, detail=detail)


def _event(req: InFlight, kind: str, detail: tuple[tuple[str, str | int | float], ...]) -> Emit:
    """Return a timeline event of a request."""
    return Emit(kind, req.request_id, req.call.workspace, req.upstream, detail=detail)


def _refuse(event: CallerRequest, reason: Reason, detail: str, retry_ms: float = -1.0) -> list[Any]:
    """Refuse a request that has not been taken in."""
    labels = (("class", event.call.class_name), ("outcome", Outcome.NOT_RUN.value))
    return [
        RespondFailure(event.request_id, Outcome.NOT_RUN, reason, detail, retry_ms),
        Count("requests", 1.0, labels),
    ]


def _counted(req: InFlight, outcome: str) -> Count:
    """Count a finished request by class and outcome."""
    return Count("requests", 1.0, (("class", req.cls.name), ("outcome", outcome)))
