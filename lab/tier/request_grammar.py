"""The same request written in another way: its host in other cases or with a port, its target in absolute form."""

from __future__ import annotations

from random import Random

import attrs

from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.http_types import Head, Request

ABSOLUTE_FORM_PROBABILITY = 0.2
PORT = 8080
IGNORED_HOST = b"ignored.example"  # of the Host field beside a target in absolute form (RFC 9112, section 3.2.2)


def varied_request(request: Request) -> Request:
    """Return a request that means the same, drawn by its id and not from the run's generator."""
    random = Random(f"request grammar {request.head.text(REQUEST_ID)}")
    host = _varied_host(request.head.text(b"host"), random)
    if random.random() >= ABSOLUTE_FORM_PROBABILITY:
        return attrs.evolve(request, head=_with_host(request.head, host.encode()))
    scheme = random.choice(("http", "HTTP"))
    sent_host = random.choice((host.encode(), IGNORED_HOST))
    return attrs.evolve(request, target=f"{scheme}://{host}{request.target}", head=_with_host(request.head, sent_host))


def _varied_host(host: str, random: Random) -> str:
    return random.choice((host, host.upper(), host.title())) + random.choice(("", "", ":", f":{PORT}"))


def _with_host(head: Head, host: bytes) -> Head:
    return Head(tuple((name, host if name == b"host" else value) for name, value in head.fields))
