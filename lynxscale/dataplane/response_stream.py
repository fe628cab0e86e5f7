"""The one response of a request, put together from its attempts: streamed to the client, or buffered until complete.

Only complete events are streamed, so that another attempt can continue after the last one.
"""

from __future__ import annotations

from lynxscale.dataplane.responses import OK, forwarded_response
from lynxscale.dataplane.routing import Route
from lynxscale.dataplane.server_sent_events import EventScanner
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Head

NO_FIELDS = Head(())


class ResponseStream:
    """The endpoint's response of the current attempt, and the events of all attempts so far.

    ``streams``: does the current response go to the client event by event? Known once its head is there.
    """

    __slots__ = ("_body", "_head", "_responder", "_route", "events", "status", "streams")

    def __init__(self, responder: Responder, route: Route) -> None:
        self.status = 0
        self.streams = False
        self.events = EventScanner(keep_data=route.retained)
        self._responder = responder
        self._route = route
        self._head = NO_FIELDS
        self._body = bytearray()

    @property
    def resume_after(self) -> bytes | None:
        """The id of the last event that the client has, None where it has none."""
        return self.events.last_event_id if self.events.event_count else None

    def begin_attempt(self) -> None:
        """Discard the earlier attempt's head, body and partial event."""
        self.status = 0
        self.streams = False
        self._head, self._body = NO_FIELDS, bytearray()
        self.events.discard_partial()

    def set_head(self, status: int, head: Head) -> None:
        """The endpoint's response begins."""
        self.status = status
        self.streams = self._route.streaming and status == OK
        self._head = head

    def receive(self, data: bytes) -> bytes:
        """Take a chunk of the endpoint's response; returns the events that it completes, for ``Responder.data``."""
        if self.streams:
            return self.events.feed(data)
        self._body += data
        return b""

    def start(self) -> None:
        """Send the endpoint's status and fields to the client."""
        self._responder.start(self.status, self._head.end_to_end())

    def respond_at_once(self) -> None:
        """Send the buffered response to the client."""
        self._responder.respond(forwarded_response(self.status, self._head, bytes(self._body)))
