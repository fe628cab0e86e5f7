"""The core without sockets or HTTP: messages are submitted to it directly."""

import tempfile
import unittest
from pathlib import Path

from structlog.testing import capture_logs

from lab.standins import settings
from lynxscale.relay.core import Relay
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines, Loop
from lynxscale.relay.journal import Journal
from lynxscale.relay.journal.storage import FolderStorage
from lynxscale.relay.message import Envelope, Verdict
from lynxscale.scheduling.events import Lifecycle, Member, MembershipKind, MembershipUpdate, Message, Result
from lynxscale.scheduling.settings_reader import settings_from
from tests.relay.fakes import FakePorts, ManualLoop


class Core(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.event_loop, self.ports, self.answers = ManualLoop(), FakePorts(), []
        loop = Loop(self.event_loop.call_later)
        self.journal = Journal(FolderStorage(Path(folder.name)), 1_000_000, lambda: 1)
        self.addCleanup(self.journal.close)
        self.relay = Relay(
            settings_from(settings()), 1, loop, Deadlines(loop, self.event_loop.call_later), self.journal, Counters()
        )
        loop.at_end = self.relay.turn
        self.relay.peers = self.relay.group = self.relay.notices = self.ports
        self.relay.recovery.replay(self.journal.open())
        member = Member(7, Lifecycle.READY, 1, 0, 0, 20.0)
        self.relay.put(MembershipUpdate(MembershipKind.FULL, 1, [member]))
        self.event_loop.run()

    def submit(self, id: str, left: float = 16.0, cls: int = 0) -> None:
        self.relay.submit(
            Envelope(id, cls, 0, "", 1, int(left * 1e6), b"body"),
            lambda verdict, _again: self.answers.append((id, verdict)),
        )

    def port_calls(self, name: str) -> list:
        return [row for row in self.ports.calls if row[0] == name]

    def test_client_is_answered_before_the_attempt_starts(self):
        self.ports.start = lambda *args: self.answers.append("try")
        self.submit("m1")
        self.assertEqual(self.answers, [])
        self.event_loop.run()
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED), "try"])

    def test_scheduler_gets_an_end_time_before_the_deadline(self):
        """The margin covers a message that was read late: for the platform its deadline passes earlier."""
        seen = []
        self.relay.scheduler.step = lambda _now, events: seen.extend(events) or []
        self.submit("m1")
        self.submit("m2", left=0.2)
        begun = self.relay.loop.now() / 1000
        self.event_loop.run()
        ends = [event.expires - begun for event in seen if type(event) is Message]
        self.assertEqual([round(end) for end in ends], [16_000 - 400, 100])

    def test_first_requests_may_have_waited_as_long_as_the_start_took(self):
        now = self.relay.loop.now()
        self.relay.end_times.listening(now, now - 1_500_000)
        self.submit("m1", left=1.2)
        self.event_loop.run()
        self.assertEqual(self.answers, [("m1", Verdict.REJECTED)])
        seen = []
        self.relay.scheduler.step = lambda _now, events: seen.extend(events) or []
        self.submit("m2")
        begun = self.relay.loop.now() / 1000
        self.event_loop.run()
        self.assertEqual(round(seen[0].expires - begun), 16_000 - 1500)

    def test_immediate_outcome_reaches_the_scheduler(self):
        """An attempt may end within ``start``; the scheduler must learn of that without a later event."""
        self.ports.start = lambda number, attempt, _message, endpoint, *_: self.relay.attempt_ended(
            number, attempt, endpoint, Result.CONNECT_FAILED, 0, False
        )
        self.submit("m1")
        self.event_loop.run()
        self.event_loop.run()
        self.assertEqual((self.relay.scheduler.limits.attempts, self.relay.in_flight), ({}, 0))

    def test_duplicate_in_one_turn_is_answered_twice_and_accepted_once(self):
        self.submit("m1", left=0.0)
        self.submit("m1", left=0.0)
        self.event_loop.run()
        self.assertEqual(self.answers, [("m1", Verdict.REJECTED)] * 2)
        self.assertEqual(len(self.relay.pending), 0)

    def test_retry_whose_connection_came_up_too_late_is_not_sent(self):
        """A repeat is sent within its key's span of 7.5 s, not later; at-most-once messages are never repeated."""
        for cls, after, expected in ((1, 6.9, True), (1, 7.3, False), (2, 0.1, False), (0, 9.0, True)):
            with self.subTest(cls=cls, after=after):
                self.submit(f"m{cls}-{after}", cls=cls)
                self.event_loop.run()
                number = self.relay.by_id[f"m{cls}-{after}"]
                self.assertTrue(self.relay.record_attempt(number))
                self.relay.attempt_ended(number, 0, 7, Result.ERROR, 0, True)
                self.relay.pending.get(number).entry.may_have_run[0] -= int(after * 1e6)
                self.assertEqual(self.relay.record_attempt(number), expected)

    def test_scheduler_failure_loses_no_message(self):
        """A message that the failed scheduler lost track of is accepted; the backstop ends it after its deadline."""

        def fault(_now, _events):
            self.relay.scheduler.context.actions = []
            raise ZeroDivisionError

        step, self.relay.scheduler.step = self.relay.scheduler.step, fault
        with capture_logs() as seen:
            self.submit("m1", left=0.001)
            self.event_loop.run()
        self.relay.scheduler.step = step
        self.assertEqual(seen[-1]["event"], "module_failed")
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED)])
        with capture_logs() as seen:
            while not self.port_calls("enqueue"):
                self.event_loop.run(within=1.0)
        self.assertEqual(self.port_calls("enqueue")[0][2:4], ("m1", "undeliverable"))
        self.assertEqual(seen[-1]["event"], "message_overdue")

    def test_failure_of_one_action_leaves_the_rest_of_the_turn(self):
        """A failing response and a failing start of an attempt do not affect other messages of the turn."""
        started = []

        def start(number, *_):
            if not started:
                started.append(None)
                raise ZeroDivisionError
            started.append(number)

        def fault(_verdict, _again):
            raise KeyError

        self.ports.start = start
        with capture_logs() as seen:
            self.relay.submit(Envelope("m0", 0, 0, "", 1, 16_000_000, b"body"), fault)
            for name in ("m1", "m2"):
                self.submit(name)
            self.event_loop.run()
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED), ("m2", Verdict.ACCEPTED)])
        self.assertEqual([row["event"] for row in seen if row["log_level"] == "error"], ["turn_failed"] * 2)
        self.assertEqual(len(self.relay.pending), 3)
        self.assertIn(("flush",), self.ports.calls)

    def start_failing_attempt(self, known: bool) -> bool:
        """Make the start of an attempt fail, with ``known`` as the port's is_in_flight; is it in flight afterwards?"""
        started = []

        def start(*args):
            started.append(args)
            raise ZeroDivisionError

        self.ports.start, self.ports.is_in_flight = start, lambda *_: known
        with capture_logs() as seen:
            self.submit("m1")
            self.event_loop.run()
        self.assertEqual([row["event"] for row in seen if row["log_level"] == "error"], ["turn_failed"])
        self.event_loop.run()
        self.assertEqual(len(started), 1)
        in_flight = self.relay.pending.get(self.relay.by_id["m1"]).in_flight
        self.assertEqual((len(self.relay.scheduler.limits.attempts), self.relay.in_flight), (in_flight, in_flight))
        return in_flight

    def test_attempt_that_fails_to_start_frees_its_slot(self):
        """The port does not know the attempt, so no timeout would end it."""
        self.assertFalse(self.start_failing_attempt(known=False))

    def test_attempt_that_fails_in_flight_waits_for_its_outcome(self):
        self.assertTrue(self.start_failing_attempt(known=True))

    def start_overdue_attempt(self) -> int:
        """The number of a message whose attempt is in flight when its backstop fires for the first time."""
        self.submit("m1", left=0.2)
        self.event_loop.run()
        number = self.relay.by_id["m1"]
        self.assertTrue(self.relay.pending.get(number).in_flight)
        self.relay._overdue(number)
        self.assertFalse(self.relay.pending.get(number).ended)
        return number

    def test_due_outcome_goes_before_the_backstop(self):
        """The loop was delayed past both the outcome and the backstop; the outcome counts."""
        number = self.start_overdue_attempt()
        self.relay.attempt_ended(number, 0, 7, Result.OK, 0, True)
        self.assertIsNone(self.relay.pending.get(number))
        self.assertEqual(self.relay.counters.table()["ends"], {"delivered": 1})

    def test_attempt_without_an_outcome_delays_the_backstop_once(self):
        number = self.start_overdue_attempt()
        with capture_logs() as seen:
            self.relay._overdue(number, True)
        self.assertEqual(self.port_calls("enqueue")[0][2:4], ("m1", "undeliverable"))
        self.assertEqual(seen[-1]["event"], "message_overdue")
        self.assertEqual(self.relay.counters.table()["ends"], {"undeliverable": 1})
