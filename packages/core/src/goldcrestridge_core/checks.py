"""Validation of one configuration table against its section: keys, types, units and ranges."""

from __future__ import annotations

from typing import Any

from goldcrestridge_core.exceptions import ConfigError
from goldcrestridge_core.options import UNIT_SUFFIXES, Kind, Option, Section


def check_section(
    table: Any, section: Section, file: str, path: str = ""
) -> tuple[dict[str, Any], list[ConfigError]]:
    """Return the table with defaults filled in, and all errors in it.

    Named sections become dicts by name, arrays become lists. Entries with errors keep their valid
    values, so that later checks can report further errors in the same pass.
    """
    if not isinstance(table, dict):
        return {}, [ConfigError(file, path, "This must be a table.")]
    errors = [
        ConfigError(file, _join(path, key), _unknown_reason(key, section))
        for key in table
        if key not in _known_keys(section)
    ]
    values: dict[str, Any] = {}
    for option in section.options:
        value, error = _check_option(table, option, file, path)
        errors.extend(error)
        values[option.key] = value
    for key, nested in section.sections.items():
        values[key], found = check_section(table.get(key, {}), nested, file, _join(path, key))
        errors.extend(found)
    for key, nested in section.named.items():
        values[key], found = _check_named(table.get(key, {}), nested, file, _join(path, key))
        errors.extend(found)
    for key, nested in section.arrays.items():
        values[key], found = check_array(table.get(key, []), nested, file, _join(path, key))
        errors.extend(found)
    return values, errors


def check_array(
    rows: Any, section: Section, file: str, path: str
) -> tuple[list[dict[str, Any]], list[ConfigError]]:
    """Return the checked rows of an array of tables, and all errors in them."""
    if not isinstance(rows, list):
        return [], [ConfigError(file, path, "This must be an array of tables.")]
    checked = [
        check_section(row, section, file, f"{path}[{index}]") for index, row in enumerate(rows)
    ]
    return [row for row, _ in checked], [error for _, found in checked for error in found]


def _check_named(
    table: Any, section: Section, file: str, path: str
) -> tuple[dict[str, dict[str, Any]], list[ConfigError]]:
    if not isinstance(table, dict):
        return {}, [ConfigError(file, path, "This must be a table of named tables.")]
    checked = {
        name: check_section(row, section, file, _join(path, name)) for name, row in table.items()
    }
    errors = [error for _, found in checked.values() for error in found]
    return {name: row for name, (row, _) in checked.items()}, errors


def _check_option(
    table: dict[str, Any], option: Option, file: str, path: str
) -> tuple[Any, list[ConfigError]]:
    key = _join(path, option.key)
    if option.key not in table:
        if option.required:
            reason = f"The key is missing: {option.meaning}, {option.kind.value}."
            return None, [ConfigError(file, key, reason)]
        return option.default, []
    value = table[option.key]
    reason = _value_reason(value, option)
    return (None, [ConfigError(file, key, reason)]) if reason else (value, [])


def _value_reason(value: Any, option: Option) -> str:
    """Return the reason why a value is invalid, or an empty string."""
    if not _has_kind(value, option.kind):
        hint = ", in milliseconds" if option.key.endswith("_ms") else ""
        return f"The value must be {option.kind.value}{hint}, not {value!r}."
    if option.choices and value not in option.choices:
        return f"The value must be one of {', '.join(option.choices)}, not {value!r}."
    if option.minimum is not None and not value >= option.minimum:
        return f"The value must be at least {option.minimum:g}, not {value!r}."
    if option.maximum is not None and not value <= option.maximum:
        return f"The value must be at most {option.maximum:g}, not {value!r}."
    if option.kind is Kind.NUMBER and value in (float("inf"), float("-inf")):
        return "The value must be finite."
    return ""


def _has_kind(value: Any, kind: Kind) -> bool:
    if kind is Kind.STRING:
        return isinstance(value, str) and value != ""
    if kind is Kind.BOOLEAN:
        return isinstance(value, bool)
    if kind is Kind.INTEGER:
        return isinstance(value, int) and not isinstance(value, bool)
    if kind is Kind.NUMBER:
        return isinstance(value, int | float) and not isinstance(value, bool) and value == value
    return isinstance(value, list) and all(isinstance(item, str) and item for item in value)


def _known_keys(section: Section) -> set[str]:
    keys = {option.key for option in section.options}
    return keys | set(section.sections) | set(section.named) | set(section.arrays)


def _unknown_reason(key: str, section: Section) -> str:
    """Return the reason for an unknown key; suggest the key that differs only by its unit."""
    stems = {_stem(known): known for known in _known_keys(section)}
    known_key = stems.get(_stem(key))
    if known_key is not None and known_key != key:
        return f"The unit is wrong or missing; use {known_key!r}."
    return f"The key is unknown; known keys are {', '.join(sorted(_known_keys(section)))}."


def _stem(key: str) -> str:
    suffix = next((suffix for suffix in UNIT_SUFFIXES if key.endswith(suffix)), "")
    return key.removesuffix(suffix)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
