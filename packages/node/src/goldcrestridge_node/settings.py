"""Node settings: identity, addresses, data folder and initial peers."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from goldcrestridge_core.checks import check_section
from goldcrestridge_core.endpoints import split_address
from goldcrestridge_core.exceptions import ConfigError
from goldcrestridge_core.options import Kind, Option, Section
from goldcrestridge_core.process_limits import BYTES_PER_MB, ProcessLimits, process_limits
from goldcrestridge_core.types import NodeId
from goldcrestridge_node.descriptors import allowed_descriptors

FORMAT = 1
ENTRY = "entry"
REPLICA = "replica"
ROLES = (ENTRY, REPLICA)

_PEER = Section(
    options=(
        Option("address", Kind.STRING, "ip:port of the peer", required=True),
        Option("replica", Kind.BOOLEAN, "whether the peer is an initial control replica"),
        Option("public_key", Kind.STRING, "CURVE public key of the peer", default=""),
    )
)

SETTINGS = Section(
    options=(
        Option("format", Kind.INTEGER, "format version of the file", required=True),
        Option("node", Kind.STRING, "unique name of this node", required=True),
        Option("data_centre", Kind.STRING, "data centre of this node", required=True),
        Option("site", Kind.STRING, "site of callers that name none", default=""),
        Option("roles", Kind.STRINGS, "entry (also owns shards), replica", required=True),
        Option("peer_address", Kind.STRING, "ip:port for other nodes", required=True),
        Option(
            "peer_bind_address",
            Kind.STRING,
            "ip:port to listen on for other nodes, if it differs from peer_address",
            default="",
        ),
        Option("caller_address", Kind.STRING, "ip:port for callers", default=""),
        Option("admin_address", Kind.STRING, "ip:port for operators", default=""),
        Option("data_folder", Kind.STRING, "folder for durable state, replicas only", default=""),
        Option(
            "log_level",
            Kind.STRING,
            "lowest level that is logged",
            default="info",
            choices=("debug", "info"),
        ),
        Option("platform_url", Kind.STRING, "URL of the platform's list of VMs", default=""),
        Option(
            "drain_deadline_ms",
            Kind.NUMBER,
            "time after which a drain cancels the requests in flight",
            default=600_000.0,
            minimum=0,
        ),
        Option(
            "timeline_events", Kind.INTEGER, "number of events kept", default=20_000, minimum=100
        ),
        Option("memory_mb", Kind.INTEGER, "memory that this node may use", default=256, minimum=64),
        Option(
            "max_descriptors",
            Kind.INTEGER,
            "descriptors that this node may open; 0 for those that the system allows it",
            default=0,
            minimum=0,
        ),
        Option(
            "max_body_bytes", Kind.INTEGER, "largest request body", default=8_388_608, minimum=1
        ),
    ),
    named={
        "peers": _PEER,
        "operators": Section(
            (Option("key_sha256", Kind.STRING, "digest of the operator's key", required=True),)
        ),
    },
    sections={
        "curve": Section(
            (
                Option("public_key", Kind.STRING, "CURVE public key of this node", default=""),
                Option("secret_key_file", Kind.STRING, "file with the secret key", default=""),
            )
        )
    },
)


@frozen
class Peer:
    """Peer named in the settings; ``address`` is ``ip:port``."""

    node: NodeId
    address: str
    replica: bool
    public_key: str


@frozen
class Settings:
    """Validated settings of one node; durations in milliseconds, sizes in bytes."""

    node: NodeId
    data_centre: str
    site: str
    roles: tuple[str, ...]
    peer_address: str
    peer_bind_address: str
    caller_address: str
    admin_address: str
    data_folder: Path | None
    log_level: str
    platform_url: str
    drain_deadline_ms: float
    timeline_events: int
    max_body_bytes: int
    limits: ProcessLimits
    peers: dict[NodeId, Peer]
    operators_sha256: dict[str, str]
    curve_public_key: str
    curve_secret_key_file: Path | None

    @property
    def replicas(self) -> tuple[NodeId, ...]:
        """Return the sorted initial control replicas; this node is included if it is one."""
        others = {peer.node for peer in self.peers.values() if peer.replica}
        own = {self.node} if REPLICA in self.roles else set()
        return tuple(sorted(others | own))


def load_settings(path: Path) -> Result[Settings, tuple[ConfigError, ...]]:
    """Read and validate a settings file; all errors are reported together."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return Failure((ConfigError(str(path), "", f"The file can't be read: {exc.strerror}."),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Failure((ConfigError(str(path), "", f"The file is not valid TOML: {exc}."),))
    return parse_settings(table, str(path))


