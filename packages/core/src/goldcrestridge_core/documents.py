"""Configuration documents: base and overlay tables, parsed from TOML or decoded from bytes."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

import msgspec
from attrs import frozen
from returns.result import Failure, Result, Success

from goldcrestridge_core.decoding import MALFORMED
from goldcrestridge_core.exceptions import ConfigError

BASE_FILE = "base.toml"
SITES_FOLDER = "sites"


@frozen
class Document:
    """A base table and its overlays by site.

    ``files`` maps each site, and the empty string for the base, to its file name for messages.
    """

    base: dict[str, Any]
    sites: dict[str, dict[str, Any]]
    files: dict[str, str]

    def file_of(self, site: str = "") -> str:
        """Return the file name of the base (empty ``site``) or of the overlay of a site."""
        default = f"{SITES_FOLDER}/{site}.toml" if site else BASE_FILE
        return self.files.get(site, default)


def parse_files(texts: Mapping[str, str]) -> Result[Document, tuple[ConfigError, ...]]:
    """Parse TOML texts by file name: the file base.toml is the base, all others are overlays.

    All errors are reported together, such as invalid TOML and two overlays for one site.
    """
    tables: dict[str, dict[str, Any]] = {}
    errors: list[ConfigError] = []
    for name in sorted(texts):
        try:
            tables[name] = tomllib.loads(texts[name])
        except (tomllib.TOMLDecodeError, RecursionError) as exc:
            errors.append(ConfigError(name, "", f"The file is not valid TOML: {exc}."))
    base_name = next((name for name in sorted(texts) if _is_base(name)), None)
    if base_name is None:
        errors.append(ConfigError(BASE_FILE, "", "The base file is missing."))
    sites: dict[str, dict[str, Any]] = {}
    files = {"": base_name or BASE_FILE}
    for name, table in tables.items():
        if name == base_name:
            continue
        site = table.get("site")
        if not isinstance(site, str) or not site:
            errors.append(ConfigError(name, "site", "An overlay must name its site."))
        elif site in sites:
            reason = f"The site {site!r} has an overlay already, in {files[site]}."
            errors.append(ConfigError(name, "site", reason))
        else:
            sites[site] = table
            files[site] = name
    if errors or base_name is None:
        return Failure(tuple(errors))
    return Success(Document(tables[base_name], sites, files))


def _is_base(name: str) -> bool:
    return name == BASE_FILE or name.endswith("/" + BASE_FILE)


def encode_document(document: Document) -> bytes:
    """Encode a document as deterministic MessagePack: equal documents give equal bytes."""
    value = {"base": document.base, "sites": document.sites}
    return msgspec.msgpack.encode(value, order="deterministic")


def decode_document(data: bytes) -> Result[Document, tuple[ConfigError, ...]]:
    """Decode a document, or return an error if the bytes are not one."""
    try:
        value = msgspec.msgpack.decode(data, type=dict[str, dict[str, Any]])
        sites = msgspec.convert(value["sites"], dict[str, dict[str, Any]])
        return Success(Document(value["base"], sites, {}))
    except (*MALFORMED, KeyError) as exc:
        reason = f"The configuration document is malformed: {exc}."
        return Failure((ConfigError("", "", reason),))
