"""Whole numbers in JSON and TOML: 2.0 is the number 2 where a whole number is wanted."""

from __future__ import annotations

from typing import Any, get_args

import msgspec

from lynxscale.configuration.field_rules import FieldRule, field_rules
from lynxscale.configuration.model import MAX_WHOLE_NUMBER


def with_whole_numbers(value: Any, struct: type[msgspec.Struct]) -> Any:
    """Return a JSON value with an ``int`` in each field of the struct that wants one and has a number like 2.0."""
    if not isinstance(value, dict):
        return value
    converted = {
        rule.name: _with_whole_numbers(value[rule.name], rule) for rule in field_rules(struct) if rule.name in value
    }
    return value | converted


def _with_whole_numbers(value: Any, rule: FieldRule) -> Any:
    if rule.kind is int:
        return as_whole_number(value)
    if int in get_args(rule.kind) and isinstance(value, list):
        return [as_whole_number(item) for item in value]
    if rule.struct is not None:
        return with_whole_numbers(value, rule.struct)
    if rule.entries is not None and isinstance(value, list):
        return [with_whole_numbers(item, rule.entries) for item in value]
    return value


def as_whole_number(value: Any) -> Any:
    """Return the ``int`` that a number like 2.0 is; any other value is returned unchanged."""
    if isinstance(value, float) and value.is_integer() and abs(value) <= MAX_WHOLE_NUMBER:
        return int(value)
    return value
