"""Recovery after restarts and the rules for repeated attempts, with random settings, key spans and histories.

Hypothesis generates the message classes, so that they are not those of one deployment.
"""

import os
from unittest.mock import patch

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lab.fake_disk import FakeDisk
from lab.standins import settings as table
from lynxscale.relay import deadlines
from lynxscale.relay.core import MAX_SPAN_FRACTION, Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.journal import Journal
from lynxscale.relay.message import Envelope
from lynxscale.scheduling.events import Message, Result
from lynxscale.scheduling.settings import Effect, MessageClass
from lynxscale.scheduling.settings_reader import settings_from
from tests.relay.fakes import FakePorts, ManualLoop
from tests.scheduling.driver import Driver, member

SOAK = bool(os.environ.get("RARE_SEED"))  # random instead of reproducible examples


def property_settings(examples: int):
    return settings(deadline=None, max_examples=examples * (10 if SOAK else 1), derandomize=not SOAK)


EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
DEADLINE_MS = 1_000_000.0  # long enough that the message does not end in these tests


class Clock:
    """Replaces the wall clock and the monotonic clock; a test advances ``now``."""

    def __init__(self) -> None:
        self.now = 1_000_000_000  # µs

    def ns(self) -> int:
        return self.now * 1000


class RestartableRelay:
    """A relay with one message and a scheduler that does nothing, which a test can kill and restart."""

    def __init__(self, clock: Clock, effect: str, span_ms: float) -> None:
        self.clock, self.disk = clock, FakeDisk()
        self.table = table()
        self.table["grades"] = [
            {
                "name": "drawn",
                "effect": effect,
                "goal_time_ms": 1.0,
                "deadline_ms": DEADLINE_MS,
                "value": 1.0,
                "late_worth": 0.4,
                "memory_span_ms": span_ms,
                "group": "all",
            }
        ]
        self.relay: Relay | None = None
        self.start()
        self.relay.submit(Envelope("m1", 0, 0, "k", 1, int(DEADLINE_MS * 1000), b"body"), lambda *_: None)
        self.turns.run()

    def start(self) -> None:
        self.disk, self.turns = FakeDisk(self.disk.image()), ManualLoop()
        loop = Loop(self.turns.call_later)
        journal = Journal(self.disk, 13 * 4 * 4096, lambda: self.clock.now)
        self.relay = Relay(
            settings_from(self.table), 1, loop, Deadlines(loop, self.turns.call_later), journal, Counters()
        )
        loop.at_end = self.relay.turn
        self.relay.peers = self.relay.group = self.relay.notices = FakePorts()
        self.relay.scheduler.step = lambda _now, _events: []
        self.relay.recovery.replay(journal.open())
        self.turns.run()

    def number(self) -> int:
        return self.relay.by_id["m1"]


steps = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.integers(1, 3000)),
        st.tuples(
            st.just("try"),
            st.sampled_from(
                [
                    Result.FULL,
                    Result.ERROR,
                    Result.TIMEOUT,
                    Result.RESET,
                    Result.CONNECT_FAILED,
                    Result.MOOT,
                    Result.CANCELLED,
                ]
            ),
        ),
        st.tuples(st.just("killed in a try"), st.none()),
        st.tuples(st.just("killed"), st.none()),
    ),
    min_size=4,
    max_size=14,
)


REPEATED_ERRORS = [("try", Result.ERROR), ("pass", 1000), ("try", Result.ERROR), ("pass", 1000), ("try", Result.ERROR)]
KILLED_TWICE = [("killed in a try", None), ("pass", 1000), ("killed", None), ("pass", 1000), ("try", Result.ERROR)]


