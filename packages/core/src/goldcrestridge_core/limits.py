"""Concurrency and token rate limits per workspace and per site."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import Factory, define

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration, Limit

# Capacity of a token bucket, as the time to fill it: bounds the burst after an idle period.
TOKEN_BURST_MS = 2_000.0

LimitKey = tuple[str, str]  # Workspace and site; an empty string matches all of them.


@define
class _LimitState:
    """Use of one limit; ``tokens`` is the budget of its token bucket, negative for debt."""

    limit: Limit
    running: int = 0
    tokens: float = 0.0
    refilled_ms: float = 0.0

    def refill(self, now_ms: float) -> None:
        rate = self.limit.tokens_per_second
        if rate is None:
            return
        earned = rate * max(0.0, now_ms - self.refilled_ms) / MS_PER_SECOND
        self.tokens = min(rate * TOKEN_BURST_MS / MS_PER_SECOND, self.tokens + earned)
        self.refilled_ms = max(self.refilled_ms, now_ms)


@define
class Limits:
    """Count running requests and tokens against the limits of a configuration.

    A request counts against the limit of its workspace, that of its site, and the one that its
    site sets for its workspace. Limits are exact across all entry nodes, because only the slot
    owner counts. A request may start while the token budget is positive and may take it below
    zero, so that a request larger than the budget can run.
    """

    cfg: Configuration
    _states: dict[LimitKey, _LimitState] = Factory(dict)

    def with_configuration(self, cfg: Configuration, now_ms: float) -> Limits:
        """Return the limits of a new configuration with the token budgets of these limits.

        No request counts as running; call ``count_running`` for each one that does.
        """
        new_limits = Limits(cfg)
        for key, state in self._states.items():
            limit = new_limits._configured_limit(key)
            if limit is not None:
                state.refill(now_ms)
                new_limits._states[key] = _LimitState(limit, 0, state.tokens, now_ms)
        return new_limits

    def count_running(self, workspace: str, site: str, now_ms: float) -> None:
        """Count a request that is already running, without charging its tokens again."""
        for _, state in self._applicable_limits(workspace, site, now_ms):
            state.running += 1

    def find_blocking_limit(self, workspace: str, site: str, now_ms: float) -> LimitKey | None:
        """Return the key of the first limit that blocks a request from starting, or None."""
        for key, state in self._applicable_limits(workspace, site, now_ms):
            max_concurrent = state.limit.max_concurrent
            if max_concurrent is not None and state.running >= max_concurrent:
                return key
            if state.limit.tokens_per_second is not None and state.tokens <= 0.0:
                return key
        return None

    def token_budget_wait_ms(self, key: LimitKey, now_ms: float) -> float | None:
        """Return the time until the token budget is positive, None if only a release unblocks."""
        state = self._states.get(key)
        if state is None:
            return 0.0
        state.refill(now_ms)
        rate = state.limit.tokens_per_second
        if rate is None or state.tokens > 0.0:
            return None
        if rate <= 0.0:
            return float("inf")
        # One token more than the debt, since the budget must be above zero.
        return (1.0 - state.tokens) * MS_PER_SECOND / rate

    def expected_wait_ms(
        self, key: LimitKey, ahead: int, hold_ms: float, tokens: float, now_ms: float
    ) -> float:
        """Return the time until a limit admits a request behind ``ahead`` similar ones.

        ``hold_ms`` and ``tokens`` are the expected slot time and token count of each request.
        """
        state = self._states[key]
        max_concurrent = state.limit.max_concurrent
        slots_ms = 0.0
        if max_concurrent is not None and state.running >= max_concurrent:
            slots_ms = (
                (ahead + 1) * hold_ms / max_concurrent if max_concurrent > 0 else float("inf")
            )
        rate = state.limit.tokens_per_second
        tokens_ms = self.token_budget_wait_ms(key, now_ms) or 0.0
        if rate is not None and rate > 0.0:
            tokens_ms += max(0, ahead) * tokens * MS_PER_SECOND / rate
        return max(slots_ms, tokens_ms)

    def charge(self, workspace: str, site: str, tokens: float, now_ms: float) -> None:
        """Charge further tokens to the limits of a running request."""
        for _, state in self._applicable_limits(workspace, site, now_ms):
            state.tokens -= tokens

    def record_start(self, workspace: str, site: str, tokens: float, now_ms: float) -> None:
        """Count a started request and charge its expected prompt and output ``tokens``."""
        for _, state in self._applicable_limits(workspace, site, now_ms):
            state.running += 1
            state.tokens -= tokens

    def record_end(
        self, workspace: str, site: str, expected: float, actual: float, now_ms: float
    ) -> list[LimitKey]:
        """Count the end of a request, correct its charge, and return the limits it counted for."""
        keys = []
        for key, state in self._applicable_limits(workspace, site, now_ms):
            state.running -= 1
            state.tokens += expected - actual
            keys.append(key)
        return keys

    def running_count(self, workspace: str, site: str = "") -> int:
        """Return the number of running requests under a limit, 0 if there is no such limit."""
        state = self._states.get((workspace, site))
        return state.running if state else 0

    def _applicable_limits(
        self, workspace: str, site: str, now_ms: float
    ) -> Iterator[tuple[LimitKey, _LimitState]]:
        """Yield the limits that apply to a request, with refilled token budgets."""
        keys: tuple[LimitKey, ...] = ((workspace, ""),)
        if site:
            keys += (("", site), (workspace, site))
        for key in keys:
            state = self._states.get(key)
            if state is None:
                limit = self._configured_limit(key)
                if limit is None:
                    continue
                state = self._states[key] = _LimitState(limit, refilled_ms=now_ms - TOKEN_BURST_MS)
            state.refill(now_ms)
            yield key, state

    def _configured_limit(self, key: LimitKey) -> Limit | None:
        """Return the configured limit for a key, or None."""
        workspace, site = key
        found: Limit | None = None
        if not site:
            workspace_config = self.cfg.workspaces.get(workspace)
            found = workspace_config.limit if workspace_config else None
        elif site in self.cfg.sites:
            site_config = self.cfg.sites[site]
            found = site_config.workspace_limits.get(workspace) if workspace else site_config.limit
        return None if found == Limit() else found
