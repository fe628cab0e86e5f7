"""A client's HTTP request as a message: which headers it has, and what makes one invalid."""

from __future__ import annotations

import re

from lynxscale.relay.core import Relay
from lynxscale.relay.exceptions import InvalidMessageError
from lynxscale.relay.http_parser import FRAMING, Request
from lynxscale.relay.message import Envelope

MAX_NAME_CHARS = 200  # of an id or a key
DEADLINE_SLACK = 2.0  # a message's remaining time may be so many times its class's deadline
# Python's own float() takes nan, inf, signs and 1_0 besides.
NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,9})?")
# Headers that may occur once only in a request.
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

    Raises InvalidMessageError that names the header at fault, with status 400; 404 for a destination that no endpoint
    list has, 503 while no list has been received yet.
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
        _name(headers, "req-id"),
        cls,
        tenant,
        _name(headers, "idempotency-key", required=False),
        destination,
        int(seconds_left * 1e6),
        request.body,
    )


def _seconds_left(headers: dict[str, str], class_deadline_ms: float) -> float:
    text = headers.get("req-deadline", "")
    if not NUMBER.fullmatch(text):
        raise InvalidMessageError("req-deadline: want seconds")
    seconds = float(text)
    if seconds * 1000 > class_deadline_ms * DEADLINE_SLACK:
        raise InvalidMessageError("req-deadline: beyond what its class may have")
    return seconds


def _destination(headers: dict[str, str], relay: Relay) -> int:
    fields = headers.get("x-envelope", "").replace(";", ",").split(",")
    values = [value for name, _, value in (field.strip().partition("=") for field in fields) if name == "dest"]
    text = values[0] if len(values) == 1 else ""
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise InvalidMessageError("x-envelope: want dest=NUMBER")
    if not relay.group.has_destination(int(text)):
        # Until a source has sent its list the one of the last start may be outdated: the client retries then.
        raise InvalidMessageError("x-envelope: no such destination in the list", 404 if relay.group.has_list else 503)
    return int(text)


def _name(headers: dict[str, str], key: str, required: bool = True) -> str:
    text = headers.get(key, "")
    if (required and not text) or len(text) > MAX_NAME_CHARS or not (text.isascii() and text.isprintable()):
        raise InvalidMessageError(f"{key}: missing or not of use")
    return text
