"""Bounds on the wait of a request for an engine, and the retry delay of a refused caller.

Traffic patterns that the bounds handle:
- Long prompts arrive faster than the engines prefill them. With an engine queue as long as the
  latency target every request would be late until the load drops. Refusing the excess at once
  keeps the other requests on time.
- Refused callers retry while the overload lasts. Their answers are late in any case, so they get
  only the capacity that first attempts leave.
- Urgent requests next to long prompts are served late rather than refused while less urgent
  requests are served.
"""

from __future__ import annotations

from attrs import frozen

# Share of the remaining time to the latency target within which the prefill must begin. The rest
# covers the prefill itself and the error of the wait estimate.
WAIT_SHARE = 0.6
# Share of the target that a request may wait if its answer is late in any case.
LATE_WAIT_SHARE = 0.1
# Upper bound on the wait of any request, as a share of the remaining time limit.
MAX_WAIT_SHARE = 0.3
# The same bound for urgent requests after every engine has refused them. Engines admit them first,
# and they must not be refused while less urgent requests are served.
URGENT_WAIT_SHARE = 0.8
# A retry counts as late in any case if less than this share of its target is left.
LATE_RETRY_SHARE = 0.5
# Minimum retry delay and width of its jitter, as shares of the expected wait. Later retries would
# be late in any case, and the wait of an overloaded engine would be no shorter.
MIN_RETRY_SHARE = 0.15
RETRY_JITTER_SHARE = 0.3


@frozen
class TimeBudget:
    """Latency target of a request, and the time left until its target and its time limit.

    ``least_urgent`` tells whether the service has no route that is less urgent than the request's.
    """

    target_ms: float
    target_left_ms: float
    limit_left_ms: float
    least_urgent: bool


def max_wait_ms(time_budget: TimeBudget) -> float:
    """Return how long a request may wait for its prefill to begin."""
    if time_budget.target_left_ms < LATE_RETRY_SHARE * time_budget.target_ms:
        wait_ms = LATE_WAIT_SHARE * time_budget.target_ms
    else:
        wait_ms = WAIT_SHARE * time_budget.target_left_ms
    return min(wait_ms, MAX_WAIT_SHARE * time_budget.limit_left_ms)


def fallback_wait_ms(time_budget: TimeBudget) -> float:
    """Return how long a request may wait after every engine has exceeded ``max_wait_ms``."""
    if time_budget.least_urgent:
        return max_wait_ms(time_budget)
    return URGENT_WAIT_SHARE * time_budget.limit_left_ms


def retry_delay_ms(wait_ms: float, spread: float) -> float:
    """Return the time after which a refused caller should retry; ``spread`` is from 0 to 1.

    The retry comes while the answer can still be on time. A random ``spread`` keeps the refused
    callers from retrying all at once.
    """
    return wait_ms * (MIN_RETRY_SHARE + RETRY_JITTER_SHARE * spread)
