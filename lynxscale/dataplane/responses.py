"""Responses to clients: those that the relay generates itself, and forwarded responses of endpoints."""

from __future__ import annotations

from lynxscale.dataplane.headers import CONTENT_LENGTH, RETRY_AFTER
from lynxscale.runtime.http_types import Head, Headers, Response

OK, BAD_REQUEST, NOT_FOUND = 200, 400, 404
FIRST_REDIRECT = 300  # a lower status is that of a success
BAD_GATEWAY = 502  # the request may have been executed
SERVICE_UNAVAILABLE = 503  # the request was not executed and may be sent again
GATEWAY_TIMEOUT = 504  # the deadline has expired; the request may have been executed


def relay_response(status: int, retry_after_s: float | None = None) -> Response:
    """Return a response of the relay itself, without a body; ``retry_after_s`` is sent as ``Retry-After``."""
    fields = () if retry_after_s is None else ((RETRY_AFTER, b"%.3f" % retry_after_s),)
    return Response(status, Head(fields))


def forwarded_response(status: int, head: Head, body: bytes) -> Response:
    """Return an endpoint's complete response as it is sent to the client, with a recomputed ``Content-Length``."""
    return Response(status, Head(without_length(head.end_to_end())), body)


def without_length(fields: Headers) -> Headers:
    """Return the fields without ``Content-Length``."""
    return tuple(field for field in fields if field[0] != CONTENT_LENGTH)
