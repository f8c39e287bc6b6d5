"""Classification of calls into request classes, and matching of repeatable calls."""

from __future__ import annotations

from fnmatch import fnmatchcase

from goldcrestridge_core.config import CallRule, ClassRule, Configuration, Service

ANY_METHOD = "*"


def classify(
    cfg: Configuration, workspace: str, site: str, model: str, service: str, path: str
) -> str:
    """Return the class name of a call.

    The first matching rule decides, then the overlay of the site, then the default class of the
    workspace. ``workspace`` must exist in the configuration. ``path`` is the percent-decoded path
    of the call at its upstream. ``model`` is empty for services, ``service`` for models.
    """
    matching = (
        rule.class_name
        for rule in cfg.rules
        if _rule_matches(rule, workspace, site, model, service, path)
    )
    return next(matching, None) or _default_class(cfg, workspace, site)


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a rule of the service declares the call safe to run twice."""
    return any(_call_matches(rule, method, path) for rule in service.repeatable)


def _rule_matches(
    rule: ClassRule, workspace: str, site: str, model: str, service: str, path: str
) -> bool:
    return (
        rule.workspace in ("", workspace)
        and rule.site in ("", site)
        and rule.model in ("", model)
        and rule.service in ("", service)
        and (not rule.path or fnmatchcase(path, rule.path))
    )


def _default_class(cfg: Configuration, workspace: str, site: str) -> str:
    default = cfg.workspaces[workspace].class_name
    overlay = cfg.sites.get(site)
    return overlay.workspace_classes.get(workspace, default) if overlay else default


def _call_matches(rule: CallRule, method: str, path: str) -> bool:
    return rule.method.upper() in (ANY_METHOD, method) and fnmatchcase(path, rule.path)
