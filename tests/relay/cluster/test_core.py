"""Core: reports about peers with other settings or another cluster key."""

import pytest

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.core import Core
from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.instructions import LogEvent
from lynxscale.relay.cluster.membership_table import Identity
from tests.relay.cluster.strategies import KEY


def test_differing_settings_and_a_foreign_node_are_reported_by_name():
    one, two = (
        Core(Identity(name, 1, 5), ["r1", "r2"], "seed", 0, None, settings=digests)
        for name, digests in (("r1", {"limits": 1, "members": 2}), ("r2", {"limits": 3, "members": 2}))
    )
    one.receive(1, two.message(frame.Gossip()), True)
    one.detector.view_installed(2, [two.me])
    events = [
        instruction for instruction in one.receive(3, two.full_state(True), False) if isinstance(instruction, LogEvent)
    ]
    assert events == [LogEvent("differs", {"node": "r2", "settings": "limits"})]
    assert one.differing_settings == {"r2": ("limits",)} and one.states_seen_by["r2"][1]["r2"] == "alive"
    assert not [
        instruction for instruction in one.receive(4, two.full_state(True), False) if isinstance(instruction, LogEvent)
    ]
    foreign_frame = frame.encode(frame.cluster_key("norte", 1_000_000), two.message(frame.Gossip()))
    # A sender with a longer probe interval would assume longer leases than their grantors do.
    with pytest.raises(FrameError, match="foreign"):
        frame.decode(frame.cluster_key("norte", 500_000), foreign_frame)
    assert frame.describe_mismatch(frame.cluster_key("norte", 500_000), foreign_frame) == (
        "another cluster's name or probe",
        "r2",
    )
    assert frame.describe_mismatch(KEY, foreign_frame[:-1]) == ("", "")
