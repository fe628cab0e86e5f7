"""The relay's core: events into the decision module, its actions out to ports.

It knows neither HTTP nor the loop: a protocol offers messages and is told what became of them, and the
ports carry out what the module wants. Times are whole microseconds on the loop's clock; only here are they
turned into the module's milliseconds and the journal's Unix time.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import structlog

from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines, Loop
from lynxscale.relay.fleet.tally import Tally
from lynxscale.relay.journal import Entry, Journal, JournalFull
from lynxscale.relay.slot_table import Slots
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
from lynxscale.scheduling.scheduler import Sender
from lynxscale.scheduling.settings import Effect, Settings

log = structlog.get_logger()

BUSY_RETRY_MS = 1000.0  # when to come again where the module was not asked: no room here
BACKSTOP = 100_000  # µs after a message's end by the module; that has ended it by then
AHEAD_MOST, AHEAD_OF_CLASS, AHEAD_OF_LEFT = 400_000, 0.05, 0.5  # µs, and shares: ended so long before its time
FIRST_READS = 250_000  # µs from listening on: what is read then may have waited for as long as the start took
START_MOST = 3_000_000  # µs that it is believed to have waited, at most
SPAN_SHARE = 0.95  # of the time for which a key is remembered: a repeat that is written later may arrive too late
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Verdict(Enum):
    """What became of an offer."""

    TAKEN = "taken"
    REJECTED = "rejected"  # by the decision module
    NO_ROOM = "no_room"  # as many held as may be
    DISK_FULL = "disk_full"


Answer = Callable[[Verdict, float], None]


@dataclass(slots=True)
class Envelope:
    """A message as a client hands it in, free of any protocol."""

    id: str
    cls: int
    tenant: int
    key: str
    dest: int
    time_left: int  # µs
    body: bytes


@dataclass(slots=True)
class Held:
    """A message that the relay has taken on, until nothing more is owed."""

    entry: Entry
    number: int = 0
    cls: int = 0
    tenant: int = 0
    answers: list[Answer] | None = None  # who waits for admission; None once it is over
    ended: bool = False  # the module has ended it, or it is delivered
    attempts: int = 0
    backstop: Deadline | None = None
    out: bool = False  # a try is under way
    taken: int = 0  # µs of the loop's clock


class TryPort(Protocol):
    def start(self, number: int, attempt: int, held: Held, endpoint: int, timeout: int, fresh: bool) -> None: ...
    def turned(self) -> None: ...
    def cancel(self, number: int, attempt: int) -> None: ...
    def close_idle(self, endpoint: int) -> None: ...
    def probe(self, endpoint: int) -> None: ...
    def connections(self) -> int: ...


class GroupPort(Protocol):
    told: bool

    def knows(self, cell: int) -> bool: ...
    def watch(self, active: bool) -> None: ...
    def fetch(self) -> None: ...


class NoticePort(Protocol):
    def owe(self, number: int, id: str, status: str, again_ms: int) -> None: ...


class BoardPort(Protocol):
    """What two processes of one relay tell each other; times are the loop's µs."""

    def tell(self, dest: int, until: int, now: int) -> None: ...
    def wait_until(self, dest: int) -> int: ...
    def holds(self, id: str) -> bool: ...


class TracePort(Protocol):
    """Hears what the relay sees and decides; it answers nothing. Times are the loop's µs."""

    decisions: bool  # it wants each step of the module

    def message(
        self, now: int, number: int, envelope: Envelope | Entry, cls: int, tenant: int, left: int, tries: int = 0
    ) -> None: ...
    def turned_away(self, now: int, envelope: Envelope, verdict: str, again_ms: float) -> None: ...
    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None: ...
    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None: ...
    def forgotten(self, now: int, number: int) -> None: ...
    def try_started(self, now: int, number: int, attempt: int, endpoint: int, timeout: int, fresh: bool) -> None: ...
    def try_ended(
        self,
        now: int,
        number: int,
        attempt: int,
        endpoint: int,
        result: int,
        spent: int,
        wait_ms: float,
        over: bool,
        report: tuple[float, ...],
    ) -> None: ...
    def probe_started(self, now: int, endpoint: int) -> None: ...
    def noticed(self, now: int, number: int, status: str, again_ms: int) -> None: ...
    def notice_heard(self, now: int, number: int) -> None: ...
    def events(self, now: int, events: list) -> None: ...
    def step(self, now: int, events: list, actions: list, failed: bool) -> None: ...
    def turn(self) -> None: ...


