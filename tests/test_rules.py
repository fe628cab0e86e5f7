"""The six rules, each seen from outside by one node's events and actions."""

import pytest

from lynxscale.scheduling.actions import Attempt, Cancel, CloseIdle, Fail, Note, Refuse, Subscribe
from lynxscale.scheduling.events import (
    Lifecycle,
    MembershipKind,
    MembershipUpdate,
    Outcome,
    Result,
    TimerDue,
    Withdrawn,
)
from lynxscale.scheduling.settings import Effect, MessageClass
from tests.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
MAY_RUN = (Result.ERROR, Result.RESET, Result.CANCELLED)


# No message is lost


@pytest.mark.parametrize("result", list(NEVER_RAN) + list(MAY_RUN))
@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_every_message_ends_once_in_time(cls, result):
    d = Driver()
    numbers = [d.message(cls, key=5) for _ in range(6)]
    for _ in range(300):
        for key in list(d.out):
            d.finish(key[0], result)
        d.pass_time(100)
    assert sorted(d.finals) == numbers
    assert all(len(f) == 1 for f in d.finals.values())


def test_time_out_at_the_deadline_is_answered_at_once():
    d = Driver()
    number = d.message(UNSAFE)
    d.pass_time(20001)
    assert isinstance(d.finals[number][0], Fail)
    assert [t for t, a in d.log if isinstance(a, Fail)] == [21000.0]


def test_destination_without_endpoints_refuses_when_time_is_up():
    d = Driver(members=[])
    number = d.message(SAFE)
    d.pass_time(8100)
    assert isinstance(d.finals[number][0], Refuse)


def test_expired_arrival_is_answered_at_once():
    d = Driver()
    number = d.message(SAFE, left=-1.0)
    assert len(d.finals[number]) == 1 and not d.sent()


def test_message_requeued_after_its_watch_still_ends():
    d = Driver()
    d.warm_up(40, latency=500.0)
    number = d.message(SAFE, left=2000.0)
    d.pass_time(1400)
    d.finish(number, Result.FULL, wait=5000)
    d.pass_time(700)
    assert len(d.finals[number]) == 1


def test_held_messages_stay_under_the_limit():
    d = Driver(members=[], most_held=40)
    numbers = [d.message(SAFE) for _ in range(60)]
    assert 60 - len(d.finals) < 40 and len(numbers) == 60


# No effect happens twice


@pytest.mark.parametrize("result", MAY_RUN)
def test_unsafe_is_failed_not_repeated(result):
    d = Driver()
    number = d.message(UNSAFE)
    d.finish(number, result)
    d.pass_time(5000)
    assert d.count[number] == 1 and isinstance(d.finals[number][0], Fail)


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_is_sent_again_after_proof(result):
    d = Driver()
    number = d.message(UNSAFE)
    d.finish(number, result)
    d.pass_time(3000)
    assert d.count[number] == 2


def test_keyed_is_not_sent_after_its_span():
    d = Driver()
    number = d.message(KEYED)
    d.finish(number, Result.RESET)
    for _ in range(30):
        d.pass_time(500)
        if d.is_out(number):
            d.finish(number, Result.FULL)
    first = next(t for t, a in d.log if isinstance(a, Attempt) and a.id == number)
    late = [t for t, a in d.log if isinstance(a, Attempt) and a.id == number and t > first + 5000]
    assert d.count[number] > 1 and not late and len(d.finals[number]) == 1


def test_keyed_held_over_its_span_is_answered():
    d = Driver()
    number = d.message(KEYED)
    d.finish(number, Result.RESET)
    d.pass_time(600)
    d.finish(number, Result.FULL, wait=9000)
    d.pass_time(10000)
    assert len(d.finals[number]) == 1


