"""A node's share of a rate limit."""

from lynxscale.scheduling.events import Message, Outcome, Result
from lynxscale.scheduling.rate_limits import RateShare
from tests.scheduling.driver import SAFE, Driver, member


def share(senders: int = 40, limit: float = 40.0) -> RateShare:
    found = RateShare(senders, 0.0)
    found.set_limit(limit)
    return found


def sent_in(one: RateShare, begin: float, span: float) -> int:
    count, now = 0, begin
    while now < begin + span:
        if one.opens_at(now) <= now:
            one.spend()
            count += 1
        now += 10
    return count


def test_after_a_rejection_a_node_keeps_under_its_share_and_recovers():
    one = share()
    sent_in(one, 0.0, 1000.0)
    one.rejected(1000.0, 990.0, 0.5)
    assert sent_in(one, 1000.0, 2000.0) <= 1
    assert 16 <= sent_in(one, 10_000.0, 20_000.0) <= 20


def test_a_volley_is_one_rejection():
    one = share()
    one.rejected(1000.0, 990.0, 0.0)
    before = one.factor
    one.rejected(1010.0, 995.0, 0.0)
    assert one.factor == before


def test_allowance_left_lets_a_node_exceed_its_share_and_none_left_limits_it():
    one = share()
    for second in range(20):
        one.answered(second * 1000.0, second * 1000.0, 1.0)
    assert one.factor > 2
    for tenth in range(8):
        one.answered(20_000.0 + tenth * 100, 20_000.0 + tenth * 100, 0.05)
    assert one.factor < 1


def test_plenty_of_allowance_is_used_slowly_as_all_nodes_see_it():
    """All nodes see the same allowance at once: what each adds suddenly arrives forty times."""
    one = share()
    one.rejected(500.0, 490.0, 0.0)
    one.answered(3000.0, 2900.0, 1.0)
    one.answered(4000.0, 3900.0, 1.0)
    assert one.factor < 1.2


def test_unknown_limit_bounds_nothing():
    one = RateShare(40, 0.0)
    assert sent_in(one, 0.0, 1000.0) == 100


def test_failed_connect_gives_its_token_back_once_however_many_messages_the_call_had():
    d = Driver([member(11, weight=40.0)], senders=40, weights="nominal", per_call=[3])
    d.give(*(Message(id, 1, SAFE, 0, d.now + 8000.0) for id in (1, 2, 3)))
    assert len(d.out) == 3
    share = d.scheduler.table.destinations[1].routes[0].rate_share
    before = share.tokens
    d.give(*(Outcome(key[0], key[1], 11, Result.CONNECT_FAILED, 40.0, False) for key in list(d.out)))
    assert share.tokens == before + 1
