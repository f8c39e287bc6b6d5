"""Tests of the limits per workspace and site against a simple model."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import config, limits

WORKSPACE_LIMIT = config.Limit(max_concurrent=3)
SITE_LIMIT = config.Limit(max_concurrent=4)
WORKSPACE_AT_SITE_LIMIT = config.Limit(max_concurrent=1)


def configuration(rate: float | None = None) -> config.Configuration:
    limit = config.Limit(3, rate)
    return config.Configuration(
        "t",
        workspaces={name: config.Workspace(name, "c", (), limit=limit) for name in ("a", "b")},
        sites={
            "s": config.Site(
                "s", "dc", workspace_limits={"a": WORKSPACE_AT_SITE_LIMIT}, limit=SITE_LIMIT
            )
        },
    )


@given(
    st.lists(
        st.tuples(st.booleans(), st.sampled_from("abc"), st.sampled_from(["", "s"])),
        max_size=40,
        min_size=8,
    )
)
def test_concurrency_is_exact_for_workspace_site_and_both(
    steps: list[tuple[bool, str, str]],
) -> None:
    # Guards against a running request that is counted twice, not at all, or after its end.
    tracker = limits.Limits(configuration())
    running: list[tuple[str, str]] = []
    for start, workspace, site in steps:
        if not start and running:
            tracker.record_end(*running.pop(), 1.0, 1.0, 0.0)
            continue
        at_site = [r for r in running if r[1] == "s"]
        full = workspace in "ab" and sum(r[0] == workspace for r in running) >= 3
        if site:
            full |= len(at_site) >= 4 or (workspace == "a" and ("a", "s") in running)
        assert (tracker.find_blocking_limit(workspace, site, 0.0) is not None) == full
        if not full:
            tracker.record_start(workspace, site, 1.0, 0.0)
            running.append((workspace, site))


@given(st.lists(st.tuples(st.integers(1, 400), st.integers(0, 3_000)), max_size=60))
def test_the_token_rate_holds_over_any_time(steps: list[tuple[int, int]]) -> None:
    # Guards against a token budget that grows without bound or loses its debt.
    rate = 100.0
    tracker = limits.Limits(configuration(rate))
    now_ms = 0.0
    used = largest = 0.0
    for tokens, delta_ms in steps:
        now_ms += delta_ms
        if tracker.find_blocking_limit("a", "", now_ms) is None:
            tracker.record_start("a", "", float(tokens), now_ms)
            tracker.record_end("a", "", float(tokens), float(tokens), now_ms)
            used += tokens
            largest = max(largest, tokens)
        allowed = rate * (now_ms + limits.TOKEN_BURST_MS) / 1_000.0
        assert used <= allowed + largest


def test_an_idle_period_earns_no_more_than_the_burst() -> None:
    # Guards against a workspace that accumulates its token rate over hours without requests.
    tracker = limits.Limits(configuration(100.0))
    tracker.record_start("a", "", 1.0, 0.0)
    hour_ms = 3_600_000.0
    tracker.record_start("a", "", 100.0 * limits.TOKEN_BURST_MS / 1_000.0, hour_ms)
    assert tracker.find_blocking_limit("a", "", hour_ms) == ("a", "")


def test_a_workspace_limit_at_a_site_applies_in_addition_to_the_others() -> None:
    # Guards against a workspace limit of a site that is ignored.
    tracker = limits.Limits(configuration())
    tracker.record_start("a", "s", 1.0, 0.0)
    assert tracker.find_blocking_limit("a", "s", 0.0) == ("a", "s")
    assert tracker.find_blocking_limit("a", "", 0.0) is None
    assert tracker.find_blocking_limit("b", "s", 0.0) is None


def test_the_token_rate_wait_is_sufficient_and_not_too_long() -> None:
    # Guards against a retry time after which the request is still blocked.
    tracker = limits.Limits(configuration(100.0))
    tracker.record_start("a", "", 500.0, 0.0)
    key = tracker.find_blocking_limit("a", "", 0.0)
    assert key == ("a", "")
    wait_ms = tracker.token_budget_wait_ms(key, 0.0)
    assert wait_ms is not None
    assert tracker.find_blocking_limit("a", "", wait_ms - 50.0) == key
    assert tracker.find_blocking_limit("a", "", wait_ms) is None
