"""Checks all fields of a JSON object in one call of msgspec, which is fast but tells the first error only.

``field_check`` checks the same field by field and collects all findings. A value that passes here has none there.
"""

from __future__ import annotations

from functools import cache
from typing import Annotated, Any

import msgspec

from lynxscale.configuration.field_rules import FieldRule, field_rules
from lynxscale.configuration.model import MAXIMUM, NotEmpty, Range


def has_valid_fields(value: Any, struct: type[msgspec.Struct]) -> bool:
    """Return whether an object has the fields of a struct, each of the right type and in its range."""
    try:
        msgspec.convert(value, _constrained_struct(struct))
    except msgspec.ValidationError:
        return False
    return True


@cache
def _constrained_struct(struct: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """Return a struct with the same fields, whose types contain the rules that are annotations in ``struct``."""
    fields = [_constrained_field(rule, number) for number, rule in enumerate(field_rules(struct))]
    names = {f"field_{number}": rule.name for number, rule in enumerate(field_rules(struct))}
    return msgspec.defstruct(f"Constrained{struct.__name__}", fields, rename=names)


def _constrained_field(rule: FieldRule, number: int) -> tuple[str, Any] | tuple[str, Any, Any]:
    name, constrained = f"field_{number}", _constrained_type(rule)
    return (name, constrained) if rule.required else (name, constrained | msgspec.UnsetType, msgspec.UNSET)


def _constrained_type(rule: FieldRule) -> Any:
    if rule.entries is not None:
        return list[_constrained_struct(rule.entries)]  # type: ignore[misc]  # a type that is made at run time
    if rule.struct is not None:
        constrained = _constrained_struct(rule.struct)
        return constrained | None if rule.nullable else constrained
    constraints = [constraint for annotation in rule.rules for constraint in _constraints(annotation, rule.kind)]
    return Annotated[rule.kind, *constraints] if constraints else rule.kind


def _constraints(annotation: Any, kind: type) -> list[msgspec.Meta]:
    if isinstance(annotation, Range):
        return [msgspec.Meta(ge=annotation.minimum), msgspec.Meta(gt=annotation.above), msgspec.Meta(le=MAXIMUM[kind])]
    return [msgspec.Meta(min_length=1)] if isinstance(annotation, NotEmpty) else []
