"""Tests of the validation of configuration documents."""

from __future__ import annotations

from pathlib import Path

import pytest

from goldcrestridge_core import documents, validation
from goldcrestridge_core.config import Configuration
from goldcrestridge_core.exceptions import ConfigError

EXAMPLES = Path(__file__).parents[2] / "examples"

DIGEST = "a" * 64
BASE = f"""
format = 1
name = "test"
[data_centres.east]
region = "r"
[classes.fast]
tier = 0
first_token_ms = 520
inter_token_ms = 28
[classes.slow]
tier = 1
first_token_ms = 5000
inter_token_ms = 80
[pools.engines]
kind = "engine"
[[pools.engines.upstreams]]
name = "e1"
address = "10.0.0.1:8000"
data_centre = "east"
slots = 8
[pools.servers]
kind = "service"
[models.m]
pool = "engines"
[services.orders]
pool = "servers"
repeatable = ["GET /status/*"]
[workspaces.w]
class = "fast"
keys_sha256 = ["{DIGEST}"]
models = ["m"]
"""
SITE = """
format = 1
site = "s1"
data_centre = "east"
[[upstreams.servers]]
name = "o1"
address = "10.0.0.2:8080"
slots = 4
"""


def errors_of(base: str, site: str = SITE) -> tuple[ConfigError, ...]:
    """Return the errors reported for a base file and one overlay."""
    texts = {"base.toml": base, "sites/s1.toml": site}
    return documents.parse_files(texts).bind(validation.validate).failure()


def load_example(name: str) -> Configuration:
    """Return the validated example configuration of a user."""
    folder = EXAMPLES / name
    texts = {
        path.relative_to(folder).as_posix(): path.read_text(encoding="utf-8")
        for path in sorted(folder.rglob("*.toml"))
    }
    return documents.parse_files(texts).bind(validation.validate).unwrap()


@pytest.mark.parametrize(("name", "engines", "servers"), [("nyckelhornan", 5, 3), ("ebube", 5, 4)])
def test_the_example_of_each_user_is_valid_and_complete(
    name: str, engines: int, servers: int
) -> None:
    # Guards against examples that no longer match the format.
    cfg = load_example(name)
    sizes = sorted(len(pool.upstreams) for pool in cfg.pools.values())
    assert sizes == sorted([engines, servers])
    assert len(cfg.workspaces) == 10


def test_a_document_is_equal_after_encoding_and_decoding() -> None:
    # Guards against a configuration on a node that differs from the operator's files.
    texts = {"base.toml": BASE, "sites/s1.toml": SITE}
    document = documents.parse_files(texts).unwrap()
    data = documents.encode_document(document)
    assert validation.validate_bytes(data).unwrap() == validation.validate(document).unwrap()


def replace(old: str, new: str) -> str:
    """Return the valid base with ``old``, which must occur, replaced once."""
    assert old in BASE
    return BASE.replace(old, new, 1)


