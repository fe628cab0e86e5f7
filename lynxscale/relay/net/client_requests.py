"""Converts a client's HTTP request to a message and validates its headers."""

from __future__ import annotations

import re

from lynxscale.relay.core import Relay
from lynxscale.relay.exceptions import InvalidMessageError
from lynxscale.relay.http_parser import FRAMING, Request
from lynxscale.relay.message import Envelope

MAX_IDENTIFIER_CHARS = 200  # length of a message id or an idempotency key
MAX_DEADLINE_FACTOR = 2.0  # maximum remaining time of a message, as a multiple of its class's deadline
# float() would also accept nan, inf, signs and underscores.
NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,9})?")
# Headers that must not be repeated in a request.
SINGLE_HEADERS = FRAMING | {
    "host",
    "req-id",
    "req-kind",
    "req-owner",
    "req-deadline",
    "idempotency-key",
    "x-envelope",
}


def envelope_from(request: Request, relay: Relay) -> Envelope:
    """The message in a client's request.

    Raises InvalidMessageError, which names the invalid header, with status 400; with 404 for a destination that is in
    no endpoint list, or 503 for such a destination while no list has been received yet.
    """
    headers = request.headers
    cls = relay.class_number(headers.get("req-kind", ""))
    if cls is None:
        raise InvalidMessageError("req-kind: not a class of the settings")
    tenant = relay.tenant_number(headers.get("req-owner", ""))
    if tenant is None:
        raise InvalidMessageError("req-owner: not a tenant of the settings")
    seconds_left = _seconds_left(headers, relay.settings.classes[cls].deadline_ms)
    destination = _destination(headers, relay)
    return Envelope(
        _identifier(headers, "req-id"),
        cls,
        tenant,
        _identifier(headers, "idempotency-key", required=False),
        destination,
        int(seconds_left * 1e6),
        request.body,
    )


def _seconds_left(headers: dict[str, str], class_deadline_ms: float) -> float:
    text = headers.get("req-deadline", "")
    if not NUMBER.fullmatch(text):
        raise InvalidMessageError("req-deadline: want seconds")
    seconds = float(text)
    if seconds * 1000 > class_deadline_ms * MAX_DEADLINE_FACTOR:
        raise InvalidMessageError("req-deadline: beyond what its class may have")
    return seconds


def _destination(headers: dict[str, str], relay: Relay) -> int:
    fields = headers.get("x-envelope", "").replace(";", ",").split(",")
    values = [value for name, _, value in (field.strip().partition("=") for field in fields) if name == "dest"]
    text = values[0] if len(values) == 1 else ""
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise InvalidMessageError("x-envelope: want dest=NUMBER")
    if not relay.group.has_destination(int(text)):
        # Until a source has provided its list, the list of the last run may be outdated, so the client should retry.
        raise InvalidMessageError("x-envelope: no such destination in the list", 404 if relay.group.has_list else 503)
    return int(text)


def _identifier(headers: dict[str, str], key: str, required: bool = True) -> str:
    text = headers.get(key, "")
    if (required and not text) or len(text) > MAX_IDENTIFIER_CHARS or not (text.isascii() and text.isprintable()):
        raise InvalidMessageError(f"{key}: missing or not of use")
    return text
