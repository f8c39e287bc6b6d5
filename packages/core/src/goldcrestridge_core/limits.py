"""Limits of concurrency and token rate per workspace and per site."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import Factory, define

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.config import Configuration, Limit

# A workspace may use this much of its token rate at once after a pause.
TOKEN_BURST_MS = 2_000.0

LimitKey = tuple[str, str]  # Workspace and site; an empty part means all of them.


@define
class _LimitState:
    """What one limit allows and what is in use; ``tokens`` below zero is debt."""

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

    A request counts against its workspace, against its site, and against the limit that its
    site sets for its workspace. The limits are exact over all entry nodes, because only the
    slot owner counts. A request may start while the token budget is positive and may take it
    below zero, so that a request larger than the budget can run.
    """

    cfg: Configuration
    _states: dict[LimitKey, _LimitState] = Factory(dict)

    def with_configuration(self, cfg: Configuration, now_ms: float) -> Limits:
        """Return the limits of a new configuration with the token budgets of the present ones.

        No request is counted as running yet.
        """
        fresh = Limits(cfg)
        for key, use in self._states.items():
            limit = fresh._configured_limit(key)
            if limit is not None:
                use.refill(now_ms)
                fresh._states[key] = _LimitState(limit, 0, use.tokens, now_ms)
        return fresh

    def count_running(self, workspace: str, site: str, now_ms: float) -> None:
        """Count a request that runs already, without charging its tokens again."""
        for _, use in self._applicable_limits(workspace, site, now_ms):
            use.running += 1

    def find_blocking_limit(self, workspace: str, site: str, now_ms: float) -> LimitKey | None:
        """Return the first limit that keeps a request from starting, or None."""
        for key, use in self._applicable_limits(workspace, site, now_ms):
            most = use.limit.max_concurrent
            if most is not None and use.running >= most:
                return key
            if use.limit.tokens_per_second is not None and use.tokens <= 0.0:
                return key
        return None

    def budget_wait_ms(self, key: LimitKey, now_ms: float) -> float | None:
        """Return the time until the token budget is positive, None if only a release helps."""
        use = self._states.get(key)
        if use is None:
            return 0.0
        use.refill(now_ms)
        rate = use.limit.tokens_per_second
        if rate is None or use.tokens > 0.0:
            return None
        if rate <= 0.0:
            return float("inf")
        # One token more than the debt, since the budget must be above zero.
        return (1.0 - use.tokens) * MS_PER_SECOND / rate

    def expected_wait_ms(
        self, key: LimitKey, ahead: int, hold_ms: float, tokens: float, now_ms: float
    ) -> float:
        """Return the time until a limit admits a request behind ``ahead`` like it."""
        use = self._states[key]
        most = use.limit.max_concurrent
        slots_ms = 0.0
        if most is not None and use.running >= most:
            slots_ms = (ahead + 1) * hold_ms / most if most > 0 else float("inf")
        rate = use.limit.tokens_per_second
        tokens_ms = self.budget_wait_ms(key, now_ms) or 0.0
        if rate is not None and rate > 0.0:
            tokens_ms += max(0, ahead) * tokens * MS_PER_SECOND / rate
        return max(slots_ms, tokens_ms)

    def charge(self, workspace: str, site: str, tokens: float, now_ms: float) -> None:
        """Count further tokens of a running request."""
        for _, use in self._applicable_limits(workspace, site, now_ms):
            use.tokens -= tokens

    def record_start(self, workspace: str, site: str, tokens: float, now_ms: float) -> None:
        """Count a request with its expected ``tokens`` of prompt and output."""
        for _, use in self._applicable_limits(workspace, site, now_ms):
            use.running += 1
            use.tokens -= tokens

    def record_end(
        self, workspace: str, site: str, expected: float, actual: float, now_ms: float
    ) -> list[LimitKey]:
        """Count the end of a request, correct its tokens, and return the limits it touched."""
        touched = []
        for key, use in self._applicable_limits(workspace, site, now_ms):
            use.running -= 1
            use.tokens += expected - actual
            touched.append(key)
        return touched

    def running_count(self, workspace: str, site: str = "") -> int:
        """Return the running requests counted under a limit; 0 if it has none."""
        use = self._states.get((workspace, site))
        return use.running if use else 0

    def _applicable_limits(
        self, workspace: str, site: str, now_ms: float
    ) -> Iterator[tuple[LimitKey, _LimitState]]:
        """Yield the limits that apply to a request."""
        keys: tuple[LimitKey, ...] = ((workspace, ""),)
        if site:
            keys += (("", site), (workspace, site))
        for key in keys:
            use = self._states.get(key)
            if use is None:
                limit = self._configured_limit(key)
                if limit is None:
                    continue
                use = self._states[key] = _LimitState(limit, refilled_ms=now_ms - TOKEN_BURST_MS)
            use.refill(now_ms)
            yield key, use

    def _configured_limit(self, key: LimitKey) -> Limit | None:
        """Return the configured limit under a key, None if there is none."""
        workspace, site = key
        found: Limit | None = None
        if not site:
            settings = self.cfg.workspaces.get(workspace)
            found = settings.limit if settings else None
        elif site in self.cfg.sites:
            settings_of_site = self.cfg.sites[site]
            found = (
                settings_of_site.workspace_limits.get(workspace)
                if workspace
                else settings_of_site.limit
            )
        return None if found == Limit() else found
