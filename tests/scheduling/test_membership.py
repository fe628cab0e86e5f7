"""Tests of membership updates and of queries of service discovery."""

import pytest

from lynxscale.scheduling.actions import Subscribe
from lynxscale.scheduling.events import (
    Lifecycle,
    MembershipKind,
    MembershipUpdate,
)
from tests.scheduling.driver import Driver, member


@pytest.mark.parametrize("lifecycle", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_nothing_is_sent_to_a_draining_endpoint(lifecycle):
    d = Driver(members=[member(11), member(12)])
    d.run_step(MembershipUpdate(MembershipKind.DELTA, 2, [member(11, lifecycle=lifecycle)]))
    d.warm_up(30)
    assert {a.endpoint for a in d.sent()} == {12}


def test_full_membership_replaces_the_old_one():
    d = Driver(members=[member(11), member(12)])
    d.run_step(MembershipUpdate(MembershipKind.FULL, 2, [member(12)]))
    d.warm_up(30)
    assert {a.endpoint for a in d.sent()} == {12}


def test_cached_membership_queries_again_after_a_failure():
    d = Driver(asks_for_members=True)
    d.run_step(MembershipUpdate(MembershipKind.FAILED, 1, []))
    d.advance(60000)
    queries = [t for t, a in d.log if isinstance(a, Subscribe)]
    assert len(queries) >= 3


def test_many_nodes_spread_their_queries_of_discovery():
    """Queries of all nodes at the same moment would overload service discovery, and so would simultaneous retries."""
    first, later = [], []
    for me in range(40):
        d = Driver(seed=me, asks_for_members=True, senders=40, me=me)
        d.run_step(MembershipUpdate(MembershipKind.CACHED, 1, []))
        d.advance(60_000)
        queries = [t for t, a in d.log if isinstance(a, Subscribe)]
        first.append(queries[0])
        d.run_step(MembershipUpdate(MembershipKind.DELTA, 1, []))
        for _ in range(8):  # service discovery fails every query
            d.run_step(MembershipUpdate(MembershipKind.FAILED, 1, []))
            d.advance(60_000)
        later.append([t for t, a in d.log if isinstance(a, Subscribe)][-1] - d.now + 60_000)
    assert max(sum(at <= t < at + 200 for t in first) for at in range(0, 2000, 50)) <= 13
    assert min(later) > 10_000
