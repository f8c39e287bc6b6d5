"""How long a request may wait for an engine, and when a refused caller should return.

Load patterns that it answers:
- long prompts come faster than engines read them: an engine's queue that is as long as the target
  makes all requests late for as long as the load goes on; refusing the excess at once keeps the
  others on time;
- refused callers return while the load goes on: their answers are late in any case, so they get
  what the first attempts of others leave;
- more urgent requests beside long prompts: they are late rather than refused, while less urgent
  ones are served.
"""

from __future__ import annotations

from attrs import frozen

# Share of the time until a first event is late in which the engine must begin to read the prompt;
# the rest is for reading it, and for the error of the forecast.
WAIT_SHARE = 0.6
# Share of the target that a request may wait whose answer is late in any case.
LATE_WAIT_SHARE = 0.1
# Share of the time left that any request may wait until it is read.
MAX_WAIT_SHARE = 0.3
# The same for the more urgent ones once no engine would read them in time: engines admit them
# first, and they must not be refused while less urgent requests are served.
URGENT_WAIT_SHARE = 0.8
# A caller that returns is late if less than this share of its target is left.
LATE_RETRY_SHARE = 0.5
# Shares of the expected wait after which the first and the last refused callers return. Later
# returns are late in any case, and a wait of an overloaded engine is no shorter after it.
MIN_RETRY_SHARE = 0.15
RETRY_JITTER_SHARE = 0.3


@frozen
class TimeBudget:
    """Times of a request in milliseconds: its target, what is left of it, and of its limit.

    ``least_urgent`` tells whether the service has no less urgent requests.
    """

    target_ms: float
    target_left_ms: float
    limit_left_ms: float
    least_urgent: bool


def max_wait_ms(budget: TimeBudget) -> float:
    """Return how long a request may wait until an engine begins to read it."""
    if budget.target_left_ms < LATE_RETRY_SHARE * budget.target_ms:
        wait_ms = LATE_WAIT_SHARE * budget.target_ms
    else:
        wait_ms = WAIT_SHARE * budget.target_left_ms
    return min(wait_ms, MAX_WAIT_SHARE * budget.limit_left_ms)


def fallback_wait_ms(budget: TimeBudget) -> float:
    """Return the same for a request that no engine would begin to read within that time."""
    if budget.least_urgent:
        return max_wait_ms(budget)
    return URGENT_WAIT_SHARE * budget.limit_left_ms


def retry_delay_ms(wait_ms: float, spread: float) -> float:
    """Return after which time a refused caller should return; ``spread`` is from 0 to 1.

    It returns while its answer can still be on time. The returns are spread, so that they do not
    come back as one wave.
    """
    return wait_ms * (MIN_RETRY_SHARE + RETRY_JITTER_SHARE * spread)
