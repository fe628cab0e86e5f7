"""Tests of a node's share of a rate limit."""

from lynxscale.scheduling.events import Message, Outcome, Result
from lynxscale.scheduling.rate_limits import RateShare
from tests.scheduling.driver import SAFE, Driver, member


def new_rate_share(senders: int = 40, limit: float = 40.0) -> RateShare:
    rate_share = RateShare(senders, 0.0)
    rate_share.set_limit(limit)
    return rate_share


def sent_in(rate_share: RateShare, begin: float, span: float) -> int:
    count, now = 0, begin
    while now < begin + span:
        if rate_share.available_at(now) <= now:
            rate_share.spend()
            count += 1
        now += 10
    return count


def test_after_a_rejection_a_node_keeps_under_its_share_and_recovers():
    rate_share = new_rate_share()
    sent_in(rate_share, 0.0, 1000.0)
    rate_share.rejected(1000.0, 990.0, 0.5)
    assert sent_in(rate_share, 1000.0, 2000.0) <= 1
    assert 16 <= sent_in(rate_share, 10_000.0, 20_000.0) <= 20


def test_a_volley_is_one_rejection():
    rate_share = new_rate_share()
    rate_share.rejected(1000.0, 990.0, 0.0)
    before = rate_share.factor
    rate_share.rejected(1010.0, 995.0, 0.0)
    assert rate_share.factor == before


def test_allowance_left_lets_a_node_exceed_its_share_and_none_left_limits_it():
    rate_share = new_rate_share()
    for second in range(20):
        rate_share.answered(second * 1000.0, second * 1000.0, 1.0)
    assert rate_share.factor > 2
    for tenth in range(8):
        rate_share.answered(20_000.0 + tenth * 100, 20_000.0 + tenth * 100, 0.05)
    assert rate_share.factor < 1


def test_plenty_of_allowance_is_used_slowly_as_all_nodes_see_it():
    """All 40 nodes see the same allowance, so the destination gets a sudden increase by one node 40 times."""
    rate_share = new_rate_share()
    rate_share.rejected(500.0, 490.0, 0.0)
    rate_share.answered(3000.0, 2900.0, 1.0)
    rate_share.answered(4000.0, 3900.0, 1.0)
    assert rate_share.factor < 1.2


def test_unknown_limit_bounds_nothing():
    rate_share = RateShare(40, 0.0)
    assert sent_in(rate_share, 0.0, 1000.0) == 100


def test_failed_connect_gives_its_token_back_once_however_many_messages_the_call_had():
    d = Driver([member(11, weight=40.0)], senders=40, weights="nominal", per_call=[3])
    d.run_step(*(Message(id, 1, SAFE, 0, d.now + 8000.0) for id in (1, 2, 3)))
    assert len(d.attempts_in_flight) == 3
    rate_share = d.scheduler.table.destinations[1].routes[0].rate_share
    before = rate_share.tokens
    d.run_step(*(Outcome(key[0], key[1], 11, Result.CONNECT_FAILED, 40.0, False) for key in list(d.attempts_in_flight)))
    assert rate_share.tokens == before + 1
