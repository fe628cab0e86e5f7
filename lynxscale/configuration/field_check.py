"""Checks the fields of a JSON object against a struct, and returns all findings, each with its path."""

from __future__ import annotations

from typing import Any

import msgspec

from lynxscale.configuration.field_rules import FieldRule, field_rules
from lynxscale.configuration.finding import Finding
from lynxscale.configuration.model import MAXIMUM, NotEmpty, Range

WANTED = {int: "a whole number", float: "a number", str: "a text", bool: "true or false"}


def struct_findings(path: str, value: Any, struct: type[msgspec.Struct]) -> list[Finding]:
    """Return the findings on an object that is to have the fields of a struct; further fields are ignored."""
    if not isinstance(value, dict):
        return [Finding(path, "want an object")]
    found = []
    for rule in field_rules(struct):
        if rule.name in value:
            if rule.is_scalar and not wanted_instead(value[rule.name], rule):
                continue  # the usual case, without the cost of a path
            found += value_findings(f"{path}.{rule.name}", value[rule.name], rule)
        elif rule.required:
            found.append(Finding(f"{path}.{rule.name}", "missing"))
    return found


def value_findings(path: str, value: Any, rule: FieldRule) -> list[Finding]:
    """Return the findings on the value of a field."""
    if value is None and rule.nullable:
        return []
    if rule.entries is not None:
        return list_findings(path, value, rule.entries)
    if rule.struct is not None:
        return struct_findings(path, value, rule.struct)
    wanted = wanted_instead(value, rule)
    return [Finding(path, f"want {wanted}")] if wanted else []


def list_findings(path: str, value: Any, struct: type[msgspec.Struct]) -> list[Finding]:
    """Return the findings on a list of objects."""
    if not isinstance(value, list):
        return [Finding(path, "want a list")]
    entries = enumerate(value)
    return [finding for index, entry in entries for finding in struct_findings(f"{path}[{index}]", entry, struct)]


def wanted_instead(value: Any, rule: FieldRule) -> str:
    """Return what a field wants in place of a value, empty if the value is right."""
    if type(value) is not rule.kind and not (rule.kind is float and type(value) is int):
        return WANTED[rule.kind]
    for annotation in rule.rules:
        if isinstance(annotation, Range):
            return annotation.violation(value, MAXIMUM[rule.kind])
        if isinstance(annotation, NotEmpty) and not value:
            return "a name"
    return ""
