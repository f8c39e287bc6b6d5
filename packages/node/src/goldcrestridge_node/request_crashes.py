"""Evidence that one forwarded request gives on the parts of its prompt."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from attrs import define

from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.prompt_crashes import PROOF_MS
from goldcrestridge_node.dispatch import FailedAttempt
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.request_log import RequestRecord

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway


@define(eq=False)
class RequestCrashes:
    """Report crashes under a request, and its answers; ``parts`` are those of its prompt."""

    gateway: Gateway
    parts: tuple[str, ...]
    record: RequestRecord
    key: str  # Names the request; the same request of the same caller has the same name.
    _began_ms: float = math.inf  # When the current attempt brought its first event.
    _proved: bool = False
    _crashed: bool = False  # The upstream of the last attempt ended before it had answered.
    _scope: anyio.CancelScope | None = None

    @property
    def _now_ms(self) -> float:
        return self.gateway.dependencies.clock.now_ms()

    def refusal(self) -> Refusal | None:
        """Return the response to a request whose prompt is blocked, or None."""
        if not self.parts:
            return None
        crashes = self.gateway.dependencies.crashes
        blocked = crashes.blocked_by(self.parts, self._now_ms)
        if blocked is None:
            return None
        names = " ".join(sorted(blocked))
        return Refusal(
            503,
            "prompt_blocked",
            f"The request has not run: upstreams crashed under the parts of its prompt {names}.",
            retry_after_ms=crashes.left_ms(blocked, self._now_ms),
        )

    @contextmanager
    def attempt(self) -> Iterator[anyio.CancelScope]:
        """Watch one attempt; it is cancelled if its prompt is blocked before the answer begins."""
        self._began_ms, self._proved, self._crashed = math.inf, False, False
        with anyio.CancelScope() as scope:
            self._scope = scope
            if self.parts:
                self.gateway.unanswered.add(self)
            try:
                yield scope
            finally:
                self._scope = None
                self.gateway.unanswered.discard(self)

    def cancel_if_blocked(self) -> None:
        """Cancel the attempt under way if the prompt is blocked now."""
        if self._scope is not None and self.refusal() is not None:
            self._scope.cancel()

    def record_event(self) -> None:
        """Record that events of the answer arrived."""
        if self._began_ms == math.inf:
            self._began_ms = self._now_ms
            self.gateway.unanswered.discard(self)
        elif not self._proved and self._now_ms - self._began_ms >= PROOF_MS:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that an upstream answers the prompt."""
        if self.parts and not self._proved:
            self._proved = True
            began_ms = min(self._began_ms, self._now_ms)
            self.gateway.dependencies.crashes.record_answer(self.parts, began_ms)

    async def record_failure(self, instance: UpstreamInstance, failed: FailedAttempt) -> None:
        """Record a crash if the connection ended and nothing listens at the upstream any more."""
        if self._proved or not failed.disconnected:
            return
        deps = self.gateway.dependencies
        if not await deps.dispatcher.refuses_connections(instance):
            return
        deps.log.write_crash(self.record, instance.life, (self.key, *self.parts))
        if not self.parts:
            return
        self._crashed = True
        deps.crashes.record_crash(instance.life, self.parts, self._now_ms)
        deps.report_crash()

    def bars_retry(self) -> bool:
        """Return whether another attempt may crash another upstream."""
        if not self._crashed:
            return False
        return not self.gateway.dependencies.crashes.may_retry(self.parts, self._now_ms)
