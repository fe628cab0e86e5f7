"""Whole numbers in JSON and TOML: 2.0 is the number 2 where a whole number is wanted."""

from __future__ import annotations

from functools import cache
from operator import is_
from typing import Any

import msgspec

from lynxscale.configuration.field_rules import FieldRule, field_rules
from lynxscale.configuration.model import MAX_WHOLE_NUMBER

CONVERTIBLE = frozenset((float, list, dict))
"""The types of values that may be or contain a number like 2.0."""


def with_whole_numbers(value: Any, struct: type[msgspec.Struct]) -> Any:
    """Return a JSON value with an ``int`` in each field of the struct that wants one and has a number like 2.0.

    Objects and lists without such a number are returned as they are, not copied.
    """
    if not isinstance(value, dict):
        return value
    changed = {}
    for rule in _rules_with_whole_numbers(struct):
        entry = value.get(rule.name)
        if type(entry) in CONVERTIBLE:
            converted = _with_whole_numbers(entry, rule)
            if converted is not entry:
                changed[rule.name] = converted
    return value | changed if changed else value


@cache
def _rules_with_whole_numbers(struct: type[msgspec.Struct]) -> tuple[FieldRule, ...]:
    """The rules of the fields that are or may contain whole numbers."""
    return tuple(rule for rule in field_rules(struct) if rule.kind is int or rule.is_integer_list or not rule.is_scalar)


def _with_whole_numbers(value: Any, rule: FieldRule) -> Any:
    if rule.kind is int:
        return as_whole_number(value)
    if rule.struct is not None:
        return with_whole_numbers(value, rule.struct)
    if not isinstance(value, list):
        return value
    if rule.entries is None:
        return _original_if_unchanged(value, [as_whole_number(item) for item in value])
    return _original_if_unchanged(value, [with_whole_numbers(item, rule.entries) for item in value])


def _original_if_unchanged(before: list[Any], after: list[Any]) -> list[Any]:
    """Return the list before if none of its items was replaced."""
    return before if all(map(is_, before, after)) else after


def as_whole_number(value: Any) -> Any:
    """Return the ``int`` that a number like 2.0 is; any other value is returned unchanged."""
    if isinstance(value, float) and value.is_integer() and abs(value) <= MAX_WHOLE_NUMBER:
        return int(value)
    return value
