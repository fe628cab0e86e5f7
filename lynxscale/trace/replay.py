"""Replays a recorded process: steps a new scheduler with the recorded events and compares its actions. No I/O.

A trace of level ``decisions`` that begins at the start of a process holds every input of the scheduler without loss:
seed, settings, and each step with its time and events. The scheduler has no clock and no external state, so a replay
must give the same actions.
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

MAX_LED_UP_STEPS = 12  # shown before the first difference
MAX_COMPARED_MESSAGES = 200_000  # tracked at once; beyond that the oldest is counted as it is


class NotReplayableError(TraceError):
    """The trace lacks something that a replay needs; the message says what."""


def settings_from_json(text: str) -> Settings:
    """Parse the settings that the recorder wrote.

    Raises NotReplayableError if they are invalid.
    """
    try:
        table = orjson.loads(text)
        table["classes"] = [MessageClass(**row | {"effect": Effect(row["effect"])}) for row in table["classes"]]
        table["tenants"] = [Tenant(**row) for row in table["tenants"]]
        return Settings(**table)
    except (ValueError, KeyError, TypeError) as error:
        raise NotReplayableError(f"the settings cannot be read: {error}") from error


def event_from(number: int, values: list) -> Any:
    """Build a scheduler event from its record; None if the record is not an event."""
    if number == r.IN_OUTCOME:
        msg, attempt, endpoint, result, spent, finished, wait, report = values[:8]
        return Outcome(msg.number, attempt, endpoint[0], Result(result), spent, finished, wait, report)
    if number == r.IN_MESSAGE:
        msg, expires, attempts, maybe = values[:4]
        inherited = len(values) > 4 and bool(values[4])  # absent in traces of earlier versions
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
    """Build a scheduler action from its record; None if the record is not an action."""
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
    """The first difference: its step, the steps before it, and the recorded and the replayed action."""

    source: str
    step: int
    unix: int
    place: int
    recorded: Any
    replayed: Any
    led_up: list[str]


@dataclass(slots=True)
class ReplayResult:
    """The result of the replay of one process."""

    source: str
    policy: str
    steps: int = 0
    events: int = 0
    actions: int = 0
    messages: int = 0
    whole: bool = False  # whether the trace holds the stop of the process
    anonymised: bool = False
    difference: Difference | None = None
    recorded: Counter = field(default_factory=Counter)  # actions by kind, in the trace and in the replay
    replayed: Counter = field(default_factory=Counter)
    moved: Counter = field(default_factory=Counter)  # messages by how another version of the scheduler decided on them

    def table(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
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
    def __init__(
        self, frame: Frame, values: list, make_scheduler: Callable[[Settings, int], Any], strict: bool
    ) -> None:
        if values[3] != "decisions":
            raise NotReplayableError(f"{frame.source}: it was recorded at level {values[3]}; a replay needs decisions")
        if not values[7]:
            raise NotReplayableError(f"{frame.source}: its settings are not in the trace")
        self.scheduler = make_scheduler(settings_from_json(values[7]), int(values[6]))
        self.result = ReplayResult(frame.source, values[8])
        self.next = frame.seq
        self.strict = strict
        self.led_up: deque[str] = deque(maxlen=MAX_LED_UP_STEPS)
        self.choices: dict[int, list[str]] = {}  # by message: the decisions in the trace and in the replay

    def frame(self, frame: Frame) -> None:
        if frame.seq != self.next:
            raise NotReplayableError(f"{frame.source}: records {self.next} to {frame.seq - 1} are missing")
        self.next += len(frame.records)
        at, records = 0, frame.records
        while at < len(records):
            number, values = records[at]
            at += 1
            if number == r.STOP:
                self.result.whole = True
            elif number == r.DROPPED:
                raise NotReplayableError(f"{frame.source}: its recorder dropped {values[0]} records")
            elif number == r.STEP:
                event_count, action_count, failed = values[:3]
                events = [event_from(*records[at + k]) for k in range(event_count)]
                recorded = [action_from(*records[at + event_count + k]) for k in range(action_count)]
                at += event_count + action_count
                self._step(frame, events, recorded, failed)

    def _step(self, frame: Frame, events: list, recorded: list, failed: bool) -> None:
        result = self.result
        result.steps += 1
        result.events += len(events)
        result.actions += len(recorded)
        result.messages += sum(type(event) is Message for event in events)
        try:
            replayed, raised = list(self.scheduler.step(frame.time / 1000, events)), False
        except Exception:  # as in the relay, the actions before the exception count
            replayed, raised = list(self.scheduler.actions), True
        if self.strict:
            self.led_up.append(f"step {result.steps} at {frame.time / 1000:.3f} ms: {events} -> {recorded}")
            if result.difference is None:
                self._compare(frame, recorded, replayed, failed != raised)
            return
        for counter, actions, side in ((result.recorded, recorded, 0), (result.replayed, replayed, 1)):
            for action in actions:
                counter[type(action).__name__] += 1
                self._note_decision(action, side)

    def _compare(self, frame: Frame, recorded: list, replayed: list, raised_differs: bool) -> None:
        if recorded == replayed and not raised_differs:
            return
        for index in range(max(len(recorded), len(replayed), 1)):
            expected = recorded[index] if index < len(recorded) else None
            actual = replayed[index] if index < len(replayed) else None
            if type(expected) is Note and type(actual) is Note and not expected.text:
                self.result.anonymised = True
                continue
            if expected != actual or raised_differs:
                self.result.difference = Difference(
                    frame.source, self.result.steps, frame.unix, index, expected, actual, list(self.led_up)
                )
                return

    def _note_decision(self, action: Any, side: int) -> None:
        """Note what was decided on a message: its first endpoint, or that it was refused or failed."""
        kind = type(action)
        if kind not in (Attempt, Refuse, Fail):
            return
        choice = self.choices.setdefault(action.id, ["", ""])
        if kind is not Attempt:
            choice[side] = "refused" if kind is Refuse else "failed"
        elif not choice[side]:
            choice[side] = f"sent to endpoint {action.endpoint}"
        if len(self.choices) > MAX_COMPARED_MESSAGES:
            self._count_change(self.choices.pop(next(iter(self.choices))))

    def _count_change(self, choice: list[str]) -> None:
        if choice[0] == choice[1]:
            self.result.moved["as recorded"] += 1
        else:
            expected, actual = (text.split(" to ")[0] or "held" for text in choice)
            self.result.moved[f"{expected}, now {actual}" if expected != actual else "sent elsewhere first"] += 1

    def end(self) -> ReplayResult:
        for choice in self.choices.values():
            self._count_change(choice)
        self.choices.clear()
        return self.result


def replay(
    frames: Iterable[Frame], make_scheduler: Callable[[Settings, int], Any], strict: bool = True
) -> list[ReplayResult]:
    """Replay every process in these frames, which must be complete from the start of each process.

    ``make_scheduler`` creates a scheduler from settings and a seed. With ``strict``, actions are compared one by one
    up to the first difference. Otherwise the scheduler is another version, and its decisions are counted next to the
    recorded ones. In both cases the scheduler receives the recorded outcomes, also those of attempts that the other
    version would not have made.

    Raises NotReplayableError if the trace is incomplete or was recorded at a lower level.
    """
    processes: dict[str, _Process] = {}
    for frame in frames:
        process = processes.get(frame.source)
        if process is None:
            start = next((values for number, values in frame.records if number == r.START), None)
            if start is None or frame.seq != 0:
                raise NotReplayableError(f"{frame.source}: the trace does not begin at the process's start")
            process = processes[frame.source] = _Process(frame, start, make_scheduler, strict)
        process.frame(frame)
    return [process.end() for process in processes.values()]
