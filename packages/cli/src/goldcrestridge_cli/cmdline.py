"""goldcrestridge: check, apply and watch a goldcrestridge deployment.

Usage:
  goldcrestridge check FOLDER [--json]
  goldcrestridge diff FOLDER [--node=URL] [--key-file=FILE] [--json]
  goldcrestridge apply FOLDER [--wait=SECONDS] [--change-id=ID] [--base-version=N]
                       [--node=URL] [--key-file=FILE] [--json]
  goldcrestridge status [--node=URL] [--key-file=FILE] [--json]
  goldcrestridge timeline [--request=ID] [--workspace=NAME] [--upstream=NAME] [--change=ID]
                          [--limit=N] [--node=URL] [--key-file=FILE] [--json]
  goldcrestridge drain [--deadline=SECONDS] [--node=URL] [--key-file=FILE] [--json]
  goldcrestridge hash-key [--json]
  goldcrestridge requests [--by-second] [--json] LOG...
  goldcrestridge --help

FOLDER holds base.toml and the overlays in sites/. hash-key reads a key from standard input.
requests summarises the logs of entry nodes: for each route how many requests were on time, late,
refused or failed, and why. LOG is a file of log lines, or - for standard input.

Options:
  --node=URL            Operator address of a node [default: http://127.0.0.1:9000].
                        The variable GOLDCRESTRIDGE_NODE replaces the default.
  --key-file=FILE       File with the operator's key; the default is the path in
                        GOLDCRESTRIDGE_KEY_FILE.
  --json                Print JSON.
  --wait=SECONDS        Wait until the version is in force on every live node.
  --change-id=ID        Identifier of the change. If the response was lost, send the change
                        again with the same identifier.
  --base-version=N      Version that the change is based on; the current one by default.
  --request=ID          Show the events of one request.
  --workspace=NAME      Show the events of one workspace.
  --upstream=NAME       Show the events of one upstream.
  --change=ID           Show the events of one configuration change.
  --limit=N             Show at most the last N events [default: 1000].
  --by-second           Show each second of each route.
  --deadline=SECONDS    Cancel requests that are still in flight after this time.

Exit codes: 0 done, 1 invalid configuration or a difference, 2 usage error, 3 conflict,
4 node unreachable, 5 refused, 6 not in force within --wait.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from goldcrestridge_cli import commands
from goldcrestridge_cli.client import Client
from goldcrestridge_cli.exceptions import EXIT_USAGE, CommandError

DEFAULT_NODE = "http://127.0.0.1:9000"


def main(argv: list[str] | None = None) -> int:
    """Run one command, print its report and return the exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        options = docopt(__doc__, arguments)
    except SystemExit as exc:
        if exc.code is None:
            return 0
        print(exc.code, file=sys.stderr)
        return EXIT_USAGE
    try:
        report = _run(options)
    except CommandError as exc:
        if options["--json"]:
            print(msgspec.json.encode({"error": str(exc), "code": exc.code}).decode())
        else:
            print(exc, file=sys.stderr)
        return exc.code
    if options["--json"]:
        print(msgspec.json.encode(report.data).decode())
    else:
        print("\n".join(report.lines))
    return report.code


def _run(options: dict[str, Any]) -> commands.Report:
    folder = Path(options["FOLDER"] or ".")
    if options["check"]:
        return commands.check(folder)
    if options["hash-key"]:
        return commands.hash_key(sys.stdin.readline().strip())
    if options["requests"]:
        return commands.requests(options["LOG"], options["--by-second"])
    client = _make_client(options)
    if options["diff"]:
        return commands.diff(client, folder)
    if options["apply"]:
        base = _parse_number(options, "--base-version")
        return commands.apply(
            client,
            folder,
            None if base is None else int(base),
            options["--change-id"],
            _parse_number(options, "--wait"),
        )
    if options["timeline"]:
        names = ("request", "workspace", "upstream", "change")
        filters = {name: options[f"--{name}"] or "" for name in names}
        return commands.timeline(client, filters, int(_parse_number(options, "--limit") or 0))
    if options["drain"]:
        return commands.drain(client, _parse_number(options, "--deadline"))
    return commands.status(client)


def _make_client(options: dict[str, Any]) -> Client:
    url = options["--node"]
    if url == DEFAULT_NODE:
        url = os.environ.get("GOLDCRESTRIDGE_NODE", url)
    file = options["--key-file"] or os.environ.get("GOLDCRESTRIDGE_KEY_FILE", "")
    if not file:
        return Client(url)
    try:
        return Client(url, Path(file).read_text(encoding="utf-8").strip())
    except OSError as exc:
        raise CommandError(f"The key file can't be read: {exc}.", EXIT_USAGE) from exc


def _parse_number(options: dict[str, Any], name: str) -> float | None:
    text = options[name]
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise CommandError(f"{name} must be a number of at least 0, not {text!r}.", EXIT_USAGE)
    return number


if __name__ == "__main__":
    sys.exit(main())
