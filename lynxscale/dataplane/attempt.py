"""One attempt to execute a request at one endpoint. Each attempt ends with exactly one outcome.

An answer belongs to an attempt if it arrives on the attempt's connection and names the request's id. The id is the same
for all attempts of a request, so each of them needs a connection that has not carried the request before.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.dataplane import headers
from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.dataplane.responses import FIRST_REDIRECT
from lynxscale.runtime.http_client import ClientConnection, ResponseFailure
from lynxscale.runtime.http_types import Head, Request

MISDIRECTED_REQUEST = 421  # RFC 9110, section 15.5.20
FIRST_SERVER_ERROR = 500


class AttemptOutcome(Enum):
    """How an attempt ended, and whether the endpoint can have executed the request."""

    COMPLETE = "complete"  # the endpoint sent a complete response
    NOT_EXECUTED = "not_executed"  # certain, so even a request that is not idempotent may be sent to another endpoint
    MAY_HAVE_EXECUTED = "may_have_executed"


class AttemptListener(Protocol):
    """Receives the events of an attempt; implemented by the request that it belongs to."""

    def on_response_head(self, attempt: Attempt, status: int, head: Head) -> None:
        """Called with the status and header fields of the endpoint's response."""

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Called for each chunk of the response body."""

    def on_restart_timeout(self, attempt: Attempt) -> None:
        """Called if the restart timeout expires before a response begins; the attempt continues unless cancelled."""

    def on_attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Called once, when the attempt has ended."""


class Attempt:
    """Sends a request over one connection, whose ResponseReceiver it implements, and reports to its listener.

    The listener is not called after ``on_attempt_ended`` or ``cancel``.
    """

    def __init__(
        self,
        endpoint: EndpointState,
        connection: ClientConnection,
        request: Request,
        listener: AttemptListener,
        clock: Clock,
        max_tokens: int,
    ) -> None:
        """Send the request over a connection to the endpoint that has not carried it before.

        ``max_tokens`` count against the endpoint's KV cache until the attempt ends.
        """
        self.endpoint = endpoint
        self._request_id = request.head.get(headers.REQUEST_ID)
        self._listener: AttemptListener | None = listener
        self._clock = clock
        self._sent_at = clock.now()
        self._allowed_ms = request.head.number(headers.DEADLINE_MS)
        self._rejected = False
        self._status = 0
        self._first_byte_latency_ms = 0.0
        self._max_tokens = max_tokens
        self._restart_timer: Timer | None = None
        endpoint.in_flight += 1
        endpoint.tokens_in_flight += max_tokens
        self._connection = connection
        connection.send(request, self)

    @property
    def elapsed_ms(self) -> float:
        """Milliseconds since the attempt was sent."""
        return (self._clock.now() - self._sent_at) * 1000.0

    @property
    def _endpoint_latency_ms(self) -> float | None:
        """The time to the response, None if it exceeds what the endpoint was given: this process was frozen then."""
        latency_ms = self._first_byte_latency_ms or self.elapsed_ms
        return latency_ms if self._allowed_ms is None or latency_ms <= self._allowed_ms else None

    def start_restart_timer(self, timeout_ms: float) -> None:
        """Call the listener's ``on_restart_timeout`` after ``timeout_ms``, unless a response begins earlier."""
        self._restart_timer = self._clock.call_later(timeout_ms / 1000.0, self._restart_timeout_expired)

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver. A response to another request ends the attempt, as the connection is out of step.

        A response without a request id may belong to an earlier request if the connection has carried one.
        """
        answered_id = head.get(headers.REQUEST_ID)
        if answered_id != self._request_id and (answered_id is not None or self._connection.used):
            self._reject_response()
            return
        load = headers.server_load(head)
        if load is not None:
            self.endpoint.on_load_report(load)
        if head.get(headers.NOT_EXECUTED) is not None or status == MISDIRECTED_REQUEST:
            self._rejected = True
            if status == MISDIRECTED_REQUEST:
                self.endpoint.mark_unavailable()
            return
        if status < FIRST_REDIRECT and head.get(headers.RESPONSE_SIGNATURE) is None:
            self._reject_response()
            return
        self._stop_restart_timer()
        self._status = status
        if self._listener is not None:
            self._listener.on_response_head(self, status, head)

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        if not self._first_byte_latency_ms:
            self._first_byte_latency_ms = self.elapsed_ms
        if not self._rejected and self._listener is not None:
            self._listener.on_response_data(self, data)

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        if self._rejected:
            self.endpoint.on_rejected()
            self._end(AttemptOutcome.NOT_EXECUTED)
            return
        self.endpoint.on_success(self._endpoint_latency_ms)
        if self._status >= FIRST_SERVER_ERROR:
            self.endpoint.on_error_response()
        self._end(AttemptOutcome.COMPLETE)

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        if self._rejected:
            self.endpoint.on_rejected()
            self._end(AttemptOutcome.NOT_EXECUTED)
            return
        self.endpoint.on_failure()
        not_sent = failure is ResponseFailure.NOT_CONNECTED
        self._end(AttemptOutcome.NOT_EXECUTED if not_sent else AttemptOutcome.MAY_HAVE_EXECUTED)

    def pause(self) -> None:
        """Receive no more of the response until ``resume``."""
        self._connection.pause_reading()

    def resume(self) -> None:
        """Receive the response again."""
        if self._listener is not None:
            self._connection.resume_reading()

    def cancel(self) -> None:
        """Abort the attempt by closing its connection, so that the endpoint stops too; no outcome is reported."""
        if self._listener is not None:
            self._listener = None
            self._release()
            self._connection.close()

    def _restart_timeout_expired(self) -> None:
        self._restart_timer = None
        if self._listener is not None:
            self._listener.on_restart_timeout(self)

    def _stop_restart_timer(self) -> None:
        if self._restart_timer is not None:
            self._restart_timer.cancel()
            self._restart_timer = None

    def _release(self) -> None:
        """Cancel the timer, and release the endpoint's slot and KV-cache tokens."""
        self._stop_restart_timer()
        self.endpoint.in_flight -= 1
        self.endpoint.tokens_in_flight -= self._max_tokens

    def _reject_response(self) -> None:
        """Reject a response to another request or one without a signature, and close the connection it came on."""
        self._connection.close()
        self.endpoint.on_failure()
        self._end(AttemptOutcome.MAY_HAVE_EXECUTED)

    def _end(self, outcome: AttemptOutcome) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            self._release()
            listener.on_attempt_ended(self, outcome)
