"""Configuration documents and calls for the state machine of nodes."""

from __future__ import annotations

from typing import Any

from returns.result import Failure

from goldcrestridge_core.call_types import Call, CallKind
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.documents import Document, encode_document
from goldcrestridge_core.types import UpstreamId
from goldcrestridge_core.validation import validate_bytes

WALL_START_MS = 1_800_000_000_000.0  # Wall clock time at the virtual time 0.
ENGINES = tuple(UpstreamId(f"engine-{number}") for number in range(3))
SERVICES = tuple(UpstreamId(f"orders-{number}") for number in range(2))
SLOTS = 2
CLASSES = ("gate", "office", "warranty")  # By tier, highest first.
LOWEST_CLASS = CLASSES[-1]
WORKSPACES = ("ada", "bayo")
ENGINE_POOL = "assistant"
SERVICE_POOL = "orders"


def config_document(variant: int, slots: int = SLOTS) -> bytes:
    """Return a valid document; variants differ in name and weight, and some in slots or engines."""
    engines = ENGINES if variant % 3 != 2 else ENGINES[:2]
    base: dict[str, Any] = {
        "format": 1,
        "name": f"variant-{variant}",
        "retries": {"share": 1.0},
        "addresses": {"ttl_ms": 1_000},
        "data_centres": {"dc": {"region": "region"}},
        "classes": {
            name: {
                "tier": tier,
                "weight": 1 + variant % 4,
                "floor_share": 0.05,
                "first_token_ms": 500 * (tier + 1),
                "inter_token_ms": 50,
                "queue_timeout_ms": (2_000, 10_000, 60_000)[tier],
            }
            for tier, name in enumerate(CLASSES)
        },
        "pools": {ENGINE_POOL: {"kind": "engine"}, SERVICE_POOL: {"kind": "service"}},
        "models": {"model": {"pool": ENGINE_POOL}},
        "services": {SERVICE_POOL: {"pool": SERVICE_POOL, "repeatable": ["GET /*"]}},
        "workspaces": {
            name: {
                "class": CLASSES[0],
                "keys_sha256": [f"{number:064x}"],
                "sites": ["site"],
                "models": ["model"],
                "services": [SERVICE_POOL],
            }
            for number, name in enumerate(WORKSPACES)
        },
    }
    upstreams = {
        ENGINE_POOL: [_upstream(name, slots + variant % 2) for name in engines],
        SERVICE_POOL: [_upstream(name, SLOTS) for name in SERVICES],
    }
    sites = {"site": {"format": 1, "site": "site", "data_centre": "dc", "upstreams": upstreams}}
    return encode_document(Document(base, sites, {}))


def _upstream(name: UpstreamId, slots: int) -> dict[str, Any]:
    number = (*ENGINES, *SERVICES).index(name)
    return {"name": name, "address": f"127.0.0.1:{9000 + number}", "slots": slots}


def check_document(data: bytes) -> ConfigCheck:
    """Validate a document as the store does."""
    checked = validate_bytes(data)
    if isinstance(checked, Failure):
        return ConfigCheck(" ".join(str(error) for error in checked.failure()))
    return ConfigCheck("", checked.unwrap().claim_retention_ms)


def completion_call(tier: int, workspace: str) -> Call:
    """Return a streaming completion call."""
    return Call(
        kind=CallKind.COMPLETION,
        workspace=workspace,
        site="site",
        class_name=CLASSES[tier],
        pool=ENGINE_POOL,
        method="POST",
        path="/v1/chat/completions",
        query=b"",
        headers=(),
        body=b"prompt",
        model="model",
        stream=True,
        prompt_tokens=10,
        max_tokens=100,
        continuable=True,
    )


def service_call(tier: int, workspace: str, key: str, *, repeatable: bool) -> Call:
    """Return a call of the plain service; ``key`` is its idempotency key, empty for none."""
    return Call(
        kind=CallKind.PLAIN,
        workspace=workspace,
        site="site",
        class_name=CLASSES[tier],
        pool=SERVICE_POOL,
        method="GET" if repeatable else "POST",
        path="/orders",
        query=b"",
        headers=(),
        body=b"order",
        service=SERVICE_POOL,
        repeatable=repeatable,
        key=key,
    )
