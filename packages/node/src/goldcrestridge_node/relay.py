"""One request on its way to upstreams and its answer back to the caller."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from goldcrestridge_core.admission import TimeBudget, fallback_wait_ms, max_wait_ms, retry_delay_ms
from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.engine_types import Candidate, EngineDenied, FindEngine
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import AttemptOutcome, Decision, Forwarding, Step
from goldcrestridge_core.placement import Demand
from goldcrestridge_core.routes import EngineLimits
from goldcrestridge_core.types import Outcome
from goldcrestridge_node.dialect import SendHead
from goldcrestridge_node.dispatch import (
    FailedAttempt,
    IncompleteAnswerError,
    OutgoingRequest,
    UpstreamAnswer,
)
from goldcrestridge_node.event_stream import EventSplitter
from goldcrestridge_node.exchange import Exchange
from goldcrestridge_node.gateway_parts import NOT_READY, AdmittedRequest
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.request_log import RequestRecord

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway

LOWEST_PRIORITY = 9
# An upstream that was given the time left ends by itself; this node waits a little longer.
UPSTREAM_GRACE_MS = 80.0

FAILED = Refusal(502, "upstream_failed", "The upstream gave no sound answer.", Outcome.UNKNOWN)
TIMED_OUT = Refusal(504, "deadline", "The upstream did not answer in time.", Outcome.UNKNOWN)


@define(eq=False)
class Relay:
    """One request on its way: attempts, and the answer to the caller."""

    gateway: Gateway
    exchange: Exchange
    out: OutgoingRequest
    admitted: AdmittedRequest
    forwarding: Forwarding
    record: RequestRecord
    _excluded: set[str] = field(factory=set)
    _error: tuple[UpstreamAnswer, bytes] | None = None
    _ticket: str | None = None
    _read: bool = False  # The engine that admitted the request has read its prompt.
    _splitter: EventSplitter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start after the event that the caller has, if it resumes a stream."""
        self._splitter = EventSplitter(self.out.head.after_event)

    @property
    def _now_ms(self) -> float:
        return self.gateway.dependencies.clock.now_ms()

    async def run(self) -> None:
        """Send the request until an answer is passed on or no further attempt is allowed."""
        try:
            await self._run()
        finally:
            self._end_ticket()

    async def _run(self) -> None:
        while True:
            instance = await self._place()
            if isinstance(instance, Decision):
                await self._finish(instance)
                return
            decision = self.forwarding.before_send(self._now_ms, instance is not None)
            if decision.step is Step.SEND and not self._allowed():
                await self.gateway.refuse(self.exchange, NOT_READY, self.record)
                return
            if decision.step is Step.SEND and instance is not None:
                decision = await self._attempt(instance)
            if decision.step is Step.PASS_ON:
                return
            if decision.step is not Step.SEND:
                await self._finish(decision)
                return

    def _allowed(self) -> bool:
        return self.forwarding.possible_runs > 0 or self.gateway.is_still_authorized(
            self.admitted, self.out.head.key
        )

    def _choose(self) -> UpstreamInstance | None:
        admitted = self.admitted
        return self.gateway.dependencies.placement.choose(
            admitted.service, admitted.demand, self._excluded, self._now_ms
        )

    async def _place(self) -> UpstreamInstance | Decision | None:
        """Return the upstream for the next attempt; an engine must admit the request first."""
        engine = self.admitted.engine
        if engine is None:
            return self._choose()
        listed = self.gateway.dependencies.placement.candidates(
            self.admitted.service, self.admitted.demand, self._excluded, self._now_ms
        )
        if not listed:
            return None
        seek = self._seek(listed, engine)
        self._ticket, self._read = seek.ticket, False
        found = await self.gateway.dependencies.engines.seek(seek)
        if isinstance(found, EngineDenied):
            self._ticket = None
            if self.forwarding.possible_runs:
                # Its caller could not be told that it has not run, and would get nothing.
                return listed[0]
            reason = f"{len(listed)} engines asked, longest wait {seek.max_wait_ms:.0f} ms"
            self.record.add_attempt(listed[0].instance, "denied", reason, found.wait_ms)
            spread = self.gateway.dependencies.placement.rng.random()
            return self.forwarding.after_denial(retry_delay_ms(found.wait_ms, spread))
        return next(item for item in listed if item.instance == found.instance)

    def _seek(self, listed: list[UpstreamInstance], engine: EngineLimits) -> FindEngine:
        """Return the question for an admission to one of the engines."""
        demand, now_ms = self.admitted.demand, self._now_ms
        candidates = tuple(
            Candidate(
                item.instance,
                demand.uncached_work if demand.prefix and number else demand.work,
                demand.memory,
                engine.memory_tokens,
                engine.slots,
            )
            for number, item in enumerate(listed)
        )
        left_ms = self.forwarding.left_ms(now_ms)
        budget = TimeBudget(
            self.admitted.route.target_latency_ms,
            self.forwarding.target_left_ms(now_ms),
            left_ms,
            # A stream that goes on is not broken off for others.
            least_urgent=self.admitted.least_urgent and not self.forwarding.streaming,
        )
        return FindEngine(
            self.gateway.next_ticket(),
            candidates,
            # The route's: a workspace's priority orders its requests, it does not displace others.
            self.admitted.route.priority,
            max_wait_ms(budget),
            fallback_wait_ms(budget),
            left_ms,
        )

    async def _attempt(self, instance: UpstreamInstance) -> Decision:
        """Make one attempt and return what follows from it."""
        placement = self.gateway.dependencies.placement
        began_ms = self._now_ms
        placement.record_start(instance)
        try:
            result = await self.gateway.dependencies.dispatcher.send(
                self.out, instance, self._told(instance), self._wait_ms()
            )
            if isinstance(result, UpstreamAnswer):
                result = await self._pass_on(result)
        finally:
            placement.record_end(instance)
            self._end_ticket()
        outcome = result.outcome if isinstance(result, FailedAttempt) else AttemptOutcome.ANSWERED
        reason = result.reason if isinstance(result, FailedAttempt) else ""
        now_ms = self._now_ms
        self.record.add_attempt(instance.instance, outcome.value, reason, now_ms - began_ms)
        if isinstance(result, FailedAttempt):
            self._judge(instance, result, now_ms)
        return self._decide(outcome, instance, now_ms)

    def _judge(self, instance: UpstreamInstance, failed: FailedAttempt, now_ms: float) -> None:
        """Let the placement know what the failure says of the instance."""
        placement = self.gateway.dependencies.placement
        if failed.wrong_instance:
            placement.mark_replaced(instance)
        elif failed.upstream_fault and self.forwarding.left_ms(now_ms) > 0:
            placement.record_failure(instance, now_ms)

    def _decide(
        self, outcome: AttemptOutcome, instance: UpstreamInstance, now_ms: float
    ) -> Decision:
        parts = self.gateway.dependencies
        afford = True
        if outcome is not AttemptOutcome.ERROR and self.forwarding.needs_budget(outcome, now_ms):
            entries = parts.placement.entries
            afford = parts.budget.spend(self.admitted.service, entries, now_ms)
        self._excluded.add(instance.instance)
        return self.forwarding.after_attempt(outcome, now_ms, afford)

    def _end_ticket(self) -> None:
        """Give the admission to the engine back."""
        if self._ticket is not None:
            self.gateway.dependencies.engines.ended(self._ticket)
            self._ticket = None

    def _told(self, instance: UpstreamInstance) -> SendHead:
        workspace = self.admitted.workspace
        return SendHead(
            instance.instance,
            max(1, int(self.forwarding.left_ms(self._now_ms))),
            workspace.name if workspace is not None else "",
            min(LOWEST_PRIORITY, max(0, self.admitted.priority)),
            self._splitter.last_id,
        )

    def _wait_ms(self) -> float:
        return self.forwarding.left_ms(self._now_ms) + UPSTREAM_GRACE_MS

    # Answers.

    async def _pass_on(self, answer: UpstreamAnswer) -> UpstreamAnswer | FailedAttempt:
        """Pass an answer on to the caller; return why if the upstream broke it off."""
        placement = self.gateway.dependencies.placement
        now_ms = self._now_ms
        if answer.head.load is not None:
            placement.set_reported_load(answer.instance, answer.head.load, now_ms)
        try:
            with anyio.fail_after(max(0.0, self._wait_ms()) / MS_PER_SECOND):
                if self.admitted.route.streams and answer.status == 200:
                    return await self._pass_stream(answer)
                return await self._pass_whole(answer)
        except TimeoutError:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN, "The answer did not end in time.", upstream_fault=False
            )
        except IncompleteAnswerError as exc:
            return FailedAttempt(AttemptOutcome.UNKNOWN, f"The answer broke off: {exc}.")
        finally:
            await answer.aclose()

    async def _pass_whole(self, answer: UpstreamAnswer) -> UpstreamAnswer | FailedAttempt:
        """Read an answer to its end before the caller gets any of it."""
        async with aclosing(answer.chunks()) as chunks:
            body = b"".join([chunk async for chunk in chunks])
        placement = self.gateway.dependencies.placement
        if self.exchange.started:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN,
                f"The resumed stream got {answer.status}.",
                upstream_fault=False,
            )
        if answer.status >= 500:
            placement.record_error_answer(answer.instance, self._now_ms)
            if self._may_repeat(answer.instance):
                self._error = (answer, body)
                return FailedAttempt(
                    AttemptOutcome.ERROR,
                    f"The upstream answered {answer.status}.",
                    upstream_fault=False,
                )
        else:
            placement.record_success(answer.instance, self._now_ms)
        await self._write_whole(answer, body)
        return answer

    async def _write_whole(self, answer: UpstreamAnswer, body: bytes) -> None:
        headers = (*self.gateway.answer_headers(answer), (b"content-length", b"%d" % len(body)))
        self.record.set_outcome("passed_on", "", answer.status)
        await self.exchange.start(answer.status, headers)
        await self.exchange.write(body, more=False)

    def _may_repeat(self, instance: UpstreamInstance) -> bool:
        """Tell whether an error answer gives way to another attempt; take it from the budget."""
        parts = self.gateway.dependencies
        now_ms = self._now_ms
        tried = {*self._excluded, instance.instance}
        return (
            self.forwarding.needs_budget(AttemptOutcome.ERROR, now_ms)
            and parts.placement.choose(self.admitted.service, Demand(), tried, now_ms) is not None
            and parts.budget.spend(self.admitted.service, parts.placement.entries, now_ms)
        )

    async def _pass_stream(self, answer: UpstreamAnswer) -> UpstreamAnswer | FailedAttempt:
        """Pass whole events on as they come; the head waits for the first of them."""
        self._splitter.restart()
        async with aclosing(answer.chunks()) as chunks:
            async for chunk in chunks:
                events = self._splitter.feed(chunk)
                if events:
                    await self._write_events(answer, events)
        rest = self._splitter.finish()
        self.gateway.dependencies.placement.record_success(answer.instance, self._now_ms)
        self.record.set_outcome("passed_on", "", answer.status)
        if not self.exchange.started:
            await self._start_stream(answer)
        await self.exchange.write(rest, more=False)
        return answer

    async def _write_events(self, answer: UpstreamAnswer, events: bytes) -> None:
        if not self.exchange.started:
            self.record.first_event_ms = self._now_ms - self.record.started_ms
            await self._start_stream(answer)
        if not self._read and self._ticket is not None:
            self._read = True
            self.gateway.dependencies.engines.started(self._ticket)
        self.forwarding.streaming = True
        await self.exchange.write(events, more=True)

    async def _start_stream(self, answer: UpstreamAnswer) -> None:
        await self.exchange.start(answer.status, self.gateway.answer_headers(answer))

    async def _finish(self, decision: Decision) -> None:
        """Give the final answer, or break the stream off so that it does not look complete."""
        if self.exchange.started:
            self.record.set_outcome("broken_off", decision.reason)
            self.exchange.conn.transport.close()
            return
        if self._error is not None:
            await self._write_whole(*self._error)
            return
        refusal = _refusal(decision)
        self.record.set_outcome(
            "refused" if decision.step is Step.REFUSE else "failed", decision.reason
        )
        self.record.status = refusal.status
        await self.exchange.send_refusal(self.gateway.close_if_draining(refusal))


def _refusal(decision: Decision) -> Refusal:
    if decision.step is Step.REFUSE:
        detail = f"The request has not run: {decision.reason}."
        return Refusal(503, "not_run", detail, retry_after_ms=decision.retry_after_ms)
    return TIMED_OUT if decision.step is Step.TIME_OUT else FAILED
