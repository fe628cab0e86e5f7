"""A recorded process played again: the same events into a fresh decision module, each action compared. No I/O.

At level ``decisions`` a trace that begins at a process's start holds all that went into the module: seed, settings,
and each step with its time and events, to the last bit. The module has no clock and no state outside itself, so it
must do the same again.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

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
from lynxscale.scheduling.events import (
    HealthChecked,
    Lifecycle,
    Member,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.settings import Effect, MessageClass, Settings, Tenant
from lynxscale.trace import records as r
from lynxscale.trace.exceptions import TraceError
from lynxscale.trace.frames import Frame

LED_UP = 12  # steps shown before the first difference
MESSAGES_MOST = 200_000  # whose orders are compared; beyond them the oldest is let go


class NotReplayableError(TraceError):
    """The trace does not hold what a replay needs; the text says what is missing."""


def settings_from_json(text: str) -> Settings:
    """The settings as the recorder wrote them.

    Raises NotReplayableError.
    """
    try:
        table = orjson.loads(text)
        table["classes"] = [MessageClass(**row | {"effect": Effect(row["effect"])}) for row in table["classes"]]
        table["tenants"] = [Tenant(**row) for row in table["tenants"]]
        return Settings(**table)
    except (ValueError, KeyError, TypeError) as error:
        raise NotReplayableError(f"the settings cannot be read: {error}") from error


def event_from(number: int, values: list) -> Any:
    """An event of the module from its record; None where the record is none."""
    if number == r.IN_OUTCOME:
        msg, attempt, endpoint, result, spent, finished, wait, report = values[:8]
        return Outcome(msg.number, attempt, endpoint[0], Result(result), spent, finished, wait, report)
    if number == r.IN_MESSAGE:
        msg, expires, attempts, maybe = values[:4]
        inherited = len(values) > 4 and bool(values[4])  # not told by older ones
        return Message(
            msg.number,
            msg.dest,
            msg.cls[0],
            msg.tenant[0],
            expires,
            inherited=inherited,
            attempts=attempts,
            maybe_executed_at=maybe,
        )
    if number == r.IN_TIMER:
        return TimerDue(values[0])
    if number == r.IN_WITHDRAWN:
        return Withdrawn(values[0].number)
    if number == r.IN_PROBED:
        return HealthChecked(values[0][0], values[1], values[2], values[3])
    if number == r.IN_LIST:
        kind, version, rows = values[:3]
        return MembershipUpdate(
            MembershipKind(kind),
            version,
            [
                Member(row.endpoint[0], Lifecycle(row.lifecycle), row.dest, row.zone[0], row.kind[0], row.weight)
                for row in rows
            ],
        )
    return None


def action_from(number: int, values: list) -> Any:
    """An action of the module from its record; None where the record is none."""
    make: dict[int, Callable[[], Any]] = {
        r.OUT_ATTEMPT: lambda: Attempt(values[0].number, values[1][0], values[2], values[3]),
        r.OUT_CANCEL: lambda: Cancel(values[0].number, values[1]),
        r.OUT_REFUSE: lambda: Refuse(values[0].number, values[1]),
        r.OUT_FAIL: lambda: Fail(values[0].number),
        r.OUT_TIMER: lambda: SetTimer(values[0], values[1]),
        r.OUT_SUBSCRIBE: lambda: Subscribe(values[0]),
        r.OUT_FETCH: lambda: FetchList(),
        r.OUT_CLOSE_IDLE: lambda: CloseIdle(values[0][0]),
        r.OUT_PROBE: lambda: Probe(values[0][0]),
        r.OUT_NOTE: lambda: Note(values[0]),
    }
    return make[number]() if number in make else None


@dataclass(slots=True)
class Difference:
    """Where the module did something else: the step, what led to it, and both actions."""

    source: str
    step: int
    unix: int
    place: int
    recorded: Any
    replayed: Any
    led_up: list[str]


@dataclass(slots=True)
class Played:
    """One process, played again."""

    source: str
    policy: str
    steps: int = 0
    events: int = 0
    actions: int = 0
    messages: int = 0
    whole: bool = False  # its stop is in the trace
    anonymised: bool = False
    difference: Difference | None = None
    recorded: Counter = field(default_factory=Counter)  # actions by kind, of the trace and of the module
    replayed: Counter = field(default_factory=Counter)
    moved: Counter = field(default_factory=Counter)  # messages that another module ended otherwise or sent elsewhere

    def table(self) -> dict[str, Any]:
        """As a JSON object."""
        first = self.difference
        return {
            "source": self.source,
            "policy": self.policy,
            "steps": self.steps,
            "events": self.events,
            "actions": self.actions,
            "messages": self.messages,
            "whole": self.whole,
            "anonymised": self.anonymised,
            "recorded": dict(self.recorded),
            "replayed": dict(self.replayed),
            "moved": dict(self.moved),
            "difference": first
            and {
                "step": first.step,
                "unix": first.unix,
                "action": first.place,
                "recorded": repr(first.recorded),
                "replayed": repr(first.replayed),
                "led_up": first.led_up,
            },
        }


class _Process:
    def __init__(self, frame: Frame, values: list, make: Callable[[Settings, int], Any], strict: bool) -> None:
        if values[3] != "decisions":
            raise NotReplayableError(f"{frame.source}: it was recorded at level {values[3]}; a replay needs decisions")
        if not values[7]:
            raise NotReplayableError(f"{frame.source}: its settings are not in the trace")
        self.scheduler = make(settings_from_json(values[7]), int(values[6]))
        self.played = Played(frame.source, values[8])
        self.next = frame.seq
        self.strict = strict
        self.led_up: deque[str] = deque(maxlen=LED_UP)
        self.did: dict[int, list[str]] = {}  # by message: what the trace, then the module decided last

    def frame(self, frame: Frame) -> None:
        if frame.seq != self.next:
            raise NotReplayableError(f"{frame.source}: records {self.next} to {frame.seq - 1} are missing")
        self.next += len(frame.records)
        at, records = 0, frame.records
        while at < len(records):
            number, values = records[at]
            at += 1
            if number == r.STOP:
                self.played.whole = True
            elif number == r.DROPPED:
                raise NotReplayableError(f"{frame.source}: its recorder dropped {values[0]} records")
            elif number == r.STEP:
                count, most, failed = values[:3]
                events = [event_from(*records[at + k]) for k in range(count)]
                recorded = [action_from(*records[at + count + k]) for k in range(most)]
                at += count + most
                self._step(frame, events, recorded, failed)

    def _step(self, frame: Frame, events: list, recorded: list, failed: bool) -> None:
        played = self.played
        played.steps += 1
        played.events += len(events)
        played.actions += len(recorded)
        played.messages += sum(type(event) is Message for event in events)
        try:
            replayed, broke = list(self.scheduler.step(frame.time / 1000, events)), False
        except Exception:  # as the relay does: what it did before counts
            replayed, broke = list(self.scheduler.actions), True
        if self.strict:
            self.led_up.append(f"step {played.steps} at {frame.time / 1000:.3f} ms: {events} -> {recorded}")
            if played.difference is None:
                self._compare(frame, recorded, replayed, failed != broke)
            return
        for told, actions, place in ((played.recorded, recorded, 0), (played.replayed, replayed, 1)):
            for action in actions:
                told[type(action).__name__] += 1
                self._keep(action, place)

    def _compare(self, frame: Frame, recorded: list, replayed: list, fault: bool) -> None:
        if recorded == replayed and not fault:
            return
        for place in range(max(len(recorded), len(replayed), 1)):
            one = recorded[place] if place < len(recorded) else None
            other = replayed[place] if place < len(replayed) else None
            if type(one) is Note and type(other) is Note and not one.text:
                self.played.anonymised = True
                continue
            if one != other or fault:
                self.played.difference = Difference(
                    frame.source, self.played.steps, frame.unix, place, one, other, list(self.led_up)
                )
                return

    def _keep(self, action: Any, place: int) -> None:
        """What was decided of a message: where it went first, and whether it was given up."""
        kind = type(action)
        if kind not in (Attempt, Refuse, Fail):
            return
        did = self.did.setdefault(action.id, ["", ""])
        if kind is not Attempt:
            did[place] = "refused" if kind is Refuse else "failed"
        elif not did[place]:
            did[place] = f"sent to endpoint {action.endpoint}"
        if len(self.did) > MESSAGES_MOST:
            self._count(self.did.pop(next(iter(self.did))))

    def _count(self, did: list[str]) -> None:
        if did[0] == did[1]:
            self.played.moved["as recorded"] += 1
        else:
            one, other = (text.split(" to ")[0] or "held" for text in did)
            self.played.moved[f"{one}, now {other}" if one != other else "sent elsewhere first"] += 1

    def end(self) -> Played:
        for did in self.did.values():
            self._count(did)
        self.did.clear()
        return self.played


def replay(frames: Iterable[Frame], make: Callable[[Settings, int], Any], strict: bool = True) -> list[Played]:
    """Play every process in these frames, which must be whole from each one's start.

    ``make`` gives a module from settings and seed. ``strict`` compares action by action up to the first difference;
    otherwise it is another version, and what it decides is counted beside what was recorded. Both get the recorded
    outcomes, also of tries that the other version would not have made.

    Raises NotReplayableError.
    """
    processes: dict[str, _Process] = {}
    for frame in frames:
        process = processes.get(frame.source)
        if process is None:
            start = next((values for number, values in frame.records if number == r.START), None)
            if start is None or frame.seq != 0:
                raise NotReplayableError(f"{frame.source}: the trace does not begin at the process's start")
            process = processes[frame.source] = _Process(frame, start, make, strict)
        process.frame(frame)
    return [process.end() for process in processes.values()]