def parse_settings(table: dict[str, Any], file: str) -> Result[Settings, tuple[ConfigError, ...]]:
    """Validate a settings table; all errors are reported together."""
    values, errors = check_section(table, SETTINGS, file)
    if not errors:
        errors = _semantic_errors(values, file)
    if errors:
        return Failure(tuple(errors))
    curve = values["curve"]
    return Success(
        Settings(
            node=NodeId(values["node"]),
            data_centre=values["data_centre"],
            site=values["site"],
            roles=tuple(values["roles"]),
            peer_address=values["peer_address"],
            peer_bind_address=values["peer_bind_address"] or values["peer_address"],
            caller_address=values["caller_address"],
            admin_address=values["admin_address"],
            data_folder=Path(values["data_folder"]) if values["data_folder"] else None,
            log_level=values["log_level"],
            platform_url=values["platform_url"],
            drain_deadline_ms=float(values["drain_deadline_ms"]),
            timeline_events=values["timeline_events"],
            max_body_bytes=values["max_body_bytes"],
            limits=process_limits(
                values["memory_mb"] * BYTES_PER_MB,
                allowed_descriptors(values["max_descriptors"]),
            ),
            peers={
                NodeId(name): Peer(
                    NodeId(name), row["address"], bool(row["replica"]), row["public_key"]
                )
                for name, row in values["peers"].items()
            },
            operators_sha256={name: row["key_sha256"] for name, row in values["operators"].items()},
            curve_public_key=curve["public_key"],
            curve_secret_key_file=(
                Path(curve["secret_key_file"]) if curve["secret_key_file"] else None
            ),
        )
    )


def _semantic_errors(values: dict[str, Any], file: str) -> list[ConfigError]:
    errors = []
    if values["format"] != FORMAT:
        reason = f"Format {values['format']} is not supported; expected {FORMAT}."
        errors.append(ConfigError(file, "format", reason))
    errors += [
        ConfigError(file, "roles", f"{role!r} is not a role; use {', '.join(ROLES)}.")
        for role in values["roles"]
        if role not in ROLES
    ]
    addresses = [
        ("peer_address", values["peer_address"]),
        *(
            (key, values[key])
            for key in ("peer_bind_address", "caller_address", "admin_address")
            if values[key]
        ),
        *((f"peers.{name}.address", row["address"]) for name, row in values["peers"].items()),
    ]
    errors += [
        ConfigError(file, key, f"{address!r} is not an IP address with a port.")
        for key, address in addresses
        if split_address(address) is None
    ]
    roles = values["roles"]
    if REPLICA in roles and not values["data_folder"]:
        errors.append(ConfigError(file, "data_folder", "A replica needs a data folder."))
    if ENTRY in roles and not values["caller_address"]:
        errors.append(ConfigError(file, "caller_address", "An entry needs a caller address."))
    if values["node"] in values["peers"]:
        reason = "This node is among its own peers."
        errors.append(ConfigError(file, f"peers.{values['node']}", reason))
    replicas = sum(bool(row["replica"]) for row in values["peers"].values()) + (REPLICA in roles)
    if replicas % 2 == 0:
        reason = f"There are {replicas} control replicas; use an odd number, 3 or 5."
        errors.append(ConfigError(file, "peers", reason))
    curve = values["curve"]
    if bool(curve["public_key"]) != bool(curve["secret_key_file"]):
        reason = "Both public_key and secret_key_file are needed, or neither."
        errors.append(ConfigError(file, "curve", reason))
    if curve["public_key"]:
        errors += [
            ConfigError(file, f"peers.{name}.public_key", "With [curve], each peer needs its key.")
            for name, row in values["peers"].items()
            if not row["public_key"]
        ]
    return errors
