"""Operator commands, as functions that return a report to print."""

from __future__ import annotations

import hashlib
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import field, frozen

from goldcrestridge_cli.changes import iter_changes
from goldcrestridge_cli.client import Client
from goldcrestridge_cli.exceptions import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_TIMEOUT,
    EXIT_UNREACHABLE,
    CommandError,
)
from goldcrestridge_cli.files import check_folder, read_folder, read_lines
from goldcrestridge_cli.request_report import as_data, read_requests, table

POLL_S = 0.1
LIVE_STATES = ("alive", "suspect", "leaving")


@frozen
class Report:
    """Result of a command: lines for a terminal, data for --json, and the exit code."""

    lines: tuple[str, ...]
    data: dict[str, Any] = field(factory=dict)
    code: int = EXIT_OK


def check(folder: Path) -> Report:
    """Validate a configuration folder without sending it; raise CommandError if it is invalid."""
    _, cfg = check_folder(folder)
    upstreams = sum(len(pool.upstreams) for pool in cfg.pools.values())
    data = {
        "name": cfg.name,
        "classes": len(cfg.classes),
        "workspaces": len(cfg.workspaces),
        "sites": len(cfg.sites),
        "upstreams": upstreams,
    }
    counts = ", ".join(f"{value} {key}" for key, value in data.items() if key != "name")
    return Report((f"{cfg.name} is valid: {counts}.",), data)


def requests(logs: list[str], by_second: bool) -> Report:
    """Summarise the requests in log files; raise CommandError if one can't be read."""
    summaries, unreadable = read_requests(read_lines(logs))
    if not summaries:
        raise CommandError("The logs hold no requests.", EXIT_INVALID)
    lines = table(summaries, by_second)
    if unreadable:
        lines.append(f"{unreadable} lines are no log lines and were skipped.")
    return Report(tuple(lines), {"routes": as_data(summaries), "skipped_lines": unreadable})


def diff(client: Client, folder: Path) -> Report:
    """Compare a folder with the current configuration; exit with code 1 if they differ."""
    document = read_folder(folder)
    current = client.get("/v1/config")
    new = {"base": document.base, "sites": document.sites}
    differences = list(iter_changes(current["document"] or {}, new))
    lines = [str(change) for change in differences] or ["No difference."]
    data = {
        "version": current["version"],
        "changes": [{"key": item.key, "old": item.old, "new": item.new} for item in differences],
    }
    return Report(tuple(lines), data, EXIT_INVALID if differences else EXIT_OK)


def apply(
    client: Client,
    folder: Path,
    base_version: int | None,
    change_id: str | None,
    wait_s: float | None,
) -> Report:
    """Send a configuration folder as a change of ``base_version``, by default the current version.

    With ``wait_s``, wait until the new version is in force on every live node. If the node does not
    answer, the outcome is unknown. The message of the CommandError then names the change id and the
    base version; a change that is sent again with both is applied at most once.
    """
    document = read_folder(folder)
    change = change_id or str(uuid.uuid4())
    base = client.get("/v1/config")["version"] if base_version is None else base_version
    body = {
        "change_id": change,
        "base_version": base,
        "document": {"base": document.base, "sites": document.sites},
    }
    try:
        result = client.post("/v1/config", body)
    except CommandError as exc:
        if exc.code != EXIT_UNREACHABLE:
            raise
        message = f"{exc} It is unknown whether the change was accepted. Send it again with "
        message += f"--change-id {change} --base-version {base}; it is applied at most once."
        raise CommandError(message, exc.code) from exc
    status = result["status"]
    data = {"change_id": change, **result}
    if status == "conflict":
        lines: tuple[str, ...] = (
            f"Conflict: version {result['version']} is in force, not {base}. {result['detail']}",
            "Run 'goldcrestridge diff' to see the difference, then apply again.",
        )
        return Report(lines, data, EXIT_CONFLICT)
    if status != "accepted":
        return Report((f"Refused: {result['detail']}",), data, EXIT_INVALID)
    lines = (f"Accepted as version {result['version']} (change {change}).",)
    if wait_s is None:
        return Report(lines, data)
    report = wait_in_force(client, result["version"], wait_s)
    return Report((*lines, *report.lines), {**data, **report.data}, report.code)


def wait_in_force(
    client: Client,
    version: int,
    wait_s: float,
    sleep: Callable[[float], None] = time.sleep,
    now_s: Callable[[], float] = time.monotonic,
) -> Report:
    """Wait until a version is in force on every live node.

    The report names the nodes on which it is not in force after ``wait_s``.
    """
    started_s = now_s()
    while True:
        behind = lagging_nodes(client, version)
        elapsed_ms = (now_s() - started_s) * 1000
        if not behind:
            line = f"Version {version} is in force on every live node after {elapsed_ms:.0f} ms."
            return Report((line,), {"in_force_ms": round(elapsed_ms, 1), "behind": []})
        if now_s() - started_s > wait_s:
            line = f"Version {version} is not in force on {', '.join(behind)} after {wait_s:g} s."
            return Report((line,), {"behind": behind}, EXIT_TIMEOUT)
        sleep(POLL_S)


