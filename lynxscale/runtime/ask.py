"""One HTTP call from a command line; redirects are followed twice."""

from __future__ import annotations

import asyncio
from urllib.parse import urlsplit

from attrs import evolve

from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import ClientConnection, Failure, LoopDialer
from lynxscale.runtime.http_types import Head, Request, Response

TIMEOUT_S = 5.0
MOST_REDIRECTS = 2
REDIRECT = 307


class NoAnswer(Exception):
    """Nothing answers at the address in time."""


class _Waiter:
    """Implements Receiver."""

    def __init__(self, answered: asyncio.Future[Response]) -> None:
        self._answered = answered
        self._status = 0
        self._head = Head(())
        self._body = bytearray()

    def on_head(self, status: int, head: Head) -> None:
        """Part of Receiver."""
        self._status, self._head = status, head

    def on_data(self, data: bytes) -> None:
        """Part of Receiver."""
        self._body += data

    def on_end(self) -> None:
        """Part of Receiver."""
        self._answered.set_result(Response(self._status, self._head, bytes(self._body)))

    def on_failure(self, failure: Failure) -> None:
        """Part of Receiver."""
        if not self._answered.done():
            self._answered.set_exception(NoAnswer(failure.value))


async def _once(address: str, request: Request) -> Response:
    loop = asyncio.get_running_loop()
    answered: asyncio.Future[Response] = loop.create_future()
    connection = ClientConnection(address, LoopClock(loop), lambda idle: None)
    connection.send(request, _Waiter(answered))
    LoopDialer(loop, TIMEOUT_S)(address, connection)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await answered
    except TimeoutError:
        raise NoAnswer("no answer in time") from None
    finally:
        connection.close()


async def ask_async(address: str, request: Request) -> Response:
    """The answer to a request, redirects followed. Raises NoAnswer."""
    for _ in range(MOST_REDIRECTS + 1):
        response = await _once(address, request)
        if response.status != REDIRECT:
            return response
        location = urlsplit(response.head.text(b"location"))
        address = location.netloc
        request = evolve(request, target=location.path)
    return response


def ask(address: str, method: str, target: str, body: bytes = b"", fields: tuple = ()) -> Response:
    """The answer of ``host:port``. Raises NoAnswer."""
    head = Head(((b"host", address.encode()), *fields))
    return asyncio.run(ask_async(address, Request(method, target, head, body)))