def test_keyed_stays_in_its_zone():
    grade = MessageClass("zoned", 2000.0, 20000.0, 1.0, 0.3, Effect.KEYED, "zone", 5000.0)
    d = Driver(members=[member(11, zone=0), member(12, zone=1)], classes=[grade])
    number = d.message(0)
    zone = d.sent()[0].endpoint
    d.finish(number, Result.ERROR)
    d.pass_time(4000)
    assert {a.endpoint for a in d.sent()} == {zone}


# Drains are kept


@pytest.mark.parametrize("life", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_nothing_to_a_draining_endpoint(life):
    d = Driver(members=[member(11), member(12)])
    d.give(MembershipUpdate(MembershipKind.DELTA, 2, [member(11, life=life)]))
    d.warm_up(30)
    assert {a.endpoint for a in d.sent()} == {12}


def test_full_list_replaces_the_old_one():
    d = Driver(members=[member(11), member(12)])
    d.give(MembershipUpdate(MembershipKind.FULL, 2, [member(12)]))
    d.warm_up(30)
    assert {a.endpoint for a in d.sent()} == {12}


def test_stale_cached_list_asks_again_after_failure():
    d = Driver(asks_for_members=True)
    d.give(MembershipUpdate(MembershipKind.FAILED, 1, []))
    d.pass_time(60000)
    asks = [t for t, a in d.log if isinstance(a, Subscribe)]
    assert len(asks) >= 3


def test_many_senders_spread_their_calls_to_discovery():
    """All of them ask at a start: in one moment they would overbook it, and by repeats keep it so."""
    first, later = [], []
    for me in range(40):
        d = Driver(seed=me, asks_for_members=True, senders=40, me=me)
        d.give(MembershipUpdate(MembershipKind.CACHED, 1, []))
        d.pass_time(60_000)
        asks = [t for t, a in d.log if isinstance(a, Subscribe)]
        first.append(asks[0])
        d.give(MembershipUpdate(MembershipKind.DELTA, 1, []))
        for _ in range(8):  # discovery fails each call
            d.give(MembershipUpdate(MembershipKind.FAILED, 1, []))
            d.pass_time(60_000)
        later.append([t for t, a in d.log if isinstance(a, Subscribe)][-1] - d.now + 60_000)
    assert max(sum(at <= t < at + 200 for t in first) for at in range(0, 2000, 50)) <= 13
    assert min(later) > 10_000


# A returning destination is not pushed over


def outage(d: Driver, result: Result, wait: float = 0.0, ms: float = 10000.0) -> None:
    end = d.now + ms
    while d.now < end:
        d.message(SAFE)
        for key in list(d.out):
            d.finish(key[0], result, wait=wait)
        d.pass_time(100)


def load_on_return(d: Driver, ms: float) -> list[float]:
    start = d.now
    while d.now < start + ms:
        for _ in range(3):
            d.message(SAFE)
        for key in list(d.out):
            d.finish(key[0])
        d.pass_time(100)
    return [t for t in d.sent_at() if t >= start]


@pytest.mark.parametrize(
    "result, wait",
    [
        (Result.CONNECT_FAILED, 0),
        (Result.RESET, 0),
        (Result.ERROR, 0),
        (Result.FULL, 0),
        (Result.FULL, 1500),
    ],
)
def test_returning_destination_is_loaded_in_its_budget(result, wait):
    d = Driver()
    d.warm_up(150)  # ten a second, so that much is the least it can do when warm
    outage(d, result, wait)
    times = load_on_return(d, 6000)
    for start in range(0, 3001, 250):
        t0 = times[0] + start
        share = 0.2 + 0.8 * start / 10000 + 0.8 * 3000 / 10000 / 2
        assert sum(t0 <= t < t0 + 3000 for t in times) <= 2.0 * share * 10 * 3 + 2


def test_tries_in_an_outage_are_sparse():
    d = Driver()
    d.warm_up(100)
    begin = len(d.sent())
    outage(d, Result.CONNECT_FAILED)
    assert len(d.sent()) - begin < 15


def test_hung_destination_is_noticed_by_silence():
    d = Driver()
    d.warm_up(100)
    for _ in range(50):
        d.message(UNSAFE)
        d.pass_time(100)
    assert len(d.out) <= 14
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))


