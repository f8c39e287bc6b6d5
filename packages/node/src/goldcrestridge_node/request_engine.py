"""Admission of one forwarded request to a model engine, and the source of the parts it lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from goldcrestridge_core.admission import TimeBudget, fallback_wait_ms, max_wait_ms, retry_delay_ms
from goldcrestridge_core.engine_types import (
    Candidate,
    EngineDenied,
    EngineFound,
    FindEngine,
    SharedPrompt,
)
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.forwarding import Decision, Forwarding
from goldcrestridge_core.routes import EngineLimits
from goldcrestridge_node.gateway_parts import AdmittedRequest
from goldcrestridge_node.request_log import RequestRecord

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway

# Bounds the questions to engine owners where a prompt names very many parts.
MAX_SHARED_PARTS = 32


@define(eq=False)
class RequestEngine:
    """Ask for admission to engines, and report the progress of the admitted request."""

    gateway: Gateway
    admitted: AdmittedRequest
    forwarding: Forwarding
    record: RequestRecord
    _ticket: str | None = None
    _prefilled: bool = False  # The completed prefill was reported to the engine admission.
    _found: EngineFound | None = None  # The engine of the next attempt.

    async def find(
        self, instances: list[UpstreamInstance], engine: EngineLimits, least_urgent: bool
    ) -> UpstreamInstance | Decision:
        """Return the engine that admits the request, or the decision if all refuse it."""
        event = self._search(instances, engine, least_urgent)
        self._ticket, self._prefilled, self._found = event.ticket, False, None
        result = await self.gateway.dependencies.engines.request_admission(event)
        if isinstance(result, EngineDenied):
            self._ticket = None
            if self.forwarding.may_have_run:
                # The caller cannot be told that the request has not run, so a denial would leave it
                # without a response. The request is sent to a busy engine instead.
                return instances[0]
            asked = " ".join(item.instance for item in instances)
            reason = (
                f"none of {len(instances)} engines can start in {event.max_wait_ms:.0f} ms, "
                f"{result.cause.value}, asked {asked}"
            )
            self.record.add_attempt(instances[0].instance, "denied", reason, result.wait_ms)
            spread = self.gateway.dependencies.placement.rng.random()
            return self.forwarding.after_denial(retry_delay_ms(result.wait_ms, spread))
        self.record.add_admission(result)
        self._found = result
        return next(item for item in instances if item.instance == result.instance)

    def _search(
        self, instances: list[UpstreamInstance], engine: EngineLimits, least_urgent: bool
    ) -> FindEngine:
        """Return the event that asks for admission to one of the engines."""
        demand, now_ms = self.admitted.demand, self.gateway.dependencies.clock.now_ms()
        candidates = tuple(
            Candidate(
                item.instance,
                demand.uncached_work if demand.prefix and number else demand.work,
                demand.memory,
                engine.memory_tokens,
                engine.slots,
                item.born,
            )
            for number, item in enumerate(instances)
        )
        left_ms = self.forwarding.left_ms(now_ms)
        time_budget = TimeBudget(
            self.admitted.route.target_latency_ms,
            self.forwarding.target_left_ms(now_ms),
            left_ms,
            least_urgent,
        )
        return FindEngine(
            self.gateway.next_ticket(),
            candidates,
            # The priority of the route alone, so that workspaces of one route share its engines.
            self.admitted.route.priority,
            max_wait_ms(time_budget),
            fallback_wait_ms(time_budget),
            left_ms,
            self._shared_prompt(engine),
        )

    def _shared_prompt(self, engine: EngineLimits) -> SharedPrompt | None:
        """Return what the engine owners need to know of the shared parts, or None without any."""
        demand = self.admitted.demand
        if not demand.prefix:
            return None
        return SharedPrompt(
            demand.parts[:MAX_SHARED_PARTS],
            demand.prompt_tokens,
            demand.cached_work,
            engine.transfer_ms_per_token,
        )

    def fetch_from(self, instance: UpstreamInstance) -> str:
        """Return the address of an engine that hands over the missing parts, or an empty text."""
        found, deps = self._found, self.gateway.dependencies
        if found is None or not found.fetch or found.instance != instance.instance:
            return ""
        source = deps.placement.part_source(
            self.admitted.service, self.admitted.demand.prefix, instance, found, deps.clock.now_ms()
        )
        if source is None:
            return ""
        self.record.add_fetch(source.instance, found.missing_tokens)
        return source.address

    def report_prefilled(self) -> None:
        """Report once that the engine has ended the prefill."""
        if not self._prefilled and self._ticket is not None:
            self._prefilled = True
            self.gateway.dependencies.engines.report_prefill_completed(self._ticket)

    def end(self) -> None:
        """Release the admission to the engine, if there is one."""
        if self._ticket is not None:
            self.gateway.dependencies.engines.report_request_ended(self._ticket)
            self._ticket = None
