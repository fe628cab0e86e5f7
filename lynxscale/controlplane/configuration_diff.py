"""Differences between two configurations, by the names of their routes and services, as lines of text."""

from __future__ import annotations

from collections.abc import Iterator

from lynxscale.controlplane.configuration import Configuration
from lynxscale.controlplane.configuration_update import NAMED_LISTS, Entry, named_entries


def differences(before: Configuration, after: Configuration) -> list[str]:
    """Return one line for each entry that was removed (``-``), added (``+``) or changed (``~``, with its fields)."""
    lines: list[str] = []
    for name in NAMED_LISTS:
        lines += _list_differences(name, named_entries(before, name), named_entries(after, name))
    return lines


def _list_differences(name: str, before: list[Entry], after: list[Entry]) -> Iterator[str]:
    old = {entry["name"]: entry for entry in before}
    new = {entry["name"]: entry for entry in after}
    yield from (f"- {name} {entry}" for entry in old if entry not in new)
    yield from (f"+ {name} {entry}" for entry in new if entry not in old)
    for entry in old:
        if entry in new and old[entry] != new[entry]:
            yield f"~ {name} {entry}: {', '.join(_changed_fields(old[entry], new[entry]))}"


def _changed_fields(before: Entry, after: Entry) -> list[str]:
    return sorted(field for field in before | after if before.get(field) != after.get(field))
