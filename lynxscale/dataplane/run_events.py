"""The events of a turn on a resumable route: those of the runs that it resumes, and its own, which the primary gets.

The primary keeps them in memory, so that another relay can resume the turn if this one fails in the middle of it.
"""

from __future__ import annotations

from lynxscale.coordination.messages import StreamEvent, TurnAdmitted, TurnEvents
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane.server_sent_events import Event


class RunEvents:
    """The events of one run. ``earlier_output``: the data of those that the client has of earlier runs."""

    def __init__(self, calls: PrimaryCalls, run_id: str) -> None:
        self.earlier_output = b""
        self._calls = calls
        self._run_id = run_id
        self._count = 0
        self._admitted_by = ""  # the primary that knows this run, empty if it need not know its events
        self._connection_id = 0  # of the connection with that primary

    def admitted(self, reply: TurnAdmitted) -> None:
        """Take over the events of earlier runs; from now on, report to the primary that admitted the turn."""
        if isinstance(reply.earlier_events, tuple) and isinstance(reply.admitted_by, str):
            self._admitted_by = reply.admitted_by
            self._connection_id = self._calls.connection_id(reply.admitted_by)
            self._count = len(reply.earlier_events)
            self.earlier_output = b"".join(event.data + b"\n" for event in reply.earlier_events)

    def report(self, events: list[Event]) -> None:
        """Report events to the process that admitted the turn.

        Another one at its address lacks those before, and its program may not even know the message.
        """
        if not events or not self._connection_id:
            return
        if self._calls.connection_id(self._admitted_by) != self._connection_id:
            return
        sent = tuple(StreamEvent(event.id.decode("latin-1"), event.data) for event in events)
        self._calls.notify(self._admitted_by, TurnEvents(self._run_id, self._count + 1, sent))
        self._count += len(events)
