"""Tests of the route table."""

from __future__ import annotations

from attrs import evolve

from goldcrestridge_core.routes import (
    MAX_RANKS,
    CallerLimits,
    Route,
    RoutedWorkspace,
    RouteKind,
    RouteTable,
    WeightedService,
)

LIMITS = CallerLimits(16_384, 1_000_000, 3_000.0, 15_000.0)


def route(name: str, prefix: str, kind: RouteKind = RouteKind.IDEMPOTENT, **more: bool) -> Route:
    services = (WeightedService("a", 90), WeightedService("b", 10))
    return Route(name, "h.example", prefix, kind, services, 1_000.0, 100.0, 1, 2, **more)


def test_the_longest_prefix_at_a_slash_selects_the_route() -> None:
    # Guards against matching a shorter prefix, or one that ends within a path segment.
    table = RouteTable(1, (route("short", "/a/"), route("long", "/a/b/")), {}, LIMITS)
    assert table.match("h.example", "/a/b/c").name == "long"  # type: ignore[union-attr]
    assert table.match("h.example", "/a/bc").name == "short"  # type: ignore[union-attr]
    assert table.match("h.example", "/a") is None
    assert table.match("other.example", "/a/b/c") is None


def test_services_get_requests_by_weight_and_none_at_weight_zero() -> None:
    # Guards against a weighted route that sends all requests to one service, or any to a service of
    # weight 0.
    weighted = route("r", "/")
    picked = [weighted.pick_service(step / 100) for step in range(100)]
    assert (picked.count("a"), picked.count("b")) == (90, 10)
    shares = (WeightedService("old", 0), WeightedService("new", 1))
    moved = Route("m", "h", "/", RouteKind.IDEMPOTENT, shares, 1.0, 1.0, 0, 1)
    assert {moved.pick_service(step / 10) for step in range(11)} == {"new"}


def test_only_idempotent_and_resumable_requests_are_repeatable() -> None:
    # Guards against a non-idempotent call or a stream that runs twice.
    assert route("r", "/").repeatable
    assert not route("r", "/", RouteKind.NON_IDEMPOTENT).repeatable
    assert not route("r", "/", RouteKind.STREAM).repeatable
    assert route("r", "/", RouteKind.STREAM, resumable=True).repeatable


def test_a_key_belongs_to_its_workspace_alone() -> None:
    # Guards against a request that is accounted to a workspace that does not hold its key.
    workspaces = (RoutedWorkspace("w1", ("k1", "k2")), RoutedWorkspace("w2", ("k3",), 0))
    table = RouteTable(1, (), {}, LIMITS, workspaces)
    assert table.workspace_for_key("k2") is workspaces[0]
    assert table.workspace_for_key("k3") is workspaces[1]
    assert table.workspace_for_key("k4") is None


def test_the_rank_follows_the_workspace_first_and_then_the_route() -> None:
    # Guards against a workspace whose urgent requests are preempted for less urgent ones, because
    # all of its requests have the priority of the workspace.
    routes = [evolve(route(f"r{n}", f"/{n}/"), priority=n) for n in range(3)]
    workspaces = [RoutedWorkspace(f"w{n}", (f"k{n}",), n) for n in range(2)]
    table = RouteTable(1, tuple(routes), {}, LIMITS, tuple(workspaces))
    ranks = [table.rank(item, workspace) for workspace in workspaces for item in routes]
    assert ranks == sorted(set(ranks))
    assert table.rank(routes[1], None) == table.rank(routes[1], workspaces[1])
    without_priority = [table.rank(item, None) for item in routes]
    assert without_priority == sorted(set(without_priority))


def test_ranks_stay_within_the_levels_of_engines_and_in_order() -> None:
    # Guards against a value that an engine does not accept, and against routes out of order.
    routes = [evolve(route(f"r{n}", f"/{n}/"), priority=3 * n) for n in range(5)]
    workspaces = [RoutedWorkspace(f"w{n}", (f"k{n}",), n) for n in range(4)]
    table = RouteTable(1, tuple(routes), {}, LIMITS, tuple(workspaces))
    ranks = [table.rank(item, workspace) for workspace in workspaces for item in routes]
    assert ranks == sorted(ranks)
    assert 0 <= min(ranks) <= max(ranks) < MAX_RANKS
