"""Tests of call classification: rule order, site overlay, default class, repeatable calls."""

from __future__ import annotations

from goldcrestridge_core.classes import classify, is_repeatable
from goldcrestridge_core.config import (
    CallRule,
    ClassRule,
    Configuration,
    Service,
    Site,
    Workspace,
)

CFG = Configuration(
    name="test",
    workspaces={"kiosk": Workspace("kiosk", "default", ()), "b": Workspace("b", "other", ())},
    sites={"gate": Site("gate", "dc1", {"kiosk": "overlay"}), "home": Site("home", "dc1")},
    rules=(
        ClassRule("by-path", service="bookings", path="/status/*"),
        ClassRule("by-service", service="bookings"),
        ClassRule("by-model", workspace="kiosk", model="long", site="home"),
    ),
)


def test_the_first_matching_rule_wins() -> None:
    # Guards against a later, more general rule that overrides an earlier one.
    assert classify(CFG, "kiosk", "gate", "", "bookings", "/status/a/b") == "by-path"
    assert classify(CFG, "kiosk", "gate", "", "bookings", "/book") == "by-service"


def test_all_fields_of_a_rule_must_match() -> None:
    # Guards against rules that match if a single field does.
    assert classify(CFG, "kiosk", "home", "long", "", "/v1/chat/completions") == "by-model"
    assert classify(CFG, "b", "home", "long", "", "/v1/chat/completions") == "other"


def test_the_site_overlay_takes_precedence_over_the_workspace_default() -> None:
    # Guards against an overlay that is ignored or applied to other workspaces or sites.
    assert classify(CFG, "kiosk", "gate", "short", "", "") == "overlay"
    assert classify(CFG, "kiosk", "home", "short", "", "") == "default"
    assert classify(CFG, "kiosk", "unknown", "short", "", "") == "default"
    assert classify(CFG, "b", "gate", "short", "", "") == "other"


def test_only_calls_that_match_method_and_path_are_repeatable() -> None:
    # Guards against a booking that is repeated because it is taken for a status lookup (P5).
    service = Service("bookings", "p", (CallRule("get", "/status/*"), CallRule("*", "/ping")))
    assert is_repeatable(service, "GET", "/status/7")
    assert is_repeatable(service, "POST", "/ping")
    assert not is_repeatable(service, "POST", "/status/7")
    assert not is_repeatable(service, "GET", "/book")
    assert not is_repeatable(service, "GET", "/STATUS/7")
    assert not is_repeatable(Service("bookings", "p"), "GET", "/status/7")
