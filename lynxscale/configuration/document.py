"""Reads the JSON of a configuration, and converts it into its typed form.

JSON has one kind of number (RFC 8259, section 6): ``2.0`` is the number 2, also where a whole number is wanted.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.configuration.finding import Finding, Findings
from lynxscale.configuration.hosts import normalized_host
from lynxscale.configuration.model import Configuration
from lynxscale.configuration.whole_numbers import with_whole_numbers

Document = dict[str, Any]
"""A JSON object."""
CONTAINERS = frozenset((dict, list))


class RepeatedNameError(ValueError):
    """A name occurs twice in one JSON object."""


def read_document(body: bytes) -> Result[Document, Findings]:
    """Read a JSON object; names that occur twice are a finding, as readers differ in which value they take."""
    document = _read_json(body)
    if isinstance(document, Success) and body.count(b":") > _member_count(document.unwrap()):
        # Either a text contains a colon, or a name occurs twice: the decoded document has each name once.
        try:
            json.loads(body, object_pairs_hook=_require_distinct_names)
        except (RepeatedNameError, RecursionError) as error:
            return Failure((Finding("body", str(error)),))
    return document


def _member_count(document: Document) -> int:
    """Return the number of members of all objects in a document; in JSON a colon follows each name."""
    count = 0
    pending: list[Any] = [document]
    while pending:
        value = pending.pop()
        entries = value
        if isinstance(value, dict):
            count += len(value)
            entries = value.values()
        if not CONTAINERS.isdisjoint(map(type, entries)):  # rare, as most objects hold no others
            pending += [entry for entry in entries if type(entry) in CONTAINERS]
    return count


def read_configuration(body: bytes) -> Result[Configuration, Findings]:
    """Read a configuration as a relay does: by the types of its fields alone. There is one finding at most."""
    try:
        return Success(msgspec.json.decode(body, type=Configuration))
    except (msgspec.DecodeError, RecursionError):
        return _read_json(body).bind(_convert_with_whole_numbers)


def published_form(body: bytes) -> bytes:
    """Return a configuration's JSON as relays of all versions read it.

    It has no fractions where they want whole numbers, and hosts as they compare them; an invalid host stays as it is.
    It is returned unchanged if that is so already, or if it is no JSON object.
    """
    try:
        configuration = msgspec.json.decode(body, type=Configuration)
        if all(normalized_host(route.host) in (route.host, None) for route in configuration.routes):
            return body
    except (msgspec.DecodeError, RecursionError):
        pass  # it may have fractions
    document = _read_json(body).map(_published_document).value_or(None)
    return body if document is None else msgspec.json.encode(document)


def _published_document(document: Document) -> Document:
    published: Document = with_whole_numbers(document, Configuration)
    routes = published.get("routes")
    if isinstance(routes, list):
        published["routes"] = [_with_normalized_host(route) for route in routes]
    return published


def _with_normalized_host(route: Any) -> Any:
    host = route.get("host") if isinstance(route, dict) else None
    normalized = normalized_host(host) if isinstance(host, str) else None
    return route if normalized is None else route | {"host": normalized}


def comparable_form(document: Document) -> Document:
    """Return a document with whole numbers where they are wanted, for checks of the kinds of its fields."""
    try:
        msgspec.convert(document, Configuration)
    except msgspec.ValidationError:
        return with_whole_numbers(document, Configuration)
    return document


def _convert_with_whole_numbers(document: Document) -> Result[Configuration, Findings]:
    try:
        return Success(msgspec.convert(with_whole_numbers(document, Configuration), Configuration))
    except msgspec.ValidationError as error:
        return Failure((Finding("body", str(error)),))


def _read_json(body: bytes) -> Result[Document, Findings]:
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure((Finding("body", str(error)),))
    return Success(document) if isinstance(document, dict) else Failure((Finding("body", "want an object"),))


def _require_distinct_names(pairs: list[tuple[str, Any]]) -> None:
    names = [name for name, _ in pairs]
    if len(set(names)) < len(names):
        repeated = next(name for name in names if names.count(name) > 1)
        raise RepeatedNameError(f"{repeated!r} comes twice in one object")