INVALID_BASES = [
    ("not TOML", "format = ", "", "not valid TOML"),
    ("no format", replace("format = 1", ""), "format", "missing"),
    ("newer format", replace("format = 1", "format = 2"), "format", "not supported"),
    ("no name", replace('name = "test"', ""), "name", "missing"),
    ("name not a string", replace('name = "test"', "name = 3"), "name", "must be a string"),
    ("unknown key", BASE + "\n[objectives]\nx = 1", "objectives", "unknown"),
    ("unknown class key", replace("tier = 0", "tier = 0\ncolor = 1"), "classes.fast.color", "unkn"),
    (
        "wrong unit",
        replace("first_token_ms = 520", "first_token_s = 0.52"),
        "classes.fast.first_token_s",
        "first_token_ms",
    ),
    (
        "unit left out",
        replace("inter_token_ms = 28", "inter_token = 28"),
        "classes.fast.inter_token",
        "inter_token_ms",
    ),
    (
        "duration as text",
        replace("= 520", '= "520 ms"'),
        "classes.fast.first_token_ms",
        "a number, in milliseconds",
    ),
    ("negative duration", replace("= 520", "= -1"), "classes.fast.first_token_ms", "at least 1"),
    ("not a number", replace("= 520", "= nan"), "classes.fast.first_token_ms", "a number"),
    ("infinite", replace("= 520", "= inf"), "classes.fast.first_token_ms", "finite"),
    ("boolean tier", replace("tier = 0", "tier = true"), "classes.fast.tier", "an integer"),
    ("tier too low", replace("tier = 1", "tier = 99"), "classes.slow.tier", "at most 15"),
    (
        "no floor below the top",
        replace("tier = 1", "tier = 1\nfloor_share = 0"),
        "classes.slow.floor_share",
        "starve",
    ),
    (
        "floors above all grants",
        replace("tier = 1", "tier = 1\nfloor_share = 1"),
        "classes",
        "add up to 1.01",
    ),
    (
        "queue timeout too short",
        replace("tier = 0", "tier = 0\nqueue_timeout_ms = 100"),
        "classes.fast.queue_timeout_ms",
        "shorter",
    ),
    ("zero weight", replace("tier = 0", "tier = 0\nweight = 0"), "classes.fast.weight", "at least"),
    ("dangling class", replace('"fast"\nkeys', '"no"\nkeys'), "workspaces.w.class", "declared"),
    ("dangling model", replace('models = ["m"]', 'models = ["x"]'), "workspaces.w.models", "'x'"),
    ("dangling site", BASE + '\nsites = ["s9"]', "workspaces.w.sites", "No overlay"),
    (
        "dangling pool",
        replace('[models.m]\npool = "engines"', '[models.m]\npool = "none"'),
        "models.m.pool",
        "not declared in [pools]",
    ),
    (
        "model on a service pool",
        replace('[models.m]\npool = "engines"', '[models.m]\npool = "servers"'),
        "models.m.pool",
        "must be 'engine'",
    ),
    ("pool kind", replace('kind = "engine"', 'kind = "gpu"'), "pools.engines.kind", "one of"),
    ("empty pool", BASE + '\n[pools.p]\nkind = "engine"', "pools.p", "no upstream"),
    ("key digest", replace(DIGEST, "secret"), "workspaces.w.keys_sha256", "64 lower-case"),
    (
        "key used twice",
        BASE + f'\n[operators.o]\nkey_sha256 = "{DIGEST}"',
        "operators.o.key_sha256",
        "more than once",
    ),
    ("no key", replace(f'["{DIGEST}"]', "[]"), "workspaces.w.keys_sha256", "at least one key"),
    (
        "host name as address",
        replace('"10.0.0.1:8000"', '"engine.local:8000"'),
        "pools.engines.upstreams[0].address",
        "not an IP address",
    ),
    (
        "port out of range",
        replace('"10.0.0.1:8000"', '"10.0.0.1:80000"'),
        "pools.engines.upstreams[0].address",
        "not an IP address",
    ),
    (
        "address used twice",
        replace("10.0.0.1:8000", "10.0.0.2:8080"),
        "pools.engines.upstreams[0].address",
        "more than one upstream",
    ),
    ("name used twice", replace('"e1"', '"o1"'), "pools.engines.upstreams[0].name", "more than"),
    (
        "no data centre in the base",
        replace('data_centre = "east"\n', ""),
        "pools.engines.upstreams[0].data_centre",
        "must name",
    ),
    (
        "repeatable rule",
        replace("GET /status/*", "status"),
        "services.orders.repeatable",
        "a method and a path",
    ),
    (
        "rule never reached",
        BASE + '\n[[rules]]\nclass = "fast"\n[[rules]]\nclass = "slow"\nmodel = "m"',
        "rules[1]",
        "earlier rule",
    ),
    (
        "rule with model and service",
        BASE + '\n[[rules]]\nclass = "fast"\nmodel = "m"\nservice = "orders"',
        "rules[0]",
        "never matches",
    ),
    ("weight of the objective", BASE + "\n[objective]\nattainment_weight = 2", None, "at most 1"),
    ("bad name", BASE.replace("[classes.slow]", '[classes."s l"]'), "classes.s l", "1 to 63"),
    ("table as a value", replace("[data_centres.east]", "[data_centres]"), None, "must be a table"),
]


@pytest.mark.parametrize(
    ("base", "key", "reason"),
    [row[1:] for row in INVALID_BASES],
    ids=[row[0] for row in INVALID_BASES],
)
def test_an_invalid_base_is_reported_with_its_key(base: str, key: str | None, reason: str) -> None:
    # Guards against errors that are not detected or are reported for another key.
    found = errors_of(base)
    assert any(
        error.file == "base.toml" and key in (None, error.key) and reason in error.reason
        for error in found
    ), [str(error) for error in found]


INVALID_OVERLAYS = [
    ("no site", SITE.replace('site = "s1"', ""), "site", "must name its site"),
    ("unknown data centre", SITE.replace('"east"', '"west"'), "data_centre", "not declared"),
    ("unknown class", SITE + "\n[classes.x]\nfirst_token_ms = 9", "classes.x", "not declared"),
    ("unknown workspace", SITE + "\n[workspaces.x]\nmax_concurrent = 1", "workspaces.x", "'x'"),
    ("unknown pool", SITE.replace("upstreams.servers", "upstreams.x"), "upstreams.x", "'x'"),
    ("tier in an overlay", SITE + "\n[classes.fast]\ntier = 3", "classes.fast.tier", "unknown"),
]


@pytest.mark.parametrize(
    ("site", "key", "reason"),
    [row[1:] for row in INVALID_OVERLAYS],
    ids=[row[0] for row in INVALID_OVERLAYS],
)
def test_an_invalid_overlay_is_reported_with_its_file(site: str, key: str, reason: str) -> None:
    # Guards against errors in an overlay that are not detected or are reported for the base file.
    found = errors_of(BASE, site)
    assert any(
        error.file == "sites/s1.toml" and error.key == key and reason in error.reason
        for error in found
    ), [str(error) for error in found]


def test_all_errors_are_reported_in_one_pass() -> None:
    # Guards against validation that stops at the first error.
    base = replace("tier = 0", "tier = -1").replace("slots = 8", "slots = 0") + "\nextra = 1"
    assert len(errors_of(base)) == 3


def test_an_overlay_changes_targets_and_places_upstreams() -> None:
    # Guards against overlay values that are parsed but have no effect.
    site = SITE + "\n[classes.fast]\nfirst_token_ms = 900\n[workspaces.w]\nclass = 'slow'"
    texts = {"base.toml": BASE, "sites/s1.toml": site}
    cfg = documents.parse_files(texts).bind(validation.validate).unwrap()
    assert cfg.sites["s1"].targets["fast"].first_token_ms == 900
    assert cfg.sites["s1"].targets["fast"].inter_token_ms == 28
    assert cfg.sites["s1"].workspace_classes == {"w": "slow"}
    assert cfg.pools["servers"].upstreams[0].data_centre == "east"
