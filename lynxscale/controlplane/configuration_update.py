"""The operator's update: named routes and services that are added, replaced or removed in the configuration in force.

The outcome is a whole configuration, checked like one that was sent whole. All findings come together, with places.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import NotRequired, TypedDict

from returns.result import Failure, Result, Success

from lynxscale.controlplane.configuration import (
    Configuration,
    Finding,
    check_table,
    decode_table,
    generation_findings,
)

NAMED_LISTS = ("routes", "services")
EMPTY_CONFIGURATION: Configuration = {"generation": 0, "routes": [], "services": []}


class Update(TypedDict):
    """``upsert``: items by list, each added or put in the place of its namesake; ``remove``: names by list."""

    generation: int
    upsert: NotRequired[dict[str, list[dict]]]
    remove: NotRequired[dict[str, list[str]]]


def check_update(body: bytes) -> Result[Update, tuple[Finding, ...]]:
    """The update of a request's body, or everything that is wrong with it whatever it is applied to."""
    decoded = decode_table(body)
    if isinstance(decoded, Failure):
        return decoded
    table = decoded.unwrap()
    findings = (*generation_findings(table), *_part_findings(table), *_name_findings(table))
    return Failure(findings) if findings else Success(table)


def apply_update(current: Configuration, update: Update) -> Result[Configuration, tuple[Finding, ...]]:
    """The whole configuration that the update makes of the current one, or everything that is wrong with it."""
    findings = tuple(_unknown_names(current, update))
    if findings:
        return Failure(findings)
    changed = {name: _changed_list(current[name], _items(update, name), _removed(update, name)) for name in NAMED_LISTS}
    return check_table({**current, **changed, "generation": update["generation"]}).alt(_of_the_result)


def _changed_list(entries: list[dict], upserted: list[dict], removed: list[str]) -> list[dict]:
    """Items keep their places; new ones come last."""
    gone = set(removed)
    replaced = {entry["name"]: entry for entry in upserted}
    kept = [replaced.get(entry["name"], entry) for entry in entries if entry["name"] not in gone]
    before = {entry["name"] for entry in entries}
    return kept + [entry for entry in upserted if entry["name"] not in before]


def _of_the_result(findings: tuple[Finding, ...]) -> tuple[Finding, ...]:
    return tuple(Finding(f"result.{finding.place}", finding.text) for finding in findings)


def _items(update: Update, name: str) -> list[dict]:
    return update.get("upsert", {}).get(name, [])


def _removed(update: Update, name: str) -> list[str]:
    return update.get("remove", {}).get(name, [])


def _part_findings(table: dict) -> Iterator[Finding]:
    for field in table.keys() - {"generation", "upsert", "remove"}:
        yield Finding(field, "want generation, upsert and remove only")
    for part, kind, wanted in (("upsert", dict, "an object"), ("remove", str, "a name")):
        lists = table.get(part, {})
        if not isinstance(lists, dict):
            yield Finding(part, "want an object of lists")
            continue
        for name, entries in lists.items():
            yield from _list_findings(f"{part}.{name}", name, entries, kind, wanted)


def _list_findings(place: str, name: str, entries: object, kind: type, wanted: str) -> Iterator[Finding]:
    if name not in NAMED_LISTS:
        yield Finding(place, f"want one of {', '.join(NAMED_LISTS)}")
    elif not isinstance(entries, list):
        yield Finding(place, "want a list")
    else:
        for number, entry in enumerate(entries):
            if not isinstance(entry, kind):
                yield Finding(f"{place}[{number}]", f"want {wanted}")
            elif isinstance(entry, dict) and not (isinstance(entry.get("name"), str) and entry["name"]):
                yield Finding(f"{place}[{number}].name", "want a name")


def _name_findings(table: dict) -> Iterator[Finding]:
    """Names that come more than once, in one part or in both."""
    for name in NAMED_LISTS:
        upserted = [entry.get("name") for entry in _readable(table, "upsert", name) if isinstance(entry, dict)]
        removed = [entry for entry in _readable(table, "remove", name) if isinstance(entry, str)]
        for part, names in (("upsert", upserted), ("remove", removed)):
            for repeated, times in Counter(map(str, names)).items():
                if times > 1:
                    yield Finding(f"{part}.{name}", f"{repeated!r} comes {times} times")
        for both in sorted({one for one in upserted if isinstance(one, str)} & set(removed)):
            yield Finding(f"remove.{name}", f"{both!r} is upserted too")


def _readable(table: dict, part: str, name: str) -> list:
    lists = table.get(part)
    entries = lists.get(name) if isinstance(lists, dict) else None
    return entries if isinstance(entries, list) else []


def _unknown_names(current: Configuration, update: Update) -> Iterator[Finding]:
    for name in NAMED_LISTS:
        known = {entry["name"] for entry in current[name]}
        for number, removed in enumerate(_removed(update, name)):
            if removed not in known:
                yield Finding(f"remove.{name}[{number}]", f"nothing is called {removed!r}")
