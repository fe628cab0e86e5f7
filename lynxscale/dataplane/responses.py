"""Responses to clients: those of the relay itself, and the fields of an endpoint's response that are forwarded."""

from __future__ import annotations

from lynxscale.dataplane.headers import CONTENT_LENGTH, RETRY_AFTER
from lynxscale.runtime.http_types import Head, Headers, Response

OK, NOT_FOUND = 200, 404
BAD_GATEWAY = 502  # the request may have been executed
SERVICE_UNAVAILABLE = 503  # the request was not executed and may be sent again
GATEWAY_TIMEOUT = 504  # the request may have been executed, and its time is over


def relay_response(status: int, retry_after_s: float | None = None) -> Response:
    """A response of the relay itself, without a body; ``retry_after_s`` invites the client to send it again."""
    fields = () if retry_after_s is None else ((RETRY_AFTER, b"%.3f" % retry_after_s),)
    return Response(status, Head(fields))


def forwarded_response(status: int, head: Head, body: bytes) -> Response:
    """An endpoint's complete response as the client gets it; its length is computed anew."""
    return Response(status, Head(without_length(head.end_to_end())), body)


def without_length(fields: Headers) -> Headers:
    """The fields but ``Content-Length``."""
    return tuple(field for field in fields if field[0] != CONTENT_LENGTH)
