"""An HTTP client for one address, with one connection and one call at a time; used for discovery and notices."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.exceptions import CallTimedOutError
from lynxscale.relay.http_parser import MAX_LIST_BYTES, Response
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import Address, OutboundConnection, dial


class SerialClient:
    """Sends calls to one address over a connection that is opened on demand."""

    def __init__(self, reactor: Any, deadlines: Deadlines, address: Address, kind: str) -> None:
        self._reactor, self._deadlines, self._address, self._kind = reactor, deadlines, address, kind
        self.host = f"{address[0]}:{address[1]}"
        self._connection: OutboundConnection | None = None
        self._response: Any = None  # the Deferred of the call in progress
        self._call_number = 0  # identifies the latest call, so that events of earlier ones are ignored
        self._deadline: Deadline | None = None

    def call(self, data: bytes, timeout: int) -> Deferred:
        """Send a request; the result fires with its Response within ``timeout`` µs, or fails.

        It fails with CallTimedOutError, CallFailedError or Twisted's connection errors. A call in progress is dropped,
        and its result never fires.
        """
        self.drop(CloseReason.CANCELLED)
        response = self._response = Deferred()
        number = self._call_number
        self._deadline = self._deadlines.after(timeout, self._timed_out, number)
        connection = self._connection
        if connection is not None and connection.up and not connection.stale():
            self._send(connection, data, number)
            return response
        if connection is not None:
            connection.drop(CloseReason.REMOTE_CLOSED)
        connecting = dial(self._reactor, self._deadlines, timeout, self._address, self._create)
        connecting.addCallbacks(self._connected, self._failed, callbackArgs=(data, number), errbackArgs=(number,))
        return response

    def drop(self, reason: str) -> None:
        """Drop the call in progress, if any."""
        self._call_number += 1
        self._response = None
        self._deadlines.cancel(self._deadline)
        if self._connection is not None and self._connection.busy:
            self._connection.ignore_response()
            self._connection.drop(reason)

    def close(self, reason: str) -> None:
        """Drop the call in progress and close the connection."""
        self.drop(reason)
        self.close_idle(reason)

    def close_idle(self, reason: str) -> None:
        """Close the connection, unless a call is in progress."""
        if self._connection is not None and not self._connection.busy:
            self._connection.drop(reason)

    def _create(self) -> OutboundConnection:
        return OutboundConnection(self._kind, self._deadlines, max_body=MAX_LIST_BYTES, stall_between_reads=True)

    def _connected(self, connection: OutboundConnection, data: bytes, number: int) -> None:
        if number != self._call_number:
            connection.drop(CloseReason.CANCELLED)
            return
        self._connection = connection
        self._send(connection, data, number)

    def _send(self, connection: OutboundConnection, data: bytes, number: int) -> None:
        response = connection.call(data)
        response.addCallbacks(self._answered, self._failed, callbackArgs=(number,), errbackArgs=(number,))

    def _answered(self, result: Response, number: int) -> None:
        if number == self._call_number:
            response, self._response = self._response, None
            self._deadlines.cancel(self._deadline)
            response.callback(result)

    def _failed(self, failure: Failure, number: int) -> None:
        if number == self._call_number:
            response = self._response
            self.drop(CloseReason.RESET)
            response.errback(failure)

    def _timed_out(self, number: int) -> None:
        if number == self._call_number:
            response = self._response
            self.drop(CloseReason.TIMED_OUT)
            response.errback(CallTimedOutError(False))
