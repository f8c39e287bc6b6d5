"""Schema of the configuration files: type, unit, range, default and meaning of each option."""

from __future__ import annotations

import enum
from typing import Any

from attrs import field, frozen


class Kind(enum.Enum):
    """Type of an option's value in a TOML file."""

    STRING = "a string"
    INTEGER = "an integer"
    NUMBER = "a number"
    BOOLEAN = "true or false"
    STRINGS = "a list of strings"


@frozen
class Option:
    """One key of a table.

    ``default`` None means that an omitted key has no value. ``meaning`` is part of error messages.
    """

    key: str
    kind: Kind
    meaning: str
    required: bool = False
    default: Any = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


@frozen
class Section:
    """A table with fixed keys and nested tables.

    ``sections`` are single tables, ``named`` are tables of tables (``[classes.NAME]``), and
    ``arrays`` are arrays of tables.
    """

    options: tuple[Option, ...] = ()
    sections: dict[str, Section] = field(factory=dict)
    named: dict[str, Section] = field(factory=dict)
    arrays: dict[str, Section] = field(factory=dict)


# Unit suffixes that operators may use by mistake; used to suggest the correct key.
UNIT_SUFFIXES = ("_ms", "_s", "_sec", "_seconds", "_us", "_minutes", "_min", "_hours", "_h")

HIGHEST_TIER = 0
LOWEST_TIER = 15

_FORMAT = Option("format", Kind.INTEGER, "format version of the file", required=True)
_FIRST_TOKEN = Option(
    "first_token_ms", Kind.NUMBER, "target for the first token, 95 in 100", minimum=1
)
_INTER_TOKEN = Option(
    "inter_token_ms", Kind.NUMBER, "target between tokens, 95 in 100", minimum=0.1
)
_LIMITS = (
    Option("max_concurrent", Kind.INTEGER, "requests at a time over all entries", minimum=1),
    Option("tokens_per_second", Kind.NUMBER, "generated tokens a second", minimum=1),
)


def _required(option: Option) -> Option:
    return Option(
        option.key, option.kind, option.meaning, True, None, option.minimum, option.maximum
    )


UPSTREAM = Section(
    options=(
        Option("name", Kind.STRING, "unique name of the upstream", required=True),
        Option("address", Kind.STRING, "ip:port", required=True),
        Option("data_centre", Kind.STRING, "data centre; in an overlay, the site's by default"),
        Option("slots", Kind.INTEGER, "requests at a time", required=True, minimum=1),
        Option("checks_fencing", Kind.BOOLEAN, "refuses orders with an old fencing number"),
        Option("resumes", Kind.BOOLEAN, "resumes a stream at a token offset"),
    )
)

BASE = Section(
    options=(
        _FORMAT,
        Option("name", Kind.STRING, "name of the deployment", required=True),
    ),
    sections={
        "objective": Section(
            (
                Option(
                    "attainment_weight",
                    Kind.NUMBER,
                    "attainment of targets (1) against wasted work (0)",
                    default=0.5,
                    minimum=0,
                    maximum=1,
                ),
            )
        ),
        "retries": Section(
            (
                Option(
                    "share",
                    Kind.NUMBER,
                    "retries per completed request of a class",
                    default=0.1,
                    minimum=0,
                    maximum=1,
                ),
            )
        ),
        "claims": Section(
            (
                Option(
                    "retention_ms",
                    Kind.NUMBER,
                    "time for which a recorded answer is replayed",
                    default=86_400_000.0,
                    minimum=60_000,
                ),
            )
        ),
        "addresses": Section(
            (
                Option(
                    "ttl_ms",
                    Kind.NUMBER,
                    "time for which callers may keep an address answer",
                    default=30_000.0,
                    minimum=1_000,
                ),
            )
        ),
    },
    named={
        "data_centres": Section((Option("region", Kind.STRING, "region", required=True),)),
        "classes": Section(
            (
                Option(
                    "tier",
                    Kind.INTEGER,
                    "0 is the highest; lower tiers yield",
                    required=True,
                    minimum=HIGHEST_TIER,
                    maximum=LOWEST_TIER,
                ),
                Option(
                    "weight",
                    Kind.NUMBER,
                    "proportion in which targets are met under overload",
                    default=1.0,
                    minimum=0.01,
                ),
                Option(
                    "floor_share",
                    Kind.NUMBER,
                    "least share of grants",
                    default=0.01,
                    minimum=0,
                    maximum=1,
                ),
                _required(_FIRST_TOKEN),
                _required(_INTER_TOKEN),
                Option(
                    "queue_timeout_ms",
                    Kind.NUMBER,
                    "longest wait for a slot",
                    default=10_000.0,
                    minimum=1,
                ),
            )
        ),
        "workspaces": Section(
            (
                Option("class", Kind.STRING, "default class", required=True),
                Option("keys_sha256", Kind.STRINGS, "digests of the bearer keys", required=True),
                Option("sites", Kind.STRINGS, "sites that its requests may name", default=()),
                Option("models", Kind.STRINGS, "models that it may use", default=()),
                Option("services", Kind.STRINGS, "services that it may call", default=()),
                Option("share", Kind.NUMBER, "share within its class", default=1.0, minimum=0.01),
                *_LIMITS,
            )
        ),
        "pools": Section(
            options=(
                Option(
                    "kind",
                    Kind.STRING,
                    "what the upstreams are",
                    required=True,
                    choices=("engine", "service"),
                ),
            ),
            arrays={"upstreams": UPSTREAM},
        ),
        "models": Section((Option("pool", Kind.STRING, "pool of engines", required=True),)),
        "services": Section(
            (
                Option("pool", Kind.STRING, "pool of servers", required=True),
                Option("repeatable", Kind.STRINGS, "calls that may be repeated: METHOD /path/*"),
            )
        ),
        "operators": Section(
            (Option("key_sha256", Kind.STRING, "digest of the operator's key", required=True),)
        ),
    },
    arrays={
        "rules": Section(
            (
                Option("class", Kind.STRING, "class of the matching requests", required=True),
                Option("workspace", Kind.STRING, "workspace to match", default=""),
                Option("site", Kind.STRING, "site to match", default=""),
                Option("model", Kind.STRING, "model to match", default=""),
                Option("service", Kind.STRING, "service to match", default=""),
                Option("path", Kind.STRING, "path pattern to match", default=""),
            )
        )
    },
)

OVERLAY = Section(
    options=(
        _FORMAT,
        Option("site", Kind.STRING, "name of the site", required=True),
        Option("data_centre", Kind.STRING, "data centre of the site", required=True),
        *_LIMITS,
    ),
    named={
        "classes": Section((_FIRST_TOKEN, _INTER_TOKEN)),
        "workspaces": Section(
            (Option("class", Kind.STRING, "class of its requests from this site"), *_LIMITS)
        ),
    },
    sections={},
    arrays={},
)

# Key of the upstreams at a site: [[upstreams.POOL]] in its overlay.
OVERLAY_UPSTREAMS = "upstreams"
