"""Core: what a node reports about its peers' settings."""

import pytest

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster import view_change as views
from lynxscale.relay.cluster.core import Core
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.membership_table import Identity
from tests.relay.cluster.strategies import KEY


def test_differing_settings_and_a_foreign_node_are_reported_by_name():
    one, two = (
        Core(Identity(name, 1, 5), ["r1", "r2"], "seed", 0, None, settings=settings_)
        for name, settings_ in (("r1", {"limits": 1, "members": 2}), ("r2", {"limits": 3, "members": 2}))
    )
    one.receive(1, two.message(frame.Gossip()), True)
    one.detector.view_installed(2, [two.me])
    told = [order for order in one.receive(3, two.full_state(True), False) if isinstance(order, views.LogEvent)]
    assert told == [views.LogEvent("differs", {"node": "r2", "settings": "limits"})]
    assert one.differing_settings == {"r2": ("limits",)} and one.states_seen_by["r2"][1]["r2"] == "alive"
    assert not [order for order in one.receive(4, two.full_state(True), False) if isinstance(order, views.LogEvent)]
    theirs = frame.encode(frame.cluster_key("norte", 1_000_000), two.message(frame.Gossip()))
    with pytest.raises(FrameError, match="foreign"):  # its leases would be longer than others believe
        frame.decode(frame.cluster_key("norte", 500_000), theirs)
    assert frame.describe_mismatch(frame.cluster_key("norte", 500_000), theirs) == (
        "another cluster's name or probe",
        "r2",
    )
    assert frame.describe_mismatch(KEY, theirs[:-1]) == ("", "")