def test_returned_destination_becomes_warm():
    d = Driver()
    d.warm_up(100)
    outage(d, Result.CONNECT_FAILED)
    load_on_return(d, 14000)
    states = [a.text.rsplit(" ", 1)[1] for _, a in d.log if isinstance(a, Note)]
    assert states.index("failing") < states.index("warming") < len(states) - 1
    assert states[-1] == "ok"


# Order is kept


def test_one_key_goes_one_at_a_time_in_order():
    d = Driver()
    numbers = [d.message(ORDERED, key=9) for _ in range(4)]
    for number in numbers:
        assert [k[0] for k in d.out] == [number]
        d.finish(number)
    assert not d.out


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.CANCELLED])
def test_key_rests_after_a_doubtful_end(result):
    d = Driver()
    first, second = d.message(ORDERED, key=9), d.message(ORDERED, key=9)
    d.finish(first, result)
    d.pass_time(299)
    assert not d.is_out(second)
    d.pass_time(3000)
    assert d.is_out(second)


def test_withdrawn_head_holds_its_key_until_its_outcome():
    d = Driver()
    first, second = d.message(ORDERED, key=9), d.message(ORDERED, key=9)
    d.give(Withdrawn(first))
    d.pass_time(100)
    assert not d.is_out(second)
    d.out.pop((first, 0))
    d.give(Outcome(first, 0, 11, Result.OK, 100.0, True))
    d.pass_time(1)
    assert d.is_out(second)


def test_rest_outlives_an_empty_line():
    d = Driver()
    first = d.message(ORDERED, key=9)
    d.finish(first, Result.RESET)
    second = d.message(ORDERED, key=9)
    d.pass_time(250)
    assert not d.is_out(second)


# Waits are heeded


def test_wait_blocks_the_whole_destination():
    d = Driver(members=[member(11), member(12)])
    d.warm_up(20)
    first = d.message(SAFE)
    d.finish(first, Result.FULL, wait=900)
    before = len(d.sent())
    for cls in (SAFE, UNSAFE, KEYED):
        d.message(cls)
    d.pass_time(899)
    assert len(d.sent()) == before
    d.pass_time(1000)  # spread a little, as others were told the same end
    assert len(d.sent()) > before


def test_wait_blocks_one_route_only_where_routes_are_apart():
    d = Driver(members=[member(11), member(12)], routes_apart=[True])
    first = d.message(SAFE)
    blocked = d.sent()[0].endpoint
    d.finish(first, Result.FULL, wait=900)
    d.pass_time(800)
    later = [a.endpoint for a in d.sent()[1:]]
    assert later and blocked not in later


def test_calls_never_answered_do_not_keep_every_slot():
    members = [member(10 + dest, dest) for dest in range(1, 8)]
    d = Driver(members=members, slots=4)
    stuck = [d.message(UNSAFE, dest) for dest in range(1, 5)]
    d.pass_time(4000)
    waiting = d.message(UNSAFE, 6)
    cut = [a.id for _, a in d.log if isinstance(a, Cancel)]
    assert cut == stuck[:3]
    d.finish(stuck[0], Result.CANCELLED)
    assert isinstance(d.finals[stuck[0]][0], Fail) and d.is_out(waiting)


def test_timer_that_fires_a_rounding_early_does_not_stop_the_clock():
    d = Driver(members=[])
    number = d.message(SAFE)
    at, mark = min(d.timers)
    d.timers.clear()
    d.now = at - 0.0004
    d.give(TimerDue(mark))
    d.pass_time(20000)
    assert len(d.finals[number]) == 1


