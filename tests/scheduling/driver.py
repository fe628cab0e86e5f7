"""Test driver: feeds events to a ``Scheduler`` under a simulated clock and records its actions."""

from __future__ import annotations

from lynxscale.scheduling.actions import Attempt, Fail, Refuse, SetTimer
from lynxscale.scheduling.events import (
    Lifecycle,
    Member,
    MembershipKind,
    MembershipUpdate,
    Message,
    Outcome,
    Result,
    TimerDue,
)
from lynxscale.scheduling.scheduler import Scheduler
from lynxscale.scheduling.settings import Effect, MessageClass, Settings

SAFE, UNSAFE, KEYED, ORDERED = range(4)


def classes() -> list[MessageClass]:
    return [
        MessageClass("safe", 1000.0, 8000.0, 1.0, 0.1, Effect.IDEMPOTENT),
        MessageClass("unsafe", 2000.0, 20000.0, 1.0, 0.3, Effect.UNSAFE),
        MessageClass("keyed", 2000.0, 20000.0, 1.0, 0.3, Effect.KEYED, memory_span_ms=5000.0),
        MessageClass("ordered", 2000.0, 20000.0, 1.0, 0.3, Effect.UNSAFE, ordered=True),
    ]


def settings(**changes) -> Settings:
    base = dict(
        slots=20,
        senders=2,
        me=0,
        classes=classes(),
        most_held=200,
        attempts_cap=8,
        may_cancel=True,
        idle_close_ms=5000.0,
        max_retry_after_ms=2000.0,
        may_advise_retry=True,
        per_call=[1],
        cold_share=0.2,
        ramp_time_ms=10000.0,
        tip_multiple=2.0,
        tip_after_ms=3000.0,
        key_rest_ms=300.0,
        drain_grace_ms=1000.0,
    )
    return Settings(**(base | changes))


def member(endpoint: int, dest: int = 1, lifecycle: int = 1, **more) -> Member:
    return Member(
        endpoint, Lifecycle(lifecycle), dest, more.get("zone", 0), more.get("kind", 0), more.get("weight", 1.0)
    )


class Driver:
    """Keeps a simulated clock, pending timers, attempts in flight and final answers."""

    def __init__(self, members=None, seed: int = 7, **changes) -> None:
        self.now = 1000.0
        self.scheduler = Scheduler(settings(**changes), seed)
        self.log: list[tuple[float, object]] = []
        self.attempts_in_flight: dict[tuple[int, int], tuple[Attempt, float]] = {}
        self.count: dict[int, int] = {}
        self.final_answers: dict[int, list] = {}
        self.timers: list[tuple[float, int]] = []
        self.next_id = 0
        listed = [member(11)] if members is None else members
        self.run_step(MembershipUpdate(MembershipKind.CACHED, 1, listed))

    def run_step(self, *events) -> list:
        actions = self.scheduler.step(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            self._record_action(action)
        return actions

    def _record_action(self, action) -> None:
        if isinstance(action, Attempt):
            number = self.count.get(action.id, 0)
            self.count[action.id] = number + 1
            assert action.id not in self.final_answers, "an attempt after the final answer"
            self.attempts_in_flight[action.id, number] = (action, self.now)
        elif isinstance(action, SetTimer):
            self.timers.append((action.at, action.timer_id))
        elif isinstance(action, (Refuse, Fail)):
            self.final_answers.setdefault(action.id, []).append(action)

    def message(self, cls: int = SAFE, dest: int = 1, time_left: float | None = None, **more) -> int:
        self.next_id += 1
        message_class = classes()[cls]
        self.run_step(
            Message(
                self.next_id,
                dest,
                cls,
                more.get("tenant", 0),
                self.now + (message_class.deadline_ms if time_left is None else time_left),
                key=more.get("key", 0),
            )
        )
        return self.next_id

    def advance(self, ms: float) -> None:
        """Advance the clock. Timers that become due fire, and attempts that reach their timeout end."""
        end = self.now + ms
        while True:
            timer_at = min((at for at, _ in self.timers), default=end)
            timeout_at = min((t + a.timeout for a, t in self.attempts_in_flight.values()), default=end)
            at = min(timer_at, timeout_at)
            if at >= end:
                break
            self.now = max(self.now, at)
            if timer_at <= timeout_at:
                timer_id = min(self.timers)[1]
                self.timers.remove(min(self.timers))
                self.run_step(TimerDue(timer_id))
            else:
                key = min(
                    self.attempts_in_flight,
                    key=lambda k: self.attempts_in_flight[k][1] + self.attempts_in_flight[k][0].timeout,
                )
                self.finish(key[0], Result.TIMEOUT)
        self.now = end

    def finish(self, number: int, result: int = Result.OK, wait: float = 0.0, report=()) -> list:
        """End the message's attempt in flight with the given outcome."""
        key = next(k for k in self.attempts_in_flight if k[0] == number)
        attempt, sent = self.attempts_in_flight.pop(key)
        finished = result == Result.OK or number in self.final_answers
        if result == Result.OK:
            self.final_answers.setdefault(number, []).append("delivered")
        return self.run_step(
            Outcome(number, key[1], attempt.endpoint, Result(result), self.now - sent, finished, wait, report)
        )

    def sent(self) -> list[Attempt]:
        return [a for _, a in self.log if isinstance(a, Attempt)]

    def sent_at(self) -> list[float]:
        return [t for t, a in self.log if isinstance(a, Attempt)]

    def is_in_flight(self, number: int) -> bool:
        return any(k[0] == number for k in self.attempts_in_flight)

    def warm_up(self, calls: int = 40, latency: float = 100.0, cls: int = SAFE, dest: int = 1) -> None:
        """Deliver messages successfully, one after another."""
        for _ in range(calls):
            number = self.message(cls, dest)
            self.advance(latency)
            self.finish(number)
