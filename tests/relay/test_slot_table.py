"""The slot table: numbers of removed items."""

import unittest

from lynxscale.relay.slot_table import SlotTable


class Tables(unittest.TestCase):
    def test_number_of_a_removed_item_finds_nothing(self):
        table = SlotTable()
        first = table.add("a")
        table.remove(first)
        second = table.add("b")
        self.assertNotEqual(first, second)
        self.assertEqual((table.get(first), table.get(second), len(table)), (None, "b", 1))
        self.assertIsNone(table.remove(first))