def test_idle_connections_are_closed_where_tables_run_full():
    d = Driver(members=[member(11, 1), member(12, 2, kind=1)], per_call=[1, 1])
    d.warm_up(6)
    for number in [d.message(SAFE), d.message(SAFE)]:
        d.finish(number)
    for _ in range(3):
        for number in [d.message(SAFE), d.message(SAFE)]:
            d.finish(number)
        first = d.message(SAFE)
        d.finish(first, Result.CONNECT_FAILED)
        assert not [a for _, a in d.log if isinstance(a, CloseIdle)]
        d.pass_time(900)
        d.finish(first)  # on a connection older than the failure
    d.warm_up(3)
    d.warm_up(3, dest=2)
    assert {a.endpoint for _, a in d.log if isinstance(a, CloseIdle)} == {11}


def test_connects_that_a_dead_endpoint_failed_close_no_connections():
    d = Driver(members=[member(11, 1), member(12, 2)])
    d.warm_up(3, dest=2)
    for _ in range(3):
        number = d.message(SAFE)
        d.finish(number, Result.CONNECT_FAILED)
        d.pass_time(2500)
        d.finish(number)  # it is back
    d.warm_up(3)
    d.warm_up(3, dest=2)
    assert not [a for _, a in d.log if isinstance(a, CloseIdle)]


def test_slow_answers_are_not_an_outage():
    d = Driver()
    d.warm_up(40)
    d.pass_time(10)
    slow = [d.message(UNSAFE) for _ in range(3)]
    d.pass_time(3000)
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))
    for number in slow:
        if d.is_out(number):
            d.finish(number)
    assert [a.text for _, a in d.log if isinstance(a, Note)][-1].endswith("ok")


def test_a_busy_sender_rests_shortly_after_a_refusal_and_a_rare_one_longer():
    rests = {}
    for calls in (2, 200):
        d = Driver(seed=3)
        d.warm_up(calls)
        d.scheduler.backoff.base_ms = 5000.0  # as learned from refusals elsewhere
        number = d.message(SAFE, left=60000.0)
        d.finish(number, Result.FULL, wait=100)
        start, count = d.now, len(d.sent())
        while len(d.sent()) == count and d.now < start + 20000:
            d.pass_time(10)
        rests[calls] = d.now - start
    assert rests[200] < 400 < 1000 < rests[2]


def test_tries_grow_sparser_with_the_age_of_an_outage():
    """Hundreds of nodes may each hold one message: their tries add up at the destination."""
    d = Driver(slots=3, senders=240, weights="rough", members=[member(11, weight=30.0)])
    d.message(SAFE, left=60000.0)
    end = d.now + 40000
    while d.now < end:
        d.pass_time(50)
        for number, _ in list(d.out):
            d.finish(number, Result.CONNECT_FAILED)
    times = d.sent_at()
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) <= 8 and gaps[-1] > 5000 > 1500 > gaps[0]


def test_stale_message_is_refused_with_advice_after_a_vain_try():
    d = Driver()
    d.warm_up(20)
    number = d.message(SAFE)
    d.pass_time(5500)
    d.finish(number, Result.FULL, wait=1000)
    assert isinstance(d.finals[number][0], Refuse) and d.finals[number][0].retry_after >= 1000


def test_shedding_starts_where_nothing_can_be_sent():
    d = Driver(members=[member(11, 1), member(12, 2)], most_held=20, slots=3)
    d.finish(d.message(UNSAFE, 1), Result.FULL, wait=9000)
    closed = [d.message(UNSAFE, 1) for _ in range(8)]
    later = [d.message(UNSAFE, 2) for _ in range(12)]
    shed = set(d.finals)
    assert shed and shed <= set(closed) and not shed & set(later)


def test_clumps_of_refusals_rest_longer_each_time():
    d = Driver(seed=5)
    d.scheduler.backoff.base_ms = 200.0
    number, gaps = d.message(UNSAFE), []
    for _ in range(5):
        d.finish(number, Result.FULL, wait=100)
        start = d.now
        while not d.is_out(number) and d.now < start + 20000:
            d.pass_time(10)
        gaps.append(d.now - start)
    assert gaps[-1] > 3 * gaps[0]
