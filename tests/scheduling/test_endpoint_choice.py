"""Tests of the choice of an endpoint for a message."""

from lynxscale.scheduling.events import (
    MembershipKind,
    MembershipUpdate,
)
from tests.scheduling.driver import Driver, member


def test_a_call_stays_in_its_zone_where_crossing_costs():
    """The endpoint in the other zone is the first in the membership, and equal in all other respects."""
    members = [member(11, zone=1), member(12, zone=0)]
    for price, used in ((0.03, {12}), (0.0, {11})):
        d = Driver(members=members, cross_price=price, zone=0)
        d.warm_up(10)
        assert {attempt.endpoint for attempt in d.sent()} == used
    d = Driver(members=members, cross_price=0.03, zone=0)
    d.run_step(
        MembershipUpdate(MembershipKind.DELTA, 2, [member(12, lifecycle=2, zone=0)])
    )  # only the endpoint in the other zone is left
    d.warm_up(2)
    assert {attempt.endpoint for attempt in d.sent()} == {11}
