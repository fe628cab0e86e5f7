"""The rules of a struct's fields: their names in JSON, their types, and the annotations of these."""

from __future__ import annotations

from functools import cache
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec
from attrs import frozen


@frozen
class FieldRule:
    """What a field may hold. ``entries``: the struct of the entries of a list; ``struct``: that of an object.

    ``kind``: the type of any other value. ``rules``: the annotations of its type.
    """

    name: str
    required: bool
    kind: Any
    rules: tuple[Any, ...]
    nullable: bool
    entries: type[msgspec.Struct] | None
    struct: type[msgspec.Struct] | None

    @property
    def is_scalar(self) -> bool:
        """Whether it holds neither a list nor an object."""
        return self.entries is None and self.struct is None

    @property
    def is_integer_list(self) -> bool:
        """Whether it holds a list of whole numbers."""
        return get_origin(self.kind) is tuple and int in get_args(self.kind)


@cache
def field_rules(struct: type[msgspec.Struct]) -> tuple[FieldRule, ...]:
    """Return the rules for the fields of a struct."""
    hints = get_type_hints(struct, include_extras=True)
    return tuple(_field_rule(field, hints[field.name]) for field in msgspec.structs.fields(struct))


def _field_rule(field: msgspec.structs.FieldInfo, annotation: Any) -> FieldRule:
    kind, *rules = get_args(annotation) if get_origin(annotation) is Annotated else (annotation,)
    arguments = get_args(kind)
    nullable = type(None) in arguments
    entries = _as_struct(arguments[0]) if get_origin(kind) is tuple else None
    struct = _as_struct(arguments[0] if nullable else kind)
    return FieldRule(field.encode_name, field.required, kind, tuple(rules), nullable, entries, struct)


def _as_struct(kind: Any) -> type[msgspec.Struct] | None:
    return kind if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else None
