"""The relay's core: passes events to the scheduler and the scheduler's actions to ports.

The core is independent of HTTP and sockets. A protocol adapter submits messages and receives the admission result by
callback; the ports of ``lynxscale.relay.ports`` carry out the scheduler's actions. All events of one turn of the loop
go into one step of the scheduler. Times are whole µs on the loop's clock; this module converts them to the scheduler's
milliseconds and to the journal's Unix time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import structlog

from lynxscale.relay.backpressure import Backpressure
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.end_times import EndTimes
from lynxscale.relay.exceptions import JournalFullError
from lynxscale.relay.fleet.tally import Tally
from lynxscale.relay.journal import Entry, Journal
from lynxscale.relay.message import AdmissionCallback, Envelope, PendingMessage, Verdict
from lynxscale.relay.ports import BoardPort, GroupPort, NoticePort, PeersPort, TracePort
from lynxscale.relay.recovery import Recovery
from lynxscale.relay.slot_table import SlotTable
from lynxscale.scheduling.actions import (
    Attempt,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Note,
    Probe,
    Refuse,
    SetTimer,
    Subscribe,
)
from lynxscale.scheduling.events import Message, Outcome, Result, TimerDue, Withdrawn
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings import Effect, Settings

log = structlog.get_logger()

BUSY_RETRY_MS = 1000.0  # Retry-After of rejections that the relay itself makes for lack of capacity
# The backstop timer ends a message this long after its end time, by which the scheduler should have ended it.
BACKSTOP_DELAY_US = 100_000
# An attempt is repeated only within this fraction of the time for which peers remember an idempotency key: a later one
# could arrive after the peer has dropped the key, and would be executed again.
MAX_SPAN_FRACTION = 0.95
NOT_EXECUTED_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Relay:
    """Holds the pending messages of a relay, from admission to the final outcome.

    ``unix`` returns the Unix time in µs; the journal's times are based on it.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: Loop,
        deadlines: Deadlines,
        journal: Journal,
        counters: Counters,
        unix: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        self.settings, self.loop, self.deadlines = settings, loop, deadlines
        self.journal, self.counters = journal, counters
        self.scheduler = Scheduler(settings, seed)
        self.pending: SlotTable = SlotTable()
        self.by_id: dict[str, int] = {}
        self.peers: PeersPort
        self.group: GroupPort
        self.notices: NoticePort
        self.trace: TracePort | None = None
        self.board: BoardPort | None = None
        self.backpressure = Backpressure(deadlines)
        self.released: set[str] = set()  # ids of messages that another process of this relay has taken over
        self.tally = Tally(loop.now())
        self.in_flight = 0  # number of attempts in flight
        self.sending = True  # new attempts may start
        self._events: list = []
        self._submitted: list[PendingMessage] = []  # messages submitted in this turn
        self._classes = {one.name: index for index, one in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._max_pending = settings.most_held
        self._unix_offset = unix() - loop.now()
        self.end_times = EndTimes(settings, self._unix_offset)
        self.recovery = Recovery(self)
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            Attempt: self._start_attempt,
            SetTimer: self._set_timer,
            Refuse: self._defer,
            Fail: self._fail,
            Cancel: self._cancel,
            CloseIdle: self._close_idle,
            Subscribe: self._subscribe,
            FetchList: self._fetch_list,
            Probe: self._check_health,
            Note: self._log_note,
        }

    def attach_board(self, board: BoardPort) -> None:
        """Share Retry-After pauses and the ids of pending messages with another process of this relay."""
        self.board = self.backpressure.board = board

    def unix_now(self) -> int:
        """This turn's time as Unix time in µs, for records that outlive the process."""
        return self._unix_offset + self.loop.now()

    # Names ---------------------------------------------------------------------------------------

    def class_number(self, name: str) -> int | None:
        """The index of a class in the settings, None for an unknown name."""
        return self._classes.get(name)

    def tenant_number(self, name: str) -> int | None:
        """The index of a tenant in the settings, None for an unknown name; always 0 if the settings have no tenants."""
        return self._tenants.get(name) if self._tenants else 0

    # Admission -----------------------------------------------------------------------------------

    def submit(self, envelope: Envelope, callback: AdmissionCallback) -> None:
        """Submit a new message; ``callback`` is called in this turn, before any attempt starts."""
        if self._is_duplicate(envelope, callback):
            return
        self.tally.add(envelope.dest, "offered")
        if self._max_pending is not None and len(self.pending) >= self._max_pending:
            self._reject_at_capacity(envelope, callback)
            return
        now = self.loop.now()
        message = PendingMessage(
            self._entry_of(envelope),
            cls=envelope.cls,
            tenant=envelope.tenant,
            admission_callbacks=[callback],
            accepted_at=now,
        )
        self.register(message)
        self._submitted.append(message)
        if self.trace is not None:
            self.trace.message(now, message.number, envelope, envelope.cls, envelope.tenant, envelope.time_left)
        end_ms = self.end_times.end_time(message, now) / 1000
        self.put(Message(message.number, envelope.dest, envelope.cls, envelope.tenant, end_ms))

    def _is_duplicate(self, envelope: Envelope, callback: AdmissionCallback) -> bool:
        """Answer a request whose message is already pending or being admitted, as after a lost connection."""
        if (known := self.pending.get(self.by_id.get(envelope.id, -1))) is not None:
            self.counters.add("taken", "again")
            if known.admission_callbacks is None:
                callback(Verdict.ACCEPTED, 0.0)
            else:
                known.admission_callbacks.append(callback)
            return True
        if self.board is not None and (envelope.id in self.released or self.board.owns(envelope.id)):
            # The other process of this relay holds this message: accepting it here would deliver it twice.
            self.counters.add("taken", "again")
            callback(Verdict.ACCEPTED, 0.0)
            return True
        return False

    def _reject_at_capacity(self, envelope: Envelope, callback: AdmissionCallback) -> None:
        self.counters.add("reject", "no_room")
        self.tally.add(envelope.dest, "no_room")
        if self.trace is not None:
            self.trace.rejected(self.loop.now(), envelope, Verdict.AT_CAPACITY.value, BUSY_RETRY_MS)
        callback(Verdict.AT_CAPACITY, BUSY_RETRY_MS)

    def _entry_of(self, envelope: Envelope) -> Entry:
        return Entry(
            envelope.id,
            self.settings.classes[envelope.cls].name,
            self.settings.tenants[envelope.tenant].name if self.settings.tenants else "",
            envelope.key,
            envelope.dest,
            self.unix_now() + envelope.time_left,
            envelope.body,
        )

    def register(self, message: PendingMessage) -> None:
        """Add a message to the table of pending messages, which assigns its number."""
        message.number = self.pending.add(message)
        self.by_id[message.entry.id] = message.number

    def _admit(self, submitted: list[PendingMessage], actions: list, now: int) -> None:
        """Reject each new message, or write it to the journal and accept it, before other actions are carried out."""
        ended = {action.id: action for action in actions if type(action) in (Refuse, Fail)}
        for message in submitted:
            callbacks, message.admission_callbacks = message.admission_callbacks or (), None
            verdict, retry_after_ms = self._verdict(message, ended.get(message.number))
            if self.trace is not None:
                self.trace.admitted(now, message.number, verdict.value, retry_after_ms)
            for callback in callbacks:
                self._call_logging_errors(callback, verdict, retry_after_ms)

    def _verdict(self, message: PendingMessage, end: Refuse | Fail | None) -> tuple[Verdict, float]:
        if end is not None:
            self._discard(message, "module")
            return Verdict.REJECTED, getattr(end, "retry_after", 0.0)
        try:
            self.journal.accept(message.number, message.entry)
        except JournalFullError as error:
            log.warning("message_rejected", id=message.entry.id, error=str(error))
            self._discard(message, "disk_full")
            self.put(Withdrawn(message.number))
            return Verdict.DISK_FULL, BUSY_RETRY_MS
        self.counters.add("taken", message.entry.class_name)
        self.arm_backstop(message)
        return Verdict.ACCEPTED, 0.0

    def _discard(self, message: PendingMessage, reason: str) -> None:
        """Drop a message that is not accepted."""
        self.counters.add("reject", reason)
        self.tally.add(message.entry.dest, "rejected")
        message.ended = True
        self._unregister(message)

    # A turn of the loop --------------------------------------------------------------------------

    def put(self, event: object) -> None:
        """Queue an event for the scheduler's step at the end of this turn."""
        self._events.append(event)
        self.loop.schedule_end()

    def turn(self) -> None:
        """End a turn of the loop: pass all its events to the scheduler in one step."""
        if self._events:
            events, self._events = self._events, []
            submitted, self._submitted = self._submitted, []
            self._process(self.loop.now(), events, submitted)
            self.journal.maintain()
        if self.trace is not None:
            self.trace.turn_ended()

    def _process(self, now: int, events: list, submitted: list[PendingMessage]) -> None:
        if self.trace is not None:
            self.trace.events(now, events)
        actions, failed = self._step(now / 1000, events)
        if self.trace is not None and self.trace.decisions:
            self.trace.step(now, events, actions, failed)
        if submitted:
            self._admit(submitted, actions, now)
        for action in actions:
            self._call_logging_errors(self._perform, action, now)
        self.peers.flush()

    def _step(self, now_ms: float, events: list) -> tuple[list, bool]:
        """The scheduler's actions, and whether the step failed.

        If the scheduler raises, the actions that it decided on before are carried out and the relay goes on. The
        backstop timer ends any message that the scheduler lost track of.
        """
        try:
            return self.scheduler.step(now_ms, events), False
        except Exception:
            log.exception("module_failed")
            self.counters.add("module", "failed")
            return list(self.scheduler.actions), True

    def _call_logging_errors(self, call: Callable[..., None], *args: Any) -> None:
        """Call and log any exception, so that one failing action or response does not skip the rest of the turn."""
        try:
            call(*args)
        except Exception:
            log.exception("turn_failed", what=str(args[0]))
            self.counters.add("module", "turn_failed")

    def _perform(self, action: object, now: int) -> None:
        handler = self._handlers.get(type(action))
        if handler is not None:
            handler(action, now)

    # Actions of the scheduler --------------------------------------------------------------------

    def _start_attempt(self, action: Attempt, _now: int) -> None:
        message = self.pending.get(action.id)
        if message is None or message.ended:
            # Rejected in this turn because the journal is full: end the attempt, so that the scheduler frees its slot.
            self.in_flight += 1
            self.attempt_ended(action.id, 0, action.endpoint, Result.MOOT, 0, False)
            return
        index, message.attempts = message.attempts, message.attempts + 1
        if not self.sending:
            return  # the message stays in the journal for the next process
        self.in_flight += 1
        message.in_flight = True
        timeout = int(action.timeout * 1000)
        if self.trace is not None:
            self.trace.attempt_started(self.loop.now(), action.id, index, action.endpoint, timeout, action.fresh)
        try:
            self.peers.start(action.id, index, message, action.endpoint, timeout, action.fresh)
        except Exception:
            if not self.peers.is_in_flight(action.id, index):
                # Without this outcome the slot and the message would never be released.
                self.attempt_ended(action.id, index, action.endpoint, Result.CONNECT_FAILED, 0, False)
            raise

    def _set_timer(self, action: SetTimer, _now: int) -> None:
        # Rounded up, as the scheduler ignores a timer that fires early.
        self.deadlines.at(int(action.at * 1000) + 1, self.put, TimerDue(action.timer_id))

    def _defer(self, action: Refuse, _now: int) -> None:
        self._give_up(action.id, "deferred", int(action.retry_after))

    def _fail(self, action: Fail, _now: int) -> None:
        self._give_up(action.id, "undeliverable", 0)

    def _cancel(self, action: Cancel, _now: int) -> None:
        self.peers.cancel(action.id, action.attempt)

    def _close_idle(self, action: CloseIdle, _now: int) -> None:
        self.peers.close_idle(action.endpoint)

    def _subscribe(self, action: Subscribe, _now: int) -> None:
        self.group.watch(action.active)

    def _fetch_list(self, _action: FetchList, _now: int) -> None:
        self.group.fetch()

    def _check_health(self, action: Probe, now: int) -> None:
        if self.trace is not None:
            self.trace.health_check_started(now, action.endpoint)
        self.peers.check_health(action.endpoint)

    def _log_note(self, action: Note, _now: int) -> None:
        log.info("module", text=action.text)

    # Attempts ------------------------------------------------------------------------------------

    def record_attempt(self, number: int) -> bool:
        """Journal an attempt before it is written to a connection; False if it must not be sent."""
        if (message := self.pending.get(number)) is None or not self.sending:
            # A connection that is established while the process exits leaves no time for the response.
            return False
        if not self.may_repeat(message):
            self.counters.add("tries", "too_late_to_repeat")
            return False
        try:
            self.journal.record_attempt(number, self.unix_now())
        except JournalFullError as error:
            log.warning("attempt_not_sent", id=message.entry.id, error=str(error))
            self.counters.add("tries", "not_recorded")
            return False
        return True

    def may_repeat(self, message: PendingMessage) -> bool:
        """May another attempt be sent, given the earlier ones that may have been executed?

        Checked again when the attempt is written, because its key's span may have ended while the connection was being
        established.
        """
        cls, may_have_run = self.settings.classes[message.cls], message.entry.may_have_run
        if not may_have_run or cls.effect == Effect.IDEMPOTENT:
            return True
        span = MAX_SPAN_FRACTION * 1000 * (cls.memory_span_ms or 0.0) if cls.effect == Effect.KEYED else 0.0
        return self.unix_now() - min(may_have_run) < span

    def attempt_ended(
        self,
        number: int,
        index: int,
        endpoint: int,
        result: Result,
        elapsed: int,
        recorded: bool,
        *,
        final: bool = False,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Handle the outcome of an attempt.

        ``elapsed``: µs since the scheduler ordered the attempt. ``recorded``: the attempt is in the journal. ``final``:
        the peer needs no further attempt for the message. ``wait_ms``: the pause that the peer requested. ``report``:
        the peer's load report.
        """
        self.in_flight -= 1
        self.counters.add("tries", result.name.lower())
        message = self.pending.get(number)
        finished = message is None or message.ended
        if message is not None:
            message.in_flight = False
            self._count_outcome(message.entry.dest, result, wait_ms, report)
        if self.trace is not None:
            self.trace.attempt_ended(self.loop.now(), number, index, endpoint, result, elapsed, wait_ms, final, report)
        if not finished and (result == Result.OK or final):
            self._complete(message, "delivered" if result == Result.OK else "over")
            finished = True
        elif not finished and result in NOT_EXECUTED_RESULTS:
            self.write_journal(self.journal.record_not_executed, number, recorded)
        self.put(Outcome(number, index, endpoint, result, elapsed / 1000, finished, wait_ms, report))

    def _count_outcome(self, dest: int, result: Result, wait_ms: float, report: tuple[float, ...]) -> None:
        self.tally.add(dest, result.name.lower())
        if wait_ms:
            self.tally.add(dest, "told_waits")
        left, limit = self.settings.report_left, self.settings.report_limit
        if left is not None and limit is not None and len(report) > max(left, limit):
            self.tally.report(dest, report[left], report[limit])

    def delivered_late(self, number: int) -> None:
        """Handle a delivery by an attempt that had already timed out or been cancelled."""
        message = self.pending.get(number)
        if message is None or message.ended:
            return
        self._complete(message, "delivered")
        self.put(Withdrawn(number))

    # Final outcomes ------------------------------------------------------------------------------

    def _complete(self, message: PendingMessage, status: str) -> None:
        """End a message that was delivered, or that the peer declared final. No notice is sent."""
        self.counters.add("ends", status)
        message.ended = True
        if self.trace is not None:
            self.trace.ended(self.loop.now(), message.number, status)
        self._forget(message)

    def _give_up(self, number: int, status: str, again_ms: int) -> None:
        """End a message that was not delivered, and queue the notice of its outcome."""
        message = self.pending.get(number)
        if message is None or message.ended:
            return
        message.ended = True
        self.deadlines.cancel(message.backstop)
        self.counters.add("ends", status)
        self.tally.add(message.entry.dest, status)
        self.write_journal(self.journal.record_outcome, number, status, again_ms)
        if self.trace is not None:
            now = self.loop.now()
            self.trace.ended(now, number, status, again_ms)
            self.trace.notice_queued(now, number, status, again_ms)
        self.notices.enqueue(number, message.entry.id, status, again_ms)

    def notified(self, number: int) -> None:
        """Remove a message whose notice has been acknowledged."""
        if (message := self.pending.get(number)) is not None:
            if self.trace is not None:
                self.trace.notice_acknowledged(self.loop.now(), number)
            self._forget(message)

    def arm_backstop(self, message: PendingMessage) -> None:
        """Start the timer that ends a message after its end time if the scheduler does not."""
        end_time = self.end_times.end_time(message, self.loop.now())
        message.backstop = self.deadlines.at(end_time + BACKSTOP_DELAY_US, self._overdue, message.number)

    def _overdue(self, number: int, rechecked: bool = False) -> None:
        message = self.pending.get(number)
        if message is not None and message.in_flight and not rechecked:
            # If the loop was delayed, the outcome of the attempt may be waiting to be read: it takes precedence.
            message.backstop = self.deadlines.after(BACKSTOP_DELAY_US, self._overdue, number, True)
        elif message is not None and not message.ended:
            self.counters.add("module", "overdue")
            log.error("message_overdue", id=message.entry.id)
            self._give_up(number, "undeliverable", 0)
            self.put(Withdrawn(number))

    def _forget(self, message: PendingMessage) -> None:
        self.deadlines.cancel(message.backstop)
        self.write_journal(self.journal.complete, message.number)
        if self.trace is not None:
            self.trace.forgotten(self.loop.now(), message.number)
        self._unregister(message)

    def _unregister(self, message: PendingMessage) -> None:
        self.pending.remove(message.number)
        self.by_id.pop(message.entry.id, None)

    def write_journal(self, write: Callable[..., None], *args: Any) -> None:
        """Call a method of the journal; if the journal is full, log and count that instead of raising."""
        try:
            write(*args)
        except JournalFullError as error:
            # The state is still in this process's memory, and the journal's next rewrite of the message includes it.
            log.warning("journal_not_written", error=str(error))
            self.counters.add("journal", "not_written")

    # Statistics ----------------------------------------------------------------------------------

    def traffic(self) -> list[tuple]:
        """Traffic since the last call, as log events with their fields."""
        now = self.loop.now()
        oldest = min((message.accepted_at for message in self.pending.items() if not message.ended), default=now)
        load = {
            "held": len(self.pending),
            "out": self.in_flight,
            "peers": self.peers.connection_count(),
            "oldest_ms": (now - oldest) // 1000,
            "longest_turn_ms": self.loop.longest() // 1000,
        }
        return self.tally.lines(now, self.counters.table(), load)
