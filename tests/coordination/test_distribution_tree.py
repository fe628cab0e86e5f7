"""The shape of the distribution tree."""

import pytest

from lynxscale.coordination.distribution_tree import FANOUT, parent_of
from lynxscale.coordination.messages import RosterEntry


@pytest.mark.parametrize("count", [2, 8, 64, 320])
def test_the_tree_reaches_every_relay(count):
    roster = [RosterEntry(f"10.0.{n // 250}.{n % 250}:1", "z") for n in range(count)]
    addresses = [entry.address for entry in roster]
    children: dict[str, int] = {}
    for address in addresses:
        depth, node = 0, address
        while node := parent_of(roster, node):
            depth += 1
        assert depth <= 5
        children[parent_of(roster, address)] = children.get(parent_of(roster, address), 0) + 1
    assert max(children.values()) <= FANOUT


def test_an_update_crosses_into_each_zone_once():
    """Regression: a single tree across all zones caused nearly half of the traffic between zones."""
    zones = ("a", "b", "c", "d")
    roster = [RosterEntry(f"10.{n % 4}.0.{n}:1", zones[n % 4]) for n in range(59)]
    zone_of = {entry.address: entry.zone for entry in roster}
    parents = {entry.address: parent_of(roster, entry.address) for entry in roster}
    assert sum(not parent for parent in parents.values()) == len(zones)
    assert all(zone_of[child] == zone_of[parent] for child, parent in parents.items() if parent)
    assert parent_of(roster, "10.9.9.9:1") == ""
