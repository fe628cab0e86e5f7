"""A primary whose disk fails steps down."""

from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_full_disk_at_the_primary_moves_the_lead():
    group = start_group()
    leader = group.wait_for_leader()
    group.world.machine(address_of(leader.member_id)).files.full = True
    assert group.put("a", 1)
    assert group.wait_for_leader() is not leader
    assert group.put("b", 1)
