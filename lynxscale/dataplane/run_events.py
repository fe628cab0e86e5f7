"""The events of a turn on a resumable route: those of the runs that it resumes, and its own, which the primary gets.

The primary keeps them in memory, so that another relay can resume the turn if this one fails in the middle of it.
"""

from __future__ import annotations

from lynxscale.coordination.messages import StreamEvent, TurnAdmitted, TurnEvents
from lynxscale.coordination.primary_calls import KnownPrimary, PrimaryCalls
from lynxscale.dataplane.server_sent_events import Event


class RunEvents:
    """The events of one run. ``earlier_output``: the data of those that the client has of earlier runs."""

    def __init__(self, calls: PrimaryCalls, run_id: str) -> None:
        self.earlier_output = b""
        self._calls = calls
        self._run_id = run_id
        self._count = 0
        self._admitted_by: KnownPrimary | None = None  # the one that knows this run, if it has to know its events

    def admitted(self, reply: TurnAdmitted) -> None:
        """Take over the events of earlier runs; from now on, report to the primary that admitted the turn."""
        if isinstance(reply.earlier_events, tuple):
            self._admitted_by = self._calls.primary
            self._count = len(reply.earlier_events)
            self.earlier_output = b"".join(event.data + b"\n" for event in reply.earlier_events)

    def report(self, events: list[Event]) -> None:
        """Report events to the primary that admitted the turn.

        Another one would lack those before. So would one at the same address with another epoch, whose program may not
        even know the message.
        """
        if not events or self._admitted_by is None or self._calls.primary != self._admitted_by:
            return
        sent = tuple(StreamEvent(event.id.decode("latin-1"), event.data) for event in events)
        self._calls.notify(TurnEvents(self._run_id, self._count + 1, sent))
        self._count += len(events)
