"""Deadlines: what a failing callback leaves."""

import unittest

from lynxscale.relay.deadlines import Deadlines, Loop
from tests.relay.fakes import ManualLoop


class Times(unittest.TestCase):
    def test_failing_callback_stalls_no_other_deadline(self):
        turns, met = ManualLoop(), []
        deadlines = Deadlines(Loop(turns.call_later), turns.call_later)
        deadlines.after(0, met.append, 1)
        deadlines.after(1, lambda: met.append(1 / 0))
        deadlines.after(2, met.append, 2)
        with self.assertRaises(ZeroDivisionError):  # as the loop sees it, which logs it and goes on
            while len(met) < 2:
                turns.run(within=1.0)
        while len(met) < 2:
            turns.run(within=1.0)
        self.assertEqual((met, len(deadlines)), ([1, 2], 0))
