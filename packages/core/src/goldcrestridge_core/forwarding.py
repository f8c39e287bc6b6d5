"""Decisions on one forwarded request: whether to retry, pass an answer on, or refuse.

A request that is not repeatable is never sent again after an attempt that may have run it. A
request is reported as not run only if that is certain.
"""

from __future__ import annotations

import enum

from attrs import define, evolve, frozen

from goldcrestridge_core.routes import Route

# Upper bound on the attempts of one request, including those that were not sent and those that an
# upstream refused or rejected.
MAX_ATTEMPTS = 4
# With less time left, no attempt is made, since no upstream could answer in time.
MIN_REMAINING_MS = 15.0
# Default Retry-After of a refusal: an upstream ends about one request in this time, and a restarted
# node receives the routes.
RETRY_AFTER_MS = 250.0
# Lower bound of the Retry-After when engines are busy: about the time to open a new connection.
MIN_RETRY_AFTER_MS = 50.0


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt."""

    NOT_SENT = "not_sent"  # No byte of the request was sent.
    NOT_RUN = "not_run"  # The upstream reported that it did not run the request.
    UNKNOWN = "unknown"  # The request may have run, and there is no valid answer.
    ERROR = "error"  # The upstream ran the request and answered with an error.
    ANSWERED = "answered"


class Step(enum.Enum):
    """Next step for a request."""

    SEND = "send"
    PASS_ON = "pass_on"  # Pass the upstream's answer on to the caller.
    REFUSE = "refuse"  # The request certainly has not run and will not run.
    FAIL = "fail"  # The request may have run.
    TIME_OUT = "time_out"  # The request may have run, and its deadline has passed.


@frozen
class Decision:
    """The next step; ``retry_after_ms`` is sent with a refusal and negative otherwise."""

    step: Step
    reason: str = ""
    retry_after_ms: float = -1.0


@define
class Forwarding:
    """State of one forwarded request; times are monotonic milliseconds.

    ``possible_runs`` counts the ended attempts that may have run the request, ``failed_attempts``
    all that did not end with a valid answer, including those that were not sent.
    """

    route: Route
    deadline_ms: float
    possible_runs: int = 0
    failed_attempts: int = 0
    streaming: bool = False  # The caller has received events.
    committed: bool = False  # The caller has received a part that no other attempt can complete.
    _sending: bool = False  # An attempt was sent, and ``after_attempt`` has not got its outcome.

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request or may still run it.

        Every answer that promises the opposite depends on this. An attempt counts from its first
        byte on, until it is certain that its upstream did not run the request.
        """
        return self._sending or self.possible_runs > 0

    def begin_attempt(self) -> None:
        """Record that the request is sent from now on."""
        self._sending = True

    def cancelled_outcome(self) -> AttemptOutcome:
        """Return the outcome of an attempt that ends now without an answer."""
        return AttemptOutcome.UNKNOWN if self._sending else AttemptOutcome.NOT_SENT

    def left_ms(self, now_ms: float) -> float:
        """Return the time left until the deadline; negative once it has passed."""
        return self.deadline_ms - now_ms

    def target_left_ms(self, now_ms: float) -> float:
        """Return the time left until the latency target, counted from the start of the request."""
        used_ms = self.route.timeout_ms - self.left_ms(now_ms)
        return self.route.target_latency_ms - used_ms

    def before_send(self, now_ms: float, has_upstream: bool) -> Decision:
        """Decide whether to send the request; ``has_upstream`` tells if an upstream is usable."""
        if self.left_ms(now_ms) < MIN_REMAINING_MS:
            return self._out_of_time("no time is left")
        if not has_upstream:
            return self.give_up("no upstream of the service is usable")
        return Decision(Step.SEND)

    def after_attempt(
        self, outcome: AttemptOutcome, now_ms: float, has_retry_budget: bool
    ) -> Decision:
        """Decide what follows an attempt.

        ``has_retry_budget`` tells whether the retry budget covers another attempt. It matters only
        if ``needs_retry_budget`` returned True.
        """
        if outcome is AttemptOutcome.ANSWERED:
            return Decision(Step.PASS_ON)
        self.failed_attempts += 1
        if outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.ERROR):
            self.possible_runs += 1
        self._sending = False
        retry = self._may_retry(now_ms) and (has_retry_budget or outcome is AttemptOutcome.NOT_SENT)
        if retry:
            return Decision(Step.SEND)
        if outcome is AttemptOutcome.ERROR:
            return Decision(Step.PASS_ON)
        if self.left_ms(now_ms) < MIN_REMAINING_MS:
            return self._out_of_time(f"the last attempt was {outcome.value}")
        return self.give_up(f"the last attempt was {outcome.value}")

    def needs_retry_budget(self, outcome: AttemptOutcome, now_ms: float) -> bool:
        """Return whether a retry is allowed after this outcome and has to be paid from the budget.

        A retry after NOT_SENT is free, since no upstream has received the request.
        """
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_SENT):
            return False
        possible_runs = self.possible_runs + (
            outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.ERROR)
        )
        return self._allows_attempt(possible_runs, self.failed_attempts + 1, now_ms)

    def _may_retry(self, now_ms: float) -> bool:
        return self._allows_attempt(self.possible_runs, self.failed_attempts, now_ms)

    def _allows_attempt(self, possible_runs: int, failed_attempts: int, now_ms: float) -> bool:
        """Return whether the deadline and the rules of the route allow one more attempt."""
        if self.left_ms(now_ms) < MIN_REMAINING_MS or failed_attempts >= MAX_ATTEMPTS:
            return False
        if self.committed:
            return False
        if not possible_runs:
            return True
        if not self.route.repeatable or (self.streaming and not self.route.resumable):
            return False
        return possible_runs < self.route.attempts

    def give_up(self, reason: str) -> Decision:
        """Return the final decision for a request that gets no further attempt."""
        if self.may_have_run:
            return Decision(Step.FAIL, reason)
        return Decision(Step.REFUSE, reason, RETRY_AFTER_MS)

    def after_denial(self, retry_delay_ms: float) -> Decision:
        """Return the final decision for a request that every engine refused to admit."""
        return self._give_up_until("every engine is too busy to begin in time", retry_delay_ms)

    def after_permit_refusal(self, retry_delay_ms: float) -> Decision:
        """Return the final decision for a request without a permit for any upstream."""
        reason = "every upstream has reached the limit that it named"
        return self._give_up_until(reason, retry_delay_ms)

    def after_rest(self, retry_delay_ms: float) -> Decision:
        """Return the final decision for a request while every upstream wants no requests."""
        return self._give_up_until("every upstream has asked for a rest", retry_delay_ms)

    def _give_up_until(self, reason: str, retry_delay_ms: float) -> Decision:
        decision = self.give_up(reason)
        if decision.step is Step.REFUSE:
            return evolve(decision, retry_after_ms=max(MIN_RETRY_AFTER_MS, retry_delay_ms))
        return decision

    def _out_of_time(self, reason: str) -> Decision:
        if self.may_have_run:
            return Decision(Step.TIME_OUT, reason)
        return Decision(Step.REFUSE, reason, RETRY_AFTER_MS)
