"""The response of a request, assembled from its attempts: streamed to the client, or buffered until it is complete.

Only complete events are streamed, so that another attempt can continue after the last of them.
"""

from __future__ import annotations

from lynxscale.configuration.model import Route
from lynxscale.dataplane.responses import FIRST_REDIRECT, OK, forwarded_response, without_length
from lynxscale.dataplane.server_sent_events import EventScanner
from lynxscale.runtime.http_types import Head
from lynxscale.runtime.memory_budget import Reservation
from lynxscale.runtime.responder import Responder

NO_FIELDS = Head(())


class ResponseStream:
    """The response of the current attempt, and the events of all attempts so far.

    ``streams``: whether the current response is forwarded event by event; valid once its head was received.
    """

    __slots__ = (
        "_body",
        "_head",
        "_held",
        "_held_count",
        "_kept_bytes",
        "_memory",
        "_responder",
        "_route",
        "events",
        "status",
        "streams",
    )

    def __init__(self, responder: Responder, route: Route, memory: Reservation) -> None:
        self.status = 0
        self._memory = memory
        self._kept_bytes = 0
        self.streams = False
        self.events = EventScanner(keep_events=route.retained)
        self._responder = responder
        self._route = route
        self._head = NO_FIELDS
        self._body = bytearray()
        self._held_count = 0  # number of events up to the latest one that is held
        self._held = b""  # events that are sent with the next ones, or with the end

    @property
    def resume_after(self) -> bytes | None:
        """The id of the last event that was sent to the client, None if there was none."""
        return self.events.last_event_id if self.events.event_count else None

    def begin_attempt(self) -> None:
        """Discard the earlier attempt's head, body and partial event."""
        self.status = 0
        self.streams = False
        self._head, self._body = NO_FIELDS, bytearray()
        if not self._route.streaming:
            self._kept_bytes = 0
        self.events.discard_partial()

    def set_head(self, status: int, head: Head) -> None:
        """Store the status and header fields of the endpoint's response."""
        self.status = status
        self.streams = self._route.streaming and OK <= status < FIRST_REDIRECT
        self._head = head

    def receive(self, data: bytes) -> bytes:
        """Add a chunk of the endpoint's response; return the events that it completes, for ``Responder.data``."""
        if self.streams:
            return self.events.feed(data)
        self._body += data
        return b""

    def reserve(self, data: bytes) -> bool:
        """Count a chunk that is about to be received; return False if there is no memory for it.

        A stream that is not retained leaves with each of its events; the rest is kept until ``release``.
        """
        if self.streams and not self._route.retained:
            return self._memory.resize(self.events.partial_bytes + len(data))
        self._kept_bytes += len(data)
        return self._memory.resize(self._kept_bytes)

    def release(self) -> None:
        """Give the memory back, as the response is sent or given up."""
        self._memory.release()

    def start(self) -> None:
        """Send the endpoint's status and header fields to the client.

        The endpoint's ``Content-Length`` is dropped, so that the response is complete only once ``end`` was called: a
        retained turn is not durable before, and another endpoint may continue the stream with another length.
        """
        self._responder.start(self.status, without_length(self._head.end_to_end()))

    def send(self, events: bytes) -> None:
        """Send complete events to the client.

        A client that cannot tell an end from a lost connection gets the latest event of a retained turn only with
        ``end``, or with the next event.
        """
        if self._route.retained and not self._responder.end_is_explicit:
            events = self._hold_latest(events)
        if events:
            self._responder.data(events)

    def _hold_latest(self, events: bytes) -> bytes:
        """Hold the latest event, with the blank lines and comments behind it; return what was held before."""
        if self.events.event_count == self._held_count:
            self._held += events
            return b""
        self._held_count = self.events.event_count
        released, self._held = self._held, events
        return released

    def end(self) -> None:
        """Complete the response."""
        if self._held:
            self._responder.data(self._held)
        self._responder.end()

    def send_buffered(self) -> None:
        """Send the buffered response to the client."""
        self._responder.respond(forwarded_response(self.status, self._head, bytes(self._body)))
