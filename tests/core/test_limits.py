"""Limits per workspace and site against a simple oracle."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_core import config, limits

WORKSPACE = config.Limit(max_concurrent=3)
SITE = config.Limit(max_concurrent=4)
WORKSPACE_AT_SITE = config.Limit(max_concurrent=1)


def configuration(rate: float | None = None) -> config.Configuration:
    limit = config.Limit(3, rate)
    return config.Configuration(
        "t",
        workspaces={name: config.Workspace(name, "c", (), limit=limit) for name in ("a", "b")},
        sites={"s": config.Site("s", "dc", workspace_limits={"a": WORKSPACE_AT_SITE}, limit=SITE)},
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
    # Guards against a limit that is counted twice, not at all, or never returned.
    counted = limits.Limits(configuration())
    running: list[tuple[str, str]] = []
    for start, workspace, site in steps:
        if not start and running:
            counted.record_end(*running.pop(), 1.0, 1.0, 0.0)
            continue
        at_site = [r for r in running if r[1] == "s"]
        full = workspace in "ab" and sum(r[0] == workspace for r in running) >= 3
        if site:
            full |= len(at_site) >= 4 or (workspace == "a" and ("a", "s") in running)
        assert (counted.find_blocking_limit(workspace, site, 0.0) is not None) == full
        if not full:
            counted.record_start(workspace, site, 1.0, 0.0)
            running.append((workspace, site))


@given(st.lists(st.tuples(st.integers(1, 400), st.integers(0, 3_000)), max_size=60))
def test_the_token_rate_holds_over_any_time(steps: list[tuple[int, int]]) -> None:
    # Guards against a budget that grows without bound or forgets its debt.
    rate = 100.0
    counted = limits.Limits(configuration(rate))
    now_ms = 0.0
    used = largest = 0.0
    for tokens, delta_ms in steps:
        now_ms += delta_ms
        if counted.find_blocking_limit("a", "", now_ms) is None:
            counted.record_start("a", "", float(tokens), now_ms)
            counted.record_end("a", "", float(tokens), float(tokens), now_ms)
            used += tokens
            largest = max(largest, tokens)
        allowed = rate * (now_ms + limits.TOKEN_BURST_MS) / 1_000.0
        assert used <= allowed + largest


def test_a_pause_earns_no_more_than_the_burst() -> None:
    # Guards against a workspace that saves up its token rate over a night.
    counted = limits.Limits(configuration(100.0))
    counted.record_start("a", "", 1.0, 0.0)
    hour_ms = 3_600_000.0
    counted.record_start("a", "", 100.0 * limits.TOKEN_BURST_MS / 1_000.0, hour_ms)
    assert counted.find_blocking_limit("a", "", hour_ms) == ("a", "")


def test_a_limit_of_a_workspace_at_a_site_holds_beside_the_others() -> None:
    # Guards against a site overlay that is ignored.
    counted = limits.Limits(configuration())
    counted.record_start("a", "s", 1.0, 0.0)
    assert counted.find_blocking_limit("a", "s", 0.0) == ("a", "s")
    assert counted.find_blocking_limit("a", "", 0.0) is None
    assert counted.find_blocking_limit("b", "s", 0.0) is None


def test_the_wait_told_for_the_token_rate_is_enough_and_not_too_long() -> None:
    # Guards against a retry-after that is untrue.
    counted = limits.Limits(configuration(100.0))
    counted.record_start("a", "", 500.0, 0.0)
    key = counted.find_blocking_limit("a", "", 0.0)
    assert key == ("a", "")
    wait_ms = counted.budget_wait_ms(key, 0.0)
    assert wait_ms is not None
    assert counted.find_blocking_limit("a", "", wait_ms - 50.0) == key
    assert counted.find_blocking_limit("a", "", wait_ms) is None
