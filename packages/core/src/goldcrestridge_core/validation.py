"""Validation of a configuration document: references, contradictions and the result."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from attrs import evolve
from returns.result import Failure, Result, Success

from goldcrestridge_core import config
from goldcrestridge_core.checks import check_array, check_section
from goldcrestridge_core.documents import Document, decode_document
from goldcrestridge_core.endpoints import is_remote_address
from goldcrestridge_core.exceptions import ConfigError
from goldcrestridge_core.options import BASE, OVERLAY, OVERLAY_UPSTREAMS, UPSTREAM
from goldcrestridge_core.types import UpstreamId

FORMAT = 1
# At a total of 1 the floors alone determine the shares of grants, and tiers only the order of
# shedding.
MAX_FLOOR_TOTAL = 1.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})

Tables = dict[str, Any]


def validate(document: Document) -> Result[config.Configuration, tuple[ConfigError, ...]]:
    """Return the validated configuration, or all errors with their file and key path."""
    base, errors = check_section(document.base, BASE, document.file_of())
    overlays: dict[str, Tables] = {}
    for site, table in sorted(document.sites.items()):
        overlays[site], found = _check_overlay(table, document.file_of(site))
        errors.extend(found)
    errors.extend(_format_errors(document, base, overlays))
    # References are checked only in well-formed tables, so that one error gives one message.
    if errors:
        return Failure(tuple(errors))
    errors.extend(_name_errors(document, base))
    errors.extend(_reference_errors(document, base, overlays))
    errors.extend(_contradictions(document, base, overlays))
    if errors:
        return Failure(tuple(errors))
    return Success(_build(base, overlays))


def validate_bytes(data: bytes) -> Result[config.Configuration, tuple[ConfigError, ...]]:
    """Validate an encoded document."""
    return decode_document(data).bind(validate)


def _check_overlay(table: Tables, file: str) -> tuple[Tables, list[ConfigError]]:
    """Check an overlay; Section cannot express its arrays by pool, [[upstreams.POOL]]."""
    rest = {key: value for key, value in table.items() if key != OVERLAY_UPSTREAMS}
    values, errors = check_section(rest, OVERLAY, file)
    pools = table.get(OVERLAY_UPSTREAMS, {})
    if not isinstance(pools, dict):
        errors.append(ConfigError(file, OVERLAY_UPSTREAMS, "This must be a table of pools."))
        pools = {}
    values[OVERLAY_UPSTREAMS] = {}
    for pool, rows in pools.items():
        path = f"{OVERLAY_UPSTREAMS}.{pool}"
        values[OVERLAY_UPSTREAMS][pool], found = check_array(rows, UPSTREAM, file, path)
        errors.extend(found)
    return values, errors


def _format_errors(
    document: Document, base: Tables, overlays: dict[str, Tables]
) -> Iterator[ConfigError]:
    for site, table in [("", base), *overlays.items()]:
        version = table.get("format")
        if version is not None and version != FORMAT:
            reason = f"Format {version} is not supported; this release reads format {FORMAT}."
            yield ConfigError(document.file_of(site), "format", reason)


def _name_errors(document: Document, base: Tables) -> Iterator[ConfigError]:
    file = document.file_of()
    for section in BASE.named:
        for name in base[section]:
            if not _NAME.fullmatch(name):
                reason = "A name has 1 to 63 letters, digits, dots, hyphens or underscores."
                yield ConfigError(file, f"{section}.{name}", reason)


def _reference_errors(
    document: Document, base: Tables, overlays: dict[str, Tables]
) -> Iterator[ConfigError]:
    def missing(file: str, key: str, section: str, name: str) -> Iterator[ConfigError]:
        known = overlays if section == "sites" else base[section]
        if name not in known:
            reason = f"{name!r} is not declared in [{section}]."
            if section == "sites":
                reason = f"No overlay declares the site {name!r}."
            yield ConfigError(file, key, reason)

    file = document.file_of()
    for name, row in base["workspaces"].items():
        path = f"workspaces.{name}"
        yield from missing(file, f"{path}.class", "classes", row["class"])
        for key in ("sites", "models", "services"):
            for target in row[key]:
                yield from missing(file, f"{path}.{key}", key, target)
    for section, kind in (("models", "engine"), ("services", "service")):
        for name, row in base[section].items():
            key = f"{section}.{name}.pool"
            yield from missing(file, key, "pools", row["pool"])
            pool = base["pools"].get(row["pool"])
            if pool is not None and pool["kind"] != kind:
                reason = f"The pool {row['pool']!r} has kind {pool['kind']!r}; it must be {kind!r}."
                yield ConfigError(file, key, reason)
    for index, row in enumerate(base["rules"]):
        path = f"rules[{index}]"
        yield from missing(file, f"{path}.class", "classes", row["class"])
        for key in ("workspace", "site", "model", "service"):
            if row[key]:
                yield from missing(file, f"{path}.{key}", f"{key}s", row[key])
    yield from _overlay_references(document, overlays, missing)
    for upstream_file, path, row in _upstream_rows(document, base, overlays):
        if row["data_centre"] is not None:
            key = f"{path}.data_centre"
            yield from missing(upstream_file, key, "data_centres", row["data_centre"])


def _overlay_references(
    document: Document,
    overlays: dict[str, Tables],
    missing: Callable[[str, str, str, str], Iterator[ConfigError]],
) -> Iterator[ConfigError]:
    for site, table in overlays.items():
        file = document.file_of(site)
        yield from missing(file, "data_centre", "data_centres", table["data_centre"])
        for section in ("classes", "workspaces"):
            for name in table[section]:
                yield from missing(file, f"{section}.{name}", section, name)
        for name, row in table["workspaces"].items():
            if row["class"] is not None:
                yield from missing(file, f"workspaces.{name}.class", "classes", row["class"])
        for pool in table[OVERLAY_UPSTREAMS]:
            yield from missing(file, f"{OVERLAY_UPSTREAMS}.{pool}", "pools", pool)


def _upstream_rows(
    document: Document, base: Tables, overlays: dict[str, Tables]
) -> Iterator[tuple[str, str, Tables]]:
    """Yield file, key path and table of each upstream in the base and the overlays."""
    for pool, row in base["pools"].items():
        for index, upstream in enumerate(row["upstreams"]):
            yield document.file_of(), f"pools.{pool}.upstreams[{index}]", upstream
    for site, table in overlays.items():
        for pool, rows in table[OVERLAY_UPSTREAMS].items():
            for index, upstream in enumerate(rows):
                path = f"{OVERLAY_UPSTREAMS}.{pool}[{index}]"
                yield document.file_of(site), path, upstream


def _contradictions(
    document: Document, base: Tables, overlays: dict[str, Tables]
) -> Iterator[ConfigError]:
    file = document.file_of()
    yield from _class_contradictions(file, base)
    yield from _key_contradictions(file, base)
    yield from _upstream_contradictions(document, base, overlays)
    yield from _service_contradictions(file, base)
    seen: list[Tables] = []
    for index, row in enumerate(base["rules"]):
        match = {key: value for key, value in row.items() if key != "class"}
        if any(_covers(earlier, match) for earlier in seen):
            reason = "An earlier rule matches everything that this rule matches."
            yield ConfigError(file, f"rules[{index}]", reason)
        if row["model"] and row["service"]:
            reason = "No request has both a model and a service; the rule never matches."
            yield ConfigError(file, f"rules[{index}]", reason)
        seen.append(match)


def _covers(earlier: Tables, later: Tables) -> bool:
    return all(not value or value == later[key] for key, value in earlier.items())


def _class_contradictions(file: str, base: Tables) -> Iterator[ConfigError]:
    classes = base["classes"]
    if not classes:
        yield ConfigError(file, "classes", "At least one class must be declared.")
        return
    total = sum(row["floor_share"] for row in classes.values())
    if total > MAX_FLOOR_TOTAL:
        reason = f"The floors add up to {total:g}; they may take 1 at most."
        yield ConfigError(file, "classes", reason)
    highest = min(row["tier"] for row in classes.values())
    for name, row in classes.items():
        if row["floor_share"] == 0 and row["tier"] > highest:
            reason = "A class below the highest tier needs a floor above 0, or it can starve."
            yield ConfigError(file, f"classes.{name}.floor_share", reason)
        if row["queue_timeout_ms"] < row["first_token_ms"]:
            reason = "The queue timeout is shorter than the target for the first token."
            yield ConfigError(file, f"classes.{name}.queue_timeout_ms", reason)


def _key_contradictions(file: str, base: Tables) -> Iterator[ConfigError]:
    rows = [
        (f"workspaces.{name}.keys_sha256", digest)
        for name, row in base["workspaces"].items()
        for digest in row["keys_sha256"]
    ]
    rows += [
        (f"operators.{name}.key_sha256", row["key_sha256"])
        for name, row in base["operators"].items()
    ]
    for key, digest in rows:
        if not _DIGEST.fullmatch(digest):
            reason = "A key digest is 64 lower-case hexadecimal digits, the SHA-256 of the key."
            yield ConfigError(file, key, reason)
    uses = Counter(digest for _, digest in rows)
    for key, digest in rows:
        if uses[digest] > 1:
            yield ConfigError(file, key, f"The key digest {digest[:8]}... is used more than once.")
    for name, row in base["workspaces"].items():
        if not row["keys_sha256"]:
            reason = "A workspace needs at least one key."
            yield ConfigError(file, f"workspaces.{name}.keys_sha256", reason)


def _upstream_contradictions(
    document: Document, base: Tables, overlays: dict[str, Tables]
) -> Iterator[ConfigError]:
    rows = list(_upstream_rows(document, base, overlays))
    for field, label in (("name", "name"), ("address", "address")):
        uses = Counter(row[field] for _, _, row in rows)
        for file, path, row in rows:
            if uses[row[field]] > 1:
                reason = f"The {label} {row[field]!r} is used by more than one upstream."
                yield ConfigError(file, f"{path}.{field}", reason)
    for file, path, row in rows:
        if not is_remote_address(row["address"]):
            reason = f"{row['address']!r} is not an IP address with a port, like 10.0.0.7:8000."
            yield ConfigError(file, f"{path}.address", reason)
        if not _NAME.fullmatch(row["name"]):
            reason = "A name has 1 to 63 letters, digits, dots, hyphens or underscores."
            yield ConfigError(file, f"{path}.name", reason)
    placed = {pool for table in overlays.values() for pool in table[OVERLAY_UPSTREAMS]}
    for pool, table in base["pools"].items():
        if not table["upstreams"] and pool not in placed:
            yield ConfigError(document.file_of(), f"pools.{pool}", "The pool has no upstream.")
        for index, row in enumerate(table["upstreams"]):
            if row["data_centre"] is None:
                key = f"pools.{pool}.upstreams[{index}].data_centre"
                reason = "An upstream in the base file must name its data centre."
                yield ConfigError(document.file_of(), key, reason)


def _service_contradictions(file: str, base: Tables) -> Iterator[ConfigError]:
    for name, row in base["services"].items():
        for rule in row["repeatable"] or ():
            method, _, path = rule.partition(" ")
            if method not in _METHODS or not path.startswith("/"):
                reason = f"{rule!r} is not a method and a path, like 'GET /status/*'."
                yield ConfigError(file, f"services.{name}.repeatable", reason)


def _build(base: Tables, overlays: dict[str, Tables]) -> config.Configuration:
    sites = {site: _site(site, table, base) for site, table in overlays.items()}
    return config.Configuration(
        name=base["name"],
        objective=config.Objective(float(base["objective"]["attainment_weight"])),
        data_centres={name: row["region"] for name, row in base["data_centres"].items()},
        classes={name: _class(name, row) for name, row in base["classes"].items()},
        workspaces={name: _workspace(name, row) for name, row in base["workspaces"].items()},
        sites=sites,
        pools={name: _pool(name, row, overlays) for name, row in base["pools"].items()},
        models={name: config.Model(name, row["pool"]) for name, row in base["models"].items()},
        services={name: _service(name, row) for name, row in base["services"].items()},
        rules=tuple(_rule(row) for row in base["rules"]),
        operators_sha256={name: row["key_sha256"] for name, row in base["operators"].items()},
        retry_share=float(base["retries"]["share"]),
        claim_retention_ms=float(base["claims"]["retention_ms"]),
        address_ttl_ms=float(base["addresses"]["ttl_ms"]),
    )


def _limit(row: Tables) -> config.Limit:
    return config.Limit(row["max_concurrent"], row["tokens_per_second"])


def _class(name: str, row: Tables) -> config.RequestClass:
    target = config.LatencyTarget(float(row["first_token_ms"]), float(row["inter_token_ms"]))
    return config.RequestClass(
        name,
        row["tier"],
        float(row["weight"]),
        float(row["floor_share"]),
        target,
        float(row["queue_timeout_ms"]),
    )


def _workspace(name: str, row: Tables) -> config.Workspace:
    return config.Workspace(
        name=name,
        class_name=row["class"],
        keys_sha256=tuple(row["keys_sha256"]),
        sites=tuple(row["sites"]),
        models=tuple(row["models"]),
        services=tuple(row["services"]),
        share=float(row["share"]),
        limit=_limit(row),
    )


def _site(name: str, table: Tables, base: Tables) -> config.Site:
    def target(class_name: str, row: Tables) -> config.LatencyTarget:
        whole = base["classes"][class_name]
        values = {key: whole[key] if row[key] is None else row[key] for key in row}
        return config.LatencyTarget(
            float(values["first_token_ms"]), float(values["inter_token_ms"])
        )

    workspaces = table["workspaces"]
    return config.Site(
        name=name,
        data_centre=table["data_centre"],
        workspace_classes={
            key: row["class"] for key, row in workspaces.items() if row["class"] is not None
        },
        workspace_limits={
            key: _limit(row) for key, row in workspaces.items() if _limit(row) != config.Limit()
        },
        targets={key: target(key, row) for key, row in table["classes"].items()},
        limit=_limit(table),
    )


def _upstream(row: Tables, data_centre: str) -> config.Upstream:
    upstream = config.Upstream(
        UpstreamId(row["name"]),
        row["address"],
        row["data_centre"] or data_centre,
        row["slots"],
    )
    return evolve(
        upstream, checks_fencing=bool(row["checks_fencing"]), resumes=bool(row["resumes"])
    )


def _pool(name: str, row: Tables, overlays: dict[str, Tables]) -> config.Pool:
    own = [_upstream(upstream, "") for upstream in row["upstreams"]]
    placed = [
        _upstream(upstream, table["data_centre"])
        for _, table in sorted(overlays.items())
        for upstream in table[OVERLAY_UPSTREAMS].get(name, ())
    ]
    return config.Pool(name, config.PoolKind(row["kind"]), tuple(own + placed))


def _service(name: str, row: Tables) -> config.Service:
    rules = [rule.partition(" ") for rule in row["repeatable"] or ()]
    calls = tuple(config.CallRule(method, path) for method, _, path in rules)
    return config.Service(name, row["pool"], calls)


def _rule(row: Tables) -> config.ClassRule:
    return config.ClassRule(
        row["class"], row["workspace"], row["site"], row["model"], row["service"], row["path"]
    )
