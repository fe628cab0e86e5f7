"""Deadlines: the effect of a callback that raises."""

import unittest

from lynxscale.relay.deadlines import Deadlines, Loop
from tests.relay.fakes import ManualLoop


class DeadlinesTest(unittest.TestCase):
    def test_failing_callback_stalls_no_other_deadline(self):
        event_loop, called = ManualLoop(), []
        deadlines = Deadlines(Loop(event_loop.call_later), event_loop.call_later)
        deadlines.after(0, called.append, 1)
        deadlines.after(1, lambda: called.append(1 / 0))
        deadlines.after(2, called.append, 2)
        with self.assertRaises(ZeroDivisionError):  # a real event loop logs the exception and goes on
            while len(called) < 2:
                event_loop.run(within=1.0)
        while len(called) < 2:
            event_loop.run(within=1.0)
        self.assertEqual((called, len(deadlines)), ([1, 2], 0))