@example(effect="deduplicated", span_ms=2000, steps=REPEATED_ERRORS)
@example(effect="deduplicated", span_ms=2000, steps=KILLED_TWICE)
@example(effect="at_most_once", span_ms=2000, steps=KILLED_TWICE)
@property_settings(300)
@given(effect=st.sampled_from(sorted(EFFECTS)), span_ms=st.integers(1, 8000), steps=steps)
def test_retry_is_sent_only_where_earlier_attempts_allow_it(effect, span_ms, steps):
    """The model records when each attempt that may have been executed was written, across restarts."""
    clock = Clock()
    with patch.object(deadlines.time, "monotonic_ns", clock.ns), patch("lynxscale.relay.core.time.time_ns", clock.ns):
        restartable, executed_at, attempt = RestartableRelay(clock, effect, float(span_ms)), [], 0
        for step, value in steps:
            if step == "pass":
                clock.now += value * 1000
                continue
            if step == "killed":
                restartable.start()
                continue
            restartable.turns.run()  # the clock is read once a turn
            first_executed_at = min(executed_at, default=None)
            may_repeat = (
                first_executed_at is None
                or EFFECTS[effect] == Effect.IDEMPOTENT
                or (
                    EFFECTS[effect] == Effect.KEYED
                    and clock.now - first_executed_at < MAX_SPAN_FRACTION * 1000 * span_ms
                )
            )
            assert restartable.relay.record_attempt(restartable.number()) == may_repeat, (step, executed_at)
            if not may_repeat:
                continue
            if step == "killed in a try":
                restartable.start()
            else:
                restartable.relay.attempt_ended(restartable.number(), attempt, 7, value, 0, True)
                attempt += 1
                restartable.turns.run()
            if value not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT):
                executed_at.append(clock.now)


@st.composite
def restarts(draw):
    classes = []
    for place in range(draw(st.integers(1, 4))):
        deadline = draw(st.floats(1000, 30_000))
        classes.append(
            MessageClass(
                f"c{place}",
                draw(st.floats(100, 5000)),
                deadline,
                draw(st.floats(0.1, 5)),
                draw(st.floats(0, 1)),
                draw(st.sampled_from(list(Effect))),
                memory_span_ms=draw(st.floats(100, 2 * deadline)),
            )
        )
    dests = draw(st.integers(1, 4))
    members = [member(10 + k, 1 + k % dests, weight=draw(st.floats(0.2, 30))) for k in range(draw(st.integers(1, 8)))]
    messages = draw(
        st.lists(
            st.tuples(st.integers(0, len(classes) - 1), st.integers(1, dests), st.floats(0.3, 1.0)),
            min_size=1,
            max_size=60,
        )
    )
    return (
        classes,
        members,
        messages,
        draw(st.integers(1, 40)),
        draw(st.integers(2, 80)),
        draw(st.sampled_from(["nominal", "rough"])),
        draw(st.booleans()),
        draw(st.integers(1, 6)),
        draw(st.integers(0, 40)),
    )


@property_settings(60)
@given(case=restarts(), seed=st.integers(0, 1000))
def test_recovered_message_without_an_attempt_is_given_up_only_at_its_deadline(case, seed):
    """The property holds for any limits, capacity and number of new messages, as long as peers respond."""
    classes, members, messages, slots, most_held, weights, halves, senders, new_messages = case
    d = Driver(
        members=members,
        seed=seed,
        classes=classes,
        slots=slots,
        most_held=most_held,
        weights=weights,
        late_halves=halves,
        senders=senders,
    )
    expires = {100 + k: d.now + left * classes[cls].deadline_ms for k, (cls, _dest, left) in enumerate(messages)}
    d.run_step(
        *(
            Message(100 + k, dest, cls, 0, expires[100 + k], inherited=True)
            for k, (cls, dest, _left) in enumerate(messages)
        )
    )
    d.run_step(*(Message(1000 + k, 1, 0, 0, d.now + classes[0].deadline_ms) for k in range(new_messages)))
    attempted, latency = set(), 40.0
    while any(number not in d.final_answers for number in expires):
        out = {number for number, _attempt in d.attempts_in_flight}
        attempted |= out
        for number in expires:
            if number in d.final_answers and number not in attempted:
                assert expires[number] - d.now <= 4 * latency + 200.0, number
        d.advance(latency)
        for number in out:
            if d.is_in_flight(number):
                d.finish(number)
        if d.now > 100_000.0:
            raise AssertionError("no end")
