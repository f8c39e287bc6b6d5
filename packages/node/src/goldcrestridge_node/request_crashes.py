"""Evidence that one forwarded request gives on itself and on the parts of its prompt."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from attrs import define

from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.prompt_crashes import PROOF_MS
from goldcrestridge_core.request_keys import is_request_key
from goldcrestridge_node.dispatch import FailedAttempt
from goldcrestridge_node.refusals import Refusal
from goldcrestridge_node.request_log import RequestRecord

if TYPE_CHECKING:
    from goldcrestridge_node.gateway import Gateway


@define(eq=False)
class RequestCrashes:
    """Report crashes under a request, and its answers.

    ``parts`` are the name of the request, which is that of all requests with the same content of
    the same caller, and the parts of its prompt.
    """

    gateway: Gateway
    parts: tuple[str, ...]
    record: RequestRecord
    _sent_ms: float = 0.0  # When the current attempt began.
    _began_ms: float = math.inf  # When the current attempt brought its first event.
    _proved: bool = False
    _read_ms: float = -math.inf  # When the current attempt last brought events.
    _crashed: bool = False  # The upstream of the last attempt ended before it had answered.
    _scope: anyio.CancelScope | None = None

    @property
    def _now_ms(self) -> float:
        return self.gateway.dependencies.clock.now_ms()

    def refusal(self) -> Refusal | None:
        """Return the response to a request whose prompt is blocked, or None."""
        crashes = self.gateway.dependencies.crashes
        blocked = crashes.blocked_by(self.parts, self._now_ms)
        if blocked is None:
            return None
        names = " ".join(sorted(part for part in blocked if not is_request_key(part)))
        code, cause = "request_blocked", "under the same request before"
        if names:
            code, cause = "prompt_blocked", f"under the parts of its prompt {names}"
        return Refusal(
            503,
            code,
            f"The request has not run: upstreams crashed {cause}.",
            retry_after_ms=crashes.left_ms(blocked, self._now_ms),
        )

    @contextmanager
    def attempt(self) -> Iterator[anyio.CancelScope]:
        """Watch one attempt; it is cancelled if its prompt is blocked before the answer begins."""
        self._began_ms, self._proved, self._crashed = math.inf, False, False
        self._read_ms = -math.inf
        self._sent_ms = self._now_ms
        with anyio.CancelScope() as scope:
            self._scope = scope
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
        self._read_ms = self._now_ms
        if self._began_ms == math.inf:
            self._began_ms = self._now_ms
            self.gateway.unanswered.discard(self)
        elif not self._proved and self._now_ms - self._began_ms >= PROOF_MS:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that an upstream answers the prompt."""
        if not self._proved:
            self._proved = True
            began_ms = min(self._began_ms, self._now_ms)
            self.gateway.dependencies.crashes.record_answer(self.parts, began_ms)

    async def record_failure(self, instance: UpstreamInstance, failed: FailedAttempt) -> None:
        """Record a crash if the connection ended and nothing listens at the upstream any more."""
        if not failed.disconnected or (self._proved and self._read_ms == -math.inf):
            return
        deps, failed_ms = self.gateway.dependencies, self._now_ms
        if not await deps.dispatcher.refuses_connections(instance):
            proofs = deps.placement.proofs
            proofs.record_accepted(instance.instance, self._read_ms, self._now_ms)
            return
        if self._proved:
            return
        self._crashed = True
        deps.crashes.record_crash(instance.life, self.parts, failed_ms, self._sent_ms)
        deps.log.write_crash(self.record, instance.life, self.parts)
        deps.report_crash()

    def bars_retry(self) -> bool:
        """Return whether another attempt may crash another upstream."""
        if not self._crashed:
            return False
        return not self.gateway.dependencies.crashes.may_retry(self.parts, self._now_ms)
