"""Request targets in absolute form, ``http://host/path?query`` (RFC 9112, section 3.2.2).

Every server must accept them, and takes the host from the target in place of the ``Host`` field. So they are converted
as they arrive: routes, endpoints and the operator API get the origin form, ``/path?query``, and a ``Host`` field.
"""

from __future__ import annotations

import re
from http import HTTPStatus

import attrs

from lynxscale.configuration.hosts import normalized_host
from lynxscale.runtime.exceptions import InvalidRequestError
from lynxscale.runtime.http_types import Head, Headers, Request

ABSOLUTE_FORM = re.compile(r"(?P<scheme>[a-z][a-z0-9+.-]*)://(?P<authority>[^/?#]*)(?P<rest>.*)", re.IGNORECASE)
SERVED_SCHEME = "http"  # https and others need a connection of another kind (RFC 9110, section 7.4)
HOST = b"host"
ORIGIN_FORM_START = "/"
SERVER_WIDE_TARGET = "*"


@attrs.frozen
class OriginTarget:
    """A target in origin form; ``host``: that of the absolute form that it was in, None for any other form."""

    target: str
    host: str | None


def in_origin_form(request: Request) -> Request:
    """Return a request whose target is in absolute form with one in origin form, any other request unchanged.

    Raises InvalidRequestError if the target is invalid.
    """
    origin = origin_target(request.method, request.target)
    if origin.host is None:
        return request
    return attrs.evolve(request, target=origin.target, head=_with_host(request.head, origin.host.encode()))


def origin_target(method: str, target: str) -> OriginTarget:
    """Return a target in absolute form in origin form, and any other target unchanged.

    Raises InvalidRequestError if the target is invalid.
    """
    absolute = None if target.startswith(ORIGIN_FORM_START) else ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        return OriginTarget(target, None)
    if absolute["scheme"].lower() != SERVED_SCHEME:
        raise InvalidRequestError(HTTPStatus.MISDIRECTED_REQUEST, "unsupported scheme")
    if not normalized_host(absolute["authority"]):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "invalid host in the target")
    return OriginTarget(_path_and_query(method, absolute["rest"]), absolute["authority"])


def _path_and_query(method: str, rest: str) -> str:
    """Return the target in origin form; ``rest``: what follows the authority in the absolute form."""
    if rest.startswith("#"):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST, "fragment in the target")
    if not rest and method == "OPTIONS":
        return SERVER_WIDE_TARGET  # RFC 9112, section 3.2.4
    return rest if rest.startswith(ORIGIN_FORM_START) else ORIGIN_FORM_START + rest


def _with_host(head: Head, host: bytes) -> Head:
    """Return a head whose ``Host`` field, put first if there was none, is ``host``."""
    fields: Headers = tuple((name, host if name == HOST else value) for name, value in head.fields)
    return Head(fields if head.get(HOST) is not None else ((HOST, host), *fields))
