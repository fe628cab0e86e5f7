"""The core without sockets: another protocol than HTTP could stand before it in the same way."""

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
        self.turns, self.ports, self.answers = ManualLoop(), FakePorts(), []
        loop = Loop(self.turns.call_later)
        self.journal = Journal(FolderStorage(Path(folder.name)), 1_000_000, lambda: 1)
        self.addCleanup(self.journal.close)
        self.relay = Relay(
            settings_from(settings()), 1, loop, Deadlines(loop, self.turns.call_later), self.journal, Counters()
        )
        loop.at_end = self.relay.turn
        self.relay.peers = self.relay.group = self.relay.notices = self.ports
        self.relay.recovery.replay(self.journal.open())
        member = Member(7, Lifecycle.READY, 1, 0, 0, 20.0)
        self.relay.put(MembershipUpdate(MembershipKind.FULL, 1, [member]))
        self.turns.run()

    def submit(self, id: str, left: float = 16.0, cls: int = 0) -> None:
        self.relay.submit(
            Envelope(id, cls, 0, "", 1, int(left * 1e6), b"body"),
            lambda verdict, _again: self.answers.append((id, verdict)),
        )

    def told(self, name: str) -> list:
        return [row for row in self.ports.told if row[0] == name]

    def test_client_is_answered_before_the_attempt_starts(self):
        self.ports.start = lambda *args: self.answers.append("try")
        self.submit("m1")
        self.assertEqual(self.answers, [])
        self.turns.run()
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED), "try"])

    def test_scheduler_gets_an_end_time_before_the_deadline(self):
        """A message read late by a process at its start is over for the platform before the relay would end it."""
        seen = []
        self.relay.scheduler.step = lambda _now, events: seen.extend(events) or []
        self.submit("m1")
        self.submit("m2", left=0.2)
        begun = self.relay.loop.now() / 1000
        self.turns.run()
        ends = [event.expires - begun for event in seen if type(event) is Message]
        self.assertEqual([round(end) for end in ends], [16_000 - 400, 100])

    def test_first_requests_may_have_waited_as_long_as_the_start_took(self):
        now = self.relay.loop.now()
        self.relay.end_times.listening(now, now - 1_500_000)
        self.submit("m1", left=1.2)
        self.turns.run()
        self.assertEqual(self.answers, [("m1", Verdict.REJECTED)])
        seen = []
        self.relay.scheduler.step = lambda _now, events: seen.extend(events) or []
        self.submit("m2")
        begun = self.relay.loop.now() / 1000
        self.turns.run()
        self.assertEqual(round(seen[0].expires - begun), 16_000 - 1500)

    def test_immediate_outcome_reaches_the_scheduler(self):
        """A try can end as it is ordered: no later event may be needed for the module to hear of it."""
        self.ports.start = lambda number, attempt, _message, endpoint, *_: self.relay.attempt_ended(
            number, attempt, endpoint, Result.CONNECT_FAILED, 0, False
        )
        self.submit("m1")
        self.turns.run()
        self.turns.run()
        self.assertEqual((self.relay.scheduler.limits.attempts, self.relay.in_flight), ({}, 0))

    def test_duplicate_in_one_turn_is_answered_twice_and_accepted_once(self):
        self.submit("m1", left=0.0)
        self.submit("m1", left=0.0)
        self.turns.run()
        self.assertEqual(self.answers, [("m1", Verdict.REJECTED)] * 2)
        self.assertEqual(len(self.relay.pending), 0)

    def test_retry_whose_connection_came_up_too_late_is_not_sent(self):
        """Ordered within its key's span, 7.5 s, and written behind it; what may not be repeated never goes again."""
        for cls, after, goes in ((1, 6.9, True), (1, 7.3, False), (2, 0.1, False), (0, 9.0, True)):
            with self.subTest(cls=cls, after=after):
                self.submit(f"m{cls}-{after}", cls=cls)
                self.turns.run()
                number = self.relay.by_id[f"m{cls}-{after}"]
                self.assertTrue(self.relay.record_attempt(number))
                self.relay.attempt_ended(number, 0, 7, Result.ERROR, 0, True)
                self.relay.pending.get(number).entry.may_have_run[0] -= int(after * 1e6)
                self.assertEqual(self.relay.record_attempt(number), goes)

    def test_scheduler_failure_loses_no_message(self):
        """What it lost track of is taken, kept, and ended once its time is up."""

        def fault(_now, _events):
            self.relay.scheduler.context.actions = []
            raise ZeroDivisionError

        step, self.relay.scheduler.step = self.relay.scheduler.step, fault
        with capture_logs() as seen:
            self.submit("m1", left=0.001)
            self.turns.run()
        self.relay.scheduler.step = step
        self.assertEqual(seen[-1]["event"], "module_failed")
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED)])
        with capture_logs() as seen:
            while not self.told("enqueue"):
                self.turns.run(within=1.0)
        self.assertEqual(self.told("enqueue")[0][2:4], ("m1", "undeliverable"))
        self.assertEqual(seen[-1]["event"], "message_overdue")

    def test_failure_of_one_action_leaves_the_rest_of_the_turn(self):
        """An answer that fails, and a try that fails as it starts: the others of the turn are answered and go."""
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
            self.turns.run()
        self.assertEqual(self.answers, [("m1", Verdict.ACCEPTED), ("m2", Verdict.ACCEPTED)])
        self.assertEqual([row["event"] for row in seen if row["log_level"] == "error"], ["turn_failed"] * 2)
        self.assertEqual(len(self.relay.pending), 3)
        self.assertIn(("flush",), self.ports.told)

    def fails_as_it_starts(self, known: bool) -> bool:
        """Is the try of a message still out, when its start failed and the port says whether it knows of it?"""
        started = []

        def start(*args):
            started.append(args)
            raise ZeroDivisionError

        self.ports.start, self.ports.is_in_flight = start, lambda *_: known
        with capture_logs() as seen:
            self.submit("m1")
            self.turns.run()
        self.assertEqual([row["event"] for row in seen if row["log_level"] == "error"], ["turn_failed"])
        self.turns.run()
        self.assertEqual(len(started), 1)
        out = self.relay.pending.get(self.relay.by_id["m1"]).in_flight
        self.assertEqual((len(self.relay.scheduler.limits.attempts), self.relay.in_flight), (out, out))
        return out

    def test_attempt_that_fails_to_start_frees_its_slot(self):
        """Nothing of it is under way: no time-out would bring its outcome."""
        self.assertFalse(self.fails_as_it_starts(known=False))

    def test_attempt_that_fails_in_flight_waits_for_its_outcome(self):
        self.assertTrue(self.fails_as_it_starts(known=True))

    def overdue(self) -> int:
        """The number of a message with a try under way whose last resort falls due, for the first time."""
        self.submit("m1", left=0.2)
        self.turns.run()
        number = self.relay.by_id["m1"]
        self.assertTrue(self.relay.pending.get(number).in_flight)
        self.relay._overdue(number)
        self.assertFalse(self.relay.pending.get(number).ended)
        return number

    def test_due_outcome_goes_before_the_backstop(self):
        """The loop was held up over both."""
        number = self.overdue()
        self.relay.attempt_ended(number, 0, 7, Result.OK, 0, True)
        self.assertIsNone(self.relay.pending.get(number))
        self.assertEqual(self.relay.counters.table()["ends"], {"delivered": 1})

    def test_attempt_without_an_outcome_delays_the_backstop_once(self):
        number = self.overdue()
        with capture_logs() as seen:
            self.relay._overdue(number, True)
        self.assertEqual(self.told("enqueue")[0][2:4], ("m1", "undeliverable"))
        self.assertEqual(seen[-1]["event"], "message_overdue")
        self.assertEqual(self.relay.counters.table()["ends"], {"undeliverable": 1})
