"""How a handler of requests responds, and what it returns while it has not responded yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from lynxscale.runtime.http_types import Head, Headers, Request, Response

if TYPE_CHECKING:
    from lynxscale.runtime.http_server import ServerConnection

CLOSE = (b"connection", b"close")
SERVICE_UNAVAILABLE = 503
RETRY_AFTER_OVERLOAD: Headers = ((b"retry-after", b"1"),)
"""Seconds until a client that was refused for the want of descriptors or memory should come back."""


class Exchange(Protocol):
    """A request that its handler has not answered yet."""

    def on_client_disconnected(self) -> None:
        """Called if the client disconnects before the end of the response."""


Handler = Callable[[Request, "Responder"], Exchange | None]
"""``handler(request, responder)`` returns the pending exchange, or None if a disconnect needs no handling."""


def refuse_overload(request: Request, responder: Responder) -> None:
    """Refuse a request, as the process has too many connections; implements Handler."""
    responder.respond(Response(SERVICE_UNAVAILABLE, Head(RETRY_AFTER_OVERLOAD)), close=True)


class Responder:
    """Sends the response to one request. Calls after the client has disconnected do nothing."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection: ServerConnection | None = connection

    def detach(self) -> None:
        """Ignore all further calls, as the connection is closed."""
        self._connection = None

    def respond(self, response: Response, close: bool = False) -> None:
        """Send a complete response; ``close``: whether the connection ends with it."""
        connection = self._connection
        if connection is None:
            return
        fields = (*response.head.fields, (b"content-length", b"%d" % len(response.body)))
        if close:
            fields = (*fields, CLOSE)
        connection.send_head(response.status, fields)
        if response.body:
            connection.send_data(response.body)
        connection.finish()

    @property
    def end_is_explicit(self) -> bool:
        """Whether the client can tell the end of a response without a length from a lost connection.

        False for HTTP/1.0, which has no chunks: such a response ends with its connection.
        """
        return self._connection is None or self._connection.chunks_supported

    def start(self, status: int, fields: Headers) -> None:
        """Start a response whose body follows; without a ``Content-Length`` among the fields it is sent in chunks."""
        if self._connection is not None:
            self._connection.send_head(status, fields)

    def data(self, data: bytes) -> None:
        """Send a chunk of the body without buffering."""
        connection = self._connection
        if connection is not None:
            connection.send_data(data)
            connection.flush()

    @property
    def paused(self) -> bool:
        """Whether the client reads more slowly than the response is sent, so that no more of it should be sent now."""
        return self._connection is not None and self._connection.write_paused

    def when_writable(self, call: Callable[[], None]) -> None:
        """Call ``call()`` once, when the client has read what was sent; not if it disconnects before."""
        if self._connection is not None:
            self._connection.when_writable(call)

    def end(self) -> None:
        """Complete the response."""
        if self._connection is not None:
            self._connection.finish()

    def abort(self) -> None:
        """Close the connection without completing the response.

        Where the end of the connection would look like the end of the response, it is reset.
        """
        if self._connection is not None:
            if self.end_is_explicit:
                self._connection.close()
            else:
                self._connection.reset()
