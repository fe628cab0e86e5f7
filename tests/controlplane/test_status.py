"""The rendering of a control process's status as text."""

from lynxscale.controlplane.status import ControlStatus, ReplicaStatus, render


def status(**fields: object) -> ControlStatus:
    defaults = {
        "node": "node-1",
        "member": "a:1#0",
        "state": "primary",
        "leads": True,
        "epoch": 4,
        "primary": "a:1",
        "position": "3/41",
        "configuration": 7,
        "endpoints": 2,
        "relays": ["r:1", "r:2"],
        "retiring": [],
        "replicas": [ReplicaStatus("b:1#0", "node-2", True, True, 0.26), ReplicaStatus("c:1#0", "", False, False, 9.0)],
    }
    return ControlStatus(**(defaults | fields))


def test_a_primary_shows_its_relays_and_replicas():
    assert render(status()).splitlines() == [
        "node           node-1",
        "state          primary (holds the lease)",
        "epoch          4, primary a:1",
        "position       3/41",
        "configuration  7",
        "endpoints      2",
        "relays         2: r:1 r:2",
        "retiring       none",
        "replica        node-2 witness in_sync, heard 0.3 s ago",
        "replica        c:1#0 spare, heard 9.0 s ago",
    ]


def test_another_member_shows_only_what_it_knows_itself():
    assert render(status(state="follower", leads=False, primary="")).splitlines() == [
        "node           node-1",
        "state          follower",
        "epoch          4, primary unknown",
        "position       3/41",
        "configuration  7",
    ]
