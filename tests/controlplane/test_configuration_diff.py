"""Differences between two configurations as lines of text."""

from lab.tier.simulated_tier import default_configuration
from lynxscale.controlplane.configuration_diff import differences


def test_removed_added_and_changed_entries_are_listed_by_name():
    before, after = default_configuration(1), default_configuration(2)
    removed = after["routes"].pop(1)
    after["routes"].append(removed | {"name": "new"})
    after["routes"][0] |= {"timeout-ms": 1, "priority": 2}
    after["services"].append({"name": "extra"})
    assert differences(before, after) == [
        "- routes open",
        "+ routes new",
        "~ routes kept: priority, timeout-ms",
        "+ services extra",
    ]


def test_the_order_of_entries_makes_no_difference():
    before, after = default_configuration(1), default_configuration(1)
    after["routes"].reverse()
    assert differences(before, after) == []
