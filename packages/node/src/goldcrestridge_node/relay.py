"""Forward one request to upstreams and the response back to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.demand import Demand
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import AttemptOutcome, Decision, Forwarding, Step
from goldcrestridge_core.routes import MAX_RANKS
from goldcrestridge_core.stream_origins import (
    FindOrigin,
    OriginFound,
    StreamBegan,
    StreamOrigin,
)
from goldcrestridge_core.upstream_notices import return_delay_ms
from goldcrestridge_node.dialect import UpstreamRequestHead
from goldcrestridge_node.dispatch import (
    FailedAttempt,
    IncompleteResponseError,
    OutgoingRequest,
    UpstreamResponse,
)
from goldcrestridge_node.event_stream import EventSplitter
from goldcrestridge_node.exchange import Exchange
from goldcrestridge_node.gateway_parts import NOT_READY, STOPPING, AdmittedRequest
from goldcrestridge_node.headers import BodyFraming, may_be_event_stream
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.relay_refusals import CANNOT_RESUME, ORIGIN_NOT_FOUND, refusal_of
from goldcrestridge_node.request_crashes import RequestCrashes
from goldcrestridge_node.request_engine import RequestEngine
from goldcrestridge_node.request_log import RequestRecord
from goldcrestridge_node.request_permits import RequestPermits

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway

# An upstream receives the remaining time and ends by itself. This node waits for this much longer.
UPSTREAM_GRACE_MS = 80.0
# A response up to this length is held until it is whole, so that a failure before that can be
# reported or repaired by another attempt.
MAX_WHOLE_RESPONSE_BYTES = 1_048_576
# Outcomes of attempts that an upstream began, or most probably did.
BEGUN = (AttemptOutcome.ANSWERED, AttemptOutcome.ERROR, AttemptOutcome.UNKNOWN)
LACKS_MEMORY = "this node has no memory left for the response"
# A longer event is taken for bytes that hold none.
MAX_EVENT_BYTES = 1_048_576
# An incomplete event up to this length is held without a reservation.
SHORT_EVENT_BYTES = 8_192


@define(eq=False)
class Relay:
    """State of one forwarded request: its attempts and the response to the caller."""

    gateway: Gateway
    exchange: Exchange
    request: OutgoingRequest
    admitted: AdmittedRequest
    forwarding: Forwarding
    record: RequestRecord
    crashes: RequestCrashes
    _excluded: set[str] = field(factory=set)
    _error_response: tuple[UpstreamResponse, bytes] | None = None
    # Set once the caller holds events of the stream.
    _origin: StreamOrigin | None = None
    _began: bool = False  # The current attempt brought an event.
    _event_bytes: int = 0  # Length of the longest incomplete event.
    _lacks_memory: bool = False  # A response did not fit, and the next one would not either.
    _arrived: bool = False  # An attempt was sent, so that each further one is a retry.
    _splitter: EventSplitter = field(init=False)
    _permits: RequestPermits = field(init=False)
    _engine: RequestEngine = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the splitter; for a resumed stream it drops the events that the caller has.

        Its position alone tells whether a stream goes on, and after which event. It stays None on
        routes without streams, where Last-Event-Id is a header like others.
        """
        last_event_id = self.request.caller_head.last_event_id
        self._splitter = EventSplitter(last_event_id if self.admitted.route.streams else None)
        self._permits = RequestPermits(self.gateway, self.admitted, self.forwarding, self.record)
        self._engine = RequestEngine(self.gateway, self.admitted, self.forwarding, self.record)

    @property
    def _now_ms(self) -> float:
        return self.gateway.dependencies.clock.now_ms()

    async def run(self) -> None:
        """Send the request until a response is forwarded or no further attempt is allowed."""
        try:
            await self._run()
        finally:
            self._engine.end()

    async def _run(self) -> None:
        if self._continues_stream and not await self._find_origin():
            return
        while True:
            instance = await self._select_instance()
            if isinstance(instance, Decision):
                await self._send_final_answer(instance)
                return
            decision = self.forwarding.before_send(self._now_ms, instance is not None)
            refusal = self._refusal() if decision.step is Step.SEND else None
            if refusal is not None:
                await self.refuse(refusal)
                return
            if decision.step is Step.SEND and instance is not None:
                decision = await self._attempt(instance)
            if decision.step is Step.PASS_ON:
                return
            if decision.step is not Step.SEND:
                await self._send_final_answer(decision)
                return

    def _refusal(self) -> Refusal | None:
        """Return why this node sends no further attempt, or None."""
        if not self._is_allowed():
            return NOT_READY
        if not self._may_finish():
            return STOPPING
        return self.crashes.refusal()

    async def refuse(self, refusal: Refusal) -> None:
        """Refuse the request as not run, or report its failure if it may have run."""
        if self.forwarding.may_have_run:
            await self._send_final_answer(self.forwarding.give_up(refusal.code))
        else:
            await self.gateway.refuse(self.exchange, refusal, self.record)

    def _may_finish(self) -> bool:
        left_ms = self.forwarding.left_ms(self._now_ms)
        return self.gateway.may_finish(self.admitted.route, left_ms)

    @property
    def _continues_stream(self) -> bool:
        """Tell whether the caller holds events of the stream."""
        return self._splitter.last_id is not None

    async def _find_origin(self) -> bool:
        """Find the origin of the stream that the caller takes up, or refuse the request."""
        if not self.admitted.route.resumable:
            await self.refuse(CANNOT_RESUME)
            return False
        deps = self.gateway.dependencies
        ticket = self.gateway.next_ticket()
        event = FindOrigin(
            ticket,
            self.request.caller_head.resumed_request_id,
            self.admitted.service,
        )
        found: OriginFound = await deps.origins.ask(ticket, event)
        self.record.set_origin(found)
        if found.origin is not None and self._admit_to_origin(found.origin):
            # The caller may name this attempt when it takes the stream up once more.
            self._origin = evolve(found.origin, request_id=self.record.request_id)
            self._post_origin()
            return True
        may_be_held = found.origin is None and not found.complete
        refusal = ORIGIN_NOT_FOUND if may_be_held else CANNOT_RESUME
        await self.refuse(refusal)
        return False

    def _admit_to_origin(self, origin: StreamOrigin) -> bool:
        """Admit the request to the service that began the stream; return False if none fits."""
        head = self.request.caller_head
        admitted = self.gateway.admit_to_service(self.admitted, origin.service, head)
        if admitted is None or not self.gateway.dependencies.placement.serves_version(origin):
            return False
        self.admitted = self._permits.admitted = self._engine.admitted = admitted
        return True

    def _record_origin(self, response: UpstreamResponse) -> None:
        """Record the origin of a stream before its first event is written.

        Its version is empty until it is known that the run in the list has answered. Nothing can
        take the stream up until then.
        """
        instance, now_ms = response.instance, self._now_ms
        if self._origin is not None and (
            self._origin.version or self._origin.instance != instance.instance
        ):
            return
        origin = StreamOrigin(self.record.request_id, self.admitted.service, instance.instance, "")
        if self.gateway.dependencies.placement.answers(instance, response.opened_ms, now_ms):
            origin = evolve(origin, version=instance.version, weights=instance.weights)
        if origin != self._origin:
            self._origin = origin
            self._post_origin()

    def _post_origin(self) -> None:
        """Hold the origin of the stream at several entry nodes, under the id of this attempt."""
        if self._origin is not None and self.admitted.route.resumable:
            self.gateway.dependencies.origins.post(StreamBegan(self._origin))

    @property
    def _demand(self) -> Demand:
        """Return the demand, with the origin of a stream that has begun."""
        demand = self.admitted.demand
        return demand if self._origin is None else evolve(demand, origin=self._origin)

    def _is_allowed(self) -> bool:
        return self.forwarding.may_have_run or self.gateway.is_still_authorized(
            self.admitted, self.request.caller_head.key
        )

    def _denied(self, instance: UpstreamInstance) -> str:
        """Return why the request may no longer be sent to an instance, or an empty text."""
        if not self._is_allowed():
            return "the routes are no longer known to be current"
        placement, now_ms = self.gateway.dependencies.placement, self._now_ms
        if self._origin is not None and not placement.runs(instance, now_ms):
            return "the upstream may have been started again with another software version"
        return self._permits.denied()

    def _choose_instance(self) -> UpstreamInstance | None:
        admitted = self.admitted
        return self.gateway.dependencies.placement.choose(
            admitted.service,
            self._demand,
            self._excluded | self._permits.excluded(),
            self._now_ms,
        )

    async def _select_instance(self) -> UpstreamInstance | Decision | None:
        """Return the upstream for the next attempt, or None if no upstream is usable.

        An upstream that names a limit is used only with a permit. If all of them lack one, the
        request is refused. If it may have run, it waits for the next permit instead, unless the
        caller can get the error response of the last attempt at once.
        """
        permits = self._permits
        permits.refused.clear()
        self._record_avoided()
        while True:
            instance = await self._find_instance()
            if isinstance(instance, UpstreamInstance):
                if await permits.has_permit(instance):
                    return instance
                self._engine.end()
            elif instance is not None:
                return instance
            elif not permits.refused:
                return self._refusal_for_rest()
            elif not self.forwarding.may_have_run:
                return permits.refusal()
            elif self._error_response is not None or not await permits.wait_for_next():
                return None

    def _record_avoided(self) -> None:
        """Name in the log the upstreams that are passed over for what they said."""
        placement = self.gateway.dependencies.placement
        avoided = placement.avoided(self.admitted.service, self._now_ms)
        if avoided:
            self.record.set_avoided(avoided)

    def _refusal_for_rest(self) -> Decision | None:
        """Return the final decision if no upstream is usable because some want no requests."""
        placement = self.gateway.dependencies.placement
        left_ms = placement.rest_left_ms(
            self.admitted.service, self._excluded, self._origin, self._now_ms
        )
        if left_ms is None:
            return None
        rank_share = self.admitted.rank / (MAX_RANKS - 1)
        return self.forwarding.after_rest(
            return_delay_ms(left_ms, rank_share, placement.rng.random())
        )

    async def _find_instance(self) -> UpstreamInstance | Decision | None:
        """Return the best upstream, or None if no upstream is usable.

        For engines, admission is requested first; a denial can be the final decision.
        """
        engine = self.admitted.engine
        if engine is None:
            return self._choose_instance()
        candidates = self.gateway.dependencies.placement.candidates(
            self.admitted.service,
            self._demand,
            self._excluded | self._permits.excluded(),
            self._now_ms,
        )
        if not candidates:
            return None
        return await self._engine.find(
            candidates,
            engine,
            # A stream that has begun must not fail in favour of other requests.
            least_urgent=self.admitted.least_urgent and self._origin is None,
        )

    async def _attempt(self, instance: UpstreamInstance) -> Decision:
        """Make one attempt and return the decision on the next step."""
        if not self._spend_retry():
            return self.forwarding.give_up("the retry budget of the service is spent")
        placement = self.gateway.dependencies.placement
        started_ms = self._now_ms
        placement.record_start(instance)
        self.record.add_start(instance.version, self._splitter.last_id, self.admitted.route.streams)
        result: UpstreamResponse | FailedAttempt | None = None
        try:
            result = await self._send(instance)
        finally:
            placement.record_end(instance)
            self._engine.end()
            if result is None and not self.admitted.route.streams:
                # The caller left while the upstream was at work.
                self._count_begun(started_ms)
        outcome = result.outcome if isinstance(result, FailedAttempt) else AttemptOutcome.ANSWERED
        reason = result.reason if isinstance(result, FailedAttempt) else ""
        now_ms = self._now_ms
        self.record.add_attempt(instance.instance, outcome.value, reason, now_ms - started_ms)
        if outcome is AttemptOutcome.ANSWERED:
            self.gateway.route_times.record(self.admitted.route.name, now_ms - started_ms)
        if not self.admitted.route.streams and outcome in BEGUN:
            self._count_begun(started_ms)
        if isinstance(result, FailedAttempt):
            self._report_failure(instance, result, now_ms)
            await self.crashes.record_failure(instance, result)
        return self._decide_next(outcome, instance, now_ms)

    def _count_begun(self, began_ms: float) -> None:
        """Count a request that an upstream began for a workspace."""
        if self.admitted.workspace is not None:
            self.gateway.dependencies.count_begun(self.admitted.workspace.name, began_ms)

    async def _send(self, instance: UpstreamInstance) -> UpstreamResponse | FailedAttempt:
        """Send the request to an instance and forward the response."""
        result: UpstreamResponse | FailedAttempt | None = None
        with self.crashes.attempt():
            sent = True  # An attempt that is cancelled may have been.
            try:
                answer = await self.gateway.dependencies.dispatcher.send(
                    self.request,
                    instance,
                    self._build_request_head(instance),
                    self._timeout_ms(),
                    lambda: self._denied(instance),
                    self.forwarding.begin_attempt,
                )
                sent = (
                    isinstance(answer, UpstreamResponse)
                    or answer.outcome is not AttemptOutcome.NOT_SENT
                )
            finally:
                self._settle_retry(sent)
            if isinstance(answer, UpstreamResponse):
                result = await self._forward(answer)
            else:
                result = answer
        return result or FailedAttempt(
            self.forwarding.cancelled_outcome(),
            "The attempt was cancelled, since its prompt was blocked.",
            upstream_fault=False,
        )

    def _report_failure(
        self, instance: UpstreamInstance, failed: FailedAttempt, now_ms: float
    ) -> None:
        """Report a failed attempt to the placement if it concerns the instance.

        A failure after the deadline is not held against the instance.
        """
        placement = self.gateway.dependencies.placement
        if failed.wrong_instance:
            placement.mark_replaced(instance)
        elif failed.upstream_fault and self.forwarding.left_ms(now_ms) > 0:
            if failed.outcome is AttemptOutcome.NOT_SENT:
                placement.record_unreachable(instance, now_ms)
            else:
                placement.record_failure(instance, now_ms)

    def _decide_next(
        self, outcome: AttemptOutcome, instance: UpstreamInstance, now_ms: float
    ) -> Decision:
        self._excluded.add(instance.instance)
        if self._lacks_memory:
            self.forwarding.after_attempt(outcome, now_ms, has_retry_budget=False)
            return self.forwarding.give_up(LACKS_MEMORY)
        if outcome is AttemptOutcome.UNKNOWN and self.crashes.bars_retry():
            self.forwarding.after_attempt(outcome, now_ms, has_retry_budget=False)
            return self.forwarding.give_up("upstreams crashed under the request")
        has_retry_budget = True
        if outcome is not AttemptOutcome.ERROR and self.forwarding.needs_retry_budget(
            outcome, now_ms
        ):
            has_retry_budget = self._may_spend_retry(now_ms)
        return self.forwarding.after_attempt(outcome, now_ms, has_retry_budget)

    def _may_spend_retry(self, now_ms: float) -> bool:
        """Tell whether the budget of the service covers a retry; it is charged once it is sent."""
        deps, service = self.gateway.dependencies, self.admitted.service
        state = deps.retry_budget.state(service, now_ms)
        if state.left < 1.0:
            deps.log.count_denied_retry(self.record, service, state)
        return state.left >= 1.0

    def _spend_retry(self) -> bool:
        """Charge an attempt unless it is the first one that may reach an upstream."""
        if not self._arrived:
            return True
        now_ms = self._now_ms
        if not self._may_spend_retry(now_ms):
            return False
        return self.gateway.dependencies.retry_budget.spend(self.admitted.service, now_ms)

    def _settle_retry(self, sent: bool) -> None:
        """Record that an attempt has arrived by now, or that it was not sent."""
        if self._arrived:
            deps, service = self.gateway.dependencies, self.admitted.service
            deps.retry_budget.settle(service, sent, self._now_ms)
            if sent:
                deps.log.count_retry(service)
        self._arrived = self._arrived or sent

    def _build_request_head(self, instance: UpstreamInstance) -> UpstreamRequestHead:
        workspace = self.admitted.workspace
        return UpstreamRequestHead(
            instance.instance,
            max(1, int(self.forwarding.left_ms(self._now_ms))),
            workspace.name if workspace is not None else "",
            self.admitted.rank,
            self._splitter.last_id,
            self._engine.fetch_from(instance),
        )

    def _timeout_ms(self) -> float:
        return self.forwarding.left_ms(self._now_ms) + UPSTREAM_GRACE_MS

    # Forwarding of responses.

    async def _forward(self, response: UpstreamResponse) -> UpstreamResponse | FailedAttempt:
        """Forward a response to the caller, or return why it could not be forwarded."""
        placement = self.gateway.dependencies.placement
        now_ms = self._now_ms
        if response.head.load is not None:
            placement.set_reported_load(response.instance, response.head.load, now_ms)
        try:
            with anyio.fail_after(max(0.0, self._timeout_ms()) / MS_PER_SECOND):
                if self._is_stream(response):
                    return await self._forward_stream(response)
                return await self._forward_whole(response)
        except TimeoutError:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN,
                "The response did not end before the deadline.",
                upstream_fault=False,
            )
        except IncompleteResponseError as exc:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN, f"The response is incomplete: {exc}.", disconnected=True
            )
        finally:
            await response.aclose()

    def _is_stream(self, response: UpstreamResponse) -> bool:
        """Tell whether the response is forwarded event by event."""
        return (
            self.admitted.route.streams
            and response.status == 200
            and may_be_event_stream(response.head.forwarded_headers)
        )

    async def _forward_whole(self, response: UpstreamResponse) -> UpstreamResponse | FailedAttempt:
        """Read a response to its end before any of it is sent to the caller.

        One that is longer than MAX_WHOLE_RESPONSE_BYTES is passed on as it arrives from there.
        """
        parts: list[bytes] = []
        size = 0
        async with aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                if not self.exchange.reserve_response(len(chunk)):
                    self._lacks_memory = True
                    return FailedAttempt(AttemptOutcome.UNKNOWN, LACKS_MEMORY, upstream_fault=False)
                parts.append(chunk)
                size += len(chunk)
                if size > MAX_WHOLE_RESPONSE_BYTES:
                    return await self._forward_long(response, parts, chunks)
        body = b"".join(parts)
        self.crashes.record_event()
        self._record_read(response)
        self.record.add_body_end(response.framing)
        if self.exchange.started:
            return FailedAttempt(
                AttemptOutcome.UNKNOWN,
                f"The attempt to resume the stream got status {response.status}.",
                upstream_fault=False,
            )
        self._report_answer(response)
        if response.status >= 500 and self._may_retry_error(response.instance):
            self._error_response = (response, body)
            return FailedAttempt(
                AttemptOutcome.ERROR,
                f"The upstream answered with status {response.status}.",
                upstream_fault=False,
            )
        await self._write_whole(response, body)
        return response

    async def _forward_long(
        self, response: UpstreamResponse, parts: list[bytes], chunks: AsyncIterator[bytes]
    ) -> UpstreamResponse:
        """Pass a long response on as it arrives; it can't go on elsewhere once it has begun."""
        if self.exchange.started or self.exchange.scope["http_version"] != "1.1":
            raise IncompleteResponseError("it is too long to be held")
        self.forwarding.committed = True
        self.crashes.record_event()
        await self._start_response(response)
        await self.exchange.write(b"".join(parts), more=True)
        async for chunk in chunks:
            await self.exchange.write(chunk, more=True)
        self.record.add_body_end(response.framing)
        self._report_answer(response)
        self.record.set_outcome("passed_on", "", response.status)
        await self.exchange.write(b"", more=False)
        return response

    def _report_answer(self, response: UpstreamResponse) -> None:
        """Report a whole answer to the placement.

        An upstream that asks for a rest is busy, which says nothing about its health.
        """
        placement = self.gateway.dependencies.placement
        if response.status < 500:
            self.crashes.record_answer()
            placement.record_success(response.instance, self._now_ms)
        elif not response.head.rest_ms:
            placement.record_error_answer(response.instance, self._now_ms)

    async def _write_whole(self, response: UpstreamResponse, body: bytes) -> None:
        headers = (
            *self.gateway.caller_response_headers(response),
            (b"content-length", b"%d" % len(body)),
        )
        self.record.set_outcome("passed_on", "", response.status)
        await self.exchange.start(response.status, headers)
        await self.exchange.write(body, more=False)

    def _may_retry_error(self, instance: UpstreamInstance) -> bool:
        """Tell whether to retry after an error response; the retry is charged to the budget."""
        deps = self.gateway.dependencies
        now_ms = self._now_ms
        tried = {*self._excluded, instance.instance}
        return (
            self.forwarding.needs_retry_budget(AttemptOutcome.ERROR, now_ms)
            and deps.placement.choose(
                self.admitted.service, Demand(origin=self._origin), tried, now_ms
            )
            is not None
            and self._may_spend_retry(now_ms)
        )

    async def _forward_stream(self, response: UpstreamResponse) -> UpstreamResponse | FailedAttempt:
        """Forward complete events as they arrive; the head is sent with the first of them."""
        self._splitter.restart()
        self._began = False
        async with aclosing(response.chunks()) as chunks:
            async for chunk in chunks:
                events = self._splitter.feed(chunk)
                if not self._reserve_event():
                    self._lacks_memory = True
                    return FailedAttempt(AttemptOutcome.UNKNOWN, LACKS_MEMORY, upstream_fault=False)
                if events:
                    await self._write_events(response, events)
        remainder = self._splitter.remainder
        self.record.add_body_end(response.framing, len(remainder))
        # The framing tells only that the upstream ended the body, not that it ended the stream.
        if self._splitter.inside_event:
            raise IncompleteResponseError("it ended inside an event")
        if response.framing is BodyFraming.CLOSE and not self._splitter.has_events:
            raise IncompleteResponseError("its connection was closed before the first event")
        self.gateway.dependencies.placement.record_success(response.instance, self._now_ms)
        self.crashes.record_answer()
        self.record.set_outcome("passed_on", "", response.status)
        if not self.exchange.started:
            await self._start_response(response)
        await self.exchange.write(remainder, more=False)
        return response

    def _reserve_event(self) -> bool:
        """Reserve memory for an incomplete event; return False if the process has none left.

        Raise IncompleteResponseError if it is too long.
        """
        size = len(self._splitter.remainder)
        if size > MAX_EVENT_BYTES:
            raise IncompleteResponseError("an event is too long")
        more = size - max(self._event_bytes, SHORT_EVENT_BYTES)
        if more > 0 and not self.exchange.reserve_response(more):
            return False
        self._event_bytes = max(self._event_bytes, size)
        return True

    async def _write_events(self, response: UpstreamResponse, events: bytes) -> None:
        self.crashes.record_event()
        self._record_read(response)
        if not self._began:
            self._began = True
            self._count_begun(self._now_ms)
        self._record_origin(response)
        if not self.exchange.started:
            await self._start_response(response)
        self._engine.report_prefilled()
        self.forwarding.streaming = True
        self.forwarding.committed = self._splitter.ends_without_id
        self.record.add_event(self._now_ms)
        await self.exchange.write(events, more=True)

    def _record_read(self, response: UpstreamResponse) -> None:
        self.gateway.dependencies.placement.proofs.record_read(
            response.instance.instance, response.opened_ms, self._now_ms
        )

    async def _start_response(self, response: UpstreamResponse) -> None:
        await self.exchange.start(response.status, self.gateway.caller_response_headers(response))

    async def _send_final_answer(self, decision: Decision) -> None:
        """Send the final response, or abort a started stream so that it does not look complete."""
        if self.exchange.started:
            self.record.set_outcome("broken_off", decision.reason)
            self.exchange.conn.transport.close()
            return
        if self._error_response is not None:
            await self._write_whole(*self._error_response)
            return
        refusal = refusal_of(decision)
        self.record.set_outcome(
            "refused" if decision.step is Step.REFUSE else "failed", decision.reason
        )
        self.record.status = refusal.status
        await self.exchange.send_refusal(self.gateway.close_if_draining(refusal))
