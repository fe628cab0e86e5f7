"""A client of the operator API and of the status pages: it sends each request on a new connection.

It follows redirects: a control member that is not the primary redirects to the primary's control address (307, RFC
9110, section 15.4.8). The command lines and the package ``lab`` use it.
"""

from __future__ import annotations

import asyncio
from urllib.parse import urlsplit, urlunsplit

from attrs import evolve

from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.exceptions import NoResponseError
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection, ResponseFailure
from lynxscale.runtime.http_types import Head, Headers, Request, Response

TIMEOUT_S = 5.0
"""For one request and its response, including the connection set-up."""
MAX_REDIRECTS = 2
TEMPORARY_REDIRECT = 307


class _ResponseCollector:
    """Implements ResponseReceiver: collects a response and sets it as the result of a future."""

    def __init__(self, address: str, collected: asyncio.Future[Response]) -> None:
        self._address = address
        self._collected = collected
        self._status = 0
        self._head = Head(())
        self._body = bytearray()

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver."""
        self._status, self._head = status, head

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        self._body += data

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        self._collected.set_result(Response(self._status, self._head, bytes(self._body)))

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        if not self._collected.done():
            self._collected.set_exception(NoResponseError(self._address, failure.value))


async def _exchange(address: str, request: Request) -> Response:
    """Return the response of one server without following redirects. Raises NoResponseError."""
    loop = asyncio.get_running_loop()
    collected: asyncio.Future[Response] = loop.create_future()
    connection = ClientConnection(address, LoopClock(loop), lambda idle: None)
    connection.send(request, _ResponseCollector(address, collected))
    AsyncioDialer(loop, TIMEOUT_S)(address, connection)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await collected
    except TimeoutError:
        raise NoResponseError(address, "no response in time") from None
    finally:
        connection.close()


async def send_request(address: str, request: Request) -> Response:
    """Return the response of ``address`` (``host:port``), following redirects. Raises NoResponseError."""
    for _ in range(MAX_REDIRECTS + 1):
        response = await _exchange(address, request)
        if response.status != TEMPORARY_REDIRECT:
            return response
        location = urlsplit(response.head.text(b"location"))
        address = location.netloc
        request = evolve(request, target=urlunsplit(("", "", location.path, location.query, "")))
    return response


def send_request_blocking(address: str, method: str, target: str, body: bytes = b"", fields: Headers = ()) -> Response:
    """Like ``send_request``, but blocking: it runs a new event loop. Raises NoResponseError."""
    head = Head(((b"host", address.encode()), *fields))
    return asyncio.run(send_request(address, Request(method, target, head, body)))
