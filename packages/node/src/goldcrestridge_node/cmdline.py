"""goldcrestridged: run one node of a goldcrestridge deployment.

Usage:
  goldcrestridged --settings=FILE
  goldcrestridged check --settings=FILE
  goldcrestridged --help

Options:
  --settings=FILE  Settings of this node (TOML).

SIGTERM or SIGINT drains the node; a second one ends the drain at once.
Exit codes: 0 drained, 1 invalid settings, 2 usage error, 3 address or data folder not usable.
"""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
from docopt import docopt
from returns.result import Failure

from goldcrestridge_core.clock import Clock
from goldcrestridge_core.exceptions import StorageError
from goldcrestridge_node import disk
from goldcrestridge_node.logs import configure_logs
from goldcrestridge_node.process import Process
from goldcrestridge_node.settings import REPLICA, Settings, load_settings

EXIT_SETTINGS = 1
EXIT_USAGE = 2
EXIT_RESOURCE = 3


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    try:
        options = docopt(__doc__, sys.argv[1:] if argv is None else argv)
    except SystemExit as exc:
        if exc.code is None:
            return 0
        print(exc.code, file=sys.stderr)
        return EXIT_USAGE
    loaded = load_settings(Path(options["--settings"]))
    if isinstance(loaded, Failure):
        for error in loaded.failure():
            print(error, file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    if options["check"]:
        print(f"The settings of {settings.node} are valid.")
        return 0
    configure_logs(settings.node, settings.log_level)
    try:
        run(settings)
    except (OSError, StorageError) as exc:
        print(f"goldcrestridged: {exc}", file=sys.stderr)
        return EXIT_RESOURCE
    except BaseExceptionGroup as group:
        expected, rest = group.split((OSError, StorageError))
        if expected is None or rest is not None:
            raise
        print(f"goldcrestridged: {_first_exception(expected)}", file=sys.stderr)
        return EXIT_RESOURCE
    return 0


def _first_exception(group: BaseException) -> BaseException:
    """Return the first leaf exception of a possibly nested exception group."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def run(settings: Settings) -> None:
    """Run a node until it has drained; raise OSError or StorageError if it cannot run."""
    folder = None
    if REPLICA in settings.roles and settings.data_folder is not None:
        folder = disk.open_folder(settings.data_folder, settings.node)
    try:
        anyio.run(_run, settings, folder, backend="asyncio")
    finally:
        if folder is not None:
            folder.close()


async def _run(settings: Settings, folder: disk.Folder | None) -> None:
    await Process(settings, Clock(), folder).run()


if __name__ == "__main__":
    sys.exit(main())
