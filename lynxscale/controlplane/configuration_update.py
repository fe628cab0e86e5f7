"""Updates of the configuration: routes and services are added, replaced or removed by name.

The result is a complete configuration and is checked like a replacement. All findings are collected, each with its
path.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any, NotRequired, TypedDict, cast

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.configuration.document import read_document
from lynxscale.configuration.finding import Finding, Findings
from lynxscale.controlplane.configuration import Configuration
from lynxscale.controlplane.configuration_check import check_configuration, check_document, generation_findings
from lynxscale.controlplane.newest_configuration import CurrentConfiguration

NAMED_LISTS = ("routes", "services")
UPDATE_FIELDS = {"generation", "upsert", "remove"}
EMPTY_CONFIGURATION: Configuration = {"generation": 0, "routes": [], "services": []}

Entry = dict[str, Any]


class ConfigurationUpdate(TypedDict):
    """``upsert``: entries to add, or to replace by name, per list; ``remove``: names of entries, per list."""

    generation: int
    upsert: NotRequired[dict[str, list[Entry]]]
    remove: NotRequired[dict[str, list[str]]]


def check_update(body: bytes) -> Result[ConfigurationUpdate, Findings]:
    """Decode the update in a request's body, and check all that does not depend on the configuration in force."""
    decoded = read_document(body)
    if isinstance(decoded, Failure):
        return decoded
    update = decoded.unwrap()
    findings = (*generation_findings(update), *_shape_findings(update), *_duplicate_name_findings(update))
    return Failure(findings) if findings else Success(cast(ConfigurationUpdate, update))


def decode_acknowledged(current: CurrentConfiguration) -> Result[Configuration, Findings]:
    """Decode the configuration in force.

    It was checked before it was acknowledged. It is checked again only if relays cannot read it, as a program before
    may have acknowledged it.
    """
    if current.error:
        return check_configuration(current.as_written)
    return Success(msgspec.json.decode(current.as_written))


def apply_update(current: Configuration, update: ConfigurationUpdate) -> Result[Configuration, Findings]:
    """Return the complete configuration that results from the update, or all findings."""
    findings = tuple(_unknown_name_findings(current, update))
    if findings:
        return Failure(findings)
    updated: Entry = {**current, "generation": update["generation"]}
    for name in NAMED_LISTS:
        updated[name] = _updated_list(named_entries(current, name), _upserted(update, name), _removed(update, name))
    return check_document(updated).alt(_prefix_result_paths)


def named_entries(configuration: Configuration, name: str) -> list[Entry]:
    """Return the entries of one of the ``NAMED_LISTS``."""
    return cast(dict[str, list[Entry]], configuration)[name]


def _updated_list(entries: list[Entry], upserted: list[Entry], removed: list[str]) -> list[Entry]:
    """Return the updated entries in their order, followed by the new ones."""
    removed_names = set(removed)
    replacements = {entry["name"]: entry for entry in upserted}
    remaining = [replacements.get(entry["name"], entry) for entry in entries if entry["name"] not in removed_names]
    names_before = {entry["name"] for entry in entries}
    return remaining + [entry for entry in upserted if entry["name"] not in names_before]


def _prefix_result_paths(findings: Findings) -> Findings:
    return tuple(Finding(f"result.{finding.path}", finding.message) for finding in findings)


def _upserted(update: ConfigurationUpdate, name: str) -> list[Entry]:
    return update.get("upsert", {}).get(name, [])


def _removed(update: ConfigurationUpdate, name: str) -> list[str]:
    return update.get("remove", {}).get(name, [])


def _shape_findings(update: Entry) -> Iterator[Finding]:
    for field in update.keys() - UPDATE_FIELDS:
        yield Finding(field, "want generation, upsert and remove only")
    yield from _operation_findings(update, "upsert", dict, "an object")
    yield from _operation_findings(update, "remove", str, "a name")


def _operation_findings(update: Entry, operation: str, kind: type, wanted: str) -> Iterator[Finding]:
    lists = update.get(operation, {})
    if not isinstance(lists, dict):
        yield Finding(operation, "want an object of lists")
        return
    for name, entries in lists.items():
        path = f"{operation}.{name}"
        if name not in NAMED_LISTS:
            yield Finding(path, f"want one of {', '.join(NAMED_LISTS)}")
        elif not isinstance(entries, list):
            yield Finding(path, "want a list")
        else:
            yield from _list_findings(path, entries, kind, wanted)


def _list_findings(path: str, entries: list[Any], kind: type, wanted: str) -> Iterator[Finding]:
    for index, entry in enumerate(entries):
        if not isinstance(entry, kind):
            yield Finding(f"{path}[{index}]", f"want {wanted}")
        elif isinstance(entry, dict) and not (isinstance(entry.get("name"), str) and entry["name"]):
            yield Finding(f"{path}[{index}].name", "want a name")


def _duplicate_name_findings(update: Entry) -> Iterator[Finding]:
    """Yield a finding for each name that occurs more than once, in one operation or in both."""
    for name in NAMED_LISTS:
        upserted = [entry.get("name") for entry in _unchecked_list(update, "upsert", name) if isinstance(entry, dict)]
        removed = [entry for entry in _unchecked_list(update, "remove", name) if isinstance(entry, str)]
        for operation, names in (("upsert", upserted), ("remove", removed)):
            for repeated, count in Counter(map(str, names)).items():
                if count > 1:
                    yield Finding(f"{operation}.{name}", f"{repeated!r} comes {count} times")
        for both in sorted({one for one in upserted if isinstance(one, str)} & set(removed)):
            yield Finding(f"remove.{name}", f"{both!r} is upserted too")


def _unchecked_list(update: Entry, operation: str, name: str) -> list[Any]:
    lists = update.get(operation)
    entries = lists.get(name) if isinstance(lists, dict) else None
    return entries if isinstance(entries, list) else []


def _unknown_name_findings(current: Configuration, update: ConfigurationUpdate) -> Iterator[Finding]:
    for name in NAMED_LISTS:
        known = {entry["name"] for entry in named_entries(current, name)}
        for index, removed in enumerate(_removed(update, name)):
            if removed not in known:
                yield Finding(f"remove.{name}[{index}]", f"nothing is called {removed!r}")
