"""Runs of retained turns, kept in the primary's memory: which run of a request is the latest, and its events so far.

A client that has lost its connection in the middle of a resumable stream sends the turn again, with the id of the last
event that it has. The turn is then stored as the earlier run's events up to that one, followed by the new run's. Relays
report the events to the primary before they send them to their clients, so that another relay can continue.

Nothing here is durable. A primary that lacks the events rejects the resumption, and the client runs the turn from its
start. Events are kept after the end of their run too, as the client may not have got that end.
"""

from __future__ import annotations

from collections import Counter

from attrs import Factory, define, field, frozen

from lynxscale.controlplane.exceptions import EventsUnknownError
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, StreamEvent, TurnEvents
from lynxscale.coordination.ports import Clock

RESUMPTION_WINDOW_S = 30.0  # after the last event; clients give up a stream earlier
MAX_EVENT_BYTES = 16 * 1024 * 1024  # of all runs together
EVENT_OVERHEAD_BYTES = 100  # the size of an event without data in memory


@frozen
class TurnPlace:
    """Where a turn stands: its program, its line of turns, and the turn that it continues."""

    program: str
    session: str
    previous: str


@define(eq=False)
class Run:
    """One run of a turn. ``events``: those of the runs that it resumes, then its own.

    ``earlier_events``: those of the runs that it resumes, None if its stream cannot be resumed.
    """

    run_id: str
    request: str
    previous: str
    place: TurnPlace | None  # None if its stream cannot be resumed
    expires_at: float
    events: list[StreamEvent] = Factory(list)
    earlier_events: tuple[StreamEvent, ...] | None = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.earlier_events = None if self.place is None else tuple(self.events)

    @property
    def event_bytes(self) -> int:
        """The approximate size of its events."""
        return sum(map(event_size, self.events))


class RunningTurns:
    """The runs that this primary admitted lately."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[str, Run] = {}  # by run id, in the order of admission
        self._places: dict[TurnPlace, list[Run]] = {}
        self._latest: dict[str, Run] = {}  # by request id
        self._continuations: Counter[str] = Counter()  # number of runs by the turn that they continue
        self._event_bytes = 0

    def begin(self, request: AdmitTurn) -> tuple[StreamEvent, ...] | None:
        """Register a run and return the events that it resumes after; None if its stream cannot be resumed.

        A repeated request has no further effect. Raises EventsUnknownError.
        """
        if not isinstance(request.run_id, str):
            return None
        run = self._runs.get(request.run_id) or self._register(request, request.run_id)
        return run.earlier_events

    def _register(self, request: AdmitTurn, run_id: str) -> Run:
        place = None
        if isinstance(request.session, str):
            place = TurnPlace(request.program, request.session, request.previous)
        events = self._events_up_to(place, request.resume_after) if isinstance(request.resume_after, str) else []
        duration_s = request.duration_s if isinstance(request.duration_s, float) else 0.0
        expires_at = self._clock.now() + duration_s + RESUMPTION_WINDOW_S
        run = Run(run_id, request.request, request.previous, place, expires_at, events)
        self._runs[run_id] = run
        self._continuations[run.previous] += 1
        self._latest[request.request] = run
        if place is not None:
            self._places.setdefault(place, []).append(run)
            self._add_bytes(run.event_bytes)
        return run

    def _events_up_to(self, place: TurnPlace | None, last_id: str) -> list[StreamEvent]:
        """Return the events up to the one that the client has.

        The last run must contain it, as the client may have it from that one though reports were lost; and all runs
        that contain it must agree in them. Raises EventsUnknownError.
        """
        runs = self._places.get(place, []) if place is not None else []
        found = [events_up_to(run.events, last_id) for run in runs]
        if not found or not found[-1] or any(events and events != found[-1] for events in found):
            raise EventsUnknownError(last_id)
        return found[-1]

    def add(self, message: TurnEvents) -> None:
        """Add reported events to their run. If earlier ones were lost, they are ignored."""
        run = self._runs.get(message.run_id)
        if run is None or run.place is None or message.first != len(run.events) + 1:
            return
        run.events += message.events
        run.expires_at = max(run.expires_at, self._clock.now() + RESUMPTION_WINDOW_S)
        self._add_bytes(sum(map(event_size, message.events)))

    def on_closed(self, request: FinishTurn) -> None:
        """Note that a run has failed. If its client got no event of it, it is not the one that is resumed."""
        run = self._runs.get(request.run_id) if isinstance(request.run_id, str) else None
        if run is not None and not request.tokens:
            self._leave_place(run)

    def latest_run(self, request: str) -> str | None:
        """Return the id of the run of a request that was admitted last, None if that is not known."""
        run = self._latest.get(request)
        return run.run_id if run else None

    def is_continued(self, turn: str) -> bool:
        """Whether a run that was admitted lately continues a turn."""
        return self._continuations[turn] > 0

    def remove_expired(self) -> None:
        """Forget the runs whose events nobody has asked for in time."""
        now = self._clock.now()
        for run in [run for run in self._runs.values() if run.expires_at < now]:
            self._remove(run)

    def _add_bytes(self, size: int) -> None:
        self._event_bytes += size
        while self._event_bytes > MAX_EVENT_BYTES:
            oldest = next(run for run in self._runs.values() if run.events)
            # All runs of a place go together: which of them the client has may not be guessed from the others.
            for run in list(self._places[oldest.place] if oldest.place else (oldest,)):
                self._remove(run)

    def _remove(self, run: Run) -> None:
        del self._runs[run.run_id]
        self._continuations[run.previous] -= 1
        if not self._continuations[run.previous]:
            del self._continuations[run.previous]
        if self._latest.get(run.request) is run:
            del self._latest[run.request]
        self._leave_place(run)

    def _leave_place(self, run: Run) -> None:
        """Forget the events of a run."""
        if run.place is None:
            return
        self._places[run.place].remove(run)
        if not self._places[run.place]:
            del self._places[run.place]
        self._event_bytes -= run.event_bytes
        run.place, run.events = None, []


def event_size(event: StreamEvent) -> int:
    """Return the approximate size of an event in memory, in bytes."""
    return len(event.data) + EVENT_OVERHEAD_BYTES


def events_up_to(events: list[StreamEvent], last_id: str) -> list[StreamEvent]:
    """Return the events up to the one with an id; none if it is missing, or if it is unclear which one it is."""
    positions = [position for position, event in enumerate(events) if event.id == last_id]
    if not last_id or len(positions) != 1:
        return []
    end = positions[0] + 1
    # An event without an id of its own leaves the client with the id of the one before.
    return [] if end < len(events) and not events[end].id else events[:end]
