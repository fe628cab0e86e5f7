"""A sender's part of a limit, and what the module makes of refusals above one."""

from lynxscale.scheduling.actions import Cancel, Note
from lynxscale.scheduling.events import Message, Outcome, Result
from lynxscale.scheduling.rate_limits import RateShare
from tests.driver import SAFE, UNSAFE, Driver, classes, member


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


def test_after_a_refusal_a_sender_keeps_under_its_part_and_comes_back_to_it():
    one = share()
    sent_in(one, 0.0, 1000.0)
    one.rejected(1000.0, 990.0, 0.5)
    assert sent_in(one, 1000.0, 2000.0) <= 1
    assert 16 <= sent_in(one, 10_000.0, 20_000.0) <= 20


def test_a_volley_is_one_refusal():
    one = share()
    one.rejected(1000.0, 990.0, 0.0)
    before = one.factor
    one.rejected(1010.0, 995.0, 0.0)
    assert one.factor == before


def test_allowance_left_lets_a_sender_go_beyond_its_part_and_its_want_holds_it_there():
    one = share()
    for second in range(20):
        one.answered(second * 1000.0, second * 1000.0, 1.0)
    assert one.factor > 2
    for tenth in range(8):
        one.answered(20_000.0 + tenth * 100, 20_000.0 + tenth * 100, 0.05)
    assert one.factor < 1


def test_plenty_is_taken_slowly_as_all_the_others_see_it_too():
    """All senders hear of the same allowance at once: what each adds of a sudden comes forty times."""
    one = share()
    one.rejected(500.0, 490.0, 0.0)
    one.answered(3000.0, 2900.0, 1.0)
    one.answered(4000.0, 3900.0, 1.0)
    assert one.factor < 1.2


def test_without_a_told_limit_nothing_is_bound():
    one = RateShare(40, 0.0)
    assert sent_in(one, 0.0, 1000.0) == 100


def test_a_call_that_never_came_there_gives_its_turn_back_once_however_many_messages_it_had():
    d = Driver([member(11, weight=40.0)], senders=40, weights="nominal", per_call=[3])
    d.give(*(Message(id, 1, SAFE, 0, d.now + 8000.0) for id in (1, 2, 3)))
    assert len(d.out) == 3
    share = d.scheduler.table.destinations[1].routes[0].rate_share
    before = share.tokens
    d.give(*(Outcome(key[0], key[1], 11, Result.CONNECT_FAILED, 40.0, False) for key in list(d.out)))
    assert share.tokens == before + 1


REPORTS = dict(senders=40, slots=6, report_left=0, report_limit=1, weights="nominal")


def test_refusals_above_a_limit_are_no_outage():
    """Where calls are seldom, seconds without a success are usual: no single tries, and no cold return after."""
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.warm_up(10, latency=1500.0)
    for _ in range(6):
        d.message(SAFE)
        while not d.out:
            d.pass_time(50)
        for number, _ in list(d.out):
            d.finish(number, Result.FULL, report=(0.0, 40.0))
        d.pass_time(1000)
    assert not any("failing" in a.text for _, a in d.log if isinstance(a, Note))


def test_refusals_with_allowance_left_are_an_outage():
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.warm_up(10, latency=1500.0)
    for _ in range(8):
        d.message(SAFE)
        d.pass_time(700)
        for number, _ in list(d.out):
            d.finish(number, Result.FULL, report=(1.0, 40.0))
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))


def test_what_a_limit_lets_through_too_late_is_refused_at_once_and_the_least_worth_first():
    grades = classes()
    grades[UNSAFE].worth = 3.0
    d = Driver([member(11, weight=40.0)], **REPORTS, classes=grades)
    d.finish(d.message(SAFE), Result.FULL, report=(0.0, 40.0))
    low = [d.message(SAFE) for _ in range(12)]
    high = [d.message(UNSAFE) for _ in range(2)]
    ended = set(d.finals)
    assert len(ended & set(low)) >= 9 and not ended & set(high)
    d.pass_time(6000)
    assert [a.id for a in d.sent()][1] in high


def test_where_a_limit_is_felt_no_call_is_cut_and_sent_again():
    """The repeat would take another sender's turn: the cut call has used its own."""
    cut = []
    for left in (0.9, 0.1):
        d = Driver([member(11, weight=400.0)], **REPORTS)
        for _ in range(40):
            number = d.message(SAFE)
            d.pass_time(100)
            d.finish(number, report=(left, 400.0))
            d.pass_time(200)
        share = d.scheduler.table.destinations[1].routes[0].rate_share
        assert share.is_tight == (left < 0.5)
        d.message(SAFE)
        d.pass_time(1500)
        cut.append(any(isinstance(a, Cancel) for _, a in d.log))
    assert cut == [True, False]


def test_a_message_that_has_become_late_goes_behind_one_that_is_in_aim():
    """While a limit lets through less than comes in, serving the late first makes all late."""
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.finish(d.message(SAFE), Result.FULL, wait=2000.0, report=(0.0, 40.0))
    old = d.message(SAFE)
    d.pass_time(1900)
    new = d.message(SAFE)
    d.pass_time(4000)
    first = next(a.id for a in d.sent()[1:])
    assert first == new and first != old


def test_a_return_counts_its_warm_up_from_between_the_last_failure_and_the_first_success():
    d = Driver([member(11, weight=40.0)], slots=6, senders=40, weights="nominal")
    d.warm_up(10, latency=1500.0)
    end = d.now + 8000
    while d.now < end:
        d.message(SAFE)
        d.pass_time(100)
        for number, _ in list(d.out):
            d.finish(number, Result.CONNECT_FAILED)
    failed = d.now
    d.message(SAFE)
    while not d.out:
        d.pass_time(20)
    d.finish(next(iter(d.out))[0])
    health = d.scheduler.table.destinations[1].routes[0].health
    assert health.state == "warming" and failed - 2000 < health.slow_start_from < d.now - 50
