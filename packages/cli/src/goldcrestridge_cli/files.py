"""Read configuration folders, which hold a base file and an overlay for each site, and logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

from returns.result import Failure

from goldcrestridge_cli.exceptions import EXIT_INVALID, EXIT_USAGE, CommandError
from goldcrestridge_core.config import Configuration
from goldcrestridge_core.documents import BASE_FILE, SITES_FOLDER, Document, parse_files
from goldcrestridge_core.validation import validate


def read_folder(folder: Path) -> Document:
    """Return the valid document in a folder.

    Raise CommandError, with all errors in its message, if it is missing, unreadable or invalid.
    """
    document, _ = check_folder(folder)
    return document


def check_folder(folder: Path) -> tuple[Document, Configuration]:
    """Return the document in a folder and the validated configuration.

    Raise CommandError, with all errors in its message, if it is missing, unreadable or invalid.
    """
    base = folder / BASE_FILE
    if not base.is_file():
        message = f"{base} does not exist; name a folder with {BASE_FILE} and {SITES_FOLDER}/."
        raise CommandError(message, EXIT_USAGE)
    paths = [base, *sorted((folder / SITES_FOLDER).glob("*.toml"))]
    try:
        texts = {str(path): path.read_text(encoding="utf-8") for path in paths}
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(f"A file in {folder} can't be read: {exc}", EXIT_USAGE) from exc
    parsed = parse_files(texts)
    validated = parsed.bind(validate)
    if isinstance(validated, Failure):
        errors = validated.failure()
        lines = [str(error) for error in errors]
        lines.append(f"{len(errors)} mistake(s); nothing was sent.")
        raise CommandError("\n".join(lines), EXIT_INVALID)
    return parsed.unwrap(), validated.unwrap()


def read_lines(names: list[str]) -> Iterator[str]:
    """Yield the lines of files, - for standard input; raise CommandError for an unreadable one."""
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            raise CommandError(f"The log can't be read: {exc}.", EXIT_USAGE) from exc