def live_members(client: Client) -> list[dict[str, Any]]:
    """Return the members that serve requests or may do so again without a restart."""
    members = client.get("/v1/status")["members"]
    return [member for member in members if member["state"] in LIVE_STATES]


def version_in_force(member: dict[str, Any], key: str) -> int | None:
    """Return the configuration version in force on a member, or None if it is unreachable."""
    if not member["admin_address"]:
        return None
    try:
        response = Client(f"http://{member['admin_address']}", key).get("/v1/version")
    except CommandError:
        return None
    return int(response["version"])


def lagging_nodes(client: Client, version: int) -> list[str]:
    """Return the live nodes that are unreachable or have an older version in force."""
    return [
        member["node"]
        for member in live_members(client)
        if (version_in_force(member, client.key) or 0) < version
    ]


def status(client: Client) -> Report:
    """Show members, configuration, shards and load from the view of one node."""
    data = client.get("/v1/status")
    lines = [
        f"node {data['node']} in {data['data_centre']}, {data['state']}, "
        f"configuration {data['config_version']}, log leader {data['leader'] or 'unknown'}",
        f"requests in flight {data['in_flight']}",
        "",
        f"{'NODE':<20} {'STATE':<9} {'DATA CENTRE':<16} {'CONFIG':>7}  ROLES",
    ]
    for member in data["members"]:
        live = member["state"] in LIVE_STATES
        member["config_version"] = version_in_force(member, client.key) if live else None
        version = member["config_version"]
        lines.append(
            f"{member['node']:<20} {member['state']:<9} {member['data_centre']:<16} "
            f"{'unknown' if version is None else version:>7}  {', '.join(member['roles'])}"
        )
    lines += ["", f"{'SHARD':<20} {'OWNER':<20} {'EPOCH':>8}"]
    lines += [
        f"{row['shard']:<20} {row['owner'] or 'none':<20} {row['epoch']:>8}"
        for row in data["shards"]
    ]
    return Report(tuple(lines), data)


def timeline(client: Client, filters: dict[str, str], limit: int) -> Report:
    """Merge the events of all live nodes in causal order, and show the last ``limit`` of them.

    An empty value in ``filters`` selects all events.
    """
    members = live_members(client)
    urls = {f"http://{member['admin_address']}" for member in members if member["admin_address"]}
    query = "&".join(f"{key}={value}" for key, value in sorted(filters.items()) if value)
    events: list[dict[str, Any]] = []
    missing: list[str] = []
    for url in sorted(urls):
        try:
            response = Client(url, client.key).get(f"/v1/timeline?{query}")
        except CommandError:
            missing.append(url)
        else:
            events.extend(response["events"])
    events.sort(key=lambda event: (event["wall_ms"], event["counter"], event["node"]))
    shown = events[max(0, len(events) - limit) :]
    lines = [_event_line(event) for event in shown]
    lines += [f"{url} could not be reached; its events are missing." for url in missing]
    code = EXIT_UNREACHABLE if missing else EXIT_OK
    return Report(tuple(lines), {"events": shown, "missing": missing}, code)


def _event_line(event: dict[str, Any]) -> str:
    seconds = event["wall_ms"] / 1000
    time_of_day = (
        time.strftime("%H:%M:%S", time.gmtime(seconds)) + f".{int(event['wall_ms']) % 1000:03d}"
    )
    names = ("request_id", "workspace", "upstream", "change_id")
    fields = [f"{name.removesuffix('_id')}={event[name]}" for name in names if event[name]]
    fields += [f"{key}={value}" for key, value in event["detail"].items()]
    return f"{time_of_day} {event['node']:<16} {event['kind']:<24} {' '.join(fields)}"


def drain(client: Client, deadline_s: float | None) -> Report:
    """Drain the node to which the client connects."""
    body = {} if deadline_s is None else {"deadline_ms": deadline_s * 1000}
    data = client.post("/v1/drain", body)
    line = f"Node {data['node']} is draining; {data['in_flight']} request(s) in flight. "
    line += "Follow the drain with 'goldcrestridge status'."
    return Report((line,), data)


def hash_key(key: str) -> Report:
    """Return the SHA-256 digest of a bearer key, as it is written in the configuration."""
    if not key:
        raise CommandError("The key on standard input is empty.", EXIT_INVALID)
    digest = hashlib.sha256(key.encode()).hexdigest()
    return Report((digest,), {"sha256": digest})