class Relay:
    """``unix`` gives the Unix time, in µs, that the journal's times are of."""

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
        self.sender = Sender(settings, seed)
        self.held: Slots = Slots()
        self.by_id: dict[str, int] = {}
        self.tries: TryPort
        self.group: GroupPort
        self.notices: NoticePort
        self.trace: TracePort | None = None
        self.board: BoardPort | None = None
        self._waits: dict[int, int] = {}  # told until when nothing may go to a destination or a route
        self.released: set[str] = set()  # ids that another process of this relay has from now on
        self.tally = Tally(loop.now())
        self.out = 0  # tries that are under way
        self.sending = True
        self._first_until = self._waited = 0  # what is read until then may have waited so long
        self._events: list = []
        self._offered: list[Held] = []
        self._classes = {grade.name: place for place, grade in enumerate(settings.classes)}
        self._tenants = {tenant.name: place for place, tenant in enumerate(settings.tenants)}
        self._most = settings.most_held
        self._unix_zero = unix() - loop.now()

    # Names ---------------------------------------------------------------------------------------

    def class_number(self, name: str) -> int | None:
        return self._classes.get(name)

    def tenant_number(self, name: str) -> int | None:
        """Its place in the settings; where these name no tenants, all are alike."""
        return self._tenants.get(name) if self._tenants else 0

    # Events --------------------------------------------------------------------------------------

    def put(self, event) -> None:
        """An event for the module, at the end of this turn."""
        self._events.append(event)
        self.loop.wake()

    def offer(self, envelope: Envelope, answer: Answer) -> None:
        """A new message; ``answer`` is called in this turn, before any try goes."""
        if (known := self.held.get(self.by_id.get(envelope.id, -1))) is not None:
            # A request sent again because its connection broke: it is held already, or is about to be.
            self.counters.add("taken", "again")
            if known.answers is None:
                answer(Verdict.TAKEN, 0.0)
            else:
                known.answers.append(answer)
            return
        if self.board is not None and (envelope.id in self.released or self.board.holds(envelope.id)):
            # The other process of this relay has it: a second one would be delivered twice.
            self.counters.add("taken", "again")
            answer(Verdict.TAKEN, 0.0)
            return
        self.tally.add(envelope.dest, "offered")
        if self._most is not None and len(self.held) >= self._most:
            self.counters.add("reject", "no_room")
            self.tally.add(envelope.dest, "no_room")
            if self.trace is not None:
                self.trace.turned_away(self.loop.now(), envelope, Verdict.NO_ROOM.value, BUSY_RETRY_MS)
            answer(Verdict.NO_ROOM, BUSY_RETRY_MS)
            return
        now = self.loop.now()
        entry = Entry(
            envelope.id,
            self.settings.classes[envelope.cls].name,
            self.settings.tenants[envelope.tenant].name if self.settings.tenants else "",
            envelope.key,
            envelope.dest,
            self._unix() + envelope.time_left,
            envelope.body,
        )
        held = Held(entry, cls=envelope.cls, tenant=envelope.tenant, answers=[answer], taken=now)
        held.number = self.held.add(held)
        self.by_id[entry.id] = held.number
        self._offered.append(held)
        if self.trace is not None:
            self.trace.message(now, held.number, envelope, envelope.cls, envelope.tenant, envelope.time_left)
        self.put(Message(held.number, envelope.dest, envelope.cls, envelope.tenant, self._last_call(held, now) / 1000))

    def held_back(self, key: int) -> float:
        """For how many ms more this relay, in any of its processes, was told to send nothing there."""
        until = self._waits.get(key, 0)
        if self.board is not None:
            until = max(until, self.board.wait_until(key))
        return max(0.0, (until - self.loop.now()) / 1000)

    def told_wait(self, key: int, wait_ms: float) -> None:
        """A partner told it to send nothing for so long; ``key``: its destination, or below 0 a single route."""
        now = self.loop.now()
        until = now + int(wait_ms * 1000)
        if until > self._waits.get(key, 0):
            self._waits[key] = until
            self.deadlines.at(until, self._wait_over, key, until)
        if self.board is not None:
            self.board.tell(key, until, now)

    def _wait_over(self, key: int, until: int) -> None:
        if self._waits.get(key) == until:
            del self._waits[key]

    def ran(self, number: int) -> None:
        """A try that had been given up turns out to have delivered its message."""
        held = self.held.get(number)
        if held is None or held.ended:
            return
        self.counters.add("ends", "delivered")
        held.ended = True
        if self.trace is not None:
            self.trace.ended(self.loop.now(), number, "delivered")
        self._forget(held)
        self.put(Withdrawn(number))

    def going(self, number: int) -> bool:
        """A try is about to be written: keep that first. Where that fails, it must not go."""
        if (held := self.held.get(number)) is None or not self.sending:
            # Guards against a connection that comes up as the process ends: there is no time left for its answer.
            return False
        if not self.repeatable(held):
            self.counters.add("tries", "too_late_to_repeat")
            return False
        try:
            self.journal.tried(number, self._unix())
        except JournalFull as error:
            log.warning("try_not_sent", id=held.entry.id, error=str(error))
            self.counters.add("tries", "not_recorded")
            return False
        return True

    def repeatable(self, held: Held) -> bool:
        """May it go, although a try before may have run?

        Guards against a repeat that was in its key's span when it was ordered and is not when its connection is up.
        """
        grade, maybe = self.settings.classes[held.cls], held.entry.maybe
        if not maybe or grade.effect == Effect.IDEMPOTENT:
            return True
        span = SPAN_SHARE * 1000 * (grade.memory_span_ms or 0.0) if grade.effect == Effect.KEYED else 0.0
        return self._unix() - min(maybe) < span

    def outcome(
        self,
        number: int,
        attempt: int,
        endpoint: int,
        result: Result,
        spent: int,
        recorded: bool,
        *,
        over: bool = False,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """How a try ended; ``recorded``: ``going`` was told of it; ``over``: nothing more is owed."""
        self.out -= 1
        self.counters.add("tries", result.name.lower())
        held = self.held.get(number)
        finished = held is None or held.ended
        if held is not None:
            held.out = False
            self._count(held.entry.dest, result, wait_ms, report)
        if self.trace is not None:
            self.trace.try_ended(self.loop.now(), number, attempt, endpoint, result, spent, wait_ms, over, report)
        if not finished and (result == Result.OK or over):
            status = "delivered" if result == Result.OK else "over"
            self.counters.add("ends", status)
            finished = held.ended = True
            if self.trace is not None:
                self.trace.ended(self.loop.now(), number, status)
            self._forget(held)
        elif not finished and result in NEVER_RAN:
            self._keep(self.journal.not_run, number, recorded)
        self.put(Outcome(number, attempt, endpoint, result, spent / 1000, finished, wait_ms, report))

    def _count(self, dest: int, result: Result, wait_ms: float, report: tuple[float, ...]) -> None:
        self.tally.add(dest, result.name.lower())
        if wait_ms:
            self.tally.add(dest, "told_waits")
        left, limit = self.settings.report_left, self.settings.report_limit
        if left is not None and limit is not None and len(report) > max(left, limit):
            self.tally.report(dest, report[left], report[limit])

    def traffic(self) -> list[tuple]:
        """What there was since the last call, as events and their fields for the log."""
        now = self.loop.now()
        oldest = min((held.taken for held in self.held.items() if not held.ended), default=now)
        load = {
            "held": len(self.held),
            "out": self.out,
            "peers": self.tries.connections(),
            "oldest_ms": (now - oldest) // 1000,
            "longest_turn_ms": self.loop.longest() // 1000,
        }
        return self.tally.lines(now, self.counters.table(), load)

    def notified(self, number: int) -> None:
        """The platform has the notice: nothing more is owed."""
        if (held := self.held.get(number)) is not None:
            if self.trace is not None:
                self.trace.notice_heard(self.loop.now(), number)
            self._forget(held)

    # A turn --------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Everything of this turn, in one step of the module."""
        if self._events:
            events, self._events = self._events, []
            offered, self._offered = self._offered, []
            self._one_step(self.loop.now(), events, offered)
            self.journal.turn()
        if self.trace is not None:
            self.trace.turn()

    def _one_step(self, now: int, events: list, offered: list[Held]) -> None:
        if self.trace is not None:
            self.trace.events(now, events)
        actions, failed = self._step(now / 1000, events)
        if self.trace is not None and self.trace.decisions:
            self.trace.step(now, events, actions, failed)
        if offered:
            self._admit(offered, actions, now)
        for action in actions:
            self._alone(self._act, action, now)
        self.tries.turned()

    def _alone(self, act: Callable, *args) -> None:
        """Guards against a fault in one thing of a turn that would take what stands behind it along."""
        try:
            act(*args)
        except Exception:
            log.exception("turn_failed", what=str(args[0]))
            self.counters.add("module", "turn_failed")

    def _step(self, now_ms: float, events: list) -> tuple[list, bool]:
        """The module's actions, and whether it failed.

        Guards against a fault in it: what it did before counts, and service goes on. A message that it lost
        track of that way is ended by its backstop.
        """
        try:
            return self.sender.step(now_ms, events), False
        except Exception:
            log.exception("module_failed")
            self.counters.add("module", "failed")
            return list(self.sender.actions), True

    def _admit(self, offered: list[Held], actions: list, now: int) -> None:
        """Answer each new message before anything else is done: rejected, or kept and taken."""
        ended = {action.id: action for action in actions if type(action) in (Refuse, Fail)}
        for held in offered:
            answers, held.answers = held.answers, None
            verdict, again = self._verdict(held, ended.get(held.number))
            self._trace_verdict(held, verdict, again, now)
            for answer in answers:
                self._alone(answer, verdict, again)

    def _verdict(self, held: Held, end: Refuse | Fail | None) -> tuple[Verdict, float]:
        if end is not None:
            self._drop(held, "module")
            return Verdict.REJECTED, getattr(end, "retry_after", 0.0)
        try:
            self.journal.take(held.number, held.entry)
        except JournalFull as error:
            log.warning("message_rejected", id=held.entry.id, error=str(error))
            self._drop(held, "disk_full")
            self.put(Withdrawn(held.number))
            return Verdict.DISK_FULL, BUSY_RETRY_MS
        self.counters.add("taken", held.entry.cls)
        self._backstop(held)
        return Verdict.TAKEN, 0.0

    def _trace_verdict(self, held: Held, verdict: Verdict, again_ms: float, now: int) -> None:
        if self.trace is not None:
            self.trace.admitted(now, held.number, verdict.value, again_ms)

    def _act(self, action, now: int) -> None:
        kind = type(action)
        if kind is Attempt:
            self._attempt(action)
        elif kind is SetTimer:
            # Rounded up: the module ignores what comes before its time.
            self.deadlines.at(int(action.at * 1000) + 1, self.put, TimerDue(action.timer_id))
        elif kind is Refuse:
            self._end(action.id, "deferred", int(action.retry_after))
        elif kind is Fail:
            self._end(action.id, "undeliverable", 0)
        elif kind is Cancel:
            self.tries.cancel(action.id, action.attempt)
        elif kind is CloseIdle:
            self.tries.close_idle(action.endpoint)
        elif kind is Subscribe:
            self.group.watch(action.active)
        elif kind is FetchList:
            self.group.fetch()
        elif kind is Probe:
            if self.trace is not None:
                self.trace.probe_started(now, action.endpoint)
            self.tries.probe(action.endpoint)
        elif kind is Note:
            log.info("module", text=action.text)

    def _attempt(self, action: Attempt) -> None:
        held = self.held.get(action.id)
        if held is None or held.ended:
            # Rejected in this very turn, as the journal is full: its first and only try gives back its slot.
            self.out += 1
            self.outcome(action.id, 0, action.endpoint, Result.MOOT, 0, False)
            return
        attempt, held.attempts = held.attempts, held.attempts + 1
        if not self.sending:
            return  # left in the journal for the next process
        self.out += 1
        held.out = True
        if self.trace is not None:
            self.trace.try_started(
                self.loop.now(), action.id, attempt, action.endpoint, int(action.timeout * 1000), action.fresh
            )
        try:
            self.tries.start(action.id, attempt, held, action.endpoint, int(action.timeout * 1000), action.fresh)
        except Exception:
            if not self.tries.knows(action.id, attempt):
                # Guards against a slot, and a message, that wait for an outcome that nothing is left to bring.
                self.outcome(action.id, attempt, action.endpoint, Result.CONNECT_FAILED, 0, False)
            raise

    def release(self) -> list[int]:
        """Let go of all messages with no try under way: another process has them; their numbers in the journal.

        Nothing is written: in the journal they stay open until the other one has them in its own.
        """
        numbers = []
        for held in [one for one in self.held.items() if not (one.out or one.ended or one.answers is not None)]:
            self.put(Withdrawn(held.number))
            self.deadlines.cancel(held.backstop)
            numbers.append(self.journal.release(held.number))
            self.held.remove(held.number)
            del self.by_id[held.entry.id]
            self.released.add(held.entry.id)
        return numbers

    # Ends ----------------------------------------------------------------------------------------

    def _end(self, number: int, status: str, again_ms: int) -> None:
        held = self.held.get(number)
        if held is None or held.ended:
            return
        held.ended = True
        self.deadlines.cancel(held.backstop)
        self.counters.add("ends", status)
        self.tally.add(held.entry.dest, status)
        self._keep(self.journal.final, number, status, again_ms)
        if self.trace is not None:
            now = self.loop.now()
            self.trace.ended(now, number, status, again_ms)
            self.trace.noticed(now, number, status, again_ms)
        self.notices.owe(number, held.entry.id, status, again_ms)

    def _backstop(self, held: Held) -> None:
        """Whatever happens, a message gets its end once its time is up."""
        held.backstop = self.deadlines.at(self._last_call(held, self.loop.now()) + BACKSTOP, self._overdue, held.number)

    def _last_call(self, held: Held, now: int) -> int:
        """When the message's end falls due, a little before its time is up, on the loop's clock.

        Guards against a message that was read late, whose time ends earlier than it tells. A process that starts
        with many others may be held up, by its own use of the core, for as long as its start took; its first requests
        wait meanwhile, some 0.35 s in the mean and 2 s at worst.
        """
        at = held.entry.expires - self._unix_zero
        if now < self._first_until:
            return at - max(self._waited, AHEAD_MOST)
        share = AHEAD_OF_CLASS * 1000 * self.settings.classes[held.cls].deadline_ms
        return at - int(max(0, min(AHEAD_MOST, share, AHEAD_OF_LEFT * (at - now))))

    def _overdue(self, number: int, looked: bool = False) -> None:
        held = self.held.get(number)
        if held is not None and held.out and not looked:
            # Guards against a loop that was held up: the outcome of its try is due by now, too, and goes first.
            held.backstop = self.deadlines.after(BACKSTOP, self._overdue, number, True)
        elif held is not None and not held.ended:
            self.counters.add("module", "overdue")
            log.error("message_overdue", id=held.entry.id)
            self._end(number, "undeliverable", 0)
            self.put(Withdrawn(number))

    def _drop(self, held: Held, reason: str) -> None:
        self.counters.add("reject", reason)
        self.tally.add(held.entry.dest, "rejected")
        held.ended = True
        self.held.remove(held.number)
        self.by_id.pop(held.entry.id, None)

    def _forget(self, held: Held) -> None:
        self.deadlines.cancel(held.backstop)
        self._keep(self.journal.end, held.number)
        if self.trace is not None:
            self.trace.forgotten(self.loop.now(), held.number)
        self.held.remove(held.number)
        self.by_id.pop(held.entry.id, None)

    def _keep(self, write: Callable, *args) -> None:
        try:
            write(*args)
        except JournalFull as error:
            # Nothing is lost in this process; the next rewrite of the file brings it in.
            log.warning("journal_not_written", error=str(error))
            self.counters.add("journal", "not_written")

    # Start ---------------------------------------------------------------------------------------

    def listens(self, begun: int) -> None:
        """Clients may come from now on; the process began to start at ``begun``, in µs of the loop's clock."""
        now = self.loop.now()
        self._first_until, self._waited = now + FIRST_READS, min(START_MOST, now - begun)

    def replay(self, entries: Iterable[Entry]) -> None:
        """Take over what an earlier process left open in this journal: each is still owed its end."""
        entries = list(entries)
        held = [self._hold(entry) for entry in entries]
        self.journal.begin({one.number: one.entry for one in held})
        self._resume(held)

    def adopt(self, entries: Iterable[Entry], kept: Callable[[], None]) -> int:
        """Take over what another process of this relay left open in a journal of its own; how many were not here yet.

        ``kept`` is called once this journal has them all, before anything is sent. Raises JournalFull where it has no
        room: then nothing is taken over, and what it has of them already counts as its own at the next start.
        """
        held = []
        try:
            for entry in entries:
                if entry.id not in self.by_id:
                    one = self._hold(entry)
                    held.append(one)
                    self.journal.adopt(one.number, entry)
            kept()
        except (JournalFull, OSError):
            for one in held:
                self._keep(self.journal.forgo, one.number)
                self.held.remove(one.number)
                del self.by_id[one.entry.id]
            raise
        self._resume(held)
        return len(held)

    def _hold(self, entry: Entry) -> Held:
        cls, tenant = self.class_number(entry.cls), self.tenant_number(entry.tenant)
        if cls is None and entry.final is None:
            entry.final = ("undeliverable", 0)  # its class has left the settings: nobody can judge it
        held = Held(entry, cls=cls or 0, tenant=tenant or 0, attempts=entry.tries, taken=self.loop.now())
        held.number = self.held.add(held)
        self.by_id[entry.id] = held.number
        return held

    def _resume(self, again: list[Held]) -> None:
        """Go on with messages of an earlier process, which this journal has."""
        now, unix = self.loop.now(), self._unix()
        notices = 0
        for held in again:
            entry = held.entry
            if self.trace is not None:
                self.trace.message(now, held.number, entry, held.cls, held.tenant, entry.expires - unix, entry.tries)
            if entry.final is not None:
                held.ended = True
                notices += 1
                self.notices.owe(held.number, entry.id, *entry.final)
                continue
            self._backstop(held)
            expires = self._last_call(held, now)
            maybe = (now + min(entry.maybe) - unix) / 1000 if entry.maybe else 0.0
            self.put(
                Message(
                    held.number,
                    entry.dest,
                    held.cls,
                    held.tenant,
                    expires / 1000,
                    inherited=True,
                    attempts=entry.tries,
                    maybe_executed_at=maybe,
                )
            )
        if again:
            self.counters.add("taken", "replayed", len(again))
            log.info("replayed", open=len(again), notices=notices)

    def _unix(self) -> int:
        """This turn's time as Unix time, for what outlasts the process."""
        return self._unix_zero + self.loop.now()
